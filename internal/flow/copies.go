package flow

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rankOf returns the rank of a host for a hash, as in rendezvous hashing.
func rankOf(host string, hash uint64) uint64 {
	x := (xxhash.Sum64String(host) ^ hash) * 0x9e3779b97f4a7c15
	return x ^ x>>32
}

// requestCopies requests the records of incomplete holdings from their former holders: each
// holding at most once per requestInterval, and at most requestWindow holdings per source.
func (e *Engine) requestCopies() {
	e.reviveLost()
	e.prunePending()
	asked := map[string][]HoldingRef{}
	var order []string
	for _, pos := range e.pending {
		h := &e.holdings[pos]
		if h.asked != 0 && e.now-h.asked < requestInterval {
			continue
		}
		for _, source := range h.waiting {
			refs := asked[source]
			if len(refs) == 0 {
				order = append(order, source)
			}
			if len(refs) < requestWindow {
				asked[source] = append(refs, h.ref())
				h.asked = max(e.now, 1)
			}
		}
	}
	for _, source := range order {
		e.nextBatch++
		e.send(Message{To: source, Batch: &RecordBatch{
			ID: e.nextBatch, TableIndex: e.table.Index(), Request: true, Holdings: asked[source],
		}})
	}
}

// prunePending removes holdings that wait for no source, and reports the end of a repair.
func (e *Engine) prunePending() {
	e.pending = slices.DeleteFunc(e.pending, func(pos uint32) bool {
		h := &e.holdings[pos]
		if h.key == (holdingKey{}) || !h.has(e.cfg.Host) {
			return true
		}
		h.waiting = slices.DeleteFunc(h.waiting, func(s string) bool { return !e.isSource(s) })
		e.finishIfAnswered(h)
		return len(h.waiting) == 0
	})
	if len(e.pending) == 0 && !e.wasWhole {
		e.wasWhole = true
		e.out.RepairComplete = true
	}
}

// Records handles a batch from another host: a request for copies, an answer to one, or
// records that were not requested.
func (e *Engine) Records(now time.Duration, from string, b *RecordBatch) {
	e.setNow(now)
	if e.table == nil {
		return
	}
	if b.Request {
		// With an older table, this host may still place flows as a holder of these records.
		if e.table.Index() >= b.TableIndex {
			e.answer(from, b)
		}
		return
	}
	if !e.storeAll(b) {
		return
	}
	e.send(Message{To: from, Ack: &RecordAck{ID: b.ID}})
	for _, ref := range b.Holdings {
		e.answered(from, ref)
	}
	if len(b.Holdings) > 0 {
		e.requestCopies()
	}
}

// storeAll stores copies and reports whether the batch may be acknowledged. Otherwise the
// sender repeats it.
func (e *Engine) storeAll(b *RecordBatch) bool {
	for i := range b.Records {
		r := &b.Records[i]
		svc, ok := e.table.Service(r.Service, r.Protocol)
		if !ok {
			continue
		}
		key, ok := makeKey(r.Caller, r.Service, r.Protocol)
		if !ok {
			continue
		}
		pos := e.byKey[holdingKey{svc.Name, uint32(key.hash()) & uint32(svc.Buckets-1), r.Home}]
		if !e.holds(pos) {
			if len(b.Holdings) == 0 && e.table.Index() < b.TableIndex {
				return false // this host's table is older and does not have the holding yet
			}
			continue
		}
		if _, ok := e.store(r, pos, false); !ok {
			return false
		}
	}
	return true
}

// answered notes that a source confirmed the current table for a holding.
func (e *Engine) answered(from string, ref HoldingRef) {
	pos := e.byKey[holdingKey{ref.Service, ref.Bucket, ref.Home}]
	if pos == 0 {
		return
	}
	h := &e.holdings[pos]
	if !slices.Contains(h.waiting, from) {
		return
	}
	if !ref.Whole && h.kept && slices.Contains(ref.LostFrom, e.cfg.Host) {
		// The sender has the records stored since this host was lost, and this host has the others.
		h.gained = true
	}
	if ref.Whole {
		h.gained = true
	} else if h.has(from) && !h.gained && !h.whole && e.clock.since(h.since) < copyPatience {
		return // the source is still completing its own copy and gets another request
	}
	isFrom := func(s string) bool { return s == from }
	h.waiting = slices.DeleteFunc(h.waiting, isFrom)
	h.lostFrom = slices.DeleteFunc(h.lostFrom, isFrom)
	h.sources = slices.DeleteFunc(h.sources, isFrom)
	if !h.gained {
		h.addLost(ref.LostFrom, e.cfg.Host)
	}
	e.finishIfAnswered(h)
}

// answer sends the records of the requested holdings. It never splits a holding over batches.
func (e *Engine) answer(to string, request *RecordBatch) {
	batch := e.newBatch()
	for _, ref := range request.Holdings {
		pos := e.byKey[holdingKey{ref.Service, ref.Bucket, ref.Home}]
		if pos == 0 {
			ref.Whole = false
			batch.Holdings = append(batch.Holdings, ref)
			continue
		}
		h := &e.holdings[pos]
		for at := h.head; at != 0; at = e.flows.at(at).next {
			batch.Records = append(batch.Records, e.recordOf(e.flows.at(at)))
		}
		batch.Holdings = append(batch.Holdings, h.ref())
		if len(batch.Records) >= batchRecords {
			e.sendBatch(to, batch)
			batch = e.newBatch()
		}
	}
	if len(batch.Holdings) > 0 {
		e.sendBatch(to, batch)
	}
}

// newBatch returns an empty batch with a new ID.
func (e *Engine) newBatch() *RecordBatch {
	e.nextBatch++
	return &RecordBatch{ID: e.nextBatch, TableIndex: e.table.Index()}
}

// sendBatch sends an answer and notes it for a handover, which waits for the acknowledgment.
func (e *Engine) sendBatch(to string, b *RecordBatch) {
	e.handover.sent(b.ID, to, b.Holdings)
	e.send(Message{To: to, Batch: b})
}

// RecordAck handles the acknowledgment of a batch by another host.
func (e *Engine) RecordAck(now time.Duration, from string, ack RecordAck) {
	e.setNow(now)
	e.confirmHandover(from, ack.ID)
	e.confirmRecentFlows(from, ack.ID)
}
