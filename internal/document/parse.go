package document

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// declared is a service with the positions of its sentences in the text.
type declared struct {
	service Service
	name    token
	address token
	as      token
	said    [ruleCount]int // line of the sentence that gives each rule; 0 if there is none
}

// parser collects the services and findings of one section.
type parser struct {
	section  string
	services []*declared
	current  *declared // service to which "Its backend servers ..." and other rules apply; nil before the first service
	findings []Finding
}

// Parse returns the services that a section describes and a finding for every
// problem in its text. The services are valid only if there are no findings.
func Parse(section Section) ([]Service, []Finding) {
	p := parseSection(section)
	services := make([]Service, 0, len(p.services))
	for _, d := range p.services {
		services = append(services, d.service)
	}
	return services, p.findings
}

func parseSection(section Section) *parser {
	p := &parser{section: section.Heading}
	if len(section.Text) > MaxSectionBytes {
		p.add(token{line: 1, column: 1}, "",
			fmt.Sprintf("this section has more than %d characters", MaxSectionBytes), "split it into two sections")
		return p
	}
	p.findings = hiddenCharacters(p.section, section.Text)
	lines := strings.Split(section.Text, "\n")
	for i, line := range lines {
		if isHeadingLine(line) {
			p.add(token{line: i + 1, column: 1}, strings.TrimSpace(line),
				"begins a section inside a section", "give each section its own change")
			lines[i] = ""
		}
	}
	paragraphs, findings := splitParagraphs(p.section, lines, 1)
	p.findings = append(p.findings, findings...)
	p.paragraphs(paragraphs)
	p.findings = append(p.findings, conflicts([]*parser{p})...)
	sortFindings(p.findings)
	return p
}

func sortFindings(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

func (p *parser) paragraphs(paragraphs []paragraph) {
	sentences := 0
	for _, para := range paragraphs {
		for _, s := range para.sentences {
			if sentences++; sentences > MaxSentences {
				p.add(s.tokens[0], "",
					fmt.Sprintf("this section has more than %d sentences", MaxSentences), "split it into two sections")
				return
			}
			if para.note {
				p.note(s)
			} else {
				p.sentence(s)
			}
		}
	}
}

func (p *parser) add(at token, words, problem, suggestion string) {
	p.findings = append(p.findings, Finding{
		Section: p.section, Line: at.line, Column: at.column, Words: words, Problem: problem, Suggestion: suggestion,
	})
}

func (p *parser) addFault(at token, wrong *fault) {
	if wrong != nil {
		p.add(at, at.text, wrong.problem, wrong.suggestion)
	}
}

// note reports a sentence in a note that a reader could mistake for a rule.
func (p *parser) note(s sentence) {
	tokens := s.tokens
	if strings.EqualFold(tokens[0].text, "Note:") {
		tokens = tokens[1:]
	}
	if len(tokens) == 0 || len(tokens) > MaxSentenceWords {
		return
	}
	f, pairs := closestForm(tokens)
	if f == nil {
		return
	}
	cost := 0
	for _, pair := range pairs {
		cost += pair.cost
	}
	reported := slices.ContainsFunc(p.findings, func(f Finding) bool {
		return f.Line == tokens[0].line && f.Column == tokens[0].column
	})
	if cost <= len(f.elements)/2 && !reported {
		p.add(tokens[0], written(tokens), "reads like a rule but stands in a note, so it has no effect",
			"put a blank line before it to make it a rule, or use other words")
	}
}

func (p *parser) sentence(s sentence) {
	first := s.tokens[0]
	if len(s.tokens) > MaxSentenceWords {
		p.add(first, written(s.tokens[:5]),
			fmt.Sprintf("begins a sentence of more than %d words", MaxSentenceWords), "use shorter sentences")
		return
	}
	if s.broken {
		if len(s.tokens) > 1 && strings.EqualFold(s.tokens[1].text, "service") {
			p.current = &declared{}
		}
		return
	}
	if !s.stopped {
		last := s.tokens[max(0, len(s.tokens)-2):]
		p.add(last[0], written(last), "has no full stop after it", "did you mean "+quote(written(last)+".")+"?")
	}
	if f, values := matchAny(s.tokens); f != nil {
		p.apply(f, first, values)
		return
	}
	if strings.EqualFold(first.text, "Note:") {
		p.add(first, first.text, "does not begin a paragraph", "put a blank line before it")
		return
	}
	f, pairs := closestForm(s.tokens)
	if f == nil {
		p.add(first, written(s.tokens[:min(8, len(s.tokens))]), "is not understood",
			`use a sentence from docs/DOCUMENT.md, or begin the paragraph with "Note:" if it is a remark`)
		return
	}
	if f.rule == ruleService {
		p.current = &declared{} // the rules that follow belong to the misspelt service, not to the one before it
	}
	p.findings = append(p.findings, f.differences(p.section, s.tokens, pairs)...)
}

func written(tokens []token) string {
	words := make([]string, len(tokens))
	for i, t := range tokens {
		words[i] = t.String()
	}
	return strings.Join(words, " ")
}

func (p *parser) apply(f *form, first token, values [][]token) {
	switch f.rule {
	case ruleHeading:
		p.add(first, first.text, "begins a section, which is only possible at the start of a line", "")
		return
	case ruleService:
		p.service(f, values)
		return
	}
	d := p.current
	if d == nil {
		p.add(first, first.text, "comes before any service",
			`begin with a sentence such as 'The service "order-desk" is reached at 10.20.0.1, port 443.'`)
		return
	}
	if said := d.said[f.rule]; said > 0 {
		p.add(first, first.text,
			fmt.Sprintf("begins a rule that line %d already gives for the service %q", said, d.service.Name),
			"keep one of the two")
		return
	}
	d.said[f.rule] = first.line
	p.attribute(d, f, values)
}

func (p *parser) service(f *form, values [][]token) {
	name, address, port := values[0][0], values[1][0], values[2][0]
	d := &declared{name: name, address: address, as: name}
	p.current = d
	var wrong *fault
	d.service.Name, wrong = parseName(name.text)
	p.addFault(name, wrong)
	ip, wrong := parseAddress(address.text)
	p.addFault(address, wrong)
	number, wrong := parseNumber(port.text, 1, 65535)
	p.addFault(port, wrong)
	d.service.Address = netip.AddrPortFrom(ip, uint16(number))
	d.service.Protocol = TCP
	if f.option == "UDP" {
		d.service.Protocol = UDP
	}
	d.service.AnnouncedAs = d.service.Name
	d.service.MaxWait = DefaultMaxWait
	if len(p.services) == MaxServices {
		p.add(name, name.text,
			fmt.Sprintf("is more than the %d services that one section may have", MaxServices), "split it into two sections")
		return
	}
	p.services = append(p.services, d)
}

func (p *parser) attribute(d *declared, f *form, values [][]token) {
	var wrong *fault
	var at token
	if len(values) > 0 {
		at = values[0][0]
	}
	switch f.rule {
	case ruleAnnouncedAs:
		d.as = at
		d.service.AnnouncedAs, wrong = parseName(at.text)
	case rulePriority:
		d.service.Priority = UnbrokenFirst
		if f.option == "balance" {
			d.service.Priority = BalanceFirst
		}
	case ruleSlots:
		d.service.SlotsPerBackend, wrong = parseNumber(at.text, 1, MaxSlotsPerBackend)
	case ruleWait:
		d.service.MaxWait = 0
		if f.option == "wait" {
			d.service.MaxWait, wrong = parseWait(at.text, values[1][0].text)
		}
	case ruleSources:
		p.sources(d, values[0])
	case ruleToken:
		d.service.AnnounceToken, wrong = parseFingerprint(at.text)
	}
	p.addFault(at, wrong)
}

func (p *parser) sources(d *declared, values []token) {
	for i, v := range values {
		if strings.EqualFold(v.text, "and") && i > 0 && i+1 < len(values) {
			continue
		}
		source, wrong := parseSource(v.text)
		if wrong != nil {
			p.addFault(v, wrong)
			continue
		}
		if len(d.service.AllowedSources) == MaxSources {
			p.add(v, v.text,
				fmt.Sprintf("is more than the %d ranges that one service may have", MaxSources), "use larger ranges")
			return
		}
		d.service.AllowedSources = append(d.service.AllowedSources, source)
	}
}
