package wal

import (
	"errors"
	"fmt"

	"cassiawood/internal/changelog"
)

// Storage writes the state that a member has to store. It is not safe for
// concurrent use.
type Storage struct {
	fs        FS
	segments  []segment // oldest first; records are appended to the last one
	file      File      // the last segment
	size      int64     // of the last segment, in bytes
	hardState changelog.HardState
	buf       []byte // record that is being encoded
	stopErr   error  // not nil after a failed write or Close; returned by further calls
}

// segment is one file of the log.
type segment struct {
	number   uint64
	maxIndex uint64 // highest index of an entry in it
}

func segmentName(number uint64) string { return fmt.Sprintf(segmentFormat, number) }

func (s *Storage) current() *segment { return &s.segments[len(s.segments)-1] }

// resume opens the last segment for writing and truncates it to size. If reset is true, it starts a
// new segment in which the log restarts after the recovered snapshot.
func (s *Storage) resume(size int64, reset bool, recovered *Recovered) error {
	if len(s.segments) == 0 {
		return s.startSegment(nil)
	}
	file, err := s.fs.Append(segmentName(s.current().number), size)
	if err != nil {
		return err
	}
	s.file, s.size = file, size
	if recovered.TornBytes > 0 {
		// Without this sync the torn record could reappear after another crash,
		// followed by other records or segments.
		if err := s.file.Sync(); err != nil {
			return err
		}
	}
	if reset {
		return s.startSegment(&recovered.Snapshot)
	}
	return nil
}

// Save stores and syncs the snapshot, hard state and entries of a Ready. After an
// error each further call fails.
func (s *Storage) Save(r changelog.Ready) error {
	if s.stopErr != nil {
		return s.stopErr
	}
	if err := s.save(r); err != nil {
		return s.stop(err)
	}
	return nil
}

// save writes the parts of a Ready in an order in which the files are sound after each operation: no hard state is
// stored before the entries up to its commit index.
func (s *Storage) save(r changelog.Ready) error {
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	if r.InstallSnapshot {
		// The entries follow the snapshot.
		if err := s.replaceSnapshot(r.Snapshot, r.Snapshot); err != nil {
			return err
		}
	}
	if len(r.Entries) > 0 || r.HardState != nil && r.Snapshot == nil {
		if err := s.appendEntries(r.Entries); err != nil {
			return err
		}
	}
	if r.Snapshot != nil && !r.InstallSnapshot {
		return s.replaceSnapshot(r.Snapshot, nil)
	}
	return nil
}

// replaceSnapshot stores a snapshot, starts a segment and removes the segments that are no longer needed. See
// startSegment for installed.
func (s *Storage) replaceSnapshot(snapshot, installed *changelog.Snapshot) error {
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.startSegment(installed); err != nil {
		return err
	}
	return s.removeCovered(snapshot.Index, installed != nil)
}

// appendEntries writes and syncs the hard state and entries as one record, so that after
// a crash either all of them or none are stored.
func (s *Storage) appendEntries(entries []changelog.Entry) error {
	s.buf = appendSave(beginRecord(s.buf[:0], typeSave), s.hardState, entries)
	for i := range entries {
		s.current().maxIndex = max(s.current().maxIndex, entries[i].Index)
	}
	if err := s.writeRecord(); err != nil {
		return err
	}
	return s.file.Sync()
}

// writeRecord completes the record in the buffer and appends it to the last segment.
func (s *Storage) writeRecord() error {
	if len(s.buf) > maxRecordBytes {
		return fmt.Errorf("record of %d bytes is longer than the limit of %d bytes", len(s.buf), maxRecordBytes)
	}
	endRecord(s.buf, s.size)
	n, err := s.file.Write(s.buf)
	s.size += int64(n)
	return err
}

// writeSnapshot replaces the snapshot file atomically: after a crash the file is
// the old or the new one.
func (s *Storage) writeSnapshot(snapshot *changelog.Snapshot) error {
	buf := appendSnapshot(beginRecord(nil, typeSnapshot), snapshot)
	if len(buf) > maxRecordBytes {
		return fmt.Errorf("snapshot record of %d bytes is longer than the limit of %d bytes", len(buf), maxRecordBytes)
	}
	endRecord(buf, 0)
	f, err := s.fs.Create(snapshotTempName)
	if err != nil {
		return err
	}
	if _, err = f.Write(buf); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.fs.Rename(snapshotTempName, snapshotName); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// startSegment starts a segment with the hard state, so that earlier segments can be
// removed. If installed is not nil, the log restarts after that snapshot in the
// new segment.
func (s *Storage) startSegment(installed *changelog.Snapshot) error {
	number := uint64(1)
	if len(s.segments) > 0 {
		number = s.current().number + 1
	}
	file, err := s.fs.Create(segmentName(number))
	if err != nil {
		return err
	}
	if s.file != nil {
		err = s.file.Close()
	}
	s.file, s.size = file, 0
	s.segments = append(s.segments, segment{number: number})
	if err != nil {
		return err
	}
	if installed != nil {
		hs := s.hardState
		hs.Commit = min(hs.Commit, installed.Index) // the entries after it are not stored yet
		s.buf = appendReset(beginRecord(s.buf[:0], typeReset), installed.Index, hs)
	} else {
		s.buf = appendSave(beginRecord(s.buf[:0], typeSave), s.hardState, nil)
	}
	if err := s.writeRecord(); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// removeCovered removes the oldest segments, as long as the snapshot that ends at
// index covers their entries. If replaced is true, because the snapshot has replaced
// the log, it removes every segment but the last one. It syncs the folder after
// each removal, so that no crash leaves a gap between segments.
func (s *Storage) removeCovered(index uint64, replaced bool) error {
	removed := 0
	for removed < len(s.segments)-1 && (replaced || s.segments[removed].maxIndex <= index) {
		if err := s.fs.Remove(segmentName(s.segments[removed].number)); err != nil {
			return err
		}
		if err := s.fs.SyncDir(); err != nil {
			return err
		}
		removed++
	}
	s.segments = append([]segment(nil), s.segments[removed:]...)
	return nil
}

func (s *Storage) stop(cause error) error {
	s.stopErr = &StoppedError{Cause: cause}
	return s.stopErr
}

// Close closes the open segment. All saved data is already synced.
func (s *Storage) Close() error {
	s.stopErr = &StoppedError{Cause: errors.New("storage is closed")}
	return s.file.Close()
}
