package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

const (
	// formerHolderTTL is how long a former holder keeps records without any packet, so that the
	// new holders can copy them.
	formerHolderTTL = 10 * time.Minute
	// incompleteSourceTimeout bounds the wait for a holder whose own copy is incomplete. When
	// all hosts start at once, none has the records and each would wait for the others.
	incompleteSourceTimeout = 10 * time.Second
	// copyRequestInterval is the time between requests for a copy that is not answered.
	copyRequestInterval = 500 * time.Millisecond
	// maxHoldingsPerRequest bounds the holdings in one request, and so the burst of records
	// in the answer.
	maxHoldingsPerRequest = 32
	// recordsPerBatch is the number of records at which a batch is sent.
	recordsPerBatch = 256
)

// holdingKey identifies a holding; see HoldingRef.
type holdingKey struct {
	service string
	bucket  uint32
	home    DomainID
}

// holding is the set of records of one bucket in one failure domain, which two hosts, the
// first and the second holder, store. Every host tracks the holders of all holdings, so that
// a new holder knows which hosts to copy from.
type holding struct {
	key           holdingKey
	first, second string
	// awaitedSources lists former holders that have not yet confirmed the current table. Until
	// then, one of them may still answer queries although it gets no new records, so the
	// new holders may not place flows.
	awaitedSources   []string
	complete         bool // this host has every record of the holding
	receivedComplete bool // a former holder sent a complete copy
	inTable          bool // the current table has holders for the bucket
	// hadHolder is true if the holding has had a holder, or may have had one before this engine
	// started. Otherwise no records exist, and a new holder is complete from the start.
	hadHolder bool
	// formerHolders lists the holders before the last change. lostFrom lists the holders that
	// became unreachable with the only complete copy; it can be recovered if they return,
	// for example when a cut-off failure domain is reachable again.
	formerHolders, lostFrom []string
	wasComplete             bool // this host had every record when it was last a holder
	// confirmed lists new holders that acknowledged the copy sent by this former holder.
	confirmed    []string
	lostAt       timestamp     // when no source had a complete copy; 0 if that did not happen
	requestedAt  time.Duration // last request for a copy
	waitingSince timestamp     // start of the wait for sources
	firstRecord  uint32        // first record in the list
	recordCount  uint32        // records in the list
}

// confirmedBy reports whether a new holder acknowledged this host's copy.
func (h *holding) confirmedBy(host string) bool { return slices.Contains(h.confirmed, host) }

// has reports whether a host is one of the two holders.
func (h *holding) has(host string) bool { return h.first == host || h.second == host }

// mayPlace reports whether this host may place flows in the holding. After a loss of the
// records it waits until the lost flows' first packets are no longer retransmitted.
func (h *holding) mayPlace(now timestamp) bool {
	if len(h.awaitedSources) > 0 {
		return false
	}
	return h.complete || (h.lostAt != 0 && now.since(h.lostAt) > timeWait)
}

// mayReportMissing reports whether this host may answer that no record exists. After a loss
// of the records that is safe only for first packets, and only once they are no longer retransmitted.
func (h *holding) mayReportMissing(first bool, now timestamp) bool {
	return h.complete || (first && h.lostAt != 0 && now.since(h.lostAt) > timeWait)
}

// isHolder reports whether this host is a holder of the holding at pos.
func (e *Engine) isHolder(pos uint32) bool { return pos != 0 && e.holdings[pos].has(e.cfg.Host) }

// updateHoldings updates all holdings to the holders in the current table.
func (e *Engine) updateHoldings() {
	atStart := !e.hadTable
	e.hadTable = true
	for i := range e.holdings {
		e.holdings[i].inTable = false
	}
	for _, name := range e.table.ServiceNames() {
		svc, ok := e.table.ServiceNamed(name)
		if !ok {
			continue
		}
		for number := range svc.BucketCount {
			b := svc.Buckets.Bucket(number)
			if b.Settled() && !svc.BalanceFirst {
				continue
			}
			pl := e.lookupPlanFor(&svc, &b)
			for _, step := range pl.steps[:pl.length] {
				e.updateHolding(&svc, number, step, atStart)
			}
		}
	}
	e.dropAbsentHoldings()
}

// updateHolding updates one holding to its holders in the current table.
func (e *Engine) updateHolding(svc *Service, number int, step lookupStep, atStart bool) {
	key := holdingKey{svc.Name, uint32(number), step.home}
	first, second, ok := e.table.Holders(svc.Name, number, step.endpoint)
	if !ok {
		first, second = "", ""
	}
	pos, known := e.holdingsByKey[key]
	if !known {
		pos = uint32(len(e.holdings))
		e.holdings = append(e.holdings, holding{key: key})
		e.holdingsByKey[key] = pos
	}
	h := &e.holdings[pos]
	wasPresent := h.firstRecord != 0 || known
	h.inTable = true
	switch {
	case !known && !atStart, known && !h.hadHolder:
		h.first, h.second, h.hadHolder = first, second, first != ""
		h.complete = h.has(e.cfg.Host)
		e.recentFlows.noteHolding(key)
	case !known:
		h.hadHolder = true
		e.initHolding(h, first, second)
	case first != h.first || second != h.second:
		e.changeHolders(pos, first, second)
	case wasPresent && len(h.awaitedSources) > 0:
		h.awaitedSources = slices.DeleteFunc(h.awaitedSources, func(s string) bool { return !e.isListedOrLinked(s) })
		e.finishIfConfirmed(h)
	}
}

// initHolding initializes a holding that existed before this engine started. If this
// host is one of its holders, it must copy the records from the other one.
func (e *Engine) initHolding(h *holding, first, second string) {
	h.first, h.second = first, second
	self := e.cfg.Host
	if !h.has(self) {
		h.complete = false
		return
	}
	other := first
	if first == self {
		other = second
	}
	h.complete = false
	if other != "" {
		h.awaitedSources = []string{other}
	}
	e.awaitSources(e.holdingsByKey[h.key])
}

// changeHolders assigns a holding to new holders. Former holders that are still listed
// or linked must confirm the new table first.
func (e *Engine) changeHolders(pos uint32, first, second string) {
	h := &e.holdings[pos]
	self := e.cfg.Host
	wasHolder := h.has(self)
	candidates := slices.Clone(h.awaitedSources)
	for _, s := range []string{h.first, h.second} {
		if s != "" && !slices.Contains(candidates, s) {
			candidates = append(candidates, s)
		}
	}
	h.first, h.second, h.confirmed, h.requestedAt = first, second, nil, 0
	e.hintEpoch++
	if !h.has(self) {
		h.awaitedSources = nil
		return
	}
	if !wasHolder {
		// Records from an earlier period as holder stay usable but are not a complete copy:
		// the holders since then may have placed more flows, and may be gone.
		h.wasComplete, h.complete, h.receivedComplete, h.lostAt, h.lostFrom = h.complete, false, false, 0, nil
	}
	h.formerHolders = candidates
	h.awaitedSources = h.awaitedSources[:0:0]
	for _, s := range candidates {
		continuing := s == first || s == second
		if s != self && e.isListedOrLinked(s) && !(wasHolder && h.complete && continuing) {
			h.awaitedSources = append(h.awaitedSources, s)
		}
	}
	e.awaitSources(pos)
}

// isListedOrLinked reports whether a host is in the current table or linked to this one, and
// so may still answer queries as a former holder.
func (e *Engine) isListedOrLinked(host string) bool {
	if _, ok := e.listedHosts[host]; ok {
		return true
	}
	p := e.peers[host]
	return p != nil && p.up
}

// clearHolding removes all records of a holding, since they will become outdated.
func (e *Engine) clearHolding(pos uint32) {
	for e.holdings[pos].firstRecord != 0 {
		e.removeEntry(e.holdings[pos].firstRecord)
	}
}

// awaitSources adds a holding to the pending ones, which wait for answers of their sources.
func (e *Engine) awaitSources(pos uint32) {
	h := &e.holdings[pos]
	if len(h.awaitedSources) == 0 {
		e.finishIfConfirmed(h)
		return
	}
	h.waitingSince = e.clock
	if !slices.Contains(e.pendingHoldings, pos) {
		e.pendingHoldings = append(e.pendingHoldings, pos)
	}
	e.allComplete = false
}

// finishIfConfirmed completes a holding, or marks it as lost, once it waits for no source.
func (e *Engine) finishIfConfirmed(h *holding) {
	if len(h.awaitedSources) > 0 || h.complete || !h.has(e.cfg.Host) {
		return
	}
	if h.receivedComplete {
		h.complete, h.lostAt, h.lostFrom = true, 0, nil
		return
	}
	if h.lostAt == 0 {
		h.lostAt = e.clock
		h.addLostFrom(h.formerHolders, e.cfg.Host)
		e.anyHoldingLost = true
		e.effects.HoldingsLost++
	}
}

// addLostFrom adds hosts other than this one to lostFrom.
func (h *holding) addLostFrom(hosts []string, self string) {
	for _, s := range hosts {
		if s != self && !slices.Contains(h.lostFrom, s) {
			h.lostFrom = append(h.lostFrom, s)
		}
	}
}

// retryLostHoldings requests lost records again from former holders that have returned.
func (e *Engine) retryLostHoldings() {
	if !e.anyHoldingLost {
		return
	}
	e.anyHoldingLost = false
	for i := range e.holdings {
		h := &e.holdings[i]
		if h.lostAt == 0 || !h.has(e.cfg.Host) {
			continue
		}
		e.anyHoldingLost = true
		for _, s := range h.lostFrom {
			if e.isListedOrLinked(s) && !slices.Contains(h.awaitedSources, s) {
				h.awaitedSources = append(h.awaitedSources, s)
				e.awaitSources(uint32(i))
			}
		}
	}
}

// dropAbsentHoldings removes the holdings of buckets that no longer need records. Once a
// bucket is settled, its table gives the same endpoints as the records did.
func (e *Engine) dropAbsentHoldings() {
	for i := 1; i < len(e.holdings); i++ {
		h := &e.holdings[i]
		if h.inTable || h.key == (holdingKey{}) {
			continue
		}
		e.moveRecords(h)
		e.clearHolding(uint32(i))
		delete(e.holdingsByKey, h.key)
		*h = holding{}
	}
	e.pendingHoldings = slices.DeleteFunc(e.pendingHoldings, func(pos uint32) bool {
		return len(e.holdings[pos].awaitedSources) == 0
	})
}

// moveRecords copies the records of a holding that is no longer in its bucket's lookup plan to the
// holders that are queried first now. This happens when a prepared move is cancelled.
func (e *Engine) moveRecords(old *holding) {
	svc, ok := e.table.ServiceNamed(old.key.service)
	if !ok || old.firstRecord == 0 {
		return
	}
	b := svc.Buckets.Bucket(int(old.key.bucket))
	pl := e.lookupPlanFor(&svc, &b)
	if pl.length == 0 {
		return // settled
	}
	key := holdingKey{old.key.service, old.key.bucket, pl.steps[0].home}
	var records []Record
	for at := old.firstRecord; at != 0; at = e.flows.at(at).next {
		r := e.recordOf(e.flows.at(at))
		r.Home = key.home
		records = append(records, r)
	}
	targets := map[string][]Record{}
	for i := range records {
		e.distributeRecord(&records[i], e.holdingsByKey[key], targets)
	}
	e.pushRecords(targets)
}

// dropGoneSource stops the wait for a host that is neither listed nor linked.
func (e *Engine) dropGoneSource(host string) {
	if e.isListedOrLinked(host) {
		return
	}
	for _, pos := range e.pendingHoldings {
		h := &e.holdings[pos]
		h.awaitedSources = slices.DeleteFunc(h.awaitedSources, func(s string) bool { return s == host })
		e.finishIfConfirmed(h)
	}
}

// ref returns the reference to the holding for messages.
func (h *holding) ref() HoldingRef {
	ref := HoldingRef{Service: h.key.service, Bucket: h.key.bucket, Home: h.key.home, Complete: h.complete}
	if !h.complete {
		ref.LostFrom = slices.Concat(h.lostFrom, h.formerHolders)
	}
	return ref
}

// endpointDomain returns the identifier of an endpoint's failure domain.
func (e *Engine) endpointDomain(id directory.EndpointID) (DomainID, bool) {
	ep, ok := e.endpoint(id)
	if !ok {
		return 0, false
	}
	return e.domainID(ep.Domain), true
}
