package document

import (
	"fmt"
	"strings"
)

// String returns the finding as one line of plain words.
func (f Finding) String() string {
	var b strings.Builder
	if f.Section != "" {
		fmt.Fprintf(&b, "section %s, ", quote(f.Section))
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Words != "" {
		b.WriteString(quote(f.Words) + " ")
	}
	b.WriteString(f.Problem)
	if f.Suggestion != "" {
		b.WriteString("; " + f.Suggestion)
	}
	return b.String()
}

// Format returns one line for each finding.
func Format(findings []Finding) string {
	var b strings.Builder
	for _, f := range findings {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

// quote puts words between quotation marks that do not occur in them.
func quote(words string) string {
	if strings.Contains(words, `"`) {
		return "'" + words + "'"
	}
	return `"` + words + `"`
}
