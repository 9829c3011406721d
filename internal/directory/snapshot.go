package directory

import (
	"slices"
	"time"

	"cassiawood/internal/document"
)

// Snapshot is a copy of the whole state as plain data. All lists have a fixed
// order, so that equal states have equal snapshots. The contents must not be
// modified, since a State may share them.
type Snapshot struct {
	Index      uint64
	Now        time.Duration
	Buckets    int
	LastID     EndpointID
	Sections   []Section
	Quarantine []QuarantinedService // in the order of their release
	Tables     []TableSnapshot
	Pending    []PendingChange // oldest first
	Answers    []Answer        // oldest first
	Endpoints  []Endpoint      // by ID, with tombstones
	Tombstones []EndpointID    // in the order of their removal
	Hosts      []Host
	Domains    []DomainSnapshot
	Moves      []MoveSnapshot // in the order of their entries
}

// QuarantinedService is a released address in a Snapshot.
type QuarantinedService struct {
	Service    document.Service
	Section    string
	ReleasedAt time.Duration
}

// TableSnapshot is the bucket table of a service. Buckets with equal move states
// share one, since these make up most of a table's size.
type TableSnapshot struct {
	Service     string
	Current     []EndpointID
	MoveStates  []MoveState
	MoveStateOf []uint32 // for each bucket 0 or 1 + its index in MoveStates; empty when all buckets are settled
}

// MoveState is the state of an unsettled bucket besides its current endpoint: the
// endpoints that serve its earlier flows, and the prepared move or settling.
type MoveState struct {
	Base     EndpointID
	Next     EndpointID
	Since    []EndpointID
	Prepared uint64
}

// DomainSnapshot is a known failure domain.
type DomainSnapshot struct {
	Name string
	Out  bool
}

// MoveSnapshot identifies an entry that prepared moves or settlings of a
// service's buckets.
type MoveSnapshot struct {
	Index   uint64
	Service string
}

// Snapshot returns a copy of the state as plain data.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{
		Index: s.index, Now: s.now, Buckets: s.buckets, LastID: s.lastID,
		Sections:   s.Sections(),
		Pending:    slices.Clone(s.pending),
		Tombstones: slices.Clone(s.tombstones),
		Hosts:      s.Hosts(),
	}
	for _, q := range s.quarantine {
		snap.Quarantine = append(snap.Quarantine, QuarantinedService{q.Service, q.Section, q.ReleasedAt})
	}
	for _, name := range sortedKeys(s.services) {
		snap.Tables = append(snap.Tables, s.services[name].table.snapshot())
	}
	for _, id := range s.answerOrder {
		snap.Answers = append(snap.Answers, *s.answers[id])
	}
	for _, id := range sortedKeys(s.endpoints) {
		snap.Endpoints = append(snap.Endpoints, *s.endpoints[id])
	}
	for _, name := range sortedKeys(s.outOfService) {
		snap.Domains = append(snap.Domains, DomainSnapshot{name, s.outOfService[name]})
	}
	for _, m := range s.pendingMoves {
		snap.Moves = append(snap.Moves, MoveSnapshot{m.index, m.service})
	}
	return snap
}

func (t *table) snapshot() TableSnapshot {
	snap := TableSnapshot{Service: t.name, Current: slices.Clone(t.current), MoveStateOf: slices.Clone(t.moveStateOf)}
	for _, ms := range t.moveStates[min(1, len(t.moveStates)):] {
		snap.MoveStates = append(snap.MoveStates, MoveState{Base: ms.base, Next: ms.next, Since: ms.since, Prepared: ms.prepared})
	}
	return snap
}
