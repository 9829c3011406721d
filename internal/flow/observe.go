package flow

import "cassiawood/internal/directory"

// observeFlow returns the entry of a flow of a settled bucket, or nil. The entry serves only to
// detect silent flows; the endpoint comes from the table.
func (e *Engine) observeFlow(pc *packetContext, id directory.EndpointID) *entry {
	_, en := e.flows.find(&pc.key, pc.hash)
	if en == nil {
		if pc.packet.Direction == FromBackend && pc.packet.Flags&RST != 0 {
			return nil
		}
		if _, en = e.insertEntry(&pc.key, pc.hash); en == nil {
			return nil
		}
		en.kind = entryObserved
		en.endpoint = id
	}
	if en.kind == entryHint {
		en.kind = entryObserved
	}
	if en.kind == entryObserved && (en.endpoint != id || (pc.isFirst() && en.sequence != pc.packet.Sequence)) {
		en.flags &^= flagContinued
		en.endpoint, en.createdAt, en.callerPackets, en.callerPacketsSince, en.lastFromBackend = id, e.clock, 0, 0, 0
	}
	return en
}

// noteCallerPacket updates an entry for a packet from the caller.
func (e *Engine) noteCallerPacket(pc *packetContext, en *entry) {
	last := en.lastFromCaller
	en.lastFromCaller = e.clock
	if pc.packet.Protocol != ProtocolTCP {
		return
	}
	if pc.isFirst() {
		if en.kind != entryRecord {
			en.sequence = pc.packet.Sequence
		}
		en.flags |= flagSYN
		e.recentFlows.noteFlow(en, e.clock)
	}
	if !pc.isFirst() {
		en.flags |= flagContinued
	}
	if pc.packet.Flags&ACK != 0 {
		en.ack = pc.packet.Ack
	}
	// A pure acknowledgment expects no response, and a first packet without a response does
	// not make a silent flow.
	if pc.packet.PayloadLen == 0 && pc.packet.Flags&FIN == 0 {
		return
	}
	if en.callerPackets == 0 || e.clock.since(last) > maxCallerGap {
		en.callerPackets, en.callerPacketsSince = 0, e.clock
	}
	if en.callerPackets < 1<<16-1 {
		en.callerPackets++
	}
}

// noteBackendPacket updates an entry for a packet from the backend server.
func (e *Engine) noteBackendPacket(pc *packetContext, en *entry) {
	en.lastFromBackend = e.clock
	en.callerPackets, en.callerPacketsSince = 0, 0
	e.silence.noteResponse(en, e.clock)
}
