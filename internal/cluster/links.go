package cluster

import (
	"context"
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

// linkEvent is a value in the inbox of the links duty.
type linkEvent interface{ isLinkEvent() }

type (
	// setMembers replaces the members of the log, to which links are kept.
	setMembers struct{ members changelog.Membership }
	// sendMessage sends a message of the log to the host that it names.
	sendMessage struct{ message changelog.Message }
	// sendTo sends to one control host, which need not be a member.
	sendTo struct {
		address  string
		envelope *wirepb.Envelope
	}
	// broadcast sends to all members except this host.
	broadcast struct{ envelope *wirepb.Envelope }
	// peerNamed gives the address of a peer that may not be a member here yet.
	peerNamed struct {
		id      uint64
		address string
	}
)

func (setMembers) isLinkEvent()  {}
func (sendMessage) isLinkEvent() {}
func (sendTo) isLinkEvent()      {}
func (broadcast) isLinkEvent()   {}
func (peerNamed) isLinkEvent()   {}

// linksDuty owns the outboxes of the links to other control hosts. Each link
// has its own goroutine, since dialling and writing may block.
type linksDuty struct {
	log      *slog.Logger
	settings Settings
	self     uint64
	members  changelog.Membership
	peers    map[uint64]string                       // address by ID, of members and of hosts that have announced their address
	outboxes map[string]*ring.Ring[*wirepb.Envelope] // by address of the control host
	ctx      context.Context
}

// outboxCapacity bounds the envelopes that wait for a slow link. The protocol resends lost ones.
const outboxCapacity = 512

// maxPeers bounds the number of stored peer addresses.
const maxPeers = 256

func (d *linksDuty) handle(e linkEvent) error {
	switch e := e.(type) {
	case setMembers:
		d.setMembers(e.members)
	case sendMessage:
		if address, ok := d.peers[e.message.To]; ok {
			d.send(address, &wirepb.Envelope{Body: &wirepb.Envelope_LogMessage{LogMessage: wire.LogMessageToProto(e.message)}})
		}
	case sendTo:
		d.send(e.address, e.envelope)
	case peerNamed:
		d.peerNamed(e)
	case broadcast:
		for _, m := range d.members {
			if m.ID != d.self {
				d.send(m.Address, e.envelope)
			}
		}
	}
	return nil
}

// peerNamed stores the address of a peer, so that log messages can be answered before the peer is
// a known member: a joining host receives entries from the leader before it has the membership.
func (d *linksDuty) peerNamed(e peerNamed) {
	if len(d.peers) >= maxPeers {
		clear(d.peers)
		for _, m := range d.members {
			d.peers[m.ID] = m.Address
		}
	}
	d.peers[e.id] = e.address
}

// setMembers closes the links to hosts that are no longer members. The addresses of other peers
// are kept: the membership in a snapshot may predate the leader that sends it.
func (d *linksDuty) setMembers(members changelog.Membership) {
	d.members = members
	wanted := map[string]bool{}
	for _, m := range members {
		wanted[m.Address] = true
		d.peers[m.ID] = m.Address
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
		target, err := d.settings.link(address)
		if err != nil {
			d.log.Warn("no link to control host", "address", address, "error", err)
			return
		}
		outbox = ring.New[*wirepb.Envelope]("link-out", outboxCapacity, ring.DropOldest)
		d.outboxes[address] = outbox
		l := &link{log: d.log, peer: address, self: d.settings.Address.String(), id: d.self, domain: d.settings.Domain, link: wire.NewLink(target, nil, wire.ShortTimeouts), outbox: outbox}
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
	log       *slog.Logger
	peer      string
	self      string
	id        uint64
	domain    string
	link      *wire.Link
	outbox    *ring.Ring[*wirepb.Envelope]
	connected bool
	lost      bool // the loss of the link was logged
}

func (l *link) run(ctx context.Context) {
	defer l.link.Close()
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
	if !l.link.Connected() {
		l.connected = false
	}
	err := l.link.Send(ctx, e)
	if err == nil && !l.connected {
		l.connected, l.lost = true, false
		l.log.Info("link to control host established", "peer", l.peer)
		err = l.link.Send(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{
			EndpointUpdate: &wirepb.EndpointUpdate{RequestAll: true, From: l.self, FromId: l.id, FromDomain: l.domain},
		}})
	}
	if err != nil && !l.lost {
		l.connected, l.lost = false, true
		l.log.Warn("link to control host lost", "peer", l.peer, "error", err)
	}
}

// linkServer accepts sessions from control and entry hosts.
type linkServer struct {
	logger   *slog.Logger
	listener net.Listener
	log      *ring.Ring[replica.Event]
	state    *ring.Ring[event]
	links    *ring.Ring[linkEvent]
}

func (s *linkServer) run(ctx context.Context, _ *duty.Progress) error {
	return wire.AcceptSessions(ctx, s.logger, s.listener, nil, wire.ShortTimeouts, func(session *wire.Session) {
		for {
			stream, err := session.Accept()
			if err != nil {
				return
			}
			go s.serve(stream)
		}
	})
}

// followerCapacity bounds the updates that are queued for one entry host.
const followerCapacity = 64

// serve handles one stream until it ends.
func (s *linkServer) serve(stream *wire.Stream) {
	defer func() { _ = stream.Close() }()
	out := ring.New[[]byte]("follower-out", followerCapacity, ring.DropNewest)
	defer out.Close()
	following := false
	for {
		envelope, err := stream.Receive()
		if err == nil {
			err = s.dispatch(envelope, out, stream, &following)
		}
		if err != nil {
			s.logger.Debug("stream ended", "reason", err)
			if following {
				_, _ = s.state.Put(unfollow{out: out}) // fails only while the process stops
			}
			return
		}
	}
}

func (s *linkServer) dispatch(e *wirepb.Envelope, out *ring.Ring[[]byte], stream *wire.Stream, following *bool) error {
	var err error
	switch body := e.GetBody().(type) {
	case *wirepb.Envelope_LogMessage:
		m, err := wire.LogMessageFromProto(body.LogMessage)
		if err != nil {
			return err
		}
		s.log.Offer(replica.Received{Message: m})
		return nil
	case *wirepb.Envelope_EndpointUpdate:
		if u := body.EndpointUpdate; u.GetFromId() != 0 {
			s.links.Offer(peerNamed{id: u.GetFromId(), address: u.GetFrom()})
		}
		_, err = s.state.Put(peerUpdate{update: body.EndpointUpdate})
	case *wirepb.Envelope_JoinRequest:
		j := body.JoinRequest
		member := changelog.Member{ID: j.GetId(), Address: j.GetAddress(), Domain: j.GetDomain()}
		_, err = s.state.Put(joinRequest{member: member, forwarded: j.GetForwarded()})
	case *wirepb.Envelope_EdgeFollow:
		if !*following {
			*following = true
			go wire.DrainEncoded(out, stream)
		}
		f := body.EdgeFollow
		_, err = s.state.Put(follow{host: f.GetHost(), domain: f.GetDomain(), chosen: f.GetChosen(), out: out})
	case *wirepb.Envelope_EdgeDemand:
		_, err = s.state.Put(demandReported{out: out, demand: body.EdgeDemand.GetDemand()})
	default:
		err = fmt.Errorf("unexpected envelope %T", body)
	}
	return err
}
