package affinity

import "time"

const (
	// defaultIdle is the idle timeout of flows until a table sets one.
	defaultIdle = 15 * time.Second
	// pendingLimit is how long a flow without an answer counts as load. It is longer than a
	// caller goes on retransmitting a first packet.
	pendingLimit = 2 * time.Second
	// abandonedAfter is longer than a caller waits before it retransmits an unanswered first
	// packet.
	abandonedAfter = 300 * time.Millisecond
	// maxFlows bounds the memory for flows; the flow that has been idle longest is removed first.
	maxFlows = 1 << 16
	// suspectFor is how long a suspect endpoint gets no new flows while others can take them.
	// New flows try it again afterwards.
	suspectFor = 2 * time.Second
	// suspectAfter is the number of failures without an answer in between that makes an
	// endpoint suspect.
	suspectAfter = 2
)

// evidence is the health of an endpoint as derived from the packets of callers.
type evidence struct {
	failures int           // since the last answer; each unanswered data or first packet counts once
	until    time.Duration // end of the suspicion
}

// noAnswer records a packet that the endpoint has not answered.
func (e *Engine) noAnswer(now time.Duration, ep *endpoint) {
	v := &ep.evidence
	if v.failures++; v.failures < suspectAfter {
		return
	}
	if !v.suspect(now) {
		e.changes = append(e.changes, Suspicion{Endpoint: ep.Name, Suspect: true, Failures: v.failures})
	}
	v.until = now + suspectFor
}

// answered records that a caller has acknowledged data of the endpoint, which ends a suspicion.
func (e *Engine) answered(now time.Duration, ep *endpoint) {
	if ep.evidence.suspect(now) {
		e.changes = append(e.changes, Suspicion{Endpoint: ep.Name, Failures: ep.evidence.failures})
	}
	ep.evidence = evidence{}
}

func (v *evidence) suspect(now time.Duration) bool { return now < v.until }

// noteLater updates the flow and the health of its endpoint from a later packet. It returns
// the flow, or nil if the packet ends it, and how often the packet's data was retransmitted.
func (e *Engine) noteLater(now time.Duration, p Packet, f *flow, ep *endpoint) (*flow, int) {
	repeats := 0
	if f == nil {
		f = &flow{key: flowKey{p.Caller, p.Service}, endpoint: ep, answered: true, began: now, last: now, progress: progress{ack: p.Ack}}
		f.progress.note(now, p)
		e.add(f)
	} else {
		repeats = e.observe(now, p, f, ep)
	}
	if p.Flags&(FIN|RST) != 0 {
		e.drop(f)
		return nil, 0
	}
	e.touch(now, f)
	return f, repeats
}

// observe updates a known flow and the health of its endpoint. It returns how often the
// packet's data was retransmitted.
func (e *Engine) observe(now time.Duration, p Packet, f *flow, ep *endpoint) int {
	if f.endpoint != ep {
		e.reassign(f, ep)
	}
	opened := !f.answered
	answered, repeated := f.progress.note(now, p)
	if opened || answered {
		e.establish(f)
		e.answered(now, ep)
	}
	if !repeated {
		return 0
	}
	if f.progress.repeats == 1 {
		// Each unacknowledged data packet counts as one failure, however often it is retransmitted.
		e.noAnswer(now, ep)
	}
	return f.progress.repeats
}

// add stores a flow, in the list of pending or of established ones. At maxFlows it removes
// the oldest flow first.
func (e *Engine) add(f *flow) {
	for len(e.flows) >= maxFlows {
		e.dropOldest()
	}
	e.flows[f.key] = f
	f.endpoint.open++
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
	f.endpoint.open--
	ep.open++
	f.endpoint = ep
}

func (e *Engine) drop(f *flow) {
	e.listOf(f).remove(f)
	delete(e.flows, f.key)
	f.endpoint.open--
}

// dropOldest removes the oldest pending flow, or the oldest established one if none is pending.
func (e *Engine) dropOldest() {
	if e.pending.oldest != nil {
		e.drop(e.pending.oldest)
		return
	}
	e.drop(e.established.oldest)
}

// establish moves a flow from the pending to the established ones after an answer.
func (e *Engine) establish(f *flow) {
	if !f.answered {
		e.pending.remove(f)
		f.answered = true
		e.established.append(f)
	}
}

// touch records the time of the flow's last packet and moves the flow to the end of its list.
func (e *Engine) touch(now time.Duration, f *flow) {
	f.last = now
	if list := e.listOf(f); list.newest != f {
		list.remove(f)
		list.append(f)
	}
}

// Tick removes expired flows and an outdated demand snapshot, and evaluates flows that were
// abandoned.
func (e *Engine) Tick(now time.Duration) {
	e.expireDemand(now)
	e.judgePending(now)
	for e.pending.oldest != nil && now-e.pending.oldest.began >= pendingLimit {
		e.drop(e.pending.oldest)
	}
	for e.established.oldest != nil && now-e.established.oldest.last >= e.idle {
		e.drop(e.established.oldest)
	}
}

// judgePending records a failure of the endpoint for each flow that its caller has abandoned:
// a caller that sends neither a retransmission nor a later packet got a reset.
func (e *Engine) judgePending(now time.Duration) {
	for f := e.pending.oldest; f != nil && now-f.began >= abandonedAfter; f = f.after {
		if !f.judged && len(f.tried) == 1 {
			e.noAnswer(now, f.endpoint)
		}
		f.judged = true
	}
}

// flowList is a doubly linked list of flows in the order of their last packets.
type flowList struct{ oldest, newest *flow }

func (l *flowList) append(f *flow) {
	f.before, f.after = l.newest, nil
	if l.newest != nil {
		l.newest.after = f
	} else {
		l.oldest = f
	}
	l.newest = f
}

func (l *flowList) remove(f *flow) {
	if f.before != nil {
		f.before.after = f.after
	} else {
		l.oldest = f.after
	}
	if f.after != nil {
		f.after.before = f.before
	} else {
		l.newest = f.before
	}
	f.before, f.after = nil, nil
}
