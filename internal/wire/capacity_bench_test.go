package wire_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// capacityIndex and capacityTimeNs are as long in encoded form as values in production.
const (
	capacityIndex  = 20_000_000
	capacityTimeNs = int64(1_800_000_000_000_000_000)
)

// capacityCommand encodes a command for a log entry.
func capacityCommand(b *testing.B, c directory.Command) []byte {
	b.Helper()
	data, err := wire.EncodeCommand(c)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func capacityEndpoint(i int) directory.Endpoint {
	url := fmt.Sprintf("http://10.1.%d.%d:8081/health", i>>8&0xff, i&0xff)
	return directory.Endpoint{
		Instance: fmt.Sprintf("order-desk-%06d", i), Service: "order-desk", Domain: "region-1-zone-1", State: directory.Ready, Slots: 2,
		Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080),
		HealthURL: url, LoadURL: url,
	}
}

// capacityMessages returns a sample of each kind of control message, by name.
func capacityMessages(b *testing.B) map[string]*wirepb.Envelope {
	b.Helper()
	batch := func(commands ...directory.Command) *wirepb.Envelope {
		body := &wirepb.EntryBatch{Committed: capacityIndex, LeaderContact: true, EchoNs: capacityTimeNs}
		for _, c := range commands {
			body.Entries = append(body.Entries, &wirepb.Entry{
				Index: capacityIndex, Term: 40, AtNs: capacityTimeNs, Command: capacityCommand(b, c),
			})
		}
		return &wirepb.Envelope{Body: &wirepb.Envelope_EntryBatch{EntryBatch: body}}
	}
	host := directory.Host{
		Name: "region-1-zone-1-0001", Incarnation: uint64(capacityTimeNs), Domain: "region-1-zone-1",
		PacketAddr: netip.MustParseAddrPort("10.200.100.100:6081"), PeerAddr: netip.MustParseAddrPort("10.200.100.100:7000"),
	}
	e := capacityEndpoint(7)
	service := document.Service{Name: "order-desk", Address: netip.MustParseAddrPort("10.20.0.1:443"), Protocol: document.TCP}
	return map[string]*wirepb.Envelope{
		"applied": {Body: &wirepb.Envelope_Applied{Applied: &wirepb.Applied{
			Index: capacityIndex, Host: host.Name, Incarnation: host.Incarnation, SentNs: capacityTimeNs,
		}}},
		"batch-empty":    batch(),
		"batch-endpoint": batch(directory.EndpointAdded{Endpoint: e}),
		"batch-replace": batch(directory.EndpointStateChanged{Instance: e.Instance, State: directory.Draining},
			directory.MovesCommitted{UpTo: capacityIndex}, directory.EndpointAdded{Endpoint: e}, directory.MovesCommitted{UpTo: capacityIndex}),
		"batch-host-restart": batch(directory.HostRemoved{Name: host.Name, Incarnation: host.Incarnation},
			directory.HostAdded{Host: host}, directory.HostActivated{Name: host.Name, Incarnation: host.Incarnation}),
		"batch-change": batch(directory.ChangePrepared{
			ChangeID: "0123456789abcdef0123456789abcdef", Team: "shop", Author: "operator", Section: "order-desk", BaseVersion: 7,
			Text: string(make([]byte, 400)), Services: []document.Service{service},
		}, directory.ChangeDecided{ChangeID: "0123456789abcdef0123456789abcdef", Accepted: true}),
		"peer-hello": {Body: &wirepb.Envelope_PeerHello{PeerHello: &wirepb.PeerHello{
			Host: host.Name, Domain: host.Domain, Incarnation: host.Incarnation, Applied: capacityIndex,
		}}},
		"probe": {Body: &wirepb.Envelope_ProposeRequest{ProposeRequest: &wirepb.ProposeRequest{
			Id: capacityIndex, Body: &wirepb.ProposeRequest_Probe{Probe: &wirepb.ProbeReport{Instance: e.Instance, Healthy: true}},
		}}},
	}
}

// countingConn counts the bytes and the writes of a session.
type countingConn struct {
	net.Conn
	bytes, writes atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func capacityTLS(b *testing.B) *tls.Config {
	b.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		b.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		b.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      pool, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS13,
	}
}

// capacitySession returns both ends of a stream over loopback and the connection that
// counts what the sending end writes to its socket.
func capacitySession(b *testing.B, config *tls.Config) (sender, receiver *wire.Stream, counter *countingConn) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	dialed := make(chan *wire.Session, 1)
	go func() {
		session, err := wire.Dial(context.Background(), listener.Addr().String(), config, wire.DefaultTimeouts)
		if err != nil {
			b.Error(err)
		}
		dialed <- session
	}()
	conn, err := listener.Accept()
	if err != nil {
		b.Fatal(err)
	}
	counter = &countingConn{Conn: conn}
	accepted, err := wire.Accept(counter, config, wire.DefaultTimeouts)
	if err != nil {
		b.Fatal(err)
	}
	dialedSession := <-dialed
	if dialedSession == nil {
		b.FailNow()
	}
	b.Cleanup(func() { _, _ = accepted.Close(), dialedSession.Close() })
	if sender, err = accepted.Open(); err != nil {
		b.Fatal(err)
	}
	if receiver, err = dialedSession.Accept(); err != nil {
		b.Fatal(err)
	}
	return sender, receiver, counter
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCapacityMessage reports the size of each message as an envelope and as written
// to a socket with TLS and yamux, and the CPU time of both ends together. Each message is
// sent after the previous one was received, as with heartbeats; keepalives are included.
func BenchmarkCapacityMessage(b *testing.B) {
	config := capacityTLS(b)
	for name, envelope := range capacityMessages(b) {
		b.Run(name, func(b *testing.B) {
			sender, receiver, counter := capacitySession(b, config)
			sendAndReceive(b, sender, receiver, envelope)
			bytes, writes, cpu := counter.bytes.Load(), counter.writes.Load(), cpuTime(b)
			b.ResetTimer()
			for range b.N {
				sendAndReceive(b, sender, receiver, envelope)
			}
			n := float64(b.N)
			b.ReportMetric(float64(cpuTime(b)-cpu)/n, "cpu-ns/message")
			b.ReportMetric(float64(proto.Size(envelope)), "B/envelope")
			b.ReportMetric(float64(counter.bytes.Load()-bytes)/n, "B/tls")
			b.ReportMetric(float64(counter.writes.Load()-writes)/n, "writes/message")
		})
	}
}

func sendAndReceive(b *testing.B, sender, receiver *wire.Stream, e *wirepb.Envelope) {
	b.Helper()
	if err := sender.Send(e); err != nil {
		b.Fatal(err)
	}
	if _, err := receiver.Receive(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkCapacityIdle reports what an idle session writes per second for its
// keepalive, averaged over 10 s.
func BenchmarkCapacityIdle(b *testing.B) {
	_, _, counter := capacitySession(b, capacityTLS(b))
	for range b.N {
		bytes, writes := counter.bytes.Load(), counter.writes.Load()
		time.Sleep(10 * time.Second)
		b.ReportMetric(float64(counter.bytes.Load()-bytes)/10, "B/s")
		b.ReportMetric(float64(counter.writes.Load()-writes)/10, "writes/s")
	}
}

// BenchmarkCapacityHandshake measures the CPU time of both ends for opening a session, which
// each restarted host does with its peers.
func BenchmarkCapacityHandshake(b *testing.B) {
	config := capacityTLS(b)
	cpu := cpuTime(b)
	for range b.N {
		capacitySession(b, config)
	}
	b.ReportMetric(float64(cpuTime(b)-cpu)/float64(b.N), "cpu-ns/session")
}

// BenchmarkCapacitySession reports the heap and stack memory of both ends of a session with
// one stream that has carried a message.
func BenchmarkCapacitySession(b *testing.B) {
	config := capacityTLS(b)
	hello := capacityMessages(b)["peer-hello"]
	for _, sessions := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("sessions=%d", sessions), func(b *testing.B) {
			for range b.N {
				before := memoryBytes()
				for range sessions {
					sender, receiver, _ := capacitySession(b, config)
					sendAndReceive(b, sender, receiver, hello)
				}
				b.ReportMetric(float64(memoryBytes()-before)/float64(sessions), "B/session")
			}
		})
	}
}

func memoryBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkCapacitySnapshot measures encoding and restoring snapshots with 100, 1,000 and
// 12,000 endpoints.
func BenchmarkCapacitySnapshot(b *testing.B) {
	for _, services := range []int{20, 200, 2400} {
		s := directory.New()
		apply := func(c directory.Command) { s.Apply(directory.Entry{Index: s.Index() + 1, Command: c}) }
		for i := range services {
			name := fmt.Sprint("s", i)
			apply(directory.ChangePrepared{ChangeID: name, Team: "t", Section: name, Services: []document.Service{
				{Name: name, AnnouncedAs: name, Address: address(i, 80), Protocol: document.TCP},
			}})
			apply(directory.ChangeDecided{ChangeID: name, Accepted: true})
			for n := range 5 {
				e := capacityEndpoint(5*i + n)
				e.Service = name
				apply(directory.EndpointAdded{Endpoint: e})
			}
		}
		apply(directory.MovesCommitted{UpTo: s.Index()})
		apply(directory.MovesCommitted{UpTo: s.Index()})
		data, err := wire.EncodeDirectoryState(s.Snapshot())
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/endpoints=%d", 5*services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if data, err = wire.EncodeDirectoryState(s.Snapshot()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/snapshot")
		})
		b.Run(fmt.Sprintf("restore/endpoints=%d", 5*services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				snapshot, err := wire.DecodeDirectoryState(data)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := directory.FromSnapshot(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
