package edge

import "time"

const (
	// pauseLimit is the time without any event, the ticks of the clock included, from which the process
	// counts as paused. Control hosts give up a connection that is silent for as long.
	pauseLimit = time.Second
	// shortPause is the time without any event from which packets that have waited together say nothing about endpoints.
	shortPause = 3 * tickInterval
	// afterPauseWait is how long new flows wait for a state from after the pause. The host then serves
	// with the one that it has, since its failure domain may be cut off.
	afterPauseWait = 500 * time.Millisecond
)

// pauseGuard tells whether the state of the host may be older than a pause of its process: what the
// control host said during the pause is not applied yet, and packets that waited in the socket would
// go by routes and endpoints that have been withdrawn. It sees pauses during which the steady clock
// runs on, such as those of a stopped process, not those of a suspended machine.
type pauseGuard struct {
	lastEventAt time.Duration // 0 before the first event
	holds       bool          // no newer state has arrived since the pause
	isAnew      bool          // updates come from connections that were opened after the pause
	endedAt     time.Duration // end of the pause
}

// observe records that an event is handled now and returns the length of a pause that has just ended, or 0.
func (g *pauseGuard) observe(now time.Duration) time.Duration {
	gap := now - g.lastEventAt
	isFirst := g.lastEventAt == 0
	g.lastEventAt = now
	if !isFirst && gap >= pauseLimit {
		g.holds, g.isAnew, g.endedAt = true, false, now
		return gap
	}
	if g.holds && now-g.endedAt >= afterPauseWait {
		g.holds = false
	}
	return 0
}

// followedAnew records that later updates come from connections that were opened after the pause.
func (g *pauseGuard) followedAnew() { g.isAnew = true }

// completed records that a control host has sent the last part of its state.
func (g *pauseGuard) completed() {
	if g.isAnew {
		g.holds = false
	}
}

// checkPause holds new flows after a pause until a newer state has arrived.
func (d *engineDuty) checkPause() {
	if d.stateSince < 0 {
		return
	}
	held := d.pause.holds
	if d.pause.lastEventAt > 0 && d.now-d.pause.lastEventAt >= shortPause {
		d.engine.Resume(d.now)
	}
	if paused := d.pause.observe(d.now); paused > 0 {
		d.log.Warn("process was paused, new flows wait for the present state", "pauseMs", paused.Milliseconds(), "version", d.engine.Version())
		d.followInbox.Offer(pauseEnded{})
	}
	if held && !d.pause.holds {
		d.log.Warn("no newer state after the pause, serving with the one from before", "version", d.engine.Version())
	}
	d.engine.HoldNewFlows(d.pause.holds)
}
