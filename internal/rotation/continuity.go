package rotation

import "time"

// maxProbeGap is the longest time between two answers to probes of the fabric between which it has counted at most one as missing. It
// asks twice a second and takes a host out of rotation after two that are missing.
const maxProbeGap = 750 * time.Millisecond

// Instant is a moment by the two clocks of a host.
type Instant struct {
	Steady time.Duration // stands still while the machine is suspended; times of packets are given by it
	Boot   time.Duration // goes on while the machine is suspended
}

// Continuity is what a host knows of its own place in the rotation, from the probes of the fabric that it has answered.
type Continuity struct {
	since      Instant
	answeredAt Instant
	inRotation bool
}

// Answered records an answer to a probe.
func (c *Continuity) Answered(now Instant, isReady bool) {
	if !isReady {
		c.inRotation = false
		return
	}
	if !c.isWithoutGap(now) {
		c.since = now
	}
	c.inRotation, c.answeredAt = true, now
}

// Leave records that the host answers no more probes as ready.
func (c *Continuity) Leave() { c.inRotation = false }

func (c *Continuity) isWithoutGap(now Instant) bool {
	return c.inRotation && now.Boot-c.answeredAt.Boot <= maxProbeGap
}

// Unchanged returns for how long the host has been in rotation without a break, 0 if it may not be in rotation.
func (c *Continuity) Unchanged(now Instant) time.Duration {
	if !c.isWithoutGap(now) {
		return 0
	}
	return now.Boot - c.since.Boot
}

// Since returns when the host has come into rotation, by its steady clock. It is now if the host may not be in rotation.
func (c *Continuity) Since(now Instant) time.Duration {
	if !c.isWithoutGap(now) {
		return now.Steady
	}
	return c.since.Steady
}
