package main

import (
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	reorderTime  = 2000 * time.Millisecond // reorderMs of kp-lb
	flowCount    = 40                      // flows of each client host
	troubleCount = 4                       // those of them whose first SYN+ACK is lost or late
	pauseTime    = 4500 * time.Millisecond
)

// Numbers of the client hosts.
const (
	lossClient = iota // the network loses a packet
	lateClient        // a packet comes late, and endpoints send each SYN+ACK to it only once
)

// startSmallSite starts three control hosts in three zones, two entry hosts and four endpoints in the first zone, and puts a first
// desired state in force.
func startSmallSite(r *record, s *site) (*router, *operator, *watch, netip.AddrPort, error) {
	var none netip.AddrPort
	for i := range 3 {
		s.seeds = append(s.seeds, s.controlAddress(i))
	}
	var entries []*machine
	for i := range 3 {
		s.addMachine(controlKind, i, zoneName(i))
	}
	for i := range 2 {
		entries = append(entries, s.addMachine(entryKind, i, zoneName(0)))
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return nil, nil, nil, none, err
		}
	}
	o, err := newRouter(r, s, entries)
	if err != nil {
		return nil, nil, nil, none, err
	}
	route := netip.AddrPortFrom(s.address(routeKind, 0), 443)
	op := newOperator(r, s.seeds)
	if status := op.put("version 1", oneService(1, route), 20*time.Second); status != 200 {
		return nil, nil, nil, none, fmt.Errorf("the first desired state was answered with %d", status)
	}
	w := newWatch()
	for i := range 4 {
		if _, err := startEndpoint(r, w, s, i, "order-desk", zoneName(0), s.seeds); err != nil {
			return nil, nil, nil, none, err
		}
	}
	for begin := time.Now(); o.readyCount() < 2; time.Sleep(100 * time.Millisecond) {
		if time.Since(begin) > 20*time.Second {
			return nil, nil, nil, none, errors.New("the entry hosts did not become ready")
		}
	}
	time.Sleep(2 * time.Second)
	return o, op, w, route, nil
}

// oneService returns a desired state whose route has one service.
func oneService(version int, route netip.AddrPort) []byte {
	return desiredBody{Version: version, Route: route, Service: "order-desk", Services: []string{"order-desk"}}.encode()
}

// playTwoAnswers opens long flows through two entry hosts. The first SYN+ACK of a few of them is lost or late, so that a copy of the
// SYN reaches a second endpoint, and both answer. Then one entry host is restarted as planned work.
func playTwoAnswers(r *record, s *site, withTrouble bool) (bool, error) {
	o, _, w, route, err := startSmallSite(r, s)
	if err != nil {
		return false, err
	}
	restarted := s.machines[3]
	var flows []*flow
	for client, what := range map[int]trouble{lossClient: losesFirst, lateClient: delaysFirst} {
		h, err := newClientHost(r, o, s.address(clientKind, client))
		if err != nil {
			return false, err
		}
		flows = append(flows, h.newFlows(route, restarted, what)...)
	}
	var all sync.WaitGroup
	answered := make([]bool, len(flows)) // the second requests
	for i, f := range flows {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			answered[i] = f.askTwice(fmt.Sprintf("q-%d", i))
		}()
	}
	time.Sleep(1800 * time.Millisecond)
	if withTrouble {
		restarted.end(syscall.SIGTERM)
		time.Sleep(500 * time.Millisecond)
		if err := restarted.start(); err != nil {
			return false, err
		}
	}
	all.Wait()
	broken := false
	for i, f := range flows {
		if why := w.flowBreak(f); why != "" {
			broken = true
			r.tell("FLOW broken: %s, whose first SYN+ACK %s, second request answered: %t: %s", f.self, f.trouble, answered[i], why)
		} else if !answered[i] {
			r.say("second request of %s, whose first SYN+ACK %s: no answer", f.self, f.trouble)
		}
	}
	return broken, nil
}

// newFlows returns flows to a route, of which a few that go through the given entry host have a trouble.
func (h *clientHost) newFlows(route netip.AddrPort, through *machine, what trouble) []*flow {
	var flows []*flow
	troubled := 0
	for i := range flowCount {
		f := h.newFlow(uint16(20000+i), route)
		if troubled < troubleCount && h.router.nodeOf(f.self, f.route) == through {
			f.trouble = what
			troubled++
		}
		flows = append(flows, f)
	}
	return flows
}

// askTwice opens the flow and sends two requests with a pause between them. It reports whether the second one was answered.
func (f *flow) askTwice(id string) bool {
	if !f.connect() {
		f.host.record.say("client %s: the flow did not open", f.self)
		return false
	}
	f.request(id + "-1")
	time.Sleep(pauseTime)
	return f.request(id+"-2") != ""
}

// flowBreak returns how the rule FLOW is broken for a flow, or "". All endpoints live and are undisturbed.
func (w *watch) flowBreak(f *flow) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	owner := w.owner[f.self]
	if owner == "" {
		return ""
	}
	if f.wasReset() {
		return "a reset that its endpoint did not send"
	}
	list := w.deliveries[f.self]
	for i, first := range list {
		others, own := 0, 0
		var to string
		for _, d := range list[i:] {
			if d.at.Sub(first.at) > reorderTime {
				break
			}
			if d.endpoint == owner {
				own++
			} else {
				others++
				to = d.endpoint
			}
		}
		if others >= 3 && own == 0 {
			return fmt.Sprintf("open at %s, %d packets within %v reach %s and none its own", owner, others, reorderTime, to)
		}
	}
	return ""
}
