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
//
// A removal report may name no incarnation, so it may have been sent by an earlier one and be late. It does not
// change the state. It takes the sequence number after the latest report, RemovalSeq. The endpoint gets no new flows
// from then on, and has left once it is silent. A report with a higher number shows that the endpoint runs.
// The state and the numbers only grow within an incarnation, so copies that have merged the same reports agree.
type Endpoint struct {
	ID           uint64 // numeric identity, as packets to the endpoint carry it
	Name         string // identity as the endpoint reports it
	StartedAtMs  int64  // start of the incarnation by the endpoint's clock, in milliseconds since the Unix epoch; 0 if not reported
	Seq          uint64 // sequence number of the latest report
	RemovalSeq   uint64 // that of the latest removal report without an incarnation; 0 if none
	Service      string
	Address      netip.AddrPort
	Domain       string // failure domain
	Slots        uint32
	State        State
	ColdUntil    time.Duration // end of its slow start, by the clock of this host
	ColdSeq      uint64        // sequence number of the report that changed ColdUntil; 0 if it comes from the first report
	LastReportAt time.Duration // time of the latest report, by the clock of this host
	Silent       bool          // no report within the limit for silence
}

// RemovalReported reports whether a removal report without an incarnation has arrived and no later report
// shows that the endpoint runs. A report with the same number may have been sent before and overtaken. An endpoint
// sends its reports one after the other, so two of them are overtaken only where a network partition delays them; the
// endpoint then becomes silent again.
func (e Endpoint) RemovalReported() bool { return e.RemovalSeq != 0 && e.Seq <= e.RemovalSeq }

// AcceptsFlows reports whether the endpoint takes new flows.
func (e Endpoint) AcceptsFlows() bool { return e.State == Ready && !e.RemovalReported() }

// HasLeft reports whether the endpoint has ended, so that its flows cannot go on.
func (e Endpoint) HasLeft() bool { return e.State == Gone || e.Silent && e.RemovalReported() }

// nextSeq returns the sequence number after the latest report.
func (e Endpoint) nextSeq() uint64 { return min(e.Seq+1, maxSeq) }

// isRemovalOnly reports whether the endpoint is known by a removal report without an incarnation only.
func (e Endpoint) isRemovalOnly() bool { return e.State == Gone && e.StartedAtMs == 0 }

// Limits holds the time limits of a registry.
type Limits struct {
	SilentAfter time.Duration // an endpoint without a report for this long gets no new flows
	ForgetAfter time.Duration // an endpoint without a report for this long is removed, also one that is gone
}

// Registry is the copy of one host. It is not safe for concurrent use.
type Registry struct {
	limits       Limits
	endpoints    map[uint64]*Endpoint
	now          time.Duration // time of the last Tick
	digests      Digests
	digestsValid bool // digests are those of the present endpoints
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
	changed := r.merge(e)
	r.digestsValid = r.digestsValid && !changed
	return changed
}

func (r *Registry) merge(e Endpoint) bool {
	known, ok := r.endpoints[e.ID]
	switch {
	case !ok:
		r.replace(e)
		return true
	case e.isRemovalOnly():
		return known.recordRemoval(known.nextSeq())
	case known.isRemovalOnly():
		e.RemovalSeq = max(e.RemovalSeq, e.nextSeq()) // the report may be older than the removal report
		r.replace(e)
		return true
	case e.StartedAtMs < known.StartedAtMs:
		return false
	case e.StartedAtMs > known.StartedAtMs, known.isFollowedBy(e):
		r.replace(e)
		return true
	}
	return known.update(e, r.isOutdated(e))
}

// replace stores an endpoint in place of an earlier incarnation.
func (r *Registry) replace(e Endpoint) {
	e.Silent = r.isOutdated(e) // as this host sees it
	r.endpoints[e.ID] = &e
}

// isFollowedBy reports whether a report comes from a new incarnation although it tells no start time: the endpoint has
// left before.
func (e *Endpoint) isFollowedBy(report Endpoint) bool {
	return report.StartedAtMs == 0 && e.HasLeft() && report.LastReportAt > e.LastReportAt
}

// isOutdated reports whether a report is too old to show that the endpoint is running.
func (r *Registry) isOutdated(e Endpoint) bool { return r.now-e.LastReportAt >= r.limits.SilentAfter }

// recordRemoval merges a removal report that names no incarnation.
func (e *Endpoint) recordRemoval(seq uint64) bool {
	if e.State == Gone || seq <= e.RemovalSeq {
		return false
	}
	e.RemovalSeq = seq
	return true
}

// update merges a report of the same incarnation. An outdated report does not end silence.
func (e *Endpoint) update(report Endpoint, outdated bool) bool {
	changed := e.recordRemoval(report.RemovalSeq)
	changed = e.adoptSlowStart(report) || changed
	if report.State > e.State {
		e.State, changed = report.State, true
	}
	// The service and the address of an incarnation are fixed: a report with others comes
	// from another sender.
	return e.recordLife(report.Seq, report.LastReportAt, outdated) || changed
}

// RecordSignOfLife records a sign of life of an incarnation that another host has received. startedAtMs is 0 if
// that host does not tell. It reports whether the endpoint was silent or its removal had been reported.
func (r *Registry) RecordSignOfLife(id uint64, startedAtMs int64, seq uint64, receivedAt time.Duration) bool {
	e, ok := r.endpoints[id]
	if !ok || startedAtMs != 0 && startedAtMs != e.StartedAtMs || seq < e.Seq {
		return false
	}
	changed := e.recordLife(seq, receivedAt, false)
	r.digestsValid = r.digestsValid && !changed
	return changed
}

// recordLife records that the endpoint has reported. It returns whether that ends its silence or shows that a removal
// report came from an earlier incarnation.
func (e *Endpoint) recordLife(seq uint64, reportedAt time.Duration, outdated bool) bool {
	before := *e
	e.Seq = max(e.Seq, seq)
	if reportedAt > e.LastReportAt && e.State != Gone {
		e.LastReportAt = reportedAt
		e.Silent = e.Silent && outdated
	}
	return e.Silent != before.Silent || e.RemovalReported() != before.RemovalReported()
}

// Tick marks silent endpoints and removes expired ones. It returns the endpoints that have
// just become silent and the IDs of those that it removed.
func (r *Registry) Tick(now time.Duration) (silent []Endpoint, forgotten []uint64) {
	r.now = now
	for id, e := range r.endpoints {
		switch age := now - e.LastReportAt; {
		case age >= r.limits.ForgetAfter:
			delete(r.endpoints, id)
			r.digestsValid = false
			forgotten = append(forgotten, id)
		case age >= r.limits.SilentAfter && !e.Silent && e.State != Gone:
			e.Silent = true
			silent = append(silent, *e)
		}
	}
	slices.SortFunc(silent, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return silent, forgotten
}
