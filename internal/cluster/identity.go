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
	identityName = "identity.json"
	identityTemp = "identity.tmp"
	logFolder    = "log"
)

// identity belongs to a disk. A host that has lost its disk is a new member,
// which cannot contradict what the lost one has promised.
type identity struct {
	ID      uint64               `json:"id"`
	Initial changelog.Membership `json:"initial"` // voters of the first start
}

// loadIdentity reads the identity of the disk or makes one.
func loadIdentity(s Settings, logger *slog.Logger) (identity, error) {
	text, err := os.ReadFile(filepath.Join(s.DataFolder, identityName))
	var id identity
	switch {
	case err == nil:
		if err := json.Unmarshal(text, &id); err == nil && id.ID != 0 {
			return id, nil
		}
		logger.Error("identity cannot be read, the disk counts as lost", "file", identityName)
	case !errors.Is(err, os.ErrNotExist):
		return id, fmt.Errorf("dataFolder: %w", err)
	}
	return makeIdentity(s, logger)
}

func makeIdentity(s Settings, logger *slog.Logger) (identity, error) {
	if err := os.RemoveAll(filepath.Join(s.DataFolder, logFolder)); err != nil {
		return identity{}, fmt.Errorf("dataFolder: %w", err)
	}
	id := newIdentity(s)
	text, err := json.Marshal(id)
	if err == nil {
		err = replaceFile(s.DataFolder, identityName, identityTemp, text)
	}
	if err != nil {
		return identity{}, fmt.Errorf("write the identity: %w", err)
	}
	logger.Info("identity made", "id", id.ID, "newSystem", s.FirstStart, "initialVoters", len(id.Initial))
	return id, nil
}

// newIdentity derives the identities of the first voters from the seeds, which
// are equal on all hosts at the first start. All others are random.
func newIdentity(s Settings) identity {
	var initial changelog.Membership
	for _, seed := range s.Seeds {
		initial = initial.With(changelog.Member{ID: xxhash.Sum64String(seed.String()) | 1, Address: seed.String(), Voter: true})
	}
	isSeed := func(m changelog.Member) bool { return m.Address == s.Address.String() }
	if i := slices.IndexFunc(initial, isSeed); s.FirstStart && i >= 0 {
		return identity{ID: initial[i].ID, Initial: initial}
	}
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return identity{ID: binary.LittleEndian.Uint64(b[:]) | 1}
}

// replaceFile replaces a file at once and makes it durable: a crash leaves the
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
