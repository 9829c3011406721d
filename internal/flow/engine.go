package flow

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/directory"
)

const (
	// hintLife bounds how long a hint from a holder is used. It is below closedLife, so
	// that no host uses a hint after the record was replaced.
	hintLife = 30 * time.Second
	// closedLife is how long a closed flow keeps its caller port, as in TCP's TIME-WAIT:
	// twice the usual maximum segment lifetime of 30 s.
	closedLife = 60 * time.Second
	// forgetClosed is the time after which the record of a closed flow is deleted. Later
	// packets of the flow are resolved as if it never had a record.
	forgetClosed = 120 * time.Second
	// idleRecordLife is the time without any packet after which a record is deleted. It
	// equals the lifetime of tombstones and exceeds the 2 h default of TCP keepalive.
	idleRecordLife = 24 * time.Hour
	// idleObservedLife is the time without any packet after which other entries are deleted.
	// That costs a query to a holder or some evidence of silence, never a flow.
	idleObservedLife = 5 * time.Minute
	// maxHops bounds the hand-offs of a packet. It admits a chain over both holders of
	// MaxAsked domains.
	maxHops = 2*MaxAsked + 2
	// endpointCache is the size of the direct-mapped cache of endpoints, a power of two. A
	// map lookup instead would take a tenth of the time to resolve a packet of a known flow.
	endpointCache = 256
	// sweepPerTick bounds the flow table entries that one tick examines.
	sweepPerTick = 4096
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
	cfg     Config
	table   Table
	started bool // a table was set
	now     time.Duration
	clock   stamp
	epoch   uint16 // incremented when all hints become invalid

	flows    flowTable
	holdings []holding // position 0 is unused
	byKey    map[holdingKey]uint32
	pending  []uint32 // positions of holdings that wait for sources
	wasWhole bool     // no repair is in progress
	anyLost  bool     // some holding may be lost

	peers   map[string]*peer
	listed  map[string]directory.Host // hosts in the current table
	domains map[string]DomainID

	services map[uint64]*Service // lookups in the current table, by packed address
	backends map[uint64]*Service // by packed address of an endpoint that is not removed
	recent   [endpointCache]*directory.Endpoint
	scratch  Handoff // hand-off option of the packet being resolved

	lastContact time.Duration
	freshSince  time.Duration // when the host was last unfenced
	alive       map[directory.EndpointID]heard
	stopping    bool
	handover    handover
	recentFlows recentFlows
	silent      silence
	hints       hintBudget
	nextBatch   uint64
	out         Effects
}

// New returns an engine without a table. It drops all packets until SetTable is called.
func New(cfg Config) *Engine {
	e := &Engine{
		cfg:      cfg,
		flows:    newFlowTable(cfg.Capacity, cfg.Seed),
		holdings: make([]holding, 1),
		byKey:    map[holdingKey]uint32{},
		peers:    map[string]*peer{},
		listed:   map[string]directory.Host{},
		domains:  map[string]DomainID{},
		services: map[uint64]*Service{},
		backends: map[uint64]*Service{},
		alive:    map[directory.EndpointID]heard{},
		wasWhole: true,
	}
	e.silent.init()
	e.freshSince = -recoverDelay
	return e
}

// setNow advances the engine's clock; it never goes back.
func (e *Engine) setNow(now time.Duration) {
	if now > e.now {
		e.now = now
	}
	e.clock = stampOf(e.now)
}

// domainID returns the hash of a failure domain's name.
func (e *Engine) domainID(name string) DomainID {
	if id, ok := e.domains[name]; ok {
		return id
	}
	id := DomainIDOf(name)
	e.domains[name] = id
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
	clear(e.recent[:])
	clear(e.listed)
	for _, h := range t.Hosts() {
		e.listed[h.Name] = h
	}
	e.rescanHoldings()
	e.noteHandover()
	e.pushRecentFlows()
	e.acknowledge()
	e.requestCopies()
}

// PeerUp reports that a link to an incarnation of another entry host is established.
func (e *Engine) PeerUp(now time.Duration, host string, incarnation uint64, domain string) {
	e.setNow(now)
	e.peers[host] = &peer{incarnation: incarnation, domain: domain, up: true}
	e.requestCopies()
}

// PeerDown reports that the link to a host is lost. Queries then go to the other holder.
// The host remains a holder until the table removes it.
func (e *Engine) PeerDown(now time.Duration, host string) {
	e.setNow(now)
	if p := e.peers[host]; p != nil {
		p.up = false
	}
	e.epoch++
	e.dropSource(host)
	e.dropRecentTarget(host)
	e.noteHandover()
}

// PeerFenced reports whether another host is fenced because its table is too old.
func (e *Engine) PeerFenced(now time.Duration, host string, fenced bool) {
	e.setNow(now)
	if p := e.peers[host]; p != nil {
		p.fenced = fenced
	}
}

// Tick does the periodic work that is due. The work per call is bounded.
func (e *Engine) Tick(now time.Duration) {
	e.setNow(now)
	e.sweep(sweepPerTick)
	e.requestCopies()
	e.tickRecentFlows()
	e.tickSilence()
	e.tickHandover()
}

// Ready returns the effects since its last call.
func (e *Engine) Ready() Effects {
	out := e.out
	e.out = Effects{Acknowledge: out.Acknowledge}
	return out
}

// Held returns the number of flows in the flow table, and how many of them are records.
func (e *Engine) Held() (flows, records int) {
	for i := range e.holdings {
		records += int(e.holdings[i].count)
	}
	return e.flows.length, records
}

// endpoint finds an endpoint in the current table, through the cache.
func (e *Engine) endpoint(id directory.EndpointID) (*directory.Endpoint, bool) {
	slot := &e.recent[id%endpointCache]
	if ep := *slot; ep != nil && ep.ID == id {
		return ep, true
	}
	ep, ok := e.table.Endpoint(id)
	if ok {
		*slot = ep
	}
	return ep, ok
}

// send queues a message for the next call of Ready.
func (e *Engine) send(m Message) { e.out.Messages = append(e.out.Messages, m) }

// sweep examines the next n entries of the flow table: it deletes expired ones and checks
// the others for silence.
func (e *Engine) sweep(n int) {
	t := &e.flows
	for range min(n, int(t.used)-1) {
		t.hand++
		if t.hand >= t.used {
			t.hand = 1
		}
		en := t.at(t.hand)
		if en.kind == entryFree {
			continue
		}
		if e.expired(en) {
			e.forget(t.hand)
			continue
		}
		e.checkSilent(en)
	}
}

// expired reports whether an entry is due for deletion.
func (e *Engine) expired(en *entry) bool {
	idle := e.clock.since(max(en.fromCaller, en.fromBackend, en.began))
	if en.kind != entryRecord {
		return idle > idleObservedLife
	}
	if en.mark != 0 {
		return e.clock.since(en.mark) > forgetClosed
	}
	return idle > idleRecordLife || (idle > retiredLife && !e.holds(en.holding))
}

// forget removes an entry from the flow table and from its holding.
func (e *Engine) forget(pos uint32) {
	e.unlink(pos)
	e.flows.remove(pos)
}

// add inserts an entry for a key that has none. If the flow table is full, it evicts an
// entry that is not a record; it returns nil if it finds none.
func (e *Engine) add(key *flowKey, hash uint64) (uint32, *entry) {
	pos, en := e.flows.insert(key, hash)
	if en == nil {
		victim := e.flows.evictable()
		if victim == 0 {
			return 0, nil
		}
		e.flows.remove(victim)
		pos, en = e.flows.insert(key, hash)
	}
	en.began = e.clock
	return pos, en
}
