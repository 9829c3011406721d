package lab

import (
	"net/netip"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// udpInner builds an inner packet between two addresses.
func udpInner(src, dst netip.AddrPort) []byte {
	GinkgoHelper()
	ip := layers.IPv4{
		Version: 4, TTL: 64, Protocol: layers.IPProtocolUDP,
		SrcIP: src.Addr().AsSlice(), DstIP: dst.Addr().AsSlice(),
	}
	udp := layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(dst.Port())}
	Expect(udp.SetNetworkLayerForChecksum(&ip)).To(Succeed())
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	Expect(gopacket.SerializeLayers(buffer, options, &ip, &udp)).To(Succeed())
	return buffer.Bytes()
}

var _ = Describe("network", func() {
	var (
		caller  = netip.MustParseAddrPort("10.1.0.1:4000")
		backend = netip.MustParseAddrPort("10.7.0.1:8080")
		hosts   = []EntryHost{
			{Name: "e1", Domain: "a", Addr: netip.MustParseAddrPort("127.0.1.1:6081")},
			{Name: "e2", Domain: "b", Addr: netip.MustParseAddrPort("127.0.1.2:6081")},
		}
		between = Link{Delay: 3 * time.Millisecond, Jitter: time.Millisecond, Loss: 0.1, Duplicate: 0.1, Reorder: 0.1}
	)
	// sprayed returns the deliveries of 2000 packets that a caller sends every 100 µs.
	sprayed := func(seed uint64, link Link) ([]delivery, FabricStats) {
		n := newNetwork(seed, hosts, Link{}, link)
		a := &attachment{domain: "callers", addresses: []netip.Addr{caller.Addr()}}
		n.attach(a)
		for i := range 2000 {
			n.routeFromStack(a, []byte{byte(i)}, time.Duration(i)*100*time.Microsecond)
		}
		var all []delivery
		for d, ok := n.popDue(time.Hour); ok; d, ok = n.popDue(time.Hour) {
			all = append(all, d)
		}
		return all, n.stats
	}

	// Guards against a failure that cannot be reproduced from its seed.
	It("makes the same deliveries for the same seed", func() {
		first, stats := sprayed(1, between)
		again, statsAgain := sprayed(1, between)
		Expect(again).To(Equal(first))
		Expect(statsAgain).To(Equal(stats))
		other, _ := sprayed(2, between)
		Expect(other).NotTo(Equal(first))
	})

	// Guards against a fabric that applies fewer faults than the settings say.
	It("sprays evenly and loses, duplicates and reorders the given shares", func() {
		all, stats := sprayed(1, between)
		Expect(len(all)).To(BeEquivalentTo(2000 - stats.Lost + stats.Duplicated))
		Expect([]uint64{stats.Lost, stats.Duplicated, stats.Reordered}).To(HaveEach(And(BeNumerically(">", 140), BeNumerically("<", 260))))
		toFirst := 0
		for _, d := range all {
			if d.toEntry == hosts[0].Addr {
				toFirst++
			}
		}
		Expect(toFirst).To(BeNumerically("~", 1000, 150))
	})

	// Guards against jitter that reorders the packets of one link although no
	// reordering is configured.
	It("keeps the order within a link without reordering", func() {
		all, _ := sprayed(1, Link{Delay: time.Millisecond, Jitter: 5 * time.Millisecond})
		last := map[netip.AddrPort]uint64{}
		for _, d := range all {
			Expect(d.order).To(BeNumerically(">", last[d.toEntry]))
			last[d.toEntry] = d.order
		}
	})

	// Guards against hand-offs between entry hosts that get through a partition.
	It("applies the faults of links to packets between entry hosts", func() {
		n := newNetwork(1, hosts, Link{}, Link{})
		n.routeBetweenEntries(hosts[0].Addr, hosts[1].Addr, []byte("hand-off"), 0)
		d, ok := n.popDue(0)
		Expect(ok).To(BeTrue())
		Expect(d.toEntry).To(Equal(hosts[1].Addr))
		Expect(d.raw).To(BeTrue())
		Expect(CutLink{A: "a", B: "b", Cut: true}.apply(n)).To(Succeed())
		n.routeBetweenEntries(hosts[0].Addr, hosts[1].Addr, []byte("hand-off"), 0)
		n.routeBetweenEntries(caller, hosts[1].Addr, []byte("hand-off"), 0)
		_, ok = n.popDue(0)
		Expect(ok).To(BeFalse())
		Expect([]uint64{n.stats.CutOff, n.stats.UnknownSource}).To(HaveEach(BeEquivalentTo(1)))
	})

	// Guards against a fault that affects other links or flows, or that remains after
	// it has been removed.
	It("cuts, silences and detaches only the given links, flows and stacks", func() {
		n := newNetwork(1, hosts, Link{}, Link{})
		server := &attachment{domain: "b", addresses: []netip.Addr{backend.Addr()}}
		n.attach(server)
		delivered := func(source int, src netip.AddrPort) int {
			n.routeFromEntry(hosts[source].Addr, udpInner(src, backend), 0)
			count := 0
			for _, ok := n.popDue(0); ok; _, ok = n.popDue(0) {
				count++
			}
			return count
		}
		other := netip.AddrPortFrom(caller.Addr(), 4001)
		Expect(CutLink{A: "a", B: "b", Cut: true}.apply(n)).To(Succeed())
		Expect([]int{delivered(0, caller), delivered(1, caller)}).To(Equal([]int{0, 1}))
		Expect(CutLink{A: "b", B: "a"}.apply(n)).To(Succeed())
		Expect(SilenceFlow{Backend: backend, Caller: caller, Silent: true}.apply(n)).To(Succeed())
		Expect([]int{delivered(0, caller), delivered(0, other)}).To(Equal([]int{0, 1}))
		Expect(SilenceFlow{Backend: backend, Caller: caller}.apply(n)).To(Succeed())
		Expect(delivered(0, caller)).To(Equal(1))
		n.detach(server)
		Expect(delivered(0, caller)).To(BeZero())
		n.routeFromEntry(caller, udpInner(caller, backend), 0)
		Expect([]uint64{n.stats.CutOff, n.stats.Silenced, n.stats.UnknownDestination, n.stats.UnknownSource}).To(HaveEach(BeEquivalentTo(1)))
	})
})
