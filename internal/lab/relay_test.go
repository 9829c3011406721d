package lab

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/packet"
)

// loadDatagrams returns 1024 Geneve packets with 1000 bytes of payload.
func loadDatagrams() [][]byte {
	var datagrams [][]byte
	inner := make([]byte, 1000)
	for range 1024 {
		datagrams = append(datagrams, append(packet.AppendGeneve(nil, vni, nil), inner...))
	}
	return datagrams
}

var _ = Describe("PacketLoad", func() {
	// Guards against a time per packet that includes lost packets.
	It("counts the datagrams that a relay returns and those that are lost", func() {
		relay, err := StartRelay(loopbackAnyPort, discardLog, failOnFatal)
		Expect(err).NotTo(HaveOccurred())
		load := PacketLoad{Listen: loopbackAnyPort, Target: relay.Addr(), Datagrams: loadDatagrams(), Count: 1000}
		result, err := load.Run(discardLog)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Returned + result.Lost).To(Equal(1000))
		Expect(result.PerPacket).To(BeNumerically(">", 0))
		Expect(relay.Stop(context.Background())).To(Succeed())

		load.Target, load.Count = netip.MustParseAddrPort("127.0.0.1:9"), 10
		result, err = load.Run(discardLog)
		Expect(err).NotTo(HaveOccurred())
		Expect(result).To(Equal(LoadResult{Lost: 10}))
	})
})

// BenchmarkRelay measures the time per packet of a relay, the baseline for the
// entry process in docs/design.md, section 1.6.
func BenchmarkRelay(b *testing.B) {
	relay, err := StartRelay(loopbackAnyPort, discardLog, func(err error) { b.Error(err) })
	if err != nil {
		b.Fatal(err)
	}
	load := PacketLoad{Listen: loopbackAnyPort, Target: relay.Addr(), Datagrams: loadDatagrams(), Count: b.N}
	b.ReportAllocs()
	b.ResetTimer()
	result, err := load.Run(discardLog)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(result.PerPacket)/float64(time.Nanosecond), "ns/packet")
	b.ReportMetric(float64(result.Lost), "lost")
	if err := relay.Stop(context.Background()); err != nil {
		b.Fatal(err)
	}
}
