package cluster

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
	"cassiawood/internal/wire/wirepb"
)

var _ = Describe("an endpoint that reports", func() {
	const here, inB, alsoInB, inC = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"
	var h *stateHarness
	BeforeEach(func() {
		h = newStateHarness()
		members := changelog.Membership{
			{ID: 1, Address: here, Domain: "a", Voter: true},
			{ID: 2, Address: inB, Domain: "b", Voter: true},
			{ID: 3, Address: alsoInB, Domain: "b"},
			{ID: 4, Address: inC, Voter: true},
		}
		h.handleEvent(statusChanged{changelog.Status{ID: 1, Role: changelog.Leader, Leader: 1, Term: 1, LastContact: h.time, Members: members}})
	})
	hearFrom := func(addresses ...string) {
		for _, a := range addresses {
			h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{From: a}})
		}
	}
	// reportedTo returns where an endpoint of a domain is told to report after a report here.
	reportedTo := func(id uint64, domain string) string {
		GinkgoHelper()
		e := endpoint(id)
		e.Domain = domain
		reply := newReply()
		h.handleEvent(endpointReported{endpoint: e, reply: reply})
		a := singleAnswer(reply)
		Expect(a.err).NotTo(HaveOccurred())
		return a.reportTo
	}

	// Guards against endpoints of a domain that fall silent there when the domain is cut off, because they
	// had reported to a control host on the other side.
	It("is sent to a running control host of its own failure domain", func() {
		hearFrom(inB, alsoInB)
		Expect([]string{reportedTo(1, "b"), reportedTo(2, "b"), reportedTo(4, "b")}).To(ConsistOf(inB, inB, alsoInB))
		Expect(reportedTo(3, "a")).To(Equal(here))
		Expect(reportedTo(5, "z")).To(Equal(here), "no control host is in its domain")
	})

	// Guards against endpoints that are sent to a control host that is down: each report would wait for it.
	It("stays where the control hosts of its domain are not heard", func() {
		Expect(reportedTo(1, "b")).To(Equal(here))
		hearFrom(inB)
		h.advance(2 * peerLifetime)
		Expect(reportedTo(2, "b")).To(Equal(here))
		hearFrom(inB)
		Expect(reportedTo(2, "b")).To(Equal(inB))
	})

	// Guards against an endpoint that is sent back again and again to a host that it cannot reach.
	It("stays for a while when it comes back from the control host that it was sent to", func() {
		hearFrom(inB)
		Expect(reportedTo(1, "b")).To(Equal(inB))
		for range 3 {
			hearFrom(inB)
			Expect(reportedTo(1, "b")).To(Equal(here))
			h.advance(steerInterval / 4)
		}
		h.advance(steerInterval)
		hearFrom(inB)
		Expect(reportedTo(1, "b")).To(Equal(inB))
	})

	// Guards against a first membership, which names no domains.
	It("is sent to a host whose domain is known from its own messages only", func() {
		h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{From: inC, FromId: 4, FromDomain: "c"}})
		Expect(reportedTo(1, "c")).To(Equal(inC))
	})

	// Guards against control hosts that count as down because no endpoint reports to them.
	It("is not needed for the sign of life of a control host", func() {
		h.advance(2 * signOfLifeInterval)
		var heard []string
		for h.linksInbox.Depth() > 0 {
			e, err := h.linksInbox.Get()
			Expect(err).NotTo(HaveOccurred())
			if b, ok := e.(broadcast); ok {
				heard = append(heard, b.envelope.GetEndpointUpdate().GetFrom())
			}
		}
		Expect(heard).To(ContainElement(here))
	})

	// Guards against an address for a report that was rejected.
	It("is told nothing if its report is rejected", func() {
		h.commit(desired(1))
		e := endpoint(1)
		e.Service = "unknown"
		reply := newReply()
		h.handleEvent(endpointReported{endpoint: e, reply: reply})
		a := singleAnswer(reply)
		Expect(a.err).To(HaveOccurred())
		Expect(a.reportTo).To(BeEmpty())
		Expect(h.registry.All()).To(BeEmpty())
	})
})
