package experiment

import (
	"cassiawood/internal/directory"
)

// flowCensus counts the open flows of a service that break. A policy with flow
// records keeps every flow at its endpoint, as internal/flow does. A policy without
// records finds the endpoint of each packet by its hash and so breaks a flow when
// the set of endpoints of any entry host yields another endpoint.
type flowCensus struct {
	hashed bool
	owner  []directory.EndpointID
	moved  []bool
	broken int
}

func newFlowCensus(r *run) *flowCensus {
	c := &flowCensus{hashed: !r.policy.Records}
	if !c.hashed {
		return c
	}
	ids := r.endpointsFor(r.hosts[0])
	c.owner = make([]directory.EndpointID, connections*len(ids))
	c.moved = make([]bool, len(c.owner))
	for i := range c.owner {
		c.owner[i] = rendezvous(flowKey(i), ids)
	}
	return c
}

// flowKey returns the hash of the i-th open flow.
func flowKey(i int) uint64 { return scramble(uint64(i) + 1) }

// tableChanged checks all flows against one host's new set of endpoints.
func (c *flowCensus) tableChanged(ids []directory.EndpointID) {
	if !c.hashed {
		return
	}
	for i, owner := range c.owner {
		if !c.moved[i] && rendezvous(flowKey(i), ids) != owner {
			c.moved[i] = true
			c.broken++
		}
	}
}

// rendezvous chooses an endpoint by rendezvous hashing (highest random weight),
// which moves the fewest flows that hashing alone can achieve.
func rendezvous(key uint64, ids []directory.EndpointID) directory.EndpointID {
	best, chosen := uint64(0), directory.EndpointID(0)
	for _, id := range ids {
		if w := scramble(key ^ uint64(id)*0x9e3779b97f4a7c15); chosen == 0 || w > best {
			best, chosen = w, id
		}
	}
	return chosen
}

// scramble is the finalizer of SplitMix64.
func scramble(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
