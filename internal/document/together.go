package document

import "fmt"

// CheckTogether returns the conflicts between sections: a heading, a service
// name, an announced name or an address that two sections use. The finding
// belongs to the later section.
func CheckTogether(sections []Section) []Finding {
	var findings []Finding
	parsers := make([]*parser, 0, len(sections))
	headings := map[string]Section{}
	owners := map[string]string{}
	for _, s := range sections {
		if first, twice := headings[s.Heading]; twice {
			findings = append(findings, Finding{
				Section: s.Heading, Line: 1, Column: 1, Words: s.Heading,
				Problem:    fmt.Sprintf("is the heading of a section of team %q and of one of team %q", first.Team, s.Team),
				Suggestion: "choose another heading",
			})
			continue
		}
		headings[s.Heading] = s
		owners[s.Heading] = s.Team
		parsers = append(parsers, parseSection(s))
	}
	return append(findings, conflictsBetween(parsers, owners)...)
}

// claim is a value of a service that no other service may have.
type claim struct {
	kind    string
	value   string
	at      token
	holder  *parser
	implied bool // derived from the previous claim of the service, so that a conflict of both is reported once
}

// conflicts returns a finding for each value that two services of one section
// share.
func conflicts(parsers []*parser) []Finding {
	var findings []Finding
	eachConflict(parsers, func(first, second claim) {
		if first.holder == second.holder {
			findings = append(findings, Finding{
				Section: second.holder.section, Line: second.at.line, Column: second.at.column, Words: second.at.text,
				Problem:    fmt.Sprintf("is %s that line %d already uses", second.kind, first.at.line),
				Suggestion: "choose another one",
			})
		}
	})
	return findings
}

// conflictsBetween returns a finding for each value that services of different
// sections share. owners holds the team of each section by its heading.
func conflictsBetween(parsers []*parser, owners map[string]string) []Finding {
	var found []Finding
	eachConflict(parsers, func(first, second claim) {
		if first.holder == second.holder {
			return
		}
		a, b := first.holder.section, second.holder.section
		found = append(found, Finding{
			Section: b, Line: second.at.line, Column: second.at.column, Words: second.at.text,
			Problem: fmt.Sprintf("is %s that section %q of team %q and section %q of team %q both use",
				second.kind, a, owners[a], b, owners[b]),
			Suggestion: "agree with the other team on who keeps it",
		})
	})
	return found
}

// eachConflict calls found for each value that an earlier service has too, with
// the first use of the value and the later one.
func eachConflict(parsers []*parser, found func(first, second claim)) {
	made := map[string]claim{}
	for _, p := range parsers {
		for _, d := range p.services {
			taken := false // whether the previous claim of the service conflicts
			for _, c := range d.claims(p) {
				if taken && c.implied {
					continue
				}
				key := c.kind + "\x00" + c.value
				var first claim
				if first, taken = made[key]; taken {
					found(first, c)
					continue
				}
				made[key] = c
			}
		}
	}
}

// claims returns the values of d that must be unique. Invalid values are left
// out.
func (d *declared) claims(p *parser) []claim {
	var out []claim
	if d.service.Name != "" {
		out = append(out, claim{"the name of a service", d.service.Name, d.name, p, false})
	}
	if d.service.AnnouncedAs != "" {
		out = append(out, claim{"the announced name of backend servers", d.service.AnnouncedAs, d.as, p, d.as == d.name})
	}
	if d.service.Address.IsValid() && d.service.Address.Port() > 0 {
		out = append(out, claim{"the address of a service", fmt.Sprint(d.service.Protocol, d.service.Address), d.address, p, false})
	}
	return out
}
