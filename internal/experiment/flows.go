package experiment

import (
	"cassiawood/internal/directory"
)

// flowTracker counts the open flows of a service that break. A policy with flow
// records keeps every flow at its endpoint, as internal/flow does. A policy without
// records finds the endpoint of each packet by its hash and so breaks a flow when
// the set of endpoints of any entry host yields another endpoint.
type flowTracker struct {
	hashed bool
	owner  []directory.EndpointID
	moved  []bool
	broken int
}

func newFlowTracker(r *run) *flowTracker {
	c := &flowTracker{hashed: !r.policy.Records}
	if !c.hashed {
		return c
	}
	ids := r.endpointsFor(r.hosts[0])
	c.owner = make([]directory.EndpointID, flowsPerEndpoint*len(ids))
	c.moved = make([]bool, len(c.owner))
	for i := range c.owner {
		c.owner[i] = rendezvous(flowKey(i), ids)
	}
	return c
}

// flowKey returns the hash of the i-th open flow.
func flowKey(i int) uint64 { return mix64(uint64(i) + 1) }

// countBroken checks all flows against one host's new set of endpoints.
func (c *flowTracker) countBroken(ids []directory.EndpointID) {
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
	bestWeight, chosen := uint64(0), directory.EndpointID(0)
	for _, id := range ids {
		if w := mix64(key ^ uint64(id)*0x9e3779b97f4a7c15); chosen == 0 || w > bestWeight {
			bestWeight, chosen = w, id
		}
	}
	return chosen
}

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
