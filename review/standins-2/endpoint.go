package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	firstRetry    = 200 * time.Millisecond // of an unacknowledged packet; doubles up to lastRetry
	lastRetry     = 1600 * time.Millisecond
	maxRetries    = 8 // after these an endpoint gives up
	workTime      = 39 * time.Millisecond
	slotCount     = 2
	reportTimeout = time.Second
)

// delivery is a packet of a flow that has reached an endpoint.
type delivery struct {
	at       time.Time
	endpoint string
}

// watch collects what endpoints see of the flows, by the address of the client.
type watch struct {
	mu         sync.Mutex
	owner      map[netip.AddrPort]string // endpoint at which the flow is open
	deliveries map[netip.AddrPort][]delivery
	runs       map[string][]string // endpoints that have run a request, by its id
}

func newWatch() *watch {
	return &watch{owner: map[netip.AddrPort]string{}, deliveries: map[netip.AddrPort][]delivery{}, runs: map[string][]string{}}
}

// endpoint is a server of the users: it holds flows and reports itself. One goroutine at a time handles it.
type endpoint struct {
	record        *record
	watch         *watch
	name, service string
	zone          string
	id            uint64
	addr          netip.AddrPort
	born          int64
	controls      []string
	socket        *net.UDPConn
	mu            sync.Mutex
	flows         map[netip.AddrPort]*served
	state         string
	seq           int
	ended         bool
	slots         chan bool // holds a value for each request at work
}

// served is a flow at an endpoint.
type served struct {
	peer    netip.AddrPort // client
	route   netip.AddrPort
	next    uint32 // sequence number of the next byte of the client
	first   uint32 // of this end
	sent    uint32 // of the next byte of this end
	echo    uint32 // last one received
	open    bool
	pending []byte // unacknowledged data of this end
	pendSeq uint32
	tries   int
	timer   *time.Timer
}

func startEndpoint(r *record, w *watch, s *site, number int, service, zone string, controls []string) (*endpoint, error) {
	e := &endpoint{
		record: r, watch: w, name: fmt.Sprintf("i-%08x", 0x7f3a9000+number*0x101), service: service, zone: zone, controls: controls, state: "ready",
		addr: netip.AddrPortFrom(s.address(endpointKind, number), endpointPort), born: time.Now().UnixMilli(), flows: map[netip.AddrPort]*served{},
		id: uint64(0x7f3a9000 + number*0x101), slots: make(chan bool, slotCount),
	}
	var err error
	if e.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.addr)); err != nil {
		return nil, err
	}
	go e.read()
	go e.report()
	return e, nil
}

func (e *endpoint) read() {
	b := make([]byte, 4096)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if id := binary.BigEndian.Uint64(b); id != 0 && id != e.id {
			continue // not the intended endpoint
		}
		if p := decode(bytes.Clone(b[8:n])); p != nil {
			e.handle(p)
		}
	}
}

func (e *endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p.flags&flagSYN == 0 {
		e.watch.mu.Lock()
		e.watch.deliveries[p.from] = append(e.watch.deliveries[p.from], delivery{time.Now(), e.name})
		e.watch.mu.Unlock()
	}
	f := e.flows[p.from]
	if f != nil {
		f.echo = p.echo
	}
	switch {
	case p.flags&flagSYN != 0:
		e.handleFirst(p, f)
	case f == nil:
		e.record.say("endpoint %s: packet of a flow that it does not hold, from %s, seq %d, answers RST", e.name, p.from, p.seq)
		e.send(&served{peer: p.from, route: p.to, echo: p.echo}, p.ack, p.seq, flagRST, nil)
	case p.flags&flagRST != 0:
		e.drop(f)
	case !f.open && p.ack != f.first+1:
		e.record.say("endpoint %s: packet of a flow that is not open here, from %s, seq %d, %d bytes, ignored", e.name, p.from, p.seq, len(p.data))
	default:
		e.handleLater(p, f)
	}
}

func (e *endpoint) handleFirst(p *packet, f *served) {
	if f == nil || f.next != p.seq+1 {
		if f != nil {
			e.drop(f)
		}
		f = &served{peer: p.from, route: p.to, next: p.seq + 1, first: rand.Uint32(), echo: p.echo}
		f.sent = f.first + 1
		e.flows[p.from] = f
		e.retry(f)
	}
	e.record.say("endpoint %s: SYN of %s, copy %d", e.name, p.from, p.ack)
	if !f.open {
		e.send(f, f.first, f.next, flagSYN|flagACK, nil)
	}
}

func (e *endpoint) handleLater(p *packet, f *served) {
	if !f.open {
		f.open, f.tries = true, 0
		e.stopRetry(f)
		e.watch.mu.Lock()
		e.watch.owner[p.from] = e.name
		e.watch.mu.Unlock()
		e.record.say("endpoint %s: flow of %s is open here", e.name, p.from)
	}
	if len(f.pending) > 0 && p.ack == f.pendSeq+uint32(len(f.pending)) {
		f.pending, f.tries = nil, 0
		e.stopRetry(f)
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.next {
		e.send(f, f.sent, f.next, flagACK, nil) // a copy
		return
	}
	f.next += uint32(len(p.data))
	id := requestID(p.data)
	e.watch.mu.Lock()
	e.watch.runs[id] = append(e.watch.runs[id], e.name)
	e.watch.mu.Unlock()
	e.record.say("endpoint %s: runs %s of %s", e.name, id, p.from)
	go e.work(f, id)
}

// work handles a request as soon as a slot is free.
func (e *endpoint) work(f *served, id string) {
	e.slots <- true
	time.Sleep(workTime)
	<-e.slots
	e.answer(f, id)
}

func (e *endpoint) answer(f *served, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.flows[f.peer] != f {
		return
	}
	body := "done " + id
	f.pending = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", e.name, len(body), body)
	f.pendSeq, f.tries = f.sent, 0
	f.sent += uint32(len(f.pending))
	e.send(f, f.pendSeq, f.next, flagACK, f.pending)
	e.retry(f)
}

// retry sends what is not acknowledged again, after 200 ms, 400 ms and so on, at most eight times.
func (e *endpoint) retry(f *served) {
	wait := min(firstRetry<<f.tries, lastRetry)
	f.timer = time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.flows[f.peer] != f || f.open && len(f.pending) == 0 {
			return
		}
		if f.tries++; f.tries > maxRetries {
			e.drop(f)
			return
		}
		if f.open {
			e.send(f, f.pendSeq, f.next, flagACK, f.pending)
		} else {
			e.send(f, f.first, f.next, flagSYN|flagACK, nil)
		}
		e.retry(f)
	})
}

func (e *endpoint) stopRetry(f *served) {
	if f.timer != nil {
		f.timer.Stop()
	}
}

func (e *endpoint) drop(f *served) {
	e.stopRetry(f)
	delete(e.flows, f.peer)
}

func (e *endpoint) send(f *served, seq, ack uint32, flags byte, data []byte) {
	p := packet{seq: seq, ack: ack, echo: f.echo, from: f.route, to: f.peer, flags: flags, data: data}
	_, _ = e.socket.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(f.peer.Addr(), datagramPort)) // a lost packet is sent again
}

// report sends liveness reports. It goes on to the next control host when one does not accept a report.
func (e *endpoint) report() {
	client := &http.Client{Timeout: reportTimeout}
	for host := rand.IntN(len(e.controls)); ; time.Sleep(heartbeatInterval) {
		e.mu.Lock()
		ended, state := e.ended, e.state
		e.seq++
		text := body("report.json.tmpl", reportBody{Service: e.service, Zone: e.zone, State: state, Address: e.addr, Seq: e.seq, Born: e.born})
		e.mu.Unlock()
		if ended {
			return
		}
		for range e.controls {
			if e.call(client, e.controls[host], text) {
				break
			}
			host = (host + 1) % len(e.controls)
		}
	}
}

func (e *endpoint) call(client *http.Client, host string, body []byte) bool {
	r, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/cassiawood/instances/%s", host, e.name), bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// requestID returns the value of X-Request-Id.
func requestID(request []byte) string {
	_, rest, _ := strings.Cut(string(request), "X-Request-Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}
