package document

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const orderDeskSentence = `The service "order-desk" is reached at 10.20.0.1, port 443.` + "\n"

func ordersSection(text string) Section { return Section{Heading: "Orders", Team: "shop", Text: text} }

func manyServices(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "The service \"s%d\" is reached at 10.0.0.1, port %d.\n", i, i+1)
	}
	return b.String()
}

func readFile(path string) string {
	GinkgoHelper()
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("ParseSection", func() {
	// Guards against a sentence whose value is lost or stored in the wrong field.
	It("stores the value of each sentence in its field", func() {
		sections, findings := CheckDocument(readFile("../../examples/site-k.document"))
		Expect(FormatFindings(findings)).To(BeEmpty())
		Expect(sections).To(HaveLen(2))
		services, _ := ParseSection(sections[1])
		Expect(services).To(Equal([]Service{{
			Name: "sheet-print", Address: netip.MustParseAddrPort("10.20.0.2:443"), Protocol: TCP,
			Priority: BalanceFirst, AnnouncedAs: "sheet-print", SlotsPerBackend: 2, MaxWait: 2 * time.Second,
			AllowedSources: []netip.Prefix{netip.MustParsePrefix("10.31.0.0/16")},
		}}))
	})

	// Guards against an example file that no longer parses or whose priorities are not read.
	It("parses the example of site G, in which both services put unbroken connections first", func() {
		sections, findings := CheckDocument(readFile("../../examples/site-g.document"))
		Expect(FormatFindings(findings)).To(BeEmpty())
		for i, name := range []string{"batch-feed", "label-print"} {
			services, _ := ParseSection(sections[i])
			Expect(services).To(HaveLen(1))
			Expect(services[0].Name).To(Equal(name))
			Expect(services[0].Priority).To(Equal(UnbrokenFirst))
		}
	})

	// Guards against rejecting a text that a reader would consider correct.
	DescribeTable("accepts", func(text string, check func(Service)) {
		services, findings := ParseSection(ordersSection(text))
		Expect(FormatFindings(findings)).To(BeEmpty())
		Expect(services).To(HaveLen(1))
		check(services[0])
	},
		Entry("a service without rules, with the defaults", orderDeskSentence, func(s Service) {
			Expect(s.AnnouncedAs).To(Equal("order-desk"))
			Expect(s.MaxWait).To(Equal(DefaultMaxWait))
			Expect(s.Priority).To(Equal(UnbrokenFirst))
		}),
		Entry("a sentence that spans several lines", strings.ReplaceAll(orderDeskSentence, " is reached", "\n is\r\nreached"), func(s Service) {
			Expect(s.Address.Port()).To(BeEquivalentTo(443))
		}),
		Entry("typographic quotation marks", strings.ReplaceAll(orderDeskSentence, `"order-desk"`, "“order-desk”"), func(s Service) {
			Expect(s.Name).To(Equal("order-desk"))
		}),
		Entry("a missing comma and different capitalization", "the service \"a\" Is reached at 10.0.0.1 port 1.", func(s Service) {
			Expect(s.Name).To(Equal("a"))
		}),
		Entry("a number written as a word", orderDeskSentence+"Each backend server takes two requests at once.", func(s Service) {
			Expect(s.SlotsPerBackend).To(Equal(2))
		}),
		Entry("an immediate refusal", orderDeskSentence+"Refuse at once when no place is free.", func(s Service) {
			Expect(s.MaxWait).To(BeZero())
		}),
		Entry("several source ranges", orderDeskSentence+"Its backend servers may announce themselves from 10.0.0.0/8, 192.0.2.0/24 and 198.51.100.7.", func(s Service) {
			Expect(s.AllowedSources).To(HaveLen(3))
		}),
		Entry("a note with arbitrary text", "Note: call us (ext. 12) \"first!\n\n"+orderDeskSentence, func(s Service) {
			Expect(s.Name).To(Equal("order-desk"))
		}),
	)

	// Guards against accepting a text whose meaning differs from what a reader would
	// expect, and against findings without a position or a suggestion.
	DescribeTable("reports", func(text string, expected ...string) {
		_, findings := ParseSection(ordersSection(text))
		lines := strings.Split(strings.TrimSuffix(FormatFindings(findings), "\n"), "\n")
		Expect(lines).To(HaveLen(len(expected)), FormatFindings(findings))
		for i, w := range expected {
			Expect(lines[i]).To(HavePrefix(`section "Orders", line ` + w))
		}
	},
		Entry("a misspelt word, together with the value after it", `The service "a" is reached at 10.0.0.1, prot 443.`,
			`1: "prot 443" is not understood; did you mean "port 443"?`),
		Entry("several mistakes in one sentence", `The servise "a" is reched at 10.0.0.1, port 443.`,
			`1: "servise" is not understood; did you mean "service"?`, `1: "reched" is not understood; did you mean "reached"?`),
		Entry("a missing word", `The service "a" is reached 10.0.0.1, port 443.`, `1: "10.0.0.1" is not understood; did you mean "at 10.0.0.1"?`),
		Entry("an extra word", `The service "a" is not reached at 10.0.0.1, port 443.`, `1: "is not reached" is not understood; did you mean "is reached"?`),
		Entry("a missing full stop, only once", "The service \"a\" is reached at 10.0.0.1, port 443\nRefuse at once when no place is free.",
			`1: "port 443" has no full stop after it; did you mean "port 443."?`),
		Entry("a missing quotation mark", `The service "a is reached at 10.0.0.1, port 443.`, `1: "a is reached at 10.0.0.1, port 443." has no closing quotation mark`),
		Entry("a name without quotation marks", `The service a is reached at 10.0.0.1, port 443.`, `1: "a" needs quotation marks; write "a" with a quotation mark at each end`),
		Entry("an address and a port without a comma and the word port between them", `The service "a" is reached at 10.0.0.1:443.`, `1: "10.0.0.1:443" is an address and a port in one; did you mean "10.0.0.1, port 443"?`),
		Entry("a word where a number is expected", orderDeskSentence+"Each backend server takes many requests at once.", `2: "many" is not understood; did you mean "NUMBER"?`),
		Entry("an invalid name, address and port, all at once", `The service "Order Desk" is reached at 10.20.0.300, port 70000.`,
			`1: "Order Desk" is not a name`, `1: "10.20.0.300" is not an address`, `1: "70000" is not a whole number from 1 to 65535`),
		Entry("an IPv6 address", `The service "a" is reached at 2001:db8::1, port 443.`, `1: "2001:db8::1" is not an IPv4 address`),
		Entry("a range whose first address is not on the boundary of its size", orderDeskSentence+"Its backend servers may announce themselves from 10.30.0.1/16.",
			`2: "10.30.0.1/16" does not begin where a range of this size begins (/16); did you mean "10.30.0.0/16"?`),
		Entry("a wait that is too long", orderDeskSentence+"Wait at most 11 minutes for a free place, then refuse.", `2: "11" is a longer wait than 10 minutes`),
		Entry("two contradictory waits", orderDeskSentence+"Refuse at once when no place is free. Wait at most 5 seconds for a free place, then refuse.",
			`2: "Wait" begins a rule that line 2 already gives`),
		Entry("a rule before any service", "Refuse at once when no place is free.", `1: "Refuse" comes before any service`),
		Entry("a misspelt service sentence, but not the rules that follow it",
			orderDeskSentence+"Refuse at once when no place is free.\nThe sevice \"b\" is reached at 10.0.0.2, port 1.\nRefuse at once when no place is free.", `3: "sevice"`),
		Entry("a name used twice", orderDeskSentence+strings.ReplaceAll(orderDeskSentence, "0.1", "0.2"), `2: "order-desk" is the name of a service that line 1 already uses`),
		Entry("an address used twice", orderDeskSentence+strings.ReplaceAll(orderDeskSentence, "order", "help"), `2: "10.20.0.1" is the address of a service that line 1 already uses`),
		Entry("an announced name that another service has by default", orderDeskSentence+`The service "b" is reached at 10.0.0.2, port 1. Its backend servers announce themselves as "order-desk".`,
			`2: "order-desk" is the announced name of backend servers that line 1 already uses`),
		Entry("an announced name used twice", orderDeskSentence+"Its backend servers announce themselves as \"x\".\n"+
			"The service \"b\" is reached at 10.0.0.2, port 1. Its backend servers announce themselves as \"x\".",
			`3: "x" is the announced name of backend servers that line 2 already uses`),
		Entry("a service name and an announced name that are both used twice", orderDeskSentence+"Its backend servers announce themselves as \"x\".\n"+
			"The service \"order-desk\" is reached at 10.0.0.2, port 1. Its backend servers announce themselves as \"x\".", `3: "order-desk"`, `3: "x"`),
		Entry("a remark outside a note", orderDeskSentence+"Please be quick.", `2: "Please be quick" is not understood`),
		Entry("a rule on a line of its own in a note", orderDeskSentence+"\nNote: busy in May.\nEach backend server takes 2 requests at once.", `4: "Each backend server takes 2 requests at once" reads like a rule`),
		Entry("a rule that spans two lines in a note", orderDeskSentence+"\nNote: busy. Each backend server takes\n2 requests at once.", `3: "Each backend server takes 2 requests at once" reads like a rule`),
		Entry("a rule after a remark without a full stop in a note", orderDeskSentence+"\nNote: busy in May\nEach backend server takes\n2 requests at once.", `4: "Each`),
		Entry("a rule with a misspelt second word after a remark without a full stop in a note", orderDeskSentence+"\nNote: busy in May\nEach bakend server takes 2 requests at once.", `4: "Each`),
		Entry("a rule with a misspelt word in a note", orderDeskSentence+"\nNote: Each backend server takes 2 reqests at once.", `3: "Each backend server takes 2 reqests at once" reads like a rule`),
		Entry("a note inside a paragraph", orderDeskSentence+"Note: busy in May.", `2: "Note:" does not begin a paragraph`),
		Entry("a heading inside a section", orderDeskSentence+`Section "Sheets", owned by team "shop".`, `2: 'Section "Sheets", owned by team "shop".' begins a section inside a section`),
		Entry("a character that reverses the direction of the text", orderDeskSentence+"\nNote: \u202e10.0.0.1", `3: this line holds a character that cannot be seen`),
		Entry("a section that is too long", strings.Repeat("a. ", MaxSectionBytes), `1: this section has more than 262144 characters`),
	)

	// Guards against a position that does not match the words of the finding.
	It("gives the line, column and words of a finding", func() {
		_, findings := ParseSection(ordersSection("\n" + strings.ReplaceAll(orderDeskSentence, "port", "prot")))
		Expect(findings).To(HaveLen(1))
		f := findings[0]
		Expect([]any{f.Section, f.Line, f.Column, f.Words}).To(Equal([]any{"Orders", 2, 51, "prot 443"}))
	})

	// Guards against sizes that other parts of the system cannot store.
	DescribeTable("limits", func(text, expected string) {
		_, findings := CheckDocument("Section \"A\", owned by team \"a\".\n\n" + text)
		Expect(findings).To(HaveLen(1))
		Expect(findings[0].Problem).To(ContainSubstring(expected))
	},
		Entry("the size of the document", strings.Repeat("\n", MaxDocumentBytes), "more than 4194304 characters"),
		Entry("the number of services in a section", manyServices(MaxServicesPerSection+1), "more than the 500 services"),
		Entry("the number of source ranges of a service", orderDeskSentence+"Its backend servers may announce themselves from "+strings.Repeat("10.0.0.1 ", MaxSourcesPerService+1)+".", "more than the 64 ranges"),
		Entry("the number of words in a sentence", strings.Repeat("word ", MaxSentenceWords+1)+".", "more than 200 words"),
		Entry("the length of a name", strings.ReplaceAll(orderDeskSentence, "order-desk", strings.Repeat("a", MaxNameBytes+1)), "at most 63"),
	)

	// Guards against a text that takes seconds to check and so delays other operators.
	It("stops after the maximum number of sentences", func() {
		_, findings := ParseSection(ordersSection(strings.Repeat("a. ", MaxSentencesPerSection+100)))
		Expect(findings).To(HaveLen(MaxSentencesPerSection + 1))
	})
})

var _ = Describe("ParseDocument and CheckConflicts", func() {
	// Guards against a mistake in a heading that assigns rules to another team.
	DescribeTable("reports invalid headings", func(text, expected string) {
		_, findings := CheckDocument(text)
		Expect(findings).NotTo(BeEmpty())
		Expect(findings[0].String()).To(HavePrefix(expected))
	},
		Entry("without a full stop", "Section \"A\", owned by team \"a\"\n"+orderDeskSentence, `line 1: "a" has no full stop after it`),
		Entry("with a misspelt word", `Section "A", ownd by team "a".`, `line 1: "ownd" is not understood; did you mean "owned"?`),
		Entry("misspelt at its first word", "Section \"A\", owned by team \"a\".\nSecton \"B\", owned by team \"b\".", `section "A", line 2: "Secton"`),
		Entry("after other text", "Hello.\nSection \"A\", owned by team \"a\".", `line 1: "Hello." comes before the first section`),
		Entry("with a team that is not a name", `Section "A", owned by team "Our Team".`, `line 1: "Our Team" is not a name`),
		Entry("used twice", "Section \"A\", owned by team \"a\".\nSection \"A\", owned by team \"b\".", `section "A", line 2: "A" is the heading of a section of team "a" and of one of team "b"`),
	)

	// Guards against saving a section on the basis of a version that its author did not read.
	It("parses the version in a heading and formats it again", func() {
		text := "Section \"A\", owned by team \"a\",\nversion 7.\n\n" + orderDeskSentence
		sections, findings := ParseDocument(text)
		Expect(FormatFindings(findings)).To(BeEmpty())
		Expect(sections[0].Version).To(BeEquivalentTo(7))
		reparsed, _ := ParseDocument(FormatDocument(sections))
		Expect(reparsed[0].Version).To(BeEquivalentTo(7))
		Expect(reparsed[0].Text).To(Equal(sections[0].Text))
	})

	// Guards against a change that is accepted although another section has the same
	// name or address, and against one that is refused because it conflicts with the
	// earlier version of its own section.
	It("checks a change against the other sections only", func() {
		sections := []Section{{Heading: "Orders", Team: "shop", Text: orderDeskSentence}}
		services, findings := CheckChange(sections, ordersSection(orderDeskSentence+"Refuse at once when no place is free."))
		Expect(FormatFindings(findings)).To(BeEmpty())
		Expect(services).To(HaveLen(1))
		_, findings = CheckChange(sections, Section{Heading: "New\nline", Team: "shop", Text: orderDeskSentence})
		Expect(findings).To(HaveLen(3))
		_, findings = CheckChange(sections, Section{Heading: "Orders", Team: "store", Text: orderDeskSentence})
		Expect(FormatFindings(findings)).To(ContainSubstring(`"Orders" is a section of team "shop", and only that team can change it, not team "store"`))
	})

	// Guards against services of two teams at one address, where one would receive the other's traffic.
	It("names both sections and teams in a conflict", func() {
		a := Section{Heading: "Orders", Team: "shop", Text: orderDeskSentence}
		b := Section{Heading: "Stock", Team: "store", Text: orderDeskSentence}
		Expect(FormatFindings(CheckConflicts([]Section{a, b}))).To(Equal(strings.Join([]string{
			`section "Stock", line 1: "order-desk" is the name of a service that section "Orders" of team "shop" and section "Stock" of team "store" both use; agree with the other team on who keeps it`,
			`section "Stock", line 1: "10.20.0.1" is the address of a service that section "Orders" of team "shop" and section "Stock" of team "store" both use; agree with the other team on who keeps it`,
			"",
		}, "\n")))
	})
})

var codeBlocks = regexp.MustCompile("(?s)```(document|mistake|answer)\n(.*?)```")

var _ = Describe("DOCUMENT.md", func() {
	// Guards against documentation of sentences or findings that differ from the program's,
	// and against undocumented sentences.
	It("contains valid examples, mistakes with the findings they cause, and every sentence", func() {
		usedPatterns := map[string]bool{}
		answer := ""
		for _, block := range codeBlocks.FindAllStringSubmatch(readFile("../../docs/DOCUMENT.md"), -1) {
			if block[1] == "answer" {
				Expect(answer).To(Equal(block[2]))
				continue
			}
			sections, findings := CheckDocument(block[2])
			answer = FormatFindings(findings)
			if block[1] == "document" {
				Expect(answer).To(BeEmpty(), block[2])
			}
			for _, s := range sections {
				paragraphs, _ := splitParagraphs("", strings.Split(s.Text, "\n"), 1)
				for _, p := range paragraphs {
					for _, sentence := range p.sentences {
						if pat, _ := matchAny(sentence.tokens); pat != nil {
							usedPatterns[pat.text()] = true
						}
					}
				}
			}
		}
		for _, pat := range sentencePatterns[len(headingPatterns):] {
			Expect(usedPatterns).To(HaveKey(pat.text()))
		}
	})
})

func (pat *pattern) text() string {
	_, words := pat.actualAndExpected(nil, func() (steps []alignmentStep) {
		for i := range pat.elements {
			steps = append(steps, alignmentStep{elementIndex: i, tokenIndex: -1})
		}
		return steps
	}())
	return words
}
