package affinity

import "time"

const (
	// defaultIdleTimeout is the idle timeout of flows until a table sets one.
	defaultIdleTimeout = 15 * time.Second
	// pendingTimeout is how long a flow without an answer counts as load. It is longer than a
	// caller goes on retransmitting a first packet.
	pendingTimeout = 2 * time.Second
	// abandonedAfter is longer than a caller waits before it retransmits an unanswered first
	// packet.
	abandonedAfter = 300 * time.Millisecond
	// maxFlows bounds the memory for flows; the flow that has been idle longest is removed first.
	maxFlows = 1 << 16
	// suspectDuration is how long a suspect endpoint gets no new flows while others can take them.
	// New flows try it again afterwards.
	suspectDuration = 2 * time.Second
	// suspectFailures is the number of failures without an answer in between that makes an
	// endpoint suspect.
	suspectFailures = 2
	// unansweredMaxAge is longer than the pause between two retransmissions of a flow.
	unansweredMaxAge = 2 * time.Second
)

// phase tells what the endpoint of a flow is doing for it.
type phase uint8

const (
	pending    phase = iota // no endpoint has answered the first packet
	working                 // the endpoint has not answered the newest data
	idle                    // the caller has sent nothing since the last answer
	phaseCount              // number of phases
)

// passiveHealth is the health of an endpoint as derived from the packets of callers.
type passiveHealth struct {
	failures int // since the last answer; each unanswered data or first packet counts once
	// unanswered counts the transmissions without an answer since the last answer. Those that are older than
	// unansweredMaxAge, and those that the path may have lost, say nothing.
	unanswered   int
	unansweredAt time.Duration // last change of unanswered
	suspectUntil time.Duration // end of the suspicion
}

// recordUnanswered records a transmission that the endpoint has not answered.
func (e *Engine) recordUnanswered(now time.Duration, ep *endpoint) {
	v := &ep.health
	if now-v.unansweredAt > unansweredMaxAge {
		v.unanswered = 0
	}
	if e.path.isReliable(now) {
		v.unanswered++
	}
	v.unansweredAt = now
}

// recordFailure records a packet that the endpoint has not answered.
func (e *Engine) recordFailure(now time.Duration, ep *endpoint) {
	if ep.health.failures++; ep.health.failures >= suspectFailures {
		e.suspect(now, ep)
	}
}

// suspect keeps new flows from the endpoint for a while, as long as others can take them.
func (e *Engine) suspect(now time.Duration, ep *endpoint) {
	v := &ep.health
	if !v.isSuspect(now) {
		e.suspicions = append(e.suspicions, Suspicion{Endpoint: ep.Name, Suspect: true, Failures: v.failures})
	}
	v.suspectUntil = now + suspectDuration
}

// recordAnswer records that a caller has acknowledged data of the endpoint, which ends a suspicion.
func (e *Engine) recordAnswer(now time.Duration, ep *endpoint) {
	if ep.health.isSuspect(now) {
		e.suspicions = append(e.suspicions, Suspicion{Endpoint: ep.Name, Failures: ep.health.failures})
	}
	if unanswered := ep.health.unanswered; unanswered > 0 && now-ep.health.unansweredAt <= unansweredMaxAge {
		e.path.record(now, ep.ID, unanswered, unanswered) // the endpoint is alive, so they were lost on the path
	}
	ep.health, ep.answeredAt = passiveHealth{}, now
}

func (v *passiveHealth) isSuspect(now time.Duration) bool { return now < v.suspectUntil }

// trackLater updates the flow and the health of its endpoint from a later packet. It returns
// the flow, or nil if the packet ends it, and how often the packet's data was retransmitted.
func (e *Engine) trackLater(now time.Duration, p Packet, f *flow, ep *endpoint) (*flow, int) {
	retransmits := 0
	if f == nil {
		f = &flow{key: flowKey{p.Caller, p.Service}, endpoint: ep, phase: idle, startedAt: now, lastPacketAt: now, progress: progress{ack: p.Ack}}
		f.progress.update(now, e.resumedAt, p)
		e.addFlow(f)
		e.updatePhase(f)
	} else {
		retransmits = e.updateFlow(now, p, f, ep)
	}
	if p.Flags&(FIN|RST) != 0 {
		e.removeFlow(f)
		return nil, 0
	}
	e.touch(now, f)
	return f, retransmits
}

// updateFlow updates a known flow and the health of its endpoint. It returns how often the
// packet's data was retransmitted.
func (e *Engine) updateFlow(now time.Duration, p Packet, f *flow, ep *endpoint) int {
	if f.endpoint != ep {
		e.reassign(f, ep)
	}
	opened, before := f.phase == pending, f.progress
	answered, retransmitted := f.progress.update(now, e.resumedAt, p)
	if opened || answered {
		e.recordAnswer(now, ep)
	}
	switch {
	case opened:
		e.measureHandshake(now, f, ep)
	case answered && before.unanswered:
		e.measureAnswer(now, p, before, ep)
	}
	if u := e.usageOf(ep); opened && u != nil {
		u.flows++
	}
	e.updatePhase(f)
	if !retransmitted {
		return 0
	}
	e.recordUnanswered(now, ep)
	if ep.answeredAt-before.lastSentAt >= aliveAfter {
		f.progress.knownLosses++
		e.path.record(now, ep.ID, 1, 1)
	}
	if f.progress.retransmits == 1 {
		// Each unacknowledged data packet counts as one failure, however often it is retransmitted.
		e.recordFailure(now, ep)
	}
	return f.progress.retransmits
}

// updatePhase sets the phase of a flow that an endpoint has answered, from the progress of its data.
func (e *Engine) updatePhase(f *flow) {
	next := idle
	if f.progress.unanswered {
		next = working
	}
	if f.phase == next {
		return
	}
	if u := e.usageOf(f.endpoint); next == working && u != nil {
		u.requests++
	}
	e.setPhase(f, next)
}

// usageOf returns the usage of the endpoint's service, or nil if the endpoint has been removed.
func (e *Engine) usageOf(ep *endpoint) *usage {
	if c := e.candidates[ep.Service]; c != nil {
		return c.usage
	}
	return nil
}

// addFlow stores a flow. At maxFlows it removes the oldest flow first.
func (e *Engine) addFlow(f *flow) {
	for len(e.flows) >= maxFlows {
		e.removeOldestFlow()
	}
	e.flows[f.key] = f
	f.endpoint.count(f, 1)
	e.lists[f.phase].append(f)
}

// count adds n times the flow to the load of the endpoint.
func (ep *endpoint) count(f *flow, n int) {
	ep.openFlows += n
	if f.phase != idle {
		ep.working += n
	}
}

// setPhase moves a flow to the list of another phase.
func (e *Engine) setPhase(f *flow, next phase) {
	e.lists[f.phase].remove(f)
	f.endpoint.count(f, -1)
	f.phase = next
	f.endpoint.count(f, 1)
	e.lists[next].append(f)
}

// reassign moves a flow, and its share of the load, to another endpoint.
func (e *Engine) reassign(f *flow, ep *endpoint) {
	f.endpoint.count(f, -1)
	ep.count(f, 1)
	f.endpoint = ep
}

func (e *Engine) removeFlow(f *flow) {
	e.lists[f.phase].remove(f)
	delete(e.flows, f.key)
	f.endpoint.count(f, -1)
}

// ForgetFlows forgets all flows, with the load and the health that follow from them. Later packets still go by
// their tokens.
func (e *Engine) ForgetFlows() {
	clear(e.flows)
	e.lists = [phaseCount]flowList{}
	e.idle.unresponsive, e.idle.asked = nil, nil
	for _, ep := range e.byID {
		ep.openFlows, ep.working, ep.health = 0, 0, passiveHealth{}
	}
}

// removeOldestFlow removes the oldest pending flow, or the oldest of another phase if none is pending.
func (e *Engine) removeOldestFlow() {
	for _, p := range [...]phase{pending, idle, working} {
		if oldest := e.lists[p].oldest; oldest != nil {
			e.removeFlow(oldest)
			return
		}
	}
}

// touch records the time of the flow's last packet and moves the flow to the end of its list.
func (e *Engine) touch(now time.Duration, f *flow) {
	f.lastPacketAt = now
	if list := &e.lists[f.phase]; list.newest != f {
		list.remove(f)
		list.append(f)
	}
}

// Tick removes expired flows and an outdated demand snapshot, evaluates flows that were abandoned,
// observes the usage of the services and centres the turns of uneven ones.
func (e *Engine) Tick(now time.Duration) {
	e.expireDemand(now)
	e.checkAbandoned(now)
	for f := e.lists[pending].oldest; f != nil && now-f.startedAt >= pendingTimeout; f = e.lists[pending].oldest {
		e.removeFlow(f)
	}
	for f := e.lists[working].oldest; f != nil && now-f.lastPacketAt >= workTimeout; f = e.lists[working].oldest {
		e.setPhase(f, idle)
	}
	for f := e.lists[idle].oldest; f != nil && now-f.lastPacketAt >= e.idleTimeout; f = e.lists[idle].oldest {
		e.removeFlow(f)
	}
	e.observeUsage(now)
	e.evaluateDelays(now)
	e.findOverdue(now)
	for _, c := range e.candidates {
		c.centreTurns(now)
	}
}

// checkAbandoned records a failure of the endpoint for each flow that its caller has abandoned:
// a caller that sends neither a retransmission nor a later packet got a reset.
func (e *Engine) checkAbandoned(now time.Duration) {
	for f := e.lists[pending].oldest; f != nil && now-f.startedAt >= abandonedAfter; f = f.next {
		if !f.abandonChecked && f.transmissions == 1 && f.startedAt >= e.resumedAt {
			e.recordFailure(now, f.endpoint)
		}
		f.abandonChecked = true
	}
}

// flowList is a doubly linked list of the flows of a phase, about in the order of their last packets.
type flowList struct{ oldest, newest *flow }

func (l *flowList) append(f *flow) {
	f.previous, f.next = l.newest, nil
	if l.newest != nil {
		l.newest.next = f
	} else {
		l.oldest = f
	}
	l.newest = f
}

func (l *flowList) remove(f *flow) {
	if f.previous != nil {
		f.previous.next = f.next
	} else {
		l.oldest = f.next
	}
	if f.next != nil {
		f.next.previous = f.previous
	} else {
		l.newest = f.previous
	}
	f.previous, f.next = nil, nil
}
