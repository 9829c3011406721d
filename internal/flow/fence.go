package flow

import (
	"time"

	"cassiawood/internal/directory"
)

const (
	// fenceAfter equals the host lease. After that time the control hosts count the host as
	// fenced and commit moves without its acknowledgment.
	fenceAfter = 2 * time.Second
	// recoverDelay is how long a host places no flows after it was fenced. In that time the
	// hosts that are still fenced learn of it and stop using their own tables.
	recoverDelay = 500 * time.Millisecond
	// heardLife is the maximum age of a probe or announcement that a fenced host relies on.
	heardLife = 2 * time.Second
)

// heard is the result of an endpoint's last probe or announcement.
type heard struct {
	at      time.Duration
	accepts bool
}

// Contact renews the host's lease: a control host, or a peer's newer table, confirmed that
// this host's table was current at the given time. Pass the time at which the request was
// sent, so that the delay of the answer does not extend the lease.
func (e *Engine) Contact(now time.Duration) {
	if e.started && e.Fenced() && e.now-now <= fenceAfter {
		e.freshSince = e.now
	}
	e.lastContact = max(e.lastContact, now)
}

// Heard reports the result of a probe or an announcement of an endpoint.
func (e *Engine) Heard(now time.Duration, id directory.EndpointID, accepts bool) {
	e.setNow(now)
	e.alive[id] = heard{at: now, accepts: accepts}
}

// Fenced reports whether the lease has expired, so that the table is too old to resolve
// packets by it alone (docs/design.md, rule 11).
func (e *Engine) Fenced() bool { return e.now-e.lastContact > fenceAfter }

// CutOff reports whether this host is fenced and reaches no unfenced host.
func (e *Engine) CutOff() bool { return e.Fenced() && e.freshPeer(0) == "" }

// isolated reports whether some listed host is unreachable. Such a host may resolve packets
// by a newer table. If a cut-off host reaches all listed hosts, all of them are fenced.
func (e *Engine) isolated() bool {
	for name := range e.listed {
		if name == e.cfg.Host {
			continue
		}
		if p := e.peers[name]; p == nil || !p.up {
			return true
		}
	}
	return false
}

// freshPeer returns a reachable host that is not fenced, or "" if there is none. The hash
// spreads the flows of a fenced host over the others.
func (e *Engine) freshPeer(hash uint64) string {
	best, bestRank := "", uint64(0)
	for name, p := range e.peers {
		if !p.up || p.fenced {
			continue
		}
		if rank := rankOf(name, hash); best == "" || rank > bestRank || (rank == bestRank && name < best) {
			best, bestRank = name, rank
		}
	}
	return best
}

// decideFenced resolves a packet if this host is fenced (docs/design.md, rule 11). What the
// host cannot resolve from its own entries, it hands off to a host with a current table.
func (e *Engine) decideFenced(q *query) (Verdict, bool) {
	if !e.Fenced() {
		return Verdict{}, false
	}
	target := e.freshPeer(q.hash)
	if target == "" {
		return e.decideCutOff(q)
	}
	// The other hosts may assign new holders, and after closedLife they may replace records.
	if e.now-e.lastContact < fenceAfter+hintLife && !q.needsFirstHolder() && !q.bucket.Settled() {
		if pos, en := e.flows.find(&q.key, q.hash); en != nil {
			if v, done := e.useKnown(q, pos, en); done {
				return v, true
			}
		}
	}
	if q.p.Handoff.Present {
		return drop(ReasonFenced), true
	}
	e.beginHandOff(q)
	return e.handOff(q, target), true
}

// decideCutOff resolves a packet at a cut-off host. Its table may not show that a bucket has
// moved, so the host forwards only packets of flows that it has an entry for, and places
// flows only on endpoints in its own failure domain.
func (e *Engine) decideCutOff(q *query) (Verdict, bool) {
	if !q.bucket.Settled() || q.svc.BalanceFirst {
		return Verdict{}, false
	}
	if q.isFirst() {
		return e.beginCutOff(q)
	}
	if !e.isolated() {
		return Verdict{}, false
	}
	_, en := e.flows.find(&q.key, q.hash)
	if en != nil && en.kind == entryObserved && en.endpoint == q.bucket.Current {
		return Verdict{}, false
	}
	return drop(ReasonCutOff), true
}

// beginCutOff hands a first packet off to the failure domain of its endpoint. If that is this
// host's domain, it sends a hint to the domain's other hosts, which would otherwise have no
// entry for the flow.
func (e *Engine) beginCutOff(q *query) (Verdict, bool) {
	ep, ok := e.endpoint(q.bucket.Current)
	if !ok {
		return Verdict{}, false
	}
	if ep.Domain == e.cfg.Domain {
		if e.refusal(q, ep.ID) == NoReason {
			e.tellDomain(q, ep.ID)
		}
		return Verdict{}, false
	}
	target := e.peerIn(ep.Domain)
	if target == "" || q.p.Handoff.Present {
		return drop(ReasonCutOff), true
	}
	e.beginHandOff(q)
	return e.handOff(q, target), true
}

// tellDomain sends a hint about a new flow to the other hosts of this failure domain.
func (e *Engine) tellDomain(q *query, id directory.EndpointID) {
	r := Record{
		Caller: q.key.caller(), Service: q.key.service(), Protocol: q.p.Protocol, State: Sent,
		Endpoint: id, Sequence: q.p.Sequence, Home: e.domainID(e.cfg.Domain),
	}
	for name, p := range e.peers {
		if p.up && p.domain == e.cfg.Domain {
			e.send(Message{To: name, Hints: []Hint{{Record: r, AskedAt: -1}}})
		}
	}
}

// learnCutOff stores an entry for a flow that another host of a cut-off failure domain placed.
func (e *Engine) learnCutOff(r *Record) {
	if e.table == nil || !e.Fenced() {
		return
	}
	key, ok := makeKey(r.Caller, r.Service, r.Protocol)
	if !ok {
		return
	}
	hash := key.hash()
	_, en := e.flows.find(&key, hash)
	if en == nil {
		if _, en = e.add(&key, hash); en == nil {
			return
		}
	}
	if en.kind != entryRecord {
		en.kind, en.endpoint, en.sequence, en.began = entryObserved, r.Endpoint, r.Sequence, e.clock
	}
}

// peerIn returns a reachable host of a failure domain, or "" if there is none.
func (e *Engine) peerIn(domain string) string {
	best := ""
	for name, p := range e.peers {
		if p.up && p.domain == domain && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// fencedRefusal returns the reason why a host that is or was just fenced may not place a new
// flow on an endpoint, or NoReason.
func (e *Engine) fencedRefusal(ep *directory.Endpoint) Reason {
	if !e.Fenced() {
		if e.now-e.freshSince < recoverDelay {
			return ReasonFenced
		}
		return NoReason
	}
	if ep.Domain != e.cfg.Domain {
		return ReasonCutOff
	}
	h, ok := e.alive[ep.ID]
	if !ok || !h.accepts || e.now-h.at > heardLife {
		return ReasonNotAccepting
	}
	return NoReason
}
