package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

const (
	// recentFlowTTL covers the retransmissions of a first packet after 1, 3, 7 and 15 s
	// (RFC 6298). With 3.5 s, a flow that lost two retransmissions was placed on a second
	// endpoint. The same can still happen if a later retransmission follows a committed move.
	recentFlowTTL = 15500 * time.Millisecond
	// maxRecentFlows bounds the memory to 2 MB. It covers 4,200 new flows per second for
	// recentFlowTTL.
	maxRecentFlows = 1 << 16
	// pushRetryInterval is the time between transmissions of an unconfirmed batch.
	pushRetryInterval = 200 * time.Millisecond
)

// recentFlow is a flow whose first packet this host forwarded without a record.
type recentFlow struct {
	key       flowKey
	endpoint  directory.EndpointID
	sequence  uint32
	startedAt timestamp
}

// recentFlows keeps the flows that began recently without a record. When their bucket is
// prepared for a move, they get records, because their first packet may be retransmitted
// after the move is committed and must then find a record.
type recentFlows struct {
	ring        []recentFlow
	nextPos     int                     // position in ring that is overwritten next
	newHoldings map[holdingKey]struct{} // holdings that the current table update created
	unconfirmed map[uint64]*pushedBatch // by batch ID
}

// pushedBatch is a batch of pushed records that a holder has not confirmed.
type pushedBatch struct {
	to         string
	tableIndex uint64
	sentAt     time.Duration
	batch      *RecordBatch
}

// noteFlow adds the flow of an entry without a record.
func (rf *recentFlows) noteFlow(en *entry, now timestamp) {
	if en.kind != entryObserved {
		return
	}
	rf.add(recentFlow{key: en.key, endpoint: en.endpoint, sequence: en.sequence, startedAt: now})
}

// add adds a flow to the ring, in place of the oldest one if the ring is full.
func (rf *recentFlows) add(recent recentFlow) {
	if len(rf.ring) < maxRecentFlows {
		rf.ring = append(rf.ring, recent)
		return
	}
	rf.ring[rf.nextPos] = recent
	rf.nextPos = (rf.nextPos + 1) % maxRecentFlows
}

// noteHolding notes that a bucket whose flows had no records is now prepared for a move.
func (rf *recentFlows) noteHolding(key holdingKey) {
	if rf.newHoldings == nil {
		rf.newHoldings = map[holdingKey]struct{}{}
	}
	rf.newHoldings[key] = struct{}{}
}

// pushRecentFlows sends the records of recent flows to the holders of newly prepared
// buckets. The table index is acknowledged once the holders confirm.
func (e *Engine) pushRecentFlows() {
	rf := &e.recentFlows
	if len(rf.newHoldings) == 0 {
		return
	}
	records := map[string][]Record{}
	for i := range rf.ring {
		recent := &rf.ring[i]
		if e.clock.since(recent.startedAt) > recentFlowTTL {
			continue
		}
		e.addRecentRecord(recent, records)
	}
	clear(rf.newHoldings)
	e.pushRecords(records)
}

// addRecentRecord adds the record of a recent flow to records for both holders, or stores it if
// this host is one of them.
func (e *Engine) addRecentRecord(recent *recentFlow, records map[string][]Record) {
	svc, ok := e.table.Service(recent.key.service(), recent.key[12])
	if !ok {
		return
	}
	hash := recent.key.hash()
	if _, en := e.flows.find(&recent.key, hash); en != nil && en.flags&flagContinued != 0 && en.sequence == recent.sequence {
		return // the caller got a response and does not retransmit the first packet
	}
	number := hash & uint64(svc.BucketCount-1)
	b := svc.Buckets.Bucket(int(number))
	if b.Next == 0 {
		return
	}
	home, ok := e.endpointDomain(b.Next)
	key := holdingKey{svc.Name, uint32(number), home}
	if _, tracked := e.recentFlows.newHoldings[key]; !ok || !tracked {
		return
	}
	r := Record{
		Caller: recent.key.caller(), Service: recent.key.service(), Protocol: recent.key[12], State: RecordSent,
		Endpoint: recent.endpoint, Sequence: recent.sequence, Home: home,
	}
	e.distributeRecord(&r, e.holdingsByKey[key], records)
}

// distributeRecord adds a record to records for both holders of a holding, or stores it if
// this host is one of them.
func (e *Engine) distributeRecord(r *Record, pos uint32, records map[string][]Record) {
	h := &e.holdings[pos]
	for _, to := range []string{h.first, h.second} {
		switch to {
		case "":
		case e.cfg.Host:
			e.storeRecord(r, pos, false)
		default:
			records[to] = append(records[to], *r)
		}
	}
}

// pushRecords sends records to holders that did not request them. The table index is
// acknowledged once the holders confirm.
func (e *Engine) pushRecords(records map[string][]Record) {
	rf := &e.recentFlows
	for to, all := range records {
		for part := range slices.Chunk(all, recordsPerBatch) {
			b := e.newBatch()
			b.Records = part
			if rf.unconfirmed == nil {
				rf.unconfirmed = map[uint64]*pushedBatch{}
			}
			rf.unconfirmed[b.ID] = &pushedBatch{to: to, tableIndex: e.table.Index(), sentAt: e.now, batch: b}
			e.send(Message{To: to, Batch: b})
		}
	}
}

// updateAcknowledged updates the table index up to which all pushed records are confirmed.
func (e *Engine) updateAcknowledged() {
	if e.table == nil {
		return
	}
	index := e.table.Index()
	for _, o := range e.recentFlows.unconfirmed {
		index = min(index, o.tableIndex-1)
	}
	e.effects.AcknowledgedIndex = max(e.effects.AcknowledgedIndex, index)
}

// tickPushedBatches repeats unconfirmed batches and drops those to hosts that are gone.
func (e *Engine) tickPushedBatches() {
	for id, o := range e.recentFlows.unconfirmed {
		switch {
		case !e.isListedOrLinked(o.to):
			delete(e.recentFlows.unconfirmed, id)
		case e.now-o.sentAt >= pushRetryInterval:
			o.sentAt = e.now
			e.send(Message{To: o.to, Batch: o.batch})
		}
	}
	e.updateAcknowledged()
}

// dropPushedBatches drops the unconfirmed batches to a host that is gone.
func (e *Engine) dropPushedBatches(host string) {
	for id, o := range e.recentFlows.unconfirmed {
		if o.to == host && !e.isListedOrLinked(host) {
			delete(e.recentFlows.unconfirmed, id)
		}
	}
	e.updateAcknowledged()
}

// confirmPushedBatch notes that a holder stored a pushed batch.
func (e *Engine) confirmPushedBatch(from string, id uint64) {
	if o := e.recentFlows.unconfirmed[id]; o != nil && o.to == from {
		delete(e.recentFlows.unconfirmed, id)
		e.updateAcknowledged()
	}
}
