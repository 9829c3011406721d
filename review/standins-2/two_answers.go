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
	maxLoss     = 0.001                   // share of the datagrams that kp-lb loses
	busyCount   = 48                      // flows that ask all the time
	busyPause   = 400 * time.Millisecond
	busyTime    = 15 * time.Second
	lossyCount  = 4 // flows of which the network loses a packet
	lossyAfter  = 4 * time.Second
	lossyPause  = 4500 * time.Millisecond
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

// playTwoAnswers opens long flows through two entry hosts. The first SYN+ACK of four of them is lost, so that a copy of the SYN reaches a
// second endpoint, and both answer. Then one entry host is restarted as planned work.
func playTwoAnswers(r *record, s *site, withTrouble bool) (bool, error) {
	o, _, w, route, err := startSmallSite(r, s)
	if err != nil {
		return false, err
	}
	h, err := newClientHost(r, o, s.address(clientKind, 0))
	if err != nil {
		return false, err
	}
	restarted := s.machines[3]
	var flows []*flow
	var all sync.WaitGroup
	for i := range busyCount {
		f := h.newFlow(uint16(20000+i), route)
		flows = append(flows, f)
		all.Go(func() { f.askAlways(i) })
	}
	time.Sleep(lossyAfter)
	for port := uint16(30000); len(flows) < busyCount+lossyCount; port++ {
		f := h.newFlow(port, route)
		if o.nodeOf(f.self, f.route) != restarted {
			continue // only flows of this node meet the restart
		}
		f.losesFirst = true
		flows = append(flows, f)
		all.Go(func() { f.askTwice() })
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
	share := float64(lossyCount) / float64(o.datagrams.Load())
	r.tell("%d of %d datagrams lost by the network, a share of %.5f", lossyCount, o.datagrams.Load(), share)
	if share > maxLoss {
		return false, errors.New("more datagrams were lost than the site loses")
	}
	broken := false
	for _, f := range flows {
		if why := w.flowBreak(f); why != "" {
			broken = true
			r.tell("FLOW broken: %s, of which the network lost a packet: %t: %s", f.self, f.losesFirst, why)
		}
	}
	return broken, nil
}

// askAlways opens the flow and sends a request again and again, with a pause after each.
func (f *flow) askAlways(number int) {
	time.Sleep(time.Duration(number) * busyPause / busyCount)
	if !f.connect() {
		f.host.record.say("client %s: the flow did not open", f.self)
		return
	}
	for begin, i := time.Now(), 0; time.Since(begin) < busyTime; i++ {
		f.request(fmt.Sprintf("q-%d-%d", f.self.Port(), i))
		time.Sleep(busyPause)
	}
}

// askTwice opens the flow and sends two requests with a longer pause between them.
func (f *flow) askTwice() {
	if !f.connect() {
		f.host.record.say("client %s: the flow did not open", f.self)
		return
	}
	f.request(fmt.Sprintf("q-%d-1", f.self.Port()))
	time.Sleep(lossyPause)
	f.request(fmt.Sprintf("q-%d-2", f.self.Port()))
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
