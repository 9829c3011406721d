// Package settings reads the settings files of the binaries: JSON with
// comments, checked in full before anything starts.
package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is a problem in a settings file, with its place.
type Finding struct {
	File       string
	Line       int // 1 is the first line
	Column     int // 1 is the first byte of the line
	Name       string
	Problem    string
	Suggestion string // empty when there is none
}

// String formats the finding as file:line:column: problem.
func (f Finding) String() string {
	s := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Name != "" {
		s += fmt.Sprintf("%q: ", f.Name)
	}
	s += f.Problem
	if f.Suggestion != "" {
		s += fmt.Sprintf("; did you mean %q?", f.Suggestion)
	}
	return s
}

// FindingsError reports all findings of a file together.
type FindingsError struct{ Findings []Finding }

// Error lists the findings, one on each line, in the order of the file.
func (e *FindingsError) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	lines = append(lines, fmt.Sprintf("%d problems in the settings:", len(e.Findings)))
	for _, f := range e.Findings {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

func sortFindings(findings []Finding) {
	sort.SliceStable(findings, func(i, j int) bool {
		a, b := findings[i], findings[j]
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Column < b.Column
	})
}
