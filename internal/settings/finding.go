// Package settings loads and checks the settings files of entry hosts and control
// hosts. The files are JSON with comments and trailing commas. A file is checked
// in full when it is loaded, so that all its problems are reported together.
package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is a problem in a settings file, with its position.
type Finding struct {
	File       string
	Line       int    // 1 is the first line
	Column     int    // 1 is the first byte of the line
	Path       string // path of the setting, such as "members[0].id"; empty for the whole file
	Problem    string
	Suggestion string // name of a similar setting; empty if there is none
}

// String formats the finding as file:line:column: "setting": problem.
func (f Finding) String() string {
	s := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Path != "" {
		s += fmt.Sprintf("%q: ", f.Path)
	}
	s += f.Problem
	if f.Suggestion != "" {
		s += fmt.Sprintf("; did you mean %q?", f.Suggestion)
	}
	return s
}

// FindingsError is the error for a settings file that has problems.
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
