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
)

// passiveHealth is the health of an endpoint as derived from the packets of callers.
type passiveHealth struct {
	failures     int           // since the last answer; each unanswered data or first packet counts once
	suspectUntil time.Duration // end of the suspicion
}

// recordFailure records a packet that the endpoint has not answered.
func (e *Engine) recordFailure(now time.Duration, ep *endpoint) {
	v := &ep.health
	if v.failures++; v.failures < suspectFailures {
		return
	}
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
	ep.health = passiveHealth{}
}

func (v *passiveHealth) isSuspect(now time.Duration) bool { return now < v.suspectUntil }

// trackLater updates the flow and the health of its endpoint from a later packet. It returns
// the flow, or nil if the packet ends it, and how often the packet's data was retransmitted.
func (e *Engine) trackLater(now time.Duration, p Packet, f *flow, ep *endpoint) (*flow, int) {
	retransmits := 0
	if f == nil {
		f = &flow{key: flowKey{p.Caller, p.Service}, endpoint: ep, answered: true, startedAt: now, lastPacketAt: now, progress: progress{ack: p.Ack}}
		f.progress.update(now, p)
		e.addFlow(f)
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
	opened := !f.answered
	answered, retransmitted := f.progress.update(now, p)
	if opened || answered {
		e.markEstablished(f)
		e.recordAnswer(now, ep)
	}
	if !retransmitted {
		return 0
	}
	if f.progress.retransmits == 1 {
		// Each unacknowledged data packet counts as one failure, however often it is retransmitted.
		e.recordFailure(now, ep)
	}
	return f.progress.retransmits
}

// addFlow stores a flow, in the list of pending or of established ones. At maxFlows it removes
// the oldest flow first.
func (e *Engine) addFlow(f *flow) {
	for len(e.flows) >= maxFlows {
		e.removeOldestFlow()
	}
	e.flows[f.key] = f
	f.endpoint.openFlows++
	e.listOf(f).append(f)
}

// listOf returns the list that holds a flow.
func (e *Engine) listOf(f *flow) *flowList {
	if f.answered {
		return &e.established
	}
	return &e.pending
}

// reassign moves a flow, and its share of the load, to another endpoint.
func (e *Engine) reassign(f *flow, ep *endpoint) {
	f.endpoint.openFlows--
	ep.openFlows++
	f.endpoint = ep
}

func (e *Engine) removeFlow(f *flow) {
	e.listOf(f).remove(f)
	delete(e.flows, f.key)
	f.endpoint.openFlows--
}

// removeOldestFlow removes the oldest pending flow, or the oldest established one if none is pending.
func (e *Engine) removeOldestFlow() {
	if e.pending.oldest != nil {
		e.removeFlow(e.pending.oldest)
		return
	}
	e.removeFlow(e.established.oldest)
}

// markEstablished moves a flow from the pending to the established ones after an answer.
func (e *Engine) markEstablished(f *flow) {
	if !f.answered {
		e.pending.remove(f)
		f.answered = true
		e.established.append(f)
	}
}

// touch records the time of the flow's last packet and moves the flow to the end of its list.
func (e *Engine) touch(now time.Duration, f *flow) {
	f.lastPacketAt = now
	if list := e.listOf(f); list.newest != f {
		list.remove(f)
		list.append(f)
	}
}

// Tick removes expired flows and an outdated demand snapshot, and evaluates flows that were
// abandoned.
func (e *Engine) Tick(now time.Duration) {
	e.expireDemand(now)
	e.checkAbandoned(now)
	for e.pending.oldest != nil && now-e.pending.oldest.startedAt >= pendingTimeout {
		e.removeFlow(e.pending.oldest)
	}
	for e.established.oldest != nil && now-e.established.oldest.lastPacketAt >= e.idleTimeout {
		e.removeFlow(e.established.oldest)
	}
}

// checkAbandoned records a failure of the endpoint for each flow that its caller has abandoned:
// a caller that sends neither a retransmission nor a later packet got a reset.
func (e *Engine) checkAbandoned(now time.Duration) {
	for f := e.pending.oldest; f != nil && now-f.startedAt >= abandonedAfter; f = f.next {
		if !f.abandonChecked && len(f.tried) == 1 {
			e.recordFailure(now, f.endpoint)
		}
		f.abandonChecked = true
	}
}

// flowList is a doubly linked list of flows in the order of their last packets.
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
