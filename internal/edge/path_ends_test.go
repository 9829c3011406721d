package edge

import (
	"fmt"
	"net/netip"
	"time"

	"cassiawood/internal/affinity"
	"cassiawood/internal/registry"
)

// simReply is a packet of an endpoint to a caller.
type simReply struct {
	from     *pathEndpoint
	flags    affinity.Flag
	seq, ack uint32
	echo     uint32
	length   int
}

// pathEndpoint is an incarnation of a backend server.
type pathEndpoint struct {
	s         *pathSite
	id        uint64
	service   string
	address   netip.AddrPort
	domain    string
	startedAt int64
	seq       uint64
	state     registry.State
	mute      bool // sends and reports nothing
	ended     bool
	mutedAt   time.Duration // last moment at which it was mute; 0 if never
	flows     map[netip.AddrPort]*served
}

// served is a flow at an endpoint.
type served struct {
	peer    netip.AddrPort
	first   uint32 // sequence number of this end
	sent    uint32 // next one of this end
	next    uint32 // next one of the caller
	echo    uint32 // last token received
	open    bool
	pending int // unacknowledged bytes of this end
	tries   int
	timer   int // number of the latest retransmission timer
}

func (s *pathSite) startEndpoint(id uint64, service string, place int) *pathEndpoint {
	v := &pathEndpoint{
		s: s, id: id, service: service, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(place + 1)}), 80), domain: string(rune('a' + place%2)),
		startedAt: s.now.Milliseconds(), state: registry.Ready, flows: map[netip.AddrPort]*served{},
	}
	s.endpoints, s.running[v.address] = append(s.endpoints, v), v
	var reports func()
	reports = func() {
		if !v.ended {
			v.report()
			s.after(simReportInterval, reports)
		}
	}
	s.after(time.Duration(s.rng.IntN(100))*time.Millisecond, reports)
	return v
}

func (v *pathEndpoint) asReport() registry.Endpoint {
	return registry.Endpoint{
		ID: v.id, Name: fmt.Sprint("i-", v.id), StartedAtMs: v.startedAt, Seq: v.seq, Service: v.service, Address: v.address, Domain: v.domain, Slots: 2, State: v.state,
	}
}

func (v *pathEndpoint) report() {
	if !v.mute {
		v.seq++
		v.s.report(v.asReport())
	}
}

// drain does what an endpoint does before a planned end. Its removal report names its incarnation or not, and may be late.
func (v *pathEndpoint) drain(namesIncarnation bool, late time.Duration) {
	v.state = registry.Draining
	v.report()
	v.s.after(simDrainTime+time.Second, func() {
		if v.ended {
			return
		}
		v.end()
		removal := registry.Endpoint{ID: v.id, State: registry.Gone}
		if namesIncarnation {
			removal.StartedAtMs = v.startedAt
		}
		v.s.after(late, func() { v.s.report(removal) })
	})
}

func (v *pathEndpoint) end() {
	v.ended, v.flows = true, nil
	if v.s.running[v.address] == v {
		delete(v.s.running, v.address)
	}
}

// isSound reports whether nothing has disturbed the endpoint lately.
func (v *pathEndpoint) isSound() bool {
	return !v.ended && !v.mute && (v.mutedAt == 0 || v.s.now-v.mutedAt > 4*time.Second)
}

func (v *pathEndpoint) receive(p affinity.Packet, token uint32) {
	if v.mute || v.ended {
		return
	}
	v.s.delivered(v, p)
	f := v.flows[p.Caller]
	if f != nil {
		f.echo = token
	}
	switch {
	case p.Flags&affinity.SYN != 0:
		if f == nil || f.next != p.Seq+1 {
			f = &served{peer: p.Caller, first: v.s.rng.Uint32(), next: p.Seq + 1, echo: token}
			f.sent = f.first + 1
			v.flows[p.Caller] = f
		}
		if !f.open {
			v.answerFirst(f)
		}
	case f == nil:
		v.send(simReply{from: v, flags: affinity.RST, seq: p.Ack, echo: token}, p.Caller)
	case p.Flags&affinity.RST != 0 || p.Flags&affinity.FIN != 0:
		delete(v.flows, p.Caller)
	case !f.open && p.Ack != f.first+1: // of a flow that is not open here
	default:
		v.receiveLater(f, p)
	}
}

func (v *pathEndpoint) answerFirst(f *served) {
	v.send(simReply{from: v, flags: affinity.SYN | affinity.ACK, seq: f.first, ack: f.next, echo: f.echo}, f.peer)
	v.retry(f, func() { v.answerFirst(f) })
}

// retry calls again after 200 ms, 400 ms and so on, until something else is sent on the flow or it has ended.
func (v *pathEndpoint) retry(f *served, again func()) {
	f.timer++
	timer, wait := f.timer, min(200*time.Millisecond<<f.tries, 1600*time.Millisecond)
	v.s.after(wait, func() {
		if v.ended || v.flows[f.peer] != f || f.timer != timer {
			return
		}
		if f.tries++; f.tries > simMaxRetries {
			delete(v.flows, f.peer)
			return
		}
		again()
	})
}

func (v *pathEndpoint) receiveLater(f *served, p affinity.Packet) {
	if !f.open {
		f.open, f.tries = true, 0
		f.timer++
		v.s.opened(v, f.peer)
	}
	if f.pending > 0 && p.Ack == f.sent {
		f.pending, f.tries = 0, 0
		f.timer++
	}
	switch {
	case p.Length == 0:
	case p.Seq != f.next:
		v.send(simReply{from: v, flags: affinity.ACK, seq: f.sent, ack: f.next, echo: f.echo}, f.peer) // a copy
	default:
		f.next += uint32(p.Length)
		if !v.s.allowed[v.service] {
			v.s.fail("endpoint %d of %s runs a request of a route that never allowed it", v.id, v.service)
		}
		v.s.after(simWork, func() {
			if !v.ended && v.flows[f.peer] == f {
				f.pending = v.s.traffic.answerBytes
				f.sent += uint32(f.pending)
				v.answer(f)
			}
		})
	}
}

func (v *pathEndpoint) answer(f *served) {
	v.send(simReply{from: v, flags: affinity.ACK, seq: f.sent - uint32(f.pending), ack: f.next, echo: f.echo, length: f.pending}, f.peer)
	v.retry(f, func() { v.answer(f) })
}

func (v *pathEndpoint) send(r simReply, to netip.AddrPort) {
	if v.mute {
		return
	}
	v.s.transit(func() {
		if f := v.s.flows[to]; f != nil {
			f.receive(r)
		}
	})
}

// pathFlow is a flow at its caller.
type pathFlow struct {
	s            *pathSite
	self         netip.AddrPort
	startedAt    time.Duration
	first        uint32
	seq          uint32 // of the next byte
	peer         uint32 // sequence number of the next byte of the endpoint
	acked        uint32
	echo         uint32
	open, closed bool
	left         int // requests to send
	tries        int // earlier flows for the same requests
	attempt      int // number of the latest transmission timer

	owner   *pathEndpoint   // at which it is open
	reached map[uint64]bool // endpoints that have got its first packet
}

// openFlow opens a flow of a new caller, or of one that has had no answer.
func (s *pathSite) openFlow(port uint16, requests, tries int) {
	self := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), port)
	if old := s.flows[self]; old != nil && !old.closed {
		return
	}
	f := &pathFlow{s: s, self: self, startedAt: s.now, first: s.rng.Uint32(), left: requests, tries: tries, reached: map[uint64]bool{}}
	f.seq = f.first + 1
	s.flows[self] = f
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		s.after(at, func() {
			if !f.open && !f.closed {
				f.send(affinity.Packet{Flags: affinity.SYN, Seq: f.first, Retransmits: uint32(copies)})
			}
		})
	}
	s.after(simOpenLimit, func() {
		if !f.open && !f.closed {
			f.again("no answer")
		}
	})
}

// again ends a flow that never opened and opens another one from another port.
func (f *pathFlow) again(why string) {
	f.closed = true
	if f.tries >= 2 {
		if f.s.calm {
			f.s.fail("caller %v gives up after three flows (%s) though nothing but planned work happened", f.self, why)
		}
		return
	}
	f.s.after(2*time.Millisecond, func() { f.s.openFlow(f.self.Port()+1000, f.left, f.tries+1) })
}

func (f *pathFlow) send(p affinity.Packet) {
	p.Caller, p.Service, p.Token = f.self, simRoute, f.echo
	if h := f.s.hostOf(f.self); h != nil {
		f.s.transit(func() { h.receive(p) })
	}
}

func (f *pathFlow) receive(r simReply) {
	if f.closed || r.flags&affinity.RST == 0 && r.ack-f.first > 1<<20 { // of an earlier flow of the port
		return
	}
	if r.flags&affinity.RST != 0 {
		switch {
		case !f.open:
			f.again("reset by an endpoint")
		case f.owner != nil && f.owner != r.from && f.owner.isSound():
			f.s.fail("the flow of %v, open at endpoint %d, gets a reset of endpoint %d", f.self, f.owner.id, r.from.id)
		default:
			f.closed = true
		}
		return
	}
	f.echo = r.echo
	switch {
	case r.flags&affinity.SYN != 0 && !f.open && r.ack == f.first+1:
		f.open, f.peer, f.acked = true, r.seq+1, r.ack
		f.send(affinity.Packet{Flags: affinity.ACK, Seq: f.seq, Ack: f.peer})
		f.request()
	case r.flags&affinity.SYN != 0 || !f.open:
	case r.length > 0:
		isNew := r.seq == f.peer
		if isNew {
			f.peer, f.acked = f.peer+uint32(r.length), r.ack
		}
		if r.seq+uint32(r.length) == f.peer {
			f.send(affinity.Packet{Flags: affinity.ACK, Seq: f.seq, Ack: f.peer})
		}
		if isNew {
			f.attempt++
			f.s.after(f.s.traffic.drawIdle(f.s.rng), f.request)
		}
	case r.seq == f.peer:
		f.acked = r.ack
	}
}

// receiveReset takes a reset of the system. The flow is that of the caller's port when it was sent, and wasOpen says whether it was open then.
func (s *pathSite) receiveReset(p affinity.Packet, sentFor *pathFlow, wasOpen bool) {
	f := s.flows[p.Caller]
	switch {
	case f == nil || f.closed:
	case !f.open:
		f.again("reset by the system")
	case f.peer-p.Ack+simResetWindow > 2*simResetWindow && f == sentFor && !wasOpen: // it has crossed the answer of the endpoint
	case f.peer-p.Ack+simResetWindow > 2*simResetWindow:
		s.fail("the flow of %v is open and gets a packet of the system's own that is no reset of it: its number is %d from the caller's acknowledgement", f.self, int32(p.Ack-f.peer))
	case f.owner != nil && f.owner.isSound() && f.startedAt < s.now-10*time.Millisecond:
		s.fail("the flow of %v, open at endpoint %d, which serves, is reset", f.self, f.owner.id)
	default:
		f.closed = true
	}
}

// request sends the next request, or ends the flow after the last one.
func (f *pathFlow) request() {
	if f.closed {
		return
	}
	if f.left == 0 {
		f.closed = true
		f.send(affinity.Packet{Flags: affinity.ACK | affinity.FIN, Seq: f.seq, Ack: f.peer})
		return
	}
	f.left--
	f.seq += 100
	f.attempt++
	f.transmit(f.attempt, f.seq-100, 200*time.Millisecond)
	attempt := f.attempt
	f.s.after(simBudget, func() {
		if f.attempt == attempt && !f.closed {
			f.closed = true
			if f.s.calm && f.owner != nil && f.owner.isSound() {
				f.s.fail("a request on the flow of %v, open at endpoint %d, has no answer though nothing but planned work happened", f.self, f.owner.id)
			}
		}
	})
}

func (f *pathFlow) transmit(attempt int, seq uint32, wait time.Duration) {
	if f.closed || f.attempt != attempt || f.acked == f.seq {
		return
	}
	f.send(affinity.Packet{Flags: affinity.ACK, Seq: seq, Ack: f.peer, Length: 100})
	f.s.after(wait, func() { f.transmit(attempt, seq, min(2*wait, 1600*time.Millisecond)) })
}

// opened records at which endpoint a flow is open.
func (s *pathSite) opened(v *pathEndpoint, caller netip.AddrPort) {
	if f := s.flows[caller]; f != nil && f.owner == nil {
		f.owner = v
	}
}

// delivered checks a packet that has reached an endpoint.
func (s *pathSite) delivered(v *pathEndpoint, p affinity.Packet) {
	f := s.flows[p.Caller]
	switch {
	case f == nil || p.Seq-f.first > 1<<20: // of an earlier flow of the port
	case p.Flags&affinity.SYN != 0:
		if f.reached[v.id] = true; len(f.reached) > 1 {
			s.fail("the first packet of %v has reached endpoints %v", f.self, f.reached)
		}
		if !s.allowed[v.service] {
			s.fail("a flow of a route that never allowed %s reaches endpoint %d", v.service, v.id)
		}
	case f.owner != nil && f.owner != v && f.owner.isSound():
		s.fail("a packet of the flow of %v, open at endpoint %d, reaches endpoint %d", f.self, f.owner.id, v.id)
	}
}
