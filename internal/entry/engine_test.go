package entry

import (
	"log/slog"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
	"cassiawood/internal/packet"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "entry")
}

var (
	fabric  = netip.MustParseAddrPort("127.0.0.1:6081")
	service = netip.MustParseAddrPort("10.20.0.1:443")
	backend = netip.MustParseAddrPort("10.30.0.1:8443")
	caller  = netip.MustParseAddrPort("10.99.0.1:40000")
)

// testEngine is an engine duty with events and time supplied by the test.
type testEngine struct {
	duty    *engineDuty
	now     time.Duration
	index   uint64
	control *ring.Ring[controlEvent]
}

func newTestEngine() *testEngine {
	r := &testEngine{now: time.Minute, control: ring.New[controlEvent]("control", 64, ring.Block)}
	self := &wirepb.Host{Name: "entry-a1", Domain: "a", Incarnation: 1}
	flowBalancer := newBalancer("entry-a1", 1)
	r.duty = &engineDuty{
		log: slog.New(slog.DiscardHandler), self: self, state: directory.New(), fabric: fabric,
		out: ring.New[*batch]("out", 8, ring.Block), control: r.control,
		peers:  ring.New[peerCommand]("peers", 64, ring.DropOldest),
		probes: ring.New[[]probeTarget]("probes", 1, ring.DropOldest), counters: newCounters(metrics.NewRegistry()),
		clock: func() time.Duration { return r.now }, peerContacts: map[string]peerContact{}, reportedFailed: map[string]bool{},
		balancer: flowBalancer,
		flow:     flow.New(flow.Config{Host: "entry-a1", Incarnation: 1, Domain: "a", Capacity: 1000, ChooseEndpoint: flowBalancer.choose}),
	}
	return r
}

// apply passes log entries with the given commands to the duty.
func (r *testEngine) apply(contact time.Duration, committed uint64, commands ...directory.Command) {
	GinkgoHelper()
	e := engineEntries{contactTime: contact, committedIndex: committed}
	for _, c := range commands {
		r.index++
		e.entries = append(e.entries, directory.Entry{Index: r.index, At: r.now, Command: c})
	}
	Expect(r.duty.handle(e)).To(Succeed())
}

// populateDirectory fills the directory with one service, one host and one backend server, and
// keeps contact with the leader until the host accepts new flows.
func (r *testEngine) populateDirectory() {
	GinkgoHelper()
	s := document.Service{Name: "order-desk", Address: service, Protocol: document.TCP, AnnouncedAs: "order-desk"}
	host := directory.Host{Name: "entry-a1", Incarnation: 1, Domain: "a", PacketAddr: fabric, PeerAddr: fabric}
	endpoint := directory.Endpoint{
		Instance: "i1", Service: "order-desk", Address: backend, Domain: "a", Slots: 2, State: directory.Ready,
	}
	r.apply(r.now, 7,
		directory.HostAdded{Host: host}, directory.HostActivated{Name: "entry-a1", Incarnation: 1},
		directory.ChangePrepared{ChangeID: "c1", Team: "shop", Section: "Orders", Services: []document.Service{s}},
		directory.ChangeDecided{ChangeID: "c1", Accepted: true},
		directory.EndpointAdded{Endpoint: endpoint}, directory.MovesCommitted{UpTo: 5}, nil)
	// A host that was fenced accepts no new flows until its peers know that it has recovered.
	for range 20 {
		r.now += time.Second
		r.apply(r.now, r.index)
	}
}

// sendPacket passes one TCP packet to the duty and returns the headers and target of the
// packet that the duty sends.
func (r *testEngine) sendPacket(from, to netip.AddrPort, tcp layers.TCP) (headers packet.Headers, target netip.AddrPort) {
	GinkgoHelper()
	ip := &layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolTCP, SrcIP: from.Addr().AsSlice(), DstIP: to.Addr().AsSlice(),
	}
	tcp.SrcPort, tcp.DstPort = layers.TCPPort(from.Port()), layers.TCPPort(to.Port())
	Expect(tcp.SetNetworkLayerForChecksum(ip)).To(Succeed())
	inner := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	Expect(gopacket.SerializeLayers(inner, options, ip, &tcp)).To(Succeed())
	datagram := append(packet.AppendGeneve(nil, 1, nil), inner.Bytes()...)
	b := newBatch()
	s := &b.slots[0]
	s.start, s.end = headroomBytes, headroomBytes+copy(s.buffer[headroomBytes:], datagram)
	b.count = 1
	Expect(r.duty.handle(enginePackets{batch: b})).To(Succeed())
	out, err := r.duty.out.Get()
	Expect(err).NotTo(HaveOccurred())
	if !out.slots[0].target.IsValid() {
		return headers, netip.AddrPort{}
	}
	var g packet.Geneve
	Expect(packet.DecodeGeneve(s.buffer[s.start:s.end], &g)).To(Succeed())
	Expect(packet.Parse(g.Inner, &headers)).To(Succeed())
	return headers, out.slots[0].target
}

var _ = Describe("engine duty", func() {
	var r *testEngine
	BeforeEach(func() { r = newTestEngine() })

	// Guards against a request that keeps the service's address on its way to a backend
	// server, and a response that shows the backend server's address to the caller.
	It("rewrites a caller's packet to the backend server and the response back", func() {
		r.populateDirectory()
		request, to := r.sendPacket(caller, service, layers.TCP{SYN: true, Seq: 7, Window: 1000})
		Expect(to).To(Equal(fabric))
		Expect(request.Src).To(Equal(caller))
		Expect(request.Dst).To(Equal(backend))
		response, to := r.sendPacket(backend, caller, layers.TCP{SYN: true, ACK: true, Ack: 8, Window: 1000})
		Expect(to).To(Equal(fabric))
		Expect(response.Src).To(Equal(service))
		Expect(response.Dst).To(Equal(caller))
	})

	// Guards against forwarding to a caller a response from a host that is not a backend server
	// (docs/design.md, section 1.1, P3).
	It("drops a response from an address that is not a backend server", func() {
		r.populateDirectory()
		r.sendPacket(caller, service, layers.TCP{SYN: true, Seq: 7})
		_, to := r.sendPacket(netip.MustParseAddrPort("10.66.0.1:8443"), caller, layers.TCP{ACK: true})
		Expect(to.IsValid()).To(BeFalse())
		Expect(r.duty.counters.reasons[flow.ReasonWrongEndpoint].Count()).To(BeEquivalentTo(1))
	})

	// Guards against malformed packets that are dropped without being counted.
	It("counts malformed packets by reason", func() {
		r.populateDirectory()
		b := newBatch()
		b.slots[0].start, b.slots[0].end, b.count = headroomBytes, headroomBytes+3, 1
		Expect(r.duty.handle(enginePackets{batch: b})).To(Succeed())
		Expect(r.duty.counters.malformed[packet.ErrTruncated].Count()).To(BeEquivalentTo(1))
		Expect(b.slots[0].target.IsValid()).To(BeFalse())
	})

	// Guards against skipping log entries after a control host has dropped a batch.
	It("reports a gap in the log", func() {
		r.populateDirectory()
		r.index++
		before := r.duty.state.Index()
		r.apply(r.now, r.index, directory.EndpointRemoved{Instance: "i1"})
		Expect(r.duty.state.Index()).To(Equal(before))
		var gapReported bool
		for r.control.Depth() > 0 {
			e, _ := r.control.Get()
			_, gap := e.(controlGap)
			gapReported = gapReported || gap
		}
		Expect(gapReported).To(BeTrue())
	})

	// Guards against a host that uses its table although the leader no longer waits for the host.
	DescribeTable("is fenced although it has contact with the leader", func(prepare func(*testEngine)) {
		r.populateDirectory()
		Expect(r.duty.flow.Fenced()).To(BeFalse())
		prepare(r)
		r.now += 3 * time.Second
		r.apply(r.now, r.duty.state.Index())
		Expect(r.duty.handle(engineTick{now: r.now})).To(Succeed())
		Expect(r.duty.flow.Fenced()).To(BeTrue())
	},
		Entry("the directory lists a later incarnation", func(r *testEngine) {
			r.apply(0, 0, directory.HostAdded{Host: directory.Host{Name: "entry-a1", Incarnation: 2, Domain: "a"}})
		}),
		Entry("the host has left", func(r *testEngine) {
			r.apply(0, 0, directory.HostRemoved{Name: "entry-a1", Incarnation: 1})
		}),
		Entry("the host is stopping", func(r *testEngine) { Expect(r.duty.handle(engineStop{})).To(Succeed()) }),
	)

	// Guards against a drained host that continues and joins again, and against stopping a
	// host that was removed only because it had lost contact.
	DescribeTable("stops only when an operator drains it", func(drain, stops bool) {
		r.populateDirectory()
		stopRequested := false
		r.duty.requestShutdown = func() { stopRequested = true }
		r.apply(r.now, r.index+1, directory.HostRemoved{Name: "entry-a1", Incarnation: 1, Drain: drain})
		Expect(stopRequested).To(Equal(stops))
		Expect(r.duty.flow.Stopping()).To(Equal(stops))
	},
		Entry("drained", true, true),
		Entry("removed after lost contact", false, false),
	)

	// Guards against control traffic that grows with the number of backend servers.
	It("reports to the leader only probe results that can change its state", func() {
		r.populateDirectory()
		reports := func(accepts bool) int {
			for r.control.Depth() > 0 {
				_, _ = r.control.Get()
			}
			Expect(r.duty.handle(engineProbe{instance: "i1", accepts: accepts})).To(Succeed())
			return r.control.Depth()
		}
		Expect(reports(true)).To(Equal(0))
		Expect(reports(false)).To(Equal(1))
		Expect(reports(true)).To(Equal(1), "the failures are no longer consecutive")
		Expect(reports(true)).To(Equal(0))
		other := directory.Endpoint{
			Instance: "i2", Service: "order-desk", Address: netip.MustParseAddrPort("10.30.0.2:8443"), Domain: "a",
			Slots: 2, State: directory.Ready,
		}
		third := other
		third.Instance, third.Address = "i3", netip.MustParseAddrPort("10.30.0.3:8443")
		r.apply(r.now, r.index+3, directory.EndpointAdded{Endpoint: other}, directory.EndpointAdded{Endpoint: third},
			directory.EndpointSuspected{Instance: "i1", Suspected: true})
		Expect(reports(true)).To(Equal(1), "a success can end the suspicion")
	})

	// Guards against a hand-off that is changed by encoding and decoding.
	It("preserves a hand-off", func() {
		r.populateDirectory()
		h := flow.Handoff{
			Present: true, HasRecord: true, Hops: 2, AskedCount: 1, Bucket: 9, Service: "order-desk", Ingress: "entry-a1",
			AskedAt: 5, PassedToSecond: 8, Record: flow.Record{State: flow.RecordSent, Endpoint: 1, Sequence: 7, Home: 3},
		}
		h.Asked[0] = 77
		option := toPacketHandoff(&h)
		var g packet.Geneve
		Expect(packet.DecodeGeneve(packet.AppendGeneve(nil, 0, &option), &g)).To(Succeed())
		var got flow.Handoff
		Expect(r.duty.decodeHandoff(g.Handoff, &got)).To(BeTrue())
		Expect(got).To(Equal(h))
	})
})
