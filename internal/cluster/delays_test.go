package cluster

import (
	"bytes"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"cassiawood/internal/delay"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// delayEntry is an entry host that has subscribed to a control host.
type delayEntry struct {
	control *stateHarness
	out     *ring.Ring[[]byte]
}

// newDelayEntry subscribes an entry host, which gets the full state with the next update.
func newDelayEntry(control *stateHarness) *delayEntry {
	GinkgoHelper()
	e := &delayEntry{control: control, out: ring.New[[]byte]("out", 4096, ring.DropNewest)}
	control.handleEvent(subscribe{host: "e", domain: "a", wantsState: true, out: e.out})
	return e
}

// report sends the delays of the endpoints 1 to count, with samples each, endpoint 1 being slower by the factor.
func (e *delayEntry) report(count int, samples, slowness float64) {
	GinkgoHelper()
	var list []delay.Report
	for id := uint64(1); id <= uint64(count); id++ {
		r := delay.Report{Endpoint: id, Samples: samples, MeanLog: math.Log(0.05)}
		if id == 1 {
			r.MeanLog += math.Log(slowness)
		}
		list = append(list, r)
	}
	e.control.handleEvent(demandReported{out: e.out, report: &wirepb.EdgeDemand{Delays: wire.DelaysToProto(list)}})
}

// relative returns the relative delays in the updates since the last call, the latest one of each endpoint.
func (e *delayEntry) relative() map[uint64]float64 {
	GinkgoHelper()
	factors := map[uint64]float64{}
	for e.out.Depth() > 0 {
		data, err := e.out.Get()
		Expect(err).NotTo(HaveOccurred())
		envelope := &wirepb.Envelope{}
		Expect(protodelim.UnmarshalFrom(bytes.NewReader(data), envelope)).To(Succeed())
		list, invalid := wire.RelativeDelaysFromProto(envelope.GetEdgeUpdate().GetDelays())
		Expect(invalid).To(BeZero())
		for _, r := range list {
			factors[r.Endpoint] = r.Factor
		}
	}
	return factors
}

// sentDelays returns what a host has sent to the other control hosts since the last call, by message.
func sentDelays(h *stateHarness) (sent []*wirepb.EndpointUpdate) {
	for h.linksInbox.Depth() > 0 {
		e, _ := h.linksInbox.Get()
		if b, ok := e.(broadcast); ok && len(b.envelope.GetEndpointUpdate().GetDelays()) > 0 {
			sent = append(sent, b.envelope.GetEndpointUpdate())
		}
	}
	return sent
}

// weight returns the samples that a host counts of an endpoint, undecayed by the time since the last evaluation.
func weight(h *stateHarness, id uint64) float64 {
	for _, r := range h.delays.shared.Reports("desk", h.delays.evaluatedAt) {
		if r.Endpoint == id {
			return r.Samples
		}
	}
	return 0
}

func withEndpoints(peers []*stateHarness, count int) []*stateHarness {
	GinkgoHelper()
	for _, h := range peers {
		for id := range uint64(count) {
			h.handleEvent(endpointReported{endpoint: endpoint(id + 1), reply: newReply()})
		}
	}
	return peers
}

var _ = Describe("delays of endpoints", func() {
	// Guards against samples that count twice, at the host whose entry hosts have taken them or at another one, or not at all.
	It("count once at each control host", func() {
		peers := withEndpoints(newPeers(3), 2)
		one, two, three := newDelayEntry(peers[0]), newDelayEntry(peers[0]), newDelayEntry(peers[1])
		Expect(exchangePeers(peers, delaysInterval, allArrive)).To(Succeed())
		one.report(2, 10, 1)
		two.report(2, 20, 1)
		three.report(2, 40, 1)
		Expect(exchangePeers(peers, 2*delaysInterval, allArrive)).To(Succeed())
		for _, h := range peers {
			// Between one and two seconds old, with a half-life of 4 s.
			Expect(weight(h, 1)).To(And(BeNumerically("<=", 70), BeNumerically(">=", 70*math.Exp2(-0.5))), h.self.Address)
			Expect(weight(h, 2)).To(BeNumerically("~", weight(h, 1), 1e-3))
		}
		Expect(exchangePeers(peers, 2*delaysInterval, allArrive)).To(Succeed())
		Expect(weight(peers[2], 1)).To(BeNumerically("<", 51), "nothing is sent again")
	})

	// Guards against an echo: a control host that takes its own message, or that of a host which is no member, counts the samples again.
	It("of the own address and of strangers are left out", func() {
		h := withEndpoints(newPeers(2), 1)[0]
		delays := wire.DelaysToProto([]delay.Report{{Endpoint: 1, Samples: 10, MeanLog: -3}})
		for _, from := range []string{h.self.Address, "127.0.0.1:99", ""} {
			h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{From: from, Delays: delays}})
		}
		h.advance(delaysInterval)
		Expect(weight(h, 1)).To(BeZero())
	})

	// Guards against slow endpoints that only some entry hosts avoid, and against messages about services that are even.
	It("reach the entry hosts of all control hosts while a service is uneven, and end there", func() {
		peers := withEndpoints(newPeers(3), 10)
		measuring, other := newDelayEntry(peers[0]), newDelayEntry(peers[2])
		for range 5 {
			measuring.report(10, 30, 1)
			Expect(exchangePeers(peers, delaysInterval, allArrive)).To(Succeed())
		}
		Expect(other.relative()).To(BeEmpty())
		for range 5 {
			measuring.report(10, 30, 6)
			Expect(exchangePeers(peers, delaysInterval, allArrive)).To(Succeed())
		}
		Expect(other.relative()).To(HaveKeyWithValue(uint64(1), BeNumerically(">", 2)))
		Expect(peers[2].metrics.unevenServices.Value()).To(BeEquivalentTo(1))
		late := newDelayEntry(peers[2])
		Expect(late.relative()).To(HaveKeyWithValue(uint64(1), BeNumerically(">", 2)), "the full state lists it")
		for range 40 {
			measuring.report(10, 30, 1)
			Expect(exchangePeers(peers, delaysInterval, allArrive)).To(Succeed())
		}
		Expect(other.relative()).To(HaveKeyWithValue(uint64(1), BeEquivalentTo(1)))
		Expect(peers[2].metrics.unevenServices.Value()).To(BeZero())
		Expect(newDelayEntry(peers[2]).relative()).To(BeEmpty())
	})

	// Guards against samples older than the page allows: those of an entry host must act at its control host within one
	// interval and at the others within two.
	It("act within an interval at their control host and within two at the others", func() {
		peers := withEndpoints(newPeers(2), 10)
		measuring, other := newDelayEntry(peers[0]), newDelayEntry(peers[1])
		peers[1].delays.evaluatedAt = peers[1].time + delaysInterval/2 // the hosts are out of step
		Expect(exchangePeers(peers, 2*delaysInterval, allArrive)).To(Succeed())
		measuring.report(10, 100, 6)
		Expect(exchangePeers(peers, delaysInterval, allArrive)).To(Succeed())
		Expect(measuring.relative()).To(HaveKey(uint64(1)))
		Expect(exchangePeers(peers, delaysInterval, allArrive)).To(Succeed())
		Expect(other.relative()).To(HaveKey(uint64(1)))
	})

	// Guards against samples that have waited behind a stalled link or a pause of the process and count as new ones.
	It("count only the latest reports of a sender after a stall", func() {
		peers := withEndpoints(newPeers(2), 10)
		entry := newDelayEntry(peers[0])
		for range 20 {
			entry.report(10, 5, 6)
			peers[0].handleEvent(peerUpdate{&wirepb.EndpointUpdate{From: peers[1].self.Address, Delays: wire.DelaysToProto([]delay.Report{{Endpoint: 2, Samples: 5}})}})
		}
		peers[0].advance(delaysInterval)
		Expect(weight(peers[0], 1)).To(BeNumerically("<=", 2*5))
		Expect(weight(peers[0], 2)).To(BeNumerically("<=", 2*2*5))
	})

	// Guards against a host that relies on the others for its own entry hosts, and against a stale view after a cut.
	It("of a host that is cut off are its own ones, and those of the others fade", func() {
		peers := withEndpoints(newPeers(3), 10)
		near, far := newDelayEntry(peers[0]), newDelayEntry(peers[1])
		cut := func(from, to *stateHarness) bool { return from != peers[0] && to != peers[0] }
		far.report(10, 100, 6)
		Expect(exchangePeers(peers, 2*delaysInterval, allArrive)).To(Succeed())
		Expect(near.relative()).To(HaveKey(uint64(1)))
		for range 30 {
			near.report(10, 30, 1)
			far.report(10, 30, 6)
			Expect(exchangePeers(peers, delaysInterval, cut)).To(Succeed())
		}
		Expect(near.relative()).To(HaveKeyWithValue(uint64(1), BeEquivalentTo(1)))
		Expect(peers[2].delays.shared.Uneven()).To(Equal(1), "the others go on")
		for range 3 {
			far.report(10, 30, 6)
			Expect(exchangePeers(peers, delaysInterval, allArrive)).To(Succeed())
		}
		Expect(near.relative()).To(HaveKeyWithValue(uint64(1), BeNumerically(">", 1.5)))
	})

	// Guards against a control host that knows no delays for long after its restart.
	It("are known again two intervals after a restart", func() {
		peers := withEndpoints(newPeers(3), 10)
		measuring := newDelayEntry(peers[1])
		for range 5 {
			measuring.report(10, 30, 6)
			Expect(exchangePeers(peers, delaysInterval, allArrive)).To(Succeed())
		}
		restarted := withEndpoints(newPeers(3)[:1], 10)[0]
		restarted.time = peers[0].time
		peers[0] = restarted
		entry := newDelayEntry(restarted)
		Expect(entry.relative()).To(BeEmpty())
		for range 2 {
			measuring.report(10, 30, 6)
			Expect(exchangePeers(peers, delaysInterval, allArrive)).To(Succeed())
		}
		Expect(entry.relative()).To(HaveKeyWithValue(uint64(1), BeNumerically(">", 2)))
	})

	// Guards against an endpoint that starts again and is taken for slow, because the one before it was, and against estimates that are
	// kept for endpoints that have ended.
	It("of an earlier incarnation are dropped", func() {
		h := withEndpoints(newPeers(1), 10)[0]
		entry := newDelayEntry(h)
		h.advance(delaysInterval)
		entry.report(10, 100, 6)
		h.advance(delaysInterval)
		Expect(entry.relative()).To(HaveKey(uint64(1)))
		again := endpoint(1)
		again.StartedAtMs = 2
		h.handleEvent(endpointReported{endpoint: again, reply: newReply()})
		h.advance(delaysInterval)
		Expect(entry.relative()).To(HaveKeyWithValue(uint64(1), BeEquivalentTo(1)))
		Expect(weight(h, 1)).To(BeZero())
		h.advance(2 * time.Minute) // all are forgotten
		Expect(h.delays.shared.Reports("desk", h.time)).To(BeEmpty())
	})

	// Guards against a message that makes the estimates of a service unusable.
	It("with odd values are left out", func() {
		h := withEndpoints(newPeers(1), 2)[0]
		entry := newDelayEntry(h)
		h.handleEvent(demandReported{out: entry.out, report: &wirepb.EdgeDemand{Delays: []*wirepb.EndpointDelay{
			{Id: 1, Samples: float32(math.NaN())}, {Id: 1, Samples: 1, MeanLog: float32(math.Inf(-1))}, {Id: 77, Samples: 1}, {Id: 2, Samples: 3},
		}}})
		Expect(h.delays.invalid).To(Equal(2))
		h.advance(delaysInterval)
		Expect(weight(h, 1)).To(BeZero())
		Expect(weight(h, 2)).To(BeNumerically("~", 3, 1e-3))
		sent := sentDelays(h)
		Expect(sent).To(HaveLen(1))
		Expect(sent[0].GetDelays()).To(HaveLen(1), "unknown endpoints are not sent on")
	})
})
