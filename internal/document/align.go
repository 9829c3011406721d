package document

import "strings"

// Costs of the differences between a sentence and a form. Removing a word and
// inserting another costs 6. A misspelt word costs least, so that it is paired
// with the intended word.
const (
	costSimilar = 1
	costKind    = 2 // a value of the wrong kind, such as a name without quotation marks
	costMissing = 3 // a missing or an extra word
	costOther   = 4 // a different word
)

// pair is one step of an alignment of a form with a sentence. An index of -1
// marks a gap: a missing word has no token, an extra word has no element.
type pair struct {
	element int
	token   int
	cost    int
}

// closestForm returns the form with the cheapest alignment to tokens, and that
// alignment. It returns nil if no form is close enough.
func closestForm(tokens []token) (*form, []pair) {
	var best *form
	var bestPairs []pair
	bestCost := 0
	for i := range sentenceForms {
		f := &sentenceForms[i]
		if !f.canResemble(len(tokens)) {
			continue
		}
		pairs, cost := f.align(tokens)
		if cost <= len(f.elements) && (best == nil || cost < bestCost) {
			best, bestPairs, bestCost = f, pairs, cost
		}
	}
	return best, bestPairs
}

// canResemble reports whether a sentence of the given number of words can be
// close to f. The check spares the alignment with most forms.
func (f *form) canResemble(words int) bool {
	longer := words - len(f.elements)
	if longer > 0 && f.rule == ruleSources {
		return true // a list of sources can have any length
	}
	return max(longer, -longer)*costMissing <= len(f.elements)
}

// align returns the cheapest alignment of the elements of f with tokens, and
// its cost.
func (f *form) align(tokens []token) ([]pair, int) {
	rows, columns := len(f.elements)+1, len(tokens)+1
	cost := make([][]int, rows)
	step := make([][]pair, rows)
	for i := range rows {
		cost[i] = make([]int, columns)
		step[i] = make([]pair, columns)
		for j := range columns {
			if i > 0 || j > 0 {
				cost[i][j], step[i][j] = f.bestStep(cost, tokens, i, j)
			}
		}
	}
	var reversed []pair
	for i, j := rows-1, columns-1; i > 0 || j > 0; {
		p := step[i][j]
		reversed = append(reversed, p)
		if p.element >= 0 {
			i--
		}
		if p.token >= 0 {
			j--
		}
	}
	pairs := make([]pair, 0, len(reversed))
	for k := len(reversed) - 1; k >= 0; k-- {
		pairs = append(pairs, reversed[k])
	}
	return pairs, cost[rows-1][columns-1]
}

// bestStep returns the cheapest way to align the first i elements with the
// first j tokens: its total cost and its last step.
func (f *form) bestStep(cost [][]int, tokens []token, i, j int) (int, pair) {
	best := -1
	var chosen pair
	consider := func(total int, p pair) {
		if best < 0 || total < best {
			best, chosen = total, p
		}
	}
	if i > 0 && j > 0 {
		c := f.elements[i-1].distance(tokens[j-1])
		consider(cost[i-1][j-1]+c, pair{i - 1, j - 1, c})
	}
	if i > 0 {
		consider(cost[i-1][j]+costMissing, pair{i - 1, -1, costMissing})
	}
	if j > 0 {
		c := costMissing
		if i > 0 && f.elements[i-1].slot == slotSources && f.elements[i-1].accepts(tokens[j-1]) {
			c = 0
		}
		consider(cost[i][j-1]+c, pair{-1, j - 1, c})
	}
	return best, chosen
}

// distance returns the cost of pairing e with t.
func (e element) distance(t token) int {
	if e.accepts(t) {
		return 0
	}
	switch e.slot {
	case slotNone:
		for _, w := range e.words {
			if !t.quoted && similar(w, t.text) {
				return costSimilar
			}
		}
		return costOther
	case slotUnit:
		return costKind
	case slotName:
		return costKind
	default:
		if t.quoted && hasDigit(t.text) {
			return costKind
		}
		return costMissing
	}
}

// longestWord is the length in bytes up to which words are compared letter by
// letter. No word of the sentence forms is longer.
const longestWord = 20

// similar reports whether b is a likely misspelling of a.
func similar(a, b string) bool {
	longer := max(len(a), len(b))
	if longer-min(len(a), len(b)) > 2 || longer > longestWord {
		return false
	}
	a, b = strings.ToLower(a), strings.ToLower(b)
	limit := 2
	if longer <= 3 {
		limit = 1
	}
	return len(a) <= longestWord && len(b) <= longestWord && editDistance(a, b) <= limit
}

// editDistance returns the number of byte insertions, deletions, substitutions
// and transpositions of neighbours between two words of at most longestWord
// bytes. A transposition counts as one edit, since it is the most common typing
// error.
func editDistance(a, b string) int {
	var rows [3][longestWord + 1]int
	before, previous, current := &rows[0], &rows[1], &rows[2]
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current[0] = i
		for j := 1; j <= len(b); j++ {
			change := 1
			if a[i-1] == b[j-1] {
				change = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+change)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				current[j] = min(current[j], before[j-2]+1)
			}
		}
		before, previous, current = previous, current, before
	}
	return previous[len(b)]
}

// differences returns a finding for each run of steps in which tokens differ
// from f.
func (f *form) differences(section string, tokens []token, pairs []pair) []Finding {
	var findings []Finding
	for from := 0; from < len(pairs); from++ {
		if pairs[from].cost == 0 {
			continue
		}
		to := from + 1
		for to < len(pairs) && pairs[to].cost > 0 {
			to++
		}
		findings = append(findings, f.difference(section, tokens, pairs, from, to))
		from = to
	}
	return findings
}

// difference returns the finding for pairs[from:to]. It quotes neighbouring
// words where the differing words alone would not identify the position.
func (f *form) difference(section string, tokens []token, pairs []pair, from, to int) Finding {
	if to < len(pairs) && pairs[to].element >= 0 {
		if next := f.elements[pairs[to].element].slot; next == slotNumber || next == slotAddress {
			to++
		}
	}
	if at, wrong := f.knownMistake(tokens, pairs[from:to]); wrong != nil {
		return Finding{
			Section: section, Line: at.line, Column: at.column, Words: at.text,
			Problem: wrong.problem, Suggestion: wrong.suggestion,
		}
	}
	words, wanted := f.written(tokens, pairs[from:to])
	if words == "" || wanted == "" {
		from, to = max(from-1, 0), min(to+1, len(pairs))
		words, wanted = f.written(tokens, pairs[from:to])
	}
	place := token{line: tokens[0].line, column: tokens[0].column}
	for _, p := range pairs[from:to] {
		if p.token >= 0 {
			place = tokens[p.token]
			break
		}
	}
	return Finding{
		Section: section, Line: place.line, Column: place.column, Words: words,
		Problem: "is not understood", Suggestion: "did you mean " + quote(wanted) + "?",
	}
}

// knownMistake recognizes mistakes that need a more specific explanation than
// the expected words.
func (f *form) knownMistake(tokens []token, pairs []pair) (token, *fault) {
	for _, p := range pairs {
		if p.token < 0 {
			continue
		}
		t := tokens[p.token]
		if wrong := addressWithPort(t.text); wrong != nil && !t.quoted {
			return t, wrong
		}
		if p.element >= 0 && f.elements[p.element].slot == slotName && !t.quoted && len(pairs) == 1 {
			return t, &fault{"needs quotation marks", "write \"" + t.text + "\" with a quotation mark at each end"}
		}
	}
	return token{}, nil
}

// written returns the words of the text and the words that f expects in their
// place.
func (f *form) written(tokens []token, pairs []pair) (string, string) {
	var words, wanted []string
	for _, p := range pairs {
		if p.token >= 0 {
			words = append(words, tokens[p.token].String())
		}
		if p.element < 0 {
			continue
		}
		e := f.elements[p.element]
		var t token
		if p.token >= 0 {
			t = tokens[p.token]
		}
		wanted = append(wanted, e.written(t)+e.suffix)
	}
	return strings.Join(words, " "), strings.TrimRight(strings.Join(wanted, " "), ",;")
}

// written returns the expected text of e. It keeps the value of t if that is
// usable, and returns a placeholder otherwise.
func (e element) written(t token) string {
	switch e.slot {
	case slotNone:
		for _, w := range e.words {
			if strings.EqualFold(w, t.text) {
				return t.text
			}
		}
		return e.words[0]
	case slotName:
		if t.text == "" {
			return `"NAME"`
		}
		return `"` + t.text + `"`
	case slotUnit:
		return "seconds"
	default:
		if hasDigit(t.text) {
			return t.text
		}
		if e.slot == slotNumber {
			return "NUMBER"
		}
		return "ADDRESS"
	}
}
