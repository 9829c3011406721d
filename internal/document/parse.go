package document

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// serviceDecl is a service with the positions of its sentences in the text.
type serviceDecl struct {
	service     Service
	name        token
	address     token
	announcedAs token
	ruleLines   [ruleCount]int // line of the sentence that gives each rule; 0 if there is none
}

// parser collects the services and findings of one section.
type parser struct {
	section        string
	services       []*serviceDecl
	currentService *serviceDecl // service to which "Its backend servers ..." and other rules apply; nil before the first service
	findings       []Finding
}

// ParseSection returns the services that a section describes and a finding for
// every problem in its text. The services are valid only if there are no
// findings.
func ParseSection(section Section) ([]Service, []Finding) {
	p := runParser(section)
	services := make([]Service, 0, len(p.services))
	for _, d := range p.services {
		services = append(services, d.service)
	}
	return services, p.findings
}

// runParser parses a section and finds the conflicts within it. A section that is
// too long is not parsed.
func runParser(section Section) *parser {
	p := &parser{section: section.Heading}
	if len(section.Text) > MaxSectionBytes {
		p.addFinding(token{line: 1, column: 1}, "",
			fmt.Sprintf("this section has more than %d characters", MaxSectionBytes), "split it into two sections")
		return p
	}
	p.findings = findHiddenCharacters(p.section, section.Text)
	lines := strings.Split(section.Text, "\n")
	for i, line := range lines {
		if isHeadingLine(line) {
			p.addFinding(token{line: i + 1, column: 1}, strings.TrimSpace(line),
				"begins a section inside a section", "give each section its own change")
			lines[i] = ""
		}
	}
	paragraphs, findings := splitParagraphs(p.section, lines, 1)
	p.findings = append(p.findings, findings...)
	p.parseParagraphs(paragraphs)
	p.findings = append(p.findings, conflictsWithin([]*parser{p})...)
	sortFindings(p.findings)
	return p
}

func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

func (p *parser) parseParagraphs(paragraphs []paragraph) {
	sentences := 0
	for _, para := range paragraphs {
		for _, s := range para.sentences {
			if sentences++; sentences > MaxSentencesPerSection {
				p.addFinding(s.tokens[0], "",
					fmt.Sprintf("this section has more than %d sentences", MaxSentencesPerSection), "split it into two sections")
				return
			}
			if para.isNote {
				p.checkNote(s)
			} else {
				p.parseSentence(s)
			}
		}
	}
}

func (p *parser) addFinding(at token, words, problem, suggestion string) {
	p.findings = append(p.findings, Finding{
		Section: p.section, Line: at.line, Column: at.column, Words: words, Problem: problem, Suggestion: suggestion,
	})
}

func (p *parser) addProblem(at token, problem *textProblem) {
	if problem != nil {
		p.addFinding(at, at.text, problem.description, problem.suggestion)
	}
}

// checkNote reports a sentence in a note that a reader could mistake for a rule.
func (p *parser) checkNote(s sentence) {
	tokens := s.tokens
	if strings.EqualFold(tokens[0].text, "Note:") {
		tokens = tokens[1:]
	}
	if len(tokens) == 0 || len(tokens) > MaxSentenceWords {
		return
	}
	pat, steps := closestPattern(tokens)
	if pat == nil {
		return
	}
	cost := 0
	for _, step := range steps {
		cost += step.cost
	}
	reported := slices.ContainsFunc(p.findings, func(f Finding) bool {
		return f.Line == tokens[0].line && f.Column == tokens[0].column
	})
	if cost <= len(pat.elements)/2 && !reported {
		p.addFinding(tokens[0], joinTokens(tokens), "reads like a rule but stands in a note, so it has no effect",
			"put a blank line before it to make it a rule, or use other words")
	}
}

func (p *parser) parseSentence(s sentence) {
	first := s.tokens[0]
	if len(s.tokens) > MaxSentenceWords {
		p.addFinding(first, joinTokens(s.tokens[:5]),
			fmt.Sprintf("begins a sentence of more than %d words", MaxSentenceWords), "use shorter sentences")
		return
	}
	if s.unclosedQuote {
		if len(s.tokens) > 1 && strings.EqualFold(s.tokens[1].text, "service") {
			p.currentService = &serviceDecl{}
		}
		return
	}
	if !s.hasFullStop {
		last := s.tokens[max(0, len(s.tokens)-2):]
		p.addFinding(last[0], joinTokens(last), "has no full stop after it", "did you mean "+quote(joinTokens(last)+".")+"?")
	}
	if pat, values := matchAny(s.tokens); pat != nil {
		p.applyRule(pat, first, values)
		return
	}
	if strings.EqualFold(first.text, "Note:") {
		p.addFinding(first, first.text, "does not begin a paragraph", "put a blank line before it")
		return
	}
	pat, steps := closestPattern(s.tokens)
	if pat == nil {
		p.addFinding(first, joinTokens(s.tokens[:min(8, len(s.tokens))]), "is not understood",
			`use a sentence from docs/DOCUMENT.md, or begin the paragraph with "Note:" if it is a remark`)
		return
	}
	if pat.rule == ruleService {
		p.currentService = &serviceDecl{} // the rules that follow belong to the misspelt service, not to the one before it
	}
	p.findings = append(p.findings, pat.differences(p.section, s.tokens, steps)...)
}

func joinTokens(tokens []token) string {
	words := make([]string, len(tokens))
	for i, t := range tokens {
		words[i] = t.String()
	}
	return strings.Join(words, " ")
}

func (p *parser) applyRule(pat *pattern, first token, values [][]token) {
	switch pat.rule {
	case ruleHeading:
		p.addFinding(first, first.text, "begins a section, which is only possible at the start of a line", "")
		return
	case ruleService:
		p.parseService(pat, values)
		return
	}
	d := p.currentService
	if d == nil {
		p.addFinding(first, first.text, "comes before any service",
			`begin with a sentence such as 'The service "order-desk" is reached at 10.20.0.1, port 443.'`)
		return
	}
	if line := d.ruleLines[pat.rule]; line > 0 {
		p.addFinding(first, first.text,
			fmt.Sprintf("begins a rule that line %d already gives for the service %q", line, d.service.Name),
			"keep one of the two")
		return
	}
	d.ruleLines[pat.rule] = first.line
	p.applyServiceRule(d, pat, values)
}

func (p *parser) parseService(pat *pattern, values [][]token) {
	name, address, port := values[0][0], values[1][0], values[2][0]
	d := &serviceDecl{name: name, address: address, announcedAs: name}
	p.currentService = d
	var problem *textProblem
	d.service.Name, problem = parseName(name.text)
	p.addProblem(name, problem)
	ip, problem := parseAddress(address.text)
	p.addProblem(address, problem)
	portNumber, problem := parseNumber(port.text, 1, 65535)
	p.addProblem(port, problem)
	d.service.Address = netip.AddrPortFrom(ip, uint16(portNumber))
	d.service.Protocol = TCP
	if pat.variant == "UDP" {
		d.service.Protocol = UDP
	}
	d.service.AnnouncedAs = d.service.Name
	d.service.MaxWait = DefaultMaxWait
	if len(p.services) == MaxServicesPerSection {
		p.addFinding(name, name.text,
			fmt.Sprintf("is more than the %d services that one section may have", MaxServicesPerSection), "split it into two sections")
		return
	}
	p.services = append(p.services, d)
}

func (p *parser) applyServiceRule(d *serviceDecl, pat *pattern, values [][]token) {
	var problem *textProblem
	var value token
	if len(values) > 0 {
		value = values[0][0]
	}
	switch pat.rule {
	case ruleAnnouncedAs:
		d.announcedAs = value
		d.service.AnnouncedAs, problem = parseName(value.text)
	case rulePriority:
		d.service.Priority = UnbrokenFirst
		if pat.variant == "balance" {
			d.service.Priority = BalanceFirst
		}
	case ruleSlots:
		d.service.SlotsPerBackend, problem = parseNumber(value.text, 1, MaxSlotsPerBackend)
	case ruleWait:
		d.service.MaxWait = 0
		if pat.variant == "wait" {
			d.service.MaxWait, problem = parseWait(value.text, values[1][0].text)
		}
	case ruleSources:
		p.parseSources(d, values[0])
	case ruleAnnounceToken:
		d.service.AnnounceTokenFingerprint, problem = parseFingerprint(value.text)
	}
	p.addProblem(value, problem)
}

func (p *parser) parseSources(d *serviceDecl, values []token) {
	for i, value := range values {
		if strings.EqualFold(value.text, "and") && i > 0 && i+1 < len(values) {
			continue
		}
		source, problem := parseSource(value.text)
		if problem != nil {
			p.addProblem(value, problem)
			continue
		}
		if len(d.service.AllowedSources) == MaxSourcesPerService {
			p.addFinding(value, value.text,
				fmt.Sprintf("is more than the %d ranges that one service may have", MaxSourcesPerService), "use larger ranges")
			return
		}
		d.service.AllowedSources = append(d.service.AllowedSources, source)
	}
}
