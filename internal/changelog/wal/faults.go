package wal

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

// FaultyFS is an FS that injects disk faults, for tests of whole processes. The
// content of a switch file selects the fault; if the file is absent or empty there
// is none:
//
//	full        every write fails with ENOSPC
//	stall       syncs block until the switch file changes
//	slow 50ms   each sync is delayed by this time
type FaultyFS struct {
	FS
	SwitchFile string              // path of the switch file
	Sleep      func(time.Duration) // time.Sleep outside of unit tests
}

// stallPollInterval is the interval at which the switch file is read while syncs block.
const stallPollInterval = 20 * time.Millisecond

// readFault returns the fault in the switch file and its argument.
func (f FaultyFS) readFault() (fault, argument string, err error) {
	text, err := os.ReadFile(f.SwitchFile)
	if os.IsNotExist(err) {
		return "", "", nil
	}
	if err != nil {
		return "", "", fmt.Errorf("reading the switch of disk faults: %w", err)
	}
	fault, argument, _ = strings.Cut(strings.TrimSpace(string(text)), " ")
	return fault, argument, nil
}

// checkSpace returns ENOSPC while the fault is a full disk.
func (f FaultyFS) checkSpace() error {
	fault, _, err := f.readFault()
	if err == nil && fault == "full" {
		return fmt.Errorf("disk fault: %w", syscall.ENOSPC)
	}
	return err
}

// delaySync blocks a sync according to the fault.
func (f FaultyFS) delaySync() error {
	for {
		fault, argument, err := f.readFault()
		switch {
		case err != nil:
			return err
		case fault == "stall":
			f.Sleep(stallPollInterval)
			continue
		case fault == "slow":
			d, err := time.ParseDuration(argument)
			if err != nil {
				return fmt.Errorf("switch of disk faults, delay of syncs: %w", err)
			}
			f.Sleep(d)
		}
		return nil
	}
}

// Create opens an empty file for writing, and fails while the disk is full.
func (f FaultyFS) Create(name string) (File, error) {
	if err := f.checkSpace(); err != nil {
		return nil, err
	}
	file, err := f.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return faultyFile{file, f}, nil
}

// Append opens a file for appending. It never fails because of a full disk.
func (f FaultyFS) Append(name string, size int64) (File, error) {
	file, err := f.FS.Append(name, size)
	if err != nil {
		return nil, err
	}
	return faultyFile{file, f}, nil
}

// SyncDir syncs the folder, blocked or delayed according to the fault.
func (f FaultyFS) SyncDir() error {
	if err := f.delaySync(); err != nil {
		return err
	}
	return f.FS.SyncDir()
}

type faultyFile struct {
	File
	fs FaultyFS
}

func (f faultyFile) Write(data []byte) (int, error) {
	if err := f.fs.checkSpace(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

func (f faultyFile) Sync() error {
	if err := f.fs.delaySync(); err != nil {
		return err
	}
	return f.File.Sync()
}
