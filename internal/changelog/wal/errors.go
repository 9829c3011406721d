package wal

import "fmt"

// CorruptError says that a record before the end, or a file as a whole, does
// not hold what was written. The member has to be restored from the others.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("wal: %s is corrupt at offset %d: %s; restore this member from the others", e.File, e.Offset, e.Reason)
}

// EndedError is returned by each call after a write or sync has failed. What
// is on the disk is unknown then: a second fsync may succeed although the first
// one has lost data, so the process must restart and read the files again.
type EndedError struct{ Cause error }

func (e *EndedError) Error() string {
	return fmt.Sprintf("wal: storage has ended after a failed write: %v", e.Cause)
}

func (e *EndedError) Unwrap() error { return e.Cause }
