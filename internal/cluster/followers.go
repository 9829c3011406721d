package cluster

import (
	"slices"
	"time"

	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// heartbeatInterval is the time between updates to an entry host when nothing
// changes. An entry host turns to another control host after three missing ones.
const heartbeatInterval = 300 * time.Millisecond

// follower is an entry host that gets routes and endpoints from here.
type follower struct {
	host, domain string
	chosen       bool // it gets routes and endpoints, and not only heartbeats
	behind       bool // it has to get everything, at first or because an update was lost
	sent         time.Duration
	demand       demandReport
}

func (d *stateDuty) follow(e follow) {
	if !e.chosen {
		// Entry hosts ask several control hosts and choose one; only that one sends everything.
		d.followers[e.out] = &follower{host: e.host, domain: e.domain, sent: d.now}
		e.out.Offer(d.encode(d.firstPart()))
		return
	}
	d.followers[e.out] = &follower{host: e.host, domain: e.domain, chosen: true, behind: true}
	d.log.Info("entry host follows", "host", e.host, "domain", e.domain, "version", d.routes.Desired().Version, "endpoints", d.registry.Len())
	d.catchUp()
}

func (d *stateDuty) unfollow(e unfollow) {
	f, ok := d.followers[e.out]
	if ok && f.chosen {
		d.log.Info("entry host has left", "host", f.host, "domain", f.domain)
	}
	delete(d.followers, e.out)
}

// catchUp sends everything to the followers that are behind. It is encoded once
// for all of them: after a fault of the whole site all entry hosts come at once.
func (d *stateDuty) catchUp() {
	var frames [][]byte
	for out, f := range d.followers {
		// A link that is still busy with earlier updates gets everything once it is free.
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

// partEndpoints is the number of endpoints in one part of everything. A part of about 35 kB passes
// a link of 2 Mbit/s far within the silence after which an entry host gives up.
const partEndpoints = 400

// firstPart tells an entry host what it needs to choose a control host.
func (d *stateDuty) firstPart() *wirepb.EdgeUpdate {
	return &wirepb.EdgeUpdate{FirstPart: true, ControlHosts: d.controlHosts(), Domain: d.self.Domain}
}

// everything returns all that an entry host needs, in encoded parts.
func (d *stateDuty) everything() [][]byte {
	parts := []*wirepb.EdgeUpdate{d.firstPart()}
	for endpoints := range slices.Chunk(d.allEndpoints(), partEndpoints) {
		parts = append(parts, &wirepb.EdgeUpdate{Endpoints: endpoints})
	}
	// The routes come last: with routes and no endpoints an entry host would refuse flows.
	parts = append(parts, &wirepb.EdgeUpdate{LastPart: true, Table: d.table()})
	var frames [][]byte
	for _, part := range parts {
		frames = append(frames, d.encode(part))
	}
	return frames
}

func (d *stateDuty) table() *wirepb.RouteTable { return wire.TableToProto(d.routes.Table()) }

func (d *stateDuty) controlHosts() []*wirepb.Member { return wire.MembersToProto(d.status.Members) }

// encode completes an update and returns it as it travels to each follower.
func (d *stateDuty) encode(u *wirepb.EdgeUpdate) []byte {
	u.Contact, u.Version = d.inContact(), d.routes.Desired().Version
	frame, err := wire.Encode(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeUpdate{EdgeUpdate: u}})
	if err != nil {
		d.log.Error("update for entry hosts does not encode", "error", err)
	}
	return frame
}

// publish sends an update to all followers. One that does not keep up gets
// everything later.
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

// publishEndpoints sends the endpoints that have changed since the last tick in one update.
func (d *stateDuty) publishEndpoints(forgotten []uint64) {
	if len(d.unpublished) == 0 && len(forgotten) == 0 {
		return
	}
	u := &wirepb.EdgeUpdate{Forgotten: forgotten}
	for id := range d.unpublished {
		if e, ok := d.registry.Get(id); ok {
			u.Endpoints = append(u.Endpoints, wire.EndpointReportToProto(e, d.now))
		}
	}
	clear(d.unpublished)
	d.publish(u)
}

// heartbeat sends an update to the followers that have not had one for some time.
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
