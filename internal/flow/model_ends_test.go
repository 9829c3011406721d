package flow_test

import (
	"fmt"
	"net/netip"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
)

// server is a backend server of the model.
type server struct {
	w      *world
	id     directory.EndpointID
	addr   netip.AddrPort
	domain string
	ready  bool
	seen   map[int]bool           // connections that it accepted
	deaf   map[int]bool           // connections whose state it lost
	conns  map[netip.AddrPort]int // latest connection of each caller
}

func (w *world) startServer(id directory.EndpointID) *server {
	ep, _ := w.log.head.Endpoint(id)
	s := &server{
		w: w, id: id, addr: ep.Address, domain: ep.Domain, ready: true,
		seen: map[int]bool{}, deaf: map[int]bool{}, conns: map[netip.AddrPort]int{},
	}
	w.servers[ep.Address] = s
	return s
}

// receive checks a packet that reached an endpoint, and responds to it.
func (s *server) receive(g segment, meant directory.EndpointID) {
	w := s.w
	if meant != s.id {
		return // another process replaced the target while the packet was in transit
	}
	ep, _ := w.log.head.Endpoint(s.id)
	if svc, ok := w.log.head.ServiceByAddress(g.p.Service, document.TCP); ok && svc.Name != ep.Service {
		w.violate("a packet of service %s reached endpoint %d of service %s", svc.Name, s.id, ep.Service)
	}
	first := g.p.Flags&(flow.SYN|flow.ACK) == flow.SYN
	if first {
		if other, ok := w.accepted[g.conn]; ok && other != s.id {
			w.violate("connection %d reached endpoints %d and %d", g.conn, other, s.id)
			return
		}
		w.accepted[g.conn] = s.id
		s.seen[g.conn] = true
		s.conns[g.p.Caller] = max(s.conns[g.p.Caller], g.conn)
	} else if !s.seen[g.conn] {
		w.violate("endpoint %d got a packet of connection %d, which it did not accept (accepted by endpoint %v)", s.id, g.conn, w.accepted[g.conn])
		return
	}
	if s.deaf[g.conn] || s.conns[g.p.Caller] != g.conn || g.p.Flags&flow.RST != 0 {
		return
	}
	reply := flow.ACK
	if first {
		reply |= flow.SYN
	}
	if g.p.Flags&flow.FIN != 0 {
		reply |= flow.FIN
	}
	if first || g.p.PayloadLen > 0 || g.p.Flags&flow.FIN != 0 {
		answer := segment{conn: g.conn, from: s.id, p: flow.Packet{
			Direction: flow.FromBackend, Protocol: flow.ProtocolTCP, Flags: reply, Caller: g.p.Caller, Backend: s.addr,
			PayloadLen: g.p.PayloadLen,
		}}
		w.send(w.spray(s.domain), s.domain, answer)
	}
}

// caller is a caller address and port, which has one connection at a time.
type caller struct {
	w        *world
	addr     netip.AddrPort
	service  netip.AddrPort
	domain   string // failure domain in which its packets enter the site
	conn     int    // number of the current connection
	open     bool
	ended    bool
	reset    bool
	waiting  int           // packets since the last response
	answered int           // responses
	last     time.Duration // time of the last response
	retry    time.Duration // interval until the next SYN
	finish   time.Duration // when to close the connection; 0 means never
	idle     bool          // sends nothing
}

// connect adds a caller and opens its first connection.
func (w *world) connect(i, service int) *caller {
	c := &caller{w: w, addr: callerAt(i), service: modelService(service, 0).Address, domain: fmt.Sprint("d", i%3)}
	w.callers = append(w.callers, c)
	c.begin()
	return c
}

// begin opens a new connection from the same port.
func (c *caller) begin() {
	c.w.conns++
	c.conn, c.open, c.ended, c.reset, c.waiting, c.retry, c.finish = c.w.conns, false, false, false, 0, time.Second, 0
	c.step(c.conn)
}

func (c *caller) send(flags uint8, payload int) {
	s := segment{conn: c.conn, p: flow.Packet{
		Protocol: flow.ProtocolTCP, Flags: flags, Caller: c.addr, Service: c.service, Sequence: uint32(c.conn), PayloadLen: payload,
	}}
	c.w.send(c.w.spray(c.domain), c.domain, s)
}

// step sends the next packet of a connection and schedules the following one.
func (c *caller) step(conn int) {
	if conn != c.conn || c.ended {
		return
	}
	wait := 200*time.Millisecond + time.Duration(c.w.rng.IntN(300))*time.Millisecond
	switch {
	case !c.open:
		c.send(flow.SYN, 0)
		wait = c.retry
		c.retry = min(2*c.retry, 4*time.Second)
	case c.finish != 0 && c.w.now >= c.finish:
		c.waiting++
		c.send(flow.FIN|flow.ACK, 0)
	case !c.idle:
		c.waiting++
		c.send(flow.ACK, 100)
	}
	c.w.after(wait, func() { c.step(conn) })
}

// toCaller checks a response and delivers it to its caller.
func (w *world) toCaller(s segment, from netip.AddrPort) {
	for _, c := range w.callers {
		if c.addr != s.p.Caller || c.service != from {
			continue
		}
		if own, ok := w.accepted[c.conn]; ok && own != s.from && c.open {
			w.violate("connection %d of endpoint %d got a response from endpoint %d", c.conn, own, s.from)
		}
		if s.conn == c.conn && !c.ended {
			c.receive(s)
		}
	}
}

func (c *caller) receive(s segment) {
	c.w.stats.answered++
	c.answered++
	c.waiting, c.last = 0, c.w.now
	if !c.open && s.p.Flags&flow.SYN != 0 {
		c.open = true
		c.step(c.conn)
	}
	if s.p.Flags&flow.FIN != 0 {
		c.ended = true
		c.send(flow.ACK, 0)
	}
}

// callerReset ends a connection. An open connection ignores the reset that answers a
// retransmitted first packet, because the sequence number is outside its window.
func (w *world) callerReset(addr netip.AddrPort, _ flow.Outcome, toFirst bool) {
	for _, c := range w.callers {
		if c.addr == addr && !c.ended && (!toFirst || !c.open) {
			w.stats.resets++
			c.ended, c.reset = true, true
		}
	}
}
