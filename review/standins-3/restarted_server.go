package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pollPeriod         = 5 * time.Second // of a client that keeps a flow open
	serverName         = 0x11            // the endpoint that is restarted
	drainLead          = 3400 * time.Millisecond
	startLag           = 20 * time.Millisecond // of the new process after the full five seconds
	restartRounds      = 9
	watchers           = 6  // clients that poll at each full five seconds
	readers            = 60 // clients that poll each five seconds, at a time of their own
	pollsPerFlow       = 0
	quietRestartRounds = 4 // without the restarts
	newcomersAtOnce    = 2
	newcomerEvery      = 200 * time.Millisecond
	newcomerPhase      = 120 * time.Millisecond
	newcomerIdle       = 2 * time.Second
)

var deskRoute = netip.MustParseAddrPort("127.99.0.1:443")

// restartCase is the state of a run of playRestartedServer.
type restartCase struct {
	s        *site
	machine  *clientMachine
	broken   atomic.Bool
	stopping atomic.Bool

	mu      sync.Mutex
	servers []*server // all incarnations
}

// playRestartedServer restarts an endpoint as planned, again and again: it drains, leaves, exits, and starts under its id and at its address. A reset
// of the system's own on a flow that the new incarnation holds open breaks FLOW.
func playRestartedServer(s *site) (bool, error) {
	_, entries, err := s.startSystem()
	if err != nil {
		return false, err
	}
	c := &restartCase{s: s}
	address := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.network), 4, byte(i + 1)}), 8080)
	}
	for i := range controlCount {
		if _, err := c.startServer(serverName+uint64(i), i, address(i)); err != nil {
			return false, err
		}
	}
	if err := waitEntries(entries); err != nil {
		return false, err
	}
	onlyEntry := entries[0].packetAddress() // one is in rotation in the zone
	if c.machine, err = s.newClientMachine(0, func(_, _ netip.AddrPort) netip.AddrPort { return onlyEntry }); err != nil {
		return false, err
	}
	for i := range watchers {
		go c.poll(fmt.Sprint("watcher-", i), 0)
	}
	for i := range readers {
		go c.poll(fmt.Sprint("reader-", i), pollPeriod*time.Duration(i)/readers)
	}
	go c.newcomers()
	nextBell := func(atLeast time.Duration) time.Time {
		return time.Now().Add(atLeast).Truncate(pollPeriod).Add(pollPeriod)
	}
	time.Sleep(time.Until(nextBell(pollPeriod)))
	rounds := restartRounds
	if !s.trouble {
		rounds = quietRestartRounds
	}
	for round := 1; round <= rounds && !c.broken.Load(); round++ {
		bell := nextBell(drainLead)
		time.Sleep(time.Until(bell.Add(-drainLead)))
		if s.trouble {
			old := c.current()
			old.shutDown()
			time.Sleep(time.Until(bell.Add(startLag)))
			if _, err := c.startServer(serverName, 0, address(0)); err != nil {
				return false, err
			}
		}
		for _, after := range []time.Duration{150 * time.Millisecond, 190 * time.Millisecond, 400 * time.Millisecond, pollPeriod / 2} {
			time.Sleep(time.Until(bell.Add(after)))
			s.note("%v after the full five seconds the present incarnation holds %d open flows", after, c.current().openFlows())
		}
	}
	c.stopping.Store(true)
	return c.broken.Load(), nil
}

func (c *restartCase) startServer(id uint64, zone int, address netip.AddrPort) (*server, error) {
	v, err := c.s.startServer(id, "order-desk", fmt.Sprintf("zone-%d", zone+1), address)
	if err != nil {
		return nil, err
	}
	c.s.note("server %s (born %d) starts at %s", v.name(), v.Born, v.Address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.servers = append(c.servers, v)
	return v, nil
}

// current returns the newest incarnation of the endpoint that is restarted.
func (c *restartCase) current() *server {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.servers) - 1; i >= 0; i-- {
		if c.servers[i].id == serverName {
			return c.servers[i]
		}
	}
	return nil
}

// judge judges a reset of the system's own on an open flow.
func (c *restartCase) judge(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, v := range c.servers {
		alive, open := v.holds(f.from)
		if !open {
			continue
		}
		c.s.note("%s (%s) is reset by the system; server %s (born %d) holds it open and runs: %t", f.name, f.from, v.name(), v.Born, alive)
		if alive {
			c.broken.Store(true)
		}
	}
}

// poll keeps a flow open and sends a request on it in each period. It opens another one when the flow has ended.
func (c *restartCase) poll(name string, phase time.Duration) {
	for !c.stopping.Load() {
		f := c.machine.newFlow(name, deskRoute, c.judge)
		if f.open() == nil && f.request(name+" begins") {
			for n := 0; f.idle(time.Now().Add(-phase).Truncate(pollPeriod).Add(pollPeriod + phase)); n++ {
				if c.stopping.Load() || !f.request(fmt.Sprint(name, " polls ", n)) {
					break
				}
				if n >= pollsPerFlow {
					f.send(flagFIN|flagACK, f.ack, nil)
					break
				}
			}
		}
		f.close()
		time.Sleep(50 * time.Millisecond)
	}
}

// newcomers opens a flow at regular times. Each sends a request and is idle then.
func (c *restartCase) newcomers() {
	for n := 0; !c.stopping.Load(); n++ {
		time.Sleep(time.Until(time.Now().Add(-newcomerPhase).Truncate(newcomerEvery).Add(newcomerEvery + newcomerPhase)))
		for range newcomersAtOnce {
			go func() {
				f := c.machine.newFlow(fmt.Sprint("newcomer-", n), deskRoute, c.judge)
				defer f.close()
				if f.open() == nil && f.request(fmt.Sprint(f.name, " begins")) && f.idle(time.Now().Add(newcomerIdle)) {
					f.request(fmt.Sprint(f.name, " ends"))
					f.send(flagFIN|flagACK, f.ack, nil)
				}
			}()
		}
	}
}
