package document

import (
	"strings"
	"testing"
)

// BenchmarkParseWorst measures the slowest sections within the limits: sections
// of maximum size in which every sentence needs a suggestion.
func BenchmarkParseWorst(b *testing.B) {
	for name, sentence := range map[string]string{
		"short": "The sevice \"a\" is reached at 10.0.0.1, prot 9.\n",
		"note":  "Note: Each bakend serve takes 2 requsts at one.\n\n",
		"long":  strings.Repeat("reachet ", 190) + ".\n",
	} {
		section := Section{Text: strings.Repeat(sentence, MaxSectionBytes/len(sentence))}
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				ParseSection(section)
			}
		})
	}
}
