package affinity

import "time"

// Limits from which a flow counts as stalled. Callers retransmit unacknowledged data after 200 ms
// and 600 ms, and a working endpoint acknowledges a retransmission at once. The minimum age excludes
// packets that were delayed and arrive together. Because three packets of one flow can be lost, a
// flow is reset only if another flow of the endpoint is unanswered too and none has had an answer since.
const (
	stallRetransmits = 2
	stallAge         = 500 * time.Millisecond
)

// progress tracks whether the data that a caller sends is answered.
type progress struct {
	unanswered  bool          // the endpoint has not answered the newest data
	seq         uint32        // of the newest data
	sentAt      time.Duration // first transmission of the newest data
	lastSentAt  time.Duration // latest transmission of the newest data
	ack         uint32        // acknowledgment number of the caller's last packet
	retransmits int           // retransmissions of the newest data
	knownLosses int           // those of them that were recorded as losses on the path
}

// update processes the next packet of the caller. It reports whether the packet acknowledges
// an answer of the endpoint, and whether it retransmits data. Transmissions before the end of a pause of this host, resumedAt, do not count: what
// the endpoint has answered to them may be waiting as well.
func (g *progress) update(now, resumedAt time.Duration, p Packet) (answered, retransmitted bool) {
	if p.Ack != g.ack {
		g.ack, g.unanswered, answered = p.Ack, false, true
	}
	if p.Length == 0 {
		return answered, false
	}
	if g.unanswered && p.Seq == g.seq && g.lastSentAt >= resumedAt && (resumedAt == 0 || now-resumedAt >= minAnswerTime) {
		g.retransmits++
		g.lastSentAt = now
		return answered, true
	}
	g.unanswered, g.seq, g.sentAt, g.lastSentAt, g.retransmits, g.knownLosses = true, p.Seq, now, now, 0, 0
	return answered, false
}

// stalled reports whether the newest data has been retransmitted often enough, for long enough.
func (g *progress) stalled(now time.Duration) bool {
	return g.unanswered && g.retransmits >= stallRetransmits && now-g.sentAt >= stallAge
}
