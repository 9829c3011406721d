package directory_test

import (
	"fmt"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
)

var _ = Describe("document changes", func() {
	prepare := func(l *testLog, id, team, section string, base uint64, services ...document.Service) directory.Outcome {
		return l.apply(directory.ChangePrepared{ChangeID: id, Team: team, Author: "author of " + id, Section: section, BaseVersion: base, Text: "text of " + id, Services: services})
	}

	// Guards against a lost update when two operators change one section, and against
	// a refusal that does not name the change that won.
	DescribeTable("accepts exactly one of two changes with the same base version",
		func(prepareBoth bool) {
			l := newTestLog()
			prepare(l, "one", "red", "Desk", 0, service("desk", 1))
			if prepareBoth {
				Expect(prepare(l, "two", "red", "Desk", 0, service("other", 2)).Applied).To(BeTrue())
			}
			Expect(l.apply(directory.ChangeDecided{ChangeID: "one", Accepted: true}).Applied).To(BeTrue())
			if !prepareBoth {
				prepare(l, "two", "red", "Desk", 0, service("other", 2))
			}
			Expect(l.state.PendingChanges()).To(BeEmpty())
			out := l.apply(directory.ChangeDecided{ChangeID: "two", Accepted: true})
			Expect(out.Applied).To(BeFalse())
			Expect(out.Answer.Winner).To(Equal(&directory.Winner{Author: "author of one", Team: "red", Version: 1, Text: "text of one"}))
			Expect(l.state.ServiceNames()).To(Equal([]string{"desk"}))
		},
		Entry("prepared before the decision", true), Entry("prepared after the decision", false),
	)

	// Guards against a change that takes effect before every failure domain has
	// confirmed it.
	It("puts a change into force only when it is accepted", func() {
		l := newTestLog()
		prepare(l, "one", "red", "Desk", 0, service("desk", 1))
		Expect(l.state.Sections()).To(BeEmpty())
		answer, known := l.state.ChangeAnswer("one")
		Expect(known).To(BeTrue())
		Expect(answer).To(BeNil())
		l.apply(directory.ChangeDecided{ChangeID: "one", Reason: "zone-3 did not confirm"})
		Expect(l.state.Sections()).To(BeEmpty())
		answer, _ = l.state.ChangeAnswer("one")
		Expect(answer.Reason).To(Equal("zone-3 did not confirm"))
	})

	// Guards against a repeated request that makes a change twice or gets a different
	// answer.
	It("gives a repeated request the first answer", func() {
		l := newTestLog()
		l.acceptChange("Desk", 0, service("desk", 1))
		first := prepare(l, "late", "team-Desk", "Desk", 0)
		l.acceptChange("Desk", 1, service("desk", 1))
		resent := prepare(l, "late", "team-Desk", "Desk", 2)
		Expect(resent.Answer).To(Equal(first.Answer))
		Expect(l.state.PendingChanges()).To(BeEmpty())
	})

	// Guards against a state that grows without bound as changes are made.
	It("keeps the last 10,000 answers", func() {
		l := newTestLog()
		for i := range 10_001 {
			prepare(l, fmt.Sprint(i), "red", "Desk", 7)
		}
		_, known := l.state.ChangeAnswer("0")
		Expect(known).To(BeFalse())
		_, known = l.state.ChangeAnswer("1")
		Expect(known).To(BeTrue())
	})

	// Guards against a team that takes over the section, service, address or backend
	// servers of another team.
	DescribeTable("refuses a change of what another section owns and applies no part of it",
		func(team, section string, conflicting document.Service, reasons ...string) {
			l := newTestLog()
			l.acceptChange("Desk", 0, service("desk", 1))
			out := prepare(l, "x", team, section, map[string]uint64{"Desk": 1}[section], service("new", 9), conflicting)
			for _, reason := range reasons {
				Expect(out.Answer.Reason).To(ContainSubstring(reason))
			}
			Expect(l.apply(directory.ChangeDecided{ChangeID: "x", Accepted: true}).Applied).To(BeFalse())
			Expect(l.state.ServiceNames()).To(Equal([]string{"desk"}))
			Expect(l.state.Sections()).To(HaveLen(1))
		},
		Entry("section", "red", "Desk", service("more", 8), `"Desk"`, "team-Desk", "red"),
		Entry("service", "red", "Print", service("desk", 8), `"Desk"`, `"Print"`, "team-Desk", "red"),
		Entry("address", "red", "Print", service("more", 1), `"Desk"`, `"Print"`, "team-Desk", "red", "10.0.0.1:80"),
		Entry("announced name", "red", "Print", document.Service{Name: "more", AnnouncedAs: "desk", Address: service("", 8).Address}, `"Desk"`, `"Print"`),
	)

	// Guards against packets of an old flow that reach the next service on the
	// address.
	It("keeps a released address in quarantine", func() {
		l := newLogWithEndpoints(2)
		Expect(l.acceptChange("desk", 1).Applied).To(BeTrue())
		old := service("desk", 1)
		kept, ok := l.state.ServiceByAddress(old.Address, old.Protocol)
		Expect(ok).To(BeTrue())
		Expect(kept.Quarantined).To(BeTrue())
		Expect(kept.Bucket(0).Current).NotTo(BeZero())
		Expect(l.acceptChange("Print", 0, service("print", 1)).Reason).To(ContainSubstring("reserved"))
		l.at += directory.QuarantineDuration
		Expect(l.acceptChange("Print", 0, service("print", 1)).Applied).To(BeTrue())
		Expect(l.state.ServiceNames()).To(Equal([]string{"print"}))
		Expect(l.state.EndpointIDs()).To(BeEmpty())
	})

	// Guards against a packet that reaches another service because the addresses
	// differ only in the host, port or protocol (docs/design.md, section 1.1, P2).
	It("keeps services apart by address, port and protocol", func() {
		l := newTestLog()
		var services []document.Service
		for _, text := range []string{"10.0.0.1:80", "10.0.0.1:81", "10.0.0.2:80", "[2001:db8::1]:80", "[::ffff:10.0.0.1]:80"} {
			for _, protocol := range []document.Protocol{document.TCP, document.UDP} {
				services = append(services, document.Service{Name: fmt.Sprint(text, protocol), Address: netip.MustParseAddrPort(text), Protocol: protocol})
			}
		}
		Expect(l.acceptChange("Desk", 0, services...).Applied).To(BeTrue())
		for _, want := range services {
			got, ok := l.state.ServiceByAddress(want.Address, want.Protocol)
			Expect(ok).To(BeTrue())
			Expect(got.Service).To(Equal(want))
		}
	})

	// Guards against flows that lose their endpoint when their service gets another
	// address.
	It("keeps the table of a service that changes its address", func() {
		l := newLogWithEndpoints(2)
		before := l.buckets("desk")
		Expect(l.acceptChange("desk", 1, service("desk", 2)).Applied).To(BeTrue())
		Expect(l.buckets("desk")).To(Equal(before))
		old, ok := l.state.ServiceByAddress(service("", 1).Address, document.TCP)
		Expect(ok).To(BeTrue())
		Expect(old.Quarantined).To(BeTrue())
		Expect(old.Bucket(5)).To(Equal(before[5]))
		present, _ := l.state.Service("desk")
		Expect(present.Quarantined).To(BeFalse())
		l.at += directory.QuarantineDuration + time.Second
		l.apply(nil)
		_, ok = l.state.ServiceByAddress(service("", 1).Address, document.TCP)
		Expect(ok).To(BeFalse())
		Expect(l.buckets("desk")).To(Equal(before))
	})
})
