package document

import "fmt"

// CheckConflicts returns the conflicts between sections: a heading, a service
// name, an announced name or an address that two sections use. The finding
// belongs to the later section.
func CheckConflicts(sections []Section) []Finding {
	var findings []Finding
	parsers := make([]*parser, 0, len(sections))
	sectionByHeading := map[string]Section{}
	teams := map[string]string{}
	for _, s := range sections {
		if first, exists := sectionByHeading[s.Heading]; exists {
			findings = append(findings, Finding{
				Section: s.Heading, Line: 1, Column: 1, Words: s.Heading,
				Problem:    fmt.Sprintf("is the heading of a section of team %q and of one of team %q", first.Team, s.Team),
				Suggestion: "choose another heading",
			})
			continue
		}
		sectionByHeading[s.Heading] = s
		teams[s.Heading] = s.Team
		parsers = append(parsers, runParser(s))
	}
	return append(findings, conflictsBetween(parsers, teams)...)
}

// uniqueValue is a value of a service that no other service may have.
type uniqueValue struct {
	label   string
	value   string
	token   token
	source  *parser
	derived bool // equal to the previous value of the service by default, so that a conflict of both is reported once
}

// conflictsWithin returns a finding for each value that two services of one
// section share.
func conflictsWithin(parsers []*parser) []Finding {
	var findings []Finding
	forEachConflict(parsers, func(first, second uniqueValue) {
		if first.source == second.source {
			findings = append(findings, Finding{
				Section: second.source.section, Line: second.token.line, Column: second.token.column, Words: second.token.text,
				Problem:    fmt.Sprintf("is %s that line %d already uses", second.label, first.token.line),
				Suggestion: "choose another one",
			})
		}
	})
	return findings
}

// conflictsBetween returns a finding for each value that services of different
// sections share. teams holds the team of each section by its heading.
func conflictsBetween(parsers []*parser, teams map[string]string) []Finding {
	var findings []Finding
	forEachConflict(parsers, func(first, second uniqueValue) {
		if first.source == second.source {
			return
		}
		a, b := first.source.section, second.source.section
		findings = append(findings, Finding{
			Section: b, Line: second.token.line, Column: second.token.column, Words: second.token.text,
			Problem: fmt.Sprintf("is %s that section %q of team %q and section %q of team %q both use",
				second.label, a, teams[a], b, teams[b]),
			Suggestion: "agree with the other team on who keeps it",
		})
	})
	return findings
}

// forEachConflict calls report for each value that an earlier service has too,
// with the first use of the value and the later one.
func forEachConflict(parsers []*parser, report func(first, second uniqueValue)) {
	firstUses := map[string]uniqueValue{}
	for _, p := range parsers {
		for _, d := range p.services {
			previousConflicts := false // whether the previous value of the service conflicts
			for _, value := range d.uniqueValues(p) {
				if previousConflicts && value.derived {
					continue
				}
				key := value.label + "\x00" + value.value
				var first uniqueValue
				if first, previousConflicts = firstUses[key]; previousConflicts {
					report(first, value)
					continue
				}
				firstUses[key] = value
			}
		}
	}
}

// uniqueValues returns the values of d that must be unique. Invalid values are
// left out.
func (d *serviceDecl) uniqueValues(p *parser) []uniqueValue {
	var values []uniqueValue
	if d.service.Name != "" {
		values = append(values, uniqueValue{"the name of a service", d.service.Name, d.name, p, false})
	}
	if d.service.AnnouncedAs != "" {
		values = append(values, uniqueValue{"the announced name of backend servers", d.service.AnnouncedAs, d.announcedAs, p, d.announcedAs == d.name})
	}
	if d.service.Address.IsValid() && d.service.Address.Port() > 0 {
		values = append(values, uniqueValue{"the address of a service", fmt.Sprint(d.service.Protocol, d.service.Address), d.address, p, false})
	}
	return values
}
