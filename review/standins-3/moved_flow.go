package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	movedFlows    = 48
	answerPadding = 11_900 // the longest answers of class-watch have 12,000 bytes
	bigRequests   = 7
	bigPause      = 700 * time.Millisecond
	smallPause    = 500 * time.Millisecond
)

// playMovedFlow restarts one entry machine as planned, so that the routers move flows between the others and back. The flows go on, and then their
// endpoint drains and leaves, as planned. What the system sends to a client on its open flow has to be a reset as the page defines it.
func playMovedFlow(s *site) (bool, error) {
	for i := range controlCount {
		if err := s.newControl(i, s.folder).start(true); err != nil {
			return false, err
		}
	}
	var fronts []*process
	for i := range frontsOfZone {
		p := s.newEntry(i, 0)
		if err := p.start(true); err != nil {
			return false, err
		}
		fronts = append(fronts, p)
	}
	if _, ok := s.newOperator().put(firstVersion, time.Now().Add(startLimit)); !ok {
		return false, fmt.Errorf("the first desired state was not acknowledged")
	}
	var leaving *server
	for i := range serverCount {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(s.network), 4, byte(i + 1)}), 8080)
		v, err := s.startServer(claimed+uint64(i), "order-desk", fmt.Sprintf("zone-%d", i/2+1), address)
		if err != nil {
			return false, err
		}
		v.padding = answerPadding
		if i == 0 {
			leaving = v
		}
	}
	r := newRouter(fronts)
	if err := r.waitAll(startLimit); err != nil {
		return false, err
	}
	m, err := s.newClientMachine(0, r.pick)
	if err != nil {
		return false, err
	}
	return s.moveFlows(fronts, r, m, leaving)
}

func (s *site) moveFlows(fronts []*process, r *router, m *clientMachine, leaving *server) (bool, error) {
	var foreign, resets atomic.Int32
	var moved atomic.Bool // the entry machine is back in rotation
	var clients sync.WaitGroup
	for i := range movedFlows {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(smallPause * time.Duration(i) / movedFlows)
			f := m.newFlow(fmt.Sprint("client-", i), deskRoute, func(f *flow) {
				resets.Add(1)
				s.detail("%s (%s) is reset by the system", f.name, f.from)
			})
			defer f.close()
			f.onForeignReset = func(f *flow, distance int32) {
				foreign.Add(1)
				s.note("%s (%s) is open and gets a packet of the system's own that is no reset of it: its number is %d from the client's last ack", f.name, f.from, distance)
			}
			if err := f.open(); err != nil {
				s.note("%s: %v", f.name, err)
				return
			}
			for n := 0; !moved.Load() && f.request(fmt.Sprint(f.name, " small ", n)) && f.idle(time.Now().Add(smallPause)); n++ {
			}
			for n := 0; n < bigRequests && f.isOpen && f.request(fmt.Sprint(f.name, " big ", n)) && f.idle(time.Now().Add(bigPause)); n++ {
			}
			f.idle(time.Now().Add(9 * time.Second)) // longer than the server needs to leave and the system to notice
		}()
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		s.note("%s gets SIGTERM", fronts[2].machine.Name)
		fronts[2].end(syscall.SIGTERM)
		if err := fronts[2].start(false); err != nil {
			return false, err
		}
		s.note("%s is started again", fronts[2].machine.Name)
		time.Sleep(probeInterval)
		if err := r.waitAll(startLimit); err != nil {
			return false, err
		}
	}
	s.note("server %s holds %d open flows", leaving.name(), leaving.openFlows())
	moved.Store(true)
	time.Sleep((bigRequests + 1) * (bigPause + workTime))
	leaving.shutDown()
	clients.Wait()
	s.note("resets of the system's own: %d; packets of its own on open flows that are none: %d", resets.Load(), foreign.Load())
	return foreign.Load() > 0, nil
}
