package edge

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"cassiawood/internal/affinity"
	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// engineHarness is an engine duty with a clock that the test sets.
type engineHarness struct {
	*engineDuty
	time time.Duration
}

func newEngineHarness() *engineHarness {
	h := &engineHarness{time: time.Second}
	h.engineDuty = &engineDuty{
		log: slog.New(slog.DiscardHandler), engine: affinity.New(affinity.Config{Domain: "a"}),
		packetsOut: ring.New[*datagram]("out", 16, ring.DropNewest), freeDatagrams: ring.New[*datagram]("free", 16, ring.DropNewest),
		followInbox: ring.New[followEvent]("follow", 16, ring.DropNewest),
		clock:       func() time.Duration { return h.time }, bootClock: func() time.Duration { return h.time }, metrics: newCounters(metrics.NewRegistry()),
		endpoints: map[uint64]registry.Endpoint{}, listedEndpoints: map[uint64]bool{}, stateSince: -1,
	}
	return h
}

func routes(version uint64) *wirepb.RouteTable {
	return wire.TableToProto(routing.Table{Version: version, Routes: []routing.TableRoute{{
		Address: netip.MustParseAddrPort("198.18.0.1:443"), Shares: []routing.Share{{Service: "desk", Weight: 1}},
	}}})
}

func reportOf(id, seq uint64, state registry.State, silent bool) *wirepb.EndpointReport {
	return wire.EndpointReportToProto(registry.Endpoint{
		ID: id, Name: fmt.Sprint("i-", id), StartedAtMs: 1, Seq: seq, Service: "desk", Domain: "a", Slots: 2, State: state, Silent: silent,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 80),
	}, 0)
}

// advance lets time pass with the ticks of a running process.
func (h *engineHarness) advance(by time.Duration) {
	GinkgoHelper()
	for until := h.time + by; h.time < until; {
		h.time = min(h.time+tickInterval, until)
		Expect(h.handle(tick{})).To(Succeed())
	}
}

func (h *engineHarness) receive(u *wirepb.EdgeUpdate) {
	GinkgoHelper()
	Expect(h.handle(stateUpdated{u})).To(Succeed())
}

// ready returns the result of a readiness check.
func (h *engineHarness) ready() bool {
	GinkgoHelper()
	reply := ring.New[bool]("reply", 1, ring.DropNewest)
	Expect(h.handle(readyQuery{reply})).To(Succeed())
	answer, err := reply.Get()
	Expect(err).NotTo(HaveOccurred())
	return answer
}

var _ = Describe("state of an entry host", func() {
	// Guards against serving with a state that an acknowledged change has replaced.
	It("makes it ready once a majority has confirmed it, or after a wait without confirmation", func() {
		h := newEngineHarness()
		h.receive(&wirepb.EdgeUpdate{FirstPart: true, Endpoints: []*wirepb.EndpointReport{reportOf(1, 1, registry.Ready, false)}})
		Expect(h.ready()).To(BeFalse(), "there are no routes")
		h.receive(&wirepb.EdgeUpdate{LastPart: true, Table: routes(5), Version: 5})
		Expect(h.ready()).To(BeFalse(), "no majority has confirmed the routes")
		h.advance(unconfirmedStateWait)
		Expect(h.ready()).To(BeTrue())
		confirmed := newEngineHarness()
		confirmed.receive(&wirepb.EdgeUpdate{Table: routes(5), Version: 5, Contact: true, Endpoints: []*wirepb.EndpointReport{reportOf(1, 1, registry.Ready, false)}})
		Expect(confirmed.ready()).To(BeTrue())
		Expect(confirmed.handle(stopping{})).To(Succeed())
		Expect(confirmed.ready()).To(BeFalse())
	})

	// Guards against new flows to a draining endpoint after a switch to a control host that has not
	// received its latest report.
	It("keeps an endpoint draining when a control host sends an older report", func() {
		h := newEngineHarness()
		h.receive(&wirepb.EdgeUpdate{Table: routes(1), Version: 1, Endpoints: []*wirepb.EndpointReport{reportOf(1, 9, registry.Draining, false)}})
		h.receive(&wirepb.EdgeUpdate{Endpoints: []*wirepb.EndpointReport{reportOf(1, 8, registry.Ready, false)}})
		Expect(h.endpoints[1].State).To(Equal(registry.Draining))
	})

	// Guards against new flows to an endpoint that drains: a control host that has missed the beginning has its later
	// signs of life, and so a higher sequence number.
	It("keeps an endpoint draining when a control host sends it as ready with a later report", func() {
		h := newEngineHarness()
		h.receive(&wirepb.EdgeUpdate{Table: routes(1), Endpoints: []*wirepb.EndpointReport{reportOf(1, 5, registry.Draining, false)}})
		h.receive(&wirepb.EdgeUpdate{Endpoints: []*wirepb.EndpointReport{reportOf(1, 9, registry.Ready, false)}})
		Expect(h.endpoints[1].AcceptsFlows()).To(BeFalse())
		restarted := reportOf(1, 1, registry.Ready, false)
		restarted.BornMs++
		h.receive(&wirepb.EdgeUpdate{Endpoints: []*wirepb.EndpointReport{restarted}})
		Expect(h.endpoints[1].AcceptsFlows()).To(BeTrue())
	})

	// Guards against losing endpoints when a control host has just started and has few of them.
	It("loses only gone and silent endpoints when a control host does not send them", func() {
		h := newEngineHarness()
		h.receive(&wirepb.EdgeUpdate{Endpoints: []*wirepb.EndpointReport{
			reportOf(1, 1, registry.Ready, false), reportOf(2, 1, registry.Gone, false), reportOf(3, 1, registry.Ready, true),
		}})
		h.receive(&wirepb.EdgeUpdate{FirstPart: true})
		h.receive(&wirepb.EdgeUpdate{LastPart: true})
		Expect(h.endpoints).To(HaveLen(1))
		Expect(h.endpoints).To(HaveKey(uint64(1)))
	})

	// Guards against an entry host that loses its routes because of one invalid update.
	It("keeps the old routes when new ones cannot be decoded", func() {
		h := newEngineHarness()
		h.receive(&wirepb.EdgeUpdate{Table: routes(1), Version: 1})
		broken := routes(2)
		broken.Routes[0].Share = []uint32{7, 1}
		h.receive(&wirepb.EdgeUpdate{Table: broken, Version: 2})
		Expect(h.engine.Version()).To(BeEquivalentTo(1))
	})
})

var _ = Describe("invalid endpoints", func() {
	// Guards against an entry host that sends all new flows to an endpoint that cannot exist, or stops
	// following because of it.
	It("are left out, and the others of the update are used", func() {
		h := newEngineHarness()
		odd := reportOf(1, 1, registry.Ready, false)
		odd.Address = "0.0.0.0:0"
		h.receive(&wirepb.EdgeUpdate{Table: routes(1), Endpoints: []*wirepb.EndpointReport{odd, reportOf(2, 1, registry.Ready, false)}})
		Expect(h.engine.EndpointCount()).To(Equal(1))
	})
})
