// Package registry is the set of backend servers that have announced themselves.
//
// Each control host keeps a copy and merges what it hears with what the others
// tell it. A copy needs no agreement: the order of an endpoint's statements is
// given by its start time, its states and its sequence numbers, so copies that
// have heard the same statements are equal in whatever order they came.
package registry

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// State is what an endpoint has said of itself. Later states are final for an
// incarnation: a late report does not bring back an earlier one.
type State uint8

// States in their order.
const (
	Ready State = iota + 1
	Draining
	Gone
)

func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	default:
		return fmt.Sprintf("State(%d)", uint8(s))
	}
}

// Endpoint is one incarnation of a backend server.
type Endpoint struct {
	ID       uint64 // identity that a packet to the endpoint carries
	Name     string // identity as the endpoint writes it
	Born     int64  // start of the incarnation by the endpoint's clock, in milliseconds since the Unix epoch; 0 when not said
	Seq      uint64 // of the latest report
	Service  string
	Address  netip.AddrPort
	Domain   string // failure domain
	Slots    uint32
	State    State
	ColdTill time.Duration // the endpoint is slow until then, by the clock of this host
	Heard    time.Duration // latest report, by the clock of this host
	Silent   bool          // no report for Limits.Silent
	unsure   bool          // gone by a farewell that did not say which incarnation leaves
}

// farewellDoubt is the age of a farewell without an incarnation from which a newer
// report of the endpoint proves the farewell wrong. Reports that were sent before
// the farewell and overtaken by it arrive within this time unless a partition held
// them up, and then the endpoint falls silent again.
const farewellDoubt = 2 * time.Second

// Limits are the times of a registry.
type Limits struct {
	Silent time.Duration // without a report for this long an endpoint gets no new flows
	Forget time.Duration // an endpoint that is gone or silent for this long is dropped
}

// Registry is used by one goroutine.
type Registry struct {
	limits    Limits
	endpoints map[uint64]*Endpoint
	now       time.Duration // of the last Tick
}

// New returns an empty registry.
func New(limits Limits) *Registry {
	return &Registry{limits: limits, endpoints: map[uint64]*Endpoint{}}
}

// Len returns the number of endpoints, those included that are gone and not forgotten.
func (r *Registry) Len() int { return len(r.endpoints) }

// Get returns the endpoint with the ID.
func (r *Registry) Get(id uint64) (Endpoint, bool) {
	e, ok := r.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return *e, true
}

// All returns the endpoints ordered by ID.
func (r *Registry) All() []Endpoint {
	all := make([]Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Merge takes a statement of an endpoint, heard here or told by another host.
// It reports whether something changed that others have to know; a mere sign of
// life changes nothing.
func (r *Registry) Merge(e Endpoint) bool {
	known, ok := r.endpoints[e.ID]
	switch {
	case !ok:
		e.Silent = r.isSilent(e)
		e.unsure = e.State == Gone && e.Born == 0
		r.endpoints[e.ID] = &e
		return true
	case e.State == Gone && e.Born == 0:
		return known.leave(e.Heard)
	case e.Born < known.Born:
		return false
	case e.Born > known.Born:
		late := known.Born == 0 && e.Heard <= known.Heard
		if e.Silent = r.isSilent(e); late {
			// The statement is older than a farewell that did not say which incarnation leaves.
			e.State, e.unsure, e.Heard = Gone, true, known.Heard
		}
		r.endpoints[e.ID] = &e
		return true
	}
	return known.update(e, r.isSilent(e))
}

// isSilent reports whether a statement is too old to be a sign of life.
func (r *Registry) isSilent(e Endpoint) bool { return r.now-e.Heard >= r.limits.Silent }

// leave takes a farewell that does not say which incarnation leaves, so it is
// taken for the known one.
func (e *Endpoint) leave(heard time.Duration) bool {
	if e.State == Gone {
		return false
	}
	e.State, e.unsure, e.Heard = Gone, true, max(e.Heard, heard)
	return true
}

// update merges a statement of the same incarnation. An old statement is no sign of life.
func (e *Endpoint) update(s Endpoint, old bool) bool {
	changed := false
	switch {
	case s.State > e.State:
		e.State, changed = s.State, true
	case e.State == Gone && e.unsure && s.State != Gone && s.Seq > e.Seq && s.Heard-e.Heard > farewellDoubt:
		// The farewell was a late one of an earlier incarnation.
		e.State, e.unsure, changed = s.State, false, true
	}
	if s.Seq > e.Seq {
		// Service and address belong to the incarnation; a report with others has another writer.
		e.Seq = s.Seq
	}
	if s.Heard > e.Heard && e.State != Gone {
		e.Heard = s.Heard
		if e.Silent && !old {
			e.Silent, changed = false, true
		}
	}
	return changed
}

// Alive notes a sign of life that another host has heard. It reports whether
// the endpoint was silent.
func (r *Registry) Alive(id, seq uint64, heard time.Duration) bool {
	e, ok := r.endpoints[id]
	if !ok || seq < e.Seq || heard <= e.Heard || e.State == Gone {
		return false
	}
	e.Seq, e.Heard = seq, heard
	was := e.Silent
	e.Silent = false
	return was
}

// Tick marks endpoints as silent and drops what is over. It returns the endpoints
// that have just become silent and the IDs of those that were dropped.
func (r *Registry) Tick(now time.Duration) (silent []Endpoint, forgotten []uint64) {
	r.now = now
	for id, e := range r.endpoints {
		switch age := now - e.Heard; {
		case age >= r.limits.Forget:
			delete(r.endpoints, id)
			forgotten = append(forgotten, id)
		case age >= r.limits.Silent && !e.Silent && e.State != Gone:
			e.Silent = true
			silent = append(silent, *e)
		}
	}
	slices.SortFunc(silent, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return silent, forgotten
}
