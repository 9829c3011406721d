package affinity

import (
	"slices"
	"time"
)

// minFreeShare is the free share of a domain's slots that is assumed at least. It keeps a domain from getting nothing because of
// an old demand, and small numbers of flows from making large ratios.
const minFreeShare = 0.1

// away holds how a service's flows divide over the other failure domains while the own one is evacuated.
type away struct {
	computedAt uint64        // value of Engine.changes
	validUntil time.Duration // end of the first slow start of an endpoint that is left out; 0 if none is
	domains    []awayDomain
	total      float64 // sum of the weights; 0 if the own domain is not evacuated, or no other domain has a usable endpoint
}

// awayDomain is a failure domain that takes a part of the flows.
type awayDomain struct {
	name      string
	endpoints []*endpoint // usable, ordered by ID
	slots     float64
	weight    float64
}

// chooseAway returns an endpoint in another failure domain while the own one is evacuated, else nil. It draws the domain
// in proportion to the remaining capacity. The lowest cost would not do: hosts with few flows would all choose the same domain.
func (e *Engine) chooseAway(now time.Duration, c *candidates, choice uint64, excluded []*endpoint) *endpoint {
	if c.away.computedAt != e.changes || c.away.validUntil > 0 && now >= c.away.validUntil {
		e.computeAway(now, c)
	}
	if c.away.total == 0 {
		return nil
	}
	search := func(list []*endpoint, t *turns) (*endpoint, float64) {
		if c.speeds.uneven {
			return fastest(now, c.usage, list, t, excluded)
		}
		return cheapest(now, c.usage, list, choice, excluded)
	}
	if ep, cost := search(c.local, &c.localTurns); ep != nil && cost < fullPenalty {
		return nil // a cold one with a grant
	}
	position := e.draw(choice) * c.away.total
	for _, d := range c.away.domains {
		if position -= d.weight; position >= 0 {
			continue
		}
		// Where all endpoints of the domain are suspect or full, others may not be.
		if ep, cost := search(d.endpoints, &c.remoteTurns); ep != nil && cost < fullPenalty {
			return ep
		}
		return nil
	}
	return nil
}

// endpointsOf returns the endpoints of a failure domain that takes a part of the flows, or nil if it takes none.
func (a *away) endpointsOf(domain string) []*endpoint {
	if a.total == 0 {
		return nil
	}
	for i := range a.domains {
		if a.domains[i].name == domain {
			return a.domains[i].endpoints
		}
	}
	return nil
}

// draw returns a number from 0 to 1 that differs between choices and hosts.
func (e *Engine) draw(choice uint64) float64 {
	x := (choice ^ e.seed) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// computeAway divides the flows of the own domain over the others if it is evacuated. A domain that has lost its endpoints in another
// way is left to the cost of the others. Endpoints whose first packets are limited are left out.
func (e *Engine) computeAway(now time.Duration, c *candidates) {
	c.away = away{computedAt: e.changes}
	isServing := func(ep *endpoint) bool {
		if !ep.usable() || ep.Silent {
			return false
		}
		if !ep.slowStart.isLimited || !ep.isCold(now) {
			return true
		}
		if until := max(ep.ColdUntil, ep.slowStart.returnsTill); c.away.validUntil == 0 || until < c.away.validUntil {
			c.away.validUntil = until
		}
		return false
	}
	if !e.evacuations.Contains(e.cfg.Domain) || slices.ContainsFunc(c.local, isServing) {
		return
	}
	service := ""
	for _, ep := range c.remote {
		if !isServing(ep) {
			continue
		}
		service = ep.Service
		at := slices.IndexFunc(c.away.domains, func(d awayDomain) bool { return d.name == ep.Domain })
		if at < 0 {
			at = len(c.away.domains)
			c.away.domains = append(c.away.domains, awayDomain{name: ep.Domain})
		}
		d := &c.away.domains[at]
		d.endpoints, d.slots = append(d.endpoints, ep), d.slots+1/ep.loadPerFlow
	}
	c.away.total = weighDomains(c.away.domains, e.snapshot.flows[service])
}

// weighDomains sets the weights of the domains by the flows that entered through each one, and returns their sum. The remaining
// capacity of a domain is what its own flows leave free when all flows, also those of domains without an endpoint, divide evenly
// over all slots. Flows are counted where they enter, so the weights don't depend on earlier choices. Without flows, the
// weights are in proportion to the slots.
func weighDomains(domains []awayDomain, flows map[string]int) (total float64) {
	var allFlows, allSlots float64
	for _, n := range flows {
		allFlows += float64(n)
	}
	for _, d := range domains {
		allSlots += d.slots
	}
	for i := range domains {
		d := &domains[i]
		free := allFlows/allSlots*d.slots - float64(flows[d.name])
		d.weight = max(0, free) + minFreeShare*d.slots
		total += d.weight
	}
	return total
}
