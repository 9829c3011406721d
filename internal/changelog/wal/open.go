package wal

import (
	"fmt"
	"slices"
	"strings"

	"cassiawood/internal/changelog"
)

const (
	segmentFormat    = "log-%016d"
	segmentPrefix    = "log-"
	snapshotName     = "snapshot"
	snapshotTempName = "snapshot.tmp"
)

// Recovered is the state that Open read from the files.
type Recovered struct {
	HardState changelog.HardState
	Snapshot  changelog.Snapshot
	Entries   []changelog.Entry

	// TornBytes is the number of bytes that Open cut off the end of TornFile: a
	// record whose write was not synced before a crash. It is 0 if there was none.
	TornFile  string
	TornBytes int
}

// Open reads the files, removes a torn last record and returns a storage that
// appends after the last complete record.
func Open(fs FS) (*Storage, Recovered, error) {
	names, err := fs.List()
	if err != nil {
		return nil, Recovered{}, fmt.Errorf("wal: listing files: %w", err)
	}
	if slices.Contains(names, snapshotTempName) {
		if err := fs.Remove(snapshotTempName); err != nil {
			return nil, Recovered{}, fmt.Errorf("wal: removing the unfinished snapshot %s: %w", snapshotTempName, err)
		}
	}
	s := &Storage{fs: fs}
	var recovered Recovered
	if slices.Contains(names, snapshotName) {
		if recovered.Snapshot, err = readSnapshot(fs); err != nil {
			return nil, Recovered{}, err
		}
	}
	r := replay{storage: s, recovered: &recovered, lastIndex: recovered.Snapshot.Index}
	if err := r.replaySegments(names); err != nil {
		return nil, Recovered{}, err
	}
	s.hardState = recovered.HardState
	reset, err := r.dropCovered()
	if err != nil {
		return nil, Recovered{}, err
	}
	if err := changelog.CheckStored(recovered.Snapshot, recovered.Entries); err != nil {
		return nil, Recovered{}, &CorruptError{File: segmentName(s.current().number), Reason: err.Error()}
	}
	if err := s.resume(r.validSize, reset, &recovered); err != nil {
		return nil, Recovered{}, fmt.Errorf("wal: opening the log for writing: %w", err)
	}
	return s, recovered, nil
}

func readSnapshot(fs FS) (changelog.Snapshot, error) {
	content, err := fs.ReadFile(snapshotName)
	if err != nil {
		return changelog.Snapshot{}, fmt.Errorf("wal: reading the snapshot: %w", err)
	}
	t, data, size, err := readRecord(content, 0)
	if err == nil && (t != typeSnapshot || size != len(content)) {
		err = errMalformed
	}
	var snapshot changelog.Snapshot
	if err == nil {
		snapshot, err = decodeSnapshot(data)
	}
	if err != nil {
		// The file was renamed to this name after it was synced, so it cannot be torn.
		return changelog.Snapshot{}, &CorruptError{File: snapshotName, Reason: err.Error()}
	}
	return snapshot, nil
}

// replay rebuilds the log from the segments.
type replay struct {
	storage         *Storage
	recovered       *Recovered
	hasEntryOrReset bool   // an entry or a reset has been read
	lastIndex       uint64 // index of the last entry of the log
	validSize       int64  // size of the segment read last, without a torn record
}

func (r *replay) replaySegments(names []string) error {
	var segments []string
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) {
			segments = append(segments, name)
		}
	}
	slices.Sort(segments)
	for i, name := range segments {
		var number uint64
		if _, err := fmt.Sscanf(name, segmentFormat, &number); err != nil || segmentName(number) != name {
			return &CorruptError{File: name, Reason: fmt.Sprintf("the name is not of the form %s", segmentFormat)}
		}
		if i > 0 && number != r.storage.current().number+1 {
			return &CorruptError{File: name, Reason: fmt.Sprintf("the preceding log file %s is missing", segmentName(number-1))}
		}
		r.storage.segments = append(r.storage.segments, segment{number: number})
		if err := r.replaySegment(name, i == len(segments)-1); err != nil {
			return err
		}
	}
	if len(segments) == 0 && r.recovered.Snapshot.Index > 0 {
		return &CorruptError{File: snapshotName, Reason: "there is a snapshot, but all log files are missing"}
	}
	return nil
}

// replaySegment replays one segment. Storage writes and syncs one record at a time, so
// only the last record of the last segment can be torn.
func (r *replay) replaySegment(name string, isLast bool) error {
	content, err := r.storage.fs.ReadFile(name)
	if err != nil {
		return fmt.Errorf("wal: reading %s: %w", name, err)
	}
	offset := int64(0)
	for offset < int64(len(content)) {
		rest := content[offset:]
		t, data, size, err := readRecord(rest, offset)
		if err != nil && isLast && !recordFollows(rest, offset) {
			r.recovered.TornFile, r.recovered.TornBytes = name, len(rest)
			break
		}
		if err == nil {
			err = r.replayRecord(t, data)
		}
		if err != nil {
			return &CorruptError{File: name, Offset: offset, Reason: err.Error()}
		}
		offset += int64(size)
	}
	r.validSize = offset
	return nil
}

func (r *replay) replayRecord(t recordType, data []byte) error {
	switch t {
	case typeSave:
		hs, entries, err := decodeSave(data)
		if err != nil {
			return err
		}
		r.recovered.HardState = hs
		for _, e := range entries {
			if err := r.replayEntry(e); err != nil {
				return err
			}
		}
		return nil
	case typeReset:
		index, hs, err := decodeReset(data)
		if err != nil {
			return err
		}
		r.recovered.HardState, r.recovered.Entries, r.hasEntryOrReset, r.lastIndex = hs, nil, true, index
		return nil
	}
	return fmt.Errorf("unknown record type %d", t)
}

// replayEntry adds an entry, which replaces the entry with the same index and all later
// ones.
func (r *replay) replayEntry(e changelog.Entry) error {
	if !r.hasEntryOrReset {
		// Earlier segments were removed, either because the snapshot covers them or
		// because a reset follows. dropCovered checks the result.
		r.hasEntryOrReset, r.lastIndex = true, max(e.Index, 1)-1
	}
	first := r.lastIndex - uint64(len(r.recovered.Entries)) + 1
	switch {
	case e.Index > r.lastIndex+1 || e.Index == 0:
		return fmt.Errorf("entry %d cannot follow entry %d", e.Index, r.lastIndex)
	case e.Index < first:
		// The entries from e.Index to first were in a segment that was removed.
		r.recovered.Entries, first = nil, e.Index
	}
	r.recovered.Entries = append(r.recovered.Entries[:e.Index-first], e)
	r.lastIndex = e.Index
	r.storage.current().maxIndex = max(r.storage.current().maxIndex, e.Index)
	return nil
}

// dropCovered drops the entries that the snapshot covers. If the log does not contain
// the snapshot's last entry, it drops all entries and returns true: the process
// crashed after it had installed the snapshot and before it reset the log.
func (r *replay) dropCovered() (bool, error) {
	s := r.recovered.Snapshot
	first := r.lastIndex - uint64(len(r.recovered.Entries)) + 1
	switch {
	case s.Index+1 < first:
		reason := fmt.Sprintf("the log begins at entry %d, but the snapshot ends at entry %d", first, s.Index)
		return false, &CorruptError{File: snapshotName, Reason: reason}
	case s.Index+1 == first:
		return false, nil
	case s.Index > r.lastIndex || r.recovered.Entries[s.Index-first].Term != s.Term:
		r.recovered.Entries = nil
		return true, nil
	}
	r.recovered.Entries = slices.Clone(r.recovered.Entries[s.Index-first+1:])
	return false, nil
}
