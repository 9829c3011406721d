package registry

import "time"

// coldTolerance is the difference between two ends of a slow start from which they count as different. Each report tells the
// remaining time, so the end varies by the time that the report takes.
const coldTolerance = 200 * time.Millisecond

// MergeReport merges a report that this host has received from the endpoint itself. Unlike a copy from another host, it tells the
// endpoint's slow start as of its own sequence number.
func (r *Registry) MergeReport(e Endpoint) bool {
	e.ColdSeq = 0 // of the first report
	known := r.endpoints[e.ID]
	isNewest := known != nil && e.State != Gone && e.StartedAtMs == known.StartedAtMs && e.Seq > known.Seq
	changed := r.Merge(e)
	if !isNewest || r.endpoints[e.ID] != known || !known.recordSlowStart(e) {
		return changed
	}
	r.digestsValid = false
	return true
}

// recordSlowStart takes the end of the slow start from the endpoint's newest report, and reports whether it changed. Ends that have
// both passed by the time of the report do not differ.
func (e *Endpoint) recordSlowStart(report Endpoint) bool {
	now := report.LastReportAt
	difference := max(report.ColdUntil, now) - max(e.ColdUntil, now)
	if difference.Abs() < coldTolerance {
		return false
	}
	e.ColdUntil, e.ColdSeq = report.ColdUntil, report.Seq
	return true
}

// adoptSlowStart takes the end of the slow start from a copy of another host if it comes from a later report, and reports whether
// it did. Of copies of the same report, the earlier end is the correct one: a delay of the message only makes it later.
func (e *Endpoint) adoptSlowStart(theirs Endpoint) bool {
	switch {
	case theirs.ColdSeq > e.ColdSeq:
		e.ColdUntil, e.ColdSeq = theirs.ColdUntil, theirs.ColdSeq
		return true
	case theirs.ColdSeq == e.ColdSeq && e.ColdSeq > 0:
		e.ColdUntil = min(e.ColdUntil, theirs.ColdUntil)
	}
	return false
}

// KeepSlowStart takes the end of the slow start from an earlier copy of the same incarnation, unless this copy has a later one.
func (e *Endpoint) KeepSlowStart(earlier Endpoint) {
	if earlier.StartedAtMs == e.StartedAtMs && earlier.ColdSeq > e.ColdSeq {
		e.ColdUntil, e.ColdSeq = earlier.ColdUntil, earlier.ColdSeq
	}
}
