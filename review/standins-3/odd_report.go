package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	frontsOfZone  = 3
	serverCount   = 6    // two in each zone
	claimed       = 0x21 // the endpoint whose address the odd report names
	cutTime       = 4500 * time.Millisecond
	oddAfter      = 1200 * time.Millisecond // from the beginning of the cut
	trafficFlows  = 30
	trafficPeriod = 700 * time.Millisecond
	settleTime    = stableWindow + 2*time.Second
)

// playOddReport sends one report of another writer, of a service that is named nowhere, before the first desired state. It names the address of an
// endpoint that is cut off for a few seconds. Long after both, the entry machines of a zone are restarted in turn, as planned.
// A reset of the system's own on a flow that the endpoint holds open breaks FLOW.
func playOddReport(s *site) (bool, error) {
	var fronts []*process
	for i := range controlCount {
		if err := s.newControl(i, s.folder).start(true); err != nil {
			return false, err
		}
	}
	for i := range frontsOfZone {
		p := s.newEntry(i, 0)
		if err := p.start(true); err != nil {
			return false, err
		}
		fronts = append(fronts, p)
	}
	time.Sleep(time.Second)
	var servers []*server
	for i := range serverCount {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.network), 4, byte(i + 1)}), 8080)
		v, err := s.startServer(claimed+uint64(i), "order-desk", fmt.Sprintf("zone-%d", i/2+1), address)
		if err != nil {
			return false, err
		}
		servers = append(servers, v)
		s.note("server %s starts at %s", v.name(), v.Address)
	}
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		servers[0].setCut(true)
		s.note("server %s is cut off from all machines", servers[0].name())
		time.Sleep(oddAfter)
		s.sendOddReport(servers[0])
		time.AfterFunc(cutTime-oddAfter, func() {
			servers[0].setCut(false)
			s.note("server %s is in contact again", servers[0].name())
		})
	}
	if _, ok := s.newOperator().put(firstVersion, time.Now().Add(startLimit)); !ok {
		return false, fmt.Errorf("the first desired state was not acknowledged")
	}
	if err := waitEntries(fronts); err != nil {
		return false, err
	}
	time.Sleep(cutTime + settleTime)
	return s.playPlannedRestarts(fronts, servers)
}

// sendOddReport sends a report under an id of its own, with a service that is named nowhere, at the address of a server.
func (s *site) sendOddReport(v *server) {
	odd := server{Service: "lost-parcels", Address: v.Address, Zone: v.Zone, State: "ready", Seq: 1, Born: time.Now().UnixMilli()}
	var body strings.Builder
	if err := reportTemplate.Execute(&body, &odd); err != nil {
		s.note("%v", err)
		return
	}
	r, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/cassiawood/instances/i-0000dead", s.controlAddress(0)), strings.NewReader(body.String()))
	if err != nil {
		s.note("%v", err)
		return
	}
	response, err := (&http.Client{Timeout: callTimeout}).Do(r)
	if err != nil {
		s.note("the odd report got no answer: %v", err)
		return
	}
	_ = response.Body.Close()
	s.note("the odd report (service %s, address %s) is answered with %d", odd.Service, odd.Address, response.StatusCode)
}

// playPlannedRestarts restarts the entry machines of the zone one after the other, under traffic.
func (s *site) playPlannedRestarts(fronts []*process, servers []*server) (bool, error) {
	r := newRouter(fronts)
	if err := r.waitAll(startLimit); err != nil {
		return false, err
	}
	m, err := s.newClientMachine(0, r.pick)
	if err != nil {
		return false, err
	}
	var broken, stopping atomic.Bool
	judge := func(f *flow) {
		for _, v := range servers {
			if alive, open := v.holds(f.from); open {
				s.note("%s (%s) is reset by the system; server %s holds it open and runs: %t", f.name, f.from, v.name(), alive)
				if alive {
					broken.Store(true)
				}
			}
		}
	}
	for i := range trafficFlows {
		go func() {
			time.Sleep(trafficPeriod * time.Duration(i) / trafficFlows)
			for n := 0; !stopping.Load(); n++ {
				f := m.newFlow(fmt.Sprintf("client-%d-%d", i, n), deskRoute, judge)
				if f.open() == nil {
					for k := 0; k < 12 && !stopping.Load() && f.request(fmt.Sprint(f.name, " request ", k)) && f.idle(time.Now().Add(trafficPeriod)); k++ {
					}
					if f.isOpen {
						f.send(flagFIN|flagACK, f.ack, nil)
					}
				}
				f.close()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for _, p := range fronts {
		for _, v := range servers {
			s.note("server %s of %s holds %d open flows", v.name(), v.Zone, v.openFlows())
		}
		s.note("%s gets SIGTERM", p.machine.Name)
		p.end(syscall.SIGTERM)
		if err := p.start(false); err != nil {
			return false, err
		}
		s.note("%s is started again", p.machine.Name)
		time.Sleep(maxMisses * probeInterval)
		if err := r.waitAll(startLimit); err != nil {
			return false, err
		}
		time.Sleep(4 * time.Second)
	}
	stopping.Store(true)
	return broken.Load(), nil
}
