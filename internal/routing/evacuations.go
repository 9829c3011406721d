package routing

import "slices"

// Evacuations are the failure domains whose endpoints get no new flows.
type Evacuations struct {
	// Revision is the log index of the last order that was applied, 0 before the first one. The state with the higher revision is the
	// later one.
	Revision uint64
	Domains  []string // sorted
}

// Contains reports whether a failure domain is evacuated.
func (e Evacuations) Contains(domain string) bool {
	_, ok := slices.BinarySearch(e.Domains, domain)
	return ok
}

// EvacuationOrder begins or ends the evacuation of a failure domain.
type EvacuationOrder struct {
	Domain string
	Begins bool // else the evacuation ends
	// Restore is set in an order that restores the evacuations on hosts that have lost them. Domain and Begins are not used then.
	Restore *Evacuations
}

// Union returns the domains of both states with the revision of e. Of two states with the same revision, one has been lost and rebuilt from
// later orders only. It lacks domains that the other one has, and has none that the other one lacks, so the union is the right one.
func (e Evacuations) Union(other Evacuations) Evacuations {
	domains := slices.Concat(e.Domains, other.Domains)
	slices.Sort(domains)
	return Evacuations{Revision: e.Revision, Domains: slices.Compact(domains)}
}

// apply returns the evacuations after the order in the log entry with the given index, and whether the order has changed the
// set of domains. The result shares no memory with e, so that copies that other duties hold stay valid.
func (e Evacuations) apply(order EvacuationOrder, index uint64) (Evacuations, bool) {
	if order.Restore != nil {
		return e.restore(*order.Restore, index)
	}
	next := Evacuations{Revision: index, Domains: slices.Clone(e.Domains)}
	position, known := slices.BinarySearch(e.Domains, order.Domain)
	switch {
	case order.Begins && !known:
		next.Domains = slices.Insert(next.Domains, position, order.Domain)
	case !order.Begins && known:
		next.Domains = slices.Delete(next.Domains, position, position+1)
	}
	return next, order.Begins != known
}

// restore replaces e if restored is later, and adds its domains if it has the same revision. An older state changes no domain. The revision
// becomes that of the entry in any case: all hosts that have applied the same entries have the same revision, also those that have lost the
// state, and an entry host that got an incomplete state takes the restored one.
func (e Evacuations) restore(restored Evacuations, index uint64) (Evacuations, bool) {
	switch {
	case restored.Revision < e.Revision:
		restored = e
	case restored.Revision == e.Revision:
		restored = restored.Union(e)
	}
	return Evacuations{Revision: index, Domains: slices.Clone(restored.Domains)}, !slices.Equal(restored.Domains, e.Domains)
}
