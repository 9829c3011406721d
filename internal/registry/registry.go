// Package registry holds the backend servers that have announced themselves.
//
// Each control host keeps a copy and merges the reports that it receives directly with
// those that other control hosts forward. Copies need no consensus: start times, states
// and sequence numbers order the reports of an endpoint, so copies that have merged the
// same reports are equal, in whatever order these arrived.
package registry

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// State is the state that an endpoint reports. Within an incarnation it only advances: a
// delayed report does not restore an earlier state.
type State uint8

// States in the order in which an endpoint passes through them.
const (
	Ready State = iota + 1
	Draining
	Gone
)

// String returns the name of the state.
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
	ID               uint64 // numeric identity, as packets to the endpoint carry it
	Name             string // identity as the endpoint reports it
	StartedAtMs      int64  // start of the incarnation by the endpoint's clock, in milliseconds since the Unix epoch; 0 if not reported
	Seq              uint64 // sequence number of the latest report
	Service          string
	Address          netip.AddrPort
	Domain           string // failure domain
	Slots            uint32
	State            State
	ColdUntil        time.Duration // end of its slow start, by the clock of this host
	LastReportAt     time.Duration // time of the latest report, by the clock of this host
	Silent           bool          // no report within the limit for silence
	removalUncertain bool          // gone by a removal report that did not name the incarnation
}

// removalOverrideDelay is the time after a removal report without an incarnation from which a
// newer report of the endpoint overrides it. Reports that were sent before the removal
// report and overtaken by it arrive earlier, unless a network partition delayed them;
// in that case the endpoint becomes silent again.
const removalOverrideDelay = 2 * time.Second

// Limits holds the time limits of a registry.
type Limits struct {
	SilentAfter time.Duration // an endpoint without a report for this long gets no new flows
	ForgetAfter time.Duration // an endpoint without a report for this long is removed, also one that is gone
}

// Registry is the copy of one host. It is not safe for concurrent use.
type Registry struct {
	limits    Limits
	endpoints map[uint64]*Endpoint
	now       time.Duration // time of the last Tick
}

// New returns an empty registry.
func New(limits Limits) *Registry {
	return &Registry{limits: limits, endpoints: map[uint64]*Endpoint{}}
}

// Len returns the number of endpoints, including those that are gone and not yet removed.
func (r *Registry) Len() int { return len(r.endpoints) }

// Get returns the endpoint with the ID.
func (r *Registry) Get(id uint64) (Endpoint, bool) {
	e, ok := r.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return *e, true
}

// All returns all endpoints, ordered by ID.
func (r *Registry) All() []Endpoint {
	all := make([]Endpoint, 0, len(r.endpoints))
	for _, e := range r.endpoints {
		all = append(all, *e)
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Merge merges a report of an endpoint, received directly or from another host. It reports
// whether the endpoint changed in a way that other hosts need; a newer time of the latest
// report alone is no such change.
func (r *Registry) Merge(e Endpoint) bool {
	known, ok := r.endpoints[e.ID]
	switch {
	case !ok:
		e.Silent = r.isOutdated(e)
		e.removalUncertain = e.State == Gone && e.StartedAtMs == 0
		r.endpoints[e.ID] = &e
		return true
	case e.State == Gone && e.StartedAtMs == 0:
		return known.markGone(e.LastReportAt)
	case e.StartedAtMs < known.StartedAtMs:
		return false
	case e.StartedAtMs > known.StartedAtMs:
		delayed := known.StartedAtMs == 0 && e.LastReportAt <= known.LastReportAt
		if e.Silent = r.isOutdated(e); delayed {
			// The report is older than a removal report that did not name the incarnation.
			e.State, e.removalUncertain, e.LastReportAt = Gone, true, known.LastReportAt
		}
		r.endpoints[e.ID] = &e
		return true
	}
	return known.update(e, r.isOutdated(e))
}

// isOutdated reports whether a report is too old to show that the endpoint is running.
func (r *Registry) isOutdated(e Endpoint) bool { return r.now-e.LastReportAt >= r.limits.SilentAfter }

// markGone merges a removal report that does not name the incarnation. It is applied to the
// known incarnation.
func (e *Endpoint) markGone(reportAt time.Duration) bool {
	if e.State == Gone {
		return false
	}
	e.State, e.removalUncertain, e.LastReportAt = Gone, true, max(e.LastReportAt, reportAt)
	return true
}

// update merges a report of the same incarnation. An outdated report does not end silence.
func (e *Endpoint) update(report Endpoint, outdated bool) bool {
	changed := false
	switch {
	case report.State > e.State:
		e.State, changed = report.State, true
	case e.State == Gone && e.removalUncertain && report.State != Gone && report.Seq > e.Seq && report.LastReportAt-e.LastReportAt > removalOverrideDelay:
		// The removal report was a delayed one of an earlier incarnation.
		e.State, e.removalUncertain, changed = report.State, false, true
	}
	if report.Seq > e.Seq {
		// The service and the address of an incarnation are fixed: a report with others comes
		// from another sender.
		e.Seq = report.Seq
	}
	if report.LastReportAt > e.LastReportAt && e.State != Gone {
		e.LastReportAt = report.LastReportAt
		if e.Silent && !outdated {
			e.Silent, changed = false, true
		}
	}
	return changed
}

// RecordSignOfLife records a sign of life that another host has received. It reports whether the
// endpoint was silent.
func (r *Registry) RecordSignOfLife(id, seq uint64, receivedAt time.Duration) bool {
	e, ok := r.endpoints[id]
	if !ok || seq < e.Seq || receivedAt <= e.LastReportAt || e.State == Gone {
		return false
	}
	e.Seq, e.LastReportAt = seq, receivedAt
	wasSilent := e.Silent
	e.Silent = false
	return wasSilent
}

// Tick marks silent endpoints and removes expired ones. It returns the endpoints that have
// just become silent and the IDs of those that it removed.
func (r *Registry) Tick(now time.Duration) (silent []Endpoint, forgotten []uint64) {
	r.now = now
	for id, e := range r.endpoints {
		switch age := now - e.LastReportAt; {
		case age >= r.limits.ForgetAfter:
			delete(r.endpoints, id)
			forgotten = append(forgotten, id)
		case age >= r.limits.SilentAfter && !e.Silent && e.State != Gone:
			e.Silent = true
			silent = append(silent, *e)
		}
	}
	slices.SortFunc(silent, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return silent, forgotten
}
