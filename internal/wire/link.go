package wire

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"

	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

// Link sends envelopes to one address. It dials when it has no session, so that an
// envelope that finds none is lost and the next one tries again. It belongs to one duty.
type Link struct {
	address string
	tls     *tls.Config
	limits  Timeouts
	session *Session
	stream  *Stream
}

// NewLink returns a link that is not connected yet.
func NewLink(address string, config *tls.Config, t Timeouts) *Link {
	return &Link{address: address, tls: config, limits: t}
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
	session, err := Dial(ctx, l.address, l.tls, l.limits)
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

// Connected reports whether the link has a session, which may have ended unnoticed.
func (l *Link) Connected() bool { return l.stream != nil }

// Drain sends what is put into out until out is closed or the stream fails, and closes the stream.
func Drain(out *ring.Ring[*wirepb.Envelope], stream *Stream) { drain(out, stream, stream.Send) }

// DrainEncoded is Drain for envelopes that Encode has returned.
func DrainEncoded(out *ring.Ring[[]byte], stream *Stream) { drain(out, stream, stream.SendEncoded) }

func drain[T any](out *ring.Ring[T], stream *Stream, send func(T) error) {
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

// AcceptSessions accepts sessions until ctx ends and serves each on a goroutine
// of its own. The session is closed when serve returns or ctx ends.
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
