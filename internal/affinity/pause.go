package affinity

import "time"

// Resume tells the engine that this host has just been paused. The packets of the meantime arrive together now, and what callers have
// acknowledged comes behind the data that they had repeated before: numbers and ages of transmissions from before say nothing about endpoints.
func (e *Engine) Resume(now time.Duration) { e.resumedAt = now }

// mayHaveWaited reports whether a packet that is handled now may have arrived during a pause of this host. The flow may have gone on
// through other hosts since, so that a reset with the number of the packet would be none.
func (e *Engine) mayHaveWaited(now time.Duration) bool {
	return e.resumedAt > 0 && now-e.resumedAt < minAnswerTime
}
