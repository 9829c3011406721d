package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"

	"github.com/rcrowley/go-metrics"

	"cassiawood/internal/directory"
	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// peerOutboxCapacity bounds the messages queued for one peer. Batches of records
// are sent again until they are acknowledged, so a dropped one is only delayed.
const peerOutboxCapacity = 1024

// peerTarget is one incarnation of a peer to keep a link to.
type peerTarget struct {
	host        string
	incarnation uint64
	address     string
}

// peerCommand is a value in the inbox of the peer links duty: either the set of
// peers to keep links to, or a message for one of them.
type peerCommand struct {
	targets []peerTarget // nil for a message
	to      string
	message *wirepb.Envelope
}

// peerLinks keeps one outgoing link to each target.
type peerLinks struct {
	log       *slog.Logger
	tls       *tls.Config
	links     map[string]*peerLink
	sentBytes metrics.Counter
	ctx       context.Context // canceled to end the links; set before the duty starts
}

// peerLink sends messages to one incarnation of a peer.
type peerLink struct {
	target    peerTarget
	outbox    *ring.Ring[*wirepb.Envelope]
	link      *wire.Link
	sentBytes metrics.Counter
}

func (p *peerLinks) handle(c peerCommand) error {
	if c.targets != nil {
		p.setTargets(c.targets)
		return nil
	}
	if link, ok := p.links[c.to]; ok {
		link.outbox.Offer(c.message)
	}
	return nil
}

// setTargets closes the links that are not among the targets and opens the missing ones.
func (p *peerLinks) setTargets(targets []peerTarget) {
	wanted := make(map[string]peerTarget, len(targets))
	for _, t := range targets {
		wanted[t.host] = t
	}
	for host, link := range p.links {
		if wanted[host] != link.target {
			link.outbox.Close()
			delete(p.links, host)
		}
	}
	for host, target := range wanted {
		if _, ok := p.links[host]; ok {
			continue
		}
		link := &peerLink{
			target: target, link: wire.NewLink(target.address, p.tls, wire.DefaultTimeouts), sentBytes: p.sentBytes,
			outbox: ring.New[*wirepb.Envelope]("peer-out-"+host, peerOutboxCapacity, ring.DropOldest),
		}
		p.links[host] = link
		go link.run(p.ctx)
	}
}

func (p *peerLinks) close() {
	for _, link := range p.links {
		link.outbox.Close()
	}
}

func (l *peerLink) run(ctx context.Context) {
	defer l.link.Close()
	for {
		e, err := l.outbox.Get()
		if err != nil {
			return
		}
		l.sentBytes.Inc(wire.FrameBytes(e))
		// The engine repeats lost messages, and the next hello dials again.
		_ = l.link.Send(ctx, e)
	}
}

// peerServer accepts the links of other entry hosts. Each stream begins with a
// hello, which identifies the sender of the messages that follow, or with a request
// for the directory.
type peerServer struct {
	log      *slog.Logger
	listener net.Listener
	tls      *tls.Config
	engine   *ring.Ring[engineEvent]
}

func (s *peerServer) run(ctx context.Context, _ *duty.Progress) error {
	return wire.AcceptSessions(ctx, s.log, s.listener, s.tls, wire.DefaultTimeouts, s.serve)
}

func (s *peerServer) serve(session *wire.Session) {
	stream, err := session.Accept()
	if err != nil {
		return
	}
	from := ""
	for {
		e, err := stream.Receive()
		if err == nil {
			err = s.dispatch(stream, e, &from)
		}
		if err != nil {
			s.log.Debug("peer link ended", "peer", from, "reason", err)
			return
		}
	}
}

func (s *peerServer) dispatch(stream *wire.Stream, e *wirepb.Envelope, from *string) error {
	if _, ok := e.GetBody().(*wirepb.Envelope_SnapshotRequest); ok {
		return s.sendDirectory(stream)
	}
	if hello, ok := e.GetBody().(*wirepb.Envelope_PeerHello); ok {
		*from = hello.PeerHello.GetHost()
		_, err := s.engine.Put(enginePeerHello{
			host: *from, domain: hello.PeerHello.GetDomain(), incarnation: hello.PeerHello.GetIncarnation(),
			fenced: hello.PeerHello.GetFenced(), stopping: hello.PeerHello.GetStopping(),
		})
		return err
	}
	if *from == "" {
		return fmt.Errorf("received %T before a hello", e.GetBody())
	}
	m, err := wire.PeerMessageFromProto(e)
	if err != nil {
		return err
	}
	_, err = s.engine.Put(enginePeerMessage{from: *from, message: m})
	return err
}

// sendDirectory sends the directory to a peer that starts without reaching a control host.
func (s *peerServer) sendDirectory(stream *wire.Stream) error {
	result := ring.New[directory.Snapshot]("directory", 1, ring.DropNewest)
	if _, err := s.engine.Put(engineDirectory{result: result}); err != nil {
		return err
	}
	snapshot, err := result.Get()
	if err != nil {
		return err
	}
	data, err := wire.EncodeDirectoryState(snapshot)
	if err != nil {
		return err
	}
	return stream.Send(&wirepb.Envelope{Body: &wirepb.Envelope_Snapshot{Snapshot: &wirepb.Snapshot{State: data}}})
}
