package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, with the seconds since the start.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// seconds returns the time t as seconds since the start.
func (r *record) seconds(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.seconds(time.Now()), fmt.Sprintf(format, args...))
}

// breakRule records that a rule was broken.
func (r *record) breakRule(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	r.line("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// result writes the outcome to the record and to standard output, and returns the exit code of a case.
func (r *record) result() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer func() { _ = r.file.Close() }()
	if len(r.broken) == 0 {
		_, _ = fmt.Fprintln(r.file, "result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	text := fmt.Sprintf("%d times broken, first: %s", len(r.broken), r.broken[0])
	_, _ = fmt.Fprintln(r.file, "result:", text)
	fmt.Println(text)
	return exitBroken
}
