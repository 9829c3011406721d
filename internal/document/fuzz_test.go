package document

import (
	"os"
	"reflect"
	"testing"
)

// FuzzDocument guards against a text that causes a panic, a document that parses
// differently after it is joined again, and services that change when they are
// formatted as sentences and parsed again.
func FuzzDocument(f *testing.F) {
	for _, path := range []string{"../../examples/site-k.document", "../../examples/site-g.document"} {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Add("Section \"A\", owned\nby team \"a\",\nversion 3.\r\n\r\nThe service \"a\" is reached at 10.0.0.1 port 1 over UDP.\nRefuse at once when no place is free.")
	f.Add("Section \"A\", owned by team \"a\". Note: \"x\n\nNote: The service.\n\nIts backend servers may announce themselves from and 1/2 \"")
	f.Fuzz(func(t *testing.T, text string) {
		sections, findings := CheckDocument(text)
		FormatFindings(findings)
		if len(findings) > 0 {
			return
		}
		reparsed, reparseFindings := CheckDocument(FormatDocument(sections))
		if len(reparseFindings) > 0 || len(reparsed) != len(sections) {
			t.Fatalf("sections have findings after they were joined and parsed again:\n%s", FormatFindings(reparseFindings))
		}
		for i, section := range sections {
			services, _ := ParseSection(section)
			rewritten, rewrittenFindings := ParseSection(Section{Heading: section.Heading, Text: FormatServices(services)})
			if len(rewrittenFindings) > 0 || !reflect.DeepEqual(services, rewritten) || reparsed[i].Text != section.Text || reparsed[i].Team != section.Team || reparsed[i].Version != section.Version {
				t.Fatalf("section %q changed after it was formatted and parsed again:\n%s\n%s", section.Heading, FormatServices(services), FormatFindings(rewrittenFindings))
			}
		}
	})
}
