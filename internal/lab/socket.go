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

// socket is an event-driven TCP endpoint of the user-space stack, so that one duty
// serves any number of connections. Only that duty calls the methods, except
// notifyOnce, which the stack calls.
type socket struct {
	endpoint    tcpip.Endpoint
	queue       *waiter.Queue
	entry       waiter.Entry
	eventQueued atomic.Bool // an event is in the duty's inbox; limits it to one per socket
	received    []byte      // not yet parsed
	unsent      []byte      // to be sent when the stack has room
	closed      bool
}

// watch calls notify when the socket has an event, and then not again until
// allowNotify is called.
func (s *socket) watch(notify func()) {
	s.entry = waiter.NewFunctionEntry(waiter.ReadableEvents|waiter.WritableEvents|waiter.EventHUp|waiter.EventErr,
		func(waiter.EventMask) { s.notifyOnce(notify) })
	s.queue.EventRegister(&s.entry)
}

// notifyOnce calls notify unless an earlier notification is not yet handled.
func (s *socket) notifyOnce(notify func()) {
	if s.eventQueued.CompareAndSwap(false, true) {
		notify()
	}
}

// allowNotify allows the next notification. The duty calls it before it processes an
// event, so that an event during the processing is not missed.
func (s *socket) allowNotify() { s.eventQueued.Store(false) }

// receive appends the bytes that have arrived to s.received. It returns io.EOF when the
// peer has closed the connection, and errReset or another error when it is broken.
func (s *socket) receive(limit int) error {
	var chunk [4096]byte
	for len(s.received) <= limit {
		w := tcpip.SliceWriter(chunk[:])
		result, err := s.endpoint.Read(&w, tcpip.ReadOptions{})
		switch err.(type) {
		case nil:
			s.received = append(s.received, chunk[:result.Count]...)
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
	return fmt.Errorf("peer sent more than %d bytes without a complete message", limit)
}

// send queues b and sends as much as the stack accepts.
func (s *socket) send(b []byte) error {
	s.unsent = append(s.unsent, b...)
	return s.flush()
}

// flush sends as much of the queued bytes as the stack accepts.
func (s *socket) flush() error {
	for len(s.unsent) > 0 {
		n, err := s.endpoint.Write(bytes.NewReader(s.unsent), tcpip.WriteOptions{})
		s.unsent = s.unsent[n:]
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

// state returns the TCP state of the endpoint (RFC 9293, section 3.3.2).
func (s *socket) state() tcp.EndpointState { return tcp.EndpointState(s.endpoint.State()) }

// close ends the connection with a FIN.
func (s *socket) close() { s.closeOnce(s.endpoint.Close) }

// abort ends the connection with a reset.
func (s *socket) abort() { s.closeOnce(s.endpoint.Abort) }

// closeOnce closes the endpoint, with the given function, unless it is closed already.
func (s *socket) closeOnce(closeEndpoint func()) {
	if s.closed {
		return
	}
	s.closed = true
	s.queue.EventUnregister(&s.entry)
	closeEndpoint()
}

func (s *socket) remote() netip.AddrPort {
	a, err := s.endpoint.GetRemoteAddress()
	if err != nil {
		return netip.AddrPort{}
	}
	return addrPort(a)
}

func (t *tcpStack) newSocket() (*socket, error) {
	queue := &waiter.Queue{}
	endpoint, err := t.gvisor.NewEndpoint(tcp.ProtocolNumber, header.IPv4ProtocolNumber, queue)
	if err != nil {
		return nil, stackError(err)
	}
	return &socket{endpoint: endpoint, queue: queue}, nil
}

// connect starts to open a connection; notify is called when it is open or has
// failed, and on later events. notify gets the socket as an argument since it may
// be called before connect returns.
func (t *tcpStack) connect(from netip.Addr, to netip.AddrPort, notify func(s *socket)) (*socket, error) {
	s, err := t.newSocket()
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

// listenBacklog is the number of connections that may wait to be accepted.
const listenBacklog = 1024

// listen opens a listening socket; notify is called when a connection waits.
func (t *tcpStack) listen(at netip.AddrPort, notify func()) (*socket, error) {
	s, err := t.newSocket()
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
