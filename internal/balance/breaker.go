package balance

import "time"

// Breaker is a circuit breaker for one endpoint. It opens after Failures
// failures in a row and lets one trial through after Pause.
type Breaker struct {
	Failures int
	Pause    time.Duration

	failed int
	until  time.Duration
	trial  bool
}

// Allows reports whether an attempt may be sent at now.
func (b *Breaker) Allows(now time.Duration) bool {
	if b.Failures == 0 || b.failed < b.Failures {
		return true
	}
	return now >= b.until && !b.trial
}

// Sent notes an attempt; on an open breaker it is the trial.
func (b *Breaker) Sent() {
	if b.Failures > 0 && b.failed >= b.Failures {
		b.trial = true
	}
}

// Ended notes the end of an attempt.
func (b *Breaker) Ended(now time.Duration, result Result) {
	b.trial = false
	switch result {
	case Cancelled:
		return
	case Answered:
		b.failed = 0
		return
	case Refused, Lost:
	}
	b.failed++
	if b.Failures > 0 && b.failed >= b.Failures {
		b.until = now + b.Pause
	}
}
