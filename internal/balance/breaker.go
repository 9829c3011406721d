package balance

import "time"

// Breaker is a circuit breaker for one endpoint. It opens after a number of
// consecutive failures and allows one trial attempt after a pause.
type Breaker struct {
	Failures int           // consecutive failures that open it; 0 disables the breaker
	Pause    time.Duration // from the last failure to the trial attempt

	consecutiveFailures int
	openUntil           time.Duration
	trialInFlight       bool
}

// Allows reports whether an attempt may be sent at now.
func (b *Breaker) Allows(now time.Duration) bool {
	if b.Failures == 0 || b.consecutiveFailures < b.Failures {
		return true
	}
	return now >= b.openUntil && !b.trialInFlight
}

// Sent records an attempt, which is the trial if the breaker is open.
func (b *Breaker) Sent() {
	if b.Failures > 0 && b.consecutiveFailures >= b.Failures {
		b.trialInFlight = true
	}
}

// Ended records the result of an attempt. A cancelled one counts neither way.
func (b *Breaker) Ended(now time.Duration, result Result) {
	b.trialInFlight = false
	switch result {
	case Cancelled:
		return
	case Answered:
		b.consecutiveFailures = 0
		return
	case Refused, Lost:
	}
	b.consecutiveFailures++
	if b.Failures > 0 && b.consecutiveFailures >= b.Failures {
		b.openUntil = now + b.Pause
	}
}
