package lab

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/packet"
)

func TestLab(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "lab")
}

// noTimeout is far longer than any run, so that a test depends on events and not on
// time; the timeout of go test ends a run that hangs.
const noTimeout = 10 * time.Minute

var (
	discardLog      = slog.New(slog.DiscardHandler)
	service         = netip.MustParseAddrPort("10.9.0.1:80")
	loopbackAnyPort = netip.MustParseAddrPort("127.0.0.1:0")
)

func failOnFatal(err error) {
	defer GinkgoRecover()
	Expect(err).NotTo(HaveOccurred())
}

// statelessEntryHost is a minimal entry host: it maps each caller's address and port
// to a backend server by a hash and keeps no state.
type statelessEntryHost struct {
	conn     *net.UDPConn
	backends []netip.AddrPort
	corrupt  func(inner []byte, h *packet.Headers) // called before rewriting, if set
}

func newStatelessEntryHost(backends []netip.AddrPort) *statelessEntryHost {
	GinkgoHelper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopbackAnyPort))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	return &statelessEntryHost{conn: conn, backends: backends}
}

func (s *statelessEntryHost) addr() netip.AddrPort { return unmapped(s.conn.LocalAddr()) }

func (s *statelessEntryHost) run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, fabric, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var g packet.Geneve
		var h packet.Headers
		if packet.DecodeGeneve(buffer[:n], &g) != nil || packet.Parse(g.Inner, &h) != nil {
			continue
		}
		if s.corrupt != nil {
			s.corrupt(g.Inner, &h)
		}
		if h.Dst == service {
			caller, _ := h.Src.MarshalBinary()
			err = packet.RewriteDst(g.Inner, &h, s.backends[xxhash.Sum64(caller)%uint64(len(s.backends))])
		} else {
			err = packet.RewriteSrc(g.Inner, &h, service)
		}
		if err == nil {
			_, _ = s.conn.WriteToUDPAddrPort(buffer[:n], fabric)
		}
	}
}

// site is a lab configuration with stateless entry hosts.
type site struct {
	config Config
	hosts  []*statelessEntryHost
}

func newSite(hosts, backends, connections int) *site {
	GinkgoHelper()
	s := &site{}
	var addresses []netip.AddrPort
	for i := range backends {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 7, 0, byte(1 + i)}), 8080)
		addresses = append(addresses, address)
		s.config.Backends = append(s.config.Backends, BackendConfig{
			Instance: "b" + string(rune('1'+i)), Service: "desk", Domain: domain(i), Address: address,
			Slots: 2, QueueLimit: 100, Lease: 3 * time.Second, ProbeListen: loopbackAnyPort.String(),
		})
	}
	for i := range hosts {
		host := newStatelessEntryHost(addresses)
		s.hosts = append(s.hosts, host)
		s.config.Fabric.EntryHosts = append(s.config.Fabric.EntryHosts, EntryHost{
			Name: "e" + string(rune('1'+i)), Domain: domain(i), Addr: host.addr(),
		})
	}
	s.config.Fabric.Listen = loopbackAnyPort
	s.config.Callers = []CallersConfig{{
		Name: "callers", Group: 1, Domain: "outside", Service: "desk", Target: service,
		Addresses:   []netip.Addr{netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")},
		Connections: connections, Pause: 10 * time.Millisecond, Work: 500 * time.Microsecond,
		BodyBytes: 2000, IdempotentShare: 0.5, Retries: 1, Seed: 1,
	}}
	return s
}

func domain(i int) string { return string(rune('a' + i%3)) }

func (s *site) start() *Lab {
	GinkgoHelper()
	for _, host := range s.hosts {
		go host.run()
	}
	l, err := Start(s.config, discardLog, failOnFatal)
	Expect(err).NotTo(HaveOccurred())
	return l
}

func report(l *Lab) *Results {
	GinkgoHelper()
	r, err := l.Results()
	Expect(err).NotTo(HaveOccurred())
	return &r
}

// waitFor waits until the report of the first service satisfies the condition.
func waitFor(l *Lab, condition func(r ServiceReport) bool) {
	GinkgoHelper()
	Eventually(func() bool { return condition(report(l).Services[0]) }, noTimeout, "5ms").Should(BeTrue())
}
