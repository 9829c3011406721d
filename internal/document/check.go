package document

import "fmt"

// CheckDocument parses a whole document and returns its sections and every
// finding, with lines counted from the top of the document.
func CheckDocument(text string) ([]Section, []Finding) {
	sections, findings := ParseDocument(text)
	var sectionFindings []Finding
	for _, s := range sections {
		_, found := ParseSection(s)
		sectionFindings = append(sectionFindings, found...)
	}
	sectionFindings = append(sectionFindings, CheckConflicts(sections)...)
	return sections, append(findings, WithFileLines(sectionFindings, sections)...)
}

// CheckChange returns the services of a changed section and a finding for every
// reason to refuse the change: problems in its text, conflicts with other
// sections, or a section that belongs to another team. sections may include the
// earlier version of the changed section.
func CheckChange(sections []Section, changed Section) ([]Service, []Finding) {
	var findings []Finding
	report := func(words string, problem *textProblem) {
		if problem != nil {
			findings = append(findings, Finding{
				Section: changed.Heading, Words: words, Problem: problem.description, Suggestion: problem.suggestion,
			})
		}
	}
	_, problem := parseHeadingText(changed.Heading)
	report(changed.Heading, problem)
	_, problem = parseName(changed.Team)
	report(changed.Team, problem)
	services, found := ParseSection(changed)
	findings = append(findings, found...)
	others := make([]Section, 0, len(sections)+1)
	for _, s := range sections {
		if s.Heading != changed.Heading {
			others = append(others, s)
			continue
		}
		if s.Team != changed.Team {
			report(changed.Heading, &textProblem{
				fmt.Sprintf("is a section of team %q, and only that team can change it, not team %q", s.Team, changed.Team),
				"ask that team",
			})
		}
	}
	return services, append(findings, CheckConflicts(append(others, changed))...)
}
