package edge

import (
	"log/slog"
	"time"

	"cassiawood/internal/affinity"
	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// unconfirmedAfter is how long a host waits after its start for a state that a majority
	// confirms. It then serves with the unconfirmed one, since its failure domain may be cut off.
	unconfirmedAfter = 2 * time.Second
	// flowLinesPerSecond is the maximum rate of log lines about individual flows.
	flowLinesPerSecond = 50
	// ticksPerSecond is the number of ticks between updates of the metrics and the demand.
	ticksPerSecond = int(time.Second / tickInterval)
)

// event is a value in the inbox of the engine duty.
type event interface{ isEvent() }

type (
	arrived  struct{ datagram *datagram }
	tick     struct{}
	updated  struct{ update *wirepb.EdgeUpdate }
	isReady  struct{ reply *ring.Ring[bool] }
	stopping struct{}
	// isQuiet asks for the time since the last packet.
	isQuiet struct{ reply *ring.Ring[time.Duration] }
)

func (arrived) isEvent()  {}
func (tick) isEvent()     {}
func (updated) isEvent()  {}
func (isReady) isEvent()  {}
func (stopping) isEvent() {}
func (isQuiet) isEvent()  {}

// engineDuty owns the affinity engine, which decides about each packet, and feeds it with routes
// and endpoints.
type engineDuty struct {
	log     *slog.Logger
	engine  *affinity.Engine
	out     *ring.Ring[*datagram]
	free    *ring.Ring[*datagram]
	follow  *ring.Ring[followEvent]
	clock   func() time.Duration
	metrics *counters

	now        time.Duration
	known      map[uint64]registry.Endpoint
	listed     map[uint64]bool // endpoints that the control host has sent since the latest first part
	confirmed  bool            // a majority has confirmed the state since the start
	stateSince time.Duration   // when the host first had routes and endpoints; -1 before
	stopping   bool
	ready      bool // last logged readiness
	lastPacket time.Duration
	ticks      int
	lines      int // log lines about flows in this second
	withheld   int // lines left out in this second
}

func (d *engineDuty) handle(e event) error {
	d.now = d.clock()
	switch e := e.(type) {
	case arrived:
		d.decide(e.datagram)
	case tick:
		d.tick()
	case updated:
		d.update(e.update)
	case isReady:
		e.reply.Offer(d.isReady())
	case isQuiet:
		e.reply.Offer(d.now - d.lastPacket)
	case stopping:
		d.stopping = true
		d.isReady()
	}
	return nil
}

func (d *engineDuty) decide(g *datagram) {
	d.lastPacket = d.now
	decision := d.engine.Decide(d.now, g.packet)
	d.metrics.decisions[decision.Reason].Inc(1)
	d.logFlow(g.packet, decision)
	g.verdict = decision.Verdict
	switch decision.Verdict {
	case affinity.Forward:
		g.to, g.endpoint, g.token = decision.Endpoint.Address, decision.Endpoint.ID, decision.Token
	case affinity.Drop:
		d.free.Offer(g)
		return
	}
	if !d.out.Offer(g) {
		d.free.Offer(g)
	}
}

// logFlow logs a flow that begins, moves, stalls or ends here, at most flowLinesPerSecond times a
// second. Of the packets routed by token, only the first repetition is logged.
func (d *engineDuty) logFlow(p affinity.Packet, decision affinity.Decision) {
	if decision.Reason == affinity.ByToken && decision.DataRetransmits != 1 || decision.Reason == affinity.CallerReset {
		return
	}
	if d.lines++; d.lines > flowLinesPerSecond {
		d.withheld++
		return
	}
	attributes := []any{
		"flow", p.Caller, "route", p.Service, "reason", decision.Reason.String(), "version", d.engine.Version(), "copy", p.Retransmits,
		"repeats", decision.DataRetransmits, "ageMs", decision.Age.Milliseconds(),
	}
	if ep := decision.Endpoint; ep != nil {
		attributes = append(attributes, "endpoint", ep.Name, "service", ep.Service, "domain", ep.Domain, "silent", ep.Silent)
	} else {
		attributes = append(attributes, "token", p.Token)
	}
	d.log.Info("flow", attributes...)
}

func (d *engineDuty) tick() {
	d.engine.Tick(d.now)
	for _, s := range d.engine.TakeSuspicions() {
		d.log.Info("endpoint suspected", "endpoint", s.Endpoint, "suspect", s.Suspect, "failures", s.Failures)
	}
	for _, x := range d.engine.TakeExcesses() {
		d.log.Info("excess of flows", "service", x.Service, "begins", x.Begins, "flowsPerSlot", x.Load, "meanFlowsPerSlot", x.Mean, "factor", x.Factor)
	}
	if d.ticks++; d.ticks%ticksPerSecond != 0 {
		return
	}
	if d.withheld > 0 {
		d.log.Warn("lines about flows withheld", "count", d.withheld)
	}
	d.lines, d.withheld = 0, 0
	d.follow.Offer(measured{demand: d.engine.Demand()})
	d.metrics.flows.Update(int64(d.engine.FlowCount()))
	d.metrics.version.Update(int64(d.engine.Version()))
	d.metrics.endpoints.Update(int64(d.engine.EndpointCount()))
}

// update applies an update from the control host.
func (d *engineDuty) update(u *wirepb.EdgeUpdate) {
	if p := u.GetTable(); p != nil {
		d.setRoutes(p)
	}
	if u.GetFirstPart() {
		clear(d.listed)
	}
	for _, report := range u.GetEndpoints() {
		d.listed[report.GetId()] = true
		d.upsert(report)
	}
	for _, id := range u.GetForgotten() {
		d.remove(id)
	}
	if u.GetLastPart() {
		d.removeOthers()
	}
	if list := u.GetDemand(); len(list) > 0 {
		d.engine.SetDemand(d.now, wire.DemandFromProto(list))
	}
	if u.GetContact() && u.GetVersion() > 0 && d.engine.Version() >= u.GetVersion() {
		d.confirmed = true
	}
	if d.stateSince < 0 && d.engine.Version() > 0 && d.engine.EndpointCount() > 0 {
		d.stateSince = d.now
	}
}

func (d *engineDuty) setRoutes(p *wirepb.RouteTable) {
	table, err := wire.TableFromProto(p)
	if err != nil {
		d.log.Error("invalid routes, the previous ones stay in force", "version", p.GetVersion(), "error", err)
		return
	}
	before := d.engine.Version()
	if d.engine.SetRoutes(table) {
		d.log.Info("routes in force", "version", table.Version, "before", before, "routes", len(table.Routes))
	}
}

func (d *engineDuty) upsert(report *wirepb.EndpointReport) {
	e, err := wire.EndpointFromProto(report, d.now)
	if err != nil {
		d.log.Error("invalid endpoint report", "error", err)
		return
	}
	if old, ok := d.known[e.ID]; ok {
		if e.StartedAtMs < old.StartedAtMs {
			return
		}
		if e.StartedAtMs == old.StartedAtMs && e.State < old.State && e.Seq <= old.Seq {
			// A control host that was cut off may have missed the newer state of the endpoint.
			e.State = old.State
		}
		if e.State != old.State || e.Silent != old.Silent || e.StartedAtMs != old.StartedAtMs {
			d.log.Info("endpoint changed", "endpoint", e.Name, "service", e.Service, "state", e.State.String(), "silent", e.Silent,
				"born", e.StartedAtMs, "seq", e.Seq, "ageMs", report.GetAgeMs())
		}
	} else {
		d.log.Info("endpoint added", "endpoint", e.Name, "service", e.Service, "state", e.State.String(), "address", e.Address,
			"domain", e.Domain, "born", e.StartedAtMs, "seq", e.Seq)
	}
	d.known[e.ID] = e
	d.engine.Upsert(d.now, affinity.Endpoint{
		ID: e.ID, Name: e.Name, StartedAtMs: e.StartedAtMs, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots,
		AcceptsFlows: e.State == registry.Ready, Gone: e.State == registry.Gone, Silent: e.Silent, ColdUntil: e.ColdUntil,
	})
}

func (d *engineDuty) remove(id uint64) {
	if e, ok := d.known[id]; ok {
		d.log.Info("endpoint forgotten", "endpoint", e.Name, "service", e.Service, "state", e.State.String())
		delete(d.known, id)
		d.engine.Remove(id)
	}
}

// removeOthers removes the endpoints that the control host has not sent and that are gone or
// silent. It keeps the others, which a control host that has just started may not know yet.
func (d *engineDuty) removeOthers() {
	for id, e := range d.known {
		if !d.listed[id] && (e.State == registry.Gone || e.Silent) {
			d.remove(id)
		}
	}
}

// isReady reports whether the fabric may send packets to this host, and logs changes. A host that
// has just started first waits for a state that a majority has confirmed.
func (d *engineDuty) isReady() bool {
	has := d.stateSince >= 0
	ready := has && !d.stopping && (d.confirmed || d.now-d.stateSince >= unconfirmedAfter)
	if ready != d.ready {
		d.ready = ready
		d.log.Info("readiness", "ready", ready, "hasState", has, "confirmed", d.confirmed, "stopping", d.stopping,
			"version", d.engine.Version(), "endpoints", d.engine.EndpointCount())
	}
	return ready
}
