package entry

import (
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/flow"
	"cassiawood/internal/wire/wirepb"
)

type heardPeer struct {
	incarnation uint64
	at          time.Duration
	up          bool
	awaited     bool // not heard yet, but it left the directory at this time
}

// updatePeers keeps links to the hosts that the directory lists, and to those that it no
// longer lists while they are heard: a stopping host leaves the directory first
// and then hands its records over. One that this host has not heard yet, because
// its own process has just started, gets the time of a peer that falls silent.
func (d *engineDuty) updatePeers(now time.Duration) {
	current := map[string]directory.Host{}
	for name, h := range d.peerHosts {
		peer := d.heard[name]
		if _, listed := d.state.Host(name); !listed && !peer.up && peer.incarnation != h.Incarnation {
			peer = heardPeer{incarnation: h.Incarnation, at: now, awaited: true}
			d.heard[name] = peer
		}
		if peer.up || peer.awaited {
			current[name] = h
		}
	}
	for _, h := range d.state.Hosts() {
		current[h.Name] = h
	}
	delete(current, d.self.GetName())
	d.peerHosts = current
	targets := []peerTarget{}
	for _, h := range current {
		targets = append(targets, peerTarget{h.Name, h.Incarnation, h.PeerAddr.String()})
	}
	d.peers.Offer(peerCommand{targets: targets})
}

func (d *engineDuty) sayHello() {
	hello := &wirepb.Envelope{Body: &wirepb.Envelope_PeerHello{PeerHello: &wirepb.PeerHello{
		Host: d.self.GetName(), Domain: d.self.GetDomain(), Incarnation: d.self.GetIncarnation(),
		Applied: d.state.Index(), Fenced: d.flow.Fenced(), Stopping: d.stopping,
	}}}
	for name := range d.peerHosts {
		d.peers.Offer(peerCommand{to: name, message: hello})
	}
	d.tellControl()
	if self, ok := d.listed(); ok && self.State == directory.HostJoined && !d.stopping {
		d.control.Offer(controlComplete{})
	}
}

func (d *engineDuty) hello(now time.Duration, e enginePeerHello) {
	known, ok := d.heard[e.host]
	if !ok || !known.up || known.incarnation != e.incarnation {
		d.log.Info("peer up", "peer", e.host, "incarnation", e.incarnation)
		d.flow.PeerUp(now, e.host, e.incarnation, e.domain)
	}
	d.heard[e.host] = heardPeer{incarnation: e.incarnation, at: now, up: true}
	d.flow.PeerFenced(now, e.host, e.fenced)
}

func (d *engineDuty) peerMessage(now time.Duration, from string, m flow.Message) {
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
