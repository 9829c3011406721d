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
	reorderTime = 2000 * time.Millisecond // reorderMs of kp-lb
	flowCount   = 40
	lossCount   = 4 // flows of which the network loses one packet
	pauseTime   = 4500 * time.Millisecond
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
	if status := op.put("version 1", desired(1, []map[string]any{routeOf("desk", route, "unsafe", "order-desk")}, "order-desk"), 20*time.Second); status != 200 {
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

// playTwoAnswers opens long flows through two entry hosts. The network loses the first SYN+ACK of a few of them, so that
// a copy of the SYN reaches a second endpoint, and both answer. Then one entry host is restarted as planned work.
func playTwoAnswers(r *record, s *site, trouble bool) (bool, error) {
	o, _, w, route, err := startSmallSite(r, s)
	if err != nil {
		return false, err
	}
	h, err := newClientHost(r, o, s.address(clientKind, 0))
	if err != nil {
		return false, err
	}
	restarted := s.machines[3]
	losses := 0
	var flows []*flow
	for i := range flowCount {
		f := h.newFlow(uint16(20000+i), route)
		if losses < lossCount && o.nodeOf(f.self, f.route) == restarted {
			f.loseFirst = true
			losses++
		}
		flows = append(flows, f)
	}
	var all sync.WaitGroup
	answered := make([]bool, len(flows)) // the second requests
	for i, f := range flows {
		all.Add(1)
		go func() {
			defer all.Done()
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			if !f.connect() {
				r.say("client %s: the flow did not open", f.self)
				return
			}
			f.request(fmt.Sprintf("q-%d-1", i))
			time.Sleep(pauseTime)
			answered[i] = f.request(fmt.Sprintf("q-%d-2", i)) != ""
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
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
			r.tell("FLOW broken: flow of %s, which lost a packet: %t, second request answered: %t: %s", f.self, f.loseFirst, answered[i], why)
		}
	}
	return broken, nil
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
