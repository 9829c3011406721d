package affinity

import (
	"time"

	"cassiawood/internal/routing"
)

// SetEvacuations takes the failure domains whose endpoints get no first packets, and reports whether it did. A revision that is
// not higher than the known one is ignored: a control host that lags behind must not end or begin an evacuation.
func (e *Engine) SetEvacuations(now time.Duration, evacuations routing.Evacuations) bool {
	if evacuations.Revision <= e.evacuations.Revision {
		return false
	}
	e.evacuations = evacuations
	for _, ep := range e.byID {
		wasEvacuated := ep.evacuated
		if e.setEvacuated(ep); wasEvacuated && !ep.evacuated {
			e.returnFromEvacuation(now, ep)
		}
	}
	e.changes++
	return true
}

// Evacuations returns the evacuations in force.
func (e *Engine) Evacuations() routing.Evacuations { return e.evacuations }

// setEvacuated records whether the endpoint's failure domain is evacuated.
func (e *Engine) setEvacuated(ep *endpoint) { ep.evacuated = e.evacuations.Contains(ep.Domain) }
