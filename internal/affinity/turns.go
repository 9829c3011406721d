package affinity

import (
	"math"
	"slices"
	"time"
)

// turns is the virtual clock by which endpoints of different speed take turns: each one's turn comes again after a time in inverse
// proportion to its slots and its speed. It is to such endpoints what the rotation is to equal ones.
type turns struct {
	now  float64
	rate float64 // sum of the slots times the speeds of the usable endpoints
}

// setRate sets the rate for the endpoints of a list.
func (t *turns) setRate(list []*endpoint) {
	t.rate = 0
	for _, ep := range list {
		if ep.usable() {
			t.rate += 1 / ep.stride()
		}
	}
}

// stride returns the virtual time between two turns of the endpoint.
func (ep *endpoint) stride() float64 { return ep.loadPerFlow * ep.slowness }

// wait returns the share of an endpoint's stride until its next turn, at most 1. It is negative if the turn is overdue.
func (t *turns) wait(ep *endpoint) float64 { return min(max((ep.turnAt-t.now)/ep.stride(), -1), 1) }

// take records that the endpoint has got a flow.
func (t *turns) take(ep *endpoint) {
	if t.rate > 0 {
		t.now += 1 / t.rate
	}
	ep.turnAt = max(ep.turnAt, t.now) + ep.stride()
}

// join sets the first turn of an endpoint. It differs between hosts, which would otherwise all choose the same endpoints in the
// same order.
func (t *turns) join(ep *endpoint, seed uint64) {
	x := (uint64(ep.token) ^ seed) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	ep.turnAt = t.now + ep.stride()*float64((x^x>>32)>>11)/(1<<53)
}

// turnsOf returns the clock of an endpoint's list.
func (e *Engine) turnsOf(c *candidates, ep *endpoint) *turns {
	if ep.Domain == e.cfg.Domain {
		return &c.localTurns
	}
	return &c.remoteTurns
}

// chooseBySpeed is choose for a service whose endpoints differ in speed.
func (e *Engine) chooseBySpeed(now time.Duration, c *candidates, excluded []*endpoint) *endpoint {
	local, localCost := fastest(now, c.usage, c.local, &c.localTurns, excluded)
	remote, remoteCost := fastest(now, c.usage, c.remote, &c.remoteTurns, excluded)
	if local == nil || remote != nil && remoteCost < localCost {
		return remote
	}
	return local
}

// fastest returns a usable endpoint of a list with a low expected delay, and its cost in the sense of cheapest. Where this
// host has sent nothing to the endpoints lately, they take turns in proportion to their slots and their speed: the load that other
// hosts cause is not known, and hosts that all chose the fastest one would overrun it. What this host has sent counts
// against an endpoint in the same proportion.
func fastest(now time.Duration, u *usage, list []*endpoint, t *turns, excluded []*endpoint) (*endpoint, float64) {
	var best *endpoint
	lowest, cost := math.Inf(1), 0.0
	for _, ep := range list {
		if !ep.usable() || ep.isHeldBack(now) || len(excluded) > 0 && slices.Contains(excluded, ep) {
			continue
		}
		if inTurn := ep.cost(now, u, t.wait(ep)); inTurn < lowest {
			best, lowest = ep, inTurn
		}
	}
	if best != nil {
		cost = best.cost(now, u, 1)
	}
	return best, cost
}

// cost returns the load of the endpoint with a number of more flows, weighted with its speed, and its penalties.
func (ep *endpoint) cost(now time.Duration, u *usage, more float64) float64 {
	load := ep.loadOf(u, more) * ep.slowness
	return load + ep.penalty(now, max(load, 0))
}
