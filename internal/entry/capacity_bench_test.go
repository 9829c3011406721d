package entry

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/ipv4"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/duty"
	"cassiawood/internal/flow"
	"cassiawood/internal/lab"
	"cassiawood/internal/packet"
	"cassiawood/internal/wire/wirepb"
)

var (
	capacityLoopback = netip.MustParseAddrPort("127.0.0.1:0")
	capacityService  = netip.MustParseAddrPort("10.20.0.1:443")
)

// capacityDatagrams returns one TCP segment with 960 bytes of payload for each of
// 1,024 flows to one service.
func capacityDatagrams() [][]byte {
	datagrams := make([][]byte, 1024)
	for i := range datagrams {
		inner := make([]byte, 1000)
		inner[0], inner[8], inner[9] = 0x45, 64, 6
		binary.BigEndian.PutUint16(inner[2:], uint16(len(inner)))
		copy(inner[12:], []byte{172, 16, byte(i >> 8), byte(i)})
		service := capacityService.Addr().As4()
		copy(inner[16:], service[:])
		binary.BigEndian.PutUint16(inner[20:], uint16(2000+i))
		binary.BigEndian.PutUint16(inner[22:], capacityService.Port())
		inner[32], inner[33] = 0x50, 0x10 // header of 20 bytes, ACK
		var sum uint32
		for n := 0; n < 20; n += 2 {
			sum += uint32(binary.BigEndian.Uint16(inner[n:]))
		}
		for sum > 0xffff {
			sum = sum>>16 + sum&0xffff
		}
		binary.BigEndian.PutUint16(inner[10:], ^uint16(sum))
		datagrams[i] = append(packet.AppendGeneve(nil, 0, nil), inner...)
	}
	return datagrams
}

// capacityDirectory returns a directory with the given number of services, 5 endpoints
// for each of them, and one entry host.
func capacityDirectory(services int) *directory.State {
	s := directory.New()
	apply := func(c directory.Command) {
		if out := s.Apply(directory.Entry{Index: s.Index() + 1, Command: c}); out.Reason != "" {
			panic(out.Reason)
		}
	}
	apply(directory.HostAdded{Host: directory.Host{Name: "h0", Incarnation: 1, Domain: "d0"}})
	apply(directory.HostActivated{Name: "h0", Incarnation: 1})
	for i := range services {
		name, address := fmt.Sprint("s", i), capacityService
		if i > 0 {
			address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 21, byte(i >> 8), byte(i)}), 443)
		}
		apply(directory.ChangePrepared{ChangeID: name, Team: "t", Section: name, Services: []document.Service{
			{Name: name, AnnouncedAs: name, Protocol: document.TCP, Address: address},
		}})
		apply(directory.ChangeDecided{ChangeID: name, Accepted: true})
		for n := range 5 {
			apply(directory.EndpointAdded{Endpoint: directory.Endpoint{
				Instance: fmt.Sprintf("s%d-%d", i, n), Service: name, Domain: "d0", State: directory.Ready, Slots: 2,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(30 + i>>8), byte(i), byte(n)}), 8080),
			}})
		}
		apply(directory.MovesCommitted{UpTo: s.Index()})
		apply(directory.MovesCommitted{UpTo: s.Index()})
	}
	return s
}

// startPacketPath starts the three duties of the packet path and returns their address.
func startPacketPath(b *testing.B, services int, fabric netip.AddrPort) netip.AddrPort {
	b.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(capacityLoopback))
	if err != nil {
		b.Fatal(err)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	registry, log := metrics.NewRegistry(), slog.New(slog.NewTextHandler(io.Discard, nil))
	r := newRings(registry)
	engine := &engineDuty{
		log: log, self: &wirepb.Host{Name: "h0", Incarnation: 1, Domain: "d0"}, state: capacityDirectory(services), fabric: fabric,
		out: r.out, control: r.control, peers: r.peers, probes: r.probes, counters: newCounters(registry), clock: clock,
		peerContacts: map[string]peerContact{}, flow: flow.New(flow.Config{Host: "h0", Incarnation: 1, Domain: "d0"}),
	}
	engine.flow.RenewLease(1000 * time.Hour)
	engine.updateTable(0)
	reader := &readerDuty{socket: conn, free: r.free, engine: r.engine}
	writer := &writerDuty{conn: ipv4.NewPacketConn(conn), free: r.free}
	group := duty.NewGroup(log, handlerLimit, func(err error) { b.Error(err) })
	group.Add(duty.Duty{Name: "fabric reader", Run: reader.run})
	group.Add(duty.FromRing("flow engine", r.engine, engine.handle))
	group.Add(duty.FromRing("fabric writer", r.out, writer.handle))
	group.Add(duty.Duty{Name: "closer", Run: func(ctx context.Context, _ *duty.Progress) error {
		<-ctx.Done()
		r.close()
		return nil
	}})
	group.Start()
	b.Cleanup(func() {
		if err := group.Stop(context.Background()); err != nil {
			b.Error(err)
		}
	})
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// BenchmarkCapacityPackets measures the time per packet of the packet path at three
// sizes of the directory and, for comparison, of the lab's plain UDP relay.
func BenchmarkCapacityPackets(b *testing.B) {
	free, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(capacityLoopback))
	if err != nil {
		b.Fatal(err)
	}
	fabric := free.LocalAddr().(*net.UDPAddr).AddrPort()
	if err := free.Close(); err != nil {
		b.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	run := func(b *testing.B, target netip.AddrPort) {
		load := lab.PacketLoad{Listen: fabric, Target: target, Datagrams: capacityDatagrams(), Count: b.N}
		b.ResetTimer()
		result, err := load.Run(log)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(result.PerPacket), "ns/packet")
		b.ReportMetric(float64(result.Lost), "lost")
	}
	b.Run("relay", func(b *testing.B) {
		relay, err := lab.StartRelay(capacityLoopback, log, func(err error) { b.Error(err) })
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = relay.Stop(context.Background()) })
		run(b, relay.Addr())
	})
	for _, services := range []int{20, 200, 2400} {
		b.Run(fmt.Sprintf("entry/endpoints=%d", 5*services), func(b *testing.B) { run(b, startPacketPath(b, services, fabric)) })
	}
}

// BenchmarkCapacityTableChanged measures the update of the flow table, names and peers
// after a change of the directory. No buckets are moving and there are no links.
func BenchmarkCapacityTableChanged(b *testing.B) {
	for _, size := range []struct{ services, hosts int }{{20, 10}, {200, 100}, {2400, 1200}} {
		state := capacityDirectory(size.services)
		for i := 1; i < size.hosts; i++ {
			host := directory.Host{Name: fmt.Sprint("h", i), Incarnation: 1, Domain: fmt.Sprint("d", i%18)}
			state.Apply(directory.Entry{Index: state.Index() + 1, Command: directory.HostAdded{Host: host}})
			state.Apply(directory.Entry{Index: state.Index() + 1, Command: directory.HostActivated{Name: host.Name, Incarnation: 1}})
		}
		registry := metrics.NewRegistry()
		r := newRings(registry)
		engine := &engineDuty{
			log: slog.New(slog.NewTextHandler(io.Discard, nil)), self: &wirepb.Host{Name: "h0", Incarnation: 1, Domain: "d0"},
			state: state, control: r.control, peers: r.peers, probes: r.probes, counters: newCounters(registry),
			peerContacts: map[string]peerContact{}, flow: flow.New(flow.Config{Host: "h0", Incarnation: 1, Domain: "d0"}),
		}
		b.Run(fmt.Sprintf("endpoints=%d", 5*size.services), func(b *testing.B) {
			for b.Loop() {
				engine.updateTable(time.Second)
				if _, err := r.peers.Get(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
