package flow

// linkRecord adds a record to the list of a holding.
func (e *Engine) linkRecord(pos uint32, en *entry, holdingPos uint32) {
	h := &e.holdings[holdingPos]
	en.holding, en.next, en.prev = holdingPos, h.firstRecord, 0
	if h.firstRecord != 0 {
		e.flows.at(h.firstRecord).prev = pos
	}
	h.firstRecord = pos
	h.recordCount++
}

// unlinkRecord removes a record from the list of its holding.
func (e *Engine) unlinkRecord(pos uint32) {
	en := e.flows.at(pos)
	if en.holding == 0 {
		return
	}
	h := &e.holdings[en.holding]
	if en.prev != 0 {
		e.flows.at(en.prev).next = en.next
	} else {
		h.firstRecord = en.next
	}
	if en.next != 0 {
		e.flows.at(en.next).prev = en.prev
	}
	h.recordCount--
	en.holding, en.next, en.prev = 0, 0, 0
}

// recordOf returns the record that an entry stores.
func (e *Engine) recordOf(en *entry) Record {
	return Record{
		Caller: en.key.caller(), Service: en.key.service(), Protocol: en.key[12], State: en.state,
		Endpoint: en.endpoint, Sequence: en.sequence, Home: e.holdings[en.holding].key.home,
	}
}

// storeRecord stores a record. It returns false if the flow table has no space. overwrite is
// false for copies, because a record that was stored for a packet is newer than any copy.
func (e *Engine) storeRecord(r *Record, pos uint32, overwrite bool) (*entry, bool) {
	key, ok := makeKey(r.Caller, r.Service, r.Protocol)
	if !ok {
		return nil, false
	}
	hash := key.hash()
	entryPos, en := e.flows.find(&key, hash)
	switch {
	case en == nil:
		entryPos, en = e.insertEntry(&key, hash)
		if en == nil {
			return nil, false
		}
	case en.kind == entryRecord && !overwrite && en.holding == pos && en.flags&flagFromPacket != 0:
		return en, true
	default:
		e.unlinkRecord(entryPos)
	}
	if en.kind != entryRecord || en.sequence != r.Sequence || en.endpoint != r.Endpoint {
		en.flags, en.closedOrAskedAt, en.callerPackets, en.callerPacketsSince, en.createdAt = 0, 0, 0, 0, e.clock
	}
	if overwrite {
		en.flags |= flagFromPacket
	}
	en.kind, en.endpoint, en.sequence, en.state = entryRecord, r.Endpoint, r.Sequence, r.State
	e.linkRecord(entryPos, en, pos)
	return en, true
}
