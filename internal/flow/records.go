package flow

// link adds a record to the list of a holding.
func (e *Engine) link(pos uint32, en *entry, holdingPos uint32) {
	h := &e.holdings[holdingPos]
	en.holding, en.next, en.prev = holdingPos, h.head, 0
	if h.head != 0 {
		e.flows.at(h.head).prev = pos
	}
	h.head = pos
	h.count++
}

// unlink removes a record from the list of its holding.
func (e *Engine) unlink(pos uint32) {
	en := e.flows.at(pos)
	if en.holding == 0 {
		return
	}
	h := &e.holdings[en.holding]
	if en.prev != 0 {
		e.flows.at(en.prev).next = en.next
	} else {
		h.head = en.next
	}
	if en.next != 0 {
		e.flows.at(en.next).prev = en.prev
	}
	h.count--
	en.holding, en.next, en.prev = 0, 0, 0
}

// recordOf returns the record that an entry stores.
func (e *Engine) recordOf(en *entry) Record {
	return Record{
		Caller: en.key.caller(), Service: en.key.service(), Protocol: en.key[12], State: en.state,
		Endpoint: en.endpoint, Sequence: en.sequence, Home: e.holdings[en.holding].key.home,
	}
}

// store stores a record. It returns false if the flow table has no space. overwrite is false
// for copies, because a record that was stored for a packet is newer than any copy.
func (e *Engine) store(r *Record, pos uint32, overwrite bool) (*entry, bool) {
	key, ok := makeKey(r.Caller, r.Service, r.Protocol)
	if !ok {
		return nil, false
	}
	hash := key.hash()
	entryPos, en := e.flows.find(&key, hash)
	switch {
	case en == nil:
		entryPos, en = e.add(&key, hash)
		if en == nil {
			return nil, false
		}
	case en.kind == entryRecord && !overwrite && en.holding == pos && en.flags&flagPlaced != 0:
		return en, true
	default:
		e.unlink(entryPos)
	}
	if en.kind != entryRecord || en.sequence != r.Sequence || en.endpoint != r.Endpoint {
		en.flags, en.mark, en.callerPackets, en.callerSince, en.began = 0, 0, 0, 0, e.clock
	}
	if overwrite {
		en.flags |= flagPlaced
	}
	en.kind, en.endpoint, en.sequence, en.state = entryRecord, r.Endpoint, r.Sequence, r.State
	e.link(entryPos, en, pos)
	return en, true
}
