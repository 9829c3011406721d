package directory

import (
	"encoding/binary"
	"slices"
)

// editKey identifies a change of a move state. Buckets with the same key get the
// same result, which is computed only once.
type editKey struct {
	oldIndex      uint32 // index of the present move state
	current, next EndpointID
}

// tableEdit changes buckets of one table while one entry is applied. The caller
// ends it with close.
type tableEdit struct {
	s    *State
	t    *table
	memo map[editKey]uint32 // indexes of the results in moveStates

	settled bool // commit has settled a bucket, which leaves no result in memo
}

// editTable begins a change of a table.
func (s *State) editTable(t *table) *tableEdit {
	return &tableEdit{s: s, t: t, memo: map[editKey]uint32{}}
}

// retarget prepares a move of bucket i to an endpoint. 0 or the current endpoint
// cancels the prepared move.
func (e *tableEdit) retarget(i int, to EndpointID) {
	current, old := e.t.current[i], e.t.moveState(i)
	if to == current {
		to = 0
	}
	if old == nil && to == 0 || old != nil && old.next == to {
		return
	}
	e.setMoveState(i, editKey{oldIndex: e.t.moveStateIndex(i), current: current, next: to}, func() moveState {
		changed := moveState{base: current}
		if old != nil {
			changed = *old
		}
		changed.next, changed.prepared = to, 0
		return changed
	})
}

// commit completes the prepared move or settling of bucket i.
func (e *tableEdit) commit(i int) {
	old, current := *e.t.moveState(i), e.t.current[i]
	if old.next == 0 { // every host has applied the entry that found all flows on current
		e.t.moveStateOf[i], e.settled = 0, true
		return
	}
	e.t.current[i] = old.next
	e.setMoveState(i, editKey{oldIndex: e.t.moveStateIndex(i), current: current}, func() moveState {
		since := []EndpointID{old.next}
		for _, id := range old.since {
			if id != old.next {
				since = append(since, id)
			}
		}
		return moveState{base: old.base, since: since}
	})
}

// dropEndpoint removes an endpoint whose tombstone has expired from bucket i.
func (e *tableEdit) dropEndpoint(i int, expired EndpointID) {
	old, current := e.t.moveState(i), e.t.current[i]
	if current == expired {
		current = 0
		e.t.current[i] = 0
	}
	if old == nil {
		return
	}
	if old.base != expired && !slices.Contains(old.since, expired) {
		return
	}
	e.setMoveState(i, editKey{oldIndex: e.t.moveStateIndex(i), current: current}, func() moveState {
		changed := *old
		if changed.base == expired {
			changed.base = 0
		}
		changed.since = slices.DeleteFunc(slices.Clone(old.since), func(id EndpointID) bool { return id == expired })
		return changed
	})
}

// simplifyAfterRemoval simplifies the move state of bucket i after one of its
// endpoints was turned into a tombstone.
func (e *tableEdit) simplifyAfterRemoval(i int, removed EndpointID) {
	old := e.t.moveState(i)
	if old == nil || old.base != removed && !slices.Contains(old.since, removed) {
		return
	}
	e.setMoveState(i, editKey{oldIndex: e.t.moveStateIndex(i), current: e.t.current[i], next: old.next}, func() moveState { return *old })
}

// setMoveState stores the simplified result of change as the move state of
// bucket i.
func (e *tableEdit) setMoveState(i int, key editKey, change func() moveState) {
	index, done := e.memo[key]
	if !done {
		if ms, tracked := e.simplify(change(), e.t.current[i]); tracked {
			if e.t.moveStates == nil {
				e.t.moveStates = make([]moveState, 1)
			}
			index = uint32(len(e.t.moveStates))
			e.t.moveStates = append(e.t.moveStates, ms)
		}
		e.memo[key] = index
	}
	if index == 0 && e.t.moveStateOf == nil {
		return
	}
	if e.t.moveStateOf == nil {
		e.t.moveStateOf = make([]uint32, e.t.size())
	}
	e.t.moveStateOf[i] = index
	if index != 0 && e.t.moveStates[index].prepared == e.s.index {
		e.s.recordPendingMove(e.t.name)
	}
}

// simplify returns the shortest equivalent of a move state; tracked is false
// when the bucket is settled and needs none. It sets prepared for a new move or
// settling.
func (e *tableEdit) simplify(ms moveState, current EndpointID) (simple moveState, tracked bool) {
	ms = e.mergeRemoved(ms, current)
	if ms.base == 0 && len(ms.since) == 1 && ms.since[0] == current {
		ms.base = current // the only remaining endpoint, or the first one of the bucket
	}
	switch {
	case ms.next != 0:
		if ms.prepared == 0 {
			ms.prepared = e.s.index
		}
	case ms.base == current && len(ms.since) == 0:
		return moveState{}, false
	case ms.base == current && len(ms.since) == 1 && ms.since[0] == current:
		// All flows are on current. A host that has not applied this entry may still
		// send flows without a record to another endpoint. The bucket is therefore
		// settled, which lets hosts place flows without records, only after every host
		// has acknowledged this entry.
		if ms.prepared == 0 {
			ms.prepared = e.s.index
		}
	default:
		ms.prepared = 0
	}
	return ms, true
}

// mergeRemoved replaces all removed endpoints of a move state by the one removed
// last, as base. The flows of every removed endpoint are reset, so the effect is
// the same. A base that is not removed still serves the flows without records; in
// that case the removed endpoints must stay in since.
func (e *tableEdit) mergeRemoved(ms moveState, current EndpointID) moveState {
	removed := func(id EndpointID) bool {
		endpoint := e.s.endpoints[id]
		return id != current && endpoint != nil && endpoint.State == Removed
	}
	if ms.base != 0 && !removed(ms.base) || !slices.ContainsFunc(ms.since, removed) {
		return ms
	}
	var since []EndpointID
	for _, id := range ms.since {
		if !removed(id) {
			since = append(since, id)
			continue
		}
		if ms.base == 0 || e.s.removedAfter(id, ms.base) {
			ms.base = id
		}
	}
	ms.since = since
	return ms
}

// removedAfter reports whether tombstone a expires after tombstone b.
func (s *State) removedAfter(a, b EndpointID) bool {
	atA, atB := s.endpoints[a].RemovedAt, s.endpoints[b].RemovedAt
	return atA > atB || atA == atB && a > b
}

// close merges equal move states of the table and drops the unused ones. The
// order of the others depends only on the buckets, so that equal tables have
// equal lists.
func (e *tableEdit) close() {
	t := e.t
	if len(e.memo) == 0 && !e.settled {
		return
	}
	newIndex := make([]uint32, len(t.moveStates))
	indexes := map[moveStateKey]uint32{}
	moveStates := make([]moveState, 1, len(t.moveStates))
	for i, old := range t.moveStateOf {
		if old != 0 && newIndex[old] == 0 {
			key := t.moveStates[old].key()
			if indexes[key] == 0 {
				indexes[key] = uint32(len(moveStates))
				moveStates = append(moveStates, t.moveStates[old])
			}
			newIndex[old] = indexes[key]
		}
		t.moveStateOf[i] = newIndex[old]
	}
	t.moveStates = slices.Clip(moveStates)
	if len(moveStates) == 1 {
		t.moveStateOf, t.moveStates = nil, nil
	}
}

// moveStateKey is the content of a move state as a comparable value.
type moveStateKey struct {
	base, next EndpointID
	prepared   uint64
	since      string
}

func (ms *moveState) key() moveStateKey {
	since := make([]byte, 0, 4*len(ms.since))
	for _, id := range ms.since {
		since = binary.LittleEndian.AppendUint32(since, uint32(id))
	}
	return moveStateKey{ms.base, ms.next, ms.prepared, string(since)}
}
