package flow

import (
	"time"

	"cassiawood/internal/directory"
)

// place assigns a new flow to an endpoint (docs/design.md, rule 2). It stores the record and
// hands the packet with the record to the other holder, which forwards the packet.
func (e *Engine) place(q *query, held uint32) Verdict {
	id, r := e.choose(q)
	if r != NoReason {
		return e.refuse(r)
	}
	if id == 0 {
		// Every flow of a balance-first service has a record, so no packet of this one was sent.
		return Verdict{Action: Reset, Outcome: NotRun, Reason: ReasonNoEndpoint}
	}
	record := Record{
		Caller: q.key.caller(), Service: q.key.service(), Protocol: q.p.Protocol, State: Sent,
		Endpoint: id, Sequence: q.p.Sequence, Home: e.holdings[held].key.home,
	}
	en, ok := e.store(&record, held, true)
	if !ok {
		return drop(ReasonFull)
	}
	return e.passRecord(q, en)
}

// choose returns the endpoint for a new flow, or 0 if no endpoint may take it.
func (e *Engine) choose(q *query) (directory.EndpointID, Reason) {
	if !q.svc.BalanceFirst || e.cfg.Choose == nil {
		id := q.bucket.Current
		return id, e.refusal(q, id)
	}
	if q.svc.Quarantined {
		return 0, ReasonQuarantined
	}
	if e.Fenced() || e.now-e.freshSince < recoverDelay {
		// Other hosts can place by load meanwhile, and the caller retransmits.
		if !e.CutOff() {
			return 0, ReasonFenced
		}
	}
	var candidates []directory.EndpointID
	for _, id := range e.table.EndpointsOf(q.svc.Name) {
		if e.refusal(q, id) == NoReason {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 && e.Fenced() {
		return 0, ReasonCutOff
	}
	if len(candidates) == 0 {
		return 0, NoReason
	}
	return e.cfg.Choose(q.svc.Name, candidates), NoReason
}

// passRecord hands the first packet of a flow to the other holder together with the record,
// or forwards the packet if the table has no other holder. An unreachable holder is not
// skipped, because it would later answer that the record does not exist.
func (e *Engine) passRecord(q *query, en *entry) Verdict {
	h := &e.holdings[en.holding]
	other := h.second
	if other == e.cfg.Host {
		other = h.first
	}
	if other == "" || other == e.cfg.Host {
		return e.deliver(q, en.endpoint, en)
	}
	q.h.HasRecord, q.h.Record = true, e.recordOf(en)
	return e.handOff(q, other)
}

// repeatFirst resolves a first packet whose flow key has a record (docs/design.md, rule 8). It
// returns false if the record belonged to an earlier flow and was removed.
func (e *Engine) repeatFirst(q *query, pos uint32, en *entry) (Verdict, bool) {
	ep, ok := e.endpoint(en.endpoint)
	gone := !ok || ep.State == directory.Removed
	replaceable := gone || (en.mark != 0 && e.clock.since(en.mark) >= closedLife)
	if q.p.Sequence == en.sequence || !replaceable {
		if q.p.Sequence != en.sequence {
			// The backend server may accept the new connection, so the record must not expire
			// with the old flow.
			en.sequence, en.flags, en.mark = q.p.Sequence, flagPlaced, 0
		}
		e.beginHandOff(q)
		return e.passRecord(q, en), true
	}
	e.forget(pos)
	return Verdict{}, false
}

// takeRecord stores the record that came with a first packet and forwards the packet. If
// this host is not a holder by its own table, it returns false and the packet is resolved
// anew, because queries would not find the record here.
func (e *Engine) takeRecord(q *query) (Verdict, bool) {
	r := &q.p.Handoff.Record
	if r.Service != q.svc.Address || r.Caller != q.p.Caller || r.Protocol != q.p.Protocol {
		return drop(ReasonServiceChanged), true
	}
	pos := e.byKey[holdingKey{q.svc.Name, uint32(q.number), r.Home}]
	if !e.holds(pos) || (q.bucket.Settled() && !q.svc.BalanceFirst) {
		return Verdict{}, false
	}
	if e.contradicts(q, r, pos) {
		return drop(ReasonNoHolder), true
	}
	en, ok := e.store(r, pos, true)
	if !ok {
		return drop(ReasonFull), true
	}
	return e.deliver(q, r.Endpoint, en), true
}

// contradicts reports whether this host is the first holder and has a record that assigns
// the flow to another endpoint. While the first holder completes its copy, both holders may
// place the same flow; the first holder's record then takes precedence.
func (e *Engine) contradicts(q *query, r *Record, held uint32) bool {
	_, en := e.flows.find(&q.key, q.hash)
	if en == nil || en.kind != entryRecord || e.holdings[held].first != e.cfg.Host || !e.holds(en.holding) {
		return false
	}
	replaceable := en.mark != 0 && e.clock.since(en.mark) >= closedLife
	return en.endpoint != r.Endpoint && (en.sequence == r.Sequence || !replaceable)
}

// hint sends the endpoint of a handed-off packet's flow to the ingress host. Flows that are
// closing get no hint, because the caller port may soon be reused.
func (e *Engine) hint(q *query, en *entry) {
	h := &q.p.Handoff
	if !h.Present || h.Ingress == e.cfg.Host || closed(en) || !e.mayHint(en) {
		return
	}
	hint := Hint{Record: e.recordOf(en), AskedAt: h.AskedAt}
	msgs := e.out.Messages
	for i := len(msgs) - 1; i >= 0 && i >= len(msgs)-8; i-- {
		if msgs[i].To == h.Ingress && len(msgs[i].Hints) > 0 && len(msgs[i].Hints) < batchRecords {
			msgs[i].Hints = append(msgs[i].Hints, hint)
			return
		}
	}
	e.send(Message{To: h.Ingress, Hints: []Hint{hint}})
}

const (
	// hintAge is the age from which a flow gets hints. Short flows end before a hint saves a
	// hop; hints for 200 of them per second took 14 KB/s per host.
	hintAge = 2 * time.Second
	// hintsPerSecond and hintBurst bound hints to about 1.5 KB/s, a part of the few KB/s
	// allowed for control traffic. A packet without a hint takes one more hop.
	hintsPerSecond = 20
	hintBurst      = 100
)

// hintBudget is a token bucket that limits the rate of hints.
type hintBudget struct {
	tokens float64
	at     time.Duration
}

// mayHint reports whether a hint about a flow may be sent now, and if so takes it from the
// budget.
func (e *Engine) mayHint(en *entry) bool {
	if e.clock.since(en.began) < hintAge {
		return false
	}
	b := &e.hints
	b.tokens = min(hintBurst, b.tokens+hintsPerSecond*(e.now-b.at).Seconds())
	b.at = e.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Hint stores hints received from another host.
func (e *Engine) Hint(now time.Duration, from string, hints []Hint) {
	e.setNow(now)
	for i := range hints {
		h := &hints[i]
		if h.AskedAt < 0 {
			e.learnCutOff(&h.Record)
			continue
		}
		key, ok := makeKey(h.Record.Caller, h.Record.Service, h.Record.Protocol)
		if !ok || e.now-h.AskedAt >= hintLife || h.AskedAt > e.now {
			continue
		}
		if p := e.peers[from]; p != nil && !p.up {
			continue
		}
		hash := key.hash()
		_, en := e.flows.find(&key, hash)
		if en == nil {
			if _, en = e.add(&key, hash); en == nil {
				continue
			}
		}
		if en.kind == entryRecord {
			continue
		}
		en.kind, en.endpoint, en.sequence = entryHint, h.Record.Endpoint, h.Record.Sequence
		en.mark, en.epoch = stampOf(h.AskedAt), e.epoch
	}
}
