package affinity

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/routing"
)

const (
	// coldFactor is the cost factor of an endpoint that has just started and is still slow.
	coldFactor = 1.6
	// The penalties exceed any load, so that endpoints that may not answer come last. A full one answers, with a refusal.
	silentPenalty  = 1e6
	suspectPenalty = 1e3
	fullPenalty    = 1e2
)

// decideFirst handles a first packet, which places a new flow or is retransmitted.
//
// Only one endpoint ever gets the first packet of a flow. A second one could answer too; the caller would return the token of
// the last answer, though its flow is open at the endpoint that it acknowledged first, and no packet tells a host without memory
// of the flow which one that is. A flow moves to another endpoint only by a reset: its caller then opens another flow.
func (e *Engine) decideFirst(now time.Duration, p Packet, r *route) Decision {
	key := flowKey{p.Caller, p.Service}
	f := e.flows[key]
	if f != nil && f.transmissions > 0 && f.seq == p.Seq {
		return e.decideRetransmission(now, p, f, r)
	}
	if p.Retransmits > 0 {
		return decideUnplaced(now, p, f)
	}
	if e.uniform(p) < e.link.refusedShare(now) {
		return refuse(p, LinkFull)
	}
	service := e.pickService(p, r)
	ep := e.choose(now, r, service, nil)
	if ep == nil {
		return refuse(p, NoEndpoint)
	}
	if f != nil {
		e.removeFlow(f)
	}
	f = &flow{key: key, seq: p.Seq, transmissions: 1, endpoint: ep, startedAt: now, lastPacketAt: now}
	e.addFlow(f)
	ep.countFirst(now)
	return Decision{Verdict: Forward, Reason: Placed, Endpoint: &ep.Endpoint, Token: ep.token, Working: ep.working, OpenFlows: ep.openFlows}
}

// pickService divides new flows over the services of a route by weight. It hashes the caller
// and the sequence number, so that a retransmitted first packet gets the same service on
// every host.
func (e *Engine) pickService(p Packet, r *route) string {
	if len(r.shares) == 1 || r.totalWeight == 0 {
		return r.shares[0].Service
	}
	var b [22]byte
	address := p.Caller.Addr().As16()
	copy(b[:], address[:])
	b[16], b[17] = byte(p.Caller.Port()), byte(p.Caller.Port()>>8)
	b[18], b[19], b[20], b[21] = byte(p.Seq), byte(p.Seq>>8), byte(p.Seq>>16), byte(p.Seq>>24)
	position := xxhash.Sum64(b[:]) % r.totalWeight
	return serviceAt(r.shares, position)
}

// serviceAt returns the service whose range of cumulated weights holds the position.
func serviceAt(shares []routing.Share, position uint64) string {
	for _, s := range shares {
		if position < uint64(s.Weight) {
			return s.Service
		}
		position -= uint64(s.Weight)
	}
	return shares[0].Service
}

// usable reports whether new flows may go to the endpoint.
func (ep *endpoint) usable() bool {
	return ep.AcceptsFlows && !ep.Gone && ep.replacedBy == nil && !ep.tokenCollides && !ep.evacuated
}

// penalties are the parts of an endpoint's cost above its load.
type penalties struct{ cold, overdue, suspect, full, silent float64 }

func (p penalties) sum() float64 { return p.cold + p.overdue + p.suspect + p.full + p.silent }

// penalty returns the cost of the endpoint above its load.
func (ep *endpoint) penalty(now time.Duration, load float64) float64 {
	return ep.penalties(now, load).sum()
}

// penalties returns the cost of the endpoint above its load: for slow start, an overdue request, suspicion, a
// refusal and silence.
func (ep *endpoint) penalties(now time.Duration, load float64) penalties {
	var p penalties
	if ep.isCold(now) {
		p.cold = load * (coldFactor - 1)
	}
	if ep.overdue > 1 {
		p.overdue = load * (ep.overdue - 1)
	}
	if ep.health.isSuspect(now) {
		p.suspect = suspectPenalty
	}
	if now < ep.fullUntil {
		p.full = fullPenalty
	}
	if ep.Silent {
		p.silent = silentPenalty
	}
	return p
}
