package cluster

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/changelog"
	"cassiawood/internal/changelog/wal"
)

const (
	identityFile     = "identity.json"
	identityTempFile = "identity.tmp"
	logFolder        = "log"
)

// identity is the member ID stored on the disk. A host that has lost its disk joins as a new
// member, so that it cannot contradict votes and acknowledgements of the lost one.
type identity struct {
	ID            uint64               `json:"id"`
	InitialVoters changelog.Membership `json:"initial"` // voters at the first start
}

// loadIdentity reads the identity from the disk, or creates one if the file is missing or damaged.
func loadIdentity(s Settings, logger *slog.Logger) (identity, error) {
	text, err := os.ReadFile(filepath.Join(s.DataFolder, identityFile))
	var id identity
	switch {
	case err == nil:
		if err := json.Unmarshal(text, &id); err == nil && id.ID != 0 {
			return id, nil
		}
		logger.Error("identity cannot be read, the disk counts as lost", "file", identityFile)
	case !errors.Is(err, os.ErrNotExist):
		return id, fmt.Errorf("dataFolder: %w", err)
	}
	return createIdentity(s, logger)
}

// createIdentity removes the log, which belongs to the previous identity, and stores a new identity.
func createIdentity(s Settings, logger *slog.Logger) (identity, error) {
	if err := os.RemoveAll(filepath.Join(s.DataFolder, logFolder)); err != nil {
		return identity{}, fmt.Errorf("dataFolder: %w", err)
	}
	id := newIdentity(s)
	text, err := json.Marshal(id)
	if err == nil {
		err = replaceFile(s.DataFolder, identityFile, identityTempFile, text)
	}
	if err != nil {
		return identity{}, fmt.Errorf("write the identity: %w", err)
	}
	logger.Info("identity made", "id", id.ID, "newSystem", s.FirstStart, "initialVoters", len(id.InitialVoters))
	return id, nil
}

// firstIdentity returns the ID of a first voter with the address.
func firstIdentity(address string) uint64 { return xxhash.Sum64String(address) | 1 }

// newIdentity derives the IDs of the first voters from the addresses of the seeds, which are the
// same on all hosts at the first start. All other IDs are random.
func newIdentity(s Settings) identity {
	var initial changelog.Membership
	for _, seed := range s.Seeds {
		initial = initial.With(changelog.Member{ID: firstIdentity(seed.String()), Address: seed.String(), Voter: true})
	}
	isSeed := func(m changelog.Member) bool { return m.Address == s.Address.String() }
	if i := slices.IndexFunc(initial, isSeed); s.FirstStart && i >= 0 {
		return identity{ID: initial[i].ID, InitialVoters: initial}
	}
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return identity{ID: binary.LittleEndian.Uint64(b[:]) | 1}
}

// replaceFile replaces a file atomically and durably: a crash leaves either the
// old or the new content.
func replaceFile(folder, name, temp string, content []byte) error {
	dir, err := wal.NewDir(folder)
	if err != nil {
		return err
	}
	f, err := dir.Create(temp)
	if err != nil {
		return err
	}
	if _, err = f.Write(content); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := dir.Rename(temp, name); err != nil {
		return err
	}
	return dir.SyncDir()
}
