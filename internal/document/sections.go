package document

import (
	"fmt"
	"math"
	"strings"
)

// ParseDocument splits a document into its sections and returns a finding for
// every problem in the headings or before the first one. The lines of the
// findings are counted from the top of the document. The text of the sections is
// not checked; see ParseSection.
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
		section, next, headingFindings := parseHeadingLines(lines, at)
		findings = append(findings, headingFindings...)
		end := next
		for end < len(lines) && !isHeadingLine(lines[end]) {
			end++
		}
		section.Text, section.FirstLine = trimBlankLines(lines, next, end)
		sections = append(sections, section)
		at = end
	}
	return sections, findings
}

func firstWords(line string) string {
	words := strings.Fields(line)
	return strings.Join(words[:min(8, len(words))], " ")
}

// trimBlankLines joins lines[from:to] without leading and trailing blank lines. It
// also returns the number of the first remaining line.
func trimBlankLines(lines []string, from, to int) (string, int) {
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
	heading := sentences[0]
	if len(sentences) > 1 {
		extra := sentences[1].tokens[0]
		s.findings = append(s.findings, Finding{
			Line: extra.line, Column: extra.column, Words: extra.String(),
			Problem: "stands on the same line as a heading", Suggestion: "begin a new line after the full stop",
		})
	}
	section, headingFindings := parseHeadingSentence(heading)
	if heading.unclosedQuote {
		headingFindings = nil
	}
	return section, next, append(s.findings, headingFindings...)
}

// continuesHeading reports whether line continues the heading scanned so far. A
// heading that has all its words but no full stop must not include the next line.
func (s *scanner) continuesHeading(line string) bool {
	if len(s.sentences) > 0 || strings.TrimSpace(line) == "" || isHeadingLine(line) {
		return false
	}
	words := len(s.current.tokens)
	if strings.EqualFold(strings.Fields(line)[0], "version") {
		return words < len(headingPatterns[1].elements)
	}
	return words < len(headingPatterns[0].elements)
}

// parseHeadingSentence returns the heading, team and version that s gives, and a
// finding for every problem in it. If s matches no heading pattern, at most the
// text of the heading is returned.
func parseHeadingSentence(s sentence) (Section, []Finding) {
	var findings []Finding
	report := func(at token, problem *textProblem) {
		if problem != nil {
			findings = append(findings, Finding{
				Line: at.line, Column: at.column, Words: at.text, Problem: problem.description, Suggestion: problem.suggestion,
			})
		}
	}
	if !s.hasFullStop {
		last := s.tokens[len(s.tokens)-1]
		report(last, &textProblem{"has no full stop after it", "add a full stop"})
	}
	section := Section{}
	if len(s.tokens) > 1 && s.tokens[1].quoted {
		section.Heading = s.tokens[1].text
	}
	for i := range headingPatterns {
		if values, ok := headingPatterns[i].match(s.tokens); ok {
			section.setHeadingValues(values, report)
			return section, findings
		}
	}
	tokens := s.tokens[:min(len(s.tokens), MaxSentenceWords)]
	pat := &headingPatterns[0]
	steps, cost := pat.align(tokens)
	if versionSteps, versionCost := headingPatterns[1].align(tokens); versionCost < cost {
		pat, steps = &headingPatterns[1], versionSteps
	}
	return section, append(findings, pat.differences("", tokens, steps)...)
}

func (s *Section) setHeadingValues(values [][]token, report func(token, *textProblem)) {
	heading, team := values[0][0], values[1][0]
	s.Heading, s.Team = heading.text, team.text
	_, problem := parseHeadingText(heading.text)
	report(heading, problem)
	_, problem = parseName(team.text)
	report(team, problem)
	if len(values) > 2 {
		version, problem := parseNumber(values[2][0].text, 1, math.MaxInt32)
		report(values[2][0], problem)
		s.Version = uint64(version)
	}
}

// FormatDocument formats sections as one document. ParseDocument returns the same
// sections for the result if their texts parse without findings.
func FormatDocument(sections []Section) string {
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

// WithFileLines returns a copy of findings in which lines are counted from the
// top of the file from which sections were read, not of the section's text.
func WithFileLines(findings []Finding, sections []Section) []Finding {
	moved := make([]Finding, len(findings))
	for i, f := range findings {
		for _, s := range sections {
			if s.Heading == f.Section && s.FirstLine > 0 && f.Line > 0 {
				f.Line += s.FirstLine - 1
				break
			}
		}
		moved[i] = f
	}
	return moved
}
