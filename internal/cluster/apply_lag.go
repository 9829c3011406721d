package cluster

import "time"

const (
	// maxApplyTime is how long this host may take to store and apply an entry that a majority has committed. A sync of a slow disk takes less.
	maxApplyTime = 200 * time.Millisecond
	// minCurrentTime is how long a host that was behind has to keep up before it counts as current again, so that a disk that is slow in
	// bursts does not move the entry hosts to and fro.
	minCurrentTime = 5 * time.Second
)

// applyLag tells whether a host applies what a majority has committed in time. Contact with the leader says nothing about that: a host
// whose disk hangs or is full goes on hearing the leader.
type applyLag struct {
	awaited   uint64        // committed entry that is not applied yet; 0 if there is none
	since     time.Duration // when it became known
	isBehind  bool
	keepsUpAt time.Duration // while isBehind: since when entries have been applied in time; -1 if they are not
}

// observe takes the index of the last applied entry and that of the last committed one, and reports whether isBehind has changed.
func (l *applyLag) observe(now time.Duration, applied, committed uint64) (changed bool) {
	if l.awaited != 0 && applied >= l.awaited {
		l.awaited = 0
	}
	if l.awaited == 0 && committed > applied {
		l.awaited, l.since = committed, now
	}
	isLate := l.awaited != 0 && now-l.since >= maxApplyTime
	switch {
	case isLate:
		changed = !l.isBehind
		l.isBehind, l.keepsUpAt = true, -1
	case l.isBehind && l.keepsUpAt < 0:
		l.keepsUpAt = now
	case l.isBehind && now-l.keepsUpAt >= minCurrentTime:
		changed, l.isBehind = true, false
	}
	return changed
}
