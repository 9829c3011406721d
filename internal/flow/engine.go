package flow

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/directory"
)

const (
	// hintTTL bounds how long a hint from a holder is used. It is below timeWait, so
	// that no host uses a hint after the record was replaced.
	hintTTL = 30 * time.Second
	// timeWait is how long a closed flow keeps its caller port, as in TCP's TIME-WAIT:
	// twice the usual maximum segment lifetime of 30 s.
	timeWait = 60 * time.Second
	// closedRecordTTL is the time after which the record of a closed flow is deleted. Later
	// packets of the flow are resolved as if it never had a record.
	closedRecordTTL = 120 * time.Second
	// idleRecordTTL is the time without any packet after which a record is deleted. It
	// equals the lifetime of tombstones and exceeds the 2 h default of TCP keepalive.
	idleRecordTTL = 24 * time.Hour
	// idleEntryTTL is the time without any packet after which other entries are deleted.
	// That costs a query to a holder or some evidence of silence, never a flow.
	idleEntryTTL = 5 * time.Minute
	// maxHops bounds the hand-offs of a packet. It admits a chain over both holders of
	// MaxAskedDomains domains.
	maxHops = 2*MaxAskedDomains + 2
	// endpointCacheSize is the size of the direct-mapped cache of endpoints, a power of two. A
	// map lookup instead would take a tenth of the time to resolve a packet of a known flow.
	endpointCacheSize = 256
	// maxSweptPerTick bounds the flow table entries that one tick examines.
	maxSweptPerTick = 4096
)

// peer is the state of another entry host.
type peer struct {
	incarnation uint64
	domain      string
	up          bool
	fenced      bool
}

// Engine resolves the packets of one entry host. It is not safe for concurrent use; a
// single duty calls it.
type Engine struct {
	cfg       Config
	table     Table
	hadTable  bool // a table was set
	now       time.Duration
	clock     timestamp // now as a timestamp
	hintEpoch uint16    // incremented when all hints become invalid

	flows           flowTable
	holdings        []holding // position 0 is unused
	holdingsByKey   map[holdingKey]uint32
	pendingHoldings []uint32 // positions of holdings that wait for sources
	allComplete     bool     // no repair is in progress
	anyHoldingLost  bool     // some holding may be lost

	peers       map[string]*peer
	listedHosts map[string]directory.Host // hosts in the current table
	domainIDs   map[string]DomainID

	services       map[uint64]*Service // lookups in the current table, by packed address
	backends       map[uint64]*Service // by packed address of an endpoint that is not removed
	endpointCache  [endpointCacheSize]*directory.Endpoint
	scratchHandoff Handoff // hand-off option of the packet being resolved

	lastContact      time.Duration
	unfencedAt       time.Duration // when the host was last unfenced
	endpointStatuses map[directory.EndpointID]endpointStatus
	stopping         bool
	handover         handover
	recentFlows      recentFlows
	silence          silenceDetector
	hintBudget       hintBudget
	lastBatchID      uint64
	effects          Effects
}

// New returns an engine without a table. It drops all packets until SetTable is called.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:              cfg,
		flows:            newFlowTable(cfg.Capacity, cfg.Seed),
		holdings:         make([]holding, 1),
		holdingsByKey:    map[holdingKey]uint32{},
		peers:            map[string]*peer{},
		listedHosts:      map[string]directory.Host{},
		domainIDs:        map[string]DomainID{},
		services:         map[uint64]*Service{},
		backends:         map[uint64]*Service{},
		endpointStatuses: map[directory.EndpointID]endpointStatus{},
		allComplete:      true,
	}
	e.silence.init()
	e.unfencedAt = -unfenceDelay
	return e
}

// setNow advances the engine's clock; it never goes back.
func (e *Engine) setNow(now time.Duration) {
	if now > e.now {
		e.now = now
	}
	e.clock = timestampOf(e.now)
}

// domainID returns the hash of a failure domain's name.
func (e *Engine) domainID(name string) DomainID {
	if id, ok := e.domainIDs[name]; ok {
		return id
	}
	id := DomainIDOf(name)
	e.domainIDs[name] = id
	return id
}

// DomainIDOf returns the identifier of a failure domain in hand-offs and records.
func DomainIDOf(name string) DomainID { return DomainID(uint32(xxhash.Sum64String(name))) }

// SetTable replaces the table by the directory at a new index. The table may be the same
// object as before, with further entries applied. Call it after each entry that changes
// hosts, endpoints or moves: a host that misses its own removal and return would treat its
// old records as a complete copy.
func (e *Engine) SetTable(now time.Duration, t Table) {
	e.setNow(now)
	e.table = t
	clear(e.services)
	clear(e.backends)
	clear(e.endpointCache[:])
	clear(e.listedHosts)
	for _, h := range t.Hosts() {
		e.listedHosts[h.Name] = h
	}
	e.updateHoldings()
	e.updateHandover()
	e.pushRecentFlows()
	e.updateAcknowledged()
	e.requestCopies()
}

// PeerUp records that a link to an incarnation of another entry host is established.
func (e *Engine) PeerUp(now time.Duration, host string, incarnation uint64, domain string) {
	e.setNow(now)
	e.peers[host] = &peer{incarnation: incarnation, domain: domain, up: true}
	e.requestCopies()
}

// PeerDown records that the link to a host is lost. Queries then go to the other holder.
// The host remains a holder until the table removes it.
func (e *Engine) PeerDown(now time.Duration, host string) {
	e.setNow(now)
	if p := e.peers[host]; p != nil {
		p.up = false
	}
	e.hintEpoch++
	e.dropGoneSource(host)
	e.dropPushedBatches(host)
	e.updateHandover()
}

// SetPeerFenced records whether another host is fenced because its table is too old.
func (e *Engine) SetPeerFenced(now time.Duration, host string, fenced bool) {
	e.setNow(now)
	if p := e.peers[host]; p != nil {
		p.fenced = fenced
	}
}

// Tick does the periodic work that is due. The work per call is bounded.
func (e *Engine) Tick(now time.Duration) {
	e.setNow(now)
	e.sweep(maxSweptPerTick)
	e.requestCopies()
	e.tickPushedBatches()
	e.tickSilence()
	e.tickHandover()
}

// TakeEffects returns the effects since its last call.
func (e *Engine) TakeEffects() Effects {
	out := e.effects
	e.effects = Effects{AcknowledgedIndex: out.AcknowledgedIndex}
	return out
}

// FlowCounts returns the number of flows in the flow table, and how many of them are records.
func (e *Engine) FlowCounts() (flows, records int) {
	for i := range e.holdings {
		records += int(e.holdings[i].recordCount)
	}
	return e.flows.length, records
}

// endpoint finds an endpoint in the current table, through the cache.
func (e *Engine) endpoint(id directory.EndpointID) (*directory.Endpoint, bool) {
	slot := &e.endpointCache[id%endpointCacheSize]
	if ep := *slot; ep != nil && ep.ID == id {
		return ep, true
	}
	ep, ok := e.table.Endpoint(id)
	if ok {
		*slot = ep
	}
	return ep, ok
}

// send queues a message for the next call of TakeEffects.
func (e *Engine) send(m Message) { e.effects.Messages = append(e.effects.Messages, m) }

// sweep examines the next n entries of the flow table: it deletes expired ones and checks
// the others for silence.
func (e *Engine) sweep(n int) {
	t := &e.flows
	for range min(n, int(t.nextUnused)-1) {
		t.sweepPos++
		if t.sweepPos >= t.nextUnused {
			t.sweepPos = 1
		}
		en := t.at(t.sweepPos)
		if en.kind == entryFree {
			continue
		}
		if e.expired(en) {
			e.removeEntry(t.sweepPos)
			continue
		}
		e.checkSilent(en)
	}
}

// expired reports whether an entry is due for deletion.
func (e *Engine) expired(en *entry) bool {
	idle := e.clock.since(max(en.lastFromCaller, en.lastFromBackend, en.createdAt))
	if en.kind != entryRecord {
		return idle > idleEntryTTL
	}
	if en.closedOrAskedAt != 0 {
		return e.clock.since(en.closedOrAskedAt) > closedRecordTTL
	}
	return idle > idleRecordTTL || (idle > formerHolderTTL && !e.isHolder(en.holding))
}

// removeEntry removes an entry from the flow table and from its holding.
func (e *Engine) removeEntry(pos uint32) {
	e.unlinkRecord(pos)
	e.flows.remove(pos)
}

// insertEntry inserts an entry for a key that has none. If the flow table is full, it evicts an
// entry that is not a record; it returns nil if it finds none.
func (e *Engine) insertEntry(key *flowKey, hash uint64) (uint32, *entry) {
	pos, en := e.flows.insert(key, hash)
	if en == nil {
		victim := e.flows.findEvictable()
		if victim == 0 {
			return 0, nil
		}
		e.flows.remove(victim)
		pos, en = e.flows.insert(key, hash)
	}
	en.createdAt = e.clock
	return pos, en
}
