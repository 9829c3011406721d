package packet_test

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/packet"
)

func TestPacket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "packet")
}

var (
	caller  = netip.MustParseAddrPort("10.1.2.3:40000")
	service = netip.MustParseAddrPort("10.9.0.1:80")
	backend = netip.MustParseAddrPort("10.7.255.254:8080")
)

// serialize builds a packet with gopacket, which computes all lengths and checksums.
func serialize(parts ...gopacket.SerializableLayer) []byte {
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(buffer, options, parts...); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}

func ipv4(src, dst netip.AddrPort, protocol layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, TTL: 64, Protocol: protocol,
		SrcIP: net.IP(src.Addr().AsSlice()), DstIP: net.IP(dst.Addr().AsSlice()),
	}
}

func tcpPacket(src, dst netip.AddrPort, tcp layers.TCP, payload []byte) []byte {
	ip := ipv4(src, dst, layers.IPProtocolTCP)
	tcp.SrcPort, tcp.DstPort = layers.TCPPort(src.Port()), layers.TCPPort(dst.Port())
	if err := tcp.SetNetworkLayerForChecksum(ip); err != nil {
		panic(err)
	}
	return serialize(ip, &tcp, gopacket.Payload(payload))
}

func udpPacket(src, dst netip.AddrPort, payload []byte) []byte {
	ip := ipv4(src, dst, layers.IPProtocolUDP)
	udp := layers.UDP{SrcPort: layers.UDPPort(src.Port()), DstPort: layers.UDPPort(dst.Port())}
	if err := udp.SetNetworkLayerForChecksum(ip); err != nil {
		panic(err)
	}
	return serialize(ip, &udp, gopacket.Payload(payload))
}

func randomAddr(random *rand.Rand) netip.AddrPort {
	var b [4]byte
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(random.Uint32()))
}

func randomPayload(random *rand.Rand) []byte {
	b := make([]byte, random.IntN(64))
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

func mustParse(p []byte) packet.Headers {
	GinkgoHelper()
	var h packet.Headers
	Expect(packet.Parse(p, &h)).To(Succeed())
	return h
}
