package affinity

import (
	"math"
	"slices"
	"time"
)

// candidates holds the endpoints of a service, those of the local failure domain apart, because
// most searches need not look at the others.
type candidates struct {
	near, far []*endpoint // in the local domain and in others, each ordered by ID
	// farBound is a lower bound for the cost of the endpoints in other domains. It may be too low
	// after changes until it is computed anew, which only makes searches longer.
	farBound float64
}

func newCandidates() *candidates { return &candidates{farBound: math.Inf(1)} }

// all returns all endpoints, those of the local domain first.
func (c *candidates) all() []*endpoint {
	if c == nil {
		return nil
	}
	return slices.Concat(c.near, c.far)
}

func (c *candidates) add(ep *endpoint, near bool) {
	list := &c.far
	if near {
		list = &c.near
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
	isIt := func(o *endpoint) bool { return o == ep }
	c.near, c.far = slices.DeleteFunc(c.near, isIt), slices.DeleteFunc(c.far, isIt)
}

// lowerBound lowers the bound for a new or changed endpoint in another domain.
func (c *candidates) lowerBound(ep *endpoint) {
	c.farBound = min(c.farBound, ep.perSlot*ep.distance)
}

// updateBound computes the bound anew from the endpoints in other domains.
func (c *candidates) updateBound() {
	c.farBound = math.Inf(1)
	for _, ep := range c.far {
		c.lowerBound(ep)
	}
}

// choose returns the usable endpoint with the lowest cost that is not excluded, or nil if there
// is none.
func (e *Engine) choose(now time.Duration, service string, except []*endpoint) *endpoint {
	c := e.service[service]
	if c == nil {
		return nil
	}
	e.picks++
	best, lowest := e.cheapest(now, c.near, except)
	if best != nil && lowest <= c.farBound {
		return best
	}
	if far, cost := e.cheapest(now, c.far, except); best == nil || far != nil && cost < lowest {
		return far
	}
	return best
}

// cheapest returns the usable endpoint of a list with the lowest cost, and the cost. The search
// starts at another position each time, so that endpoints of equal cost take turns.
func (e *Engine) cheapest(now time.Duration, list, except []*endpoint) (*endpoint, float64) {
	var best *endpoint
	var lowest float64
	if len(list) == 0 {
		return nil, 0
	}
	start := int(e.picks % uint64(len(list)))
	for _, part := range [...][]*endpoint{list[start:], list[:start]} {
		for _, ep := range part {
			load := ep.load()
			// The cost is not below the load.
			if best != nil && load >= lowest || !ep.usable() || len(except) > 0 && slices.Contains(except, ep) {
				continue
			}
			if cost := load + ep.penalty(now, load); best == nil || cost < lowest {
				best, lowest = ep, cost
			}
		}
	}
	return best, lowest
}
