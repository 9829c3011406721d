package main

import (
	_ "embed"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"text/template"
	"time"
)

//go:embed report.json.tmpl
var reportText string

var reportTemplate = template.Must(template.New("report").Parse(reportText))

const (
	reportInterval = 1200 * time.Millisecond
	workTime       = 30 * time.Millisecond
	slotCount      = 2 // requests that are processed at once, as the reports say
	queueLimit     = 8 // requests that wait; further ones are refused and not run
	drainTime      = 3 * time.Second
	maxData        = 1200 // bytes in a packet
)

// server is one incarnation of an endpoint.
type server struct {
	s                *site
	id               uint64
	Service, Address string
	Zone, State      string
	Seq              int
	Born             int64
	socket           *net.UDPConn
	control          int // machine that gets the next report

	mu       sync.Mutex
	flows    map[netip.AddrPort]*serverFlow
	alive    bool
	draining bool
	padding  int // bytes that are added to each answer
	busy     int // slots in use
	queue    []func()
	cut      bool // off from all machines; nothing arrives and nothing leaves
	stop     chan struct{}
}

// serverFlow is a flow at its server.
type serverFlow struct {
	next     uint32 // sequence number of the client's next byte
	seq      uint32 // of the server's next byte
	open     bool   // the end of the handshake has arrived
	finished bool
}

// startServer starts an incarnation with an id, at an address.
func (s *site) startServer(id uint64, service, zone string, address netip.AddrPort) (*server, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	v := &server{
		s: s, id: id, Service: service, Address: address.String(), Zone: zone, State: "ready", Born: time.Now().UnixMilli(), socket: socket,
		flows: map[netip.AddrPort]*serverFlow{}, alive: true, stop: make(chan struct{}),
	}
	go v.read()
	go v.reportAll()
	return v, nil
}

func (v *server) name() string { return fmt.Sprintf("i-%08x", v.id) }

// end ends the incarnation: it neither sends nor takes anything from now on.
func (v *server) end() {
	v.mu.Lock()
	wasAlive := v.alive
	v.alive = false
	v.mu.Unlock()
	if wasAlive {
		close(v.stop)
		_ = v.socket.Close()
	}
}

// holds reports whether the incarnation runs, and whether it holds the client's flow open.
func (v *server) holds(client netip.AddrPort) (alive, open bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.flows[client]
	return v.alive, f != nil && f.open && !f.finished
}

// openFlows returns the number of flows that the incarnation holds open.
func (v *server) openFlows() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	count := 0
	for _, f := range v.flows {
		if f.open && !f.finished {
			count++
		}
	}
	return count
}

func (v *server) read() {
	buf := make([]byte, 2048)
	for {
		n, _, err := v.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if id := binary.BigEndian.Uint64(buf); id != 0 && id != v.id {
			continue
		}
		if p := decode(buf[8:n]); p != nil && !p.fromSystem() && !v.isCut() {
			v.take(p)
		}
	}
}

func (v *server) take(p *packet) {
	v.mu.Lock()
	defer v.mu.Unlock()
	f := v.flows[p.from]
	switch {
	case f != nil && f.finished && p.flags&flagFIN != 0:
		v.send(p, f.seq, f.next, flagACK, nil)
	case p.flags&flagSYN != 0:
		if f == nil || f.next != p.seq+1 {
			f = &serverFlow{next: p.seq + 1, seq: rand.Uint32()}
			v.flows[p.from] = f
		}
		v.send(p, f.seq-1, f.next, flagSYN|flagACK, nil)
	case f == nil || f.finished && len(p.data) > 0:
		if p.flags&flagRST == 0 {
			v.send(p, p.ack, 0, flagRST, nil)
		}
	case p.flags&flagRST != 0:
		delete(v.flows, p.from)
	default:
		if !f.open {
			v.s.detail("flow of %s is open at server %s (born %d)", p.from, v.name(), v.Born)
		}
		f.open = true
		if len(p.data) > 0 {
			v.takeData(p, f)
		}
		if p.flags&flagFIN != 0 && !f.finished {
			f.finished = true
			f.next++
			v.send(p, f.seq, f.next, flagFIN|flagACK, nil)
		}
	}
}

// takeData acknowledges the data at once, and sends the answer after the work. A repeated request is acknowledged again.
func (v *server) takeData(p *packet, f *serverFlow) {
	if p.seq == f.next {
		f.next += uint32(len(p.data))
		request := string(p.data)
		v.accept(p, f, request)
	}
	v.send(p, f.seq, f.next, flagACK, nil)
}

// accept gives a request a slot, lets it wait for one, or refuses it. The mutex is held.
func (v *server) accept(p *packet, f *serverFlow, request string) {
	run := func() {
		time.AfterFunc(workTime, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.s.detail("server %s (born %d) has run: %s", v.name(), v.Born, request)
			v.answer(p, f, append([]byte("answer to "+request), make([]byte, v.padding)...))
			if len(v.queue) == 0 {
				v.busy--
				return
			}
			next := v.queue[0]
			v.queue = v.queue[1:]
			next()
		})
	}
	switch {
	case v.busy < slotCount:
		v.busy++
		run()
	case len(v.queue) < queueLimit:
		v.queue = append(v.queue, run)
	default:
		v.s.detail("server %s (born %d) refuses and has not run: %s", v.name(), v.Born, request)
		v.answer(p, f, []byte("not run: "+request))
	}
}

// answer sends an answer. The mutex is held.
func (v *server) answer(p *packet, f *serverFlow, answer []byte) {
	if !v.alive || f.finished {
		return
	}
	for len(answer) > 0 {
		part := answer[:min(len(answer), maxData)]
		answer = answer[len(part):]
		flags := byte(flagACK)
		if v.draining && len(answer) == 0 { // closes each flow after its next response
			flags |= flagFIN
			f.finished = true
		}
		v.send(p, f.seq, f.next, flags, part)
		f.seq += uint32(len(part))
	}
}

func (v *server) send(p *packet, seq, ack uint32, flags byte, data []byte) {
	if !v.alive || v.cut {
		return
	}
	reply := packet{seq: seq, ack: ack, echo: p.echo, from: p.to, to: p.from, flags: flags, data: data}
	_, _ = v.socket.WriteToUDPAddrPort(reply.encode(), netip.AddrPortFrom(p.from.Addr(), packetPort)) // a lost packet
}

// reportAll reports until the incarnation ends.
func (v *server) reportAll() {
	for {
		v.report()
		select {
		case <-v.stop:
			return
		case <-time.After(reportInterval):
		}
	}
}

// setCut cuts the server off from all machines, or ends that.
func (v *server) setCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
}

func (v *server) isCut() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.cut
}

// report sends one report, to the next machine if one does not acknowledge it. It returns whether one did.
func (v *server) report() bool {
	v.mu.Lock()
	v.Seq++
	var body strings.Builder
	err := reportTemplate.Execute(&body, v)
	v.mu.Unlock()
	return err == nil && v.call(http.MethodPut, body.String())
}

func (v *server) call(method, body string) bool {
	client := &http.Client{Timeout: callTimeout}
	for range controlCount {
		if v.isCut() {
			return false // the call gets no answer
		}
		target := fmt.Sprintf("http://%s/cassiawood/instances/%s", v.s.controlAddress(v.control%controlCount), v.name())
		r, err := http.NewRequest(method, target, strings.NewReader(body))
		if err != nil {
			return false
		}
		response, err := client.Do(r)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			err = errors.Join(err, response.Body.Close())
			if err == nil && response.StatusCode/100 == 2 {
				return true
			}
		}
		v.control++
	}
	return false
}

// shutDown is a planned shutdown: the server says that it drains, serves on for the time that the page asks for, says that it has
// left, and exits.
func (v *server) shutDown() {
	v.mu.Lock()
	v.draining, v.State = true, "draining"
	v.mu.Unlock()
	acknowledged := v.report()
	v.s.note("server %s (born %d) drains, acknowledged: %t", v.name(), v.Born, acknowledged)
	time.Sleep(drainTime + 100*time.Millisecond)
	v.s.note("server %s (born %d) says that it has left with %d flows, acknowledged: %t", v.name(), v.Born, v.openFlows(), v.call(http.MethodDelete, ""))
	v.end()
}
