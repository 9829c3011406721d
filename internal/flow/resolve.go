package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

// lookupStep is a failure domain whose holders may have a record of the flow, with an
// endpoint of the bucket in that domain.
type lookupStep struct {
	endpoint directory.EndpointID
	home     DomainID
}

// lookupPlan lists the failure domains whose holders are queried, in query order.
type lookupPlan struct {
	steps    [MaxAskedDomains]lookupStep
	length   int
	overflow bool // the bucket spans more than MaxAskedDomains failure domains
}

// add appends the failure domain of an endpoint unless it is listed already.
func (pl *lookupPlan) add(e *Engine, id directory.EndpointID) {
	if id == 0 {
		return
	}
	home, ok := e.endpointDomain(id)
	if !ok {
		return
	}
	for i := range pl.length {
		if pl.steps[i].home == home {
			return
		}
	}
	if pl.length == MaxAskedDomains {
		pl.overflow = true
		return
	}
	pl.steps[pl.length] = lookupStep{id, home}
	pl.length++
}

// lookupPlanFor returns the failure domains to query for a flow of the bucket. The target of
// a prepared move comes first: its holders store the records of flows that begin while
// the move is prepared, so that a first packet that is retransmitted after the commit
// finds its record there.
func (e *Engine) lookupPlanFor(svc *Service, b *directory.Bucket) lookupPlan {
	var pl lookupPlan
	pl.add(e, b.Next)
	if svc.BalanceFirst && b.Next == 0 {
		pl.add(e, b.Current)
	}
	for _, id := range b.Since {
		pl.add(e, id)
	}
	if svc.BalanceFirst {
		pl.add(e, b.Current)
		pl.add(e, b.Base)
	}
	return pl
}

// drop returns the verdict that drops a packet.
func drop(r Reason) Verdict { return Verdict{Action: Drop, Reason: r} }

// HandlePacket returns the verdict for one packet. It does not allocate for a known flow.
func (e *Engine) HandlePacket(now time.Duration, p *Packet) Verdict {
	e.setNow(now)
	if e.table == nil {
		return drop(ReasonNoTable)
	}
	pc := packetContext{packet: p, handoff: &e.scratchHandoff}
	if r := e.lookUp(&pc); r != NoReason {
		return drop(r)
	}
	if p.Protocol == ProtocolTCP && p.Flags&SYN != 0 && p.Flags&(FIN|RST) != 0 {
		return drop(ReasonMalformed)
	}
	if p.Handoff.Present {
		if p.Handoff.Service != pc.svc.Name {
			return drop(ReasonServiceChanged)
		}
		if p.Handoff.Hops >= maxHops {
			return drop(ReasonTooManyHops)
		}
		if p.Handoff.HasRecord {
			if v, done := e.acceptRecord(&pc); done {
				return v
			}
		}
	}
	if v, done := e.resolveIfFenced(&pc); done {
		return v
	}
	if pc.bucket.Settled() && !pc.svc.BalanceFirst {
		return e.resolveSettled(&pc)
	}
	return e.resolveTracked(&pc)
}

// resolveSettled resolves a packet of a settled bucket, all of whose flows use the current
// endpoint (docs/design.md, section 5.2, rules 1 and 3).
func (e *Engine) resolveSettled(pc *packetContext) Verdict {
	id := pc.bucket.Current
	if pc.isFirst() {
		if r := e.refusalReason(pc, id); r != NoReason {
			return e.refusalVerdict(r)
		}
	}
	return e.deliver(pc, id, e.observeFlow(pc, id))
}

// refusalReason returns the reason why a new flow may not be placed on an endpoint, or NoReason.
func (e *Engine) refusalReason(pc *packetContext, id directory.EndpointID) Reason {
	if pc.svc.Quarantined {
		return ReasonQuarantined
	}
	ep, ok := e.endpoint(id)
	if !ok {
		if pc.bucket.Next != 0 {
			return ReasonNotAccepting // the move to the bucket's first endpoint is not committed yet
		}
		return ReasonNoEndpoint
	}
	if !e.table.Accepts(id) {
		return ReasonNotAccepting
	}
	return e.fencedRefusalReason(ep)
}

// refusalVerdict returns the verdict for a new flow that cannot be placed. The outcome is never
// NotRun, because another host may have forwarded an earlier copy of the packet.
func (e *Engine) refusalVerdict(r Reason) Verdict {
	if r == ReasonQuarantined || r == ReasonNoEndpoint {
		return Verdict{Action: Reset, Outcome: Unknown, Reason: r}
	}
	return drop(r)
}

// resolveTracked resolves a packet of a bucket whose flows have records (docs/design.md,
// section 5.2, rules 2, 4 and 5).
func (e *Engine) resolveTracked(pc *packetContext) Verdict {
	pos, en := e.flows.find(&pc.key, pc.hash)
	if en != nil {
		if v, done := e.resolveFromEntry(pc, pos, en); done {
			return v
		}
	}
	e.prepareHandOff(pc)
	return e.queryHolders(pc)
}

// prepareHandOff copies the packet's hand-off option into the packet context, or starts a
// new one.
func (e *Engine) prepareHandOff(pc *packetContext) {
	*pc.handoff = pc.packet.Handoff
	pc.handoff.HasRecord = false
	if !pc.handoff.Present {
		*pc.handoff = Handoff{
			Present: true, Service: pc.svc.Name, Bucket: uint32(pc.bucketNumber), Ingress: e.cfg.Host, AskedAt: e.now,
		}
	}
}

// resolveFromEntry resolves a packet from a record that this host holds or from an unexpired
// hint. It returns false if the entry cannot be used.
func (e *Engine) resolveFromEntry(pc *packetContext, pos uint32, en *entry) (Verdict, bool) {
	switch en.kind {
	case entryRecord:
		h := &e.holdings[en.holding]
		if !h.has(e.cfg.Host) {
			return Verdict{}, false
		}
		if pc.needsFirstHolder() && h.first != e.cfg.Host && pc.packet.Handoff.PassedToSecond != h.key.home &&
			e.reachable(h.first) {
			return Verdict{}, false
		}
		if pc.isFirst() {
			return e.resolveRepeatedFirst(pc, pos, en)
		}
		e.trackClosing(pc.packet, en)
		e.sendHint(pc, en)
		return e.deliver(pc, en.endpoint, en), true
	case entryHint:
		if pc.needsFirstHolder() || pc.packet.Handoff.Present || en.hintEpoch != e.hintEpoch || e.clock.since(en.closedOrAskedAt) >= hintTTL {
			return Verdict{}, false
		}
		return e.deliver(pc, en.endpoint, en), true
	default:
		return Verdict{}, false
	}
}

// trackClosing tracks FIN and RST, from which rule 8 of docs/design.md, section 5.2, determines
// when a flow has ended. Data that arrives more than a second after a reset clears the reset, since
// the other end evidently did not accept it.
func (e *Engine) trackClosing(p *Packet, en *entry) {
	if p.Protocol != ProtocolTCP {
		return
	}
	if p.Flags&RST != 0 {
		en.flags |= flagReset
	} else if p.PayloadLen > 0 && en.flags&flagReset != 0 && e.clock.since(en.closedOrAskedAt) > time.Second {
		en.flags, en.closedOrAskedAt = en.flags&^flagReset, 0
	}
	if p.Flags&FIN != 0 {
		if p.Direction == FromCaller {
			en.flags |= flagCallerFIN
		} else {
			en.flags |= flagBackendFIN
		}
	}
	if en.closedOrAskedAt == 0 && isClosed(en) {
		en.closedOrAskedAt = e.clock
		if e.cfg.OnFlowClosed != nil && en.kind == entryRecord && e.holdings[en.holding].first == e.cfg.Host {
			e.cfg.OnFlowClosed(en.endpoint, e.clock.since(en.createdAt))
		}
	}
}

// isClosed reports whether a reset or a FIN from each side was seen.
func isClosed(en *entry) bool {
	const both = flagCallerFIN | flagBackendFIN
	return en.flags&flagReset != 0 || en.flags&both == both
}

// reachable reports whether a packet may be handed off to a host. A host without a known
// peer link counts as reachable, because packets are not sent over peer links.
func (e *Engine) reachable(host string) bool {
	if host == "" {
		return false
	}
	p := e.peers[host]
	return p == nil || p.up
}

// queryHolders hands the packet off to the next holder that may have a record. If this host is the
// last one to be queried and has no record, it resolves the packet without a record.
func (e *Engine) queryHolders(pc *packetContext) Verdict {
	pl := e.lookupPlanFor(pc.svc, &pc.bucket)
	if pl.overflow {
		return drop(ReasonNoHolder)
	}
	if pc.isFirst() && pl.length > 1 {
		// The holder that places the flow is queried last, after all others reported no record.
		slices.Reverse(pl.steps[:pl.length])
	}
	holdingPos := uint32(0)
	for i, step := range pl.steps[:pl.length] {
		if slices.Contains(pc.handoff.Asked[:pc.handoff.AskedCount], step.home) {
			continue
		}
		v, pos, done := e.queryDomain(pc, step, i == pl.length-1)
		if done {
			return v
		}
		holdingPos = pos
		if int(pc.handoff.AskedCount) == MaxAskedDomains {
			return drop(ReasonTooManyHops)
		}
		pc.handoff.Asked[pc.handoff.AskedCount] = step.home
		pc.handoff.AskedCount++
		pc.handoff.PassedToSecond = 0
	}
	if pc.isFirst() {
		return drop(ReasonNoHolder)
	}
	return e.resolveWithoutRecord(pc, holdingPos)
}

// queryDomain queries the holders of one failure domain. done is false if this host is one
// of them and can rule out a record; holdingPos is then the position of its holding.
func (e *Engine) queryDomain(pc *packetContext, step lookupStep, last bool) (v Verdict, holdingPos uint32, done bool) {
	pos := e.holdingsByKey[holdingKey{pc.svc.Name, uint32(pc.bucketNumber), step.home}]
	if pos == 0 {
		return drop(ReasonNoHolder), 0, true
	}
	h := &e.holdings[pos]
	self := e.cfg.Host
	passedHere := pc.handoff.PassedToSecond == step.home
	mayAnswer := h.first == self || (h.second == self && (passedHere || !e.reachable(h.first)))
	if h.second == self && !pc.needsFirstHolder() && h.complete {
		mayAnswer = true
	}
	if passedHere && h.first == self {
		return drop(ReasonNoHolder), 0, true
	}
	switch {
	case mayAnswer && pc.isFirst() && last:
		if h.mayPlace(e.clock) {
			return e.placeFlow(pc, pos), pos, true
		}
	case mayAnswer && h.mayReportMissing(pc.isFirst(), e.clock):
		return Verdict{}, pos, false
	}
	if mayAnswer && h.first != self {
		return drop(ReasonNoHolder), 0, true
	}
	return e.handOffToHolder(pc, h), 0, true
}

// handOffToHolder hands the packet off to a holder other than this host.
func (e *Engine) handOffToHolder(pc *packetContext, h *holding) Verdict {
	target := h.first
	if h.first == e.cfg.Host {
		target = h.second
		pc.handoff.PassedToSecond = h.key.home
	} else if !e.reachable(h.first) {
		target = h.second
	}
	if target == "" || target == e.cfg.Host || !e.reachable(target) {
		return drop(ReasonNoHolder)
	}
	return e.handOff(pc, target)
}

// handOff returns the verdict that sends the packet to another entry host.
func (e *Engine) handOff(pc *packetContext, target string) Verdict {
	pc.handoff.Hops++
	if pc.handoff.Hops > maxHops {
		return drop(ReasonTooManyHops)
	}
	return Verdict{Action: HandOff, Host: target, Handoff: *pc.handoff}
}

// resolveWithoutRecord resolves a packet of a flow that no holder has a record of. Such a flow
// began while the bucket was settled, so it belongs to the base endpoint. The first holder
// stores a record from now on, so that its answer can be cached and rule 8 of
// docs/design.md, section 5.2, applies to the flow.
func (e *Engine) resolveWithoutRecord(pc *packetContext, holdingPos uint32) Verdict {
	id := pc.bucket.Base
	if pc.svc.BalanceFirst && pc.bucket.Settled() {
		id = 0 // every flow of a balance-first service has a record
	}
	if id == 0 {
		return drop(ReasonNoRecord)
	}
	if e.CutOff() && e.hasUnreachableHost() {
		return drop(ReasonCutOff)
	}
	ep, ok := e.endpoint(id)
	if !ok || ep.State == directory.Removed || holdingPos == 0 || e.holdings[holdingPos].first != e.cfg.Host {
		return e.deliver(pc, id, nil)
	}
	if pc.packet.Direction == FromBackend && ep.Address != pc.packet.Backend {
		return drop(ReasonWrongEndpoint)
	}
	r := Record{
		Caller: pc.key.caller(), Service: pc.key.service(), Protocol: pc.packet.Protocol, State: RecordSent, Endpoint: id,
	}
	en, ok := e.storeRecord(&r, holdingPos, true)
	if !ok {
		return e.deliver(pc, id, nil)
	}
	e.trackClosing(pc.packet, en)
	e.sendHint(pc, en)
	return e.deliver(pc, id, en)
}

// deliver returns the verdict that forwards a packet to or from the endpoint of its flow.
func (e *Engine) deliver(pc *packetContext, id directory.EndpointID, en *entry) Verdict {
	ep, ok := e.endpoint(id)
	if !ok {
		return drop(ReasonNoEndpoint)
	}
	if ep.Service != pc.svc.Name {
		return drop(ReasonServiceChanged)
	}
	if pc.packet.Direction == FromBackend {
		if ep.State == directory.Removed || ep.Address != pc.packet.Backend {
			return drop(ReasonWrongEndpoint)
		}
		if en != nil {
			e.noteBackendPacket(pc, en)
		}
		return Verdict{Action: ForwardToCaller, Endpoint: id, Address: pc.svc.Address}
	}
	if ep.State == directory.Removed {
		if pc.packet.Protocol != ProtocolTCP || pc.packet.Flags&RST != 0 {
			return drop(ReasonEndpointGone)
		}
		return Verdict{Action: Reset, Outcome: Unknown, Reason: ReasonEndpointGone, Endpoint: id}
	}
	if en != nil {
		e.noteCallerPacket(pc, en)
	}
	return Verdict{Action: ForwardToBackend, Endpoint: id, Address: ep.Address}
}
