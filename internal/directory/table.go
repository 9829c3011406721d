package directory

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/document"
)

// ServiceState is a service with its bucket table, as seen from one address.
type ServiceState struct {
	document.Service
	Section     string        // heading of the section that has or had the service
	Quarantined bool          // the address was released: old flows continue, new ones are refused
	ReleasedAt  time.Duration // log time of the release

	table *table
}

// table is the bucket table of a service, shared by its present and quarantined addresses.
type table struct {
	name    string
	hash    uint64
	current []EndpointID
	trails  []*trail     // nil while all buckets are settled
	members []EndpointID // endpoints that are not removed, in order
}

// trail is what an unsettled bucket has besides its current endpoint. It is
// never modified, because buckets with the same history share one.
type trail struct {
	base     EndpointID
	next     EndpointID
	since    []EndpointID
	prepared uint64 // index of the entry that prepared the move or the settling; 0 when none waits
}

// pendingMove notes that an entry prepared buckets of a service.
type pendingMove struct {
	index   uint64
	service string
}

func newTable(name string, buckets int) *table {
	return &table{name: name, hash: xxhash.Sum64String(name), current: make([]EndpointID, buckets)}
}

func (t *table) size() int { return len(t.current) }

func (t *table) trail(i int) *trail {
	if t.trails == nil {
		return nil
	}
	return t.trails[i]
}

// owner returns the endpoint that has bucket i once all moves are committed.
func (t *table) owner(i int) EndpointID {
	if tr := t.trail(i); tr != nil && tr.next != 0 {
		return tr.next
	}
	return t.current[i]
}

// Buckets returns the number of buckets.
func (s *ServiceState) Buckets() int { return s.table.size() }

// Bucket returns one place of the table. The caller must not modify Since.
func (s *ServiceState) Bucket(i int) Bucket {
	current := s.table.current[i]
	tr := s.table.trail(i)
	if tr == nil {
		return Bucket{Current: current, Base: current}
	}
	return Bucket{Current: current, Base: tr.base, Since: tr.since, Next: tr.next}
}

// Members returns the endpoints of the service that are not removed, in order.
// The caller must not modify the slice.
func (s *ServiceState) Members() []EndpointID { return s.table.members }

// editKey identifies a change of a trail. Buckets with the same key get the same result.
type editKey struct {
	old           *trail
	current, next EndpointID
}

// edit changes buckets of one table within one entry.
type edit struct {
	s    *State
	t    *table
	memo map[editKey]*trail
}

func (s *State) edit(t *table) *edit { return &edit{s: s, t: t, memo: map[editKey]*trail{}} }

// retarget moves bucket i to an endpoint; 0 or the current endpoint cancels a prepared move.
func (e *edit) retarget(i int, to EndpointID) {
	current, old := e.t.current[i], e.t.trail(i)
	if to == current {
		to = 0
	}
	if old == nil && to == 0 || old != nil && old.next == to {
		return
	}
	e.put(i, editKey{old: old, current: current, next: to}, func() trail {
		next := trail{base: current}
		if old != nil {
			next = *old
		}
		next.next, next.prepared = to, 0
		return next
	})
}

// commit ends the prepared step of bucket i.
func (e *edit) commit(i int) {
	old, current := e.t.trail(i), e.t.current[i]
	if old.next == 0 { // all hosts know that base is gone
		e.t.trails[i] = nil
		return
	}
	e.t.current[i] = old.next
	e.put(i, editKey{old: old, current: current}, func() trail {
		if current == 0 && old.base == 0 && len(old.since) == 0 {
			return trail{base: old.next} // the bucket never had a flow
		}
		since := []EndpointID{old.next}
		for _, id := range old.since {
			if id != old.next {
				since = append(since, id)
			}
		}
		return trail{base: old.base, since: since}
	})
}

// drop removes a forgotten endpoint from bucket i.
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
	e.put(i, editKey{old: old, current: current}, func() trail {
		next := *old
		if next.base == gone {
			next.base = 0
		}
		next.since = slices.DeleteFunc(slices.Clone(old.since), func(id EndpointID) bool { return id == gone })
		return next
	})
}

// put stores the trail of bucket i in its simplest form.
func (e *edit) put(i int, key editKey, change func() trail) {
	tr, done := e.memo[key]
	if !done {
		tr = e.simplify(change(), e.t.current[i])
		e.memo[key] = tr
	}
	if tr == nil && e.t.trails == nil {
		return
	}
	if e.t.trails == nil {
		e.t.trails = make([]*trail, e.t.size())
	}
	e.t.trails[i] = tr
	if tr != nil && tr.prepared == e.s.index {
		e.s.notePending(e.t.name)
	}
}

// simplify returns nil for a settled bucket and sets the index of a new prepared step.
func (e *edit) simplify(tr trail, current EndpointID) *trail {
	onlyCurrent := len(tr.since) == 0 || len(tr.since) == 1 && tr.since[0] == current
	switch {
	case tr.next != 0:
		if tr.prepared == 0 {
			tr.prepared = e.s.index
		}
	case tr.base == current && onlyCurrent:
		return nil
	case tr.base == 0 && onlyCurrent && current != 0:
		// All flows are on current with records. A host that has not applied this
		// entry still resets unknown flows as the lost base's, so the bucket is
		// settled only after every host has acknowledged it.
		if tr.prepared == 0 {
			tr.prepared = e.s.index
		}
	default:
		tr.prepared = 0
	}
	return &tr
}

// notePending records that the entry being applied prepared buckets of a service.
func (s *State) notePending(service string) {
	move := pendingMove{index: s.index, service: service}
	if n := len(s.moves); n == 0 || s.moves[n-1] != move {
		s.moves = append(s.moves, move)
	}
}

// PendingMoves returns the lowest index of an entry whose moves are prepared
// and not committed.
func (s *State) PendingMoves() (index uint64, ok bool) {
	if len(s.moves) == 0 {
		return 0, false
	}
	return s.moves[0].index, true
}

func (s *State) commitMoves(upTo uint64) Outcome {
	if upTo >= s.index {
		return refuse("moves up to %d cannot be committed at %d", upTo, s.index)
	}
	done := map[string]bool{}
	for len(s.moves) > 0 && s.moves[0].index <= upTo {
		name := s.moves[0].service
		s.moves = s.moves[1:]
		service, ok := s.services[name]
		if !ok || done[name] {
			continue
		}
		done[name] = true
		e := s.edit(service.table)
		for i := range service.table.trails {
			if tr := service.table.trails[i]; tr != nil && tr.prepared != 0 && tr.prepared <= upTo {
				e.commit(i)
			}
		}
		service.table.trim()
	}
	return Outcome{Applied: true}
}

// trim frees the trails of a table that has none.
func (t *table) trim() {
	if !slices.ContainsFunc(t.trails, func(tr *trail) bool { return tr != nil }) {
		t.trails = nil
	}
}

// dropFromTable removes a forgotten endpoint from all buckets of its service.
func (s *State) dropFromTable(t *table, gone EndpointID) {
	e := s.edit(t)
	for i := range t.current {
		e.drop(i, gone)
	}
	t.trim()
}

func (s *State) moveBuckets(c BucketsMoved) Outcome {
	service, ok := s.services[c.Service]
	if !ok || c.Count <= 0 || c.From == c.To {
		return refuse("cannot move %d buckets of service %q from %d to %d", c.Count, c.Service, c.From, c.To)
	}
	t := service.table
	if !slices.Contains(t.members, c.To) || !s.Accepts(c.To) {
		return refuse("endpoint %d of service %q takes no new flows", c.To, c.Service)
	}
	e := s.edit(t)
	left := c.Count
	for _, i := range t.byRank(c.To) {
		if left > 0 && t.owner(i) == c.From {
			e.retarget(i, c.To)
			left--
		}
	}
	if left == c.Count {
		return refuse("endpoint %d has no bucket of service %q", c.From, c.Service)
	}
	return Outcome{Applied: true}
}
