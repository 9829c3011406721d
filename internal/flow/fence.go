package flow

import (
	"time"

	"cassiawood/internal/directory"
)

const (
	// fenceTimeout equals the host lease. After that time the control hosts count the host as
	// fenced and commit moves without its acknowledgment.
	fenceTimeout = 2 * time.Second
	// unfenceDelay is how long a host still places no flows after it has ceased to be fenced. In
	// that time it reports this to the hosts that are still fenced, which then stop using their
	// own tables.
	unfenceDelay = 500 * time.Millisecond
	// endpointStatusTTL is the maximum age of a probe or announcement that a fenced host relies on.
	endpointStatusTTL = 2 * time.Second
)

// endpointStatus is the result of an endpoint's last probe or announcement.
type endpointStatus struct {
	at      time.Duration
	accepts bool
}

// RenewLease renews the host's lease: a control host, or a peer's newer table, confirmed that
// this host's table was current at currentAt. Pass the time at which the request was
// sent, so that the delay of the answer does not extend the lease.
func (e *Engine) RenewLease(currentAt time.Duration) {
	if e.hadTable && e.Fenced() && e.now-currentAt <= fenceTimeout {
		e.unfencedAt = e.now
	}
	e.lastContact = max(e.lastContact, currentAt)
}

// NoteEndpointStatus records the result of a probe or an announcement of an endpoint.
func (e *Engine) NoteEndpointStatus(now time.Duration, id directory.EndpointID, accepts bool) {
	e.setNow(now)
	e.endpointStatuses[id] = endpointStatus{at: now, accepts: accepts}
}

// Fenced reports whether the lease has expired, so that the table is too old to resolve
// packets by it alone (docs/design.md, section 5.2, rule 11).
func (e *Engine) Fenced() bool { return e.now-e.lastContact > fenceTimeout }

// CutOff reports whether this host is fenced and reaches no unfenced host.
func (e *Engine) CutOff() bool { return e.Fenced() && e.unfencedPeer(0) == "" }

// hasUnreachableHost reports whether some listed host is unreachable. Such a host may resolve
// packets by a newer table. If a cut-off host reaches all listed hosts, all of them are fenced.
func (e *Engine) hasUnreachableHost() bool {
	for name := range e.listedHosts {
		if name == e.cfg.Host {
			continue
		}
		if p := e.peers[name]; p == nil || !p.up {
			return true
		}
	}
	return false
}

// unfencedPeer returns a reachable host that is not fenced, or "" if there is none. The hash
// spreads the flows of a fenced host over the others.
func (e *Engine) unfencedPeer(hash uint64) string {
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

// resolveIfFenced resolves a packet if this host is fenced (docs/design.md, section 5.2, rule 11),
// and returns false otherwise. What the host cannot resolve from its own entries, it hands off
// to a host with a current table.
func (e *Engine) resolveIfFenced(pc *packetContext) (Verdict, bool) {
	if !e.Fenced() {
		return Verdict{}, false
	}
	target := e.unfencedPeer(pc.hash)
	if target == "" {
		return e.resolveCutOff(pc)
	}
	// The other hosts may assign new holders, and after timeWait they may replace records.
	if e.now-e.lastContact < fenceTimeout+hintTTL && !pc.needsFirstHolder() && !pc.bucket.Settled() {
		if pos, en := e.flows.find(&pc.key, pc.hash); en != nil {
			if v, done := e.resolveFromEntry(pc, pos, en); done {
				return v, true
			}
		}
	}
	if pc.packet.Handoff.Present {
		return drop(ReasonFenced), true
	}
	e.prepareHandOff(pc)
	return e.handOff(pc, target), true
}

// resolveCutOff resolves a packet at a cut-off host. Its table may not show that a bucket has
// moved, so the host forwards only packets of flows that it has an entry for, and places
// flows only on endpoints in its own failure domain.
func (e *Engine) resolveCutOff(pc *packetContext) (Verdict, bool) {
	if !pc.bucket.Settled() || pc.svc.BalanceFirst {
		return Verdict{}, false
	}
	if pc.isFirst() {
		return e.placeCutOff(pc)
	}
	if !e.hasUnreachableHost() {
		return Verdict{}, false
	}
	_, en := e.flows.find(&pc.key, pc.hash)
	if en != nil && en.kind == entryObserved && en.endpoint == pc.bucket.Current {
		return Verdict{}, false
	}
	return drop(ReasonCutOff), true
}

// placeCutOff hands a first packet off to the failure domain of its endpoint. If that is this
// host's domain, it sends a hint to the domain's other hosts, which would otherwise have no
// entry for the flow.
func (e *Engine) placeCutOff(pc *packetContext) (Verdict, bool) {
	ep, ok := e.endpoint(pc.bucket.Current)
	if !ok {
		return Verdict{}, false
	}
	if ep.Domain == e.cfg.Domain {
		if e.refusalReason(pc, ep.ID) == NoReason {
			e.sendDomainHints(pc, ep.ID)
		}
		return Verdict{}, false
	}
	target := e.peerInDomain(ep.Domain)
	if target == "" || pc.packet.Handoff.Present {
		return drop(ReasonCutOff), true
	}
	e.prepareHandOff(pc)
	return e.handOff(pc, target), true
}

// sendDomainHints sends a hint about a new flow to the other hosts of this failure domain.
func (e *Engine) sendDomainHints(pc *packetContext, id directory.EndpointID) {
	r := Record{
		Caller: pc.key.caller(), Service: pc.key.service(), Protocol: pc.packet.Protocol, State: RecordSent,
		Endpoint: id, Sequence: pc.packet.Sequence, Home: e.domainID(e.cfg.Domain),
	}
	for name, p := range e.peers {
		if p.up && p.domain == e.cfg.Domain {
			e.send(Message{To: name, Hints: []Hint{{Record: r, AskedAt: -1}}})
		}
	}
}

// storeCutOffFlow stores an entry for a flow that another host of a cut-off failure domain placed.
func (e *Engine) storeCutOffFlow(r *Record) {
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
		if _, en = e.insertEntry(&key, hash); en == nil {
			return
		}
	}
	if en.kind != entryRecord {
		en.kind, en.endpoint, en.sequence, en.createdAt = entryObserved, r.Endpoint, r.Sequence, e.clock
	}
}

// peerInDomain returns a reachable host of a failure domain, or "" if there is none.
func (e *Engine) peerInDomain(domain string) string {
	best := ""
	for name, p := range e.peers {
		if p.up && p.domain == domain && (best == "" || name < best) {
			best = name
		}
	}
	return best
}

// fencedRefusalReason returns the reason why a host that is or was just fenced may not place
// a new flow on an endpoint, or NoReason.
func (e *Engine) fencedRefusalReason(ep *directory.Endpoint) Reason {
	if !e.Fenced() {
		if e.now-e.unfencedAt < unfenceDelay {
			return ReasonFenced
		}
		return NoReason
	}
	if ep.Domain != e.cfg.Domain {
		return ReasonCutOff
	}
	h, ok := e.endpointStatuses[ep.ID]
	if !ok || !h.accepts || e.now-h.at > endpointStatusTTL {
		return ReasonNotAccepting
	}
	return NoReason
}
