package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

var zones = []string{"fs-a", "fs-b", "fs-c"}

// Services and routes of the site.
const (
	serviceDesk  = "order-desk"
	serviceSheet = "sheet-print"
)

type route struct {
	Name, Kind, Service string
	Address             netip.AddrPort
}

// The kind of a machine is the third byte of its address.
const (
	controlKind      = iota + 1 // control hosts, as others address them
	controlLinksKind            // where control hosts accept links, if proxies stand before them
	entryKind
	endpointKind
	clientKind
	routeKind // addresses of routes, which no packet is sent to
)

type sitePorts struct{ links, control, packets, ready, endpoints uint16 }

// site is a small deployment on loopback: the system's programs and the stand-ins around them.
type site struct {
	ctx       context.Context
	record    *record
	folder    string
	network   byte // second byte of all addresses
	ports     sitePorts
	isNew     bool // the whole system starts for the first time
	seedsLock sync.Mutex
	seeds     []string // the control hosts in the operator's list
	controls  []*program
	entries   []*program
	endpoints []*endpoint
	clients   []*client
	routers   map[string]*router // by zone
	routes    []route
	operator  *operator
	trouble   bool // false if the case runs without its disruption
	table     flowTable
	// excuse says why a reset does not count at the time, or returns an empty text.
	excuse func(holder *incarnation, at time.Time) string
}

// siteLayout is the number of entry hosts in each zone, and where the endpoints of the services are.
type siteLayout struct {
	entriesPerZone int
	desk, sheet    []string     // a zone for each endpoint
	linkProxies    bool         // links to control hosts pass a proxy
	started        func() error // called after the programs have started; may be nil
}

func newSite(ctx context.Context, r *record, trouble bool) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{
		ctx: ctx, record: r, folder: folder, isNew: true, trouble: trouble, routers: map[string]*router{},
		table: flowTable{flows: map[flowID]openFlow{}}, excuse: func(*incarnation, time.Time) string { return "" },
	}
	for range 50 {
		s.network = byte(100 + rand.IntN(150))
		base := uint16(20000 + 40*rand.IntN(200))
		s.ports = sitePorts{links: base, control: base + 20, packets: base + 21, ready: base + 22, endpoints: base + 23}
		if s.portsAreFree() {
			s.routes = []route{{"r-names", "unsafe", serviceDesk, s.routeAddress(0)}, {"r-sheets", "unsafe", serviceSheet, s.routeAddress(1)}}
			return s, nil
		}
	}
	return nil, errors.New("no free ports found")
}

// portsAreFree reports whether the first address of each kind is unused.
func (s *site) portsAreFree() bool {
	for kind := controlKind; kind <= clientKind; kind++ {
		for _, port := range []uint16{s.ports.links, s.ports.control, s.ports.packets, s.ports.ready, s.ports.endpoints, 9464} {
			listener, err := net.Listen("tcp", netip.AddrPortFrom(s.ip(kind, 0), port).String())
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// controlHosts returns the addresses of the control hosts in the operator's list.
func (s *site) controlHosts() []string {
	s.seedsLock.Lock()
	defer s.seedsLock.Unlock()
	return slices.Clone(s.seeds)
}

func (s *site) setControlHosts(list []string) {
	s.seedsLock.Lock()
	defer s.seedsLock.Unlock()
	s.seeds = list
}

func (s *site) ip(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network, byte(kind), byte(number + 1)})
}

func (s *site) routeAddress(number int) netip.AddrPort {
	return netip.AddrPortFrom(s.ip(routeKind, number), 8443)
}

func (s *site) controlAddress(number int) string {
	return netip.AddrPortFrom(s.ip(controlKind, number), s.ports.control).String()
}

// newControl returns a control host that is not running yet. With proxies, its links arrive at another
// address than its calls.
func (s *site) newControl(number int, zone string, linkProxies bool) *program {
	kind := controlKind
	if linkProxies {
		kind = controlLinksKind
	}
	return &program{
		name: fmt.Sprint("core-", zone, "-", number), command: controlCommand, folder: s.folder, zone: zone, class: "core",
		ip: s.ip(kind, number), control: s.controlAddress(number), site: s,
	}
}

// start starts the programs and the endpoints, puts the first desired state in force and waits until all
// entry hosts are ready.
func (s *site) start(l siteLayout) error {
	var seeds []string
	for i, zone := range zones {
		seeds = append(seeds, s.controlAddress(i))
		s.controls = append(s.controls, s.newControl(i, zone, l.linkProxies))
	}
	s.setControlHosts(seeds)
	for i := range len(zones) * l.entriesPerZone {
		zone := zones[i%len(zones)]
		e := &program{
			name: fmt.Sprint("frontend-", zone, "-", i), command: entryCommand, folder: s.folder, zone: zone, class: "frontend", ip: s.ip(entryKind, i), site: s,
		}
		s.entries = append(s.entries, e)
		if s.routers[zone] == nil {
			s.routers[zone] = &router{port: s.ports.packets}
		}
		s.routers[zone].add(e.ip, s.ports.ready)
	}
	for _, p := range slices.Concat(s.controls, s.entries) {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, list := range []struct {
		service string
		zones   []string
	}{{serviceDesk, l.desk}, {serviceSheet, l.sheet}} {
		for _, zone := range list.zones {
			e, err := s.newEndpoint(list.service, zone)
			if err != nil {
				return err
			}
			if err := e.start(); err != nil {
				return err
			}
		}
	}
	if l.started != nil {
		if err := l.started(); err != nil {
			return err
		}
	}
	s.operator = newOperator(s)
	if err := s.operator.putUntilAcknowledged(1, 15*time.Second); err != nil {
		return err
	}
	for _, r := range s.routers {
		go r.probe(s.ctx)
	}
	for deadline := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, r := range s.routers {
			ready += r.readyCount()
		}
		if ready == len(s.entries) {
			s.isNew = false
			s.record.line("all %d entry hosts are ready", ready)
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%d of %d entry hosts are ready", ready, len(s.entries))
		}
	}
}

// clientLoad describes the clients of a zone.
type clientLoad struct {
	count   int
	route   route
	oneShot bool // a flow for each request, else long flows
	pause   func() time.Duration
	flowAge time.Duration // at which a client closes a long flow
}

func (s *site) startClients(zone string, l clientLoad) error {
	for range l.count {
		c := &client{clientLoad: l, site: s, number: len(s.clients), zone: zone, ip: s.ip(clientKind, len(s.clients)), port: uint16(10000 + rand.IntN(40000))}
		if err := c.listen(); err != nil {
			return err
		}
		s.clients = append(s.clients, c)
		go c.run(s.ctx)
	}
	return nil
}

// stop ends all processes that the case has started.
func (s *site) stop() {
	for _, p := range slices.Concat(s.controls, s.entries) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range slices.Concat(s.controls, s.entries) {
		p.mu.Lock()
		exited := p.exited
		p.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept:", s.folder)
	}
}

// newHTTPClient returns a client whose connections are opened by dial, or as usual if dial is nil.
func newHTTPClient(timeout time.Duration, dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Client {
	return &http.Client{
		Timeout:       timeout,
		Transport:     &http.Transport{DialContext: dial, IdleConnTimeout: 8 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
