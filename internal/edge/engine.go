package edge

import (
	"log/slog"
	"time"

	"cassiawood/internal/affinity"
	"cassiawood/internal/duty"
	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// unconfirmedStateWait is how long a host waits after its start for a state that a majority
	// confirms. It then serves with the unconfirmed one, since its failure domain may be cut off.
	unconfirmedStateWait = 2 * time.Second
	// maxFlowLinesPerSecond is the maximum rate of log lines about individual flows, and
	// maxDropLinesPerSecond that of lines about packets that are dropped. They are apart, because drops
	// come in floods, and the flows that are placed right after them must not be missing.
	maxFlowLinesPerSecond = 50
	maxDropLinesPerSecond = 20
	// maxFailureLinesPerSecond is the maximum rate of log lines about contained panics, which hold a stack.
	maxFailureLinesPerSecond = 2
	// maxResetsAtOnce leaves most of the ring of outgoing packets to forwarded packets.
	maxResetsAtOnce = datagramCount / 4
	// ticksPerSecond is the number of ticks between updates of the metrics and the demand.
	ticksPerSecond = int(time.Second / tickInterval)
)

// event is a value in the inbox of the engine duty.
type event interface{ isEvent() }

type (
	packetArrived struct{ datagram *datagram }
	tick          struct{}
	stateUpdated  struct{ update *wirepb.EdgeUpdate }
	readyQuery    struct{ reply *ring.Ring[bool] }
	stopping      struct{}
	// followedAnew says that all later updates come from connections that were opened after the latest
	// pauseEnded.
	followedAnew struct{}
	// idleQuery asks for the time since the last packet.
	idleQuery struct{ reply *ring.Ring[time.Duration] }
)

func (packetArrived) isEvent() {}
func (tick) isEvent()          {}
func (stateUpdated) isEvent()  {}
func (readyQuery) isEvent()    {}
func (stopping) isEvent()      {}
func (followedAnew) isEvent()  {}
func (idleQuery) isEvent()     {}

// engineDuty owns the affinity engine, which decides about each packet, and feeds it with routes
// and endpoints.
type engineDuty struct {
	log           *slog.Logger
	engine        *affinity.Engine
	packetsOut    *ring.Ring[*datagram]
	freeDatagrams *ring.Ring[*datagram]
	followInbox   *ring.Ring[followEvent]
	clock         func() time.Duration
	bootClock     func() time.Duration // goes on while the machine is suspended
	metrics       *counters

	now               time.Duration
	endpoints         map[uint64]registry.Endpoint
	listedEndpoints   map[uint64]bool // endpoints that the control host has sent since the latest first part
	confirmed         bool            // a majority has confirmed the state since the start
	isIncomplete      bool            // the control host has sent the first part of its state, but not the last one yet
	stateSince        time.Duration   // when the host first had routes and endpoints; -1 before
	stopping          bool
	loggedReady       bool // last logged readiness
	lastPacket        time.Duration
	pause             pauseGuard
	rotation          rotationWatch
	ticks             int
	flowLines         int           // log lines about flows in this second, but for drops
	dropLines         int           // log lines about dropped packets in this second
	withheldFlowLines int           // lines left out in this second
	failureLines      int           // contained panics in this second
	losesPackets      bool          // last logged state of the losses on the path
	updatedAt         time.Duration // of the last update of a control host; 0 before
	explanations      int           // in this second
}

func (d *engineDuty) handle(e event) error {
	d.now = d.clock()
	d.checkPause()
	switch e := e.(type) {
	case packetArrived:
		d.handlePacket(e.datagram)
	case tick:
		d.tick()
	case stateUpdated:
		d.applyUpdate(e.update)
	case readyQuery:
		isReady := d.isReady()
		d.rotation.own.Answered(d.instant(), isReady)
		e.reply.Offer(isReady)
	case explainQuery:
		e.reply.Offer(d.explain(e.query))
	case idleQuery:
		e.reply.Offer(d.now - d.lastPacket)
	case stopping:
		d.stopping = true
		d.isReady()
		d.rotation.own.Leave()
		d.followInbox.Offer(rotationMessage{stopping: true})
	case followedAnew:
		d.pause.followedAnew()
	}
	return nil
}

func (d *engineDuty) handlePacket(g *datagram) {
	d.lastPacket = d.now
	decision, err := d.decide(g.packet)
	if err != nil {
		d.freeDatagrams.Offer(g)
		return
	}
	d.metrics.decisions[decision.Reason].Inc(1)
	d.logFlow(g.packet, decision)
	g.verdict = decision.Verdict
	switch decision.Verdict {
	case affinity.Forward:
		g.endpointAddress, g.endpoint, g.token = decision.Endpoint.Address, decision.Endpoint.ID, decision.Token
	case affinity.Drop:
		d.freeDatagrams.Offer(g)
		return
	}
	if !d.packetsOut.Offer(g) {
		d.freeDatagrams.Offer(g)
	}
}

// decide returns the engine's decision about a packet. A panic drops the packet, not the process: callers
// could end all entry hosts otherwise. The flows are forgotten, as they may be half changed.
func (d *engineDuty) decide(p affinity.Packet) (decision affinity.Decision, err error) {
	err = duty.Contain(func() error {
		decision = d.engine.Decide(d.now, p)
		return nil
	})
	if err != nil {
		d.metrics.failed.Inc(1)
		d.engine.ForgetFlows()
		d.logFailure("packet dropped", err, "flow", p.Caller, "route", p.Service, "flags", p.Flags)
	}
	return decision, err
}

// logFailure logs a panic that was contained or an odd value that was left out, at most maxFailureLinesPerSecond times a second.
func (d *engineDuty) logFailure(message string, err error, attributes ...any) {
	if d.failureLines++; d.failureLines <= maxFailureLinesPerSecond {
		d.log.Error(message, append(attributes, "reason", err)...)
	}
}

// logFlow logs a flow that begins, moves, stalls or ends here, at most maxFlowLinesPerSecond and
// maxDropLinesPerSecond times a second. Of the packets routed by token, only the first repetition is logged.
func (d *engineDuty) logFlow(p affinity.Packet, decision affinity.Decision) {
	if decision.Reason == affinity.ByToken && decision.DataRetransmits != 1 || decision.Reason == affinity.CallerReset {
		return
	}
	if !d.mayLogFlow(decision.Verdict) {
		d.withheldFlowLines++
		return
	}
	attributes := []any{
		"flow", p.Caller, "route", p.Service, "reason", decision.Reason.String(), "version", d.engine.Version(), "copy", p.Retransmits,
		"repeats", decision.DataRetransmits, "ageMs", decision.Age.Milliseconds(),
	}
	if ep := decision.Endpoint; ep != nil {
		attributes = append(attributes, "endpoint", ep.Name, "service", ep.Service, "domain", ep.Domain, "silent", ep.Silent, "working", decision.Working, "open", decision.OpenFlows)
	} else {
		attributes = append(attributes, "token", p.Token)
	}
	d.log.Info("flow", attributes...)
}

// mayLogFlow counts a line about a flow and reports whether it is within the limits of this second.
func (d *engineDuty) mayLogFlow(v affinity.Verdict) bool {
	if v == affinity.Drop {
		d.dropLines++
		return d.dropLines <= maxDropLinesPerSecond
	}
	d.flowLines++
	return d.flowLines <= maxFlowLinesPerSecond
}

func (d *engineDuty) tick() {
	d.engine.Tick(d.now)
	for _, s := range d.engine.TakeSuspicions() {
		d.log.Info("endpoint suspected", "endpoint", s.Endpoint, "suspect", s.Suspect, "failures", s.Failures)
	}
	for _, x := range d.engine.TakeExcesses() {
		d.log.Info("excess of flows", "service", x.Service, "begins", x.Begins, "flowsPerSlot", x.Load, "meanFlowsPerSlot", x.Mean, "factor", x.Factor)
	}
	d.askAboutRotation()
	if d.ticks++; d.ticks%ticksPerSecond != 0 {
		return
	}
	if d.withheldFlowLines > 0 {
		d.log.Warn("lines about flows withheld", "count", d.withheldFlowLines)
	}
	d.flowLines, d.dropLines, d.withheldFlowLines, d.failureLines, d.explanations = 0, 0, 0, 0, 0
	d.followInbox.Offer(demandMeasured{demand: d.engine.LocalDemand(), delays: d.engine.TakeDelays()})
	d.reportPathLosses()
	d.metrics.flows.Update(int64(d.engine.FlowCount()))
	d.metrics.version.Update(int64(d.engine.Version()))
	d.metrics.endpoints.Update(int64(d.engine.EndpointCount()))
	d.metrics.evacuations.Update(int64(len(d.engine.Evacuations().Domains)))
}

// reportPathLosses updates the metric of the losses on the path and logs when they become high, and when they cease to be.
func (d *engineDuty) reportPathLosses() {
	share, isHigh := d.engine.PathLosses(d.now)
	d.metrics.pathLoss.Update(int64(share * 1000))
	if isHigh != d.losesPackets {
		d.losesPackets = isHigh
		d.log.Info("losses on the path", "high", isHigh, "share", share)
	}
}

// applyUpdate applies an update from the control host.
func (d *engineDuty) applyUpdate(u *wirepb.EdgeUpdate) {
	d.updatedAt = d.now
	d.setEvacuations(u) // before routes and endpoints, so that the first ones are not used without it
	if routeTable := u.GetTable(); routeTable != nil {
		d.setRoutes(routeTable)
	}
	if u.GetFirstPart() {
		clear(d.listedEndpoints)
		d.isIncomplete = true
	}
	for _, report := range u.GetEndpoints() {
		d.listedEndpoints[report.GetId()] = true
		// The others of the list are used, whatever one entry does.
		if err := duty.Contain(func() error { d.upsert(report); return nil }); err != nil {
			d.metrics.failed.Inc(1)
			d.logFailure("endpoint left out", err, "endpoint", report.GetName(), "service", report.GetService())
		}
	}
	for _, id := range u.GetForgotten() {
		d.remove(id)
	}
	d.setColdGrants(u)
	d.applyRotation(u)
	if u.GetLastPart() {
		d.isIncomplete = false
		d.removeUnlisted()
		d.pause.completed()
	}
	if list := u.GetDemand(); len(list) > 0 {
		d.engine.SetDemand(d.now, wire.DemandFromProto(list))
	}
	d.applyDelays(u)
	// The version says nothing about the evacuations, which come with the last part.
	if u.GetContact() && !d.isIncomplete && u.GetVersion() > 0 && d.engine.Version() >= u.GetVersion() {
		d.confirmed = true
	}
	if d.stateSince < 0 && d.engine.Version() > 0 && d.engine.EndpointCount() > 0 {
		d.stateSince = d.now
		// One line instead of one for each endpoint, so that the host serves sooner. The lines about flows
		// and the log of the control host have the details.
		d.log.Info("first state", "version", d.engine.Version(), "endpoints", d.engine.EndpointCount(), "known", len(d.endpoints), "contact", u.GetContact())
	}
}

func (d *engineDuty) setRoutes(routeTable *wirepb.RouteTable) {
	table, err := wire.TableFromProto(routeTable)
	if err != nil {
		d.log.Error("invalid routes, the previous ones stay in force", "version", routeTable.GetVersion(), "error", err)
		return
	}
	before := d.engine.Version()
	if d.engine.SetRoutes(table) {
		d.log.Info("routes in force", "version", table.Version, "before", before, "routes", len(table.Routes))
	}
}

func (d *engineDuty) upsert(report *wirepb.EndpointReport) {
	e, err := wire.EndpointReportFromProto(report, d.now)
	if err != nil {
		d.log.Error("invalid endpoint report", "error", err)
		return
	}
	if old, ok := d.endpoints[e.ID]; ok {
		if e.StartedAtMs < old.StartedAtMs {
			return
		}
		if e.StartedAtMs == old.StartedAtMs && e.State < old.State && (e.Seq <= old.Seq || old.State == registry.Draining && e.StartedAtMs != 0) {
			// A control host that was cut off may have missed the newer state of the endpoint, though it has its latest
			// sign of life. An incarnation that drains does not become ready again.
			e.State = old.State
		}
		e.KeepSlowStart(old)
		if e.State != old.State || e.Silent != old.Silent || e.StartedAtMs != old.StartedAtMs || e.RemovalReported() != old.RemovalReported() {
			d.log.Info("endpoint changed", "endpoint", e.Name, "service", e.Service, "state", e.State.String(), "silent", e.Silent,
				"removalReported", e.RemovalReported(), "left", e.HasLeft(),
				"born", e.StartedAtMs, "seq", e.Seq, "ageMs", report.GetAgeMs())
		}
	} else if d.stateSince >= 0 {
		d.log.Info("endpoint added", "endpoint", e.Name, "service", e.Service, "state", e.State.String(), "address", e.Address,
			"domain", e.Domain, "born", e.StartedAtMs, "seq", e.Seq)
	}
	d.endpoints[e.ID] = e
	d.engine.Upsert(d.now, affinity.Endpoint{
		ID: e.ID, Name: e.Name, StartedAtMs: e.StartedAtMs, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots,
		AcceptsFlows: e.AcceptsFlows(), Gone: e.HasLeft(), Silent: e.Silent, ColdUntil: e.ColdUntil, ColdSeq: e.ColdSeq,
	})
}

func (d *engineDuty) remove(id uint64) {
	if e, ok := d.endpoints[id]; ok {
		d.log.Info("endpoint forgotten", "endpoint", e.Name, "service", e.Service, "state", e.State.String())
		delete(d.endpoints, id)
		d.engine.Remove(id)
	}
}

// removeUnlisted removes the endpoints that the control host has not sent and that are gone or
// silent. It keeps the others, which a control host that has just started may not know yet.
func (d *engineDuty) removeUnlisted() {
	for id, e := range d.endpoints {
		if !d.listedEndpoints[id] && (e.HasLeft() || e.Silent) {
			d.remove(id)
		}
	}
}

// mayServe reports whether the fabric may send packets to this host. A host that has just started
// first waits for a state that a majority has confirmed.
func (d *engineDuty) mayServe() bool {
	return d.stateSince >= 0 && !d.stopping && !d.pause.holds && (d.confirmed || d.now-d.stateSince >= unconfirmedStateWait)
}

// isReady returns the result of mayServe and logs changes.
func (d *engineDuty) isReady() bool {
	hasState, ready := d.stateSince >= 0, d.mayServe()
	if ready != d.loggedReady {
		d.loggedReady = ready
		d.log.Info("readiness", "ready", ready, "hasState", hasState, "confirmed", d.confirmed, "stopping", d.stopping,
			"afterPause", d.pause.holds, "version", d.engine.Version(), "endpoints", d.engine.EndpointCount())
	}
	return ready
}
