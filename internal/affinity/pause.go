package affinity

import "time"

// Resume tells the engine that this host has just been paused. The packets of the meantime arrive together now, and what callers have
// acknowledged comes behind the data that they had repeated before: numbers and ages of transmissions from before say nothing about endpoints.
func (e *Engine) Resume(now time.Duration) { e.resumedAt = now }
