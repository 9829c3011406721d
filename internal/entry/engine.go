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
	// helloInterval is also the heartbeat between peers; peerTimeout covers the loss
	// of three of them on a lossy link.
	helloInterval = 500 * time.Millisecond
	peerTimeout   = 2 * time.Second
)

// Status is a view of the entry host for telemetry and the stop.
type Status struct {
	Index            uint64
	Fenced           bool
	CutOff           bool
	Flows            int
	Records          int
	HandoverComplete bool
	FlowsLost        int
	LastPacket       time.Duration // since the last packet from the fabric
}

// engineDuty owns the flow engine and the copy of the directory. It waits only
// for the writer, which waits for nobody.
type engineDuty struct {
	log      *slog.Logger
	self     *wirepb.Host
	flow     *flow.Engine
	balancer *balancer
	state    *directory.State
	fabric   netip.AddrPort
	out      *ring.Ring[*batch]
	control  *ring.Ring[controlEvent]
	peers    *ring.Ring[peerCommand]
	probes   *ring.Ring[[]probeTarget]
	counters *counters
	clock    func() time.Duration
	drained  func() // begins the planned stop of the process

	names       names
	heard       map[string]heardPeer
	peerHosts   map[string]directory.Host // those with a link
	reported    map[string]bool           // instances whose last reported probe failed
	lastHello   time.Duration
	lastSeen    time.Duration
	acknowledge uint64
	stopping    bool
	status      Status
}

func (d *engineDuty) handle(e engineEvent) error {
	now := d.clock()
	d.balancer.advance(now)
	switch e := e.(type) {
	case enginePackets:
		d.packets(now, e.batch)
		if _, err := d.out.Put(e.batch); err != nil {
			return err
		}
	case engineTick:
		d.tick(now)
	case engineEntries:
		d.entries(now, e)
	case engineSnapshot:
		if e.state.Index() > d.state.Index() {
			d.log.Info("directory replaced by a snapshot", "from", d.state.Index(), "to", e.state.Index())
			d.state = e.state
			d.tableChanged(now)
		}
	case enginePeerHello:
		d.hello(now, e)
	case enginePeerMessage:
		d.peerMessage(now, e.from, e.message)
	case engineProbe:
		d.probed(now, e)
	case engineLoad:
		if endpoint, ok := d.state.EndpointByInstance(e.instance); ok {
			d.balancer.observe(endpoint, balance.Report{InFlight: e.inFlight, ReadAt: e.at})
		}
	case engineDirectory:
		e.result.Offer(d.state.Snapshot())
	case engineStop:
		d.beginStop(now)
	case engineStatus:
		e.result.Offer(d.report(now))
	}
	d.drain()
	return nil
}

// probed notes a probe. The leader hears of failures, and of successes only while they
// can end a suspicion: reports of every probe would exceed the control traffic
// allowed (docs/CAPACITY.md).
func (d *engineDuty) probed(now time.Duration, e engineProbe) {
	endpoint, ok := d.state.EndpointByInstance(e.instance)
	if !ok {
		return
	}
	d.flow.NoteEndpointStatus(now, endpoint.ID, e.accepts)
	if e.accepts && !endpoint.Suspected && !d.reported[e.instance] {
		return
	}
	// A success after a failure is reported too, so that the leader counts only failures in a row.
	d.reported[e.instance] = !e.accepts
	d.control.Offer(controlProbe{instance: e.instance, healthy: e.accepts})
}

// entries applies log entries in order. A gap means that the control host
// dropped a batch under load; the engine asks to be served anew from its index.
func (d *engineDuty) entries(now time.Duration, e engineEntries) {
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
			d.log.Info("an operator drains this host")
			d.beginStop(now)
			d.drained()
		}
		// The engine has to see each table: a holder that was replaced and is a holder again
		// within one batch must not take its old records for a whole copy.
		if changesTable(entry.Command) {
			d.tableChanged(now)
		}
	}
	if e.contact > 0 && d.isCurrent(e.committed) {
		d.flow.RenewLease(e.contact)
	}
}

// beginStop starts the handover. It comes before the table without this host, so
// that the flow engine notes which copies it has to wait for.
func (d *engineDuty) beginStop(now time.Duration) {
	if d.stopping {
		return
	}
	d.stopping = true
	d.flow.Stop(now)
	d.control.Offer(controlStop{})
}

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
// host has applied all committed entries, and the directory lists it. The leader
// does not wait for a host for which one of these fails.
func (d *engineDuty) isCurrent(committed uint64) bool {
	_, listed := d.listed()
	return listed && !d.stopping && d.state.Index() >= committed
}

func (d *engineDuty) tableChanged(now time.Duration) {
	d.flow.SetTable(now, flow.TableOf(d.state))
	d.names.update(d.state)
	d.balancer.update(d.state)
	d.updatePeers(now)
	targets := d.probeTargets()
	d.probes.Offer(targets)
	d.forgetReports(targets)
}

// forgetReports drops the notes on instances that are no longer probed.
func (d *engineDuty) forgetReports(targets []probeTarget) {
	probed := map[string]bool{}
	for _, t := range targets {
		probed[t.instance] = true
	}
	for instance := range d.reported {
		if !probed[instance] {
			delete(d.reported, instance)
		}
	}
}

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

func (d *engineDuty) tick(now time.Duration) {
	d.flow.Tick(now)
	for host, peer := range d.heard {
		if (peer.up || peer.awaited) && now-peer.at > peerTimeout {
			peer.up, peer.awaited = false, false
			d.heard[host] = peer
			d.log.Warn("peer lost", "peer", host)
			d.flow.PeerDown(now, host)
			d.updatePeers(now)
		}
	}
	if now-d.lastHello >= helloInterval {
		d.lastHello = now
		d.sayHello()
	}
}

func (d *engineDuty) tellControl() {
	_, listed := d.listed()
	d.control.Offer(controlApplied{applied: d.state.Index(), acknowledge: d.acknowledge, listed: listed})
}

// listed returns this incarnation of the host as the directory lists it.
func (d *engineDuty) listed() (*directory.Host, bool) {
	self, ok := d.state.Host(d.self.GetName())
	return self, ok && self.Incarnation == d.self.GetIncarnation()
}

// drain carries out what the flow engine wants done.
func (d *engineDuty) drain() {
	effects := d.flow.TakeEffects()
	for _, m := range effects.Messages {
		d.peers.Offer(peerCommand{to: m.To, message: wire.PeerMessageToProto(m)})
	}
	if len(effects.Resets) > 0 {
		d.sendResets(effects.Resets)
	}
	if effects.AcknowledgedIndex != d.acknowledge {
		d.acknowledge = effects.AcknowledgedIndex
		d.tellControl()
	}
	if effects.RepairComplete {
		d.log.Info("copies of records are whole")
	}
	d.status.HandoverComplete = d.status.HandoverComplete || effects.HandoverComplete
	if effects.FlowsLost > 0 || effects.HoldingsLost > 0 {
		d.status.FlowsLost += effects.FlowsLost
		d.log.Error("records lost", "flows", effects.FlowsLost, "holdings", effects.HoldingsLost)
	}
}

// sendResets ends silent flows towards their callers. The batch is not one of
// the reader's; the writer lets it go when the ring of free batches is full.
func (d *engineDuty) sendResets(resets []flow.CallerReset) {
	b := newBatch()
	for _, r := range resets[:min(len(resets), batchSize)] {
		s := &b.slots[b.n]
		h := packet.Headers{Src: r.Caller, Dst: r.Service, Protocol: protocolTCP, Flags: packet.ACK, Ack: r.Sequence}
		inner, ok := packet.AppendReset(s.buffer[headroom:headroom], &h)
		if !ok {
			continue
		}
		s.start, s.end = headroom, headroom+len(inner)
		d.wrap(s, d.fabric, nil)
		b.n++
		d.counters.silent.Inc(1)
	}
	if _, err := d.out.Put(b); err != nil {
		d.log.Warn("resets not sent", "error", err)
	}
}

func (d *engineDuty) report(now time.Duration) Status {
	s := d.status
	s.Index, s.Fenced, s.CutOff = d.state.Index(), d.flow.Fenced(), d.flow.CutOff()
	s.Flows, s.Records = d.flow.FlowCounts()
	s.LastPacket = now - d.lastSeen
	return s
}
