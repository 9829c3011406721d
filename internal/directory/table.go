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
	name        string
	nameHash    uint64
	current     []EndpointID
	moveStateOf []uint32     // for each bucket its index in moveStates, 0 when settled; nil while all are settled
	moveStates  []moveState  // all different and never modified in place; index 0 is not used
	endpointIDs []EndpointID // endpoints that are not removed, in order
}

// moveState is the state of an unsettled bucket besides its current endpoint. Many
// buckets have equal move states, so a table stores each only once: at 2,400
// services, one for each bucket would exceed the 64 MB of a node.
type moveState struct {
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
	return &table{name: name, nameHash: xxhash.Sum64String(name), current: make([]EndpointID, buckets)}
}

func (t *table) size() int { return len(t.current) }

// moveStateIndex returns the index of bucket i's move state in moveStates, or 0.
func (t *table) moveStateIndex(i int) uint32 {
	if t.moveStateOf == nil {
		return 0
	}
	return t.moveStateOf[i]
}

// moveState returns the move state of bucket i, or nil when the bucket is settled.
func (t *table) moveState(i int) *moveState {
	if index := t.moveStateIndex(i); index != 0 {
		return &t.moveStates[index]
	}
	return nil
}

// owner returns the endpoint that bucket i is on once all moves are committed.
func (t *table) owner(i int) EndpointID {
	if ms := t.moveState(i); ms != nil && ms.next != 0 {
		return ms.next
	}
	return t.current[i]
}

// BucketCount returns the number of buckets.
func (s *ServiceState) BucketCount() int { return s.table.size() }

// Bucket returns bucket i of the table. The caller must not modify Since.
func (s *ServiceState) Bucket(i int) Bucket {
	current := s.table.current[i]
	ms := s.table.moveState(i)
	if ms == nil {
		return Bucket{Current: current, Base: current}
	}
	return Bucket{Current: current, Base: ms.base, Since: ms.since, Next: ms.next}
}

// EndpointIDs returns the endpoints of the service that are not removed, in order.
// The caller must not modify the slice.
func (s *ServiceState) EndpointIDs() []EndpointID { return s.table.endpointIDs }

// recordPendingMove records that the entry being applied prepared moves or
// settlings of a service's buckets.
func (s *State) recordPendingMove(service string) {
	move := pendingMove{index: s.index, service: service}
	if n := len(s.pendingMoves); n == 0 || s.pendingMoves[n-1] != move {
		s.pendingMoves = append(s.pendingMoves, move)
	}
}

// OldestPendingMove returns the lowest index of an entry whose moves are prepared
// and not committed.
func (s *State) OldestPendingMove() (index uint64, ok bool) {
	if len(s.pendingMoves) == 0 {
		return 0, false
	}
	return s.pendingMoves[0].index, true
}

func (s *State) commitMoves(upTo uint64) Outcome {
	if upTo >= s.index {
		return refuse("moves up to index %d cannot be committed by the entry at index %d", upTo, s.index)
	}
	done := map[string]bool{}
	for len(s.pendingMoves) > 0 && s.pendingMoves[0].index <= upTo {
		name := s.pendingMoves[0].service
		s.pendingMoves = s.pendingMoves[1:]
		service, ok := s.services[name]
		if !ok || done[name] {
			continue
		}
		done[name] = true
		e := s.editTable(service.table)
		for i := range service.table.moveStateOf {
			if ms := service.table.moveState(i); ms != nil && ms.prepared != 0 && ms.prepared <= upTo {
				e.commit(i)
			}
		}
		e.close()
	}
	return Outcome{Applied: true}
}

// dropFromTable removes an endpoint whose tombstone has expired from all buckets
// of its service.
func (s *State) dropFromTable(t *table, expired EndpointID) {
	e := s.editTable(t)
	for i := range t.current {
		e.dropEndpoint(i, expired)
	}
	e.close()
}

func (s *State) moveBuckets(c BucketsMoved) Outcome {
	service, ok := s.services[c.Service]
	if !ok || c.Count <= 0 || c.From == c.To {
		return refuse("cannot move %d buckets of service %q from endpoint %d to endpoint %d", c.Count, c.Service, c.From, c.To)
	}
	t := service.table
	if !slices.Contains(t.endpointIDs, c.To) || !s.Accepts(c.To) {
		return refuse("endpoint %d of service %q accepts no new flows", c.To, c.Service)
	}
	e := s.editTable(t)
	remaining := c.Count
	for _, i := range t.bucketsByRank(c.To) {
		if remaining > 0 && t.owner(i) == c.From {
			e.retarget(i, c.To)
			remaining--
		}
	}
	e.close()
	if remaining == c.Count {
		return refuse("endpoint %d owns no bucket of service %q", c.From, c.Service)
	}
	return Outcome{Applied: true}
}
