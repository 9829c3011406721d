package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"

	"cassiawood/internal/changelog"
	"cassiawood/internal/duty"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// linkEvent is a value in the inbox of the links duty.
type linkEvent interface{ isLinkEvent() }

type (
	// membersChanged replaces the members of the log, to which links are kept. It is repeated, since the inbox of the
	// links duty may drop it.
	membersChanged struct{ members changelog.Membership }
	// sendLogMessage sends a message of the log to the host that it names.
	sendLogMessage struct{ message changelog.Message }
	// sendTo sends to one control host, which need not be a member.
	sendTo struct {
		address  string
		envelope *wirepb.Envelope
	}
	// broadcast sends to all members except this host.
	broadcast struct{ envelope *wirepb.Envelope }
	// peerIdentified gives the address of a peer that may not be a member here yet.
	peerIdentified struct {
		id      uint64
		address string
	}
)

func (membersChanged) isLinkEvent() {}
func (sendLogMessage) isLinkEvent() {}
func (sendTo) isLinkEvent()         {}
func (broadcast) isLinkEvent()      {}
func (peerIdentified) isLinkEvent() {}

// linksDuty owns the outboxes of the links to other control hosts. Each link
// has its own goroutine, since dialling and writing may block.
type linksDuty struct {
	log           *slog.Logger
	settings      Settings
	selfID        uint64
	members       changelog.Membership
	peerAddresses map[uint64]string                       // address by ID, of members and of hosts that have announced their address
	outboxes      map[string]*ring.Ring[*wirepb.Envelope] // by address of the control host
	ctx           context.Context
}

// linkOutboxCapacity bounds the envelopes that wait for a slow link. The protocol resends lost
// ones.
const linkOutboxCapacity = 512

// maxPeerAddresses bounds the number of stored peer addresses.
const maxPeerAddresses = 256

func (d *linksDuty) handle(e linkEvent) error {
	switch e := e.(type) {
	case membersChanged:
		d.setMembers(e.members)
	case sendLogMessage:
		if address, ok := d.peerAddresses[e.message.To]; ok {
			d.send(address, &wirepb.Envelope{Body: &wirepb.Envelope_LogMessage{LogMessage: wire.LogMessageToProto(e.message)}})
		}
	case sendTo:
		d.send(e.address, e.envelope)
	case peerIdentified:
		d.storePeerAddress(e)
	case broadcast:
		for _, m := range d.members {
			if m.ID != d.selfID {
				d.send(m.Address, e.envelope)
			}
		}
	}
	return nil
}

// storePeerAddress stores the address of a peer, so that its log messages can be answered before it
// is a known member: a joining host receives entries from the leader before it has the membership.
func (d *linksDuty) storePeerAddress(e peerIdentified) {
	if len(d.peerAddresses) >= maxPeerAddresses {
		clear(d.peerAddresses)
		for _, m := range d.members {
			d.peerAddresses[m.ID] = m.Address
		}
	}
	d.peerAddresses[e.id] = e.address
}

// setMembers closes the links to hosts that are no longer members. The addresses of other peers
// are kept: the membership in a snapshot may predate the leader that sends it.
func (d *linksDuty) setMembers(members changelog.Membership) {
	if slices.Equal(members, d.members) {
		return
	}
	d.members = members
	wanted := map[string]bool{}
	for _, m := range members {
		wanted[m.Address] = true
		d.peerAddresses[m.ID] = m.Address
	}
	for address, outbox := range d.outboxes {
		if !wanted[address] {
			outbox.Close()
			delete(d.outboxes, address)
		}
	}
}

func (d *linksDuty) send(address string, e *wirepb.Envelope) {
	outbox := d.outboxes[address]
	if outbox == nil {
		target, err := d.settings.linkAddress(address)
		if err != nil {
			d.log.Warn("no link to control host", "address", address, "error", err)
			return
		}
		outbox = ring.New[*wirepb.Envelope]("link-out", linkOutboxCapacity, ring.DropOldest)
		d.outboxes[address] = outbox
		l := &link{log: d.log, peerAddress: address, selfAddress: d.settings.Address.String(), selfID: d.selfID, selfDomain: d.settings.Domain, transport: wire.NewLink(target, nil, wire.ShortTimeouts), outbox: outbox}
		go l.run(d.ctx)
	}
	outbox.Offer(e)
}

func (d *linksDuty) close() {
	for _, outbox := range d.outboxes {
		outbox.Close()
	}
}

// link sends envelopes to one control host until its outbox is closed.
type link struct {
	log         *slog.Logger
	peerAddress string
	selfAddress string
	selfID      uint64
	selfDomain  string
	transport   *wire.Link
	outbox      *ring.Ring[*wirepb.Envelope]
	connected   bool
	lossLogged  bool // the loss of the link was logged
}

func (l *link) run(ctx context.Context) {
	defer l.transport.Close()
	for {
		e, err := l.outbox.Get()
		if err != nil {
			return
		}
		l.send(ctx, e)
	}
}

// send sends one envelope. If that opened a new connection, it also asks the peer for all
// endpoints, since updates may have been lost while there was no connection.
func (l *link) send(ctx context.Context, e *wirepb.Envelope) {
	if !l.transport.Connected() {
		l.connected = false
	}
	err := l.transport.Send(ctx, e)
	if err == nil && !l.connected {
		l.connected, l.lossLogged = true, false
		l.log.Info("link to control host established", "peer", l.peerAddress)
		err = l.transport.Send(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{
			EndpointUpdate: &wirepb.EndpointUpdate{RequestAll: true, From: l.selfAddress, FromId: l.selfID, FromDomain: l.selfDomain},
		}})
	}
	if err != nil && !l.lossLogged {
		l.connected, l.lossLogged = false, true
		l.log.Warn("link to control host lost", "peer", l.peerAddress, "error", err)
	}
}

// linkServer accepts sessions from control and entry hosts.
type linkServer struct {
	log        *slog.Logger
	listener   net.Listener
	logInbox   *ring.Ring[replica.Event]
	stateInbox *ring.Ring[event]
	linksInbox *ring.Ring[linkEvent]
}

func (s *linkServer) run(ctx context.Context, _ *duty.Progress) error {
	return wire.AcceptSessions(ctx, s.log, s.listener, nil, wire.ShortTimeouts, func(session *wire.Session) {
		for {
			stream, err := session.Accept()
			if err != nil {
				return
			}
			go s.serve(stream)
		}
	})
}

// subscriberOutboxCapacity bounds the updates that are queued for one entry host.
const subscriberOutboxCapacity = 64

// serve handles one stream until it ends.
func (s *linkServer) serve(stream *wire.Stream) {
	defer func() { _ = stream.Close() }()
	out := ring.New[[]byte]("follower-out", subscriberOutboxCapacity, ring.DropNewest)
	defer out.Close()
	subscribed := false
	for {
		envelope, err := stream.Receive()
		if err == nil {
			// An odd message ends its stream only.
			err = duty.Contain(func() error { return s.dispatch(envelope, out, stream, &subscribed) })
		}
		if err != nil {
			s.logEnd(err)
			if subscribed {
				_, _ = s.stateInbox.Put(unsubscribe{out: out}) // fails only while the process stops
			}
			return
		}
	}
}

// logEnd logs why a stream has ended. Streams end all the time, but a panic is a fault of this program.
func (s *linkServer) logEnd(err error) {
	level := slog.LevelDebug
	var panicked *duty.PanicError
	if errors.As(err, &panicked) {
		level = slog.LevelError
	}
	s.log.Log(context.Background(), level, "stream ended", "reason", err)
}

func (s *linkServer) dispatch(e *wirepb.Envelope, out *ring.Ring[[]byte], stream *wire.Stream, subscribed *bool) error {
	var err error
	switch body := e.GetBody().(type) {
	case *wirepb.Envelope_LogMessage:
		m, err := wire.LogMessageFromProto(body.LogMessage)
		if err != nil {
			return err
		}
		s.logInbox.Offer(replica.Received{Message: m})
		return nil
	case *wirepb.Envelope_EndpointUpdate:
		if u := body.EndpointUpdate; u.GetFromId() != 0 {
			s.linksInbox.Offer(peerIdentified{id: u.GetFromId(), address: u.GetFrom()})
		}
		_, err = s.stateInbox.Put(peerUpdate{update: body.EndpointUpdate})
	case *wirepb.Envelope_JoinRequest:
		j := body.JoinRequest
		member := changelog.Member{ID: j.GetId(), Address: j.GetAddress(), Domain: j.GetDomain()}
		_, err = s.stateInbox.Put(joinRequest{member: member, forwarded: j.GetForwarded()})
	case *wirepb.Envelope_EdgeFollow:
		if !*subscribed {
			*subscribed = true
			go wire.SendAllEncoded(out, stream)
		}
		f := body.EdgeFollow
		_, err = s.stateInbox.Put(subscribe{host: f.GetHost(), domain: f.GetDomain(), process: f.GetProcess(), wantsState: f.GetChosen(), acceptsCompressed: f.GetAcceptsCompressed(), out: out})
	case *wirepb.Envelope_EdgeDemand:
		_, err = s.stateInbox.Put(demandReported{out: out, report: body.EdgeDemand})
	default:
		err = fmt.Errorf("unexpected envelope %T", body)
	}
	return err
}
