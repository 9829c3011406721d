package affinity

import (
	"math"
	"slices"
	"time"

	"cassiawood/internal/delay"
)

// candidates holds the endpoints of a service, those of the local failure domain apart, because
// most searches need not look at the others.
type candidates struct {
	local, remote []*endpoint // in the local domain and in others, each ordered by ID
	usage         *usage
	speeds        speeds
	// localTurns and remoteTurns order the endpoints of the two lists if they differ in speed.
	localTurns, remoteTurns turns
	away                    away
	restricted              map[string]*restricted // by the domains that may serve a route
	// The bounds are lower bounds for the costs of the work in progress and of the open flows of the
	// endpoints in other domains. After changes they may be too low until recomputeBounds is called,
	// which only makes searches longer.
	remoteWorkBound, remoteOpenBound float64
}

func newCandidates() *candidates {
	return &candidates{usage: newUsage(), speeds: speeds{own: delay.NewBook()}, remoteWorkBound: math.Inf(1), remoteOpenBound: math.Inf(1)}
}

// all returns all endpoints, those of the local domain first.
func (c *candidates) all() []*endpoint {
	if c == nil {
		return nil
	}
	return slices.Concat(c.local, c.remote)
}

func (c *candidates) add(ep *endpoint, isLocal bool) {
	list := &c.remote
	if isLocal {
		list = &c.local
	}
	at, _ := slices.BinarySearchFunc(*list, ep, func(a, b *endpoint) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	*list = slices.Insert(*list, at, ep)
}

func (c *candidates) remove(ep *endpoint) {
	matches := func(o *endpoint) bool { return o == ep }
	c.local, c.remote = slices.DeleteFunc(c.local, matches), slices.DeleteFunc(c.remote, matches)
	c.speeds.own.Remove(ep.ID)
}

// lowerBoundsTo lowers the bounds for a new or changed endpoint in another domain.
func (c *candidates) lowerBoundsTo(ep *endpoint) {
	c.remoteWorkBound = min(c.remoteWorkBound, ep.loadPerFlow*ep.workFactor)
	c.remoteOpenBound = min(c.remoteOpenBound, ep.loadPerFlow*ep.domainFactor)
}

// recomputeBounds computes the bounds from all endpoints in other domains.
func (c *candidates) recomputeBounds() {
	c.remoteWorkBound, c.remoteOpenBound = math.Inf(1), math.Inf(1)
	for _, ep := range c.remote {
		c.lowerBoundsTo(ep)
	}
}

// remoteBound returns a lower bound for the cost of the endpoints in other domains.
func (c *candidates) remoteBound() float64 {
	if len(c.remote) == 0 {
		return math.Inf(1)
	}
	return c.usage.workWeight*c.remoteWorkBound + c.usage.openWeight*c.remoteOpenBound
}

// choose returns the usable endpoint with the lowest cost that may serve the route and is not excluded, or nil if there
// is none.
func (e *Engine) choose(now time.Duration, r *route, service string, excluded []*endpoint) *endpoint {
	c := e.candidatesFor(r, service)
	if c == nil {
		return nil
	}
	e.choices++
	ep := e.search(now, c, e.choices, excluded)
	if ep != nil && c.speeds.uneven {
		all := e.candidates[service]
		if list := c.away.endpointsOf(ep.Domain); list != nil {
			all.remoteTurns.takeOf(list, ep)
		} else {
			e.turnsOf(all, ep).take(ep)
		}
	}
	return ep
}

// centreTurns adapts the clocks to the endpoints that take turns now.
func (c *candidates) centreTurns(now time.Duration) {
	if c.speeds.uneven {
		c.localTurns.centre(now, c.local)
		c.remoteTurns.centre(now, c.remote)
	}
}

// search is choose for the given number of the choice. It changes no state.
func (e *Engine) search(now time.Duration, c *candidates, choice uint64, excluded []*endpoint) *endpoint {
	if ep := e.chooseAway(now, c, choice, excluded); ep != nil {
		return ep
	}
	if c.speeds.uneven {
		return e.chooseBySpeed(now, c, excluded)
	}
	best, lowest := cheapest(now, c.usage, c.local, choice, excluded)
	if best != nil && lowest <= c.remoteBound() {
		return best
	}
	if remote, cost := cheapest(now, c.usage, c.remote, choice, excluded); best == nil || remote != nil && cost < lowest {
		return remote
	}
	return best
}

// cheapest returns the usable endpoint of a list with the lowest cost, and the cost. The search
// starts at another position for each choice, so that endpoints of equal cost take turns.
func cheapest(now time.Duration, u *usage, list []*endpoint, choice uint64, excluded []*endpoint) (*endpoint, float64) {
	var best *endpoint
	var lowest float64
	if len(list) == 0 {
		return nil, 0
	}
	start := int(choice % uint64(len(list)))
	for _, part := range [...][]*endpoint{list[start:], list[:start]} {
		for _, ep := range part {
			load := ep.load(u)
			// The cost is not below the load.
			if best != nil && load >= lowest || !ep.usable() || ep.isHeldBack(now) || len(excluded) > 0 && slices.Contains(excluded, ep) {
				continue
			}
			if cost := load + ep.penalty(now, load); best == nil || cost < lowest {
				best, lowest = ep, cost
			}
		}
	}
	return best, lowest
}
