package wire_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

func TestDirectoryCodec(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "directory codec")
}

func address(last, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(last >> 8), byte(last)}), uint16(port))
}

// commands holds at least one command of each type, with its fields set.
var commands = []directory.Command{
	directory.ChangePrepared{
		ChangeID: "c1", Team: "red", Author: "ann", Section: "Desk", BaseVersion: 3, Text: "text",
		Services: []document.Service{{
			Name: "desk", Address: address(1, 80), Protocol: document.TCP, Priority: document.BalanceFirst, AnnouncedAs: "order-desk",
			SlotsPerBackend: 2, MaxWait: time.Second, AllowedSources: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")}, AnnounceTokenFingerprint: []byte{1},
		}},
	},
	directory.ChangeDecided{ChangeID: "c1", Accepted: true, Reason: "r"},
	directory.EndpointAdded{Endpoint: directory.Endpoint{
		ID: 4, Instance: "i", Service: "desk", Address: address(2, 81), Domain: "z", Slots: 2, State: directory.Ready,
		HealthURL: "http://h", LoadURL: "http://l", RemovedAt: 5,
	}},
	directory.EndpointStateChanged{Instance: "i", State: directory.Draining},
	directory.EndpointSuspected{Instance: "i", Suspected: true},
	directory.EndpointSuspected{Instance: "i"},
	directory.EndpointRemoved{Instance: "i"},
	directory.HostAdded{Host: directory.Host{Name: "h", Incarnation: 2, Domain: "z", PacketAddr: address(3, 6081), PeerAddr: netip.MustParseAddrPort("[::1]:7"), State: directory.HostActive}},
	directory.HostActivated{Name: "h", Incarnation: 2},
	directory.HostRemoved{Name: "h", Incarnation: 2},
	directory.DomainService{Domain: "z", Out: true, Author: "ann"},
	directory.MovesCommitted{UpTo: 9},
	directory.BucketsMoved{Service: "desk", From: 1, To: 2, Count: 3},
}

var _ = Describe("commands", func() {
	// Guards against a field that is lost in the encoding and does not reach other hosts.
	It("keep all fields when encoded and decoded", func() {
		for _, c := range commands {
			data, err := wire.EncodeCommand(c)
			Expect(err).NotTo(HaveOccurred())
			Expect(wire.DecodeCommand(data)).To(Equal(c))
		}
	})

	// Guards against hosts of different versions that apply different parts of a command.
	DescribeTable("are rejected when a part is unknown or invalid",
		func(pb *wirepb.Command, unknown []byte) {
			data, err := proto.Marshal(pb)
			Expect(err).NotTo(HaveOccurred())
			_, err = wire.DecodeCommand(append(data, unknown...))
			Expect(err).To(HaveOccurred())
		},
		Entry("no body", &wirepb.Command{}, nil),
		Entry("unknown body", &wirepb.Command{}, []byte{0xa2, 0x06, 0}),
		Entry("unknown field", &wirepb.Command{Body: &wirepb.Command_ChangeDecided{}}, []byte{0xa2, 0x06, 0}),
		Entry("unknown field of a nested message", &wirepb.Command{}, []byte{0x12, 3, 0xa2, 0x06, 0}),
		Entry("truncated", &wirepb.Command{}, []byte{0x12, 9, 0xa2}),
		Entry("unknown endpoint state", &wirepb.Command{Body: &wirepb.Command_EndpointStateChanged{EndpointStateChanged: &wirepb.EndpointStateChanged{State: 5}}}, nil),
		Entry("address without a port", &wirepb.Command{Body: &wirepb.Command_EndpointAdded{EndpointAdded: &wirepb.Endpoint{Address: "10.0.0.1"}}}, nil),
		Entry("unknown host state", &wirepb.Command{Body: &wirepb.Command_HostAdded{HostAdded: &wirepb.Host{State: 2}}}, nil),
	)

	// Guards against a committed entry that no host can decode.
	It("are not encoded when they cannot be decoded", func() {
		for _, c := range []directory.Command{
			nil,
			directory.EndpointAdded{Endpoint: directory.Endpoint{Address: netip.AddrPortFrom(netip.Addr{}, 80)}},
			directory.EndpointAdded{Endpoint: directory.Endpoint{Slots: 1 << 40}},
			directory.ChangeDecided{Reason: "\xff"},
		} {
			_, err := wire.EncodeCommand(c)
			Expect(err).To(HaveOccurred())
		}
	})
})

// drawCommand returns a random command for the log entry at position i, about three sections,
// nine addresses and four hosts. The first six entries put the sections in force.
func drawCommand(t *rapid.T, i int) directory.Command {
	if name := fmt.Sprintf("s%d", i/2); i < 6 && i%2 == 0 {
		services := []document.Service{{Name: name, Address: address(i, 80), Protocol: document.TCP}}
		return directory.ChangePrepared{ChangeID: name, Team: "t", Author: "a", Section: name, Services: services}
	} else if i < 6 {
		return directory.ChangeDecided{ChangeID: name, Accepted: true}
	}
	n := rapid.IntRange(1, 9).Draw(t, "n")
	name := fmt.Sprintf("s%d", n%3)
	zone := fmt.Sprintf("z%d", n%3)
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0:
		c := directory.ChangePrepared{ChangeID: fmt.Sprint(i), Team: "t", Author: "a", Section: name, BaseVersion: uint64(rapid.IntRange(0, 3).Draw(t, "base"))}
		if rapid.Bool().Draw(t, "keep") {
			c.Services = []document.Service{{Name: name, Address: address(rapid.IntRange(n%3*2, n%3*2+1).Draw(t, "addr"), 80), Protocol: document.TCP}}
		}
		return c
	case 1, 2:
		return directory.ChangeDecided{ChangeID: fmt.Sprint(i - n), Accepted: n > 2}
	case 3, 4:
		return directory.EndpointAdded{Endpoint: directory.Endpoint{Instance: fmt.Sprint("e", i), Service: name, Address: address(n, 8080), Domain: zone, State: directory.Ready}}
	case 5:
		return directory.EndpointStateChanged{Instance: fmt.Sprint("e", i-n), State: directory.Draining}
	case 6:
		return directory.EndpointSuspected{Instance: fmt.Sprint("e", i-n), Suspected: true}
	case 7:
		return directory.EndpointRemoved{Instance: fmt.Sprint("e", i-n)}
	case 8:
		return directory.HostAdded{Host: directory.Host{Name: fmt.Sprint("h", n%4), Incarnation: uint64(i), Domain: zone}}
	default:
		return directory.MovesCommitted{UpTo: uint64(max(0, i-n))}
	}
}

func encodeState(t *rapid.T, s *directory.State) []byte {
	data, err := wire.EncodeDirectoryState(s.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func restoreState(t interface{ Fatal(args ...any) }, data []byte) *directory.State {
	snap, err := wire.DecodeDirectoryState(data)
	s, err2 := directory.FromSnapshot(snap)
	if err != nil || err2 != nil {
		t.Fatal(err, err2)
	}
	return s
}

// TestSameLogGivesSameState guards against hosts with different tables: the same log must
// give the same outcomes and the same encoded state, whether or not a host was restored
// from a snapshot in between.
func TestSameLogGivesSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		uninterrupted, restored := directory.NewWithBuckets(32), directory.NewWithBuckets(32)
		var clock time.Duration
		for i := range rapid.IntRange(1, 80).Draw(t, "entries") {
			clock += time.Duration(rapid.IntRange(0, 8).Draw(t, "hours")) * time.Hour
			lag := time.Duration(rapid.IntRange(0, 12).Draw(t, "behind")) * time.Hour // the clock of a new leader may be behind
			entry := directory.Entry{Index: uint64(i + 1), At: max(0, clock-lag), Command: drawCommand(t, i)}
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				restored = restoreState(t, encodeState(t, restored))
			}
			if a, b := uninterrupted.Apply(entry), restored.Apply(entry); !reflect.DeepEqual(a, b) {
				t.Fatalf("outcomes %+v and %+v", a, b)
			}
			if !bytes.Equal(encodeState(t, uninterrupted), encodeState(t, restored)) {
				t.Fatalf("states differ after entry %d, %+v", entry.Index, entry.Command)
			}
		}
	})
}

// FuzzDecodeCommand guards against a corrupt log entry that crashes the process.
func FuzzDecodeCommand(f *testing.F) {
	for _, c := range commands {
		data, _ := wire.EncodeCommand(c)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := wire.DecodeCommand(data)
		if err != nil {
			return
		}
		s := directory.NewWithBuckets(16)
		s.Apply(directory.Entry{Index: 1, Command: c})
		if _, err := wire.EncodeCommand(c); err != nil { // EncodeCommand also decodes the result
			t.Fatalf("%+v was decoded and cannot be encoded: %v", c, err)
		}
	})
}

// FuzzDecodeState guards against a corrupt snapshot that crashes the process, either while
// it is restored or with a later log entry.
func FuzzDecodeState(f *testing.F) {
	s := directory.NewWithBuckets(16)
	for i, c := range append(commands[:3:3], directory.EndpointRemoved{Instance: "i"}, commands[7]) {
		data, _ := wire.EncodeDirectoryState(s.Snapshot())
		f.Add(data)
		s.Apply(directory.Entry{Index: uint64(i + 1), Command: c})
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		snap, err := wire.DecodeDirectoryState(data)
		if err != nil {
			return
		}
		s, err := directory.FromSnapshot(snap)
		if err != nil {
			return
		}
		for i, c := range commands {
			s.Apply(directory.Entry{Index: s.Index() + 1, At: time.Duration(i) * 5 * time.Hour, Command: c})
		}
	})
}

// BenchmarkState measures encoding and restoring a snapshot of 2,400 services with 5
// endpoints each.
func BenchmarkState(b *testing.B) {
	s := directory.New()
	apply := func(c directory.Command) { s.Apply(directory.Entry{Index: s.Index() + 1, Command: c}) }
	for i := range 2400 {
		name := fmt.Sprint("s", i)
		apply(directory.ChangePrepared{ChangeID: name, Team: "t", Section: name, Services: []document.Service{{Name: name, Address: address(i, 80), Protocol: document.TCP}}})
		apply(directory.ChangeDecided{ChangeID: name, Accepted: true})
		for n := range 5 {
			apply(directory.EndpointAdded{Endpoint: directory.Endpoint{Instance: fmt.Sprint(name, "-", n), Service: name, Address: address(i, 8080+n), Domain: "z", State: directory.Ready}})
		}
	}
	apply(directory.MovesCommitted{UpTo: s.Index()})
	apply(directory.MovesCommitted{UpTo: s.Index()})
	var data []byte
	b.Run("encode", func(b *testing.B) {
		for range b.N {
			data, _ = wire.EncodeDirectoryState(s.Snapshot())
		}
		b.ReportMetric(float64(len(data)), "B/snapshot")
	})
	b.Run("restore", func(b *testing.B) {
		for range b.N {
			restoreState(b, data)
		}
	})
}
