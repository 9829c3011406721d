package cluster

import (
	"log/slog"
	"slices"
	"time"

	"cassiawood/internal/ring"
	"cassiawood/internal/rotation"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// heartbeatInterval is the time between updates to an entry host when nothing
// changes. An entry host switches to another control host after three missing updates.
const heartbeatInterval = 300 * time.Millisecond

// subscriber is an entry host that has subscribed to updates from this control host.
type subscriber struct {
	host, domain   string
	process        rotation.Process
	wantsState     bool          // it gets routes and endpoints in addition to heartbeats
	compressed     bool          // it reads compressed envelopes
	needsFullState bool          // it needs the full state, initially or because an update was lost
	lastSent       time.Duration // last update
	demand         demandReport
	delays         recentDelays
}

func (d *stateDuty) addSubscriber(e subscribe) {
	if !e.wantsState {
		// Entry hosts ask several control hosts and choose one; only that one sends the full state.
		d.subscribers[e.out] = &subscriber{host: e.host, domain: e.domain, compressed: e.acceptsCompressed, lastSent: d.now}
		e.out.Offer(d.newFrame(d.firstPart()).encoded(e.acceptsCompressed))
		return
	}
	process := rotation.ProcessOf(e.host, e.process)
	d.subscribers[e.out] = &subscriber{host: e.host, domain: e.domain, process: process, compressed: e.acceptsCompressed, wantsState: true, needsFullState: true}
	d.rotation.roster.Follow(e.domain, process)
	d.log.Info("entry host subscribed", "host", e.host, "domain", e.domain, "version", d.routes.Desired().Version, "endpoints", d.registry.Len())
	d.sendFullState()
}

func (d *stateDuty) removeSubscriber(e unsubscribe) {
	s, ok := d.subscribers[e.out]
	if ok && s.wantsState {
		d.log.Info("entry host unsubscribed", "host", s.host, "domain", s.domain)
	}
	delete(d.subscribers, e.out)
	if ok && s.wantsState {
		d.loseEntryHost(s)
	}
}

// fullStateMaxAge is how long an encoded full state is used for entry hosts that subscribe after each other.
// The ages of the reports in it are too low by that time.
const fullStateMaxAge = 100 * time.Millisecond

// encodedFullState is a full state as it was sent last.
type encodedFullState struct {
	frames  []*frame // nil if there is none, or if an endpoint, the routes or the members have changed since
	madeAt  time.Duration
	contact bool // as in the frames
}

// currentFullState returns the encoded full state. All entry hosts subscribe within a short time after a
// failure of the whole site, so it is encoded once for many of them.
func (d *stateDuty) currentFullState() []*frame {
	f := &d.lastFullState
	if f.frames == nil || d.now-f.madeAt > fullStateMaxAge || f.contact != d.isCurrent() {
		*f = encodedFullState{frames: d.fullState(), madeAt: d.now, contact: d.isCurrent()}
	}
	return f.frames
}

// sendFullState sends the full state to the entry hosts that need it.
func (d *stateDuty) sendFullState() {
	var frames []*frame
	for out, s := range d.subscribers {
		// A link that is still busy with earlier updates gets the full state once it is free.
		if !s.needsFullState || out.Depth() > 0 {
			continue
		}
		if frames == nil {
			frames = d.currentFullState()
		}
		s.needsFullState, s.lastSent = false, d.now
		for _, f := range frames {
			s.needsFullState = !out.Offer(f.encoded(s.compressed)) || s.needsFullState
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

// fullState returns the full state for an entry host, in parts.
func (d *stateDuty) fullState() []*frame {
	parts := []*wirepb.EdgeUpdate{d.firstPart()}
	for endpoints := range slices.Chunk(d.allEndpoints(), endpointsPerPart) {
		parts = append(parts, &wirepb.EdgeUpdate{Endpoints: endpoints})
	}
	// The routes come last: with routes but no endpoints an entry host would refuse flows.
	parts = append(parts, &wirepb.EdgeUpdate{
		LastPart: true, Table: d.routeTable(), Evacuation: wire.EvacuationsToProto(d.routes.Evacuations()), Delays: wire.RelativeDelaysToProto(d.delays.shared.Published()),
	})
	var frames []*frame
	for _, part := range parts {
		frames = append(frames, d.newFrame(part))
	}
	return frames
}

func (d *stateDuty) routeTable() *wirepb.RouteTable {
	return wire.TableToProto(d.routes.TableFor(d.settings.DomainRegions))
}

func (d *stateDuty) controlHosts() []*wirepb.Member { return wire.MembersToProto(d.status.Members) }

// frame is an update for entry hosts. It is encoded when it is first sent, once for all entry hosts that
// read compressed envelopes and once for all others.
type frame struct {
	log               *slog.Logger
	envelope          *wirepb.Envelope
	plain, compressed []byte
}

// newFrame sets the contact and version of an update and returns the frame to send.
func (d *stateDuty) newFrame(u *wirepb.EdgeUpdate) *frame {
	u.Contact, u.Behind, u.Version = d.isCurrent(), d.lag.isBehind, d.routes.Desired().Version
	return &frame{log: d.log, envelope: &wirepb.Envelope{Body: &wirepb.Envelope_EdgeUpdate{EdgeUpdate: u}}}
}

func (f *frame) encoded(compressed bool) []byte {
	data, encode := &f.plain, wire.Encode
	if compressed {
		data, encode = &f.compressed, wire.EncodeCompressed
	}
	if *data == nil {
		var err error
		if *data, err = encode(f.envelope); err != nil {
			f.log.Error("cannot encode update for entry hosts", "error", err)
		}
	}
	return *data
}

// publish sends an update to all entry hosts that have the full state. An entry host whose outbox
// is full gets the full state later.
func (d *stateDuty) publish(u *wirepb.EdgeUpdate) {
	d.lastFullState.frames = nil
	if len(d.subscribers) == 0 {
		return
	}
	f := d.newFrame(u)
	for out, s := range d.subscribers {
		if s.wantsState && !s.needsFullState {
			s.needsFullState, s.lastSent = !out.Offer(f.encoded(s.compressed)), d.now
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
	f := d.newFrame(&wirepb.EdgeUpdate{})
	for _, out := range due {
		s := d.subscribers[out]
		s.needsFullState, s.lastSent = !out.Offer(f.encoded(s.compressed)) && s.wantsState, d.now
	}
}
