package document

// Check returns every finding in a whole document, with the lines of the file.
func Check(text string) ([]Section, []Finding) {
	sections, findings := ParseDocument(text)
	var inside []Finding
	for _, s := range sections {
		_, found := Parse(s)
		inside = append(inside, found...)
	}
	inside = append(inside, CheckTogether(sections)...)
	return sections, append(findings, InFile(inside, sections)...)
}
