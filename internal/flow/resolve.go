package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

// planStep is a failure domain whose holders may have a record of the flow, with an
// endpoint of the bucket in that domain.
type planStep struct {
	endpoint directory.EndpointID
	home     DomainID
}

// plan lists the failure domains whose holders are queried, in query order.
type plan struct {
	steps    [MaxAsked]planStep
	length   int
	overflow bool // the bucket spans more than MaxAsked failure domains
}

// add appends the failure domain of an endpoint unless it is listed already.
func (pl *plan) add(e *Engine, id directory.EndpointID) {
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
	if pl.length == MaxAsked {
		pl.overflow = true
		return
	}
	pl.steps[pl.length] = planStep{id, home}
	pl.length++
}

// planFor returns the failure domains to query for a flow of the bucket. The target of
// a prepared move comes first: its holders store the records of flows that begin while
// the move is prepared, so that a first packet that is retransmitted after the commit
// finds its record there.
func (e *Engine) planFor(svc *Service, b *directory.Bucket) plan {
	var pl plan
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

// Packet returns the verdict for one packet. It does not allocate for a known flow.
func (e *Engine) Packet(now time.Duration, p *Packet) Verdict {
	e.setNow(now)
	if e.table == nil {
		return drop(ReasonNoTable)
	}
	q := query{p: p, h: &e.scratch}
	if r := e.lookUp(&q); r != NoReason {
		return drop(r)
	}
	if p.Protocol == ProtocolTCP && p.Flags&SYN != 0 && p.Flags&(FIN|RST) != 0 {
		return drop(ReasonMalformed)
	}
	if p.Handoff.Present {
		if p.Handoff.Service != q.svc.Name {
			return drop(ReasonServiceChanged)
		}
		if p.Handoff.Hops >= maxHops {
			return drop(ReasonTooManyHops)
		}
		if p.Handoff.HasRecord {
			if v, done := e.takeRecord(&q); done {
				return v
			}
		}
	}
	if v, done := e.decideFenced(&q); done {
		return v
	}
	if q.bucket.Settled() && !q.svc.BalanceFirst {
		return e.resolveSettled(&q)
	}
	return e.resolveTracked(&q)
}

// resolveSettled resolves a packet of a settled bucket, all of whose flows use the current
// endpoint (docs/design.md, rules 1 and 3).
func (e *Engine) resolveSettled(q *query) Verdict {
	id := q.bucket.Current
	if q.isFirst() {
		if r := e.refusal(q, id); r != NoReason {
			return e.refuse(r)
		}
	}
	return e.deliver(q, id, e.observe(q, id))
}

// refusal returns the reason why a new flow may not be placed on an endpoint, or NoReason.
func (e *Engine) refusal(q *query, id directory.EndpointID) Reason {
	if q.svc.Quarantined {
		return ReasonQuarantined
	}
	ep, ok := e.endpoint(id)
	if !ok {
		if q.bucket.Next != 0 {
			return ReasonNotAccepting // the move to the bucket's first endpoint is not committed yet
		}
		return ReasonNoEndpoint
	}
	if !e.table.Accepts(id) {
		return ReasonNotAccepting
	}
	return e.fencedRefusal(ep)
}

// refuse returns the verdict for a new flow that cannot be placed. The outcome is never
// NotRun, because another host may have forwarded an earlier copy of the packet.
func (e *Engine) refuse(r Reason) Verdict {
	if r == ReasonQuarantined || r == ReasonNoEndpoint {
		return Verdict{Action: Reset, Outcome: Unknown, Reason: r}
	}
	return drop(r)
}

// resolveTracked resolves a packet of a bucket whose flows have records (docs/design.md,
// rules 2, 4 and 5).
func (e *Engine) resolveTracked(q *query) Verdict {
	pos, en := e.flows.find(&q.key, q.hash)
	if en != nil {
		if v, done := e.useKnown(q, pos, en); done {
			return v
		}
	}
	e.beginHandOff(q)
	return e.ask(q)
}

// beginHandOff copies the packet's hand-off option into the query, or starts a new one.
func (e *Engine) beginHandOff(q *query) {
	*q.h = q.p.Handoff
	q.h.HasRecord = false
	if !q.h.Present {
		*q.h = Handoff{
			Present: true, Service: q.svc.Name, Bucket: uint32(q.number), Ingress: e.cfg.Host, AskedAt: e.now,
		}
	}
}

// useKnown resolves a packet from a record that this host holds or from an unexpired
// hint. It returns false if the entry cannot be used.
func (e *Engine) useKnown(q *query, pos uint32, en *entry) (Verdict, bool) {
	switch en.kind {
	case entryRecord:
		h := &e.holdings[en.holding]
		if !h.has(e.cfg.Host) {
			return Verdict{}, false
		}
		if q.needsFirstHolder() && h.first != e.cfg.Host && q.p.Handoff.Passed != h.key.home && e.reachable(h.first) {
			return Verdict{}, false
		}
		if q.isFirst() {
			return e.repeatFirst(q, pos, en)
		}
		e.noteClosing(q.p, en)
		e.hint(q, en)
		return e.deliver(q, en.endpoint, en), true
	case entryHint:
		if q.needsFirstHolder() || q.p.Handoff.Present || en.epoch != e.epoch || e.clock.since(en.mark) >= hintLife {
			return Verdict{}, false
		}
		return e.deliver(q, en.endpoint, en), true
	default:
		return Verdict{}, false
	}
}

// noteClosing tracks FIN and RST so that rule 8 of docs/design.md can tell when a flow
// has ended. Data that arrives more than a second after a reset clears the reset, since
// the other end evidently did not accept it.
func (e *Engine) noteClosing(p *Packet, en *entry) {
	if p.Protocol != ProtocolTCP {
		return
	}
	if p.Flags&RST != 0 {
		en.flags |= flagReset
	} else if p.PayloadLen > 0 && en.flags&flagReset != 0 && e.clock.since(en.mark) > time.Second {
		en.flags, en.mark = en.flags&^flagReset, 0
	}
	if p.Flags&FIN != 0 {
		if p.Direction == FromCaller {
			en.flags |= flagCallerFIN
		} else {
			en.flags |= flagBackendFIN
		}
	}
	if en.mark == 0 && closed(en) {
		en.mark = e.clock
		if e.cfg.Closed != nil && en.kind == entryRecord && e.holdings[en.holding].first == e.cfg.Host {
			e.cfg.Closed(en.endpoint, e.clock.since(en.began))
		}
	}
}

// closed reports whether a reset or a FIN from each side was seen.
func closed(en *entry) bool {
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

// ask hands the packet off to the next holder that may have a record. If this host is the
// last one to be queried and has no record, it resolves the packet without a record.
func (e *Engine) ask(q *query) Verdict {
	pl := e.planFor(q.svc, &q.bucket)
	if pl.overflow {
		return drop(ReasonNoHolder)
	}
	if q.isFirst() && pl.length > 1 {
		// The holder that places the flow is queried last, after all others reported no record.
		slices.Reverse(pl.steps[:pl.length])
	}
	mine := uint32(0)
	for i, step := range pl.steps[:pl.length] {
		if slices.Contains(q.h.Asked[:q.h.AskedLen], step.home) {
			continue
		}
		v, held, done := e.askStep(q, step, i == pl.length-1)
		if done {
			return v
		}
		mine = held
		if int(q.h.AskedLen) == MaxAsked {
			return drop(ReasonTooManyHops)
		}
		q.h.Asked[q.h.AskedLen] = step.home
		q.h.AskedLen++
		q.h.Passed = 0
	}
	if q.isFirst() {
		return drop(ReasonNoHolder)
	}
	return e.withoutRecord(q, mine)
}

// askStep queries the holders of one failure domain. done is false if this host is one
// of them and can rule out a record; held is then the position of its holding.
func (e *Engine) askStep(q *query, step planStep, last bool) (v Verdict, held uint32, done bool) {
	pos := e.byKey[holdingKey{q.svc.Name, uint32(q.number), step.home}]
	if pos == 0 {
		return drop(ReasonNoHolder), 0, true
	}
	h := &e.holdings[pos]
	me := e.cfg.Host
	passed := q.h.Passed == step.home
	answers := h.first == me || (h.second == me && (passed || !e.reachable(h.first)))
	if h.second == me && !q.needsFirstHolder() && h.whole {
		answers = true
	}
	if passed && h.first == me {
		return drop(ReasonNoHolder), 0, true
	}
	switch {
	case answers && q.isFirst() && last:
		if h.mayPlace(e.clock) {
			return e.place(q, pos), pos, true
		}
	case answers && h.mayDeny(q.isFirst(), e.clock):
		return Verdict{}, pos, false
	}
	if answers && h.first != me {
		return drop(ReasonNoHolder), 0, true
	}
	return e.handToHolder(q, h), 0, true
}

// handToHolder hands the packet off to a holder other than this host.
func (e *Engine) handToHolder(q *query, h *holding) Verdict {
	target := h.first
	if h.first == e.cfg.Host {
		target = h.second
		q.h.Passed = h.key.home
	} else if !e.reachable(h.first) {
		target = h.second
	}
	if target == "" || target == e.cfg.Host || !e.reachable(target) {
		return drop(ReasonNoHolder)
	}
	return e.handOff(q, target)
}

// handOff returns the verdict that sends the packet to another entry host.
func (e *Engine) handOff(q *query, target string) Verdict {
	q.h.Hops++
	if q.h.Hops > maxHops {
		return drop(ReasonTooManyHops)
	}
	return Verdict{Action: HandOff, Host: target, Handoff: *q.h}
}

// withoutRecord resolves a packet of a flow that no holder has a record of. Such a flow
// began while the bucket was settled, so it belongs to the base endpoint. The first holder
// stores a record from now on, so that its answer can be cached and rule 8 of
// docs/design.md applies to the flow.
func (e *Engine) withoutRecord(q *query, held uint32) Verdict {
	id := q.bucket.Base
	if q.svc.BalanceFirst && q.bucket.Settled() {
		id = 0 // every flow of a balance-first service has a record
	}
	if id == 0 {
		return drop(ReasonNoRecord)
	}
	if e.CutOff() && e.isolated() {
		return drop(ReasonCutOff)
	}
	ep, ok := e.endpoint(id)
	if !ok || ep.State == directory.Removed || held == 0 || e.holdings[held].first != e.cfg.Host {
		return e.deliver(q, id, nil)
	}
	if q.p.Direction == FromBackend && ep.Address != q.p.Backend {
		return drop(ReasonWrongEndpoint)
	}
	r := Record{
		Caller: q.key.caller(), Service: q.key.service(), Protocol: q.p.Protocol, State: Sent, Endpoint: id,
	}
	en, ok := e.store(&r, held, true)
	if !ok {
		return e.deliver(q, id, nil)
	}
	e.noteClosing(q.p, en)
	e.hint(q, en)
	return e.deliver(q, id, en)
}

// deliver returns the verdict that forwards a packet to or from the endpoint of its flow.
func (e *Engine) deliver(q *query, id directory.EndpointID, en *entry) Verdict {
	ep, ok := e.endpoint(id)
	if !ok {
		return drop(ReasonNoEndpoint)
	}
	if ep.Service != q.svc.Name {
		return drop(ReasonServiceChanged)
	}
	if q.p.Direction == FromBackend {
		if ep.State == directory.Removed || ep.Address != q.p.Backend {
			return drop(ReasonWrongEndpoint)
		}
		if en != nil {
			e.touchBackend(q, en)
		}
		return Verdict{Action: ForwardToCaller, Endpoint: id, Address: q.svc.Address}
	}
	if ep.State == directory.Removed {
		if q.p.Protocol != ProtocolTCP || q.p.Flags&RST != 0 {
			return drop(ReasonEndpointGone)
		}
		return Verdict{Action: Reset, Outcome: Unknown, Reason: ReasonEndpointGone, Endpoint: id}
	}
	if en != nil {
		e.touchCaller(q, en)
	}
	return Verdict{Action: ForwardToBackend, Endpoint: id, Address: ep.Address}
}
