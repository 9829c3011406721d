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

// verdictOn returns what the host does with a packet of a caller.
func (h *engineHarness) verdictOn(p affinity.Packet) affinity.Verdict {
	GinkgoHelper()
	g := &datagram{packet: p}
	Expect(h.handle(packetArrived{g})).To(Succeed())
	return g.verdict
}

var _ = Describe("a pause of the process", func() {
	first := affinity.Packet{Caller: netip.MustParseAddrPort("100.64.0.1:5000"), Service: netip.MustParseAddrPort("198.18.0.1:443"), Flags: affinity.SYN}
	fullState := func(version uint64) *wirepb.EdgeUpdate {
		return &wirepb.EdgeUpdate{
			FirstPart: true, LastPart: true, Table: routes(version), Version: version, Contact: true,
			Endpoints: []*wirepb.EndpointReport{reportOf(1, 1, registry.Ready, false)},
		}
	}
	serving := func() *engineHarness {
		h := newEngineHarness()
		h.receive(fullState(5))
		Expect(h.handle(tick{})).To(Succeed())
		Expect(h.verdictOn(first)).To(Equal(affinity.Forward))
		return h
	}

	// Guards against a process that was paused for some seconds and places the packets that waited in
	// its socket by routes and endpoints that have been withdrawn meanwhile.
	It("holds new flows until a control host has sent a state from after it", func() {
		h := serving()
		later := affinity.Packet{Caller: first.Caller, Service: first.Service, Flags: affinity.ACK, Token: affinity.Token(1), Seq: 101, Ack: 1}
		h.time += 3 * time.Second
		Expect(h.verdictOn(first)).To(Equal(affinity.Drop))
		Expect(h.verdictOn(later)).To(Equal(affinity.Forward), "packets of open flows name their endpoint")
		Expect(h.ready()).To(BeFalse())
		event, err := h.followInbox.Get()
		Expect(err).NotTo(HaveOccurred())
		Expect(event).To(Equal(pauseEnded{}))

		h.receive(fullState(6)) // was on its way before the pause
		Expect(h.verdictOn(first)).To(Equal(affinity.Drop))
		Expect(h.handle(followedAnew{})).To(Succeed())
		Expect(h.verdictOn(first)).To(Equal(affinity.Drop))
		h.receive(fullState(7))
		Expect(h.verdictOn(first)).To(Equal(affinity.Forward))
		Expect(h.ready()).To(BeTrue())
	})

	// Guards against a host that serves nobody because no control host can be reached.
	It("holds new flows for a short time only where no control host answers", func() {
		h := serving()
		h.time += 3 * time.Second
		Expect(h.verdictOn(first)).To(Equal(affinity.Drop))
		h.time += afterPauseWait
		Expect(h.verdictOn(first)).To(Equal(affinity.Forward))
	})

	// Guards against a host that holds new flows although its clock ticks, or has not started to serve.
	It("is not seen in quiet times and at the start", func() {
		h := newEngineHarness()
		Expect(h.handle(tick{})).To(Succeed())
		h.time += 3 * time.Second
		h.receive(fullState(5))
		for range 20 {
			h.time += pauseLimit / 2
			Expect(h.handle(tick{})).To(Succeed())
		}
		Expect(h.verdictOn(first)).To(Equal(affinity.Forward))
	})

	// Guards against updates from before the pause that count as the present state.
	It("has the host follow control hosts by new connections", func() {
		d, now := newFollowDuty(address1)
		Expect(d.handle(followTick{})).To(Succeed())
		old := d.connectionTo(address1)
		d.receive(address1, &wirepb.EdgeUpdate{Version: 5, LastPart: true})
		_, err := d.engineInbox.Get()
		Expect(err).NotTo(HaveOccurred())
		*now += 3 * time.Second
		Expect(d.handle(pauseEnded{})).To(Succeed())
		Expect(d.handle(updateReceived{from: old, update: &wirepb.EdgeUpdate{Version: 6}})).To(Succeed())
		d.receive(address1, &wirepb.EdgeUpdate{Version: 7})
		Expect(d.connectionTo(address1)).NotTo(BeIdenticalTo(old))
		event, err := d.engineInbox.Get()
		Expect(err).NotTo(HaveOccurred())
		Expect(event).To(Equal(followedAnew{}))
		event, err = d.engineInbox.Get()
		Expect(err).NotTo(HaveOccurred())
		Expect(event.(stateUpdated).update.GetVersion()).To(BeEquivalentTo(7))
	})
})
