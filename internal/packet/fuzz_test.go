package packet_test

import (
	"bytes"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"cassiawood/internal/document"
	"cassiawood/internal/packet"
)

// FuzzParse guards against a packet that makes the entry process panic or that
// rewriting corrupts: rewriting and restoring the destination must restore every byte.
func FuzzParse(f *testing.F) {
	f.Add(tcpPacket(caller, service, layers.TCP{SYN: true}, []byte("data")))
	f.Add(udpPacket(caller, service, []byte("data")))
	f.Fuzz(func(t *testing.T, p []byte) {
		var h packet.Headers
		if packet.Parse(p, &h) != nil {
			return
		}
		before, to := bytes.Clone(p), h.Dst
		if err := packet.RewriteDst(p, &h, backend); err != nil {
			t.Fatal(err)
		}
		var again packet.Headers
		if err := packet.Parse(p, &again); err != nil || again != h {
			t.Fatalf("after the rewrite: error %v, got %+v, want %+v", err, again, h)
		}
		if err := packet.RewriteDst(p, &h, to); err != nil {
			t.Fatal(err)
		}
		// 0x0000 and 0xffff are the same checksum in one's complement arithmetic, and a
		// sender may use either; rewriting turns 0xffff into 0x0000.
		transport := int(p[0]&0x0f) * 4
		canonicalizeChecksum(before[10:12])
		canonicalizeChecksum(p[10:12])
		if h.Protocol == document.TCP {
			canonicalizeChecksum(before[transport+16:])
			canonicalizeChecksum(p[transport+16:])
		}
		if !bytes.Equal(before, p) {
			t.Fatalf("not restored after two rewrites:\nbefore %x\nafter  %x", before, p)
		}
		packet.AppendReset(nil, &h)
	})
}

// canonicalizeChecksum replaces the checksum 0xffff by the equivalent 0x0000.
func canonicalizeChecksum(checksum []byte) {
	if checksum[0] == 0xff && checksum[1] == 0xff {
		checksum[0], checksum[1] = 0, 0
	}
}

// FuzzDecodeGeneve guards against panics and against accepting packets that gopacket
// rejects or decodes differently.
func FuzzDecodeGeneve(f *testing.F) {
	f.Add(packet.AppendGeneve(nil, 1, nil))
	f.Add(packet.AppendGeneve(nil, 1, &packet.Handoff{AskedCount: 1}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var g packet.Geneve
		// gopacket stores the header length in a uint8, so it misreads headers over 255 bytes.
		if packet.DecodeGeneve(b, &g) != nil || len(b)-len(g.Inner) > 255 {
			return
		}
		var reference layers.Geneve
		if err := reference.DecodeFromBytes(b, gopacket.NilDecodeFeedback); err != nil {
			t.Fatalf("gopacket rejects the packet: %v", err)
		}
		if g.VNI != reference.VNI || !bytes.Equal(g.Inner, reference.Payload) {
			t.Fatalf("got %+v, gopacket decodes %+v", g, reference)
		}
	})
}

// FuzzDecodeHandoff guards against panics and against a hand-off that changes when it
// is decoded and encoded again.
func FuzzDecodeHandoff(f *testing.F) {
	for _, h := range []packet.Handoff{{AskedCount: 1}, {HasRecord: true}} {
		f.Add(packet.AppendGeneve(nil, 0, &h)[packet.HeaderLen+4:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var h, again packet.Handoff
		if packet.DecodeHandoff(b, &h) != nil {
			return
		}
		var g packet.Geneve
		if err := packet.DecodeGeneve(packet.AppendGeneve(nil, 0, &h), &g); err != nil {
			t.Fatal(err)
		}
		if err := packet.DecodeHandoff(g.Handoff, &again); err != nil || again != h {
			t.Fatalf("error %v, got %+v, want %+v", err, again, h)
		}
	})
}
