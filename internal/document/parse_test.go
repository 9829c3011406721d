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

const desk = `The service "order-desk" is reached at 10.20.0.1, port 443.` + "\n"

func shop(text string) Section { return Section{Heading: "Orders", Team: "shop", Text: text} }

func manyServices(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "The service \"s%d\" is reached at 10.0.0.1, port %d.\n", i, i+1)
	}
	return b.String()
}

func read(path string) string {
	GinkgoHelper()
	text, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return string(text)
}

var _ = Describe("Parse", func() {
	// Guards against a sentence whose value is lost or lands in the wrong field.
	It("reads every sentence into its field", func() {
		sections, findings := Check(read("../../examples/site-k.document"))
		Expect(Format(findings)).To(BeEmpty())
		Expect(sections).To(HaveLen(2))
		services, _ := Parse(sections[1])
		Expect(services).To(Equal([]Service{{
			Name: "sheet-print", Address: netip.MustParseAddrPort("10.20.0.2:443"), Protocol: TCP,
			Priority: BalanceFirst, AnnouncedAs: "sheet-print", SlotsPerBackend: 2, MaxWait: 2 * time.Second,
			AllowedSources: []netip.Prefix{netip.MustParsePrefix("10.31.0.0/16")},
		}}))
	})

	// Guards against an example file that no longer parses or lost its priorities.
	It("reads site G's example with both services unbroken first", func() {
		sections, findings := Check(read("../../examples/site-g.document"))
		Expect(Format(findings)).To(BeEmpty())
		for i, name := range []string{"batch-feed", "label-print"} {
			services, _ := Parse(sections[i])
			Expect(services).To(HaveLen(1))
			Expect(services[0].Name).To(Equal(name))
			Expect(services[0].Priority).To(Equal(UnbrokenFirst))
		}
	})

	// Guards against a rejected text that people would call correct.
	DescribeTable("accepts", func(text string, check func(Service)) {
		services, findings := Parse(shop(text))
		Expect(Format(findings)).To(BeEmpty())
		Expect(services).To(HaveLen(1))
		check(services[0])
	},
		Entry("defaults when nothing else is said", desk, func(s Service) {
			Expect(s.AnnouncedAs).To(Equal("order-desk"))
			Expect(s.MaxWait).To(Equal(DefaultMaxWait))
			Expect(s.Priority).To(Equal(UnbrokenFirst))
		}),
		Entry("a sentence over line ends", strings.ReplaceAll(desk, " is reached", "\n is\r\nreached"), func(s Service) {
			Expect(s.Address.Port()).To(BeEquivalentTo(443))
		}),
		Entry("the quotation marks of word processors", strings.ReplaceAll(desk, `"order-desk"`, "“order-desk”"), func(s Service) {
			Expect(s.Name).To(Equal("order-desk"))
		}),
		Entry("a missing comma and other capitals", "the service \"a\" Is reached at 10.0.0.1 port 1.", func(s Service) {
			Expect(s.Name).To(Equal("a"))
		}),
		Entry("numbers as words", desk+"Each backend server takes two requests at once.", func(s Service) {
			Expect(s.SlotsPerBackend).To(Equal(2))
		}),
		Entry("a refusal at once", desk+"Refuse at once when no place is free.", func(s Service) {
			Expect(s.MaxWait).To(BeZero())
		}),
		Entry("several sources", desk+"Its backend servers may announce themselves from 10.0.0.0/8, 192.0.2.0/24 and 198.51.100.7.", func(s Service) {
			Expect(s.AllowedSources).To(HaveLen(3))
		}),
		Entry("notes with any words", "Note: call us (ext. 12) \"first!\n\n"+desk, func(s Service) {
			Expect(s.Name).To(Equal("order-desk"))
		}),
	)

	// Guards against a text that means something else than its reader thinks, and
	// against findings without a place or a way out.
	DescribeTable("reports", func(text string, wanted ...string) {
		_, findings := Parse(shop(text))
		lines := strings.Split(strings.TrimSuffix(Format(findings), "\n"), "\n")
		Expect(lines).To(HaveLen(len(wanted)), Format(findings))
		for i, w := range wanted {
			Expect(lines[i]).To(HavePrefix(`section "Orders", line ` + w))
		}
	},
		Entry("a misspelt word with its value", `The service "a" is reached at 10.0.0.1, prot 443.`,
			`1: "prot 443" is not understood; did you mean "port 443"?`),
		Entry("several mistakes in one sentence", `The servise "a" is reched at 10.0.0.1, port 443.`,
			`1: "servise" is not understood; did you mean "service"?`, `1: "reched" is not understood; did you mean "reached"?`),
		Entry("a missing word", `The service "a" is reached 10.0.0.1, port 443.`, `1: "10.0.0.1" is not understood; did you mean "at 10.0.0.1"?`),
		Entry("a word too many", `The service "a" is not reached at 10.0.0.1, port 443.`, `1: "is not reached" is not understood; did you mean "is reached"?`),
		Entry("a missing full stop, once", "The service \"a\" is reached at 10.0.0.1, port 443\nRefuse at once when no place is free.",
			`1: "port 443" has no full stop after it; did you mean "port 443."?`),
		Entry("a missing quotation mark", `The service "a is reached at 10.0.0.1, port 443.`, `1: "a is reached at 10.0.0.1, port 443." has no closing quotation mark`),
		Entry("a name without quotation marks", `The service a is reached at 10.0.0.1, port 443.`, `1: "a" needs quotation marks; write "a" with a quotation mark at each end`),
		Entry("an address and a port in one", `The service "a" is reached at 10.0.0.1:443.`, `1: "10.0.0.1:443" is an address and a port in one; did you mean "10.0.0.1, port 443"?`),
		Entry("a number that is none", desk+"Each backend server takes many requests at once.", `2: "many" is not understood; did you mean "NUMBER"?`),
		Entry("a bad name, address and port, together", `The service "Order Desk" is reached at 10.20.0.300, port 70000.`,
			`1: "Order Desk" is not a name`, `1: "10.20.0.300" is not an address`, `1: "70000" is not a whole number from 1 to 65535`),
		Entry("an IPv6 address", `The service "a" is reached at 2001:db8::1, port 443.`, `1: "2001:db8::1" is not an IPv4 address`),
		Entry("a range that is off by one", desk+"Its backend servers may announce themselves from 10.30.0.1/16.",
			`2: "10.30.0.1/16" does not begin where a range of this size begins (/16); did you mean "10.30.0.0/16"?`),
		Entry("a wait that is too long", desk+"Wait at most 11 minutes for a free place, then refuse.", `2: "11" is a longer wait than 10 minutes`),
		Entry("two waits that contradict each other", desk+"Refuse at once when no place is free. Wait at most 5 seconds for a free place, then refuse.",
			`2: "Wait" begins a rule that line 2 already gives`),
		Entry("a rule before any service", "Refuse at once when no place is free.", `1: "Refuse" comes before any service`),
		Entry("a rule of a service that was not understood, only once",
			desk+"Refuse at once when no place is free.\nThe sevice \"b\" is reached at 10.0.0.2, port 1.\nRefuse at once when no place is free.", `3: "sevice"`),
		Entry("a name used twice", desk+strings.ReplaceAll(desk, "0.1", "0.2"), `2: "order-desk" is the name of a service that line 1 already uses`),
		Entry("an address used twice", desk+strings.ReplaceAll(desk, "order", "help"), `2: "10.20.0.1" is the address of a service that line 1 already uses`),
		Entry("an announced name that is another service's by default", desk+`The service "b" is reached at 10.0.0.2, port 1. Its backend servers announce themselves as "order-desk".`,
			`2: "order-desk" is the announced name of backend servers that line 1 already uses`),
		Entry("an announced name given twice", desk+"Its backend servers announce themselves as \"x\".\n"+
			"The service \"b\" is reached at 10.0.0.2, port 1. Its backend servers announce themselves as \"x\".",
			`3: "x" is the announced name of backend servers that line 2 already uses`),
		Entry("an announced name given twice with the service's name", desk+"Its backend servers announce themselves as \"x\".\n"+
			"The service \"order-desk\" is reached at 10.0.0.2, port 1. Its backend servers announce themselves as \"x\".", `3: "order-desk"`, `3: "x"`),
		Entry("words outside a note", desk+"Please be quick.", `2: "Please be quick" is not understood`),
		Entry("a rule swallowed by a note", desk+"\nNote: busy in May.\nEach backend server takes 2 requests at once.", `4: "Each backend server takes 2 requests at once" reads like a rule`),
		Entry("a rule over a line end in a note", desk+"\nNote: busy. Each backend server takes\n2 requests at once.", `3: "Each backend server takes 2 requests at once" reads like a rule`),
		Entry("a rule after a remark without a full stop in a note", desk+"\nNote: busy in May\nEach backend server takes\n2 requests at once.", `4: "Each`),
		Entry("a rule with a typing error at its start in a note", desk+"\nNote: busy in May\nEach bakend server takes 2 requests at once.", `4: "Each`),
		Entry("a rule with a typing error in a note", desk+"\nNote: Each backend server takes 2 reqests at once.", `3: "Each backend server takes 2 reqests at once" reads like a rule`),
		Entry("a note inside a paragraph", desk+"Note: busy in May.", `2: "Note:" does not begin a paragraph`),
		Entry("a heading inside a section", desk+`Section "Sheets", owned by team "shop".`, `2: 'Section "Sheets", owned by team "shop".' begins a section inside a section`),
		Entry("text that turns its direction around", desk+"\nNote: \u202e10.0.0.1", `3: this line holds a character that cannot be seen`),
		Entry("a section that is too long", strings.Repeat("a. ", MaxSectionBytes), `1: this section has more than 262144 characters`),
	)

	// Guards against a place that points at other words than the finding names.
	It("gives line, column and words of a finding", func() {
		_, findings := Parse(shop("\n" + strings.ReplaceAll(desk, "port", "prot")))
		Expect(findings).To(HaveLen(1))
		f := findings[0]
		Expect([]any{f.Section, f.Line, f.Column, f.Words}).To(Equal([]any{"Orders", 2, 51, "prot 443"}))
	})

	// Guards against sizes that a later part of the system cannot hold.
	DescribeTable("bounds", func(text, wanted string) {
		_, findings := Check("Section \"A\", owned by team \"a\".\n\n" + text)
		Expect(findings).To(HaveLen(1))
		Expect(findings[0].Problem).To(ContainSubstring(wanted))
	},
		Entry("the document", strings.Repeat("\n", MaxDocumentBytes), "more than 4194304 characters"),
		Entry("the services of a section", manyServices(MaxServices+1), "more than the 500 services"),
		Entry("the sources of a service", desk+"Its backend servers may announce themselves from "+strings.Repeat("10.0.0.1 ", MaxSources+1)+".", "more than the 64 ranges"),
		Entry("the words of a sentence", strings.Repeat("word ", MaxSentenceWords+1)+".", "more than 200 words"),
		Entry("the letters of a name", strings.ReplaceAll(desk, "order-desk", strings.Repeat("a", MaxNameBytes+1)), "at most 63"),
	)

	// Guards against a text that takes seconds to refuse and so blocks other operators.
	It("bounds the sentences that it looks at", func() {
		_, findings := Parse(shop(strings.Repeat("a. ", MaxSentences+100)))
		Expect(findings).To(HaveLen(MaxSentences + 1))
	})
})

var _ = Describe("ParseDocument and CheckTogether", func() {
	// Guards against a heading whose mistake moves rules to another team.
	DescribeTable("reports headings", func(text, wanted string) {
		_, findings := Check(text)
		Expect(findings).NotTo(BeEmpty())
		Expect(findings[0].String()).To(HavePrefix(wanted))
	},
		Entry("without a full stop", "Section \"A\", owned by team \"a\"\n"+desk, `line 1: "a" has no full stop after it`),
		Entry("with a misspelt word", `Section "A", ownd by team "a".`, `line 1: "ownd" is not understood; did you mean "owned"?`),
		Entry("misspelt at its first word", "Section \"A\", owned by team \"a\".\nSecton \"B\", owned by team \"b\".", `section "A", line 2: "Secton"`),
		Entry("after other text", "Hello.\nSection \"A\", owned by team \"a\".", `line 1: "Hello." comes before the first section`),
		Entry("with a team that is not a name", `Section "A", owned by team "Our Team".`, `line 1: "Our Team" is not a name`),
		Entry("used twice", "Section \"A\", owned by team \"a\".\nSection \"A\", owned by team \"b\".", `section "A", line 2: "A" is the heading of a section of team "a" and of one of team "b"`),
	)

	// Guards against a save that is based on another version than its author read.
	It("reads the version that a heading gives, and writes it again", func() {
		text := "Section \"A\", owned by team \"a\",\nversion 7.\n\n" + desk
		sections, findings := ParseDocument(text)
		Expect(Format(findings)).To(BeEmpty())
		Expect(sections[0].Version).To(BeEquivalentTo(7))
		again, _ := ParseDocument(Join(sections))
		Expect(again[0].Version).To(BeEquivalentTo(7))
		Expect(again[0].Text).To(Equal(sections[0].Text))
	})

	// Guards against a change that is accepted although another section claims the
	// same, or refused because of its own earlier version.
	It("checks a change against the other sections only", func() {
		sections := []Section{{Heading: "Orders", Team: "shop", Text: desk}}
		services, findings := CheckChange(sections, shop(desk+"Refuse at once when no place is free."))
		Expect(Format(findings)).To(BeEmpty())
		Expect(services).To(HaveLen(1))
		_, findings = CheckChange(sections, Section{Heading: "New\nline", Team: "shop", Text: desk})
		Expect(findings).To(HaveLen(3))
		_, findings = CheckChange(sections, Section{Heading: "Orders", Team: "store", Text: desk})
		Expect(Format(findings)).To(ContainSubstring(`"Orders" is a section of team "shop", and only that team can change it, not team "store"`))
	})

	// Guards against two teams' services at one address, where one would get the other's traffic.
	It("names both sections and teams", func() {
		a := Section{Heading: "Orders", Team: "shop", Text: desk}
		b := Section{Heading: "Stock", Team: "store", Text: desk}
		Expect(Format(CheckTogether([]Section{a, b}))).To(Equal(strings.Join([]string{
			`section "Stock", line 1: "order-desk" is the name of a service that section "Orders" of team "shop" and section "Stock" of team "store" both use; agree with the other team on who keeps it`,
			`section "Stock", line 1: "10.20.0.1" is the address of a service that section "Orders" of team "shop" and section "Stock" of team "store" both use; agree with the other team on who keeps it`,
			"",
		}, "\n")))
	})
})

var blocks = regexp.MustCompile("(?s)```(document|mistake|answer)\n(.*?)```")

var _ = Describe("DOCUMENT.md", func() {
	// Guards against a page that teaches sentences or answers that the program does not have.
	It("has examples that parse, mistakes with their answers, and every sentence", func() {
		used := map[string]bool{}
		answer := ""
		for _, block := range blocks.FindAllStringSubmatch(read("../../docs/DOCUMENT.md"), -1) {
			if block[1] == "answer" {
				Expect(answer).To(Equal(block[2]))
				continue
			}
			sections, findings := Check(block[2])
			answer = Format(findings)
			if block[1] == "document" {
				Expect(answer).To(BeEmpty(), block[2])
			}
			for _, s := range sections {
				paragraphs, _ := splitParagraphs("", strings.Split(s.Text, "\n"), 1)
				for _, p := range paragraphs {
					for _, sentence := range p.sentences {
						if f, _ := matchAny(sentence.tokens); f != nil {
							used[f.text()] = true
						}
					}
				}
			}
		}
		for _, f := range sentenceForms[len(headingForms):] {
			Expect(used).To(HaveKey(f.text()))
		}
	})
})

func (f *form) text() string {
	_, words := f.written(nil, func() (pairs []pair) {
		for i := range f.elements {
			pairs = append(pairs, pair{element: i, token: -1})
		}
		return pairs
	}())
	return words
}
