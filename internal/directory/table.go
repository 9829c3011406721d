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
	trailOf []uint32     // for each bucket its place in trails, 0 when settled; nil while all are
	trails  []trail      // different from each other, the first is not used; never modified in place
	members []EndpointID // endpoints that are not removed, in order
}

// trail is what an unsettled bucket has besides its current endpoint. Many
// buckets have the same one, so a table keeps each only once: at 2,400 services
// a trail of its own for each bucket does not fit the 64 MB of a node.
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

// place returns the place of bucket i's trail in trails, or 0.
func (t *table) place(i int) uint32 {
	if t.trailOf == nil {
		return 0
	}
	return t.trailOf[i]
}

// trail returns the trail of bucket i, or nil when it is settled.
func (t *table) trail(i int) *trail {
	if place := t.place(i); place != 0 {
		return &t.trails[place]
	}
	return nil
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
		for i := range service.table.trailOf {
			if tr := service.table.trail(i); tr != nil && tr.prepared != 0 && tr.prepared <= upTo {
				e.commit(i)
			}
		}
		e.close()
	}
	return Outcome{Applied: true}
}

// dropFromTable removes a forgotten endpoint from all buckets of its service.
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
	e.close()
	if left == c.Count {
		return refuse("endpoint %d has no bucket of service %q", c.From, c.Service)
	}
	return Outcome{Applied: true}
}
