package affinity_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/affinity"
)

// Times after the first transmission at which callers retransmit unacknowledged data.
const (
	firstRepeat  = 200 * time.Millisecond
	secondRepeat = 600 * time.Millisecond
)

// idempotentSite returns an engine whose sheet route carries idempotent requests only.
func idempotentSite() *affinity.Engine {
	e := site()
	sheets := route(sheet, "sheet")
	sheets.Idempotent = true
	e.SetRoutes(table(2, route(desk, "desk"), sheets))
	return e
}

// request returns a packet with data and the given sequence and acknowledgment numbers.
func request(service netip.AddrPort, port int, token, seq, ack uint32) affinity.Packet {
	p := later(service, callerAt(port), token, ack)
	p.Seq = seq
	return p
}

var _ = Describe("flows without progress", func() {
	// Guards against callers that wait for a failed or unreachable endpoint until they time out,
	// although another endpoint could still answer in time.
	It("resets flows of idempotent requests whose data was retransmitted twice", func() {
		e := idempotentSite()
		one, two := request(sheet, 1, affinity.Token(11), 101, 5), request(sheet, 2, affinity.Token(11), 101, 5)
		for _, at := range []time.Duration{0, firstRepeat} {
			Expect(e.Decide(at, one).Verdict).To(Equal(affinity.Forward))
			Expect(e.Decide(at, two).Verdict).To(Equal(affinity.Forward))
		}
		for _, p := range []affinity.Packet{one, two} {
			got := e.Decide(secondRepeat, p)
			Expect(got.Verdict).To(Equal(affinity.Reset))
			Expect(got.Reason).To(Equal(affinity.Stalled))
			Expect(got.Endpoint.ID).To(BeEquivalentTo(11))
		}
		Expect(e.Flows()).To(BeZero())
	})

	// Guards against the reset of a flow of a working endpoint after three packets of the flow were
	// lost, which happened twice in some 180 days of gwymon-lb.
	It("keeps a flow when it is the only stalled one of its endpoint", func() {
		e := idempotentSite()
		p := request(sheet, 1, affinity.Token(11), 101, 5)
		for _, at := range []time.Duration{0, firstRepeat, secondRepeat, 1400 * time.Millisecond} {
			Expect(e.Decide(at, p).Verdict).To(Equal(affinity.Forward))
		}
	})

	// Guards against the reset of a non-idempotent request that may still be running: its caller
	// cannot repeat it.
	It("keeps flows of non-idempotent requests", func() {
		e := idempotentSite()
		p := request(desk, 1, affinity.Token(1), 101, 5)
		for _, at := range []time.Duration{0, firstRepeat, secondRepeat, 1400 * time.Millisecond} {
			Expect(e.Decide(at, p).Verdict).To(Equal(affinity.Forward))
		}
	})

	It("keeps a flow whose endpoint has answered another flow since", func() {
		e := idempotentSite()
		p := request(sheet, 1, affinity.Token(11), 101, 5)
		e.Decide(0, request(sheet, 2, affinity.Token(11), 101, 5))
		e.Decide(0, p)
		e.Decide(firstRepeat, request(sheet, 2, affinity.Token(11), 101, 5))
		e.Decide(firstRepeat, p)
		e.Decide(300*time.Millisecond, request(sheet, 2, affinity.Token(11), 111, 9))
		Expect(e.Decide(secondRepeat, p).Verdict).To(Equal(affinity.Forward))
	})

	// Guards against resets of flows whose endpoint answers them.
	It("keeps a flow that has made progress since", func() {
		e := idempotentSite()
		e.Decide(0, request(sheet, 1, affinity.Token(11), 101, 5))
		e.Decide(firstRepeat, request(sheet, 1, affinity.Token(11), 101, 5))
		e.Decide(firstRepeat+time.Millisecond, request(sheet, 1, affinity.Token(11), 111, 6))
		Expect(e.Decide(secondRepeat, request(sheet, 1, affinity.Token(11), 111, 6)).Verdict).To(Equal(affinity.Forward))
	})

	// Guards against resets by a host that was suspended and then reads the packets of several
	// seconds at once.
	It("keeps a flow whose retransmissions arrive together", func() {
		e := idempotentSite()
		for range 5 {
			Expect(e.Decide(time.Second, request(sheet, 1, affinity.Token(11), 101, 5)).Verdict).To(Equal(affinity.Forward))
		}
	})

	// Guards against a false suspicion: a packet without data has the sequence number of the data
	// that follows, which is no retransmission.
	It("does not count the first data of a flow as a retransmission", func() {
		e := idempotentSite()
		bare := request(sheet, 1, affinity.Token(11), 101, 5)
		bare.Length = 0
		e.Decide(0, bare)
		Expect(e.Decide(time.Second, request(sheet, 1, affinity.Token(11), 101, 5)).Repeats).To(BeZero())
		got := e.Decide(time.Second+firstRepeat, request(sheet, 1, affinity.Token(11), 101, 5))
		Expect(got.Verdict).To(Equal(affinity.Forward))
		Expect(got.Repeats).To(Equal(1))
	})
})

var _ = Describe("endpoints that refuse flows", func() {
	// Guards against new flows on a crashed endpoint whose address answers each first packet with
	// a reset: its callers send nothing more on these flows, so it looks idle.
	It("are avoided when the callers of two flows send no later packet and no retransmission", func() {
		e := site()
		refusing := e.Decide(0, first(desk, caller, 0)).Endpoint.ID
		count := 0
		for port := 1; count < 2; port++ {
			got := e.Decide(10*time.Millisecond, first(desk, callerAt(port), 0))
			if got.Endpoint.ID == refusing {
				count++
				continue
			}
			e.Decide(15*time.Millisecond, later(desk, callerAt(port), got.Token, 5))
		}
		e.Tick(time.Second)
		for port := range 30 {
			Expect(e.Decide(time.Second, first(desk, callerAt(200+port), 0)).Endpoint.ID).NotTo(Equal(refusing))
		}
	})

	It("are used again after an answer", func() {
		e := site()
		refusing := e.Decide(0, first(desk, caller, 0)).Endpoint.ID
		e.Decide(0, first(desk, callerAt(1), 0))
		e.Tick(time.Second)
		e.Decide(time.Second, later(desk, callerAt(99), affinity.Token(refusing), 5))
		e.Decide(time.Second, later(desk, callerAt(99), affinity.Token(refusing), 9))
		seen := map[uint64]bool{}
		for port := range 30 {
			seen[e.Decide(time.Second, first(desk, callerAt(200+port), 0)).Endpoint.ID] = true
		}
		Expect(seen).To(HaveKey(refusing))
	})
})
