package affinity_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/affinity"
)

var _ = Describe("packets that have waited during a pause of this host", func() {
	const resumed = 3 * time.Second
	gone := endpoint(1, "desk", "a")
	gone.AcceptsFlows, gone.Gone = false, true

	// Guards against resets whose number is old: the flow has gone on through other hosts meanwhile, or has opened there.
	DescribeTable("are not answered", func(p affinity.Packet) {
		e := newEngine()
		e.Upsert(0, gone)
		e.Resume(resumed)
		Expect(e.Decide(resumed, p).Verdict).To(Equal(affinity.Drop))
		Expect(e.Decide(resumed, p).Reason).To(Equal(affinity.Waited))
		Expect(e.Decide(resumed+200*time.Millisecond, p).Verdict).To(Equal(affinity.Reset))
	},
		Entry("a copy of a first packet", firstPacket(desk, callerAt(9), 1)),
		Entry("a later packet of a route that is gone", laterPacket(netip.MustParseAddrPort("198.18.9.9:1"), callerAt(9), affinity.Token(1), 5)),
		Entry("a packet of a flow whose endpoint has ended", laterPacket(desk, callerAt(9), affinity.Token(1), 5)),
	)

	// Guards against callers that are kept waiting: the flow of an original that has waited here cannot be open.
	It("are refused at once if they are originals of first packets that cannot be served", func() {
		e := newEngine()
		e.Resume(resumed)
		Expect(e.Decide(resumed, firstPacket(netip.MustParseAddrPort("198.18.9.9:1"), callerAt(9), 0)).Verdict).To(Equal(affinity.Reset))
	})

	It("are forwarded", func() {
		e := newEngine()
		e.Resume(resumed)
		Expect(e.Decide(resumed, firstPacket(desk, callerAt(9), 0)).Verdict).To(Equal(affinity.Forward))
		Expect(e.Decide(resumed, laterPacket(desk, callerAt(8), affinity.Token(1), 5)).Verdict).To(Equal(affinity.Forward))
	})
})
