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
	sim        *simulation
	id         directory.EndpointID
	addr       netip.AddrPort
	domain     string
	ready      bool
	accepted   map[int]bool           // connections that it accepted
	lostState  map[int]bool           // connections whose state it lost
	latestConn map[netip.AddrPort]int // latest connection of each caller
}

func (sim *simulation) startServer(id directory.EndpointID) *server {
	ep, _ := sim.log.head.Endpoint(id)
	s := &server{
		sim: sim, id: id, addr: ep.Address, domain: ep.Domain, ready: true,
		accepted: map[int]bool{}, lostState: map[int]bool{}, latestConn: map[netip.AddrPort]int{},
	}
	sim.servers[ep.Address] = s
	return s
}

// receive checks a packet that reached an endpoint, and responds to it.
func (s *server) receive(g taggedPacket, target directory.EndpointID) {
	sim := s.sim
	if target != s.id {
		return // another process replaced the target while the packet was in transit
	}
	ep, _ := sim.log.head.Endpoint(s.id)
	if svc, ok := sim.log.head.ServiceByAddress(g.p.Service, document.TCP); ok && svc.Name != ep.Service {
		sim.reportViolation("a packet of service %s reached endpoint %d of service %s", svc.Name, s.id, ep.Service)
	}
	first := g.p.Flags&(flow.SYN|flow.ACK) == flow.SYN
	if first {
		if other, ok := sim.accepted[g.conn]; ok && other != s.id {
			sim.reportViolation("connection %d reached endpoints %d and %d", g.conn, other, s.id)
			return
		}
		sim.accepted[g.conn] = s.id
		s.accepted[g.conn] = true
		s.latestConn[g.p.Caller] = max(s.latestConn[g.p.Caller], g.conn)
	} else if !s.accepted[g.conn] {
		sim.reportViolation("endpoint %d got a packet of connection %d, which it did not accept (accepted by endpoint %v)", s.id, g.conn, sim.accepted[g.conn])
		return
	}
	if s.lostState[g.conn] || s.latestConn[g.p.Caller] != g.conn || g.p.Flags&flow.RST != 0 {
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
		answer := taggedPacket{conn: g.conn, from: s.id, p: flow.Packet{
			Direction: flow.FromBackend, Protocol: flow.ProtocolTCP, Flags: reply, Caller: g.p.Caller, Backend: s.addr,
			PayloadLen: g.p.PayloadLen,
		}}
		sim.send(sim.pickHost(s.domain), s.domain, answer)
	}
}

// caller is a caller address and port, which has one connection at a time.
type caller struct {
	sim          *simulation
	addr         netip.AddrPort
	service      netip.AddrPort
	domain       string // failure domain in which its packets enter the site
	conn         int    // number of the current connection
	open         bool
	ended        bool
	reset        bool
	unanswered   int // packets since the last response
	responses    int
	lastResponse time.Duration // time of the last response
	synInterval  time.Duration // interval until the next SYN
	closeAt      time.Duration // when to close the connection; 0 means never
	idle         bool          // sends nothing
}

// connect adds a caller and opens its first connection.
func (sim *simulation) connect(i, service int) *caller {
	c := &caller{sim: sim, addr: callerAt(i), service: modelService(service, 0).Address, domain: fmt.Sprint("d", i%3)}
	sim.callers = append(sim.callers, c)
	c.openConnection()
	return c
}

// openConnection opens a new connection from the same port.
func (c *caller) openConnection() {
	c.sim.connCount++
	c.conn, c.open, c.ended, c.reset, c.unanswered, c.synInterval, c.closeAt = c.sim.connCount, false, false, false, 0, time.Second, 0
	c.sendNext(c.conn)
}

func (c *caller) send(flags uint8, payload int) {
	s := taggedPacket{conn: c.conn, p: flow.Packet{
		Protocol: flow.ProtocolTCP, Flags: flags, Caller: c.addr, Service: c.service, Sequence: uint32(c.conn), PayloadLen: payload,
	}}
	c.sim.send(c.sim.pickHost(c.domain), c.domain, s)
}

// sendNext sends the next packet of a connection and schedules the following one.
func (c *caller) sendNext(conn int) {
	if conn != c.conn || c.ended {
		return
	}
	wait := 200*time.Millisecond + time.Duration(c.sim.rng.IntN(300))*time.Millisecond
	switch {
	case !c.open:
		c.send(flow.SYN, 0)
		wait = c.synInterval
		c.synInterval = min(2*c.synInterval, 4*time.Second)
	case c.closeAt != 0 && c.sim.now >= c.closeAt:
		c.unanswered++
		c.send(flow.FIN|flow.ACK, 0)
	case !c.idle:
		c.unanswered++
		c.send(flow.ACK, 100)
	}
	c.sim.after(wait, func() { c.sendNext(conn) })
}

// deliverToCaller checks a response and delivers it to its caller.
func (sim *simulation) deliverToCaller(s taggedPacket, from netip.AddrPort) {
	for _, c := range sim.callers {
		if c.addr != s.p.Caller || c.service != from {
			continue
		}
		if own, ok := sim.accepted[c.conn]; ok && own != s.from && c.open {
			sim.reportViolation("connection %d of endpoint %d got a response from endpoint %d", c.conn, own, s.from)
		}
		if s.conn == c.conn && !c.ended {
			c.receive(s)
		}
	}
}

func (c *caller) receive(s taggedPacket) {
	c.sim.stats.answered++
	c.responses++
	c.unanswered, c.lastResponse = 0, c.sim.now
	if !c.open && s.p.Flags&flow.SYN != 0 {
		c.open = true
		c.sendNext(c.conn)
	}
	if s.p.Flags&flow.FIN != 0 {
		c.ended = true
		c.send(flow.ACK, 0)
	}
}

// resetCaller ends a connection. An open connection ignores the reset that answers a
// retransmitted first packet, because the sequence number is outside its window.
func (sim *simulation) resetCaller(addr netip.AddrPort, _ flow.Outcome, toFirst bool) {
	for _, c := range sim.callers {
		if c.addr == addr && !c.ended && (!toFirst || !c.open) {
			sim.stats.resets++
			c.ended, c.reset = true, true
		}
	}
}
