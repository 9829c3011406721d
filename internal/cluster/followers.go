package cluster

import (
	"slices"
	"time"

	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// heartbeatInterval is the time between updates to an entry host when nothing
// changes. An entry host switches to another control host after three missing updates.
const heartbeatInterval = 300 * time.Millisecond

// follower is an entry host that has subscribed to updates from this control host.
type follower struct {
	host, domain string
	chosen       bool          // it gets routes and endpoints in addition to heartbeats
	behind       bool          // it needs the full state, initially or because an update was lost
	sent         time.Duration // last update
	demand       demandReport
}

func (d *stateDuty) follow(e follow) {
	if !e.chosen {
		// Entry hosts ask several control hosts and choose one; only that one sends the full state.
		d.followers[e.out] = &follower{host: e.host, domain: e.domain, sent: d.now}
		e.out.Offer(d.encode(d.firstPart()))
		return
	}
	d.followers[e.out] = &follower{host: e.host, domain: e.domain, chosen: true, behind: true}
	d.log.Info("entry host subscribed", "host", e.host, "domain", e.domain, "version", d.routes.Desired().Version, "endpoints", d.registry.Len())
	d.catchUp()
}

func (d *stateDuty) unfollow(e unfollow) {
	f, ok := d.followers[e.out]
	if ok && f.chosen {
		d.log.Info("entry host unsubscribed", "host", f.host, "domain", f.domain)
	}
	delete(d.followers, e.out)
}

// catchUp sends the full state to the entry hosts that need it. It is encoded once for all of
// them, because all entry hosts subscribe at the same time after a failure of the whole site.
func (d *stateDuty) catchUp() {
	var frames [][]byte
	for out, f := range d.followers {
		// A link that is still busy with earlier updates gets the full state once it is free.
		if !f.behind || out.Depth() > 0 {
			continue
		}
		if frames == nil {
			frames = d.everything()
		}
		f.behind, f.sent = false, d.now
		for _, frame := range frames {
			f.behind = !out.Offer(frame) || f.behind
		}
	}
}

// partEndpoints is the number of endpoints in one part of the full state. A part of about 35 kB
// takes some 140 ms on a link of 2 Mbit/s, well below the silence after which an entry host
// disconnects.
const partEndpoints = 400

// firstPart returns the update from which an entry host decides which control host to choose.
func (d *stateDuty) firstPart() *wirepb.EdgeUpdate {
	return &wirepb.EdgeUpdate{FirstPart: true, ControlHosts: d.controlHosts(), Domain: d.self.Domain}
}

// everything returns the full state for an entry host, in encoded parts.
func (d *stateDuty) everything() [][]byte {
	parts := []*wirepb.EdgeUpdate{d.firstPart()}
	for endpoints := range slices.Chunk(d.allEndpoints(), partEndpoints) {
		parts = append(parts, &wirepb.EdgeUpdate{Endpoints: endpoints})
	}
	// The routes come last: with routes but no endpoints an entry host would refuse flows.
	parts = append(parts, &wirepb.EdgeUpdate{LastPart: true, Table: d.table()})
	var frames [][]byte
	for _, part := range parts {
		frames = append(frames, d.encode(part))
	}
	return frames
}

func (d *stateDuty) table() *wirepb.RouteTable { return wire.TableToProto(d.routes.Table()) }

func (d *stateDuty) controlHosts() []*wirepb.Member { return wire.MembersToProto(d.status.Members) }

// encode sets the contact and version of an update and returns the frame to send.
func (d *stateDuty) encode(u *wirepb.EdgeUpdate) []byte {
	u.Contact, u.Version = d.inContact(), d.routes.Desired().Version
	frame, err := wire.Encode(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeUpdate{EdgeUpdate: u}})
	if err != nil {
		d.log.Error("cannot encode update for entry hosts", "error", err)
	}
	return frame
}

// publish sends an update to all entry hosts that have the full state. An entry host whose outbox
// is full gets the full state later.
func (d *stateDuty) publish(u *wirepb.EdgeUpdate) {
	if len(d.followers) == 0 {
		return
	}
	frame := d.encode(u)
	for out, f := range d.followers {
		if f.chosen && !f.behind {
			f.behind, f.sent = !out.Offer(frame), d.now
		}
	}
}

func (d *stateDuty) publishTable() { d.publish(&wirepb.EdgeUpdate{Table: d.table()}) }

func (d *stateDuty) publishControlHosts() {
	d.publish(&wirepb.EdgeUpdate{ControlHosts: d.controlHosts()})
}

// publishEndpoints sends all endpoints that have changed since the last tick in one update.
func (d *stateDuty) publishEndpoints(forgotten []uint64) {
	if len(d.unpublished) == 0 && len(forgotten) == 0 {
		return
	}
	u := &wirepb.EdgeUpdate{Forgotten: forgotten}
	for id := range d.unpublished {
		if e, ok := d.registry.Get(id); ok {
			u.Endpoints = append(u.Endpoints, wire.EndpointToProto(e, d.now))
		}
	}
	clear(d.unpublished)
	d.publish(u)
}

// heartbeat sends an empty update to the entry hosts that got none for heartbeatInterval.
func (d *stateDuty) heartbeat() {
	d.catchUp()
	var due []*ring.Ring[[]byte]
	for out, f := range d.followers {
		if !f.behind && d.now-f.sent >= heartbeatInterval {
			due = append(due, out)
		}
	}
	if len(due) == 0 {
		return
	}
	frame := d.encode(&wirepb.EdgeUpdate{})
	for _, out := range due {
		f := d.followers[out]
		f.behind, f.sent = !out.Offer(frame) && f.chosen, d.now
	}
}
