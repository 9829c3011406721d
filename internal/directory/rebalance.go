package directory

import (
	"cmp"
	"slices"
)

// share is an accepting endpoint with the number of buckets that it owns.
type share struct {
	id     EndpointID
	weight int // slots
	owned  int
}

// less reports whether a with extraA additional buckets has fewer buckets per slot
// than b with extraB additional ones.
func less(a, b *share, extraA, extraB int) bool {
	return (a.owned+extraA)*b.weight < (b.owned+extraB)*a.weight
}

// rebalance prepares only the moves that the set of accepting endpoints requires:
// buckets of endpoints that no longer accept flows go to the least loaded
// endpoints, and an endpoint without buckets gets its share from the most loaded
// ones. It keeps an uneven distribution that BucketsMoved has made.
func (s *State) rebalance(t *table) {
	s.limitSuspicion(t)
	shares := s.shares(t)
	position := make(map[EndpointID]int, len(shares))
	for i, sh := range shares {
		position[sh.id] = i
	}
	e := s.edit(t)
	var orphans []int
	for i := range t.current {
		if p, ok := position[t.owner(i)]; ok {
			shares[p].owned++
			continue
		}
		e.retarget(i, 0) // the target of the prepared move no longer accepts flows
		if p, ok := position[t.current[i]]; ok {
			shares[p].owned++
			continue
		}
		orphans = append(orphans, i)
	}
	if len(shares) > 0 {
		for _, i := range orphans {
			least := leastLoaded(shares, placeHash(t.hash, i))
			least.owned++
			e.retarget(i, least.id)
		}
		e.attract(shares, position)
	}
	e.close()
}

// shares returns the accepting endpoints of a table, with owned still 0.
func (s *State) shares(t *table) []share {
	shares := make([]share, 0, len(t.members))
	for _, id := range t.members {
		if e := s.endpoints[id]; s.accepts(e) {
			shares = append(shares, share{id: id, weight: max(1, e.Slots)})
		}
	}
	return shares
}

// leastLoaded returns the endpoint that has the fewest buckets per slot after it
// gets the bucket with the given hash; the rendezvous hash decides between equal
// ones.
func leastLoaded(shares []share, place uint64) *share {
	best := &shares[0]
	var bestRank uint64
	ranked := false
	for p := 1; p < len(shares); p++ {
		sh := &shares[p]
		if less(best, sh, 1, 1) {
			continue
		}
		if less(sh, best, 1, 1) {
			best, ranked = sh, false
			continue
		}
		if !ranked {
			bestRank, ranked = rendezvous(place, uint64(best.id)), true
		}
		if rank := rendezvous(place, uint64(sh.id)); rank > bestRank {
			best, bestRank = sh, rank
		}
	}
	return best
}

// attract prepares moves to each endpoint that owns no buckets.
func (e *edit) attract(shares []share, position map[EndpointID]int) {
	var receivers []int
	for p := range shares {
		if shares[p].owned == 0 {
			receivers = append(receivers, p)
		}
	}
	// The endpoint with the most slots comes first: if it gets nothing, none does.
	slices.SortStableFunc(receivers, func(a, b int) int { return cmp.Compare(shares[b].weight, shares[a].weight) })
	for _, p := range receivers {
		receiver := &shares[p]
		if !less(receiver, fullest(shares, receiver, e.t.hash), 1, 0) {
			return
		}
		e.fill(receiver, shares, position)
	}
}

// fill prepares moves from the most loaded endpoints to the receiver until another
// move would no longer lower the highest load. Buckets that are current on the
// receiver come first, because moving them only cancels a prepared move.
func (e *edit) fill(receiver *share, shares []share, position map[EndpointID]int) {
	queues := make([][]int, len(shares))
	for _, i := range e.t.byRank(receiver.id) {
		if p, ok := position[e.t.owner(i)]; ok {
			queues[p] = append(queues[p], i)
		}
	}
	for {
		donor := fullest(shares, receiver, e.t.hash)
		queue := &queues[position[donor.id]]
		if len(*queue) == 0 || !less(receiver, donor, 1, 0) {
			return
		}
		e.retarget((*queue)[0], receiver.id)
		*queue = (*queue)[1:]
		donor.owned--
		receiver.owned++
	}
}

// fullest returns the endpoint with the most buckets per slot; the rendezvous hash
// with the receiver decides between equal ones.
func fullest(shares []share, receiver *share, hash uint64) *share {
	best := &shares[0]
	for p := 1; p < len(shares); p++ {
		sh := &shares[p]
		if less(sh, best, 0, 0) {
			continue
		}
		if less(best, sh, 0, 0) ||
			rendezvous(hash^uint64(receiver.id), uint64(sh.id)) > rendezvous(hash^uint64(receiver.id), uint64(best.id)) {
			best = sh
		}
	}
	return best
}

// byRank returns the indexes of the buckets in the order in which an endpoint gets
// them: those that are current on it, then by rendezvous hash.
func (t *table) byRank(id EndpointID) []int {
	order := make([]int, t.size())
	ranks := make([]uint64, t.size())
	for i := range order {
		order[i] = i
		ranks[i] = rendezvous(placeHash(t.hash, i), uint64(id))
	}
	slices.SortFunc(order, func(a, b int) int {
		if mineA, mineB := t.current[a] == id, t.current[b] == id; mineA != mineB {
			if mineA {
				return -1
			}
			return 1
		}
		return cmp.Compare(ranks[b], ranks[a])
	})
	return order
}
