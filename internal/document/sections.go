package document

import (
	"fmt"
	"strings"
)

// ParseDocument splits a document into its sections and returns every problem
// with the headings. Findings have the line of the file. The text of each
// section is left for Parse.
func ParseDocument(text string) ([]Section, []Finding) {
	text = strings.TrimPrefix(text, "\ufeff") // some editors put a byte order mark at the start
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

// trimBlank joins lines[from:to] without blank lines at the ends and returns
// the number of the first line.
func trimBlank(lines []string, from, to int) (string, int) {
	for from < to && strings.TrimSpace(lines[from]) == "" {
		from++
	}
	for to > from && strings.TrimSpace(lines[to-1]) == "" {
		to--
	}
	return strings.Join(lines[from:to], "\n"), from + 1
}

// parseHeadingLines reads the heading that begins at lines[at] and returns the
// index of the line after it. A heading may run over a line end.
func parseHeadingLines(lines []string, at int) (Section, int, []Finding) {
	s := &scanner{}
	next := at
	for next == at || s.wantsHeadingWords() && next < len(lines) && canContinue(lines[next]) {
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

// wantsHeadingWords reports whether the heading read so far lacks words. A
// heading with all its words but no full stop must not take in the next line.
func (s *scanner) wantsHeadingWords() bool {
	return len(s.out) == 0 && len(s.current.tokens) < len(sentenceForms[0].elements)
}

func canContinue(line string) bool {
	return strings.TrimSpace(line) != "" && !isHeadingLine(line)
}

func readHeading(s sentence) (Section, []Finding) {
	form := &sentenceForms[0]
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
	values, ok := form.match(s.tokens)
	if !ok {
		tokens := s.tokens[:min(len(s.tokens), MaxSentenceWords)]
		pairs, _ := form.align(tokens)
		section := Section{}
		if len(tokens) > 1 && tokens[1].quoted {
			section.Heading = tokens[1].text
		}
		return section, append(findings, form.differences("", tokens, pairs)...)
	}
	heading, team := values[0][0], values[1][0]
	section := Section{Heading: heading.text, Team: team.text}
	_, wrong := parseHeading(heading.text)
	report(heading, wrong)
	_, wrong = parseName(team.text)
	report(team, wrong)
	return section, findings
}

// Join writes sections as one document. ParseDocument returns the same sections
// again if their texts parse.
func Join(sections []Section) string {
	var b strings.Builder
	for i, s := range sections {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "Section \"%s\", owned by team \"%s\".\n", s.Heading, s.Team)
		if s.Text != "" {
			b.WriteString("\n" + s.Text + "\n")
		}
	}
	return b.String()
}

// InFile returns findings with the lines of the file that sections were read from.
func InFile(findings []Finding, sections []Section) []Finding {
	out := make([]Finding, len(findings))
	for i, f := range findings {
		for _, s := range sections {
			if s.Heading == f.Section && s.FirstLine > 0 {
				f.Line += s.FirstLine - 1
				break
			}
		}
		out[i] = f
	}
	return out
}
