package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// dialer opens the connections of an endpoint's machine.
type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// endpoint is a server of a service. It may start again under its id, as another incarnation.
type endpoint struct {
	site    *site
	name    string
	id      uint64
	service string
	zone    string
	address netip.AddrPort
	dial    dialer             // nil opens connections as usual
	prepare func(*incarnation) // called before an incarnation starts; may be nil

	mu      sync.Mutex
	current *incarnation
}

// callTimeout is how long an endpoint waits for the answer to a call.
const callTimeout = time.Second

func (s *site) newEndpoint(service, zone string) (*endpoint, error) {
	id := uint64(rand.Uint32())<<8 | uint64(len(s.endpoints)+1)
	e := &endpoint{
		site: s, name: fmt.Sprintf("i-%010x", id), id: id, service: service, zone: zone,
		address: netip.AddrPortFrom(s.ip(endpointKind, len(s.endpoints)), s.ports.endpoints),
	}
	s.endpoints = append(s.endpoints, e)
	return e, nil
}

// running returns the incarnation that runs, or nil.
func (e *endpoint) running() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// incarnation is one start of an endpoint. It knows nothing of earlier ones.
type incarnation struct {
	*endpoint
	born     int64
	socket   *net.UDPConn
	http     *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	isCut    func() bool       // the machine is cut off from the system's machines
	onOpen   func(*packet)     // called for each opening packet that the endpoint takes
	drainAck func(host string) // called for each acknowledged report of the state draining

	mu       sync.Mutex
	flows    map[flowID]*endpointFlow
	draining bool
	leaving  bool   // it sends no more reports
	host     string // where the next report goes
	next     int    // position in the operator's list
	seq      int
}

// flowID names a flow by its two ends, as its client writes them.
type flowID struct{ client, service netip.AddrPort }

type endpointFlow struct {
	open     bool
	closed   bool
	expected uint32 // sequence number of the client's next byte
	seq      uint32 // of the endpoint's next byte
	answer   *packet
}

// start starts an incarnation.
func (e *endpoint) start() error {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", e.address.String())
	if err != nil {
		return err
	}
	i := &incarnation{
		endpoint: e, born: time.Now().UnixMilli(), socket: socket, http: newHTTPClient(callTimeout, e.dial), flows: map[flowID]*endpointFlow{},
		isCut: func() bool { return false }, onOpen: func(*packet) {}, drainAck: func(string) {}, next: rand.IntN(len(e.site.controlHosts())),
	}
	if e.prepare != nil {
		e.prepare(i)
	}
	i.ctx, i.cancel = context.WithCancel(e.site.ctx)
	context.AfterFunc(i.ctx, func() { _, _ = socket.Close(), listener.Close() })
	go i.receive()
	go func() { _ = http.Serve(listener, http.HandlerFunc(i.serveHealth)) }() // ends with the listener
	e.mu.Lock()
	e.current = i
	e.mu.Unlock()
	e.site.record.line("endpoint %s of %s in %s started, born %d", e.name, e.service, e.zone, i.born)
	go i.reportAll()
	return nil
}

// stop ends the incarnation. Its flows are gone.
func (i *incarnation) stop() {
	i.endpoint.mu.Lock()
	i.endpoint.current = nil
	i.endpoint.mu.Unlock()
	i.cancel()
	i.site.record.line("endpoint %s has ended", i.name)
}

func (i *incarnation) serveHealth(w http.ResponseWriter, _ *http.Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// reportAll reports in every interval until the endpoint ends.
func (i *incarnation) reportAll() {
	for i.ctx.Err() == nil && !i.isLeaving() {
		i.report()
		select {
		case <-i.ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

func (i *incarnation) isLeaving() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leaving
}

// report sends a report to one control host after the other until one acknowledges it.
func (i *incarnation) report() {
	i.mu.Lock()
	state := "ready"
	if i.draining {
		state = "draining"
	}
	cold := max(0, 2000-time.Now().UnixMilli()+i.born)
	report := reportBody{
		Service: i.service, Zone: i.zone, Version: "v1", State: state, Address: i.address, ColdMs: cold, Born: i.born,
	}
	i.mu.Unlock()
	for range len(i.site.controlHosts()) + 1 {
		report.Seq = i.nextSeq()
		if host := i.target(); i.call(http.MethodPut, host, report.encode()) {
			if state == "draining" {
				i.drainAck(host)
			}
			return
		}
		i.turnAway()
	}
}

// nextSeq returns the number of the next call.
func (i *incarnation) nextSeq() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.seq++
	return i.seq
}

// target returns the control host for the next call.
func (i *incarnation) target() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.host == "" {
		hosts := i.site.controlHosts()
		i.host = hosts[i.next%len(hosts)]
	}
	return i.host
}

// turnAway makes the next call go to another control host.
func (i *incarnation) turnAway() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.next = slices.Index(i.site.controlHosts(), i.host) + 1
	i.host = ""
}

// call sends a call to a control host and reports whether it was acknowledged.
func (i *incarnation) call(method, host string, body []byte) bool {
	request, err := http.NewRequestWithContext(i.ctx, method, fmt.Sprintf("http://%s/cassiawood/instances/%s", host, i.name), bytes.NewReader(body))
	if err != nil {
		return false
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := i.http.Do(request)
	if err != nil {
		i.site.record.line("endpoint %s: %s at %s: no answer", i.name, method, host)
		return false
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	_ = response.Body.Close()
	i.site.record.line("endpoint %s: %s at %s: status %d %s", i.name, method, host, response.StatusCode, strings.TrimSpace(string(text)))
	var answer struct {
		HeartbeatURL string // the decoder ignores the case of names
	}
	if err != nil || response.StatusCode/100 != 2 {
		return false
	}
	if json.Unmarshal(text, &answer) == nil && answer.HeartbeatURL != "" {
		i.mu.Lock()
		i.host = answer.HeartbeatURL
		i.mu.Unlock()
	}
	return true
}

// drain reports that the endpoint leaves. It goes on serving.
func (i *incarnation) drain() {
	i.mu.Lock()
	i.draining = true
	i.mu.Unlock()
	i.report()
}

// sendRemoval sends the call that ends the registration, to one control host after the other until one
// acknowledges it.
func (i *incarnation) sendRemoval() bool {
	i.mu.Lock()
	i.leaving = true
	i.mu.Unlock()
	for range i.site.controlHosts() {
		if i.call(http.MethodDelete, i.target(), nil) {
			return true
		}
		i.turnAway()
	}
	return false
}

func (i *incarnation) receive() {
	buf := make([]byte, maxPacketBytes)
	for {
		n, err := i.socket.Read(buf)
		if err != nil {
			return
		}
		if n < prefixLength || i.isCut() {
			continue
		}
		intended := binary.BigEndian.Uint64(buf)
		if p := decodePacket(buf[prefixLength:n]); p != nil && (intended == 0 || intended == i.id) {
			i.handle(p)
		}
	}
}

// workTime is how long the endpoint works on a request.
const workTime = 30 * time.Millisecond

func (i *incarnation) handle(p *packet) {
	i.mu.Lock()
	defer i.mu.Unlock()
	key := flowID{p.from, p.to}
	f := i.flows[key]
	switch {
	case p.flags&flagSYN != 0:
		if f == nil || f.expected != p.seq+1 {
			f = &endpointFlow{expected: p.seq + 1, seq: rand.Uint32()}
			i.flows[key] = f
			i.onOpen(p)
		}
		i.send(p, &packet{seq: f.seq - 1, ack: f.expected, flags: flagSYN | flagACK})
	case f == nil:
		i.send(p, &packet{seq: p.ack, flags: flagRST})
	case p.flags&flagRST != 0:
		delete(i.flows, key)
	case p.flags&flagFIN != 0:
		f.closed = true
		i.send(p, &packet{seq: f.seq, ack: p.seq + 1, flags: flagFIN | flagACK})
	case f.closed && len(p.data) > 0:
		i.send(p, &packet{seq: p.ack, flags: flagRST})
	default:
		if !f.open && p.ack == f.seq {
			f.open = true
			i.site.flowOpened(key, i)
		}
		if len(p.data) > 0 {
			i.handleRequest(p, f)
		}
	}
}

// handleRequest runs a request, or sends its answer again. A request fits into one packet.
func (i *incarnation) handleRequest(p *packet, f *endpointFlow) {
	if p.seq != f.expected {
		if f.answer != nil {
			i.send(p, f.answer)
		} else {
			i.send(p, &packet{seq: f.seq, ack: f.expected, flags: flagACK})
		}
		return
	}
	f.expected += uint32(len(p.data))
	f.answer = nil
	id := headerValue(string(p.data), "X-Request-Id")
	i.site.record.line("endpoint %s runs %s", i.name, id)
	time.AfterFunc(workTime, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.ctx.Err() != nil {
			return
		}
		body := "done " + id
		head, flags := "HTTP/1.1 200 OK\r\nX-Server-Stamp: "+i.name+"\r\nX-Request-Id: "+id+"\r\n", byte(flagACK)
		if i.draining {
			head, flags, f.closed = head+"Connection: close\r\n", flagACK|flagFIN, true
		}
		f.answer = &packet{seq: f.seq, ack: f.expected, flags: flags, data: []byte(head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)}
		f.seq += uint32(len(f.answer.data))
		i.send(p, f.answer)
	})
}

// headerValue returns the value of a header of an HTTP message.
func headerValue(message, name string) string {
	_, rest, _ := strings.Cut(message, name+": ")
	value, _, _ := strings.Cut(rest, "\r\n")
	return value
}

// send sends a packet to the client of p, with the echo that p carried.
func (i *incarnation) send(p, answer *packet) {
	if i.isCut() {
		return
	}
	answer.echo, answer.from, answer.to = p.echo, p.to, p.from
	// A packet that is not sent counts as lost.
	_, _ = i.socket.WriteToUDPAddrPort(answer.encode(), netip.AddrPortFrom(p.from.Addr(), i.site.ports.packets))
}
