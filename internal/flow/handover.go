package flow

import (
	"time"
)

// handover tracks the transfer of this host's records during a graceful stop.
type handover struct {
	expected map[handoverKey]struct{} // holdings that a new holder has not confirmed
	batches  map[uint64]handoverBatch // unacknowledged batches by ID
	lastPush time.Duration            // last copy sent without a request
	done     bool
}

type handoverKey struct {
	to  string
	key holdingKey
}

type handoverBatch struct {
	to       string
	holdings []HoldingRef
}

// Stop begins a graceful stop (docs/design.md, section 5.2, rule 10). The caller must have the
// host removed from the directory. The new holders then copy the records from this host, which
// continues to forward packets.
func (e *Engine) Stop(now time.Duration) {
	e.setNow(now)
	e.stopping = true
	e.handover.expected = map[handoverKey]struct{}{}
	e.handover.batches = map[uint64]handoverBatch{}
	e.handover.lastPush = e.now
}

// Stopping reports whether Stop was called.
func (e *Engine) Stopping() bool { return e.stopping }

// updateHandover updates the list of holdings that new holders must still confirm. It lists
// only holdings of which this host is no longer a holder in the table.
func (e *Engine) updateHandover() {
	if !e.stopping || e.table == nil {
		return
	}
	clear(e.handover.expected)
	for i := range e.holdings {
		h := &e.holdings[i]
		if h.recordCount == 0 || h.has(e.cfg.Host) {
			continue
		}
		for _, to := range []string{h.first, h.second} {
			k := handoverKey{to, h.key}
			if to != "" && !h.confirmedBy(to) && e.isListedOrLinked(to) {
				e.handover.expected[k] = struct{}{}
			}
		}
	}
}

// noteSent notes the holdings that a batch completes.
func (ho *handover) noteSent(id uint64, to string, holdings []HoldingRef) {
	if ho.batches != nil {
		ho.batches[id] = handoverBatch{to, holdings}
	}
}

// confirmHandover removes the holdings of an acknowledged batch from the expected ones.
func (e *Engine) confirmHandover(from string, id uint64) {
	b, ok := e.handover.batches[id]
	if !ok || b.to != from {
		return
	}
	delete(e.handover.batches, id)
	for _, ref := range b.holdings {
		key := holdingKey{ref.Service, ref.Bucket, ref.Home}
		if pos := e.holdingsByKey[key]; pos != 0 {
			h := &e.holdings[pos]
			h.confirmed = append(h.confirmed, from)
		}
		delete(e.handover.expected, handoverKey{from, key})
	}
}

// pushHandover sends copies that a new holder has not requested, for example because the
// holders changed again while this host stops.
func (e *Engine) pushHandover() {
	ho := &e.handover
	if e.now-ho.lastPush < 2*copyRequestInterval {
		return
	}
	ho.lastPush = e.now
	requests := map[string]*RecordBatch{}
	for k := range ho.expected {
		r := requests[k.to]
		if r == nil {
			r = &RecordBatch{}
			requests[k.to] = r
		}
		if len(r.Holdings) < maxHoldingsPerRequest {
			r.Holdings = append(r.Holdings, HoldingRef{Service: k.key.service, Bucket: k.key.bucket, Home: k.key.home})
		}
	}
	for to, r := range requests {
		e.answerRequest(to, r)
	}
}

// tickHandover reports the end of the handover once this host is a holder of nothing and
// every new holder has confirmed its copy.
func (e *Engine) tickHandover() {
	if !e.stopping || e.handover.done || e.table == nil {
		return
	}
	e.updateHandover()
	if len(e.handover.expected) > 0 {
		e.pushHandover()
		return
	}
	for i := range e.holdings {
		if h := &e.holdings[i]; h.inTable && h.has(e.cfg.Host) {
			return
		}
	}
	e.handover.done = true
	e.effects.HandoverComplete = true
	for i := range e.holdings {
		h := &e.holdings[i]
		if h.inTable && h.first == "" {
			e.effects.FlowsLost += int(h.recordCount)
		}
	}
	for name, p := range e.peers {
		if p.up {
			e.send(Message{To: name, Done: &HandoverDone{Host: e.cfg.Host, Incarnation: e.cfg.Incarnation}})
		}
	}
}

// HandleHandoverDone handles the message that another host has handed over all records and is
// about to exit.
func (e *Engine) HandleHandoverDone(now time.Duration, d HandoverDone) {
	e.setNow(now)
	if p := e.peers[d.Host]; p != nil && p.incarnation == d.Incarnation {
		p.up = false
		e.hintEpoch++
		e.dropGoneSource(d.Host)
	}
}
