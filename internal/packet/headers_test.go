package packet_test

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/packet"
)

// fixIPChecksum recomputes the header checksum after a test has changed the header.
func fixIPChecksum(p []byte) {
	p[10], p[11] = 0, 0
	var s uint32
	for i := 0; i < 20; i += 2 {
		s += uint32(binary.BigEndian.Uint16(p[i:]))
	}
	for s > 0xffff {
		s = s>>16 + s&0xffff
	}
	binary.BigEndian.PutUint16(p[10:], ^uint16(s))
}

var _ = Describe("Parse", func() {
	// Guards against fields that are decoded from wrong offsets.
	It("decodes TCP fields of a packet with options and padding", func() {
		p := tcpPacket(caller, service, layers.TCP{
			Seq: 7, Ack: 9, ACK: true, PSH: true, FIN: true,
			Options: []layers.TCPOption{{OptionType: layers.TCPOptionKindNop}},
		}, []byte("hello"))
		h := mustParse(append(p, 0, 0, 0))
		Expect(h.Src).To(Equal(caller))
		Expect(h.Dst).To(Equal(service))
		Expect(h.Flags).To(Equal(packet.ACK | packet.PSH | packet.FIN))
		Expect([]uint32{h.Seq, h.Ack, h.SegmentLen()}).To(Equal([]uint32{7, 9, 6}))
		Expect([]int{h.PayloadLen, h.TotalLen}).To(Equal([]int{5, len(p)}))
		Expect(h.IsNewFlow()).To(BeFalse())
	})

	// Guards against decoding UDP headers as TCP headers.
	It("decodes UDP fields", func() {
		h := mustParse(udpPacket(caller, service, []byte("hello")))
		Expect(h.Src).To(Equal(caller))
		Expect(h.Dst).To(Equal(service))
		Expect(h.PayloadLen).To(Equal(5))
	})

	// Guards against reading past the buffer and against accepting packets with contradictory fields.
	DescribeTable("rejects malformed packets with the reason",
		func(damage func(p []byte) []byte, want packet.Error) {
			p := damage(tcpPacket(caller, service, layers.TCP{SYN: true}, nil))
			var h packet.Headers
			Expect(packet.Parse(p, &h)).To(Equal(want))
			Expect(want.Error()).NotTo(BeEmpty())
		},
		Entry("empty", func([]byte) []byte { return nil }, packet.ErrTruncated),
		Entry("truncated", func(p []byte) []byte { return p[:39] }, packet.ErrTruncated),
		Entry("IPv6", func(p []byte) []byte { p[0] = 0x65; return p }, packet.ErrIPVersion),
		Entry("short header", func(p []byte) []byte { p[0] = 0x44; return p }, packet.ErrIPHeader),
		Entry("long header", func(p []byte) []byte { p[0] = 0x4f; return p }, packet.ErrIPHeader),
		Entry("corrupt header", func(p []byte) []byte { p[16] ^= 1; return p }, packet.ErrIPChecksum),
		Entry("first fragment", func(p []byte) []byte { p[6] = 0x20; fixIPChecksum(p); return p }, packet.ErrFragment),
		Entry("last fragment", func(p []byte) []byte { p[7] = 1; fixIPChecksum(p); return p }, packet.ErrFragment),
		Entry("ICMP", func(p []byte) []byte { p[9] = 1; fixIPChecksum(p); return p }, packet.ErrProtocol),
		Entry("short TCP", func(p []byte) []byte { p[3] = 39; fixIPChecksum(p); return p }, packet.ErrTruncated),
		Entry("small data offset", func(p []byte) []byte { p[32] = 0x40; return p }, packet.ErrTCPHeader),
		Entry("large data offset", func(p []byte) []byte { p[32] = 0x60; return p }, packet.ErrTCPHeader),
		Entry("SYN and FIN", func(p []byte) []byte { p[33] |= 1; return p }, packet.ErrTCPFlags),
		Entry("SYN and RST", func(p []byte) []byte { p[33] |= 4; return p }, packet.ErrTCPFlags),
		Entry("UDP length", func(p []byte) []byte { p[9] = 17; p[25] = 200; fixIPChecksum(p); return p }, packet.ErrUDPLength),
	)
})

var _ = Describe("rewriting", func() {
	// Guards against a wrong checksum, which makes the receiver discard every packet of the flow.
	It("gives the same bytes as recomputing all checksums", func() {
		random := rand.New(rand.NewPCG(1, 2))
		for range 20000 {
			src, dst, to, payload := randomAddr(random), randomAddr(random), randomAddr(random), randomPayload(random)
			tcp := layers.TCP{Seq: random.Uint32(), Ack: random.Uint32(), ACK: true}

			p := tcpPacket(src, dst, tcp, payload)
			h := mustParse(p)
			Expect(packet.RewriteDst(p, &h, to)).To(Succeed())
			Expect(p).To(Equal(tcpPacket(src, to, tcp, payload)))
			Expect(packet.RewriteSrc(p, &h, dst)).To(Succeed())
			Expect(p).To(Equal(tcpPacket(dst, to, tcp, payload)))
			Expect(mustParse(p)).To(Equal(h))

			p = udpPacket(src, dst, payload)
			h = mustParse(p)
			Expect(packet.RewriteDst(p, &h, to)).To(Succeed())
			Expect(p).To(Equal(udpPacket(src, to, payload)))
		}
	})

	// Guards against turning an absent checksum into a wrong one.
	It("leaves an absent UDP checksum absent", func() {
		p := udpPacket(caller, service, []byte("x"))
		p[26], p[27] = 0, 0
		h := mustParse(p)
		Expect(packet.RewriteDst(p, &h, backend)).To(Succeed())
		Expect(p[26:28]).To(Equal([]byte{0, 0}))
	})

	// Guards against writing outside a buffer that is not the parsed packet.
	It("rejects a buffer that does not match the parsed headers", func() {
		p := udpPacket(caller, service, nil)
		h := mustParse(p)
		Expect(packet.RewriteDst(p[:10], &h, backend)).To(Equal(packet.ErrTruncated))
		Expect(packet.RewriteDst(p, &packet.Headers{}, backend)).To(Equal(packet.ErrTruncated))
	})
})

var _ = Describe("AppendReset", func() {
	reset := func(tcp layers.TCP, payload string) (packet.Headers, []byte) {
		GinkgoHelper()
		h := mustParse(tcpPacket(caller, service, tcp, []byte(payload)))
		p, ok := packet.AppendReset(nil, &h)
		Expect(ok).To(BeTrue())
		return mustParse(p), p
	}

	// Guards against a reset that the caller ignores because of an unexpected sequence number.
	It("takes its sequence number from the acknowledgment", func() {
		h, p := reset(layers.TCP{ACK: true, Seq: 100, Ack: 2000}, "abc")
		Expect(p).To(HaveLen(40))
		want := tcpPacket(service, caller, layers.TCP{RST: true, Seq: 2000}, nil)
		Expect(p[20:]).To(Equal(want[20:]), "TCP header and checksum")
		Expect(h.Dst).To(Equal(caller))
	})

	// Guards against a caller that waits for the timeout of its SYN because the reset acknowledges nothing.
	It("acknowledges a segment that has no acknowledgment", func() {
		h, _ := reset(layers.TCP{SYN: true, Seq: 0xffffffff}, "ab")
		Expect(h.Flags).To(Equal(packet.RST | packet.ACK))
		Expect([]uint32{h.Seq, h.Ack}).To(Equal([]uint32{0, 2}))
	})

	// Guards against two hosts that answer each other's resets endlessly.
	It("does not answer a reset or UDP", func() {
		h := mustParse(tcpPacket(caller, service, layers.TCP{RST: true}, nil))
		_, ok := packet.AppendReset(nil, &h)
		Expect(ok).To(BeFalse())
		h = mustParse(udpPacket(caller, service, nil))
		_, ok = packet.AppendReset(nil, &h)
		Expect(ok).To(BeFalse())
	})
})
