package entry

import (
	"log/slog"
	"net/netip"
	"time"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
	"cassiawood/internal/flow"
	"cassiawood/internal/packet"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// helloInterval is the time between hello messages, which also serve as
	// heartbeats between peers. peerTimeout tolerates three lost ones in a row.
	helloInterval = 500 * time.Millisecond
	peerTimeout   = 2 * time.Second
)

// Status is a snapshot of the engine's state, for bootstrap and graceful stop.
type Status struct {
	AppliedIndex     uint64
	Fenced           bool
	CutOff           bool
	Flows            int
	Records          int
	HandoverComplete bool
	FlowsLost        int
	SinceLastPacket  time.Duration // time since the last packet from the fabric
}

// engineDuty owns the flow engine and the local copy of the directory. It blocks
// only on the writer's ring; the writer blocks on no other duty, so they cannot deadlock.
type engineDuty struct {
	log             *slog.Logger
	self            *wirepb.Host
	flow            *flow.Engine
	balancer        *balancer
	state           *directory.State
	fabric          netip.AddrPort
	out             *ring.Ring[*batch]
	control         *ring.Ring[controlEvent]
	peers           *ring.Ring[peerCommand]
	probes          *ring.Ring[[]probeTarget]
	counters        *counters
	clock           func() time.Duration
	requestShutdown func() // starts the graceful stop of the process

	names             nameIndex
	peerContacts      map[string]peerContact
	linkedHosts       map[string]directory.Host // peers to which a link is kept
	reportedFailed    map[string]bool           // by instance; true if the last probe reported to the leader failed
	lastHelloAt       time.Duration
	lastPacketAt      time.Duration
	acknowledgedIndex uint64
	stopping          bool
	status            Status
}

// handle processes one event and then applies the effects that the flow engine requests.
func (d *engineDuty) handle(e engineEvent) error {
	now := d.clock()
	d.balancer.advance(now)
	switch e := e.(type) {
	case enginePackets:
		d.handlePackets(now, e.batch)
		if _, err := d.out.Put(e.batch); err != nil {
			return err
		}
	case engineTick:
		d.handleTick(now)
	case engineEntries:
		d.applyEntries(now, e)
	case engineSnapshot:
		if e.state.Index() > d.state.Index() {
			d.log.Info("directory replaced by a snapshot", "from", d.state.Index(), "to", e.state.Index())
			d.state = e.state
			d.updateTable(now)
		}
	case enginePeerHello:
		d.handleHello(now, e)
	case enginePeerMessage:
		d.handlePeerMessage(now, e.from, e.message)
	case engineProbe:
		d.handleProbe(now, e)
	case engineLoad:
		if endpoint, ok := d.state.EndpointByInstance(e.instance); ok {
			d.balancer.observe(endpoint, balance.Report{InFlight: e.inFlight, ReadAt: e.requestedAt})
		}
	case engineDirectory:
		e.result.Offer(d.state.Snapshot())
	case engineStop:
		d.beginStop(now)
	case engineStatus:
		e.result.Offer(d.currentStatus(now))
	}
	d.applyEffects()
	return nil
}

// handleProbe records the result of a probe. Failures are reported to the leader, and
// successes only if they can end a suspicion: reporting every probe would exceed
// the limit for control traffic (docs/CAPACITY.md).
func (d *engineDuty) handleProbe(now time.Duration, e engineProbe) {
	endpoint, ok := d.state.EndpointByInstance(e.instance)
	if !ok {
		return
	}
	d.flow.NoteEndpointStatus(now, endpoint.ID, e.accepts)
	if e.accepts && !endpoint.Suspected && !d.reportedFailed[e.instance] {
		return
	}
	// The first success after a failure is also reported, so that the leader counts only consecutive failures.
	d.reportedFailed[e.instance] = !e.accepts
	d.control.Offer(controlProbe{instance: e.instance, healthy: e.accepts})
}

// applyEntries applies log entries in order. A gap means that the control host dropped
// a batch under load; the control link then follows again from the applied index.
func (d *engineDuty) applyEntries(now time.Duration, e engineEntries) {
	for _, entry := range e.entries {
		switch {
		case entry.Index <= d.state.Index():
			continue
		case entry.Index != d.state.Index()+1:
			d.log.Warn("gap in the followed log", "have", d.state.Index(), "got", entry.Index)
			d.control.Offer(controlGap{})
			return
		}
		d.state.Apply(entry)
		if removed, ok := entry.Command.(directory.HostRemoved); ok && removed.Drain && d.isSelf(removed) {
			d.log.Info("drain requested by an operator")
			d.beginStop(now)
			d.requestShutdown()
		}
		// The flow engine must process every version of the table: a holder that is replaced
		// and becomes a holder again within one batch must not treat its old records as a
		// complete copy.
		if changesTable(entry.Command) {
			d.updateTable(now)
		}
	}
	if e.contactTime > 0 && d.isCurrent(e.committedIndex) {
		d.flow.RenewLease(e.contactTime)
	}
}

// beginStop starts the handover of records. It runs before the table without this
// host is applied, so that the flow engine knows which copies it must wait for.
func (d *engineDuty) beginStop(now time.Duration) {
	if d.stopping {
		return
	}
	d.stopping = true
	d.flow.Stop(now)
	d.control.Offer(controlStop{})
}

// isSelf reports whether a removal refers to this incarnation of the host.
func (d *engineDuty) isSelf(r directory.HostRemoved) bool {
	return r.Name == d.self.GetName() && r.Incarnation == d.self.GetIncarnation()
}

// changesTable reports whether a command may change services, endpoints, hosts or moves.
func changesTable(c directory.Command) bool {
	switch c.(type) {
	case nil, directory.ChangePrepared:
		return false
	default:
		return true
	}
}

// isCurrent reports whether contact with the leader may extend the host lease: the
// host has applied all committed entries, is listed in the directory and is not
// stopping. The leader does not wait for a host that fails one of these conditions.
func (d *engineDuty) isCurrent(committed uint64) bool {
	_, listed := d.listedSelf()
	return listed && !d.stopping && d.state.Index() >= committed
}

// updateTable updates everything that is derived from the directory.
func (d *engineDuty) updateTable(now time.Duration) {
	d.flow.SetTable(now, flow.TableOf(d.state))
	d.names.update(d.state)
	d.balancer.update(d.state)
	d.updatePeers(now)
	targets := d.probeTargets()
	d.probes.Offer(targets)
	d.deleteStaleReports(targets)
}

// deleteStaleReports deletes the reported results of instances that are no longer probed.
func (d *engineDuty) deleteStaleReports(targets []probeTarget) {
	probed := map[string]bool{}
	for _, t := range targets {
		probed[t.instance] = true
	}
	for instance := range d.reportedFailed {
		if !probed[instance] {
			delete(d.reportedFailed, instance)
		}
	}
}

// probeTargets returns the backend servers in this host's failure domain.
func (d *engineDuty) probeTargets() []probeTarget {
	targets := []probeTarget{}
	for _, id := range d.state.EndpointIDs() {
		endpoint, _ := d.state.Endpoint(id)
		if endpoint.State != directory.Removed && endpoint.Domain == d.self.GetDomain() {
			targets = append(targets, probeTarget{endpoint.Instance, endpoint.HealthURL, endpoint.LoadURL})
		}
	}
	return targets
}

func (d *engineDuty) handleTick(now time.Duration) {
	d.flow.Tick(now)
	for host, peer := range d.peerContacts {
		if (peer.up || peer.awaited) && now-peer.lastContact > peerTimeout {
			peer.up, peer.awaited = false, false
			d.peerContacts[host] = peer
			d.log.Warn("peer lost", "peer", host)
			d.flow.PeerDown(now, host)
			d.updatePeers(now)
		}
	}
	if now-d.lastHelloAt >= helloInterval {
		d.lastHelloAt = now
		d.sendHello()
	}
}

// reportApplied passes the applied and acknowledged log indexes to the control link.
func (d *engineDuty) reportApplied() {
	_, listed := d.listedSelf()
	d.control.Offer(controlApplied{appliedIndex: d.state.Index(), acknowledgedIndex: d.acknowledgedIndex, listed: listed})
}

// listedSelf returns this host's directory entry and whether it is of this incarnation.
func (d *engineDuty) listedSelf() (*directory.Host, bool) {
	self, ok := d.state.Host(d.self.GetName())
	return self, ok && self.Incarnation == d.self.GetIncarnation()
}

// applyEffects applies the effects that the flow engine has requested since the last call.
func (d *engineDuty) applyEffects() {
	effects := d.flow.TakeEffects()
	for _, m := range effects.Messages {
		d.peers.Offer(peerCommand{to: m.To, message: wire.PeerMessageToProto(m)})
	}
	if len(effects.Resets) > 0 {
		d.sendResets(effects.Resets)
	}
	if effects.AcknowledgedIndex != d.acknowledgedIndex {
		d.acknowledgedIndex = effects.AcknowledgedIndex
		d.reportApplied()
	}
	if effects.RepairComplete {
		d.log.Info("record copies complete")
	}
	d.status.HandoverComplete = d.status.HandoverComplete || effects.HandoverComplete
	if effects.FlowsLost > 0 || effects.HoldingsLost > 0 {
		d.status.FlowsLost += effects.FlowsLost
		d.log.Error("records lost", "flows", effects.FlowsLost, "holdings", effects.HoldingsLost)
	}
}

// sendResets sends TCP resets to the callers of silent flows. It uses an extra
// batch, which the writer discards when the ring of free batches is full.
func (d *engineDuty) sendResets(resets []flow.CallerReset) {
	b := newBatch()
	for _, r := range resets[:min(len(resets), batchSize)] {
		s := &b.slots[b.count]
		h := packet.Headers{Src: r.Caller, Dst: r.Service, Protocol: protocolTCP, Flags: packet.ACK, Ack: r.Sequence}
		inner, ok := packet.AppendReset(s.buffer[headroomBytes:headroomBytes], &h)
		if !ok {
			continue
		}
		s.start, s.end = headroomBytes, headroomBytes+len(inner)
		d.encapsulate(s, d.fabric, nil)
		b.count++
		d.counters.silentEnded.Inc(1)
	}
	if _, err := d.out.Put(b); err != nil {
		d.log.Warn("resets not sent", "error", err)
	}
}

// currentStatus returns the current status.
func (d *engineDuty) currentStatus(now time.Duration) Status {
	s := d.status
	s.AppliedIndex, s.Fenced, s.CutOff = d.state.Index(), d.flow.Fenced(), d.flow.CutOff()
	s.Flows, s.Records = d.flow.FlowCounts()
	s.SinceLastPacket = now - d.lastPacketAt
	return s
}
