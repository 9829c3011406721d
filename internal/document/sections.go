package document

import (
	"fmt"
	"math"
	"strings"
)

// ParseDocument splits a document into its sections and returns a finding for
// every problem in the headings or before the first one. The lines of the
// findings are counted from the top of the document. The text of the sections is
// not checked; see Parse.
func ParseDocument(text string) ([]Section, []Finding) {
	text = strings.TrimPrefix(text, "\ufeff") // some editors write a byte order mark
	text = strings.ReplaceAll(text, "\r\n", "\n")
	if len(text) > MaxDocumentBytes {
		return nil, []Finding{{Line: 1, Column: 1, Problem: fmt.Sprintf("the document has more than %d characters", MaxDocumentBytes)}}
	}
	lines := strings.Split(text, "\n")
	var sections []Section
	var findings []Finding
	at := 0
	for at < len(lines) && !isHeadingLine(lines[at]) {
		if words := strings.TrimSpace(lines[at]); words != "" && len(findings) == 0 {
			findings = append(findings, Finding{
				Line: at + 1, Column: 1, Words: firstWords(words), Problem: "comes before the first section",
				Suggestion: `begin with a line such as 'Section "Orders", owned by team "shop".'`,
			})
		}
		at++
	}
	for at < len(lines) {
		section, next, wrong := parseHeadingLines(lines, at)
		findings = append(findings, wrong...)
		end := next
		for end < len(lines) && !isHeadingLine(lines[end]) {
			end++
		}
		section.Text, section.FirstLine = trimBlank(lines, next, end)
		sections = append(sections, section)
		at = end
	}
	return sections, findings
}

func firstWords(line string) string {
	words := strings.Fields(line)
	return strings.Join(words[:min(8, len(words))], " ")
}

// trimBlank joins lines[from:to] without leading and trailing blank lines. It
// also returns the number of the first remaining line.
func trimBlank(lines []string, from, to int) (string, int) {
	for from < to && strings.TrimSpace(lines[from]) == "" {
		from++
	}
	for to > from && strings.TrimSpace(lines[to-1]) == "" {
		to--
	}
	return strings.Join(lines[from:to], "\n"), from + 1
}

// parseHeadingLines parses the heading that begins at lines[at], which may span
// several lines. It returns the section with its heading, team and version, and
// the index of the line after the heading.
func parseHeadingLines(lines []string, at int) (Section, int, []Finding) {
	s := &scanner{}
	next := at
	for next == at || next < len(lines) && s.continuesHeading(lines[next]) {
		s.scanLine(lines[next], next+1, false)
		next++
	}
	sentences := s.endParagraph()
	head := sentences[0]
	if len(sentences) > 1 {
		extra := sentences[1].tokens[0]
		s.findings = append(s.findings, Finding{
			Line: extra.line, Column: extra.column, Words: extra.String(),
			Problem: "stands on the same line as a heading", Suggestion: "begin a new line after the full stop",
		})
	}
	section, wrong := readHeading(head)
	if head.broken {
		wrong = nil
	}
	return section, next, append(s.findings, wrong...)
}

// continuesHeading reports whether line continues the heading scanned so far. A
// heading that has all its words but no full stop must not include the next line.
func (s *scanner) continuesHeading(line string) bool {
	if len(s.out) > 0 || strings.TrimSpace(line) == "" || isHeadingLine(line) {
		return false
	}
	words := len(s.current.tokens)
	if strings.EqualFold(strings.Fields(line)[0], "version") {
		return words < len(headingForms[1].elements)
	}
	return words < len(headingForms[0].elements)
}

func readHeading(s sentence) (Section, []Finding) {
	var findings []Finding
	report := func(at token, wrong *fault) {
		if wrong != nil {
			findings = append(findings, Finding{
				Line: at.line, Column: at.column, Words: at.text, Problem: wrong.problem, Suggestion: wrong.suggestion,
			})
		}
	}
	if !s.stopped {
		last := s.tokens[len(s.tokens)-1]
		report(last, &fault{"has no full stop after it", "add a full stop"})
	}
	section := Section{}
	if len(s.tokens) > 1 && s.tokens[1].quoted {
		section.Heading = s.tokens[1].text
	}
	for i := range headingForms {
		if values, ok := headingForms[i].match(s.tokens); ok {
			section.readHeadingValues(values, report)
			return section, findings
		}
	}
	tokens := s.tokens[:min(len(s.tokens), MaxSentenceWords)]
	form := &headingForms[0]
	pairs, cost := form.align(tokens)
	if withVersion, other := headingForms[1].align(tokens); other < cost {
		form, pairs = &headingForms[1], withVersion
	}
	return section, append(findings, form.differences("", tokens, pairs)...)
}

func (s *Section) readHeadingValues(values [][]token, report func(token, *fault)) {
	heading, team := values[0][0], values[1][0]
	s.Heading, s.Team = heading.text, team.text
	_, wrong := parseHeading(heading.text)
	report(heading, wrong)
	_, wrong = parseName(team.text)
	report(team, wrong)
	if len(values) > 2 {
		version, wrong := parseNumber(values[2][0].text, 1, math.MaxInt32)
		report(values[2][0], wrong)
		s.Version = uint64(version)
	}
}

// Join formats sections as one document. ParseDocument returns the same sections
// for the result if their texts parse without findings.
func Join(sections []Section) string {
	var b strings.Builder
	for i, s := range sections {
		if i > 0 {
			b.WriteString("\n")
		}
		version := ""
		if s.Version > 0 {
			version = fmt.Sprintf(", version %d", s.Version)
		}
		fmt.Fprintf(&b, "Section \"%s\", owned by team \"%s\"%s.\n", s.Heading, s.Team, version)
		if s.Text != "" {
			b.WriteString("\n" + s.Text + "\n")
		}
	}
	return b.String()
}

// InFile returns a copy of findings in which lines are counted from the top of
// the file from which sections were read, not of the section's text.
func InFile(findings []Finding, sections []Section) []Finding {
	out := make([]Finding, len(findings))
	for i, f := range findings {
		for _, s := range sections {
			if s.Heading == f.Section && s.FirstLine > 0 && f.Line > 0 {
				f.Line += s.FirstLine - 1
				break
			}
		}
		out[i] = f
	}
	return out
}
