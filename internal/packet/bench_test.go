package packet_test

import (
	"testing"

	"github.com/gopacket/gopacket/layers"

	"cassiawood/internal/packet"
)

func BenchmarkParse(b *testing.B) {
	p := tcpPacket(caller, service, layers.TCP{ACK: true}, make([]byte, 1000))
	b.ReportAllocs()
	var h packet.Headers
	for b.Loop() {
		if err := packet.Parse(p, &h); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRewriteDst(b *testing.B) {
	p := tcpPacket(caller, service, layers.TCP{ACK: true}, make([]byte, 1000))
	var h packet.Headers
	if err := packet.Parse(p, &h); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := packet.RewriteDst(p, &h, backend); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkGeneveHandoff(b *testing.B) {
	handoff := packet.Handoff{HasRecord: true, AskedCount: 2, Ingress: packet.NameHash("entry-1")}
	buffer := make([]byte, 0, packet.MaxHeaderLen)
	var g packet.Geneve
	var decoded packet.Handoff
	b.ReportAllocs()
	for b.Loop() {
		buffer = packet.AppendGeneve(buffer[:0], 1, &handoff)
		if err := packet.DecodeGeneve(buffer, &g); err != nil {
			b.Fatal(err)
		}
		if err := packet.DecodeHandoff(g.Handoff, &decoded); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppendReset(b *testing.B) {
	var h packet.Headers
	if err := packet.Parse(tcpPacket(caller, service, layers.TCP{ACK: true}, nil), &h); err != nil {
		b.Fatal(err)
	}
	buffer := make([]byte, 0, 64)
	b.ReportAllocs()
	for b.Loop() {
		buffer, _ = packet.AppendReset(buffer[:0], &h)
	}
}
