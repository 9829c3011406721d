package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

const (
	// retiredLife is how long a former holder keeps records without any packet, so that the
	// new holders can copy them.
	retiredLife = 10 * time.Minute
	// copyPatience bounds the wait for a holder whose own copy is incomplete. When all hosts
	// start at once, none has the records and each would wait for the others.
	copyPatience = 10 * time.Second
	// requestInterval is the time between requests for a copy that is not answered.
	requestInterval = 500 * time.Millisecond
	// requestWindow bounds the holdings in one request, and so the burst of records in the answer.
	requestWindow = 32
	// batchRecords is the number of records at which a batch is sent.
	batchRecords = 256
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
	// waiting lists former holders that have not yet confirmed the current table. Until
	// then, one of them may still answer queries although it gets no new records, so the
	// new holders may not place flows.
	waiting []string
	whole   bool // this host has every record of the holding
	gained  bool // a former holder sent a complete copy
	present bool // the current table has holders for the bucket
	// begun is true if the holding has had a holder, or may have had one before this engine
	// started. Otherwise no records exist, and a new holder is complete from the start.
	begun bool
	// sources lists the holders before the last change. lostFrom lists the holders that
	// became unreachable with the only complete copy; it can be recovered if they return,
	// for example when a cut-off failure domain is reachable again.
	sources, lostFrom []string
	kept              bool // this host had every record when it was last a holder
	// confirmed lists new holders that acknowledged the copy sent by this former holder.
	confirmed []string
	lostAt    stamp         // when no source had a complete copy; 0 if that did not happen
	asked     time.Duration // last request for a copy
	since     stamp         // start of the wait for sources
	head      uint32        // first record in the list
	count     uint32        // records in the list
}

// confirmedBy reports whether a new holder acknowledged this host's copy.
func (h *holding) confirmedBy(host string) bool { return slices.Contains(h.confirmed, host) }

// has reports whether a host is one of the two holders.
func (h *holding) has(host string) bool { return h.first == host || h.second == host }

// mayPlace reports whether this host may place flows in the holding. After a loss of the
// records it waits until the lost flows' first packets are no longer retransmitted.
func (h *holding) mayPlace(now stamp) bool {
	if len(h.waiting) > 0 {
		return false
	}
	return h.whole || (h.lostAt != 0 && now.since(h.lostAt) > closedLife)
}

// mayDeny reports whether this host may answer that no record exists. After a loss of the
// records that is safe only for first packets, and only once they are no longer retransmitted.
func (h *holding) mayDeny(first bool, now stamp) bool {
	return h.whole || (first && h.lostAt != 0 && now.since(h.lostAt) > closedLife)
}

// holds reports whether this host is a holder of the holding at pos.
func (e *Engine) holds(pos uint32) bool { return pos != 0 && e.holdings[pos].has(e.cfg.Host) }

// rescanHoldings updates all holdings to the holders in the current table.
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

// rescan updates one holding to its holders in the current table.
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

// startHolding initializes a holding that existed before this engine started. If this
// host is one of its holders, it must copy the records from the other one.
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

// changeHolders assigns a holding to new holders. Former holders that are still listed
// or reachable must confirm the new table first.
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
		// Records from an earlier period as holder stay usable but are not a complete copy:
		// the holders since then may have placed more flows, and may be gone.
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

// isSource reports whether a host is listed or reachable, and so may still answer queries
// as a former holder.
func (e *Engine) isSource(host string) bool {
	if _, ok := e.listed[host]; ok {
		return true
	}
	p := e.peers[host]
	return p != nil && p.up
}

// clearHolding removes all records of a holding, since they will become outdated.
func (e *Engine) clearHolding(pos uint32) {
	for e.holdings[pos].head != 0 {
		e.forget(e.holdings[pos].head)
	}
}

// await adds a holding to the pending ones, which wait for answers of their sources.
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

// finishIfAnswered completes a holding, or marks it as lost, once it waits for no source.
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

// addLost adds hosts other than this one to lostFrom.
func (h *holding) addLost(hosts []string, me string) {
	for _, s := range hosts {
		if s != me && !slices.Contains(h.lostFrom, s) {
			h.lostFrom = append(h.lostFrom, s)
		}
	}
}

// reviveLost requests lost records again from holders that have become reachable.
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

// dropAbsent removes the holdings of buckets that no longer need records. Once a bucket is
// settled, its table gives the same endpoints as the records did.
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

// moveRecords copies the records of a holding that is no longer in its bucket's plan to the
// holders that are queried first now. This happens when a prepared move is cancelled.
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

// dropSource stops the wait for a host that is neither listed nor reachable.
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

// ref returns the reference to the holding for messages.
func (h *holding) ref() HoldingRef {
	ref := HoldingRef{Service: h.key.service, Bucket: h.key.bucket, Home: h.key.home, Whole: h.whole}
	if !h.whole {
		ref.LostFrom = slices.Concat(h.lostFrom, h.sources)
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
