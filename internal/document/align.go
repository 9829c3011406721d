package document

import "strings"

// Costs of the differences between a sentence and a pattern. Removing a word and
// inserting another costs 6. A misspelt word costs least, so that it is aligned
// with the intended word.
const (
	costMisspelt  = 1
	costWrongKind = 2 // a value of the wrong kind, such as a name without quotation marks
	costMissing   = 3 // a missing or an extra word
	costDifferent = 4 // a different word
)

// alignmentStep is one step of an alignment of a pattern with a sentence. An
// index of -1 marks a gap: a missing word has no token, an extra word has no
// element.
type alignmentStep struct {
	elementIndex int
	tokenIndex   int
	cost         int
}

// closestPattern returns the pattern with the cheapest alignment to tokens, and
// that alignment. It returns nil if no pattern is close enough.
func closestPattern(tokens []token) (*pattern, []alignmentStep) {
	var best *pattern
	var bestSteps []alignmentStep
	bestCost := 0
	for i := range sentencePatterns {
		pat := &sentencePatterns[i]
		if !pat.canResemble(len(tokens)) {
			continue
		}
		steps, cost := pat.align(tokens)
		if cost <= len(pat.elements) && (best == nil || cost < bestCost) {
			best, bestSteps, bestCost = pat, steps, cost
		}
	}
	return best, bestSteps
}

// canResemble reports whether a sentence of the given number of words can be
// close to pat. The check avoids the alignment with most patterns.
func (pat *pattern) canResemble(words int) bool {
	extra := words - len(pat.elements)
	if extra > 0 && pat.rule == ruleSources {
		return true // a list of sources can have any length
	}
	return max(extra, -extra)*costMissing <= len(pat.elements)
}

// align returns the cheapest alignment of the elements of pat with tokens, and
// its cost.
func (pat *pattern) align(tokens []token) ([]alignmentStep, int) {
	rows, columns := len(pat.elements)+1, len(tokens)+1
	cost := make([][]int, rows)
	lastStep := make([][]alignmentStep, rows)
	for i := range rows {
		cost[i] = make([]int, columns)
		lastStep[i] = make([]alignmentStep, columns)
		for j := range columns {
			if i > 0 || j > 0 {
				cost[i][j], lastStep[i][j] = pat.bestStep(cost, tokens, i, j)
			}
		}
	}
	var reversed []alignmentStep
	for i, j := rows-1, columns-1; i > 0 || j > 0; {
		step := lastStep[i][j]
		reversed = append(reversed, step)
		if step.elementIndex >= 0 {
			i--
		}
		if step.tokenIndex >= 0 {
			j--
		}
	}
	steps := make([]alignmentStep, 0, len(reversed))
	for k := len(reversed) - 1; k >= 0; k-- {
		steps = append(steps, reversed[k])
	}
	return steps, cost[rows-1][columns-1]
}

// bestStep returns the cheapest way to align the first i elements with the
// first j tokens: its total cost and its last step.
func (pat *pattern) bestStep(cost [][]int, tokens []token, i, j int) (int, alignmentStep) {
	best := -1
	var chosen alignmentStep
	consider := func(total int, step alignmentStep) {
		if best < 0 || total < best {
			best, chosen = total, step
		}
	}
	if i > 0 && j > 0 {
		c := pat.elements[i-1].pairingCost(tokens[j-1])
		consider(cost[i-1][j-1]+c, alignmentStep{i - 1, j - 1, c})
	}
	if i > 0 {
		consider(cost[i-1][j]+costMissing, alignmentStep{i - 1, -1, costMissing})
	}
	if j > 0 {
		c := costMissing
		if i > 0 && pat.elements[i-1].kind == kindSources && pat.elements[i-1].accepts(tokens[j-1]) {
			c = 0
		}
		consider(cost[i][j-1]+c, alignmentStep{-1, j - 1, c})
	}
	return best, chosen
}

// pairingCost returns the cost of aligning e with t.
func (e element) pairingCost(t token) int {
	if e.accepts(t) {
		return 0
	}
	switch e.kind {
	case kindWord:
		for _, w := range e.words {
			if !t.quoted && isMisspelling(w, t.text) {
				return costMisspelt
			}
		}
		return costDifferent
	case kindUnit:
		return costWrongKind
	case kindName:
		return costWrongKind
	default:
		if t.quoted && hasDigit(t.text) {
			return costWrongKind
		}
		return costMissing
	}
}

// maxComparedWordBytes is the length up to which words are compared letter by
// letter. No word of the sentence patterns is longer.
const maxComparedWordBytes = 20

// isMisspelling reports whether b is a likely misspelling of a.
func isMisspelling(a, b string) bool {
	longer := max(len(a), len(b))
	if longer-min(len(a), len(b)) > 2 || longer > maxComparedWordBytes {
		return false
	}
	a, b = strings.ToLower(a), strings.ToLower(b)
	limit := 2
	if longer <= 3 {
		limit = 1
	}
	return len(a) <= maxComparedWordBytes && len(b) <= maxComparedWordBytes && editDistance(a, b) <= limit
}

// editDistance returns the number of byte insertions, deletions, substitutions
// and transpositions of neighbours between two words of at most
// maxComparedWordBytes bytes. A transposition counts as one edit, since it is the
// most common typing error.
func editDistance(a, b string) int {
	var rows [3][maxComparedWordBytes + 1]int
	beforePrevious, previous, current := &rows[0], &rows[1], &rows[2]
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current[0] = i
		for j := 1; j <= len(b); j++ {
			substitution := 1
			if a[i-1] == b[j-1] {
				substitution = 0
			}
			current[j] = min(previous[j]+1, current[j-1]+1, previous[j-1]+substitution)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				current[j] = min(current[j], beforePrevious[j-2]+1)
			}
		}
		beforePrevious, previous, current = previous, current, beforePrevious
	}
	return previous[len(b)]
}

// differences returns a finding for each run of steps in which tokens differ
// from pat.
func (pat *pattern) differences(section string, tokens []token, steps []alignmentStep) []Finding {
	var findings []Finding
	for from := 0; from < len(steps); from++ {
		if steps[from].cost == 0 {
			continue
		}
		to := from + 1
		for to < len(steps) && steps[to].cost > 0 {
			to++
		}
		findings = append(findings, pat.difference(section, tokens, steps, from, to))
		from = to
	}
	return findings
}

// difference returns the finding for steps[from:to]. It quotes neighbouring
// words where the differing words alone would not identify the position.
func (pat *pattern) difference(section string, tokens []token, steps []alignmentStep, from, to int) Finding {
	if to < len(steps) && steps[to].elementIndex >= 0 {
		if next := pat.elements[steps[to].elementIndex].kind; next == kindNumber || next == kindAddress {
			to++
		}
	}
	if mistaken, problem := pat.knownMistake(tokens, steps[from:to]); problem != nil {
		return Finding{
			Section: section, Line: mistaken.line, Column: mistaken.column, Words: mistaken.text,
			Problem: problem.description, Suggestion: problem.suggestion,
		}
	}
	words, expected := pat.actualAndExpected(tokens, steps[from:to])
	if words == "" || expected == "" {
		from, to = max(from-1, 0), min(to+1, len(steps))
		words, expected = pat.actualAndExpected(tokens, steps[from:to])
	}
	position := token{line: tokens[0].line, column: tokens[0].column}
	for _, step := range steps[from:to] {
		if step.tokenIndex >= 0 {
			position = tokens[step.tokenIndex]
			break
		}
	}
	return Finding{
		Section: section, Line: position.line, Column: position.column, Words: words,
		Problem: "is not understood", Suggestion: "did you mean " + quote(expected) + "?",
	}
}

// knownMistake recognizes mistakes that need a more specific explanation than
// the expected words.
func (pat *pattern) knownMistake(tokens []token, steps []alignmentStep) (token, *textProblem) {
	for _, step := range steps {
		if step.tokenIndex < 0 {
			continue
		}
		t := tokens[step.tokenIndex]
		if problem := addressWithPort(t.text); problem != nil && !t.quoted {
			return t, problem
		}
		if step.elementIndex >= 0 && pat.elements[step.elementIndex].kind == kindName && !t.quoted && len(steps) == 1 {
			return t, &textProblem{"needs quotation marks", "write \"" + t.text + "\" with a quotation mark at each end"}
		}
	}
	return token{}, nil
}

// actualAndExpected returns the words of the text and the words that pat expects
// instead.
func (pat *pattern) actualAndExpected(tokens []token, steps []alignmentStep) (string, string) {
	var words, expected []string
	for _, step := range steps {
		if step.tokenIndex >= 0 {
			words = append(words, tokens[step.tokenIndex].String())
		}
		if step.elementIndex < 0 {
			continue
		}
		e := pat.elements[step.elementIndex]
		var t token
		if step.tokenIndex >= 0 {
			t = tokens[step.tokenIndex]
		}
		expected = append(expected, e.expectedText(t)+e.suffix)
	}
	return strings.Join(words, " "), strings.TrimRight(strings.Join(expected, " "), ",;")
}

// expectedText returns the expected text of e. It keeps the value of t if that is
// usable, and returns a placeholder otherwise.
func (e element) expectedText(t token) string {
	switch e.kind {
	case kindWord:
		for _, w := range e.words {
			if strings.EqualFold(w, t.text) {
				return t.text
			}
		}
		return e.words[0]
	case kindName:
		if t.text == "" {
			return `"NAME"`
		}
		return `"` + t.text + `"`
	case kindUnit:
		return "seconds"
	default:
		if hasDigit(t.text) {
			return t.text
		}
		if e.kind == kindNumber {
			return "NUMBER"
		}
		return "ADDRESS"
	}
}
