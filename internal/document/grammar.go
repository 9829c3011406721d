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
	ruleToken
	ruleCount // number of rules
)

// slot is the kind of an element: a fixed word, or the kind of value that it
// takes.
type slot uint8

const (
	slotNone    slot = iota // a fixed word
	slotName                // a quoted name
	slotAddress             // an address
	slotNumber              // a number
	slotUnit                // seconds, milliseconds or minutes
	slotSources             // one or more ranges of addresses
)

// element is a fixed word or a value in a form.
type element struct {
	words  []string // accepted words; the first is used in suggestions
	slot   slot
	suffix string // punctuation after the element, used in suggestions
}

// form is the pattern of one sentence of the document language.
type form struct {
	rule     rule
	elements []element
	option   string // distinguishes the forms of one rule
}

// sentenceForms lists all sentences of the document language.
// docs/DOCUMENT.md describes them for operators.
var sentenceForms = []form{
	newForm(ruleHeading, "", `Section {name}, owned by team {name}`),
	newForm(ruleHeading, "version", `Section {name}, owned by team {name}, version {number}`),
	newForm(ruleService, "TCP", `The service {name} is reached at {address}, port {number}`),
	newForm(ruleService, "TCP", `The service {name} is reached at {address}, port {number}, over TCP`),
	newForm(ruleService, "UDP", `The service {name} is reached at {address}, port {number}, over UDP`),
	newForm(ruleAnnouncedAs, "", `Its backend servers announce themselves as {name}`),
	newForm(rulePriority, "unbroken",
		`Connections last a long time; keep them unbroken before balancing them evenly`),
	newForm(rulePriority, "balance",
		`Connections are short; balance them evenly before keeping them unbroken`),
	newForm(ruleSlots, "", `Each backend server takes {number} requests|request at once`),
	newForm(ruleWait, "wait", `Wait at most {number} {unit} for a free place, then refuse`),
	newForm(ruleWait, "refuse", `Refuse at once when no place is free`),
	newForm(ruleSources, "", `Its backend servers may announce themselves from {sources}`),
	newForm(ruleToken, "", `Its backend servers show the announcement token with fingerprint {name}`),
}

// headingForms are the forms of a section heading, without and with a version.
var headingForms = sentenceForms[:2]

var slotNames = map[string]slot{
	"{name}": slotName, "{address}": slotAddress, "{number}": slotNumber, "{unit}": slotUnit, "{sources}": slotSources,
}

// newForm parses text, in which {name} and the other keys of slotNames stand
// for values and "|" separates the accepted words of one element.
func newForm(r rule, option, text string) form {
	f := form{rule: r, option: option}
	for _, field := range strings.Fields(text) {
		word := strings.TrimRightFunc(field, isPunctuation)
		e := element{slot: slotNames[word], suffix: field[len(word):]}
		if e.slot == slotNone {
			e.words = strings.Split(word, "|")
		}
		f.elements = append(f.elements, e)
	}
	return f
}

// opensSentence reports whether two words, the first of them capitalized, begin
// a known sentence.
func opensSentence(first, second token) bool {
	if first.quoted || first.text == "" || !unicode.IsUpper([]rune(first.text)[0]) {
		return false
	}
	for _, f := range sentenceForms {
		if f.elements[1].slot == slotNone && f.elements[0].accepts(first) && f.elements[1].accepts(second) {
			return true
		}
	}
	return false
}

// accepts reports whether t matches e. A value of the right kind is accepted
// even if its content is invalid, so that the finding can say what is wrong with
// the value.
func (e element) accepts(t token) bool {
	switch e.slot {
	case slotName:
		return t.quoted
	case slotUnit:
		return !t.quoted && units[strings.ToLower(t.text)] > 0
	case slotAddress:
		return !t.quoted && hasDigit(t.text)
	case slotNumber:
		return !t.quoted && (hasDigit(t.text) || numberWords[strings.ToLower(t.text)] > 0)
	case slotSources:
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

// match returns the values in tokens if they match f exactly.
func (f form) match(tokens []token) ([][]token, bool) {
	var values [][]token
	at := 0
	for _, e := range f.elements {
		if at >= len(tokens) || !e.accepts(tokens[at]) {
			return nil, false
		}
		from := at
		at++
		for e.slot == slotSources && at < len(tokens) && e.accepts(tokens[at]) {
			at++
		}
		if e.slot != slotNone {
			values = append(values, tokens[from:at])
		}
	}
	return values, at == len(tokens)
}

// matchAny returns the form that tokens match exactly and the values in them.
// It returns nil if there is none.
func matchAny(tokens []token) (*form, [][]token) {
	for i := range sentenceForms {
		if values, ok := sentenceForms[i].match(tokens); ok {
			return &sentenceForms[i], values
		}
	}
	return nil, nil
}
