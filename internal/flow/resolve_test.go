package flow_test

import (
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
)

func callerAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, 16, byte(i >> 16), byte(i >> 8)}), uint16(1024+i&0xff))
}

func fromCaller(i int, service netip.AddrPort, flags uint8, payload int) *flow.Packet {
	return &flow.Packet{
		Protocol: flow.ProtocolTCP, Flags: flags, Caller: callerAt(i), Service: service, Sequence: 1, PayloadLen: payload,
	}
}

var _ = Describe("resolution", func() {
	var l *tableLog
	service := modelService(1, document.UnbrokenFirst).Address
	BeforeEach(func() { l = newTableLog(3, 6, 3, document.UnbrokenFirst) })
	instanceOf := func(id directory.EndpointID) string {
		ep, _ := l.head.Endpoint(id)
		return ep.Instance
	}

	// Guards against a settled bucket that needs records or queries (docs/design.md,
	// section 5.2, rules 1 and 3).
	It("forwards the flows of settled buckets without a record", func() {
		e := engineOf(l, "h0")
		for i := range 100 {
			syn := e.HandlePacket(0, fromCaller(i, service, flow.SYN, 0))
			data := e.HandlePacket(0, fromCaller(i, service, flow.ACK, 10))
			Expect(syn.Action).To(Equal(flow.ForwardToBackend))
			Expect(data).To(Equal(syn))
		}
		_, records := e.FlowCounts()
		Expect(records).To(BeZero())
	})

	// Guards against a forwarded response from an endpoint other than the flow's (docs/design.md,
	// section 5.2, rule 5).
	It("forwards responses only from the flow's own endpoint", func() {
		e := engineOf(l, "h0")
		own := e.HandlePacket(0, fromCaller(1, service, flow.SYN, 0)).Endpoint
		for _, id := range l.head.EndpointIDs() {
			ep, _ := l.head.Endpoint(id)
			v := e.HandlePacket(0, &flow.Packet{
				Direction: flow.FromBackend, Protocol: flow.ProtocolTCP, Caller: callerAt(1), Backend: ep.Address,
			})
			if ep.Service != "svc1" {
				Expect(v.Address).NotTo(Equal(service))
			} else if ep.ID == own {
				Expect(v.Action).To(Equal(flow.ForwardToCaller))
				Expect(v.Address).To(Equal(service))
			} else {
				Expect(v.Action).To(Equal(flow.Drop))
			}
		}
	})

	// Guards against new flows for a backend server that announced its stop (docs/design.md,
	// section 1.1, P6).
	It("places no flow on an endpoint that is leaving", func() {
		e := engineOf(l, "h0")
		id := e.HandlePacket(0, fromCaller(1, service, flow.SYN, 0)).Endpoint
		l.expectApplied(directory.EndpointStateChanged{Instance: instanceOf(id), State: directory.Leaving})
		e.SetTable(0, flow.TableOf(l.state()))
		Expect(e.HandlePacket(0, fromCaller(1, service, flow.SYN, 0)).Action).NotTo(Equal(flow.ForwardToBackend))
	})

	// Guards against a packet that reaches the new user of a released address, and against a
	// reset with outcome NotRun (docs/design.md, section 5.2, rule 6).
	It("refuses new flows of a released address and continues old ones", func() {
		l.document(0, 1, modelService(2, document.UnbrokenFirst))
		e := engineOf(l, "h0")
		v := e.HandlePacket(0, fromCaller(1, service, flow.SYN, 0))
		Expect(v.Action).To(Equal(flow.Reset))
		Expect(v.Outcome).To(Equal(flow.Unknown))
		Expect(e.HandlePacket(0, fromCaller(2, service, flow.ACK, 10)).Action).To(Equal(flow.ForwardToBackend))
	})

	// Guards against hand-offs between services and against hand-off loops.
	It("drops packets handed off for another service or after too many hops", func() {
		e := engineOf(l, "h0")
		p := fromCaller(1, service, flow.ACK, 10)
		p.Handoff = flow.Handoff{Present: true, Service: "svc2"}
		Expect(e.HandlePacket(0, p).Reason).To(Equal(flow.ReasonServiceChanged))
		p.Handoff = flow.Handoff{Present: true, Service: "svc1", Hops: 200}
		Expect(e.HandlePacket(0, p).Reason).To(Equal(flow.ReasonTooManyHops))
	})

	// Guards against a flow of a removed endpoint that is forwarded to its successor
	// (docs/design.md, section 5.2, rule 7).
	It("resets the flows of a removed endpoint with an unknown outcome", func() {
		es := enginesOf(l)
		id := es.resolve(0, "h0", fromCaller(1, service, flow.SYN, 0)).Endpoint
		l.expectApplied(directory.EndpointRemoved{Instance: instanceOf(id)})
		for range 2 {
			es.update(0, l)
			v := es.resolve(0, "h0", fromCaller(1, service, flow.ACK, 10))
			Expect(v.Action).To(Equal(flow.Reset), v.Reason.String())
			Expect(v.Outcome).To(Equal(flow.Unknown))
			l.commit()
		}
	})

	// Guards against a second endpoint for a flow whose first packet is retransmitted after a
	// move of its bucket was committed (docs/design.md, section 1.1, P5).
	It("finds the endpoint of a retransmitted first packet after a move", func() {
		es := enginesOf(l)
		placed := map[int]directory.EndpointID{}
		for i := range 100 {
			placed[i] = es.resolve(0, "h0", fromCaller(i, service, flow.SYN, 0)).Endpoint
		}
		l.expectApplied(directory.EndpointStateChanged{Instance: instanceOf(placed[0]), State: directory.Draining})
		es.update(0, l)
		l.commit()
		es.runTicks(l, 0)
		for i, id := range placed {
			v := es.resolve(3*time.Second, "h2", fromCaller(i, service, flow.SYN, 0))
			Expect(v.Action).To(Equal(flow.ForwardToBackend), "flow %d: %v", i, v.Reason)
			Expect(v.Endpoint).To(Equal(id), "flow %d", i)
		}
	})
})
