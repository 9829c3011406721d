package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

const (
	// recentLife covers the retransmissions of a first packet after 1, 3, 7 and 15 s
	// (RFC 6298). With 3.5 s, a flow that lost two retransmissions was placed on a second
	// endpoint. The same can still happen if a later retransmission follows a committed move.
	recentLife = 15500 * time.Millisecond
	// recentLimit bounds the memory to 2 MB. It covers 4,200 new flows per second for
	// recentLife.
	recentLimit = 1 << 16
	// recentRetry is the time between transmissions of an unconfirmed batch.
	recentRetry = 200 * time.Millisecond
)

// recentFlow is a flow whose first packet this host forwarded without a record.
type recentFlow struct {
	key      flowKey
	endpoint directory.EndpointID
	sequence uint32
	at       stamp
}

// recentFlows keeps the flows that began recently without a record. When their bucket is
// prepared for a move, they get records, because their first packet may be retransmitted
// after the move is committed and must then find a record.
type recentFlows struct {
	ring    []recentFlow
	next    int                     // position in ring that is overwritten next
	tracked map[holdingKey]struct{} // holdings that the current table update created
	open    map[uint64]*openBatch   // by batch ID
}

// openBatch is a batch of pushed records that a holder has not confirmed.
type openBatch struct {
	to    string
	index uint64
	sent  time.Duration
	batch *RecordBatch
}

// note adds the flow of an entry without a record.
func (em *recentFlows) note(en *entry, now stamp) {
	if en.kind != entryObserved {
		return
	}
	em.add(recentFlow{key: en.key, endpoint: en.endpoint, sequence: en.sequence, at: now})
}

// add adds a flow to the ring, in place of the oldest one if the ring is full.
func (em *recentFlows) add(one recentFlow) {
	if len(em.ring) < recentLimit {
		em.ring = append(em.ring, one)
		return
	}
	em.ring[em.next] = one
	em.next = (em.next + 1) % recentLimit
}

// begin notes that a bucket whose flows had no records is now prepared for a move.
func (em *recentFlows) begin(key holdingKey) {
	if em.tracked == nil {
		em.tracked = map[holdingKey]struct{}{}
	}
	em.tracked[key] = struct{}{}
}

// pushRecentFlows sends the records of recent flows to the holders of newly prepared
// buckets. The table index is acknowledged once the holders confirm.
func (e *Engine) pushRecentFlows() {
	em := &e.recentFlows
	if len(em.tracked) == 0 {
		return
	}
	records := map[string][]Record{}
	for i := range em.ring {
		one := &em.ring[i]
		if e.clock.since(one.at) > recentLife {
			continue
		}
		e.addressRecent(one, records)
	}
	clear(em.tracked)
	e.push(records)
}

// addressRecent adds the record of a recent flow to records for both holders, or stores it if
// this host is one of them.
func (e *Engine) addressRecent(one *recentFlow, records map[string][]Record) {
	svc, ok := e.table.Service(one.key.service(), one.key[12])
	if !ok {
		return
	}
	hash := one.key.hash()
	if _, en := e.flows.find(&one.key, hash); en != nil && en.flags&flagBegun != 0 && en.sequence == one.sequence {
		return // the caller got a response and does not retransmit the first packet
	}
	number := hash & uint64(svc.Buckets-1)
	b := svc.Table.Bucket(int(number))
	if b.Next == 0 {
		return
	}
	home, ok := e.endpointDomain(b.Next)
	key := holdingKey{svc.Name, uint32(number), home}
	if _, tracked := e.recentFlows.tracked[key]; !ok || !tracked {
		return
	}
	r := Record{
		Caller: one.key.caller(), Service: one.key.service(), Protocol: one.key[12], State: Sent,
		Endpoint: one.endpoint, Sequence: one.sequence, Home: home,
	}
	e.spread(&r, e.byKey[key], records)
}

// spread adds a record to records for both holders of a holding, or stores it if this host
// is one of them.
func (e *Engine) spread(r *Record, pos uint32, records map[string][]Record) {
	h := &e.holdings[pos]
	for _, to := range []string{h.first, h.second} {
		switch to {
		case "":
		case e.cfg.Host:
			e.store(r, pos, false)
		default:
			records[to] = append(records[to], *r)
		}
	}
}

// push sends records to holders that did not request them. The table index is acknowledged
// once the holders confirm.
func (e *Engine) push(records map[string][]Record) {
	em := &e.recentFlows
	for to, all := range records {
		for part := range slices.Chunk(all, batchRecords) {
			b := e.newBatch()
			b.Records = part
			if em.open == nil {
				em.open = map[uint64]*openBatch{}
			}
			em.open[b.ID] = &openBatch{to: to, index: e.table.Index(), sent: e.now, batch: b}
			e.send(Message{To: to, Batch: b})
		}
	}
}

// acknowledge updates the table index up to which all pushed records are confirmed.
func (e *Engine) acknowledge() {
	if e.table == nil {
		return
	}
	index := e.table.Index()
	for _, o := range e.recentFlows.open {
		index = min(index, o.index-1)
	}
	e.out.Acknowledge = max(e.out.Acknowledge, index)
}

// tickRecentFlows repeats unconfirmed batches and drops those to hosts that are gone.
func (e *Engine) tickRecentFlows() {
	for id, o := range e.recentFlows.open {
		switch {
		case !e.isSource(o.to):
			delete(e.recentFlows.open, id)
		case e.now-o.sent >= recentRetry:
			o.sent = e.now
			e.send(Message{To: o.to, Batch: o.batch})
		}
	}
	e.acknowledge()
}

// dropRecentTarget drops the unconfirmed batches to a host that is gone.
func (e *Engine) dropRecentTarget(host string) {
	for id, o := range e.recentFlows.open {
		if o.to == host && !e.isSource(host) {
			delete(e.recentFlows.open, id)
		}
	}
	e.acknowledge()
}

// confirmRecentFlows notes that a holder stored a pushed batch.
func (e *Engine) confirmRecentFlows(from string, id uint64) {
	if o := e.recentFlows.open[id]; o != nil && o.to == from {
		delete(e.recentFlows.open, id)
		e.acknowledge()
	}
}
