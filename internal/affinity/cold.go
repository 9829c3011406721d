package affinity

import (
	"time"

	"cassiawood/internal/coldstart"
	"cassiawood/internal/routing"
)

// ColdGrant allows this host to send first packets to an endpoint during its slow start.
type ColdGrant struct {
	Endpoint    uint64 // its ID
	StartedAtMs int64  // start of the incarnation that the grant is for
	PerSecond   uint32 // first packets in any second
}

// slowStart is what an entry host knows of an endpoint's slow start beyond its report.
type slowStart struct {
	isLimited   bool              // its service limits the first packets to cold endpoints
	returnsTill time.Duration     // end of the slow start that is assumed after an evacuation of its domain
	isGranted   bool              // this host has a grant for it
	window      *coldstart.Window // first packets sent by the latest grant; nil before the first one
}

// setColdStarts takes the slow starts of the services from a table.
func (e *Engine) setColdStarts(list []routing.ColdStart) {
	e.coldStarts = map[string]routing.ColdStart{}
	for _, c := range list {
		e.coldStarts[c.Service] = c
	}
	for _, ep := range e.byID {
		ep.slowStart.isLimited = e.coldStarts[ep.Service].IsLimited()
	}
	e.changes++
}

// SetColdGrants takes the grants of an update. What was sent by an earlier grant for the same endpoint counts against the later one. Grants for another incarnation than the known one, or
// for an endpoint that is warm, are ignored.
func (e *Engine) SetColdGrants(now time.Duration, list []ColdGrant) {
	for _, g := range list {
		ep := e.byID[g.Endpoint]
		if ep == nil || ep.StartedAtMs != g.StartedAtMs || !ep.isCold(now) {
			continue
		}
		s := &ep.slowStart
		s.isGranted = true
		if s.window == nil || s.window.Limit() != g.PerSecond {
			s.window = coldstart.NewWindow(g.PerSecond)
		}
	}
}

// isCold reports whether the endpoint is in its slow start.
func (ep *endpoint) isCold(now time.Duration) bool {
	return now < ep.ColdUntil || now < ep.slowStart.returnsTill
}

// isHeldBack reports whether this host must not send the endpoint a first packet now, because it is cold and its limit is used up or
// this host has no grant.
func (ep *endpoint) isHeldBack(now time.Duration) bool {
	return ep.slowStart.isLimited && ep.isCold(now) && (!ep.slowStart.isGranted || !ep.slowStart.window.HasRoom(now))
}

// countFirst counts a first packet that is sent to the endpoint against its limit.
func (ep *endpoint) countFirst(now time.Duration) {
	if ep.slowStart.isGranted {
		ep.slowStart.window.Add(now)
	}
}

// updateSlowStart prepares the endpoint for its newer state. A grant ends with the slow start that it is for. A report that tells a later
// slow start ends the one that was assumed after an evacuation.
func (e *Engine) updateSlowStart(now time.Duration, ep *endpoint, next Endpoint) {
	isNew := next.StartedAtMs != ep.StartedAtMs
	if isNew || !ep.isCold(now) {
		ep.slowStart.isGranted = false
	}
	if isNew || next.ColdSeq > ep.ColdSeq {
		ep.slowStart.returnsTill = 0
	}
	ep.slowStart.isLimited = e.coldStarts[next.Service].IsLimited()
}

// returnFromEvacuation treats an endpoint whose domain's evacuation has ended as cold, if its service limits the first packets to cold
// endpoints: its caches may have expired without requests. A grant from before the evacuation ends.
func (e *Engine) returnFromEvacuation(now time.Duration, ep *endpoint) {
	ep.slowStart.isGranted = false
	if c := e.coldStarts[ep.Service]; c.IsLimited() {
		ep.slowStart.returnsTill = now + c.Duration
	}
}
