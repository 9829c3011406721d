package affinity_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/affinity"
	"cassiawood/internal/rotation"
)

// Times after the first transmission at which callers retransmit unacknowledged data.
const (
	firstRetransmit  = 200 * time.Millisecond
	secondRetransmit = 600 * time.Millisecond
)

// newIdempotentEngine returns an engine whose sheet route carries idempotent requests only.
func newIdempotentEngine() *affinity.Engine {
	e := newEngine()
	sheets := route(sheet, "sheet")
	sheets.Idempotent = true
	e.SetRoutes(table(2, route(desk, "desk"), sheets))
	return e
}

// takeResets returns the resets of idle flows at a host all of whose flows have always come through it.
func takeResets(e *affinity.Engine, now time.Duration, limit int) []affinity.FlowReset {
	if !e.AskEvidence(now) {
		return nil
	}
	return e.ResetIdleFlows(now, rotation.Evidence{IsComplete: true, UnchangedSince: -time.Hour}, limit).Resets
}

// dataPacket returns a packet with data and the given sequence and acknowledgment numbers.
func dataPacket(service netip.AddrPort, port int, token, seq, ack uint32) affinity.Packet {
	p := laterPacket(service, callerAt(port), token, ack)
	p.Seq = seq
	return p
}

var _ = Describe("flows without progress", func() {
	// Guards against callers that wait for a failed or unreachable endpoint until they time out,
	// although another endpoint could still answer in time.
	It("resets flows of idempotent requests whose data was retransmitted twice", func() {
		e := newIdempotentEngine()
		one, two := dataPacket(sheet, 1, affinity.Token(11), 101, 5), dataPacket(sheet, 2, affinity.Token(11), 101, 5)
		for _, at := range []time.Duration{0, firstRetransmit} {
			Expect(e.Decide(at, one).Verdict).To(Equal(affinity.Forward))
			Expect(e.Decide(at, two).Verdict).To(Equal(affinity.Forward))
		}
		for _, p := range []affinity.Packet{one, two} {
			got := e.Decide(secondRetransmit, p)
			Expect(got.Verdict).To(Equal(affinity.Reset))
			Expect(got.Reason).To(Equal(affinity.Stalled))
			Expect(got.Endpoint.ID).To(BeEquivalentTo(11))
		}
		Expect(e.FlowCount()).To(BeZero())
	})

	// Guards against resets of flows whose endpoint serves, after a pause of this host: the data had been sent before it, and its
	// retransmissions waited in the socket, before the acknowledgements of the answers.
	It("keeps flows whose retransmissions have waited while this host was paused", func() {
		e := newIdempotentEngine()
		const resumed = 1800 * time.Millisecond
		for port := 1; port <= 5; port++ {
			e.Decide(0, dataPacket(sheet, port, affinity.Token(11), 101, 5))
		}
		first := e.Decide(0, firstPacket(sheet, callerAt(9), 0))
		e.Resume(resumed)
		for range 3 {
			for port := 1; port <= 5; port++ {
				Expect(e.Decide(resumed, dataPacket(sheet, port, affinity.Token(11), 101, 5)).Verdict).To(Equal(affinity.Forward))
			}
		}
		e.Tick(resumed)
		Expect(takeResets(e, resumed, 9)).To(BeEmpty())
		Expect(e.TakeSuspicions()).To(BeEmpty())
		got := e.Decide(resumed, firstPacket(sheet, callerAt(9), 1))
		Expect(got.Reason).To(Equal(affinity.Repeated))
		Expect(got.Endpoint.ID).To(Equal(first.Endpoint.ID))
	})

	// Guards against the reset of a flow of a working endpoint after three packets of the flow were
	// lost, which happened twice in some 180 days of gwymon-lb.
	It("keeps a flow when it is the only stalled one of its endpoint", func() {
		e := newIdempotentEngine()
		p := dataPacket(sheet, 1, affinity.Token(11), 101, 5)
		for _, at := range []time.Duration{0, firstRetransmit, secondRetransmit, 1400 * time.Millisecond} {
			Expect(e.Decide(at, p).Verdict).To(Equal(affinity.Forward))
		}
	})

	// Guards against the reset of a non-idempotent request that may still be running: its caller
	// cannot repeat it.
	It("keeps flows of non-idempotent requests", func() {
		e := newIdempotentEngine()
		p := dataPacket(desk, 1, affinity.Token(1), 101, 5)
		for _, at := range []time.Duration{0, firstRetransmit, secondRetransmit, 1400 * time.Millisecond} {
			Expect(e.Decide(at, p).Verdict).To(Equal(affinity.Forward))
		}
	})

	It("keeps a flow whose endpoint has answered another flow since", func() {
		e := newIdempotentEngine()
		p := dataPacket(sheet, 1, affinity.Token(11), 101, 5)
		e.Decide(0, dataPacket(sheet, 2, affinity.Token(11), 101, 5))
		e.Decide(0, p)
		e.Decide(firstRetransmit, dataPacket(sheet, 2, affinity.Token(11), 101, 5))
		e.Decide(firstRetransmit, p)
		e.Decide(300*time.Millisecond, dataPacket(sheet, 2, affinity.Token(11), 111, 9))
		Expect(e.Decide(secondRetransmit, p).Verdict).To(Equal(affinity.Forward))
	})

	// Guards against resets of flows whose endpoint answers them.
	It("keeps a flow that has made progress since", func() {
		e := newIdempotentEngine()
		e.Decide(0, dataPacket(sheet, 1, affinity.Token(11), 101, 5))
		e.Decide(firstRetransmit, dataPacket(sheet, 1, affinity.Token(11), 101, 5))
		e.Decide(firstRetransmit+time.Millisecond, dataPacket(sheet, 1, affinity.Token(11), 111, 6))
		Expect(e.Decide(secondRetransmit, dataPacket(sheet, 1, affinity.Token(11), 111, 6)).Verdict).To(Equal(affinity.Forward))
	})

	// Guards against resets by a host that was suspended and then reads the packets of several
	// seconds at once.
	It("keeps a flow whose retransmissions arrive together", func() {
		e := newIdempotentEngine()
		for range 5 {
			Expect(e.Decide(time.Second, dataPacket(sheet, 1, affinity.Token(11), 101, 5)).Verdict).To(Equal(affinity.Forward))
		}
	})

	// Guards against a false suspicion: a packet without data has the sequence number of the data
	// that follows, which is no retransmission.
	It("does not count the first data of a flow as a retransmission", func() {
		e := newIdempotentEngine()
		withoutData := dataPacket(sheet, 1, affinity.Token(11), 101, 5)
		withoutData.Length = 0
		e.Decide(0, withoutData)
		Expect(e.Decide(time.Second, dataPacket(sheet, 1, affinity.Token(11), 101, 5)).DataRetransmits).To(BeZero())
		got := e.Decide(time.Second+firstRetransmit, dataPacket(sheet, 1, affinity.Token(11), 101, 5))
		Expect(got.Verdict).To(Equal(affinity.Forward))
		Expect(got.DataRetransmits).To(Equal(1))
	})
})

var _ = Describe("endpoints that refuse flows", func() {
	// Guards against new flows on a crashed endpoint whose address answers each first packet with
	// a reset: its callers send nothing more on these flows, so it looks idle.
	It("are avoided when the callers of two flows send no later packet and no retransmission", func() {
		e := newEngine()
		refusing := e.Decide(0, firstPacket(desk, caller, 0)).Endpoint.ID
		count := 0
		for port := 1; count < 2; port++ {
			got := e.Decide(10*time.Millisecond, firstPacket(desk, callerAt(port), 0))
			if got.Endpoint.ID == refusing {
				count++
				continue
			}
			e.Decide(15*time.Millisecond, laterPacket(desk, callerAt(port), got.Token, 5))
		}
		e.Tick(time.Second)
		for port := range 30 {
			Expect(e.Decide(time.Second, firstPacket(desk, callerAt(200+port), 0)).Endpoint.ID).NotTo(Equal(refusing))
		}
	})

	It("are used again after an answer", func() {
		e := newEngine()
		refusing := e.Decide(0, firstPacket(desk, caller, 0)).Endpoint.ID
		e.Decide(0, firstPacket(desk, callerAt(1), 0))
		e.Tick(time.Second)
		e.Decide(time.Second, laterPacket(desk, callerAt(99), affinity.Token(refusing), 5))
		e.Decide(time.Second, laterPacket(desk, callerAt(99), affinity.Token(refusing), 9))
		seen := map[uint64]bool{}
		for port := range 30 {
			seen[e.Decide(time.Second, firstPacket(desk, callerAt(200+port), 0)).Endpoint.ID] = true
		}
		Expect(seen).To(HaveKey(refusing))
	})
})

var _ = Describe("idle flows", func() {
	// openIdle opens a flow to an endpoint of the desk service, whose requests may run once only.
	openIdle := func(e *affinity.Engine, port int, id uint64) {
		e.Decide(0, dataPacket(desk, port, affinity.Token(id), 101, 5))
		p := dataPacket(desk, port, affinity.Token(id), 111, 6)
		p.Length = 0
		e.Decide(0, p)
	}
	// stall retransmits the data of a flow twice.
	stall := func(e *affinity.Engine, port int, id uint64) {
		for _, at := range []time.Duration{0, firstRetransmit, secondRetransmit} {
			e.Decide(at, dataPacket(desk, port, affinity.Token(id), 101, 5))
		}
	}
	callers := func(resets []affinity.FlowReset) []int {
		var ports []int
		for _, r := range resets {
			ports = append(ports, int(r.Caller.Port()))
		}
		return ports
	}

	// Guards against a request that fails because its caller kept a flow to an endpoint that had ended:
	// the request was answered by a reset, and one that may run once only could not be repeated.
	It("are reset when a newer incarnation uses the address of their endpoint", func() {
		e := newEngine()
		openIdle(e, 1, 1)
		openIdle(e, 2, 2)
		successor := endpoint(20, "sheet", "a")
		successor.Address, successor.StartedAtMs = endpoint(1, "desk", "a").Address, 2000
		e.Upsert(0, successor)
		e.Tick(900 * time.Millisecond)
		Expect(takeResets(e, 900*time.Millisecond, 9)).To(BeEmpty(), "the endpoint may still report")
		silent := endpoint(1, "desk", "a")
		silent.Silent = true
		e.Upsert(time.Second, silent)
		e.Tick(1500 * time.Millisecond)
		Expect(takeResets(e, 1500*time.Millisecond, 9)).To(BeEmpty(), "the endpoint may still send its last answers")
		e.Tick(2 * time.Second)
		got := takeResets(e, 2*time.Second, 9)
		Expect(callers(got)).To(Equal([]int{1}))
		Expect(got[0].Ack).To(BeEquivalentTo(6))
		e.Tick(3 * time.Second)
		Expect(takeResets(e, 3*time.Second, 9)).To(BeEmpty())
	})

	// Guards against resets while the endpoint still sends its last answers, and against resets of the flows of an
	// endpoint that turns out to be running.
	It("are reset when their endpoint has been gone for the grace period", func() {
		e := newEngine()
		openIdle(e, 1, 1)
		running, gone := endpoint(1, "desk", "a"), endpoint(1, "desk", "a")
		gone.AcceptsFlows, gone.Gone = false, true
		e.Upsert(0, gone)
		e.Tick(900 * time.Millisecond)
		Expect(takeResets(e, 900*time.Millisecond, 9)).To(BeEmpty())
		e.Upsert(950*time.Millisecond, running)
		e.Tick(9 * time.Second)
		Expect(takeResets(e, 9*time.Second, 9)).To(BeEmpty())
		e.Upsert(9*time.Second, gone)
		e.Tick(9900 * time.Millisecond)
		Expect(takeResets(e, 9900*time.Millisecond, 9)).To(BeEmpty(), "it is gone again since 9 s only")
		Expect(e.Decide(9900*time.Millisecond, laterPacket(desk, callerAt(1), affinity.Token(1), 5)).Verdict).To(Equal(affinity.Forward))
		restarted := running
		restarted.StartedAtMs = 2000
		e.Upsert(9950*time.Millisecond, restarted)
		e.Tick(12 * time.Second)
		Expect(takeResets(e, 12*time.Second, 9)).To(BeEmpty())
		gone.StartedAtMs = 2000
		e.Upsert(12*time.Second, gone)
		e.Tick(13 * time.Second)
		Expect(callers(takeResets(e, 13*time.Second, 9))).To(Equal([]int{1}))
	})

	// Guards against callers that send request after request on flows to an endpoint that has died without
	// notice; each of them would wait until its time is over.
	It("are reset when three flows of their endpoint have no answer and one has stalled", func() {
		e := newEngine()
		openIdle(e, 1, 1)
		openIdle(e, 2, 2)
		for port := 11; port <= 13; port++ {
			stall(e, port, 1)
		}
		e.Tick(secondRetransmit)
		Expect(callers(takeResets(e, secondRetransmit, 9))).To(Equal([]int{1}), "neither the stalled flows nor those of other endpoints")
	})

	It("are kept when fewer flows have no answer, or one has had an answer since", func() {
		e := newEngine()
		openIdle(e, 1, 1)
		for port := 11; port <= 12; port++ {
			stall(e, port, 1)
		}
		e.Tick(secondRetransmit)
		Expect(takeResets(e, secondRetransmit, 9)).To(BeEmpty())
		stall(e, 13, 1)
		e.Decide(secondRetransmit, dataPacket(desk, 14, affinity.Token(1), 101, 5))
		e.Decide(secondRetransmit, dataPacket(desk, 14, affinity.Token(1), 111, 7))
		e.Tick(secondRetransmit)
		Expect(takeResets(e, secondRetransmit, 9)).To(BeEmpty())
	})

	// Guards against resets by a host that was frozen: it reads all retransmissions at once.
	It("are kept when the retransmissions arrive together", func() {
		e := newEngine()
		openIdle(e, 1, 1)
		for range 3 {
			for port := 11; port <= 13; port++ {
				e.Decide(5*time.Second, dataPacket(desk, port, affinity.Token(1), 101, 5))
			}
		}
		e.Tick(5 * time.Second)
		Expect(takeResets(e, 5*time.Second, 9)).To(BeEmpty())
	})

	It("are reset a limited number at a time", func() {
		e := newEngine()
		for port := 1; port <= 5; port++ {
			openIdle(e, port, 1)
		}
		gone := endpoint(1, "desk", "a")
		gone.AcceptsFlows, gone.Gone = false, true
		e.Upsert(0, gone)
		e.Tick(5 * time.Second)
		Expect(takeResets(e, 5*time.Second, 3)).To(HaveLen(3))
		Expect(takeResets(e, 5*time.Second, 3)).To(HaveLen(2))
	})
})
