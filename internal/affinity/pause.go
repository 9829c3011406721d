package affinity

import "time"

// Resume tells the engine that this host has just been paused. The packets of the meantime arrive together now, and what callers have
// acknowledged comes behind the data that they had repeated before: numbers and ages of transmissions from before say nothing about endpoints.
func (e *Engine) Resume(now time.Duration) { e.resumedAt = now }

// isOriginal reports whether the packet is the first transmission of a first packet. Only the host that handles it opens the flow, so a flow whose
// original has waited here is not open, and a reset may have any number.
func (p Packet) isOriginal() bool { return p.Flags&SYN != 0 && p.Retransmits == 0 }

// mayHaveWaited reports whether a packet that is handled now may have arrived during a pause of this host. The flow may have gone on
// through other hosts since, so that a reset with the number of the packet would be none.
func (e *Engine) mayHaveWaited(now time.Duration) bool {
	return e.resumedAt > 0 && now-e.resumedAt < minAnswerTime
}
