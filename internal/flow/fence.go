package flow

import (
	"time"

	"cassiawood/internal/directory"
)

const (
	// fenceAfter equals the host lease: the log counts a host as fenced after that time
	// and commits moves without its acknowledgement.
	fenceAfter = 2 * time.Second
	// recoverDelay is how long a host that was fenced begins no flows, so that the hosts
	// which are still fenced hear of it first and no longer use their own tables.
	recoverDelay = 500 * time.Millisecond
	// heardLife is the age up to which a probe or announcement counts while fenced.
	heardLife = 2 * time.Second
)

// heard is the last word of an endpoint about itself.
type heard struct {
	at      time.Duration
	accepts bool
}

// Contact reports that a control host, or a peer's newer table, confirmed that
// this host's table was current at the given time. Use the time at which the request
// was sent, so that the delay of the answer does not extend the lease.
func (e *Engine) Contact(now time.Duration) {
	if e.started && e.Fenced() && e.now-now <= fenceAfter {
		e.freshSince = e.now
	}
	e.lastContact = max(e.lastContact, now)
}

// Heard reports a probe or an announcement of an endpoint.
func (e *Engine) Heard(now time.Duration, id directory.EndpointID, accepts bool) {
	e.setNow(now)
	e.alive[id] = heard{at: now, accepts: accepts}
}

// Fenced says whether the table is too old to decide alone (rule 11).
func (e *Engine) Fenced() bool { return e.now-e.lastContact > fenceAfter }

// CutOff says whether this host is fenced and reaches no host that is not.
func (e *Engine) CutOff() bool { return e.Fenced() && e.freshPeer(0) == "" }

// isolated says whether some host may decide by a newer table without this host's
// knowledge. While every listed host is reachable and fenced, none can.
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

// freshPeer picks a reachable host that is not fenced. The hash spreads the flows of a
// fenced host over the others.
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

// decideFenced applies rule 11 to a fenced host: what it does not know itself is
// decided by a host with a current table.
func (e *Engine) decideFenced(q *query) (Verdict, bool) {
	if !e.Fenced() {
		return Verdict{}, false
	}
	target := e.freshPeer(q.hash)
	if target == "" {
		return e.decideCutOff(q)
	}
	// Others may replace the holders and, after closedLife, the records of this host.
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

// decideCutOff limits a cut-off host. A bucket may have moved without this host's
// knowledge, so it forwards packets only of flows that it knows, and begins flows
// only on the own failure domain's endpoints.
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

// beginCutOff hands a first packet to the failure domain of its endpoint. In the own
// domain it tells the other hosts, which could not know the flow otherwise.
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

// tellDomain hints the hosts of the own failure domain at a flow that begins.
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

// learnCutOff notes a flow that another host of a cut-off failure domain began.
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

// peerIn returns a reachable host of a failure domain.
func (e *Engine) peerIn(domain string) string {
	best := ""
	for name, p := range e.peers {
		if p.up && p.domain == domain && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// fencedRefusal says why a fenced host does not place a new flow on an endpoint.
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
