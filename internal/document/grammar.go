package document

import (
	"strings"
	"unicode"
)

// rule identifies what a sentence specifies.
type rule uint8

const (
	ruleHeading rule = iota
	ruleService
	ruleAnnouncedAs
	rulePriority
	ruleSlots
	ruleWait
	ruleSources
	ruleAnnounceToken
	ruleCount // number of rules
)

// elementKind is the kind of an element: a fixed word, or the kind of value that it
// takes.
type elementKind uint8

const (
	kindWord    elementKind = iota // a fixed word
	kindName                       // a quoted name
	kindAddress                    // an address
	kindNumber                     // a number
	kindUnit                       // seconds, milliseconds or minutes
	kindSources                    // one or more ranges of addresses
)

// element is a fixed word or a value in a pattern.
type element struct {
	words  []string // accepted words; the first is used in suggestions
	kind   elementKind
	suffix string // punctuation after the element, used in suggestions
}

// pattern describes one sentence of the document language.
type pattern struct {
	rule     rule
	elements []element
	variant  string // distinguishes the patterns of one rule
}

// sentencePatterns lists all sentences of the document language.
// docs/DOCUMENT.md describes them for operators.
var sentencePatterns = []pattern{
	newPattern(ruleHeading, "", `Section {name}, owned by team {name}`),
	newPattern(ruleHeading, "version", `Section {name}, owned by team {name}, version {number}`),
	newPattern(ruleService, "TCP", `The service {name} is reached at {address}, port {number}`),
	newPattern(ruleService, "TCP", `The service {name} is reached at {address}, port {number}, over TCP`),
	newPattern(ruleService, "UDP", `The service {name} is reached at {address}, port {number}, over UDP`),
	newPattern(ruleAnnouncedAs, "", `Its backend servers announce themselves as {name}`),
	newPattern(rulePriority, "unbroken",
		`Connections last a long time; keep them unbroken before balancing them evenly`),
	newPattern(rulePriority, "balance",
		`Connections are short; balance them evenly before keeping them unbroken`),
	newPattern(ruleSlots, "", `Each backend server takes {number} requests|request at once`),
	newPattern(ruleWait, "wait", `Wait at most {number} {unit} for a free place, then refuse`),
	newPattern(ruleWait, "refuse", `Refuse at once when no place is free`),
	newPattern(ruleSources, "", `Its backend servers may announce themselves from {sources}`),
	newPattern(ruleAnnounceToken, "", `Its backend servers show the announcement token with fingerprint {name}`),
}

// headingPatterns are the patterns of a section heading, without and with a
// version.
var headingPatterns = sentencePatterns[:2]

var kindByPlaceholder = map[string]elementKind{
	"{name}": kindName, "{address}": kindAddress, "{number}": kindNumber, "{unit}": kindUnit, "{sources}": kindSources,
}

// newPattern parses text, in which {name} and the other keys of
// kindByPlaceholder stand for values, and "|" separates the accepted words of one
// element.
func newPattern(r rule, variant, text string) pattern {
	pat := pattern{rule: r, variant: variant}
	for _, field := range strings.Fields(text) {
		word := strings.TrimRightFunc(field, isPunctuation)
		e := element{kind: kindByPlaceholder[word], suffix: field[len(word):]}
		if e.kind == kindWord {
			e.words = strings.Split(word, "|")
		}
		pat.elements = append(pat.elements, e)
	}
	return pat
}

// beginsSentence reports whether two words, the first of them capitalized, begin
// a known sentence.
func beginsSentence(first, second token) bool {
	if first.quoted || first.text == "" || !unicode.IsUpper([]rune(first.text)[0]) {
		return false
	}
	for _, pat := range sentencePatterns {
		if pat.elements[1].kind == kindWord && pat.elements[0].accepts(first) && pat.elements[1].accepts(second) {
			return true
		}
	}
	return false
}

// accepts reports whether t matches e. A value of the right kind is accepted
// even if its content is invalid, so that the finding can say what is wrong with
// the value.
func (e element) accepts(t token) bool {
	switch e.kind {
	case kindName:
		return t.quoted
	case kindUnit:
		return !t.quoted && unitDurations[strings.ToLower(t.text)] > 0
	case kindAddress:
		return !t.quoted && hasDigit(t.text)
	case kindNumber:
		return !t.quoted && (hasDigit(t.text) || numberWords[strings.ToLower(t.text)] > 0)
	case kindSources:
		return !t.quoted && (hasDigit(t.text) || strings.EqualFold(t.text, "and"))
	default:
		if t.quoted {
			return false
		}
		for _, w := range e.words {
			if strings.EqualFold(w, t.text) {
				return true
			}
		}
		return false
	}
}

func hasDigit(text string) bool { return strings.ContainsAny(text, "0123456789") }

// match returns the values in tokens if they match pat exactly.
func (pat pattern) match(tokens []token) ([][]token, bool) {
	var values [][]token
	at := 0
	for _, e := range pat.elements {
		if at >= len(tokens) || !e.accepts(tokens[at]) {
			return nil, false
		}
		from := at
		at++
		for e.kind == kindSources && at < len(tokens) && e.accepts(tokens[at]) {
			at++
		}
		if e.kind != kindWord {
			values = append(values, tokens[from:at])
		}
	}
	return values, at == len(tokens)
}

// matchAny returns the pattern that tokens match exactly and the values in them.
// It returns nil if there is none.
func matchAny(tokens []token) (*pattern, [][]token) {
	for i := range sentencePatterns {
		if values, ok := sentencePatterns[i].match(tokens); ok {
			return &sentencePatterns[i], values
		}
	}
	return nil, nil
}
