// Package audit writes and verifies the audit trail: an append-only file of JSON
// lines in which each record contains the hash of the record before it.
package audit

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// maxRecordBytes is the maximum length of a line. Records are short, because they
// contain only the hash of a section's text.
const maxRecordBytes = 1 << 20

// Record is one line of the trail: a change that was accepted or refused.
type Record struct {
	Index       uint64    `json:"index"` // of the log entry
	At          time.Time `json:"at"`    // by the leader's clock
	Action      string    `json:"action"`
	Author      string    `json:"author"`
	Team        string    `json:"team,omitempty"`
	Section     string    `json:"section,omitempty"`
	ChangeID    string    `json:"changeId,omitempty"`
	BaseVersion uint64    `json:"baseVersion,omitempty"`
	TextSHA256  string    `json:"textSha256,omitempty"`
	Outcome     string    `json:"outcome"`
	Reason      string    `json:"reason,omitempty"`
	Previous    string    `json:"previous"` // hash of the record before; empty for the first
	Hash        string    `json:"hash"`     // SHA-256 of this record with Hash empty
}

// BrokenChainError reports the first line that breaks the chain of hashes.
type BrokenChainError struct {
	Line    int
	Problem string
}

// Error returns the number of the line and its problem.
func (e *BrokenChainError) Error() string {
	return fmt.Sprintf("audit trail, line %d: %s", e.Line, e.Problem)
}

// Trail appends records to a file and syncs each one.
type Trail struct {
	file      *os.File
	lastHash  string // hash of the last record
	lastIndex uint64
}

// Open opens or creates the trail and verifies it. It removes an incomplete last
// line, which a crash during a write leaves behind. Any other problem is an error.
func Open(path string) (*Trail, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, fmt.Errorf("open audit trail: %w", err)
	}
	t := &Trail{file: file}
	if err := t.recoverFile(filepath.Dir(path)); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return t, nil
}

func (t *Trail) recoverFile(folder string) error {
	content, err := io.ReadAll(t.file)
	if err != nil {
		return fmt.Errorf("read audit trail: %w", err)
	}
	complete := content[:bytes.LastIndexByte(content, '\n')+1]
	last, err := Verify(bytes.NewReader(complete))
	if err != nil {
		return err
	}
	if last != nil {
		t.lastHash, t.lastIndex = last.Hash, last.Index
	}
	if err := t.file.Truncate(int64(len(complete))); err != nil {
		return fmt.Errorf("truncate torn record of the audit trail: %w", err)
	}
	if _, err := t.file.Seek(int64(len(complete)), io.SeekStart); err != nil {
		return fmt.Errorf("seek in the audit trail: %w", err)
	}
	return syncDir(folder)
}

// Append writes the record and syncs the file. It skips a record at or below the
// last index, because the log replays such records after a restart.
func (t *Trail) Append(r Record) error {
	if r.Index <= t.lastIndex {
		return nil
	}
	r.Previous = t.lastHash
	r.Hash = ""
	r.Hash = r.computeHash()
	line, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode audit record: %w", err)
	}
	if _, err := t.file.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("write audit record: %w", err)
	}
	if err := t.file.Sync(); err != nil {
		return fmt.Errorf("sync audit trail: %w", err)
	}
	t.lastHash, t.lastIndex = r.Hash, r.Index
	return nil
}

// Close closes the file.
func (t *Trail) Close() error { return t.file.Close() }

// Verify reads a trail and returns its last valid record, or nil if there is none.
// If the chain is broken, the error is a BrokenChainError.
func Verify(r io.Reader) (*Record, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxRecordBytes)
	var last *Record
	for number := 1; lines.Scan(); number++ {
		var record Record
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return last, &BrokenChainError{Line: number, Problem: "not a record: " + err.Error()}
		}
		if problem := record.chainProblem(last); problem != "" {
			return last, &BrokenChainError{Line: number, Problem: problem}
		}
		last = &record
	}
	if err := lines.Err(); err != nil {
		return last, fmt.Errorf("read audit trail: %w", err)
	}
	return last, nil
}

// chainProblem returns how r breaks the chain after the record last, or an empty string.
func (r Record) chainProblem(last *Record) string {
	previous, previousIndex := "", uint64(0)
	if last != nil {
		previous, previousIndex = last.Hash, last.Index
	}
	switch {
	case r.computeHash() != r.Hash:
		return "the record does not match its hash"
	case r.Previous != previous:
		return "the record does not follow the one before it"
	case r.Index <= previousIndex:
		return "the log index does not rise"
	}
	return ""
}

// computeHash returns the hash of all fields except Hash.
func (r Record) computeHash() string {
	r.Hash = ""
	line, err := json.Marshal(r)
	if err != nil {
		panic("audit: cannot encode a record: " + err.Error())
	}
	sum := sha256.Sum256(line)
	return hex.EncodeToString(sum[:])
}

// syncDir syncs a folder, so that a newly created file in it survives a crash.
func syncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return fmt.Errorf("open folder of the audit trail: %w", err)
	}
	return errors.Join(d.Sync(), d.Close())
}
