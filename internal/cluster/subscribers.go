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

// subscriber is an entry host that has subscribed to updates from this control host.
type subscriber struct {
	host, domain   string
	wantsState     bool          // it gets routes and endpoints in addition to heartbeats
	needsFullState bool          // it needs the full state, initially or because an update was lost
	lastSent       time.Duration // last update
	demand         demandReport
}

func (d *stateDuty) addSubscriber(e subscribe) {
	if !e.wantsState {
		// Entry hosts ask several control hosts and choose one; only that one sends the full state.
		d.subscribers[e.out] = &subscriber{host: e.host, domain: e.domain, lastSent: d.now}
		e.out.Offer(d.encode(d.firstPart()))
		return
	}
	d.subscribers[e.out] = &subscriber{host: e.host, domain: e.domain, wantsState: true, needsFullState: true}
	d.log.Info("entry host subscribed", "host", e.host, "domain", e.domain, "version", d.routes.Desired().Version, "endpoints", d.registry.Len())
	d.sendFullState()
}

func (d *stateDuty) removeSubscriber(e unsubscribe) {
	s, ok := d.subscribers[e.out]
	if ok && s.wantsState {
		d.log.Info("entry host unsubscribed", "host", s.host, "domain", s.domain)
	}
	delete(d.subscribers, e.out)
}

// sendFullState sends the full state to the entry hosts that need it. It is encoded once for all of
// them, because all entry hosts subscribe at the same time after a failure of the whole site.
func (d *stateDuty) sendFullState() {
	var frames [][]byte
	for out, s := range d.subscribers {
		// A link that is still busy with earlier updates gets the full state once it is free.
		if !s.needsFullState || out.Depth() > 0 {
			continue
		}
		if frames == nil {
			frames = d.fullState()
		}
		s.needsFullState, s.lastSent = false, d.now
		for _, frame := range frames {
			s.needsFullState = !out.Offer(frame) || s.needsFullState
		}
	}
}

// endpointsPerPart is the number of endpoints in one part of the full state. A part of about 35 kB
// takes some 140 ms on a link of 2 Mbit/s, well below the silence after which an entry host
// disconnects.
const endpointsPerPart = 400

// firstPart returns the update from which an entry host decides which control host to choose.
func (d *stateDuty) firstPart() *wirepb.EdgeUpdate {
	return &wirepb.EdgeUpdate{FirstPart: true, ControlHosts: d.controlHosts(), Domain: d.self.Domain}
}

// fullState returns the full state for an entry host, in encoded parts.
func (d *stateDuty) fullState() [][]byte {
	parts := []*wirepb.EdgeUpdate{d.firstPart()}
	for endpoints := range slices.Chunk(d.allEndpoints(), endpointsPerPart) {
		parts = append(parts, &wirepb.EdgeUpdate{Endpoints: endpoints})
	}
	// The routes come last: with routes but no endpoints an entry host would refuse flows.
	parts = append(parts, &wirepb.EdgeUpdate{LastPart: true, Table: d.routeTable()})
	var frames [][]byte
	for _, part := range parts {
		frames = append(frames, d.encode(part))
	}
	return frames
}

func (d *stateDuty) routeTable() *wirepb.RouteTable { return wire.TableToProto(d.routes.Table()) }

func (d *stateDuty) controlHosts() []*wirepb.Member { return wire.MembersToProto(d.status.Members) }

// encode sets the contact and version of an update and returns the frame to send.
func (d *stateDuty) encode(u *wirepb.EdgeUpdate) []byte {
	u.Contact, u.Version = d.hasMajorityContact(), d.routes.Desired().Version
	frame, err := wire.Encode(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeUpdate{EdgeUpdate: u}})
	if err != nil {
		d.log.Error("cannot encode update for entry hosts", "error", err)
	}
	return frame
}

// publish sends an update to all entry hosts that have the full state. An entry host whose outbox
// is full gets the full state later.
func (d *stateDuty) publish(u *wirepb.EdgeUpdate) {
	if len(d.subscribers) == 0 {
		return
	}
	frame := d.encode(u)
	for out, s := range d.subscribers {
		if s.wantsState && !s.needsFullState {
			s.needsFullState, s.lastSent = !out.Offer(frame), d.now
		}
	}
}

func (d *stateDuty) publishTable() { d.publish(&wirepb.EdgeUpdate{Table: d.routeTable()}) }

func (d *stateDuty) publishControlHosts() {
	d.publish(&wirepb.EdgeUpdate{ControlHosts: d.controlHosts()})
}

// publishEndpoints sends all endpoints that have changed since the last tick in one update.
func (d *stateDuty) publishEndpoints(forgotten []uint64) {
	if len(d.unpublishedEndpoints) == 0 && len(forgotten) == 0 {
		return
	}
	u := &wirepb.EdgeUpdate{Forgotten: forgotten}
	for id := range d.unpublishedEndpoints {
		if e, ok := d.registry.Get(id); ok {
			u.Endpoints = append(u.Endpoints, wire.EndpointReportToProto(e, d.now))
		}
	}
	clear(d.unpublishedEndpoints)
	d.publish(u)
}

// sendHeartbeats sends an empty update to the entry hosts that got none for heartbeatInterval.
func (d *stateDuty) sendHeartbeats() {
	d.sendFullState()
	var due []*ring.Ring[[]byte]
	for out, s := range d.subscribers {
		if !s.needsFullState && d.now-s.lastSent >= heartbeatInterval {
			due = append(due, out)
		}
	}
	if len(due) == 0 {
		return
	}
	frame := d.encode(&wirepb.EdgeUpdate{})
	for _, out := range due {
		s := d.subscribers[out]
		s.needsFullState, s.lastSent = !out.Offer(frame) && s.wantsState, d.now
	}
}
