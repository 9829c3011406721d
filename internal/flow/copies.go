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
// holding at most once per copyRequestInterval, and at most maxHoldingsPerRequest holdings per source.
func (e *Engine) requestCopies() {
	e.retryLostHoldings()
	e.prunePending()
	asked := map[string][]HoldingRef{}
	var order []string
	for _, pos := range e.pendingHoldings {
		h := &e.holdings[pos]
		if h.requestedAt != 0 && e.now-h.requestedAt < copyRequestInterval {
			continue
		}
		for _, source := range h.awaitedSources {
			refs := asked[source]
			if len(refs) == 0 {
				order = append(order, source)
			}
			if len(refs) < maxHoldingsPerRequest {
				asked[source] = append(refs, h.ref())
				h.requestedAt = max(e.now, 1)
			}
		}
	}
	for _, source := range order {
		e.lastBatchID++
		e.send(Message{To: source, Batch: &RecordBatch{
			ID: e.lastBatchID, TableIndex: e.table.Index(), Request: true, Holdings: asked[source],
		}})
	}
}

// prunePending removes holdings that wait for no source, and reports the end of a repair.
func (e *Engine) prunePending() {
	e.pendingHoldings = slices.DeleteFunc(e.pendingHoldings, func(pos uint32) bool {
		h := &e.holdings[pos]
		if h.key == (holdingKey{}) || !h.has(e.cfg.Host) {
			return true
		}
		h.awaitedSources = slices.DeleteFunc(h.awaitedSources, func(s string) bool { return !e.isListedOrLinked(s) })
		e.finishIfConfirmed(h)
		return len(h.awaitedSources) == 0
	})
	if len(e.pendingHoldings) == 0 && !e.allComplete {
		e.allComplete = true
		e.effects.RepairComplete = true
	}
}

// HandleRecordBatch handles a batch from another host: a request for copies, an answer to
// one, or records that were not requested.
func (e *Engine) HandleRecordBatch(now time.Duration, from string, b *RecordBatch) {
	e.setNow(now)
	if e.table == nil {
		return
	}
	if b.Request {
		// With an older table, this host may still place flows as a holder of these records.
		if e.table.Index() >= b.TableIndex {
			e.answerRequest(from, b)
		}
		return
	}
	if !e.storeCopies(b) {
		return
	}
	e.send(Message{To: from, Ack: &RecordAck{ID: b.ID}})
	for _, ref := range b.Holdings {
		e.confirmSource(from, ref)
	}
	if len(b.Holdings) > 0 {
		e.requestCopies()
	}
}

// storeCopies stores copies and reports whether the batch may be acknowledged. Otherwise the
// sender repeats it.
func (e *Engine) storeCopies(b *RecordBatch) bool {
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
		pos := e.holdingsByKey[holdingKey{svc.Name, uint32(key.hash()) & uint32(svc.BucketCount-1), r.Home}]
		if !e.isHolder(pos) {
			if len(b.Holdings) == 0 && e.table.Index() < b.TableIndex {
				return false // this host's table is older and does not have the holding yet
			}
			continue
		}
		if _, ok := e.storeRecord(r, pos, false); !ok {
			return false
		}
	}
	return true
}

// confirmSource notes that a source confirmed the current table for a holding.
func (e *Engine) confirmSource(from string, ref HoldingRef) {
	pos := e.holdingsByKey[holdingKey{ref.Service, ref.Bucket, ref.Home}]
	if pos == 0 {
		return
	}
	h := &e.holdings[pos]
	if !slices.Contains(h.awaitedSources, from) {
		return
	}
	if !ref.Complete && h.wasComplete && slices.Contains(ref.LostFrom, e.cfg.Host) {
		// The sender has the records stored since this host was lost, and this host has the others.
		h.receivedComplete = true
	}
	if ref.Complete {
		h.receivedComplete = true
	} else if h.has(from) && !h.receivedComplete && !h.complete && e.clock.since(h.waitingSince) < incompleteSourceTimeout {
		return // the source is still completing its own copy and gets another request
	}
	isFrom := func(s string) bool { return s == from }
	h.awaitedSources = slices.DeleteFunc(h.awaitedSources, isFrom)
	h.lostFrom = slices.DeleteFunc(h.lostFrom, isFrom)
	h.formerHolders = slices.DeleteFunc(h.formerHolders, isFrom)
	if !h.receivedComplete {
		h.addLostFrom(ref.LostFrom, e.cfg.Host)
	}
	e.finishIfConfirmed(h)
}

// answerRequest sends the records of the requested holdings. It never splits a holding over
// batches.
func (e *Engine) answerRequest(to string, request *RecordBatch) {
	batch := e.newBatch()
	for _, ref := range request.Holdings {
		pos := e.holdingsByKey[holdingKey{ref.Service, ref.Bucket, ref.Home}]
		if pos == 0 {
			ref.Complete = false
			batch.Holdings = append(batch.Holdings, ref)
			continue
		}
		h := &e.holdings[pos]
		for at := h.firstRecord; at != 0; at = e.flows.at(at).next {
			batch.Records = append(batch.Records, e.recordOf(e.flows.at(at)))
		}
		batch.Holdings = append(batch.Holdings, h.ref())
		if len(batch.Records) >= recordsPerBatch {
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
	e.lastBatchID++
	return &RecordBatch{ID: e.lastBatchID, TableIndex: e.table.Index()}
}

// sendBatch sends an answer and notes it for a handover, which waits for the acknowledgment.
func (e *Engine) sendBatch(to string, b *RecordBatch) {
	e.handover.noteSent(b.ID, to, b.Holdings)
	e.send(Message{To: to, Batch: b})
}

// HandleRecordAck handles the acknowledgment of a batch by another host.
func (e *Engine) HandleRecordAck(now time.Duration, from string, ack RecordAck) {
	e.setNow(now)
	e.confirmHandover(from, ack.ID)
	e.confirmPushedBatch(from, ack.ID)
}
