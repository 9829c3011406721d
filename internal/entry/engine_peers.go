package entry

import (
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/flow"
	"cassiawood/internal/wire/wirepb"
)

// peerContact is the last known state of a peer's heartbeats.
type peerContact struct {
	incarnation uint64
	lastContact time.Duration // of the last hello or, if awaited, of the removal from the directory
	up          bool
	awaited     bool // removed from the directory before its first hello arrived
}

// updatePeers keeps links to the hosts in the directory and to removed hosts that
// still send hellos: a stopping host is removed first and then hands over its
// records. If this process has just started and has not yet received a hello from a
// removed host, it keeps the link for peerTimeout.
func (d *engineDuty) updatePeers(now time.Duration) {
	current := map[string]directory.Host{}
	for name, h := range d.linkedHosts {
		peer := d.peerContacts[name]
		if _, listed := d.state.Host(name); !listed && !peer.up && peer.incarnation != h.Incarnation {
			peer = peerContact{incarnation: h.Incarnation, lastContact: now, awaited: true}
			d.peerContacts[name] = peer
		}
		if peer.up || peer.awaited {
			current[name] = h
		}
	}
	for _, h := range d.state.Hosts() {
		current[h.Name] = h
	}
	delete(current, d.self.GetName())
	d.linkedHosts = current
	targets := []peerTarget{}
	for _, h := range current {
		targets = append(targets, peerTarget{h.Name, h.Incarnation, h.PeerAddr.String()})
	}
	d.peers.Offer(peerCommand{targets: targets})
}

// sendHello sends a hello to all peers and reports progress to the control link.
func (d *engineDuty) sendHello() {
	hello := &wirepb.Envelope{Body: &wirepb.Envelope_PeerHello{PeerHello: &wirepb.PeerHello{
		Host: d.self.GetName(), Domain: d.self.GetDomain(), Incarnation: d.self.GetIncarnation(),
		Applied: d.state.Index(), Fenced: d.flow.Fenced(), Stopping: d.stopping,
	}}}
	for name := range d.linkedHosts {
		d.peers.Offer(peerCommand{to: name, message: hello})
	}
	d.reportApplied()
	if self, ok := d.listedSelf(); ok && self.State == directory.HostJoined && !d.stopping {
		d.control.Offer(controlHostComplete{})
	}
}

// handleHello handles the hello of a peer.
func (d *engineDuty) handleHello(now time.Duration, e enginePeerHello) {
	known, ok := d.peerContacts[e.host]
	if !ok || !known.up || known.incarnation != e.incarnation {
		d.log.Info("peer up", "peer", e.host, "incarnation", e.incarnation)
		d.flow.PeerUp(now, e.host, e.incarnation, e.domain)
	}
	d.peerContacts[e.host] = peerContact{incarnation: e.incarnation, lastContact: now, up: true}
	d.flow.SetPeerFenced(now, e.host, e.fenced)
}

func (d *engineDuty) handlePeerMessage(now time.Duration, from string, m flow.Message) {
	switch {
	case m.Batch != nil:
		d.flow.HandleRecordBatch(now, from, m.Batch)
	case m.Ack != nil:
		d.flow.HandleRecordAck(now, from, *m.Ack)
	case m.Suspects != nil:
		d.flow.HandleSuspects(now, from, m.Suspects)
	case m.Done != nil:
		d.flow.HandleHandoverDone(now, *m.Done)
	default:
		d.flow.HandleHints(now, from, m.Hints)
	}
}
