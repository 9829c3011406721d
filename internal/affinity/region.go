package affinity

import "slices"

// restricted holds the candidates of a service for the routes that only some failure domains may serve.
type restricted struct {
	computedAt uint64 // value of Engine.changes
	candidates
}

// allows reports whether endpoints of the domain may serve the route.
func (r *route) allows(domain string) bool {
	return len(r.domains) == 0 || slices.Contains(r.domains, domain)
}

// candidatesFor returns the candidates of a service that may serve the route, nil if the service has none.
func (e *Engine) candidatesFor(r *route, service string) *candidates {
	c := e.candidates[service]
	if c == nil || len(r.domains) == 0 {
		return c
	}
	x := c.restricted[r.domainsKey]
	if x == nil || x.computedAt != e.changes {
		isBarred := func(ep *endpoint) bool { return !r.allows(ep.Domain) }
		x = &restricted{computedAt: e.changes}
		x.local, x.remote = slices.DeleteFunc(slices.Clone(c.local), isBarred), slices.DeleteFunc(slices.Clone(c.remote), isBarred)
		if c.restricted == nil {
			c.restricted = map[string]*restricted{}
		}
		c.restricted[r.domainsKey] = x
	}
	// What changes without the endpoints is that of the service. The bounds hold for each part of its endpoints.
	x.usage, x.speeds, x.localTurns, x.remoteTurns = c.usage, c.speeds, c.localTurns, c.remoteTurns
	x.remoteWorkBound, x.remoteOpenBound = c.remoteWorkBound, c.remoteOpenBound
	return &x.candidates
}
