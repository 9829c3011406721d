package wire

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"cassiawood/internal/wire/wirepb"
)

const (
	// maxMessageBytes limits the size of a received envelope. A directory snapshot
	// with 12,000 endpoints fits.
	maxMessageBytes = 64 << 20
)

// Timeouts limit how long a session stays open when the network drops its packets
// without an error.
type Timeouts struct {
	KeepAlive time.Duration // interval between keepalive probes
	Write     time.Duration // limit for writing a frame, and for the answer to a keepalive probe
	Dial      time.Duration // limit for opening a connection, and for a TLS handshake
}

// Sets of timeouts. With ShortTimeouts a dial is retried well within the second that TCP
// waits before it retransmits a lost SYN, so that a host that is back is reached sooner. Its
// dial timeout is above the round-trip time between distant failure domains.
var (
	DefaultTimeouts = Timeouts{KeepAlive: time.Second, Write: 2 * time.Second, Dial: 2 * time.Second}
	ShortTimeouts   = Timeouts{KeepAlive: 500 * time.Millisecond, Write: time.Second, Dial: 400 * time.Millisecond}
)

// Session is a yamux session with one peer process.
type Session struct {
	mux  *yamux.Session
	conn *sessionConn
}

// Stream carries envelopes in order, in both directions. One goroutine may send
// while another receives.
type Stream struct {
	conn net.Conn
	in   *bufio.Reader
	out  *bufio.Writer
}

func (t Timeouts) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // see Session.keepAlive
	c.ConnectionWriteTimeout = t.Write
	c.LogOutput = io.Discard
	return c
}

// Dial opens a session with the process at address. A nil config means plain TCP,
// which the settings allow only on loopback addresses.
func Dial(ctx context.Context, address string, config *tls.Config, t Timeouts) (*Session, error) {
	dialer := &net.Dialer{Timeout: t.Dial}
	conn, err := firstConnection(ctx, redialInterval, func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	})
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	if config != nil {
		conn, err = clientHandshake(ctx, conn, config, t.Dial)
		if err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
	}
	session, err := newSession(conn, t, yamux.Client)
	if err != nil {
		return nil, fmt.Errorf("open session with %s: %w", address, err)
	}
	return session, nil
}

// redialInterval is the time without an answer after which another attempt to open a connection begins.
// TCP sends a lost SYN again after a second only, and a host that is just starting would be reached late.
const redialInterval = 50 * time.Millisecond

// firstConnection returns the first connection that an attempt opens. It begins an attempt in each interval
// until one succeeds or fails, and returns the error of the first one that fails.
func firstConnection(ctx context.Context, interval time.Duration, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	type result struct {
		conn net.Conn
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the other attempts
	results := make(chan result)
	attempt := func() {
		conn, err := dial(ctx)
		select {
		case results <- result{conn, err}:
		case <-ctx.Done():
			if conn != nil {
				_ = conn.Close() // another attempt was faster
			}
		}
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	go attempt()
	for {
		select {
		case r := <-results:
			return r.conn, r.err
		case <-ticker.C:
			go attempt()
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// newSession starts a session on a connection, which it closes if it fails.
func newSession(conn net.Conn, t Timeouts, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*Session, error) {
	s := &Session{conn: &sessionConn{Conn: conn, readEnded: make(chan struct{}), muxEnded: make(chan struct{})}}
	var err error
	if s.mux, err = start(s.conn, t.muxConfig()); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	go s.keepAlive(t.KeepAlive)
	return s, nil
}

// keepAlive closes the connection when the peer does not answer a probe. The keepalive of yamux ends the
// session instead, and until its receive loop has returned, each goroutine that reads a stream then
// runs in a loop without waiting.
func (s *Session) keepAlive(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticker.C:
			if _, err := s.mux.Ping(); err != nil {
				_ = s.conn.Conn.Close() // fails only if it is closed already
				return
			}
		}
	}
}

func clientHandshake(ctx context.Context, conn net.Conn, config *tls.Config, timeout time.Duration) (net.Conn, error) {
	tlsConn := tls.Client(conn, config)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(fmt.Errorf("TLS handshake: %w", err), conn.Close())
	}
	return tlsConn, nil
}

// Accept opens the server side of a session on an accepted connection. A nil config
// means plain TCP.
func Accept(conn net.Conn, config *tls.Config, t Timeouts) (*Session, error) {
	if config != nil {
		conn = tls.Server(conn, config)
	}
	session, err := newSession(conn, t, yamux.Server)
	if err != nil {
		return nil, fmt.Errorf("accept session: %w", err)
	}
	return session, nil
}

// Open opens a stream to the peer.
func (s *Session) Open() (*Stream, error) {
	conn, err := s.mux.Open()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return newStream(conn), nil
}

// Accept waits for a stream that the peer opens.
func (s *Session) Accept() (*Stream, error) {
	conn, err := s.mux.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	return newStream(conn), nil
}

// Close ends the session and all its streams. It closes the connection first, so that the receive loop
// of yamux has returned when the session ends (see keepAlive).
func (s *Session) Close() error {
	err := s.conn.Conn.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	<-s.mux.CloseChan()
	return errors.Join(err, s.mux.Close())
}

// sessionConn is the connection of a session.
type sessionConn struct {
	net.Conn
	readEnded, muxEnded chan struct{} // closed after the first read error, and when yamux ends the session
	readOnce, muxOnce   sync.Once
}

func (c *sessionConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.readOnce.Do(func() { close(c.readEnded) })
	}
	return n, err
}

// Write returns an error only after reading has ended too, because yamux ends the session on a write
// error (see Session.keepAlive).
func (c *sessionConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		_ = c.Conn.Close() // the write error is returned
		select {
		case <-c.readEnded:
		case <-c.muxEnded:
		}
	}
	return n, err
}

// Close is called by yamux when it ends the session.
func (c *sessionConn) Close() error {
	c.muxOnce.Do(func() { close(c.muxEnded) })
	return c.Conn.Close()
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, in: bufio.NewReader(conn), out: bufio.NewWriter(conn)}
}

// Send writes one envelope and flushes it.
func (s *Stream) Send(e *wirepb.Envelope) error {
	_, err := protodelim.MarshalTo(s.out, e)
	if err == nil {
		err = s.out.Flush()
	}
	if err != nil {
		return fmt.Errorf("send %T: %w", e.GetBody(), err)
	}
	return nil
}

// ReceiveWithin is like Receive, but fails after timeout. The deadline stays set, so the
// stream cannot receive after that time.
func (s *Stream) ReceiveWithin(timeout time.Duration) (*wirepb.Envelope, error) {
	if err := s.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, fmt.Errorf("receive: %w", err)
	}
	return s.Receive()
}

// Encode returns an envelope in the form in which Send writes it to a stream, so that
// an envelope for several peers is encoded only once.
func Encode(e *wirepb.Envelope) ([]byte, error) {
	var b bytes.Buffer
	if _, err := protodelim.MarshalTo(&b, e); err != nil {
		return nil, fmt.Errorf("encode %T: %w", e.GetBody(), err)
	}
	return b.Bytes(), nil
}

// SendEncoded writes an envelope encoded by Encode.
func (s *Stream) SendEncoded(frame []byte) error {
	if _, err := s.conn.Write(frame); err != nil {
		return fmt.Errorf("send %d bytes: %w", len(frame), err)
	}
	return nil
}

// Receive waits for the next envelope, which it decompresses if needed.
func (s *Stream) Receive() (*wirepb.Envelope, error) {
	e := &wirepb.Envelope{}
	options := protodelim.UnmarshalOptions{MaxSize: maxMessageBytes}
	if err := options.UnmarshalFrom(s.in, e); err != nil {
		return nil, fmt.Errorf("receive: %w", err)
	}
	e, err := Decompress(e)
	if err != nil {
		return nil, fmt.Errorf("receive: %w", err)
	}
	if e.GetBody() == nil {
		return nil, errors.New("receive: envelope without a body")
	}
	return e, nil
}

// Close ends the stream.
func (s *Stream) Close() error { return s.conn.Close() }

// FrameBytes returns the size of an envelope on a stream in bytes: the message, its length
// prefix and the yamux header, without the overhead of TLS and TCP.
func FrameBytes(e *wirepb.Envelope) int64 {
	const yamuxHeaderBytes = 12 // of a frame
	messageBytes := proto.Size(e)
	return int64(yamuxHeaderBytes + protowire.SizeBytes(messageBytes))
}
