package directory

import (
	"encoding/binary"
	"slices"
)

// editKey identifies a change of a move state. Buckets with the same key get the
// same result, which is computed only once.
type editKey struct {
	old           uint32 // index of the present move state
	current, next EndpointID
}

// edit changes buckets of one table while one entry is applied. The caller ends
// it with close.
type edit struct {
	s    *State
	t    *table
	memo map[editKey]uint32 // indexes of the results in trails

	settled bool // commit has settled a bucket, which leaves no result in memo
}

// edit begins a change of a table.
func (s *State) edit(t *table) *edit { return &edit{s: s, t: t, memo: map[editKey]uint32{}} }

// retarget prepares a move of bucket i to an endpoint. 0 or the current endpoint
// cancels the prepared move.
func (e *edit) retarget(i int, to EndpointID) {
	current, old := e.t.current[i], e.t.trail(i)
	if to == current {
		to = 0
	}
	if old == nil && to == 0 || old != nil && old.next == to {
		return
	}
	e.put(i, editKey{old: e.t.place(i), current: current, next: to}, func() trail {
		next := trail{base: current}
		if old != nil {
			next = *old
		}
		next.next, next.prepared = to, 0
		return next
	})
}

// commit completes the prepared move or settling of bucket i.
func (e *edit) commit(i int) {
	old, current := *e.t.trail(i), e.t.current[i]
	if old.next == 0 { // every host has applied the entry that found all flows on current
		e.t.trailOf[i], e.settled = 0, true
		return
	}
	e.t.current[i] = old.next
	e.put(i, editKey{old: e.t.place(i), current: current}, func() trail {
		since := []EndpointID{old.next}
		for _, id := range old.since {
			if id != old.next {
				since = append(since, id)
			}
		}
		return trail{base: old.base, since: since}
	})
}

// drop removes an endpoint whose tombstone has expired from bucket i.
func (e *edit) drop(i int, gone EndpointID) {
	old, current := e.t.trail(i), e.t.current[i]
	if current == gone {
		current = 0
		e.t.current[i] = 0
	}
	if old == nil {
		return
	}
	if old.base != gone && !slices.Contains(old.since, gone) {
		return
	}
	e.put(i, editKey{old: e.t.place(i), current: current}, func() trail {
		next := *old
		if next.base == gone {
			next.base = 0
		}
		next.since = slices.DeleteFunc(slices.Clone(old.since), func(id EndpointID) bool { return id == gone })
		return next
	})
}

// bury simplifies the move state of bucket i after one of its endpoints was
// turned into a tombstone.
func (e *edit) bury(i int, gone EndpointID) {
	old := e.t.trail(i)
	if old == nil || old.base != gone && !slices.Contains(old.since, gone) {
		return
	}
	e.put(i, editKey{old: e.t.place(i), current: e.t.current[i], next: old.next}, func() trail { return *old })
}

// put stores the simplified result of change as the move state of bucket i.
func (e *edit) put(i int, key editKey, change func() trail) {
	place, done := e.memo[key]
	if !done {
		if tr, tracked := e.simplify(change(), e.t.current[i]); tracked {
			if e.t.trails == nil {
				e.t.trails = make([]trail, 1)
			}
			place = uint32(len(e.t.trails))
			e.t.trails = append(e.t.trails, tr)
		}
		e.memo[key] = place
	}
	if place == 0 && e.t.trailOf == nil {
		return
	}
	if e.t.trailOf == nil {
		e.t.trailOf = make([]uint32, e.t.size())
	}
	e.t.trailOf[i] = place
	if place != 0 && e.t.trails[place].prepared == e.s.index {
		e.s.notePending(e.t.name)
	}
}

// simplify returns the shortest equivalent of a move state; tracked is false when
// the bucket is settled and needs none. It sets prepared for a new move or settling.
func (e *edit) simplify(tr trail, current EndpointID) (simple trail, tracked bool) {
	tr = e.mergeRemoved(tr, current)
	if tr.base == 0 && len(tr.since) == 1 && tr.since[0] == current {
		tr.base = current // the only remaining endpoint, or the first one of the bucket
	}
	switch {
	case tr.next != 0:
		if tr.prepared == 0 {
			tr.prepared = e.s.index
		}
	case tr.base == current && len(tr.since) == 0:
		return trail{}, false
	case tr.base == current && len(tr.since) == 1 && tr.since[0] == current:
		// All flows are on current. A host that has not applied this entry may still
		// send flows without a record to another endpoint. The bucket is therefore
		// settled, which lets hosts place flows without records, only after every host
		// has acknowledged this entry.
		if tr.prepared == 0 {
			tr.prepared = e.s.index
		}
	default:
		tr.prepared = 0
	}
	return tr, true
}

// mergeRemoved replaces all removed endpoints of a move state by the one removed
// last, as base. The flows of every removed endpoint are reset, so the effect is
// the same. A base that is not removed still serves the flows without records; in
// that case the removed endpoints must stay in since.
func (e *edit) mergeRemoved(tr trail, current EndpointID) trail {
	removed := func(id EndpointID) bool {
		endpoint := e.s.endpoints[id]
		return id != current && endpoint != nil && endpoint.State == Removed
	}
	if tr.base != 0 && !removed(tr.base) || !slices.ContainsFunc(tr.since, removed) {
		return tr
	}
	var since []EndpointID
	for _, id := range tr.since {
		if !removed(id) {
			since = append(since, id)
			continue
		}
		if tr.base == 0 || e.s.removedAfter(id, tr.base) {
			tr.base = id
		}
	}
	tr.since = since
	return tr
}

// removedAfter reports whether tombstone a expires after tombstone b.
func (s *State) removedAfter(a, b EndpointID) bool {
	atA, atB := s.endpoints[a].RemovedAt, s.endpoints[b].RemovedAt
	return atA > atB || atA == atB && a > b
}

// close merges equal move states of the table and drops the unused ones. The
// order of the others depends only on the buckets, so that equal tables have
// equal lists.
func (e *edit) close() {
	t := e.t
	if len(e.memo) == 0 && !e.settled {
		return
	}
	moved := make([]uint32, len(t.trails))
	places := map[trailKey]uint32{}
	trails := make([]trail, 1, len(t.trails))
	for i, old := range t.trailOf {
		if old != 0 && moved[old] == 0 {
			key := t.trails[old].key()
			if places[key] == 0 {
				places[key] = uint32(len(trails))
				trails = append(trails, t.trails[old])
			}
			moved[old] = places[key]
		}
		t.trailOf[i] = moved[old]
	}
	t.trails = slices.Clip(trails)
	if len(trails) == 1 {
		t.trailOf, t.trails = nil, nil
	}
}

// trailKey is the content of a move state as a comparable value.
type trailKey struct {
	base, next EndpointID
	prepared   uint64
	since      string
}

func (tr *trail) key() trailKey {
	since := make([]byte, 0, 4*len(tr.since))
	for _, id := range tr.since {
		since = binary.LittleEndian.AppendUint32(since, uint32(id))
	}
	return trailKey{tr.base, tr.next, tr.prepared, string(since)}
}
