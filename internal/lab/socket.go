package lab

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync/atomic"

	"gvisor.dev/gvisor/pkg/tcpip"
	"gvisor.dev/gvisor/pkg/tcpip/header"
	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
	"gvisor.dev/gvisor/pkg/waiter"
)

// errReset is returned when the connection ended by a reset.
var errReset = errors.New("connection was reset")

// socket is a TCP endpoint driven by events, so that one duty serves any number
// of connections. All methods but the notification belong to that duty.
type socket struct {
	endpoint tcpip.Endpoint
	queue    *waiter.Queue
	entry    waiter.Entry
	queued   atomic.Bool // an event is in the duty's inbox, so that it holds at most one per socket
	in       []byte      // received, not yet parsed
	out      []byte      // to be sent when the stack has room
	closed   bool
}

// watch calls notify once for each batch of events until handled is called.
func (s *socket) watch(notify func()) {
	s.entry = waiter.NewFunctionEntry(waiter.ReadableEvents|waiter.WritableEvents|waiter.EventHUp|waiter.EventErr,
		func(waiter.EventMask) { s.signal(notify) })
	s.queue.EventRegister(&s.entry)
}

func (s *socket) signal(notify func()) {
	if s.queued.CompareAndSwap(false, true) {
		notify()
	}
}

// handled allows the next notification; it comes before the events are handled,
// so that a later event is not missed.
func (s *socket) handled() { s.queued.Store(false) }

// receive appends what has arrived to s.in. It returns io.EOF when the peer has
// closed and errReset or another error when the connection is broken.
func (s *socket) receive(limit int) error {
	var chunk [4096]byte
	for len(s.in) <= limit {
		w := tcpip.SliceWriter(chunk[:])
		result, err := s.endpoint.Read(&w, tcpip.ReadOptions{})
		switch err.(type) {
		case nil:
			s.in = append(s.in, chunk[:result.Count]...)
		case *tcpip.ErrWouldBlock:
			return nil
		case *tcpip.ErrClosedForReceive:
			return io.EOF
		case *tcpip.ErrConnectionReset:
			return errReset
		default:
			return stackError(err)
		}
	}
	return fmt.Errorf("peer sent more than %d bytes without a whole message", limit)
}

// send queues b and sends as much as the stack takes.
func (s *socket) send(b []byte) error {
	s.out = append(s.out, b...)
	return s.flush()
}

func (s *socket) flush() error {
	for len(s.out) > 0 {
		n, err := s.endpoint.Write(bytes.NewReader(s.out), tcpip.WriteOptions{})
		s.out = s.out[n:]
		switch err.(type) {
		case nil:
		case *tcpip.ErrWouldBlock:
			return nil
		case *tcpip.ErrConnectionReset:
			return errReset
		default:
			return stackError(err)
		}
	}
	return nil
}

// state returns the TCP state (RFC 9293, 3.3.2) of the endpoint.
func (s *socket) state() tcp.EndpointState { return tcp.EndpointState(s.endpoint.State()) }

// close ends the connection with a FIN.
func (s *socket) close() { s.end(s.endpoint.Close) }

// abort ends the connection with a reset.
func (s *socket) abort() { s.end(s.endpoint.Abort) }

func (s *socket) end(how func()) {
	if s.closed {
		return
	}
	s.closed = true
	s.queue.EventUnregister(&s.entry)
	how()
}

func (s *socket) remote() netip.AddrPort {
	a, err := s.endpoint.GetRemoteAddress()
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(a)
}

func (h *host) newSocket() (*socket, error) {
	queue := &waiter.Queue{}
	endpoint, err := h.stack.NewEndpoint(tcp.ProtocolNumber, header.IPv4ProtocolNumber, queue)
	if err != nil {
		return nil, stackError(err)
	}
	return &socket{endpoint: endpoint, queue: queue}, nil
}

// connect starts a connection; notify tells when it is open or has failed. It
// gets the socket as argument, since it may be called before connect returns.
func (h *host) connect(from netip.Addr, to netip.AddrPort, notify func(s *socket)) (*socket, error) {
	s, err := h.newSocket()
	if err != nil {
		return nil, err
	}
	if err := s.endpoint.Bind(fullAddress(netip.AddrPortFrom(from, 0))); err != nil {
		s.endpoint.Close()
		return nil, fmt.Errorf("bind %s: %s", from, err)
	}
	s.watch(func() { notify(s) })
	switch err := s.endpoint.Connect(fullAddress(to)).(type) {
	case nil, *tcpip.ErrConnectStarted:
		return s, nil
	default:
		s.close()
		return nil, fmt.Errorf("connect %s: %s", to, err)
	}
}

// listenBacklog is the number of connections that wait to be accepted.
const listenBacklog = 1024

func (h *host) listen(at netip.AddrPort, notify func()) (*socket, error) {
	s, err := h.newSocket()
	if err != nil {
		return nil, err
	}
	if err := s.endpoint.Bind(fullAddress(at)); err != nil {
		s.endpoint.Close()
		return nil, fmt.Errorf("bind %s: %s", at, err)
	}
	s.watch(notify)
	if err := s.endpoint.Listen(listenBacklog); err != nil {
		s.close()
		return nil, fmt.Errorf("listen on %s: %s", at, err)
	}
	return s, nil
}

// accept returns the next waiting connection, or nil if there is none.
func (s *socket) accept() *socket {
	endpoint, queue, err := s.endpoint.Accept(nil)
	if err != nil {
		return nil
	}
	return &socket{endpoint: endpoint, queue: queue}
}
