package wal

import (
	"errors"
	"fmt"

	"cassiawood/internal/changelog"
)

// Storage writes the state that a member has to store. It is not safe for
// concurrent use.
type Storage struct {
	fs    FS
	files []segment // oldest first; records are appended to the last one
	out   File      // the last segment
	size  int64     // of the last segment, in bytes
	hs    changelog.HardState
	buf   []byte // record that is being encoded
	ended error  // not nil after a failed write or Close; returned by further calls
}

// segment is one file of the log.
type segment struct {
	number   uint64
	maxIndex uint64 // highest index of an entry in it
}

func segmentName(number uint64) string { return fmt.Sprintf(segmentFormat, number) }

func (s *Storage) current() *segment { return &s.files[len(s.files)-1] }

// resume opens the last segment for writing at tail. If reset is true, it starts a
// new segment in which the log restarts after the recovered snapshot.
func (s *Storage) resume(tail int64, reset bool, rec *Recovered) error {
	if len(s.files) == 0 {
		return s.rotate(nil)
	}
	out, err := s.fs.Append(segmentName(s.current().number), tail)
	if err != nil {
		return err
	}
	s.out, s.size = out, tail
	if rec.TornBytes > 0 {
		// Without this sync the torn record could reappear after another crash,
		// followed by other records or segments.
		if err := s.out.Sync(); err != nil {
			return err
		}
	}
	if reset {
		return s.rotate(&rec.Snapshot)
	}
	return nil
}

// Save stores and syncs the snapshot, hard state and entries of a Ready. After an
// error each further call fails.
func (s *Storage) Save(r changelog.Ready) error {
	if s.ended != nil {
		return s.ended
	}
	if err := s.save(r); err != nil {
		return s.end(err)
	}
	return nil
}

func (s *Storage) save(r changelog.Ready) error {
	if r.HardState != nil {
		s.hs = *r.HardState
	}
	if r.Snapshot != nil {
		if err := s.writeSnapshot(r.Snapshot); err != nil {
			return err
		}
		reset := r.Snapshot
		if !r.Install {
			reset = nil
		}
		if err := s.rotate(reset); err != nil {
			return err
		}
		if err := s.removeCovered(r.Snapshot.Index, r.Install); err != nil {
			return err
		}
	}
	if len(r.Entries) == 0 && (r.HardState == nil || r.Snapshot != nil) {
		return nil
	}
	return s.append(r.Entries)
}

// append writes and syncs the hard state and entries as one record, so that after
// a crash either all of them or none are stored.
func (s *Storage) append(entries []changelog.Entry) error {
	s.buf = appendSave(beginRecord(s.buf[:0], typeSave), s.hs, entries)
	for i := range entries {
		s.current().maxIndex = max(s.current().maxIndex, entries[i].Index)
	}
	if err := s.write(); err != nil {
		return err
	}
	return s.out.Sync()
}

// write completes the record in the buffer and appends it to the last segment.
func (s *Storage) write() error {
	if len(s.buf) > maxRecordBytes {
		return fmt.Errorf("record of %d bytes is longer than the limit of %d bytes", len(s.buf), maxRecordBytes)
	}
	endRecord(s.buf, s.size)
	n, err := s.out.Write(s.buf)
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
	f, err := s.fs.Create(snapshotTemp)
	if err != nil {
		return err
	}
	if _, err = f.Write(buf); err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := s.fs.Rename(snapshotTemp, snapshotName); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// rotate starts a segment with the hard state, so that earlier segments can be
// removed. If installed is not nil, the log restarts after that snapshot in the
// new segment.
func (s *Storage) rotate(installed *changelog.Snapshot) error {
	number := uint64(1)
	if len(s.files) > 0 {
		number = s.current().number + 1
	}
	out, err := s.fs.Create(segmentName(number))
	if err != nil {
		return err
	}
	if s.out != nil {
		err = s.out.Close()
	}
	s.out, s.size = out, 0
	s.files = append(s.files, segment{number: number})
	if err != nil {
		return err
	}
	if installed != nil {
		s.buf = appendReset(beginRecord(s.buf[:0], typeReset), installed.Index, s.hs)
	} else {
		s.buf = appendSave(beginRecord(s.buf[:0], typeSave), s.hs, nil)
	}
	if err := s.write(); err != nil {
		return err
	}
	if err := s.out.Sync(); err != nil {
		return err
	}
	return s.fs.SyncDir()
}

// removeCovered removes the oldest segments, as long as the snapshot that ends at
// index covers their entries. If all is true, because the snapshot has replaced
// the log, it removes every segment but the last one. It syncs the folder after
// each removal, so that no crash leaves a gap between segments.
func (s *Storage) removeCovered(index uint64, all bool) error {
	removed := 0
	for removed < len(s.files)-1 && (all || s.files[removed].maxIndex <= index) {
		if err := s.fs.Remove(segmentName(s.files[removed].number)); err != nil {
			return err
		}
		if err := s.fs.SyncDir(); err != nil {
			return err
		}
		removed++
	}
	s.files = append([]segment(nil), s.files[removed:]...)
	return nil
}

func (s *Storage) end(cause error) error {
	s.ended = &EndedError{Cause: cause}
	return s.ended
}

// Close closes the open segment. All saved data is already synced.
func (s *Storage) Close() error {
	s.ended = &EndedError{Cause: errors.New("storage is closed")}
	return s.out.Close()
}
