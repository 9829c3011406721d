package member

import (
	"time"

	"cassiawood/internal/directory"
)

// health counts equal probe verdicts of an endpoint in a row.
type health struct {
	failures  int
	successes int
}

// probed counts a verdict. Only several equal verdicts in a row set or clear a
// suspicion, so that one lost probe does not move buckets. Passive failures need no
// repetition.
func (l *Leases) probed(p Probed) {
	e, ok := l.state.EndpointByInstance(p.Instance)
	if !ok || e.State != directory.Ready {
		return
	}
	h := l.health[p.Instance]
	switch {
	case p.Healthy:
		h = health{successes: h.successes + 1}
	case p.Passive:
		h = health{failures: verdictsInRow}
	default:
		h = health{failures: h.failures + 1}
	}
	l.health[p.Instance] = h
	switch {
	case h.failures >= verdictsInRow && !e.Suspected:
		l.suspect(e)
	case h.successes >= verdictsInRow && e.Suspected:
		l.propose(directory.EndpointSuspected{Instance: e.Instance})
	}
}

// suspect proposes a suspicion unless the service has reached SuspectLimit,
// counting the suspicions that are proposed and not committed.
func (l *Leases) suspect(e *directory.Endpoint) {
	suspected, ready := l.state.Suspected(e.Service)
	for c := range l.proposed {
		if p, ok := c.(directory.EndpointSuspected); ok && p.Suspected && p.Instance != e.Instance {
			if other, ok := l.state.EndpointByInstance(p.Instance); ok && other.Service == e.Service && !other.Suspected {
				suspected++
			}
		}
	}
	if suspected < directory.SuspectLimit(ready) {
		l.propose(directory.EndpointSuspected{Instance: e.Instance, Suspected: true})
	}
}

// suspectCutOff suspects the endpoints of failure domains from which no message has
// come for HostLease and its guard, since new flows from other domains cannot reach
// them.
func (l *Leases) suspectCutOff() {
	var silent map[string]bool
	for domain, at := range l.heard {
		if l.now-at >= HostLease+hostLeaseGuard && !l.state.DomainOut(domain) {
			if silent == nil {
				silent = map[string]bool{}
			}
			silent[domain] = true
		}
	}
	if silent == nil || l.now-l.cutOffSweep < time.Second {
		return
	}
	l.cutOffSweep = l.now
	for _, id := range l.state.Endpoints() {
		if e, _ := l.state.Endpoint(id); silent[e.Domain] && e.State == directory.Ready && !e.Suspected {
			l.suspect(e)
		}
	}
}
