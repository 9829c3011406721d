package document

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// token is a word or a quoted name with its position. Commas and semicolons are
// not tokens: a person to whom the text is read aloud does not notice them, so
// they must not affect its meaning.
type token struct {
	text   string
	quoted bool
	line   int
	column int
}

// String returns the token as it appears in the text, with quotation marks
// around a name.
func (t token) String() string {
	if t.quoted {
		return `"` + t.text + `"`
	}
	return t.text
}

// sentence is a sequence of tokens. It ends at a full stop, at the end of its
// paragraph or before the first words of a known sentence.
type sentence struct {
	tokens        []token
	hasFullStop   bool // ends with a full stop
	unclosedQuote bool // lacks a closing quotation mark, which scanQuoted reports outside notes
}

// paragraph is a sequence of lines without a blank line between them.
type paragraph struct {
	isNote    bool
	sentences []sentence
}

// scanner splits the text of a section into paragraphs, sentences and tokens.
type scanner struct {
	section   string
	findings  []Finding
	current   sentence
	sentences []sentence
}

func isQuote(r rune) bool { return r == '"' || r == '“' || r == '”' || r == '„' }

func isPunctuation(r rune) bool { return r == ',' || r == ';' || r == '.' }

// isHeadingLine reports whether a line begins with the word "section" and a
// quotation mark, and so starts a section.
func isHeadingLine(line string) bool {
	rest := strings.TrimLeftFunc(line, unicode.IsSpace)
	if len(rest) < len("section") || !strings.EqualFold(rest[:len("section")], "section") {
		return false
	}
	rest = strings.TrimLeftFunc(rest[len("section"):], unicode.IsSpace)
	first, _ := utf8.DecodeRuneInString(rest)
	return isQuote(first)
}

// splitParagraphs returns the paragraphs of lines. firstLine is the line number
// of lines[0].
func splitParagraphs(section string, lines []string, firstLine int) ([]paragraph, []Finding) {
	s := &scanner{section: section}
	var paragraphs []paragraph
	for i := 0; i < len(lines); i++ {
		if strings.TrimSpace(lines[i]) == "" {
			continue
		}
		from := i
		for i < len(lines) && strings.TrimSpace(lines[i]) != "" {
			i++
		}
		paragraphs = append(paragraphs, s.scanParagraph(lines[from:i], firstLine+from))
	}
	return paragraphs, s.findings
}

// scanParagraph returns the sentences of lines. A note is scanned twice, once
// split at full stops and once at line ends too. This finds a rule in a note
// that spans several lines as well as one that follows text without a full stop.
func (s *scanner) scanParagraph(lines []string, firstLine int) paragraph {
	p := paragraph{isNote: beginsNote(lines[0])}
	for i, line := range lines {
		s.scanLine(line, firstLine+i, p.isNote)
	}
	p.sentences = s.endParagraph()
	if p.isNote {
		for i, line := range lines {
			s.scanLine(line, firstLine+i, true)
			s.endSentence(false)
		}
		p.sentences = append(p.sentences, s.endParagraph()...)
	}
	return p
}

func beginsNote(line string) bool {
	words := strings.Fields(line)
	return len(words) > 0 && strings.EqualFold(words[0], "Note:")
}

// endParagraph ends the current sentence. It returns the sentences since the
// previous call and clears them.
func (s *scanner) endParagraph() []sentence {
	s.endSentence(false)
	sentences := s.sentences
	s.sentences = nil
	return sentences
}

func (s *scanner) endSentence(hasFullStop bool) {
	if len(s.current.tokens) > 0 {
		s.current.hasFullStop = hasFullStop
		s.sentences = append(s.sentences, s.current)
	}
	s.current = sentence{}
}

// scanLine adds the tokens of one line. In a note, a missing quotation mark is
// not reported.
func (s *scanner) scanLine(line string, lineNumber int, inNote bool) {
	for at := 0; at < len(line); {
		r, size := utf8.DecodeRuneInString(line[at:])
		switch {
		case unicode.IsSpace(r) || r == ',' || r == ';':
			at += size
		case r == '.':
			s.endSentence(true)
			at += size
		case isQuote(r):
			at = s.scanQuoted(line, at, size, lineNumber, inNote)
		default:
			at = s.scanWord(line, at, lineNumber)
		}
	}
}

// scanQuoted adds the quoted name that begins at line[at] and returns the index
// after it. size is the length in bytes of the opening quotation mark.
func (s *scanner) scanQuoted(line string, at, size, lineNumber int, inNote bool) int {
	rest := line[at+size:]
	end := strings.IndexFunc(rest, isQuote)
	if end >= 0 {
		_, endSize := utf8.DecodeRuneInString(rest[end:])
		s.add(token{text: rest[:end], quoted: true, line: lineNumber, column: at + 1})
		return at + size + end + endSize
	}
	words := strings.TrimSpace(rest)
	if !inNote {
		s.findings = append(s.findings, Finding{
			Section: s.section, Line: lineNumber, Column: at + 1, Words: words,
			Problem:    "has no closing quotation mark on its line",
			Suggestion: `put " after the name`,
		})
	}
	name := strings.TrimRightFunc(words, isPunctuation)
	s.add(token{text: name, quoted: true, line: lineNumber, column: at + 1})
	s.current.unclosedQuote = true
	if strings.HasSuffix(words, ".") {
		s.endSentence(true)
	}
	return len(line)
}

// scanWord adds the word that begins at line[at] and returns the index after it.
func (s *scanner) scanWord(line string, at, lineNumber int) int {
	rest := line[at:]
	end := strings.IndexFunc(rest, func(r rune) bool { return unicode.IsSpace(r) || isQuote(r) })
	if end < 0 {
		end = len(rest)
	}
	word := strings.TrimRightFunc(rest[:end], isPunctuation)
	s.add(token{text: word, line: lineNumber, column: at + 1})
	if strings.Contains(rest[len(word):end], ".") {
		s.endSentence(true)
	}
	return at + end
}

// add appends a token. Two words that begin a known sentence end the sentence
// before them. A missing full stop then causes a single finding, and both
// sentences are still understood.
func (s *scanner) add(t token) {
	s.current.tokens = append(s.current.tokens, t)
	tokens := s.current.tokens
	if n := len(tokens); n > 2 && beginsSentence(tokens[n-2], tokens[n-1]) {
		before := tokens[: n-2 : n-2]
		s.current.tokens = before
		s.endSentence(false)
		s.current.tokens = append(s.current.tokens, tokens[n-2:]...)
	}
}

// findHiddenCharacters returns a finding for each line with an invisible character
// or invalid UTF-8. Invisible characters can make a text look different from its
// content, and can control the terminal that displays it.
func findHiddenCharacters(section, text string) []Finding {
	var findings []Finding
	for i, line := range strings.Split(text, "\n") {
		at := indexHidden(strings.TrimSuffix(line, "\r"))
		if at < 0 {
			continue
		}
		findings = append(findings, Finding{
			Section: section, Line: i + 1, Column: at + 1,
			Problem:    "this line holds a character that cannot be seen or is not text",
			Suggestion: "type the line again",
		})
	}
	return findings
}

// indexHidden returns the byte index of the first invisible character or invalid
// UTF-8 sequence in line, or -1.
func indexHidden(line string) int {
	for at, r := range line {
		if r == utf8.RuneError {
			if _, size := utf8.DecodeRuneInString(line[at:]); size == 1 {
				return at
			}
		}
		if r != '\t' && unicode.In(r, unicode.Cc, unicode.Cf, unicode.Co, unicode.Zl, unicode.Zp) {
			return at
		}
	}
	return -1
}
