package control

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"

	"cassiawood/internal/changelog"
	"cassiawood/internal/duty"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// memberLink sends the messages of the log to one other control host. The log
// tolerates lost messages, so a message that cannot be sent is dropped, and the
// next one opens a new connection.
type memberLink struct {
	log    *slog.Logger
	link   *wire.Link
	outbox *ring.Ring[changelog.Message]
}

func (l *memberLink) run(ctx context.Context, progress *duty.Progress) error {
	defer l.link.Close()
	for {
		m, err := l.outbox.Get()
		if err != nil {
			return nil
		}
		envelope := &wirepb.Envelope{Body: &wirepb.Envelope_LogMessage{LogMessage: wire.LogMessageToProto(m)}}
		progress.Begin()
		err = l.link.Send(ctx, envelope)
		progress.End()
		if err != nil {
			l.log.Debug("message to control host not sent", "address", l.link.Address(), "error", err)
		}
	}
}

// logOutput passes the output of the log duty to the apply duty and the links.
type logOutput struct {
	applyInbox     *ring.Ring[applyEvent]
	memberOutboxes map[uint64]*ring.Ring[changelog.Message]
}

// Committed passes committed entries to the apply duty.
func (o logOutput) Committed(c replica.Committed) error {
	_, err := o.applyInbox.Put(committedEvent{entries: c.Entries, snapshot: c.Snapshot})
	return err
}

// Status passes a changed role or contact of the log to the apply duty.
func (o logOutput) Status(s changelog.Status) error {
	_, err := o.applyInbox.Put(statusEvent{status: s})
	return err
}

// ReadRefused does nothing, because the operator API confirms contact by the leader's lease.
func (o logOutput) ReadRefused(uint64) error { return nil }

// Send passes a message to the link of its recipient.
func (o logOutput) Send(m changelog.Message) {
	if outbox, ok := o.memberOutboxes[m.To]; ok {
		outbox.Offer(m)
	}
}

// linkServer accepts sessions of control and entry hosts. One goroutine per
// stream reads its envelopes and converts them to events.
type linkServer struct {
	log        *slog.Logger
	listener   net.Listener
	tls        *tls.Config
	logInbox   *ring.Ring[replica.Event]
	applyInbox *ring.Ring[applyEvent]
}

func (s *linkServer) run(ctx context.Context, _ *duty.Progress) error {
	return wire.AcceptSessions(ctx, s.log, s.listener, s.tls, wire.DefaultTimeouts, s.serveSession)
}

func (s *linkServer) serveSession(session *wire.Session) {
	for {
		stream, err := session.Accept()
		if err != nil {
			return
		}
		go s.serveStream(stream)
	}
}

// serveStream reads one stream until it ends and dispatches its envelopes.
func (s *linkServer) serveStream(stream *wire.Stream) {
	defer func() { _ = stream.Close() }()
	out := ring.New[*wirepb.Envelope]("stream-out", streamOutboxCapacity, ring.DropNewest)
	defer out.Close()
	go wire.SendAll(out, stream)
	following := false
	for {
		envelope, err := stream.Receive()
		if err == nil {
			err = s.dispatch(envelope, out, &following)
		}
		if err != nil {
			s.log.Debug("stream ended", "reason", err)
			if following {
				_, _ = s.applyInbox.Put(unfollowEvent{out: out})
			}
			return
		}
	}
}

func (s *linkServer) dispatch(e *wirepb.Envelope, out *ring.Ring[*wirepb.Envelope], following *bool) error {
	switch body := e.GetBody().(type) {
	case *wirepb.Envelope_LogMessage:
		m, err := wire.LogMessageFromProto(body.LogMessage)
		if err != nil {
			return err
		}
		s.logInbox.Offer(replica.Received{Message: m})
		return nil
	case *wirepb.Envelope_FollowRequest:
		*following = true
		r := body.FollowRequest
		_, err := s.applyInbox.Put(followEvent{
			fromIndex: r.GetFromIndex(), host: r.GetHost(), domain: r.GetDomain(), incarnation: r.GetIncarnation(), out: out,
		})
		return err
	case *wirepb.Envelope_Applied:
		a := body.Applied
		_, err := s.applyInbox.Put(acknowledgedEvent{
			host: a.GetHost(), incarnation: a.GetIncarnation(), index: a.GetIndex(),
			sentNs: a.GetSentNs(), out: out,
		})
		return err
	case *wirepb.Envelope_ProposeRequest:
		_, err := s.applyInbox.Put(proposeEvent{request: body.ProposeRequest, out: out})
		return err
	default:
		return fmt.Errorf("unexpected envelope %T", body)
	}
}
