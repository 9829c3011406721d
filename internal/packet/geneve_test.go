package packet_test

import (
	"math/rand/v2"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/packet"
)

func randomHandoff(random *rand.Rand) packet.Handoff {
	h := packet.Handoff{
		Hops: uint8(random.Uint32()), AskedCount: uint8(random.IntN(packet.MaxAskedDomains + 1)), Bucket: random.Uint32(),
		Service: random.Uint64(), Ingress: random.Uint64(), AskedAt: time.Duration(random.Uint64()),
		PassedToSecond: random.Uint32(),
	}
	for i := range h.AskedCount {
		h.Asked[i] = random.Uint32()
	}
	if random.IntN(2) == 0 {
		h.HasRecord = true
		h.Record = packet.Record{
			Endpoint: directory.EndpointID(random.Uint32()), State: uint8(random.Uint32()),
			InitialSequence: random.Uint32(), Home: random.Uint32(),
		}
	}
	return h
}

var _ = Describe("Geneve", func() {
	inner := tcpPacket(caller, service, layers.TCP{SYN: true}, nil)

	// Guards against headers that other implementations of RFC 8926 decode differently.
	It("encodes hand-offs of every size as gopacket does", func() {
		random := rand.New(rand.NewPCG(3, 4))
		for range 2000 {
			handoff := randomHandoff(random)
			vni := random.Uint32() & 0xffffff
			encoded := append(packet.AppendGeneve(nil, vni, &handoff), inner...)
			Expect(len(encoded) - len(inner)).To(BeNumerically("<=", packet.MaxHeaderLen))

			var reference layers.Geneve
			Expect(reference.DecodeFromBytes(encoded, gopacket.NilDecodeFeedback)).To(Succeed())
			Expect(reference.VNI).To(Equal(vni))
			Expect(reference.Protocol).To(Equal(layers.EthernetTypeIPv4))
			Expect(reference.CriticalOption).To(BeTrue())
			Expect(reference.Options).To(HaveLen(1))
			Expect(reference.Options[0].Class).To(BeEquivalentTo(packet.HandoffClass))
			Expect(reference.Payload).To(Equal(inner))

			var g packet.Geneve
			Expect(packet.DecodeGeneve(serialize(&reference, gopacket.Payload(inner)), &g)).To(Succeed())
			Expect(g.VNI).To(Equal(vni))
			Expect(g.Inner).To(Equal(inner))
			Expect(g.Handoff).To(Equal(reference.Options[0].Data))
			var decoded packet.Handoff
			Expect(packet.DecodeHandoff(g.Handoff, &decoded)).To(Succeed())
			Expect(decoded).To(Equal(handoff))
		}
	})

	It("has no option without a hand-off", func() {
		encoded := packet.AppendGeneve(nil, 5, nil)
		Expect(encoded).To(HaveLen(packet.HeaderLen))
		var g packet.Geneve
		Expect(packet.DecodeGeneve(append(encoded, inner...), &g)).To(Succeed())
		Expect(g.Handoff).To(BeNil())
		Expect(g.Inner).To(Equal(inner))
	})

	withOption := func(option layers.GeneveOption) []byte {
		g := layers.Geneve{Protocol: layers.EthernetTypeIPv4, Options: []*layers.GeneveOption{&option}}
		return serialize(&g, gopacket.Payload(inner))
	}

	It("skips an unknown option", func() {
		var g packet.Geneve
		Expect(packet.DecodeGeneve(withOption(layers.GeneveOption{Class: 1, Type: 2, Data: make([]byte, 8)}), &g)).To(Succeed())
		Expect(g.Inner).To(Equal(inner))
	})

	// Guards against ignoring a critical option and against reading past the options.
	DescribeTable("rejects malformed headers with the reason",
		func(damage func(b []byte) []byte, want packet.Error) {
			b := damage(withOption(layers.GeneveOption{Class: 1, Type: 2, Data: make([]byte, 4)}))
			Expect(packet.DecodeGeneve(b, &packet.Geneve{})).To(Equal(want))
		},
		Entry("shorter than the header", func(b []byte) []byte { return b[:7] }, packet.ErrTruncated),
		Entry("options truncated", func(b []byte) []byte { return b[:15] }, packet.ErrTruncated),
		Entry("version 1", func(b []byte) []byte { b[0] |= 0x40; return b }, packet.ErrGeneveVersion),
		Entry("control packet", func(b []byte) []byte { b[1] = 0x80; return b }, packet.ErrControlPacket),
		Entry("Ethernet payload", func(b []byte) []byte { b[2] = 0x65; return b }, packet.ErrGeneveType),
		Entry("option too long", func(b []byte) []byte { b[11] = 2; return b }, packet.ErrGeneveOption),
		Entry("critical option", func(b []byte) []byte { b[10] |= 0x80; return b }, packet.ErrCriticalOption),
	)

	// Guards against accepting a hand-off without the record that its receiver must store before it forwards the packet.
	DescribeTable("rejects malformed hand-offs",
		func(damage func(b []byte) []byte) {
			handoff := packet.Handoff{HasRecord: true, AskedCount: 1, Record: packet.Record{State: 1}}
			b := damage(packet.AppendGeneve(nil, 0, &handoff)[packet.HeaderLen+4:])
			Expect(packet.DecodeHandoff(b, &packet.Handoff{})).To(Equal(packet.ErrHandoffOption))
		},
		Entry("shorter than the fixed fields", func(b []byte) []byte { return b[:35] }),
		Entry("record truncated", func(b []byte) []byte { return b[:44] }),
		Entry("record missing", func(b []byte) []byte { return b[:40] }),
		Entry("unexpected record", func(b []byte) []byte { b[2] = 0; return b }),
		Entry("record state without a record", func(b []byte) []byte { b[2] = 0; return b[:40] }),
		Entry("unknown flag", func(b []byte) []byte { b[2] |= 2; return b }),
		Entry("fewer domains than counted", func(b []byte) []byte { b[1] = 2; return b }),
		Entry("too many domains", func(b []byte) []byte { b[1] = 9; return append(b, make([]byte, 32)...) }),
	)
})
