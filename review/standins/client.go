package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Times of a client. Its time budget is that of the requests of the route.
const (
	openLimit     = 1400 * time.Millisecond // until a flow must be open
	timeBudget    = 2000 * time.Millisecond
	retransmit    = 200 * time.Millisecond // doubles with each copy
	reopenDelay   = 50 * time.Millisecond
	packetsQueued = 64
)

// client opens one flow after the other and sends requests on it, with pauses.
type client struct {
	clientLoad
	site    *site
	number  int
	zone    string
	ip      netip.Addr
	port    uint16
	socket  *net.UDPConn
	packets chan *packet
	sent    int
}

func (c *client) listen() error {
	var err error
	c.packets = make(chan *packet, packetsQueued)
	c.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, c.site.ports.packets)))
	return err
}

func (c *client) receive() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, err := c.socket.Read(buf)
		if err != nil {
			return
		}
		if p := decodePacket(buf[:n]); p != nil {
			select {
			case c.packets <- p:
			default: // lost, as on a full link
			}
		}
	}
}

func (c *client) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = c.socket.Close() })
	defer stop()
	go c.receive()
	time.Sleep(time.Duration(rand.Int64N(int64(c.pause()) + 1)))
	for ctx.Err() == nil {
		c.port++
		f := &clientFlow{client: c, from: netip.AddrPortFrom(c.ip, c.port), seq: rand.Uint32()}
		if f.open(ctx) {
			f.use(ctx)
		}
		time.Sleep(reopenDelay)
		if c.oneShot {
			time.Sleep(c.pause())
		}
	}
}

// clientFlow is one flow of a client.
type clientFlow struct {
	*client
	from     netip.AddrPort
	seq      uint32 // of the next byte to send
	expected uint32 // of the endpoint's next byte
	echo     uint32
	lastSent time.Time
	ended    bool
}

func (f *clientFlow) key() flowID { return flowID{f.from, f.route.Address} }

func (f *clientFlow) send(flags byte, ack uint32, data []byte) {
	p := packet{seq: f.seq, ack: ack, echo: f.echo, from: f.from, to: f.route.Address, flags: flags, data: data}
	f.lastSent = time.Now()
	// A packet that is not sent counts as lost.
	_, _ = f.socket.WriteToUDPAddrPort(p.encode(), f.site.routers[f.zone].pick(p.from, p.to))
}

// next returns the next packet of the flow, or nil at the deadline.
func (f *clientFlow) next(ctx context.Context, deadline time.Time) *packet {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		select {
		case p := <-f.packets:
			if p.to == f.from && p.from == f.route.Address {
				return p
			}
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}

// open sends the opening packet and its copies, and reports whether an endpoint has answered.
func (f *clientFlow) open(ctx context.Context) bool {
	start := time.Now()
	for copies, at := range []time.Duration{0, retransmit, 3 * retransmit, openLimit} {
		for p := f.next(ctx, start.Add(at)); p != nil; p = f.next(ctx, start.Add(at)) {
			if p.flags&flagRST != 0 {
				f.site.record.line("client %d: %s refused by a reset", f.number, f.from)
				return false
			}
			if p.flags&flagSYN != 0 {
				f.seq, f.expected, f.echo = f.seq+1, p.seq+1, p.echo
				f.send(flagACK, f.expected, nil)
				return true
			}
		}
		if at < openLimit {
			f.send(flagSYN, uint32(copies), nil)
		}
	}
	if ctx.Err() == nil {
		f.site.record.line("client %d: %s was not opened", f.number, f.from)
	}
	return false
}

// use sends requests on the flow until it ends.
func (f *clientFlow) use(ctx context.Context) {
	for start := time.Now(); ctx.Err() == nil && !f.ended && time.Since(start) < f.flowAge; {
		f.request(ctx)
		if f.oneShot || f.ended {
			break
		}
		for end := time.Now().Add(f.pause()); !f.ended; {
			p := f.next(ctx, end)
			if p == nil {
				break
			}
			f.handleControl(p)
		}
	}
	if !f.ended {
		f.send(flagFIN|flagACK, f.expected, nil)
	}
	f.site.flowClosed(f.key())
}

// handleControl handles a packet that is no awaited answer.
func (f *clientFlow) handleControl(p *packet) {
	switch {
	case p.flags&flagRST != 0:
		f.ended = true
		f.site.flowReset(f, p.fromSystem())
	case p.flags&flagFIN != 0:
		f.ended = true
		f.send(flagFIN|flagACK, p.seq+uint32(len(p.data))+1, nil)
	case len(p.data) == 0:
		f.echo = p.echo
	}
}

// request sends a request and repeats its packet until the answer has come or the time budget is used up.
func (f *clientFlow) request(ctx context.Context) {
	f.sent++
	id := fmt.Sprintf("r-%d-%d", f.number, f.sent)
	body := "name " + id
	data := []byte(fmt.Sprintf("POST /names HTTP/1.1\r\nHost: shop\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body))
	f.site.record.line("client %d in %s sends %s on %s", f.number, f.zone, id, f.from)
	start, wait := time.Now(), retransmit
	f.send(flagACK, f.expected, data)
	for copyAt := start.Add(wait); ctx.Err() == nil && time.Since(start) < timeBudget; {
		p := f.next(ctx, copyAt)
		switch {
		case p == nil:
			f.send(flagACK, f.expected, data)
			wait *= 2
			copyAt = copyAt.Add(wait)
		case len(p.data) > 0 && p.seq == f.expected:
			f.expected += uint32(len(p.data))
			f.seq, f.echo = f.seq+uint32(len(data)), p.echo
			f.site.record.line("client %d got the answer to %s from %s", f.number, id, headerValue(string(p.data), "X-Server-Stamp"))
			if p.flags&flagFIN != 0 {
				f.ended = true
				f.send(flagFIN|flagACK, f.expected+1, nil)
			} else {
				f.send(flagACK, f.expected, nil)
			}
			return
		default:
			if f.handleControl(p); f.ended {
				f.site.record.line("client %d: %s ended without an answer", f.number, id)
				return
			}
		}
	}
	if ctx.Err() == nil {
		f.site.record.line("client %d: no answer to %s in its time budget", f.number, id)
	}
	f.ended = true
	f.send(flagRST, f.expected, nil)
}

// flowTable knows at which endpoints the flows are open.
type flowTable struct {
	mu    sync.Mutex
	flows map[flowID]openFlow
}

type openFlow struct {
	holder   *incarnation
	openedAt time.Time
}

func (s *site) flowOpened(key flowID, holder *incarnation) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	s.table.flows[key] = openFlow{holder, time.Now()}
}

func (s *site) flowClosed(key flowID) {
	s.table.mu.Lock()
	defer s.table.mu.Unlock()
	delete(s.table.flows, key)
}

// flowReset judges a reset of a flow by the rule FLOW: it is broken if the load balancer sent the reset while
// the flow's endpoint lives, unless the flow is old or idle for long. The case gives further excuses.
func (s *site) flowReset(f *clientFlow, fromSystem bool) {
	s.table.mu.Lock()
	open, ok := s.table.flows[f.key()]
	s.table.mu.Unlock()
	now := time.Now()
	if !ok {
		s.record.line("client %d: reset on %s, which is not open", f.number, f.from)
		return
	}
	lives := open.holder.running() == open.holder
	age, idle := now.Sub(open.openedAt), now.Sub(f.lastSent)
	s.record.line("client %d in %s: reset on %s, open at %s of %s for %.1f s, idle for %.1f s, endpoint lives: %t, sent by the system: %t",
		f.number, f.zone, f.from, open.holder.name, open.holder.service, age.Seconds(), idle.Seconds(), lives, fromSystem)
	if !fromSystem || !lives || age >= flowMax || idle >= idleTimeout {
		return
	}
	if excuse := s.excuse(open.holder, now); excuse != "" {
		s.record.line("client %d: this reset does not count: %s", f.number, excuse)
		return
	}
	s.record.breakRule("FLOW", "client %d in %s got a reset of the system on a flow that is open at the living endpoint %s", f.number, f.zone, open.holder.name)
}
