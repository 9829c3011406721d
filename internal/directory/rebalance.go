package directory

import (
	"cmp"
	"slices"
)

// endpointLoad is an accepting endpoint with the number of buckets that it owns.
type endpointLoad struct {
	id    EndpointID
	slots int
	owned int
}

// lowerLoad reports whether a with extraA additional buckets has fewer buckets
// per slot than b with extraB additional ones.
func lowerLoad(a, b *endpointLoad, extraA, extraB int) bool {
	return (a.owned+extraA)*b.slots < (b.owned+extraB)*a.slots
}

// rebalance prepares only the moves that the set of accepting endpoints requires:
// buckets of endpoints that no longer accept flows go to the least loaded
// endpoints, and an endpoint without buckets gets its share from the most loaded
// ones. It keeps an uneven distribution that BucketsMoved has made.
func (s *State) rebalance(t *table) {
	s.limitSuspicion(t)
	loads := s.endpointLoads(t)
	position := make(map[EndpointID]int, len(loads))
	for i, load := range loads {
		position[load.id] = i
	}
	e := s.editTable(t)
	var unassigned []int
	for i := range t.current {
		if p, ok := position[t.owner(i)]; ok {
			loads[p].owned++
			continue
		}
		e.retarget(i, 0) // the target of the prepared move no longer accepts flows
		if p, ok := position[t.current[i]]; ok {
			loads[p].owned++
			continue
		}
		unassigned = append(unassigned, i)
	}
	if len(loads) > 0 {
		for _, i := range unassigned {
			least := leastLoaded(loads, hashBucket(t.nameHash, i))
			least.owned++
			e.retarget(i, least.id)
		}
		e.fillEmptyEndpoints(loads, position)
	}
	e.close()
}

// endpointLoads returns the accepting endpoints of a table, with owned still 0.
func (s *State) endpointLoads(t *table) []endpointLoad {
	loads := make([]endpointLoad, 0, len(t.endpointIDs))
	for _, id := range t.endpointIDs {
		if e := s.endpoints[id]; s.acceptsFlows(e) {
			loads = append(loads, endpointLoad{id: id, slots: max(1, e.Slots)})
		}
	}
	return loads
}

// leastLoaded returns the endpoint that has the fewest buckets per slot after it
// gets the bucket with the given hash; the rendezvous hash decides between equal
// ones.
func leastLoaded(loads []endpointLoad, bucketHash uint64) *endpointLoad {
	best := &loads[0]
	var bestRank uint64
	ranked := false
	for p := 1; p < len(loads); p++ {
		load := &loads[p]
		if lowerLoad(best, load, 1, 1) {
			continue
		}
		if lowerLoad(load, best, 1, 1) {
			best, ranked = load, false
			continue
		}
		if !ranked {
			bestRank, ranked = rendezvousRank(bucketHash, uint64(best.id)), true
		}
		if rank := rendezvousRank(bucketHash, uint64(load.id)); rank > bestRank {
			best, bestRank = load, rank
		}
	}
	return best
}

// fillEmptyEndpoints prepares moves to each endpoint that owns no buckets.
func (e *tableEdit) fillEmptyEndpoints(loads []endpointLoad, position map[EndpointID]int) {
	var receivers []int
	for p := range loads {
		if loads[p].owned == 0 {
			receivers = append(receivers, p)
		}
	}
	// The endpoint with the most slots comes first: if it gets nothing, none does.
	slices.SortStableFunc(receivers, func(a, b int) int { return cmp.Compare(loads[b].slots, loads[a].slots) })
	for _, p := range receivers {
		receiver := &loads[p]
		if !lowerLoad(receiver, mostLoaded(loads, receiver, e.t.nameHash), 1, 0) {
			return
		}
		e.fill(receiver, loads, position)
	}
}

// fill prepares moves from the most loaded endpoints to the receiver until another
// move would no longer lower the highest load. Buckets that are current on the
// receiver come first, because moving them only cancels a prepared move.
func (e *tableEdit) fill(receiver *endpointLoad, loads []endpointLoad, position map[EndpointID]int) {
	queues := make([][]int, len(loads))
	for _, i := range e.t.bucketsByRank(receiver.id) {
		if p, ok := position[e.t.owner(i)]; ok {
			queues[p] = append(queues[p], i)
		}
	}
	for {
		donor := mostLoaded(loads, receiver, e.t.nameHash)
		queue := &queues[position[donor.id]]
		if len(*queue) == 0 || !lowerLoad(receiver, donor, 1, 0) {
			return
		}
		e.retarget((*queue)[0], receiver.id)
		*queue = (*queue)[1:]
		donor.owned--
		receiver.owned++
	}
}

// mostLoaded returns the endpoint with the most buckets per slot; the rendezvous
// hash with the receiver decides between equal ones.
func mostLoaded(loads []endpointLoad, receiver *endpointLoad, nameHash uint64) *endpointLoad {
	best := &loads[0]
	for p := 1; p < len(loads); p++ {
		load := &loads[p]
		if lowerLoad(load, best, 0, 0) {
			continue
		}
		if lowerLoad(best, load, 0, 0) ||
			rendezvousRank(nameHash^uint64(receiver.id), uint64(load.id)) > rendezvousRank(nameHash^uint64(receiver.id), uint64(best.id)) {
			best = load
		}
	}
	return best
}

// bucketsByRank returns the indexes of the buckets in the order in which an
// endpoint gets them: those that are current on it, then by rendezvous hash.
func (t *table) bucketsByRank(id EndpointID) []int {
	order := make([]int, t.size())
	ranks := make([]uint64, t.size())
	for i := range order {
		order[i] = i
		ranks[i] = rendezvousRank(hashBucket(t.nameHash, i), uint64(id))
	}
	slices.SortFunc(order, func(a, b int) int {
		if currentA, currentB := t.current[a] == id, t.current[b] == id; currentA != currentB {
			if currentA {
				return -1
			}
			return 1
		}
		return cmp.Compare(ranks[b], ranks[a])
	})
	return order
}
