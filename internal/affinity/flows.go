package affinity

import "time"

const (
	// defaultIdle is used until a table names the time after which a flow without
	// packets may be forgotten.
	defaultIdle = 15 * time.Second
	// pendingLimit is above the time in which a caller repeats a first packet. A flow that was
	// not answered until then does not count as load.
	pendingLimit = 2 * time.Second
	// abandonedAfter is above the time after which a caller repeats a first packet that nobody has
	// answered.
	abandonedAfter = 300 * time.Millisecond
	// maxFlows bounds the memory of flows; the ones without packets for longest go first.
	maxFlows = 1 << 16
	// suspectFor is how long an endpoint that has not answered gets no new flow
	// while others can take it. After it one flow tries it again.
	suspectFor = 2 * time.Second
	// suspectAfter failures without an answer between them make an endpoint suspect.
	suspectAfter = 2
)

// evidence is what packets of callers tell about an endpoint.
type evidence struct {
	failures int           // since the last sign of life, one for each data or first packet
	until    time.Duration // suspect
}

// noAnswer notes that a caller has repeated a packet.
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

// answered notes that a caller has acknowledged something from the endpoint.
func (e *Engine) answered(now time.Duration, ep *endpoint) {
	if ep.evidence.suspect(now) {
		e.changes = append(e.changes, Suspicion{Endpoint: ep.Name, Failures: ep.evidence.failures})
	}
	ep.evidence = evidence{}
}

func (v *evidence) suspect(now time.Duration) bool { return now < v.until }

// noteLater keeps count of the flow and reads the signs of life that the packet carries. It
// returns the flow, nil once it has ended, and how often the packet has been repeated.
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
		// The endpoint has not acknowledged the data.
		e.noAnswer(now, ep)
	}
	return f.progress.repeats
}

// add remembers a flow, among the pending ones until an endpoint has answered.
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

// reassign moves the count of a flow to the endpoint that it really has.
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

func (e *Engine) dropOldest() {
	if e.pending.oldest != nil {
		e.drop(e.pending.oldest)
		return
	}
	e.drop(e.established.oldest)
}

// establish notes that an endpoint has answered.
func (e *Engine) establish(f *flow) {
	if !f.answered {
		e.pending.remove(f)
		f.answered = true
		e.established.append(f)
	}
}

// touch moves a flow to the end of its list.
func (e *Engine) touch(now time.Duration, f *flow) {
	f.last = now
	if list := e.listOf(f); list.newest != f {
		list.remove(f)
		list.append(f)
	}
}

// Tick forgets the flows that have been idle for too long, and an old picture of the demand.
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

// judgePending notes endpoints whose callers have gone away: without a repeated first
// packet or a later one, the caller got a reset.
func (e *Engine) judgePending(now time.Duration) {
	for f := e.pending.oldest; f != nil && now-f.began >= abandonedAfter; f = f.after {
		if !f.judged && len(f.tried) == 1 {
			e.noAnswer(now, f.endpoint)
		}
		f.judged = true
	}
}

// flowList is a list of flows in the order of their last packets.
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
