package rotation

import (
	"slices"
	"time"
)

// DomainReport is what a control host has learned about a failure domain from its own entry hosts.
type DomainReport struct {
	Unchanged time.Duration // for how long the rotation has not changed, by all statements
	Present   []Process     // have stated since the question how long they have been in rotation
	Missing   []Process     // may run, and have stated nothing
	Departed  []Process     // have ended as planned
}

// Round collects the statements of the entry hosts of a failure domain once. All of them are made after its start, so they cover the time up to then.
type Round struct {
	StartedAt time.Duration

	report DomainReport
	hosts  []Process // that have not answered yet
	peers  []string  // control hosts that have not reported yet, by address
}

// NewRound begins a round that asks the hosts of the view and the given control hosts.
func NewRound(now time.Duration, v View, peers []string) *Round {
	return &Round{
		StartedAt: now, report: DomainReport{Unchanged: v.Unchanged, Missing: v.Missing, Departed: v.Departed}, hosts: slices.Clone(v.Following), peers: slices.Clone(peers),
	}
}

// State records the statement of an entry host, for how long it has been in rotation without a break.
func (r *Round) State(p Process, unchanged time.Duration) {
	at := slices.Index(r.hosts, p)
	if at < 0 {
		return
	}
	r.hosts = slices.Delete(r.hosts, at, at+1)
	r.report.Present, r.report.Unchanged = append(r.report.Present, p), min(r.report.Unchanged, unchanged)
}

// Merge records the report of another control host.
func (r *Round) Merge(peer string, other DomainReport) {
	at := slices.Index(r.peers, peer)
	if at < 0 {
		return
	}
	r.peers = slices.Delete(r.peers, at, at+1)
	r.report.Unchanged = min(r.report.Unchanged, other.Unchanged)
	r.report.Present, r.report.Missing, r.report.Departed = append(r.report.Present, other.Present...), append(r.report.Missing, other.Missing...), append(r.report.Departed, other.Departed...)
}

// Result returns what has been learned, and whether all have answered.
func (r *Round) Result() (DomainReport, bool) {
	return r.report, len(r.hosts) == 0 && len(r.peers) == 0
}

// IsComplete reports whether no host is missing: each one has followed another control host since, a later process of it has, or it has ended.
func (r DomainReport) IsComplete() bool {
	for _, p := range r.Missing {
		isBack := slices.ContainsFunc(r.Present, func(o Process) bool { return o.Host == p.Host })
		if !isBack && !slices.Contains(r.Departed, p) {
			return false
		}
	}
	return true
}

// Silent returns the number of entry hosts that have not answered yet.
func (r *Round) Silent() int { return len(r.hosts) }

// SilentPeers returns the addresses of the control hosts that have not reported yet.
func (r *Round) SilentPeers() []string { return r.peers }
