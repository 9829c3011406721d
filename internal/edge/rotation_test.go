package edge

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/affinity"
	"cassiawood/internal/registry"
	"cassiawood/internal/wire/wirepb"
)

// rotationHarness is an entry host in rotation with an idle flow.
type rotationHarness struct {
	*engineHarness
	suspended time.Duration // that the steady clock has not counted
	packet    affinity.Packet
}

func newRotationHarness() *rotationHarness {
	h := &rotationHarness{engineHarness: newEngineHarness(), packet: affinity.Packet{
		Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443"),
		Flags: affinity.ACK, Token: affinity.Token(1), Seq: 1, Ack: 7,
	}}
	h.bootClock = func() time.Duration { return h.time + h.suspended }
	h.receive(&wirepb.EdgeUpdate{Contact: true, Version: 1, FirstPart: true})
	h.receive(&wirepb.EdgeUpdate{Contact: true, Version: 1, LastPart: true, Table: routes(1), Endpoints: []*wirepb.EndpointReport{reportOf(1, 1, registry.Ready, false)}})
	h.beProbed(3 * time.Second)
	h.arrive()
	h.beProbed(time.Second)
	return h
}

// beProbed lets time pass in which the fabric asks for readiness.
func (h *rotationHarness) beProbed(d time.Duration) {
	GinkgoHelper()
	for range d / (500 * time.Millisecond) {
		h.advance(500 * time.Millisecond)
		Expect(h.ready()).To(BeTrue())
	}
}

// arrive lets a packet of the flow arrive.
func (h *rotationHarness) arrive() {
	GinkgoHelper()
	Expect(h.handle(packetArrived{&datagram{packet: h.packet}})).To(Succeed())
	Expect(h.packetsOut.Depth()).To(Equal(1))
	forwarded, err := h.packetsOut.Get()
	Expect(err).NotTo(HaveOccurred())
	Expect(forwarded.verdict).To(Equal(affinity.Forward))
}

// endEndpoint lets the endpoint of the flow end and returns the number of the question that the host asks then.
func (h *rotationHarness) endEndpoint() uint64 {
	GinkgoHelper()
	h.receive(&wirepb.EdgeUpdate{Endpoints: []*wirepb.EndpointReport{reportOf(1, 2, registry.Gone, false)}})
	for range 20 {
		h.advance(tickInterval)
		if h.time%(500*time.Millisecond) == 0 {
			Expect(h.ready()).To(BeTrue())
		}
		if question := h.question(); question != 0 {
			return question
		}
	}
	Fail("the host asks nothing")
	return 0
}

// question returns the number of the latest question about the rotation, 0 if there is none.
func (h *rotationHarness) question() uint64 {
	GinkgoHelper()
	number := uint64(0)
	for h.followInbox.Depth() > 0 {
		e, err := h.followInbox.Get()
		Expect(err).NotTo(HaveOccurred())
		if m, ok := e.(rotationMessage); ok && m.question != 0 {
			number = m.question
		}
	}
	return number
}

func (h *rotationHarness) answer(question uint64, complete bool, unchanged time.Duration) {
	GinkgoHelper()
	Expect(question).NotTo(BeZero())
	h.receive(&wirepb.EdgeUpdate{RotationResult: &wirepb.RotationResult{Question: question, Complete: complete, UnchangedMs: uint64(unchanged.Milliseconds())}})
}

// statement returns what the host states about itself.
func (h *rotationHarness) statement() time.Duration {
	GinkgoHelper()
	h.question()
	h.receive(&wirepb.EdgeUpdate{RotationRound: 9})
	e, err := h.followInbox.Get()
	Expect(err).NotTo(HaveOccurred())
	m := e.(rotationMessage).statement
	Expect(m.GetRound()).To(BeEquivalentTo(9))
	return time.Duration(m.GetUnchangedMs()) * time.Millisecond
}

var _ = Describe("idle flows of an endpoint that has ended", func() {
	// Guards against callers that keep flows to an endpoint that has ended.
	It("are reset with the acknowledgment number of the caller when the rotation has not changed since", func() {
		h := newRotationHarness()
		h.answer(h.endEndpoint(), true, time.Minute)
		Expect(h.packetsOut.Depth()).To(Equal(1))
		reset, err := h.packetsOut.Get()
		Expect(err).NotTo(HaveOccurred())
		Expect(reset.verdict).To(Equal(affinity.Reset))
		Expect(reset.packet.Caller).To(Equal(h.packet.Caller))
		Expect(reset.packet.Ack).To(Equal(h.packet.Ack))
		h.beProbed(2 * time.Second)
		Expect(h.question()).To(BeZero())
	})

	// Guards against resets with a number from before the flow moved: a caller takes them for packets of nobody (review/15).
	DescribeTable("are not reset when they may have moved, or when that is not known", func(happen func(h *rotationHarness)) {
		h := newRotationHarness()
		happen(h)
		Expect(h.packetsOut.Depth()).To(BeZero())
	},
		Entry("another host has come into rotation", func(h *rotationHarness) { h.answer(h.endEndpoint(), true, 2*time.Second) }),
		Entry("another host is not in rotation", func(h *rotationHarness) { h.answer(h.endEndpoint(), true, 0) }),
		Entry("another host has come into rotation shortly before the packet", func(h *rotationHarness) { h.answer(h.endEndpoint(), true, 3*time.Second) }),
		Entry("not all hosts have answered", func(h *rotationHarness) { h.answer(h.endEndpoint(), false, time.Minute) }),
		Entry("the answer is to an earlier question", func(h *rotationHarness) { h.answer(h.endEndpoint()+1, true, time.Minute) }),
		Entry("the answer is late", func(h *rotationHarness) {
			question := h.endEndpoint()
			h.time += questionTimeout
			h.answer(question, true, time.Minute)
		}),
		Entry("the fabric has not asked for readiness for a while", func(h *rotationHarness) {
			h.advance(time.Second)
			h.answer(h.endEndpoint(), true, time.Minute)
		}),
		Entry("the machine was suspended", func(h *rotationHarness) {
			h.suspended += 2 * time.Second
			h.answer(h.endEndpoint(), true, time.Minute)
		}),
		Entry("the host is being stopped", func(h *rotationHarness) {
			question := h.endEndpoint()
			Expect(h.handle(stopping{})).To(Succeed())
			h.answer(question, true, time.Minute)
		}),
	)

	// Guards against callers that are told nothing because of one message that was lost.
	It("are asked about again when no answer comes", func() {
		h := newRotationHarness()
		first := h.endEndpoint()
		second := first
		for range 20 {
			h.advance(tickInterval)
			h.ready()
			if question := h.question(); question != 0 {
				second = question
				break
			}
		}
		Expect(second).To(BeNumerically(">", first))
		h.answer(second, true, time.Minute)
		Expect(h.packetsOut.Depth()).To(Equal(1))
	})

	// Guards against a second reset, with the number of an earlier packet.
	It("are not reset again when a packet of theirs has been answered since the question", func() {
		h := newRotationHarness()
		question := h.endEndpoint()
		closing := h.packet
		closing.Flags |= affinity.FIN
		Expect(h.handle(packetArrived{&datagram{packet: closing}})).To(Succeed())
		Expect(h.packetsOut.Depth()).To(Equal(1), "the answer to the packet")
		h.answer(question, true, time.Minute)
		Expect(h.packetsOut.Depth()).To(Equal(1))
	})
})

var _ = Describe("the statement of an entry host about its place in the rotation", func() {
	// Guards against hosts that vouch for a time in which the fabric may have left them out.
	It("covers the time since which it has answered each probe as ready", func() {
		h := newRotationHarness()
		Expect(h.statement()).To(Equal(3500 * time.Millisecond)) // since the first answer
		h.suspended += time.Second
		Expect(h.statement()).To(BeZero())
		h.beProbed(time.Second)
		Expect(h.statement()).To(Equal(500 * time.Millisecond))
		Expect(h.handle(stopping{})).To(Succeed())
		Expect(h.statement()).To(BeZero())
	})
})
