package lab

import (
	"context"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/packet"
)

// finish ends the requests, stops the lab and returns the final results.
func finish(l *Lab) *Results {
	GinkgoHelper()
	Expect(l.Finish(context.Background())).To(Succeed())
	r := report(l)
	Expect(l.Stop(context.Background())).To(Succeed())
	return r
}

func answered(n uint64) func(ServiceReport) bool {
	return func(r ServiceReport) bool { return r.Answered >= n }
}

var _ = Describe("Lab", func() {
	// Guards against a lab that breaks connections or requests without a fault.
	It("answers every request through entry hosts that share no state", func() {
		l := newSite(4, 3, 20).start()
		waitFor(l, answered(500))
		r := finish(l)
		Expect(r.Violations()).To(BeEmpty())
		s := r.Services[0]
		Expect(s.Opened).To(BeEquivalentTo(20))
		Expect(s.Answered + s.Refused).To(Equal(s.Sent))
		Expect(s.Runs).To(Equal(s.Answered))
		Expect(s.Open).To(BeZero())
	})

	// Guards against callers or backend servers that fail on an imperfect network, and
	// against link faults that have no effect.
	It("answers every request despite loss, delay, duplication and reordering", func() {
		site := newSite(3, 3, 10)
		site.config.Fabric.Seed = 7
		site.config.Fabric.Between = Link{
			Delay: 2 * time.Millisecond, Jitter: time.Millisecond, Loss: 0.01, Duplicate: 0.02, Reorder: 0.05,
		}
		l := site.start()
		waitFor(l, answered(300))
		r := finish(l)
		Expect(r.Violations()).To(BeEmpty())
		Expect([]uint64{r.Fabric.Lost, r.Fabric.Duplicated, r.Fabric.Reordered}).NotTo(ContainElement(BeZero()))
	})

	// Guards against a restart that breaks connections although the server has asked
	// the callers to close them.
	It("restarts a backend server on the same address without a broken connection", func() {
		l := newSite(2, 2, 10).start()
		waitFor(l, answered(50))
		Expect(l.Do(BackendAction{Verb: "restart", Name: "b1"})).To(Succeed())
		Eventually(func() []string {
			var names []string
			for _, b := range report(l).Backends {
				names = append(names, b.Instance)
			}
			return names
		}, noTimeout, "20ms").Should(ContainElement("b1.2"))
		r := finish(l)
		// The stateless entry hosts do not know that a backend server is leaving, so they
		// place new flows on it.
		r.Services[0].LateFlows = 0
		Expect(r.Violations()).To(BeEmpty())
	})

	// Guards against connections broken by a crash that the report does not count, or
	// does not attribute to the crash.
	It("counts what breaks when a backend server crashes", func() {
		site := newSite(2, 1, 5)
		// A caller whose request was acknowledged before the crash has nothing to
		// retransmit and receives nothing more, so only a timeout ends its wait.
		site.config.Callers[0].RequestTimeout = 3 * time.Second
		l := site.start()
		waitFor(l, answered(20))
		Expect(l.Do(BackendAction{Verb: "crash", Name: "b1"})).To(Succeed())
		Expect(l.Do(BackendAction{Verb: "start", Name: "b1"})).To(Succeed())
		waitFor(l, func(r ServiceReport) bool { return r.Broken+r.TimedOut >= 5 && r.Opened >= 10 })
		r := finish(l)
		Expect(r.Services[0].Unknown).To(BeNumerically(">=", r.Services[0].TimedOut))
		Expect(r.Services[0].ExpectedBreaks).To(And(Equal(r.Backends[0].Open), BeNumerically(">", 0)))
		r.Services[0].ExpectedBreaks = 0
		Expect(r.Violations()).To(ContainElement(ContainSubstring("broken connections")))
	})

	// Guards against a report that does not count new flows on a draining backend
	// server, which docs/design.md, P6, forbids.
	It("counts flows that reach a backend server long after it began to drain", func() {
		site := newSite(1, 1, 2)
		site.config.Callers[0].RequestsPerConnection = 1
		l := site.start()
		waitFor(l, answered(1))
		Expect(l.Do(BackendAction{Verb: "drain", Name: "b1"})).To(Succeed())
		waitFor(l, func(r ServiceReport) bool { return r.LateFlows > 0 })
		Expect(finish(l).Violations()).To(ContainElement(ContainSubstring("leaving backend server")))
	})

	// Guards against a silence action that affects other connections, or none.
	It("drops the packets of one connection only", func() {
		l := newSite(2, 1, 3).start()
		waitFor(l, answered(20))
		Expect(l.Do(BackendAction{Verb: "silence", Name: "b1"})).To(Succeed())
		before := report(l).Services[0].Answered
		waitFor(l, func(r ServiceReport) bool { return r.Answered > before+100 && r.Waiting >= 1 })
		Expect(report(l).Services[0].ExpectedBreaks).To(Equal(1))
		Expect(report(l).Fabric.Silenced).To(BeNumerically(">", 0))
		Expect(l.Stop(context.Background())).To(Succeed())
	})

	// Guards against responses of another service that the report does not count. The hash of a
	// connection chooses its backend server, so there are enough connections for both to get some.
	It("counts a packet that reaches the wrong service", func() {
		site := newSite(1, 2, 64)
		site.config.Backends[1].Service = "print"
		l := site.start()
		waitFor(l, func(r ServiceReport) bool { return r.Misrouted > 0 })
		Expect(finish(l).Violations()).To(ContainElement(ContainSubstring("misrouted")))
	})

	// Guards against stacks that accept a corrupted packet, which would hide faulty
	// rewriting of packets.
	It("drops packets with a wrong checksum", func() {
		site := newSite(1, 1, 1)
		corrupted := make(chan struct{}, 1)
		site.hosts[0].corrupt = func(inner []byte, h *packet.Headers) {
			if h.PayloadLen > 0 && h.Dst == service {
				inner[h.TotalLen-1] ^= 1
				select {
				case corrupted <- struct{}{}:
				default:
				}
			}
		}
		l := site.start()
		<-corrupted
		r := report(l)
		Expect(r.Services[0].Answered).To(BeZero())
		Expect(r.Backends[0].Malformed).To(BeZero())
		Expect(l.Stop(context.Background())).To(Succeed())
	})

	// Guards against a spray that still sends to a removed host.
	It("removes an entry host from the spray and puts it back", func() {
		l := newSite(1, 1, 1).start()
		waitFor(l, answered(5))
		Expect(l.Do(FabricAction{RemoveEntryHost{Name: "e1", Removed: true}})).To(Succeed())
		Eventually(func() uint64 { return report(l).Fabric.NoEntryHost }, noTimeout, "5ms").Should(BeNumerically(">", 0))
		before := report(l).Services[0].Answered
		Expect(l.Do(FabricAction{RemoveEntryHost{Name: "e1"}})).To(Succeed())
		waitFor(l, answered(before+5))
		Expect(l.Do(FabricAction{RemoveEntryHost{Name: "e9"}})).To(MatchError(ContainSubstring("e9")))
		Expect(finish(l).Violations()).To(BeEmpty())
	})

	// Guards against a forwarding address that drops or changes datagrams between
	// entry hosts.
	It("forwards packets between entry hosts through a forwarding address", func() {
		site := newSite(2, 1, 1)
		reserved, err := listenUDP(loopbackAnyPort) // reserves a free port for the forwarding address
		Expect(err).NotTo(HaveOccurred())
		forward := unmapped(reserved.LocalAddr())
		Expect(reserved.Close()).To(Succeed())
		site.config.Fabric.EntryHosts[1].ForwardAddr = forward
		l, err := Start(site.config, discardLog, failOnFatal)
		Expect(err).NotTo(HaveOccurred())
		_, err = site.hosts[0].conn.WriteToUDPAddrPort([]byte("hand-off"), forward)
		Expect(err).NotTo(HaveOccurred())
		buffer := make([]byte, maxDatagramBytes)
		for got := ""; got != "hand-off"; { // packets of callers arrive too
			n, _, err := site.hosts[1].conn.ReadFromUDPAddrPort(buffer)
			Expect(err).NotTo(HaveOccurred())
			got = string(buffer[:n])
		}
		Expect(l.Stop(context.Background())).To(Succeed())
	})

	// Guards against a panic of the calling duty during a run.
	It("refuses callers without an address", func() {
		site := newSite(1, 1, 1)
		site.config.Callers[0].Addresses = []netip.Addr{}
		_, err := Start(site.config, discardLog, failOnFatal)
		Expect(err).To(MatchError(ContainSubstring("no addresses")))
	})
})
