package flow_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
	"cassiawood/internal/wire/wirepb"
)

// benchLog returns a log with 7 hosts, 15 endpoints and the default number of buckets.
func benchLog(p document.Priority) *tableLog {
	l := &tableLog{head: directory.New()}
	l.document(0, 0, modelService(1, p))
	for i := range 7 {
		name := fmt.Sprint("h", i)
		l.apply(0, directory.HostAdded{Host: directory.Host{Name: name, Incarnation: 1, Domain: fmt.Sprint("d", i%3)}})
		l.apply(0, directory.HostActivated{Name: name, Incarnation: 1})
	}
	for place := range 15 {
		l.apply(0, directory.EndpointAdded{Endpoint: modelEndpoint(1, place, 1, 3)})
	}
	l.commit()
	return l
}

func benchEngine(l *tableLog, host string) *flow.Engine {
	h, _ := l.head.Host(host)
	e := flow.New(flow.Config{Host: host, Incarnation: h.Incarnation, Domain: h.Domain})
	e.RenewLease(1000 * time.Hour)
	s := directory.New()
	e.SetTable(0, flow.TableOf(s)) // so that the host starts before there are records
	for _, e := range l.entries {
		s.Apply(e)
	}
	e.SetTable(0, flow.TableOf(s))
	return e
}

var benchService = modelService(1, document.UnbrokenFirst).Address

func benchCaller(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{172, byte(i >> 24), byte(i >> 16), byte(i >> 8)}), uint16(1024+i&0xff))
}

func benchPacket(i int, flags uint8, payload int) flow.Packet {
	return flow.Packet{
		Protocol: flow.ProtocolTCP, Flags: flags, Caller: benchCaller(i), Service: benchService,
		Sequence: uint32(i), PayloadLen: payload,
	}
}

// beginFlows begins n flows and returns a data packet of each.
func beginFlows(e *flow.Engine, n int) []flow.Packet {
	packets := make([]flow.Packet, n)
	for i := range packets {
		syn := benchPacket(i, flow.SYN, 0)
		e.HandlePacket(time.Second, &syn)
		packets[i] = benchPacket(i, flow.ACK, 100)
	}
	return packets
}

func BenchmarkKnownFlow(b *testing.B) {
	for _, n := range []int{1000, 300_000} {
		b.Run(fmt.Sprint("held=", n), func(b *testing.B) {
			e := benchEngine(benchLog(document.UnbrokenFirst), "h0")
			beginFlows(e, n)
			p := benchPacket(0, flow.ACK, 100) // reused, as the packet reader reuses its batch
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				p.Caller = benchCaller(i)
				if v := e.HandlePacket(2*time.Second, &p); v.Action != flow.ForwardToBackend {
					b.Fatal(v)
				}
				if i++; i == n {
					i = 0
				}
			}
		})
	}
}

func BenchmarkKnownResponse(b *testing.B) {
	e := benchEngine(benchLog(document.UnbrokenFirst), "h0")
	packets := beginFlows(e, 1000)
	for i := range packets {
		v := e.HandlePacket(2*time.Second, &packets[i])
		packets[i].Direction, packets[i].Backend = flow.FromBackend, v.Address
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if v := e.HandlePacket(2*time.Second, &packets[i]); v.Action != flow.ForwardToCaller {
			b.Fatal(v)
		}
		i = (i + 1) % 1000
	}
}

// BenchmarkKnownRecord measures packets of flows whose records this host stores.
func BenchmarkKnownRecord(b *testing.B) {
	e := benchEngine(benchLog(document.BalanceFirst), "h0")
	var packets []flow.Packet
	for i := range 10_000 {
		syn := benchPacket(i, flow.SYN, 0)
		v := e.HandlePacket(time.Second, &syn)
		if v.Action == flow.HandOff && v.Handoff.HasRecord || v.Action == flow.ForwardToBackend {
			packets = append(packets, benchPacket(i, flow.ACK, 100))
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if v := e.HandlePacket(2*time.Second, &packets[i]); v.Action != flow.ForwardToBackend {
			b.Fatal(v)
		}
		i = (i + 1) % len(packets)
	}
}

func BenchmarkNewFlow(b *testing.B) {
	e := benchEngine(benchLog(document.UnbrokenFirst), "h0")
	syn := benchPacket(0, flow.SYN, 0)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		syn.Caller, syn.Sequence = benchCaller(i), uint32(i)
		e.HandlePacket(time.Duration(i)*200*time.Microsecond, &syn)
		if i++; i%500 == 0 { // a tick every 100 ms at 5,000 new flows per second
			e.Tick(time.Duration(i) * 200 * time.Microsecond)
		}
	}
}

// BenchmarkRecordBytes reports the encoded size of a record. Repair and handover transfer
// every record that a host holds.
func BenchmarkRecordBytes(b *testing.B) {
	caller, err := benchCaller(1).MarshalBinary()
	if err != nil {
		b.Fatal(err)
	}
	batch := &wirepb.RecordBatch{Id: 1 << 20, TableIndex: 1 << 20}
	for b.Loop() {
		batch.Records = batch.Records[:0]
		for i := range 256 {
			batch.Records = append(batch.Records, &wirepb.Record{
				Caller: caller, Service: caller, Protocol: 6, Endpoint: uint32(i), State: 2, Sequence: 1 << 30, Home: 1 << 30,
			})
		}
	}
	b.ReportMetric(float64(proto.Size(batch))/256, "B/record")
}

func BenchmarkTick(b *testing.B) {
	e := benchEngine(benchLog(document.UnbrokenFirst), "h0")
	beginFlows(e, 300_000)
	b.ReportAllocs()
	for b.Loop() {
		e.Tick(2 * time.Second)
	}
}

// BenchmarkMemory reports the bytes per flow in the flow table.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10_000, 100_000, 300_000} {
		b.Run(fmt.Sprint("held=", n), func(b *testing.B) {
			l := benchLog(document.UnbrokenFirst)
			for b.Loop() {
				var before, after runtime.MemStats
				e := benchEngine(l, "h0")
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range n {
					syn := benchPacket(i, flow.SYN, 0)
					e.HandlePacket(time.Duration(i)*200*time.Microsecond, &syn)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/flow")
				if held, _ := e.FlowCounts(); held != n {
					b.Fatal(held)
				}
				runtime.KeepAlive(e)
			}
		})
	}
}

// BenchmarkTableChange reports the time of a table change and the share of flows whose
// packets need a hand-off or a record after it.
func BenchmarkTableChange(b *testing.B) {
	for b.Loop() {
		l := benchLog(document.UnbrokenFirst)
		s := directory.New()
		for _, entry := range l.entries {
			s.Apply(entry)
		}
		e := flow.New(flow.Config{Host: "h0", Incarnation: 1, Domain: "d0"})
		e.RenewLease(1000 * time.Hour)
		e.SetTable(0, flow.TableOf(s))
		packets := beginFlows(e, 20_000)
		s.Apply(directory.Entry{Index: s.Index() + 1, Command: directory.EndpointAdded{Endpoint: modelEndpoint(1, 15, 1, 3)}})
		start := time.Now()
		e.SetTable(10*time.Second, flow.TableOf(s))
		b.ReportMetric(float64(time.Since(start).Microseconds()), "µs/SetTable")
		moved := 0
		for i := range packets {
			held, records := e.FlowCounts()
			v := e.HandlePacket(10*time.Second, &packets[i])
			_, now := e.FlowCounts()
			if v.Action == flow.HandOff || now > records {
				moved++
			}
			_ = held
		}
		b.ReportMetric(100*float64(moved)/float64(len(packets)), "%moved")
		b.ReportMetric(100.0/16, "%1/n")
	}
}
