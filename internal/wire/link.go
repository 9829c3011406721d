package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"

	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

// Link sends envelopes to one address. Send dials if there is no session; if it
// fails, the envelope is lost and the next Send dials again. A Link is not safe for
// concurrent use: only one duty may use it.
type Link struct {
	address   string
	tlsConfig *tls.Config
	timeouts  Timeouts
	session   *Session
	stream    *Stream
}

// NewLink returns a link to address. The first Send opens the connection.
func NewLink(address string, config *tls.Config, t Timeouts) *Link {
	return &Link{address: address, tlsConfig: config, timeouts: t}
}

// Address returns the address given to NewLink.
func (l *Link) Address() string { return l.address }

// Send sends one envelope, dialling first if there is no session.
func (l *Link) Send(ctx context.Context, e *wirepb.Envelope) error {
	if l.stream == nil {
		if err := l.connect(ctx); err != nil {
			return err
		}
	}
	if err := l.stream.Send(e); err != nil {
		l.Close()
		return err
	}
	return nil
}

func (l *Link) connect(ctx context.Context) error {
	session, err := Dial(ctx, l.address, l.tlsConfig, l.timeouts)
	if err != nil {
		return err
	}
	l.session = session
	if l.stream, err = session.Open(); err != nil {
		l.Close()
		return err
	}
	return nil
}

// Connected reports whether the link has a session. The session may have ended since
// the last Send.
func (l *Link) Connected() bool { return l.stream != nil }

// SendAll sends the envelopes that arrive in out until out is closed or the stream fails,
// then closes the stream.
func SendAll(out *ring.Ring[*wirepb.Envelope], stream *Stream) { sendAll(out, stream, stream.Send) }

// SendAllEncoded is like SendAll, for envelopes encoded by Encode.
func SendAllEncoded(out *ring.Ring[[]byte], stream *Stream) { sendAll(out, stream, stream.SendEncoded) }

func sendAll[T any](out *ring.Ring[T], stream *Stream, send func(T) error) {
	defer func() { _ = stream.Close() }()
	for {
		v, err := out.Get()
		if err != nil || send(v) != nil {
			return
		}
	}
}

// Close ends the session; a later Send dials again.
func (l *Link) Close() {
	if l.session != nil {
		_ = l.session.Close()
	}
	l.session, l.stream = nil, nil
}

// acceptRetryInterval is the pause after a temporary failure to accept a connection.
const acceptRetryInterval = 100 * time.Millisecond

// temporaryAcceptErrors are the failures to accept a connection that end by themselves: a lack of file
// descriptors or memory, and connections that were reset before they were accepted.
var temporaryAcceptErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

func isTemporaryAcceptError(err error) bool {
	return slices.ContainsFunc(temporaryAcceptErrors, func(t error) bool { return errors.Is(err, t) })
}

// AcceptSessions accepts sessions until ctx ends and serves each in its own
// goroutine. A session is closed when serve returns or ctx ends.
func AcceptSessions(ctx context.Context, log *slog.Logger, listener net.Listener, config *tls.Config, t Timeouts,
	serve func(*Session),
) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if isTemporaryAcceptError(err) {
				log.Warn("session not accepted, trying again", "error", err)
				time.Sleep(acceptRetryInterval)
				continue
			}
			return fmt.Errorf("accept session: %w", err)
		}
		go serveConn(ctx, log, conn, config, t, serve)
	}
}

func serveConn(ctx context.Context, log *slog.Logger, conn net.Conn, config *tls.Config, t Timeouts, serve func(*Session)) {
	session, err := Accept(conn, config, t)
	if err != nil {
		log.Warn("session refused", "from", conn.RemoteAddr(), "error", err)
		return
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	serve(session)
}
