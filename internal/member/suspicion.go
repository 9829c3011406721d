package member

import (
	"time"

	"cassiawood/internal/directory"
)

// verdictCounts counts equal probe verdicts of an endpoint in a row.
type verdictCounts struct {
	failures  int
	successes int
}

// handleProbed counts a verdict. Only several equal verdicts in a row set or
// clear a suspicion, so that one lost probe does not move buckets. Passive
// failures need no repetition.
func (l *Leases) handleProbed(p Probed) {
	e, ok := l.state.EndpointByInstance(p.Instance)
	if !ok || e.State != directory.Ready {
		return
	}
	counts := l.verdicts[p.Instance]
	switch {
	case p.Healthy:
		counts = verdictCounts{successes: counts.successes + 1}
	case p.Passive:
		counts = verdictCounts{failures: verdictThreshold}
	default:
		counts = verdictCounts{failures: counts.failures + 1}
	}
	l.verdicts[p.Instance] = counts
	switch {
	case counts.failures >= verdictThreshold && !e.Suspected:
		l.proposeSuspicion(e)
	case counts.successes >= verdictThreshold && e.Suspected:
		l.propose(directory.EndpointSuspected{Instance: e.Instance})
	}
}

// proposeSuspicion proposes a suspicion unless the service has reached
// MaxSuspected, counting the suspicions that are proposed and not committed.
func (l *Leases) proposeSuspicion(e *directory.Endpoint) {
	suspected, ready := l.state.SuspectedCounts(e.Service)
	for c := range l.proposed {
		if p, ok := c.(directory.EndpointSuspected); ok && p.Suspected && p.Instance != e.Instance {
			if other, ok := l.state.EndpointByInstance(p.Instance); ok && other.Service == e.Service && !other.Suspected {
				suspected++
			}
		}
	}
	if suspected < directory.MaxSuspected(ready) {
		l.propose(directory.EndpointSuspected{Instance: e.Instance, Suspected: true})
	}
}

// suspectCutOff suspects the endpoints of failure domains from which no message
// has come for HostLease and its margin, since new flows from other domains
// cannot reach them.
func (l *Leases) suspectCutOff() {
	var silent map[string]bool
	for domain, at := range l.lastContact {
		if l.now-at >= HostLease+hostLeaseMargin && !l.state.DomainOutOfService(domain) {
			if silent == nil {
				silent = map[string]bool{}
			}
			silent[domain] = true
		}
	}
	if silent == nil || l.now-l.lastCutOffSweep < time.Second {
		return
	}
	l.lastCutOffSweep = l.now
	for _, id := range l.state.EndpointIDs() {
		if e, _ := l.state.Endpoint(id); silent[e.Domain] && e.State == directory.Ready && !e.Suspected {
			l.proposeSuspicion(e)
		}
	}
}
