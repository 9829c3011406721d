package affinity

import "time"

const (
	// overdueRatio is the ratio of a request's age to the typical delay of its endpoint from which the request is overdue.
	// Single requests take several times the mean, so a smaller ratio would mostly find these.
	overdueRatio = 3.0
	// maxOverdue bounds the factor by which the load of an endpoint with an overdue request counts.
	maxOverdue = 20.0
	// overdueInterval is the time between searches for overdue requests.
	overdueInterval = 100 * time.Millisecond
)

// findOverdue finds the endpoints with an overdue request. The delays that have been measured tell of an endpoint that has
// become slow only when its answers come, and those of other hosts only seconds later.
func (e *Engine) findOverdue(now time.Duration) {
	if now-e.overdueFoundAt < overdueInterval || e.cfg.IgnoreDelays {
		return
	}
	e.overdueFoundAt = now
	for _, ep := range e.overdue {
		ep.overdue = 1
	}
	e.overdue = e.overdue[:0]
	for f := e.lists[working].oldest; f != nil; f = f.next {
		ep := f.endpoint
		c := e.candidates[ep.Service]
		if c == nil || !f.progress.unanswered {
			continue
		}
		typical := c.speeds.own.Typical(ep.ID)
		age := now - f.progress.sentAt
		if typical == 0 || float64(age) < overdueRatio*float64(typical) {
			continue
		}
		if ep.overdue == 1 {
			e.overdue = append(e.overdue, ep)
		}
		ep.overdue = max(ep.overdue, min(float64(age)/float64(typical), maxOverdue))
	}
}
