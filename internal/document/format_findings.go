package document

import (
	"fmt"
	"strings"
)

// String returns the finding as one line for operators.
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

// FormatFindings returns findings as text with one line for each.
func FormatFindings(findings []Finding) string {
	var b strings.Builder
	for _, f := range findings {
		b.WriteString(f.String() + "\n")
	}
	return b.String()
}

// quote returns words in double quotation marks, or in single ones if words
// contain a double one.
func quote(words string) string {
	if strings.Contains(words, `"`) {
		return "'" + words + "'"
	}
	return `"` + words + `"`
}
