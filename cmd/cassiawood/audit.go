package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"cassiawood/internal/audit"
	"cassiawood/internal/operator"
)

// auditJSON is the JSON output of cassiawood audit.
type auditJSON struct {
	Records  int        `json:"records"`
	LastAt   *time.Time `json:"lastAt,omitempty"`
	LastHash string     `json:"lastHash,omitempty"`
}

func prepareAudit(p *program, _ *flag.FlagSet) action {
	return func(_ context.Context, operands []string) error {
		file, err := os.Open(operands[0])
		if err != nil {
			return &usageError{err.Error()}
		}
		defer file.Close()
		trail := &countingReader{reader: file}
		last, err := audit.Verify(trail)
		if err != nil {
			return trailError(operands[0], last, err)
		}
		if trail.endsMidLine() {
			return &operator.RefusedError{Reason: fmt.Sprintf("the audit trail %s ends in the middle of line %d. "+
				"A crash during a write leaves this, and the control host cuts the line off when it starts; "+
				"a copy taken while the control host writes can show it too", operands[0], trail.lines+1)}
		}
		if last == nil {
			return p.print(fmt.Sprintf("%s: the audit trail is whole and has no records\n", operands[0]), auditJSON{})
		}
		text := fmt.Sprintf("%s: the audit trail is whole, %s\nlast record: %s, %s, hash %s\n", operands[0],
			count(trail.lines, "record"), last.At.Local().Format("2 Jan 2006 15:04:05"), last.Action, last.Hash)
		return p.print(text, auditJSON{Records: trail.lines, LastAt: &last.At, LastHash: last.Hash})
	}
}

// trailError turns an error of audit.Verify into one with a text for operators.
// last is the last valid record, or nil.
func trailError(file string, last *audit.Record, err error) error {
	var broken *audit.BrokenChainError
	if !errors.As(err, &broken) {
		return &usageError{fmt.Sprintf("%s: %v", file, err)}
	}
	good := "no record before it is good"
	if last != nil {
		good = fmt.Sprintf("the lines before it are whole, the last of them from %s (%s)",
			last.At.Local().Format("2 Jan 2006 15:04:05"), last.Action)
	}
	return &operator.RefusedError{Reason: fmt.Sprintf("the audit trail %s is broken at line %d: %s; %s. "+
		"Lines from there on prove nothing. Compare the file with the trails of the other control hosts",
		file, broken.Line, broken.Problem, good)}
}

// countingReader counts the newlines in what it reads from reader.
type countingReader struct {
	reader io.Reader
	lines  int
	last   byte
}

// Read implements io.Reader.
func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	for _, c := range b[:n] {
		if c == '\n' {
			r.lines++
		}
	}
	if n > 0 {
		r.last = b[n-1]
	}
	return n, err
}

// endsMidLine reports whether the text that was read ends without a newline.
func (r *countingReader) endsMidLine() bool { return r.last != 0 && r.last != '\n' }
