package flow

import (
	"time"

	"cassiawood/internal/directory"
)

const (
	// fenceAfter equals the host lease: the log counts a host as fenced after that time
	// and commits moves without its acknowledgement.
	fenceAfter = 2 * time.Second
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
	q.h = Handoff{Present: true, Service: q.svc.Name, Bucket: uint32(q.number), Ingress: e.cfg.Host, AskedAt: e.now}
	return e.handOff(q, target), true
}

// decideCutOff limits a cut-off host. A bucket on an endpoint of another failure domain may
// have moved there without this host's knowledge, so only flows that it has
// seen itself go there; the own domain's endpoints are served by the own table.
func (e *Engine) decideCutOff(q *query) (Verdict, bool) {
	if !q.bucket.Settled() || q.svc.BalanceFirst {
		return Verdict{}, false
	}
	ep, ok := e.table.Endpoint(q.bucket.Current)
	if !ok || ep.Domain == e.cfg.Domain {
		return Verdict{}, false
	}
	if q.isFirst() {
		if target := e.peerIn(ep.Domain); target != "" && !q.p.Handoff.Present {
			q.h = Handoff{
				Present: true, Service: q.svc.Name, Bucket: uint32(q.number), Ingress: e.cfg.Host, AskedAt: e.now,
			}
			return e.handOff(q, target), true
		}
		return drop(ReasonCutOff), true
	}
	if _, en := e.flows.find(&q.key, q.hash); en != nil && en.kind == entryObserved && en.endpoint == ep.ID {
		return Verdict{}, false
	}
	return drop(ReasonCutOff), true
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
