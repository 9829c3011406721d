package flow

import (
	"time"

	"cassiawood/internal/directory"
)

// placeFlow assigns a new flow to an endpoint (docs/design.md, section 5.2, rule 2). It stores
// the record and hands the packet with the record to the other holder, which forwards the packet.
func (e *Engine) placeFlow(pc *packetContext, holdingPos uint32) Verdict {
	id, r := e.chooseEndpoint(pc)
	if r != NoReason {
		return e.refusalVerdict(r)
	}
	if id == 0 {
		// Every flow of a balance-first service has a record, so no packet of this one was sent.
		return Verdict{Action: Reset, Outcome: NotRun, Reason: ReasonNoEndpoint}
	}
	record := Record{
		Caller: pc.key.caller(), Service: pc.key.service(), Protocol: pc.packet.Protocol, State: RecordSent,
		Endpoint: id, Sequence: pc.packet.Sequence, Home: e.holdings[holdingPos].key.home,
	}
	en, ok := e.storeRecord(&record, holdingPos, true)
	if !ok {
		return drop(ReasonFull)
	}
	return e.handOffWithRecord(pc, en)
}

// chooseEndpoint returns the endpoint for a new flow, or 0 if no endpoint may take it.
func (e *Engine) chooseEndpoint(pc *packetContext) (directory.EndpointID, Reason) {
	if !pc.svc.BalanceFirst || e.cfg.ChooseEndpoint == nil {
		id := pc.bucket.Current
		return id, e.refusalReason(pc, id)
	}
	if pc.svc.Quarantined {
		return 0, ReasonQuarantined
	}
	if e.Fenced() || e.now-e.unfencedAt < unfenceDelay {
		// Other hosts can place by load meanwhile, and the caller retransmits.
		if !e.CutOff() {
			return 0, ReasonFenced
		}
	}
	var candidates []directory.EndpointID
	for _, id := range e.table.EndpointIDsOf(pc.svc.Name) {
		if e.refusalReason(pc, id) == NoReason {
			candidates = append(candidates, id)
		}
	}
	if len(candidates) == 0 && e.Fenced() {
		return 0, ReasonCutOff
	}
	if len(candidates) == 0 {
		return 0, NoReason
	}
	return e.cfg.ChooseEndpoint(pc.svc.Name, candidates), NoReason
}

// handOffWithRecord hands the first packet of a flow off to the other holder together with
// the record, or forwards the packet if the table has no other holder. An unreachable holder
// is not skipped, because it would later answer that the record does not exist.
func (e *Engine) handOffWithRecord(pc *packetContext, en *entry) Verdict {
	h := &e.holdings[en.holding]
	other := h.second
	if other == e.cfg.Host {
		other = h.first
	}
	if other == "" || other == e.cfg.Host {
		return e.deliver(pc, en.endpoint, en)
	}
	pc.handoff.HasRecord, pc.handoff.Record = true, e.recordOf(en)
	return e.handOff(pc, other)
}

// resolveRepeatedFirst resolves a first packet whose flow key has a record (docs/design.md,
// section 5.2, rule 8). It returns false if the record belonged to an earlier flow and was removed.
func (e *Engine) resolveRepeatedFirst(pc *packetContext, pos uint32, en *entry) (Verdict, bool) {
	ep, ok := e.endpoint(en.endpoint)
	gone := !ok || ep.State == directory.Removed
	replaceable := gone || (en.closedOrAskedAt != 0 && e.clock.since(en.closedOrAskedAt) >= timeWait)
	if pc.packet.Sequence == en.sequence || !replaceable {
		if pc.packet.Sequence != en.sequence {
			// The backend server may accept the new connection, so the record must not expire
			// with the old flow.
			en.sequence, en.flags, en.closedOrAskedAt = pc.packet.Sequence, flagFromPacket, 0
		}
		e.prepareHandOff(pc)
		return e.handOffWithRecord(pc, en), true
	}
	e.removeEntry(pos)
	return Verdict{}, false
}

// acceptRecord stores the record that came with a first packet and forwards the packet. If
// this host is not a holder by its own table, it returns false and the packet is resolved
// without that record, because queries would not find the record here.
func (e *Engine) acceptRecord(pc *packetContext) (Verdict, bool) {
	r := &pc.packet.Handoff.Record
	if r.Service != pc.svc.Address || r.Caller != pc.packet.Caller || r.Protocol != pc.packet.Protocol {
		return drop(ReasonServiceChanged), true
	}
	pos := e.holdingsByKey[holdingKey{pc.svc.Name, uint32(pc.bucketNumber), r.Home}]
	if !e.isHolder(pos) || (pc.bucket.Settled() && !pc.svc.BalanceFirst) {
		return Verdict{}, false
	}
	if e.hasConflictingRecord(pc, r, pos) {
		return drop(ReasonNoHolder), true
	}
	en, ok := e.storeRecord(r, pos, true)
	if !ok {
		return drop(ReasonFull), true
	}
	return e.deliver(pc, r.Endpoint, en), true
}

// hasConflictingRecord reports whether this host is the first holder and has a record that
// assigns the flow to another endpoint. While the first holder completes its copy, both holders may
// place the same flow; the first holder's record then takes precedence.
func (e *Engine) hasConflictingRecord(pc *packetContext, r *Record, holdingPos uint32) bool {
	_, en := e.flows.find(&pc.key, pc.hash)
	if en == nil || en.kind != entryRecord || e.holdings[holdingPos].first != e.cfg.Host || !e.isHolder(en.holding) {
		return false
	}
	replaceable := en.closedOrAskedAt != 0 && e.clock.since(en.closedOrAskedAt) >= timeWait
	return en.endpoint != r.Endpoint && (en.sequence == r.Sequence || !replaceable)
}

// sendHint sends the endpoint of a handed-off packet's flow to the ingress host. Flows that are
// closing get no hint, because the caller port may soon be reused.
func (e *Engine) sendHint(pc *packetContext, en *entry) {
	h := &pc.packet.Handoff
	if !h.Present || h.Ingress == e.cfg.Host || isClosed(en) || !e.takeHintToken(en) {
		return
	}
	hint := Hint{Record: e.recordOf(en), AskedAt: h.AskedAt}
	msgs := e.effects.Messages
	for i := len(msgs) - 1; i >= 0 && i >= len(msgs)-8; i-- {
		if msgs[i].To == h.Ingress && len(msgs[i].Hints) > 0 && len(msgs[i].Hints) < recordsPerBatch {
			msgs[i].Hints = append(msgs[i].Hints, hint)
			return
		}
	}
	e.send(Message{To: h.Ingress, Hints: []Hint{hint}})
}

const (
	// minHintAge is the age from which a flow gets hints. Short flows end before a hint saves a
	// hop; hints for 200 of them per second took 14 KB/s per host.
	minHintAge = 2 * time.Second
	// hintsPerSecond and hintBurst bound hints to about 1.5 KB/s, a part of the few KB/s
	// allowed for control traffic. A packet without a hint takes one more hop.
	hintsPerSecond = 20
	hintBurst      = 100
)

// hintBudget is a token bucket that limits the rate of hints.
type hintBudget struct {
	tokens     float64
	refilledAt time.Duration
}

// takeHintToken reports whether a hint about a flow may be sent now, and if so takes a token
// from the budget.
func (e *Engine) takeHintToken(en *entry) bool {
	if e.clock.since(en.createdAt) < minHintAge {
		return false
	}
	b := &e.hintBudget
	b.tokens = min(hintBurst, b.tokens+hintsPerSecond*(e.now-b.refilledAt).Seconds())
	b.refilledAt = e.now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// HandleHints stores hints received from another host.
func (e *Engine) HandleHints(now time.Duration, from string, hints []Hint) {
	e.setNow(now)
	for i := range hints {
		h := &hints[i]
		if h.AskedAt < 0 {
			e.storeCutOffFlow(&h.Record)
			continue
		}
		key, ok := makeKey(h.Record.Caller, h.Record.Service, h.Record.Protocol)
		if !ok || e.now-h.AskedAt >= hintTTL || h.AskedAt > e.now {
			continue
		}
		if p := e.peers[from]; p != nil && !p.up {
			continue
		}
		hash := key.hash()
		_, en := e.flows.find(&key, hash)
		if en == nil {
			if _, en = e.insertEntry(&key, hash); en == nil {
				continue
			}
		}
		if en.kind == entryRecord {
			continue
		}
		en.kind, en.endpoint, en.sequence = entryHint, h.Record.Endpoint, h.Record.Sequence
		en.closedOrAskedAt, en.hintEpoch = timestampOf(h.AskedAt), e.hintEpoch
	}
}
