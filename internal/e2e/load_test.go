package e2e

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/lab"
)

const (
	backendsPerService    = 6
	connectionsPerService = 40
	// failureDetectionTime is the time that the fabric needs to detect the failure
	// of an entry host and to stop sending packets to it.
	failureDetectionTime = time.Second
)

// service is a service of the demo's documents.
type service struct {
	name   string
	target netip.AddrPort
	// requestsPerConnection is the number of requests after which callers open a new
	// connection; 0 keeps connections open.
	requestsPerConnection int
}

var services = []service{
	{"order-desk", netip.MustParseAddrPort("10.20.0.1:443"), 0},
	{"sheet-print", netip.MustParseAddrPort("10.20.0.2:443"), 5},
}

// load is a site with the simulated callers and backend servers that use it.
type load struct {
	*site
	*lab.Lab
	reconnectsExpected bool // a backend server has asked its callers to reopen their connections
}

// startLoad starts a site, its backend servers and its callers, and waits until
// every service has answered requests on all its connections.
func startLoad(seed uint64) *load {
	GinkgoHelper()
	s := startSite()
	running, err := lab.Start(labConfig(seed), slog.New(slog.DiscardHandler), func(err error) {
		defer GinkgoRecover()
		Expect(err).NotTo(HaveOccurred())
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { Expect(running.Stop(context.Background())).To(Succeed()) })
	l := &load{site: s, Lab: running}
	l.awaitAnswers(5 * connectionsPerService)
	return l
}

func labConfig(seed uint64) lab.Config {
	config := lab.Config{Fabric: lab.FabricConfig{
		Listen: fabric, Seed: seed,
		Between: lab.Link{Delay: 3 * time.Millisecond, Jitter: 500 * time.Microsecond},
	}}
	var announce []string
	for d, domain := range domains {
		for n := 1; n <= hostsPerDomain; n++ {
			config.Fabric.EntryHosts = append(config.Fabric.EntryHosts, lab.EntryHost{
				Name: fmt.Sprintf("entry-%s%d", domain, n), Domain: domain, Addr: entryAddress(d, n, packetPort),
			})
			announce = append(announce, fmt.Sprintf("http://%s/v1/announce", entryAddress(d, n, announcePort)))
		}
	}
	for i, s := range services {
		for n := range backendsPerService {
			config.Backends = append(config.Backends, lab.BackendConfig{
				Instance: fmt.Sprintf("%s-%d", s.name, n+1), Service: s.name, Domain: domains[n%len(domains)],
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 7, byte(i), byte(n + 1)}), 8080),
				Slots:   2, QueueLimit: 64, Lease: 6 * time.Second, AnnounceURLs: announce, ProbeListen: "127.88.10.1:0",
			})
		}
		config.Callers = append(config.Callers, lab.CallersConfig{
			Name: "callers-" + s.name, Group: uint64(i + 1), Domain: "callers",
			Addresses: []netip.Addr{netip.AddrFrom4([4]byte{10, 1, byte(i), 1}), netip.AddrFrom4([4]byte{10, 1, byte(i), 2})},
			Service:   s.name, Target: s.target, Connections: connectionsPerService, OpenAfter: 2 * time.Second, OpenPerSecond: 200,
			RequestsPerConnection: s.requestsPerConnection, Pause: 100 * time.Millisecond, Work: 2 * time.Millisecond,
			BodyBytes: 500, IdempotentShare: 0.5, Retries: 1, Seed: seed,
		})
	}
	return config
}

func (l *load) results() *lab.Results {
	GinkgoHelper()
	r, err := l.Results()
	Expect(err).NotTo(HaveOccurred())
	return &r
}

// awaitAnswers waits until every service has given further more answers.
func (l *load) awaitAnswers(further uint64) {
	GinkgoHelper()
	before := l.results().Services
	Eventually(func() bool {
		for i, s := range l.results().Services {
			if s.Answered < before[i].Answered+further {
				return false
			}
		}
		return true
	}, eventTimeout, pollInterval).Should(BeTrue())
}

// setSpray makes the fabric send packets to an entry host, or stop sending them.
func (l *load) setSpray(entry *process, present bool) {
	GinkgoHelper()
	Expect(l.Do(lab.FabricAction{Fault: lab.RemoveEntryHost{Name: entry.name, Removed: !present}})).To(Succeed())
}

// doBackendAction applies an action of the lab to backend servers.
func (l *load) doBackendAction(verb string, names ...string) {
	GinkgoHelper()
	for _, name := range names {
		Expect(l.Do(lab.BackendAction{Verb: verb, Name: name})).To(Succeed())
	}
}

// removeAfterDetection makes the fabric stop sending packets to an entry host after
// the time that it needs to detect the host's failure.
func (l *load) removeAfterDetection(entry *process) {
	GinkgoHelper()
	time.Sleep(failureDetectionTime)
	l.setSpray(entry, false)
}

// startAfterFailure starts an entry host whose earlier process may still be listed
// in the directory, and makes the fabric send packets to it once it is active.
func (l *load) startAfterFailure(entry *process) {
	GinkgoHelper()
	entry.start()
	Eventually(entry.currentLog, eventTimeout, pollInterval).Should(ContainSubstring("following control host"))
	time.Sleep(failureDetectionTime) // until the new process has joined
	l.awaitActive(entry.name)
	l.setSpray(entry, true)
}

// restartGracefully stops an entry host gracefully and starts it again at once, so
// that the fabric sends packets to a process that has no directory yet. meanwhile,
// if not nil, is called between the signal and the exit of the process.
func (l *load) restartGracefully(entry *process, meanwhile func()) {
	GinkgoHelper()
	entry.signal(syscall.SIGTERM)
	if meanwhile != nil {
		meanwhile()
	}
	Expect(entry.awaitExit()).To(BeZero(), entry.name)
	Expect(l.hostState(entry.name)).To(Equal("absent"), "a host that stopped gracefully is still in the directory")
	entry.start()
	l.removeAfterDetection(entry)
	l.awaitActive(entry.name)
	l.setSpray(entry, true)
}

// awaitGone waits until the directory lists no instance of a backend server.
func (l *load) awaitGone(name string) {
	GinkgoHelper()
	Eventually(func() ([]string, error) {
		servers, err := l.client("shop").BackendServers(context.Background())
		present := []string{"(answered)"}
		for _, s := range servers {
			present = append(present, s.Instance)
		}
		return present, err
	}, eventTimeout, pollInterval).ShouldNot(ContainElement(HavePrefix(name + ".")))
}

// finishAndCheck stops the callers and checks the results of every service.
func (l *load) finishAndCheck() {
	GinkgoHelper()
	l.awaitAnswers(2 * connectionsPerService)
	if !l.reconnectsExpected {
		Expect(l.results().Services[0].Opened).To(BeEquivalentTo(connectionsPerService), "a long-lived connection was opened again")
	}
	Expect(l.Finish(context.Background())).To(Succeed())
	r := l.results()
	Expect(r.WriteTable(GinkgoWriter)).To(Succeed())
	for _, p := range append(append([]*process(nil), l.controls...), l.entries...) {
		if p.command != nil {
			Expect(p.exited.Depth()).To(BeZero(), p.name+" exited by itself")
		}
	}
	Expect(r.Violations()).To(BeEmpty())
	for _, s := range r.Services {
		Expect(s.Broken).To(BeZero(), "broken connections of "+s.Service)
		Expect(s.Doubled).To(BeZero(), "doubled requests of "+s.Service)
		Expect(s.Misrouted+s.MisroutedRequests).To(BeZero(), "misrouted messages of "+s.Service)
		Expect(s.Lost).To(BeZero(), "lost requests of "+s.Service)
		Expect(s.LateFlows).To(BeZero(), "late flows of "+s.Service)
		Expect(s.ConnectFailed).To(BeZero(), "connections of "+s.Service+" that were not opened")
	}
}
