package directory

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/document"
)

// ServiceState is a service at one of its addresses, with the bucket table that
// all its addresses share.
type ServiceState struct {
	document.Service
	Section     string        // heading of the section that has or had the service
	Quarantined bool          // the address was released: old flows continue, new ones are refused
	ReleasedAt  time.Duration // log time of the release

	table *table
}

// table is the bucket table of a service. The present and the quarantined
// addresses of the service share it.
type table struct {
	name    string
	hash    uint64 // of name
	current []EndpointID
	trailOf []uint32     // for each bucket its index in trails, 0 when settled; nil while all are settled
	trails  []trail      // all different and never modified in place; index 0 is not used
	members []EndpointID // endpoints that are not removed, in order
}

// trail is the state of an unsettled bucket besides its current endpoint. Many
// buckets have equal move states, so a table stores each only once: at 2,400
// services, one for each bucket would exceed the 64 MB of a node.
type trail struct {
	base     EndpointID
	next     EndpointID
	since    []EndpointID
	prepared uint64 // index of the entry that prepared the move or the settling; 0 when none waits
}

// pendingMove identifies an entry that prepared moves or settlings of a service's
// buckets.
type pendingMove struct {
	index   uint64
	service string
}

func newTable(name string, buckets int) *table {
	return &table{name: name, hash: xxhash.Sum64String(name), current: make([]EndpointID, buckets)}
}

func (t *table) size() int { return len(t.current) }

// place returns the index of bucket i's move state in trails, or 0.
func (t *table) place(i int) uint32 {
	if t.trailOf == nil {
		return 0
	}
	return t.trailOf[i]
}

// trail returns the move state of bucket i, or nil when the bucket is settled.
func (t *table) trail(i int) *trail {
	if place := t.place(i); place != 0 {
		return &t.trails[place]
	}
	return nil
}

// owner returns the endpoint that bucket i is on once all moves are committed.
func (t *table) owner(i int) EndpointID {
	if tr := t.trail(i); tr != nil && tr.next != 0 {
		return tr.next
	}
	return t.current[i]
}

// Buckets returns the number of buckets.
func (s *ServiceState) Buckets() int { return s.table.size() }

// Bucket returns bucket i of the table. The caller must not modify Since.
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

// notePending records that the entry being applied prepared moves or settlings of
// a service's buckets.
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
		return refuse("moves up to index %d cannot be committed by the entry at index %d", upTo, s.index)
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
		for i := range service.table.trailOf {
			if tr := service.table.trail(i); tr != nil && tr.prepared != 0 && tr.prepared <= upTo {
				e.commit(i)
			}
		}
		e.close()
	}
	return Outcome{Applied: true}
}

// dropFromTable removes an endpoint whose tombstone has expired from all buckets
// of its service.
func (s *State) dropFromTable(t *table, gone EndpointID) {
	e := s.edit(t)
	for i := range t.current {
		e.drop(i, gone)
	}
	e.close()
}

func (s *State) moveBuckets(c BucketsMoved) Outcome {
	service, ok := s.services[c.Service]
	if !ok || c.Count <= 0 || c.From == c.To {
		return refuse("cannot move %d buckets of service %q from endpoint %d to endpoint %d", c.Count, c.Service, c.From, c.To)
	}
	t := service.table
	if !slices.Contains(t.members, c.To) || !s.Accepts(c.To) {
		return refuse("endpoint %d of service %q accepts no new flows", c.To, c.Service)
	}
	e := s.edit(t)
	left := c.Count
	for _, i := range t.byRank(c.To) {
		if left > 0 && t.owner(i) == c.From {
			e.retarget(i, c.To)
			left--
		}
	}
	e.close()
	if left == c.Count {
		return refuse("endpoint %d owns no bucket of service %q", c.From, c.Service)
	}
	return Outcome{Applied: true}
}
