package wal

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// FaultyFS is a folder on a disk that fails on demand, for tests of whole processes. A switch
// file says what the disk does: nothing unusual if it is absent or empty, else
//
//	full        refuses every write
//	stall       answers no sync until the switch changes
//	slow 50ms   takes that long for each sync
type FaultyFS struct {
	FS
	Switch string              // path of the switch file
	Sleep  func(time.Duration) // time.Sleep in processes
}

// stallPoll is the time between looks at the switch while the disk stalls.
const stallPoll = 20 * time.Millisecond

// mode returns the words of the switch.
func (f FaultyFS) mode() (word, argument string, err error) {
	text, err := os.ReadFile(f.Switch)
	if os.IsNotExist(err) {
		return "", "", nil
	}
	if err != nil {
		return "", "", fmt.Errorf("switch of disk faults: %w", err)
	}
	word, argument, _ = strings.Cut(strings.TrimSpace(string(text)), " ")
	return word, argument, nil
}

// room fails as long as the disk is full.
func (f FaultyFS) room() error {
	word, _, err := f.mode()
	if err == nil && word == "full" {
		return fmt.Errorf("disk fault: %w", syscall.ENOSPC)
	}
	return err
}

// delay waits as long as the disk takes for a sync.
func (f FaultyFS) delay() error {
	for {
		word, argument, err := f.mode()
		switch {
		case err != nil:
			return err
		case word == "stall":
			f.Sleep(stallPoll)
			continue
		case word == "slow":
			d, err := time.ParseDuration(argument)
			if err != nil {
				return fmt.Errorf("switch of disk faults: %w", err)
			}
			f.Sleep(d)
		}
		return nil
	}
}

// Create opens an empty file unless the disk is full.
func (f FaultyFS) Create(name string) (File, error) {
	if err := f.room(); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return faultyFile{file, f}, nil
}

// Append opens a file for writing.
func (f FaultyFS) Append(name string, at int64) (File, error) {
	file, err := f.FS.Append(name, at)
	if err != nil {
		return nil, err
	}
	return faultyFile{file, f}, nil
}

// SyncDir syncs the folder as the disk allows.
func (f FaultyFS) SyncDir() error {
	if err := f.delay(); err != nil {
		return err
	}
	return f.FS.SyncDir()
}

type faultyFile struct {
	File
	disk FaultyFS
}

func (f faultyFile) Write(data []byte) (int, error) {
	if err := f.disk.room(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

func (f faultyFile) Sync() error {
	if err := f.disk.delay(); err != nil {
		return err
	}
	return f.File.Sync()
}
