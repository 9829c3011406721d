package wal

import "fmt"

// CorruptError reports that a record before the end of the log is damaged, or that
// a file is missing or damaged as a whole. The member has to be restored from the
// other members.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s; restore this member from the others", e.File, e.Offset, e.Reason)
}

// StoppedError is returned by Save after a write or sync has failed, or after Close.
// After a failure the content of the disk is unknown: a second fsync may succeed
// although the first one has lost data. The files have to be opened and read
// again.
type StoppedError struct{ Cause error }

func (e *StoppedError) Error() string {
	return fmt.Sprintf("wal: storage accepts no more writes: %v", e.Cause)
}

func (e *StoppedError) Unwrap() error { return e.Cause }
