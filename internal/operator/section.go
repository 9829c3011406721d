package operator

import "cassiawood/internal/document"

// sectionJSON is a document.Section in JSON.
type sectionJSON struct {
	Heading string `json:"heading"`
	Team    string `json:"team"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

func toSectionJSON(s document.Section) sectionJSON {
	return sectionJSON{s.Heading, s.Team, s.Version, s.Text}
}

func (s sectionJSON) section() document.Section {
	return document.Section{Heading: s.Heading, Team: s.Team, Version: s.Version, Text: s.Text}
}

// SectionsJSON returns sections in the JSON form of the API.
func SectionsJSON(sections []document.Section) any {
	out := make([]sectionJSON, 0, len(sections))
	for _, s := range sections {
		out = append(out, toSectionJSON(s))
	}
	return out
}

// FindingsJSON returns findings in the JSON form of the API.
func FindingsJSON(findings []document.Finding) any { return toFindingsJSON(findings) }
