package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

const (
	// retiredLife is how long a former holder keeps records for the new ones to copy.
	retiredLife = 10 * time.Minute
	// copyPatience ends the wait for a holder that is itself still waiting, as when all
	// hosts start at once and none has the records any more.
	copyPatience = 10 * time.Second
	// requestInterval is the time between requests for copies that are not answered.
	requestInterval = 500 * time.Millisecond
	// requestWindow bounds the holdings of one request, and so the burst of records.
	requestWindow = 32
	// batchRecords is the number of records after which a batch is sent.
	batchRecords = 256
)

// holdingKey names a holding; see HoldingRef.
type holdingKey struct {
	service string
	bucket  uint32
	home    DomainID
}

// holding is the records of one bucket in one failure domain. Every host keeps the
// holders of all holdings, to know where a new holder copies from.
type holding struct {
	key           holdingKey
	first, second string
	// waiting lists former holders that have not yet confirmed the present table. Until
	// they have, one of them may still answer for records that it no longer gets, so
	// that nothing may be placed with the new holders.
	waiting []string
	whole   bool // this host has every record
	gained  bool // an answer was whole
	present bool // in the present table
	// begun says that the holding has had a holder, or may have had one before this host's
	// start. Until then there are no records that a holder could lack.
	begun bool
	// sources lists the holders before the last change, and lostFrom those that took the
	// only whole copy with them. A failure domain that was cut off brings it back.
	sources, lostFrom []string
	kept              bool // this host had every record when it was a holder before
	// confirmed lists new holders that acknowledged a copy from this former holder.
	confirmed []string
	lostAt    stamp
	asked     time.Duration // last request for a copy
	since     stamp         // begin of the wait
	head      uint32        // records
	count     uint32
}

func (h *holding) confirmedBy(host string) bool { return slices.Contains(h.confirmed, host) }

func (h *holding) has(host string) bool { return h.first == host || h.second == host }

// mayPlace says whether this host may add records. A holding that was lost waits
// until retransmissions of the flows' first packets have ended.
func (h *holding) mayPlace(now stamp) bool {
	if len(h.waiting) > 0 {
		return false
	}
	return h.whole || (h.lostAt != 0 && now.since(h.lostAt) > closedLife)
}

// mayDeny says whether this host may say that there is no record. After a loss, that is
// safe only for first packets and only when their repetitions have ended.
func (h *holding) mayDeny(first bool, now stamp) bool {
	return h.whole || (first && h.lostAt != 0 && now.since(h.lostAt) > closedLife)
}

// holds says whether this host is a holder of the holding.
func (e *Engine) holds(pos uint32) bool { return pos != 0 && e.holdings[pos].has(e.cfg.Host) }

// rescanHoldings compares the holders of the present table with those of the
// last one that the engine saw.
func (e *Engine) rescanHoldings() {
	first := !e.started
	e.started = true
	for i := range e.holdings {
		e.holdings[i].present = false
	}
	for _, name := range e.table.Services() {
		svc, ok := e.table.ServiceNamed(name)
		if !ok {
			continue
		}
		for number := range svc.Buckets {
			b := svc.Table.Bucket(number)
			if b.Settled() && !svc.BalanceFirst {
				continue
			}
			pl := e.planFor(&svc, &b)
			for _, step := range pl.steps[:pl.length] {
				e.rescan(&svc, number, step, first)
			}
		}
	}
	e.dropAbsent()
}

// rescan notes the present holders of one holding.
func (e *Engine) rescan(svc *Service, number int, step planStep, atStart bool) {
	key := holdingKey{svc.Name, uint32(number), step.home}
	first, second, ok := e.table.Holders(svc.Name, number, step.endpoint)
	if !ok {
		first, second = "", ""
	}
	pos, known := e.byKey[key]
	if !known {
		pos = uint32(len(e.holdings))
		e.holdings = append(e.holdings, holding{key: key})
		e.byKey[key] = pos
	}
	h := &e.holdings[pos]
	wasPresent := h.head != 0 || known
	h.present = true
	switch {
	case !known && !atStart, known && !h.begun:
		h.first, h.second, h.begun = first, second, first != ""
		h.whole = h.has(e.cfg.Host)
		e.recentFlows.begin(key)
	case !known:
		h.begun = true
		e.startHolding(h, first, second)
	case first != h.first || second != h.second:
		e.changeHolders(pos, first, second)
	case wasPresent && len(h.waiting) > 0:
		h.waiting = slices.DeleteFunc(h.waiting, func(s string) bool { return !e.isSource(s) })
		e.finishIfAnswered(h)
	}
}

// startHolding sets up a holding that is older than this engine. As a holder of
// it the host must copy the records from the other one.
func (e *Engine) startHolding(h *holding, first, second string) {
	h.first, h.second = first, second
	me := e.cfg.Host
	if !h.has(me) {
		h.whole = false
		return
	}
	other := first
	if first == me {
		other = second
	}
	h.whole = false
	if other != "" {
		h.waiting = []string{other}
	}
	e.await(e.byKey[h.key])
}

// changeHolders moves a holding to new holders. Former ones that remain in the
// table, or can be reached, must confirm the new table first.
func (e *Engine) changeHolders(pos uint32, first, second string) {
	h := &e.holdings[pos]
	me := e.cfg.Host
	was := h.has(me)
	sources := slices.Clone(h.waiting)
	for _, s := range []string{h.first, h.second} {
		if s != "" && !slices.Contains(sources, s) {
			sources = append(sources, s)
		}
	}
	h.first, h.second, h.confirmed, h.asked = first, second, nil, 0
	e.epoch++
	if !h.has(me) {
		h.waiting = nil
		return
	}
	if !was {
		// Records that are left from an earlier time as holder stay usable. They are no whole
		// copy: holders between may have placed more, and may be gone.
		h.kept, h.whole, h.gained, h.lostAt, h.lostFrom = h.whole, false, false, 0, nil
	}
	h.sources = sources
	h.waiting = h.waiting[:0:0]
	for _, s := range sources {
		continuing := s == first || s == second
		if s != me && e.isSource(s) && !(was && h.whole && continuing) {
			h.waiting = append(h.waiting, s)
		}
	}
	e.await(pos)
}

// isSource says whether a former holder can still answer or act.
func (e *Engine) isSource(host string) bool {
	if _, ok := e.listed[host]; ok {
		return true
	}
	p := e.peers[host]
	return p != nil && p.up
}

// clearHolding removes records from an earlier time as holder, which may be stale.
func (e *Engine) clearHolding(pos uint32) {
	for e.holdings[pos].head != 0 {
		e.forget(e.holdings[pos].head)
	}
}

// await puts a holding on the list of those that need answers.
func (e *Engine) await(pos uint32) {
	h := &e.holdings[pos]
	if len(h.waiting) == 0 {
		e.finishIfAnswered(h)
		return
	}
	h.since = e.clock
	if !slices.Contains(e.pending, pos) {
		e.pending = append(e.pending, pos)
	}
	e.wasWhole = false
}

// finishIfAnswered ends the wait of a holding once no source is left.
func (e *Engine) finishIfAnswered(h *holding) {
	if len(h.waiting) > 0 || h.whole || !h.has(e.cfg.Host) {
		return
	}
	if h.gained {
		h.whole, h.lostAt, h.lostFrom = true, 0, nil
		return
	}
	if h.lostAt == 0 {
		h.lostAt = e.clock
		h.addLost(h.sources, e.cfg.Host)
		e.anyLost = true
		e.out.HoldingsLost++
	}
}

func (h *holding) addLost(hosts []string, me string) {
	for _, s := range hosts {
		if s != me && !slices.Contains(h.lostFrom, s) {
			h.lostFrom = append(h.lostFrom, s)
		}
	}
}

// reviveLost asks the holders with which records were lost once they can be reached again.
func (e *Engine) reviveLost() {
	if !e.anyLost {
		return
	}
	e.anyLost = false
	for i := range e.holdings {
		h := &e.holdings[i]
		if h.lostAt == 0 || !h.has(e.cfg.Host) {
			continue
		}
		e.anyLost = true
		for _, s := range h.lostFrom {
			if e.isSource(s) && !slices.Contains(h.waiting, s) {
				h.waiting = append(h.waiting, s)
				e.await(uint32(i))
			}
		}
	}
}

// dropAbsent forgets holdings of buckets that need no records any more. The records
// of a bucket that was settled agree with its table.
func (e *Engine) dropAbsent() {
	for i := 1; i < len(e.holdings); i++ {
		h := &e.holdings[i]
		if h.present || h.key == (holdingKey{}) {
			continue
		}
		e.moveRecords(h)
		e.clearHolding(uint32(i))
		delete(e.byKey, h.key)
		*h = holding{}
	}
	e.pending = slices.DeleteFunc(e.pending, func(pos uint32) bool {
		return len(e.holdings[pos].waiting) == 0
	})
}

// moveRecords gives the records of a holding that left its bucket's plan to the holders
// that are asked first now, as when a prepared move is cancelled.
func (e *Engine) moveRecords(old *holding) {
	svc, ok := e.table.ServiceNamed(old.key.service)
	if !ok || old.head == 0 {
		return
	}
	b := svc.Table.Bucket(int(old.key.bucket))
	pl := e.planFor(&svc, &b)
	if pl.length == 0 {
		return // settled
	}
	key := holdingKey{old.key.service, old.key.bucket, pl.steps[0].home}
	var records []Record
	for at := old.head; at != 0; at = e.flows.at(at).next {
		r := e.recordOf(e.flows.at(at))
		r.Home = key.home
		records = append(records, r)
	}
	targets := map[string][]Record{}
	for i := range records {
		e.spread(&records[i], e.byKey[key], targets)
	}
	e.push(targets)
}

// dropSource stops waiting for a host that is neither listed nor reachable.
func (e *Engine) dropSource(host string) {
	if e.isSource(host) {
		return
	}
	for _, pos := range e.pending {
		h := &e.holdings[pos]
		h.waiting = slices.DeleteFunc(h.waiting, func(s string) bool { return s == host })
		e.finishIfAnswered(h)
	}
}

// refOf returns the name of a holding in messages.
func (h *holding) ref() HoldingRef {
	ref := HoldingRef{Service: h.key.service, Bucket: h.key.bucket, Home: h.key.home, Whole: h.whole}
	if !h.whole {
		ref.LostFrom = slices.Concat(h.lostFrom, h.sources)
	}
	return ref
}

// endpointDomain returns the failure domain of an endpoint as in hand-offs.
func (e *Engine) endpointDomain(id directory.EndpointID) (DomainID, bool) {
	ep, ok := e.endpoint(id)
	if !ok {
		return 0, false
	}
	return e.domainID(ep.Domain), true
}
