package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	openLimit  = 1400 * time.Millisecond
	timeBudget = 2000 * time.Millisecond // of name-entry
)

// clientHost is an address from which clients open flows.
type clientHost struct {
	record *record
	router *router
	addr   netip.Addr
	socket *net.UDPConn
	mu     sync.Mutex
	flows  map[uint16]*flow
}

func newClientHost(r *record, o *router, addr netip.Addr) (*clientHost, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, datagramPort)))
	if err != nil {
		return nil, err
	}
	h := &clientHost{record: r, router: o, addr: addr, socket: socket, flows: map[uint16]*flow{}}
	go h.read()
	return h, nil
}

func (h *clientHost) read() {
	b := make([]byte, 4096)
	for {
		n, _, err := h.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if p := decode(bytes.Clone(b[:n])); p != nil {
			h.mu.Lock()
			f := h.flows[p.to.Port()]
			h.mu.Unlock()
			if f != nil {
				f.receive(p)
			}
		}
	}
}

// flow is a flow at its client.
type flow struct {
	host       *clientHost
	self       netip.AddrPort
	route      netip.AddrPort
	mu         sync.Mutex
	first      uint32 // sequence number of the SYN
	seq        uint32 // of the next byte
	peer       uint32 // sequence number that the peer's next byte has
	echo       uint32 // last one received on the flow
	open       bool
	reset      bool // a reset has arrived on the open flow
	systemSent bool // that reset came from the system
	losesFirst bool // the network loses the first SYN+ACK
	lost       bool
	acked      uint32
	answers    chan string
	opened     chan struct{}
}

func (h *clientHost) newFlow(port uint16, route netip.AddrPort) *flow {
	f := &flow{host: h, self: netip.AddrPortFrom(h.addr, port), route: route, first: rand.Uint32(), answers: make(chan string, 8), opened: make(chan struct{})}
	f.seq = f.first + 1
	h.mu.Lock()
	h.flows[port] = f
	h.mu.Unlock()
	return f
}

func (f *flow) send(seq, ack uint32, flags byte, data []byte) *machine {
	return f.host.router.send(&packet{seq: seq, ack: ack, echo: f.echo, from: f.self, to: f.route, flags: flags, data: data})
}

// receive handles a packet of the flow. The echo of each of them is the last one received.
func (f *flow) receive(p *packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.host.router.datagrams.Add(1)
	if f.losesFirst && !f.lost && p.flags == flagSYN|flagACK {
		f.lost = true
		f.host.record.say("network: loses the first SYN+ACK for %s, echo %08x", f.self, p.echo)
		return
	}
	if p.flags&flagRST != 0 {
		f.host.record.say("client %s: RST, seq %d, sum 0: %t, flow open: %t", f.self, p.seq, p.sum == 0, f.open)
		if f.open {
			f.reset, f.systemSent = true, p.sum == 0
		}
		return
	}
	f.echo = p.echo
	switch {
	case p.flags == flagSYN|flagACK && !f.open && p.ack == f.first+1:
		f.open, f.peer, f.acked = true, p.seq+1, p.ack
		f.host.record.say("client %s: open, echo %08x", f.self, p.echo)
		f.send(f.seq, f.peer, flagACK, nil)
		close(f.opened)
	case p.flags == flagSYN|flagACK:
		f.host.record.say("client %s: a further SYN+ACK, seq %d, echo %08x", f.self, p.seq, p.echo)
	case f.open && len(p.data) > 0:
		if p.seq == f.peer {
			f.peer += uint32(len(p.data))
			f.acked = p.ack
			f.answers <- string(p.data)
		}
		if p.seq+uint32(len(p.data)) == f.peer {
			f.send(f.seq, f.peer, flagACK, nil)
		}
	case f.open && p.seq == f.peer:
		f.acked = p.ack
	}
}

// connect opens the flow with a SYN and its copies after 200 ms and 600 ms.
func (f *flow) connect() bool {
	limit := time.After(openLimit)
	for copies, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, openLimit} {
		f.mu.Lock()
		if !f.open {
			f.send(f.first, uint32(copies), flagSYN, nil)
		}
		f.mu.Unlock()
		select {
		case <-f.opened:
			return true
		case <-limit:
			return false
		case <-time.After(wait):
		}
	}
	return false
}

// request sends a request and waits for the answer until the time budget ends. It sends the request again after 200 ms,
// 400 ms and so on while it is not acknowledged.
func (f *flow) request(id string) string {
	text := fmt.Appendf(nil, "POST /names HTTP/1.1\r\nHost: desk\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\nab", id)
	f.mu.Lock()
	seq := f.seq
	f.seq += uint32(len(text))
	node := f.send(seq, f.peer, flagACK, text)
	f.host.record.say("client %s: sends %s with echo %08x, router: %s", f.self, id, f.echo, node.name)
	f.mu.Unlock()
	limit := time.After(timeBudget)
	for wait := firstRetry; ; wait = min(2*wait, lastRetry) {
		select {
		case answer := <-f.answers:
			f.host.record.say("client %s: %s is answered", f.self, id)
			return answer
		case <-limit:
			f.host.record.say("client %s: %s has no answer", f.self, id)
			return ""
		case <-time.After(wait):
		}
		f.mu.Lock()
		if f.acked != f.seq && !f.reset {
			node := f.send(seq, f.peer, flagACK, text)
			f.host.record.say("client %s: sends %s again with echo %08x, router: %s", f.self, id, f.echo, node.name)
		}
		f.mu.Unlock()
	}
}

// wasReset reports whether a reset has arrived on the open flow.
func (f *flow) wasReset() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reset
}
