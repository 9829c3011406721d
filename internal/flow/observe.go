package flow

import "cassiawood/internal/directory"

// observe returns the entry of a flow of a settled bucket, or nil. The entry serves only to
// detect silent flows; the endpoint comes from the table.
func (e *Engine) observe(q *query, id directory.EndpointID) *entry {
	_, en := e.flows.find(&q.key, q.hash)
	if en == nil {
		if q.p.Direction == FromBackend && q.p.Flags&RST != 0 {
			return nil
		}
		if _, en = e.add(&q.key, q.hash); en == nil {
			return nil
		}
		en.kind = entryObserved
		en.endpoint = id
	}
	if en.kind == entryHint {
		en.kind = entryObserved
	}
	if en.kind == entryObserved && (en.endpoint != id || (q.isFirst() && en.sequence != q.p.Sequence)) {
		en.flags &^= flagBegun
		en.endpoint, en.began, en.callerPackets, en.callerSince, en.fromBackend = id, e.clock, 0, 0, 0
	}
	return en
}

// touchCaller updates an entry for a packet from the caller.
func (e *Engine) touchCaller(q *query, en *entry) {
	last := en.fromCaller
	en.fromCaller = e.clock
	if q.p.Protocol != ProtocolTCP {
		return
	}
	if q.isFirst() {
		if en.kind != entryRecord {
			en.sequence = q.p.Sequence
		}
		en.flags |= flagSYN
		e.recentFlows.note(en, e.clock)
	}
	if !q.isFirst() {
		en.flags |= flagBegun
	}
	if q.p.Flags&ACK != 0 {
		en.ack = q.p.Ack
	}
	// A pure acknowledgment expects no response, and a first packet without a response does
	// not make a silent flow.
	if q.p.PayloadLen == 0 && q.p.Flags&FIN == 0 {
		return
	}
	if en.callerPackets == 0 || e.clock.since(last) > callerGap {
		en.callerPackets, en.callerSince = 0, e.clock
	}
	if en.callerPackets < 1<<16-1 {
		en.callerPackets++
	}
}

// touchBackend updates an entry for a packet from the backend server.
func (e *Engine) touchBackend(q *query, en *entry) {
	en.fromBackend = e.clock
	en.callerPackets, en.callerSince = 0, 0
	e.silent.noteAnswer(en, e.clock)
}
