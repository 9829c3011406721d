package flow

import (
	"testing"
	"time"
)

// TestHintBudget guards against hints that exceed the limit for control traffic. Short flows
// used to get a hint from each host that their packets reached.
func TestHintBudget(t *testing.T) {
	e := New(Config{Host: "h", Incarnation: 1, Domain: "d", Capacity: 16})
	en := &entry{createdAt: timestampOf(time.Minute)}
	count := func(now time.Duration) int {
		e.setNow(now)
		n := 0
		for range 10 * hintBurst {
			if e.takeHintToken(en) {
				n++
			}
		}
		return n
	}
	for _, row := range []struct {
		at   time.Duration
		want int
	}{
		{time.Minute + minHintAge/2, 0}, // the flow may still be a short one
		{time.Hour, hintBurst},
		{time.Hour + time.Second, hintsPerSecond},
		{2 * time.Hour, hintBurst},
	} {
		if got := count(row.at); got != row.want {
			t.Errorf("at %v: %d hints, want %d", row.at, got, row.want)
		}
	}
}
