package affinity

import "time"

// Limits from which a flow counts as stalled. Callers repeat unacknowledged data after 200 ms and
// 600 ms, and an endpoint that lives acknowledges a repeat at once. The age keeps packets apart
// that were held up together. A flow is given up only if another one of the endpoint has trouble
// too and none has had an answer meanwhile, since three packets of one flow can be lost.
const (
	stallRepeats = 2
	stallAge     = 500 * time.Millisecond
)

// progress is what the packets of a caller tell about the data that it sends.
type progress struct {
	waiting bool          // data is on its way that the endpoint has not answered
	seq     uint32        // of the newest data
	sentAt  time.Duration // of the newest data, for the first time
	ack     uint32        // what the caller has received
	repeats int           // of the newest data
}

// note takes the next packet. It reports whether the packet shows an answer of the
// endpoint, and whether it repeats data.
func (g *progress) note(now time.Duration, p Packet) (answered, repeated bool) {
	if p.Ack != g.ack {
		g.ack, g.waiting, answered = p.Ack, false, true
	}
	if p.Length == 0 {
		return answered, false
	}
	if g.waiting && p.Seq == g.seq {
		g.repeats++
		return answered, true
	}
	g.waiting, g.seq, g.sentAt, g.repeats = true, p.Seq, now, 0
	return answered, false
}

func (g *progress) stalled(now time.Duration) bool {
	return g.waiting && g.repeats >= stallRepeats && now-g.sentAt >= stallAge
}
