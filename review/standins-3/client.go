package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	openLimit      = 1400 * time.Millisecond
	firstRepeat    = 200 * time.Millisecond
	longestRepeat  = 1600 * time.Millisecond
	timeBudget     = 1500 * time.Millisecond
	resetWindow    = 76_800 // a reset of the system's own on an open flow is within this distance of the client's last ack
	packetsWaiting = 64
)

// clientMachine is a machine of clients: one socket for all its flows, which differ in their ports.
type clientMachine struct {
	s      *site
	ip     netip.Addr
	socket *net.UDPConn
	route  func(from, to netip.AddrPort) netip.AddrPort // the node that the routers select for a packet

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

func (s *site) newClientMachine(number int, route func(from, to netip.AddrPort) netip.AddrPort) (*clientMachine, error) {
	ip := netip.AddrFrom4([4]byte{127, byte(s.network), 5, byte(number + 1)})
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, packetPort)))
	if err != nil {
		return nil, err
	}
	m := &clientMachine{s: s, ip: ip, socket: socket, route: route, port: 20000, flows: map[uint16]*flow{}}
	go m.read()
	return m, nil
}

func (m *clientMachine) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := m.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p := decode(buf[:n])
		if p == nil || p.to.Addr() != m.ip {
			continue
		}
		m.mu.Lock()
		f := m.flows[p.to.Port()]
		m.mu.Unlock()
		if f != nil {
			select {
			case f.arrived <- p:
			default: // a lost packet
			}
		}
	}
}

// flow is a flow of a client.
type flow struct {
	m       *clientMachine
	name    string
	from    netip.AddrPort
	to      netip.AddrPort
	seq     uint32 // of the next byte
	ack     uint32 // the next byte of the server
	echo    uint32
	isOpen  bool
	arrived chan *packet
	// onReset is called for a reset of the system's own that an open flow accepts.
	onReset func(f *flow)
	// onForeignReset is called for a packet of the system's own on an open flow that is no reset, because its number is not close to the client's last ack.
	onForeignReset func(f *flow, distance int32)
}

func (m *clientMachine) newFlow(name string, to netip.AddrPort, onReset func(*flow)) *flow {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.port++
	f := &flow{m: m, name: name, from: netip.AddrPortFrom(m.ip, m.port), to: to, seq: rand.Uint32(), arrived: make(chan *packet, packetsWaiting), onReset: onReset}
	m.flows[m.port] = f
	return f
}

func (f *flow) close() {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	delete(f.m.flows, f.from.Port())
}

func (f *flow) send(flags byte, ack uint32, data []byte) {
	p := packet{seq: f.seq, ack: ack, echo: f.echo, from: f.from, to: f.to, flags: flags, data: data}
	_, _ = f.m.socket.WriteToUDPAddrPort(p.encode(), f.m.route(f.from, f.to)) // a lost packet
}

// next returns the next packet, or nil at the end of the time.
func (f *flow) next(until time.Time) *packet {
	wait := time.Until(until)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case p := <-f.arrived:
		return p
	case <-timer.C:
		return nil
	}
}

// open opens the flow. It returns the reason if that fails.
func (f *flow) open() error {
	begin := time.Now()
	for attempt, at := range []time.Duration{0, firstRepeat, 3 * firstRepeat, openLimit} {
		for p := f.next(begin.Add(at)); p != nil; p = f.next(begin.Add(at)) {
			if p.flags&flagRST != 0 {
				return fmt.Errorf("reset before it was open, by the system: %t", p.fromSystem())
			}
			if p.flags&flagSYN != 0 {
				f.seq, f.ack, f.echo, f.isOpen = f.seq+1, p.seq+1, p.echo, true
				f.send(flagACK, f.ack, nil)
				return nil
			}
		}
		if at < openLimit {
			f.send(flagSYN, uint32(attempt), nil)
		}
	}
	return fmt.Errorf("no answer to the first packet")
}

// take handles a packet on an open flow. It reports whether the flow has ended.
func (f *flow) take(p *packet) (ended bool) {
	if p.echo != 0 {
		f.echo = p.echo
	}
	switch {
	case p.flags&flagRST != 0:
		if distance := int32(p.seq - f.ack); p.fromSystem() && (distance > resetWindow || distance < -resetWindow) {
			if f.onForeignReset != nil {
				f.onForeignReset(f, distance)
			}
			return false // not a reset of this flow
		}
		if p.fromSystem() && f.onReset != nil {
			f.onReset(f)
		}
		f.isOpen = false
	case p.seq == f.ack:
		f.ack += uint32(len(p.data))
		if p.flags&flagFIN != 0 {
			f.ack++
			f.send(flagFIN|flagACK, f.ack, nil)
			f.isOpen = false
		} else if len(p.data) > 0 {
			f.send(flagACK, f.ack, nil)
		}
	}
	return !f.isOpen
}

// request sends a request and waits for the answer, at most for the time budget. It reports whether it was answered.
func (f *flow) request(text string) (answered bool) {
	f.m.s.detail("%s sends: %s", f.from, text)
	defer func() { f.m.s.detail("%s: %s: answered: %t", f.from, text, answered) }()
	begin, repeat := time.Now(), firstRepeat
	due := begin.Add(repeat)
	data, first, acknowledged := []byte(text), f.ack, false
	f.send(flagACK, f.ack, data)
	for {
		until := begin.Add(timeBudget)
		if !acknowledged && due.Before(until) {
			until = due
		}
		p := f.next(until)
		if p == nil {
			if time.Since(begin) >= timeBudget {
				return false
			}
			f.send(flagACK, f.ack, data)
			repeat = min(2*repeat, longestRepeat)
			due = time.Now().Add(repeat)
			continue
		}
		if p.flags&flagACK != 0 && p.ack == f.seq+uint32(len(data)) && !acknowledged {
			acknowledged = true
			f.seq += uint32(len(data))
		}
		ended := f.take(p)
		if f.ack != first {
			return true
		}
		if ended {
			return false
		}
	}
}

// idle waits without sending, and takes what arrives. It reports whether the flow is still open.
func (f *flow) idle(until time.Time) bool {
	for f.isOpen {
		p := f.next(until)
		if p == nil {
			return true
		}
		f.take(p)
	}
	return false
}
