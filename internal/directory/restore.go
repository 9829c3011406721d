package directory

import (
	"fmt"
	"slices"
)

// maxBuckets bounds the table size that a snapshot may ask for.
const maxBuckets = 1 << 16

// FromSnapshot returns the state that a snapshot describes, or an error when the
// snapshot is inconsistent.
func FromSnapshot(snap Snapshot) (*State, error) {
	if snap.Buckets < 1 || snap.Buckets > maxBuckets || snap.Buckets&(snap.Buckets-1) != 0 {
		return nil, fmt.Errorf("snapshot at index %d: the number of buckets is %d and not a power of two up to %d", snap.Index, snap.Buckets, maxBuckets)
	}
	s := NewWithBuckets(snap.Buckets)
	s.index, s.now, s.lastID = snap.Index, snap.Now, snap.LastID
	s.restoreHosts(snap)
	for _, restore := range []func(Snapshot) error{s.restoreTables, s.restoreEndpoints, s.checkTables, s.restoreChanges, s.restoreMoves} {
		if err := restore(snap); err != nil {
			return nil, fmt.Errorf("snapshot at index %d: %w", snap.Index, err)
		}
	}
	return s, nil
}

func (s *State) restoreHosts(snap Snapshot) {
	for _, d := range snap.Domains {
		s.outOfService[d.Name] = d.Out
	}
	for _, h := range snap.Hosts {
		s.hosts[h.Name] = &h
	}
	s.rebuildHostLists()
}

// restoreTables restores the sections, the quarantine and the services that they
// list, with the services' tables.
func (s *State) restoreTables(snap Snapshot) error {
	tables := map[string]*table{}
	for _, t := range snap.Tables {
		restored, err := t.restore(s.buckets)
		if err != nil || tables[t.Service] != nil {
			return fmt.Errorf("table of service %q is invalid or listed twice: %w", t.Service, err)
		}
		tables[t.Service] = restored
	}
	for _, q := range snap.Quarantine {
		state := &ServiceState{
			Service: q.Service, Section: q.Section, Quarantined: true,
			ReleasedAt: q.ReleasedAt, table: tables[q.Service.Name],
		}
		s.quarantine = append(s.quarantine, state)
		s.services[q.Service.Name] = state
		s.servicesByAddress.set(serviceKey(q.Service), state)
	}
	for _, section := range snap.Sections {
		if s.sections[section.Heading] != nil {
			return fmt.Errorf("section %q is listed twice", section.Heading)
		}
		s.sections[section.Heading] = &section
		for _, service := range section.Services {
			if other := s.services[service.Name]; other != nil && !other.Quarantined {
				return fmt.Errorf("service %q is listed twice", service.Name)
			}
			state := &ServiceState{Service: service, Section: section.Heading, table: tables[service.Name]}
			s.services[service.Name] = state
			s.servicesByAddress.set(serviceKey(service), state)
		}
	}
	for name, state := range s.services {
		if state.table == nil {
			return fmt.Errorf("service %q has no table", name)
		}
	}
	if len(tables) != len(s.services) {
		return fmt.Errorf("%d tables for %d services", len(tables), len(s.services))
	}
	s.rebuildSectionList()
	s.indexAnnouncedNames()
	return nil
}

func (snap TableSnapshot) restore(buckets int) (*table, error) {
	if len(snap.Current) != buckets || len(snap.MoveStateOf) != 0 && len(snap.MoveStateOf) != buckets {
		return nil, fmt.Errorf("it has %d buckets and %d move state indexes instead of %d", len(snap.Current), len(snap.MoveStateOf), buckets)
	}
	t := newTable(snap.Service, buckets)
	copy(t.current, snap.Current)
	if len(snap.MoveStateOf) == 0 {
		return t, nil
	}
	t.moveStates = make([]moveState, 1, len(snap.MoveStates)+1)
	for _, ms := range snap.MoveStates {
		t.moveStates = append(t.moveStates, moveState{base: ms.Base, next: ms.Next, since: ms.Since, prepared: ms.Prepared})
	}
	for i, index := range snap.MoveStateOf {
		if int(index) >= len(t.moveStates) {
			return nil, fmt.Errorf("bucket %d has the move state index %d, but there are %d move states", i, index, len(snap.MoveStates))
		}
	}
	t.moveStateOf = slices.Clone(snap.MoveStateOf)
	return t, nil
}

func (s *State) restoreEndpoints(snap Snapshot) error {
	var last EndpointID
	removed := 0
	for _, e := range snap.Endpoints {
		service, ok := s.services[e.Service]
		if !ok || e.ID <= last || e.ID > s.lastID || e.State > Removed || s.idsByInstance[e.Instance] != 0 {
			return fmt.Errorf("endpoint %d of service %q has an unknown service, a duplicate instance, or an invalid ID or state", e.ID, e.Service)
		}
		last = e.ID
		s.endpoints[e.ID] = &e
		s.indexEndpoint(&e)
		if e.State == Removed {
			removed++
			continue
		}
		service.table.endpointIDs = append(service.table.endpointIDs, e.ID)
	}
	seen := map[EndpointID]bool{}
	for _, id := range snap.Tombstones {
		if e, ok := s.endpoints[id]; !ok || e.State != Removed || seen[id] {
			return fmt.Errorf("tombstone %d is listed twice or is not a removed endpoint", id)
		}
		seen[id] = true
	}
	if len(seen) != removed {
		return fmt.Errorf("%d tombstones for %d removed endpoints", len(seen), removed)
	}
	s.tombstones = slices.Clone(snap.Tombstones)
	return nil
}

// checkTables returns an error when a table refers to an unknown endpoint.
func (s *State) checkTables(snap Snapshot) error {
	known := func(id EndpointID) bool { return id == 0 || s.endpoints[id] != nil }
	for _, t := range snap.Tables {
		if i := slices.IndexFunc(t.Current, func(id EndpointID) bool { return !known(id) }); i >= 0 {
			return fmt.Errorf("bucket %d of service %q is on unknown endpoint %d", i, t.Service, t.Current[i])
		}
		for _, ms := range t.MoveStates {
			if !known(ms.Base) || !known(ms.Next) || slices.ContainsFunc(ms.Since, func(id EndpointID) bool { return id == 0 || !known(id) }) {
				return fmt.Errorf("service %q has a move state with an unknown endpoint", t.Service)
			}
		}
	}
	return nil
}

func (s *State) restoreChanges(snap Snapshot) error {
	for _, a := range snap.Answers {
		s.answers[a.ChangeID] = &a
		s.answerOrder = append(s.answerOrder, a.ChangeID)
	}
	if len(s.answers) != len(s.answerOrder) || len(s.answerOrder) > maxAnswers || len(snap.Pending) > maxPending {
		return fmt.Errorf("%d answers to %d different changes and %d pending changes", len(s.answerOrder), len(s.answers), len(snap.Pending))
	}
	s.pending = slices.Clone(snap.Pending)
	return nil
}

func (s *State) restoreMoves(snap Snapshot) error {
	for _, m := range snap.Moves {
		if m.Index > s.index {
			return fmt.Errorf("a move of service %q was prepared at index %d, after the snapshot", m.Service, m.Index)
		}
		s.pendingMoves = append(s.pendingMoves, pendingMove{m.Index, m.Service})
	}
	return nil
}
