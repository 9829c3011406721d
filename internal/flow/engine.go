package flow

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/directory"
)

const (
	// hintLife bounds the use of a holder's answer. It is below closedLife, so that
	// no host follows an answer after the record was replaced.
	hintLife = 30 * time.Second
	// closedLife is how long a closed flow keeps its caller port: twice the usual
	// maximum segment lifetime of 30 s.
	closedLife = 60 * time.Second
	// forgetClosed is when a closed record is deleted. Later packets of the flow
	// would be taken for packets without a record.
	forgetClosed = 120 * time.Second
	// idleRecordLife is the time after which a record without any packet is deleted.
	// It equals the life of tombstones; TCP keepalive is 2 h by default.
	idleRecordLife = 24 * time.Hour
	// idleObservedLife is the time after which other entries are deleted; losing them
	// costs a question to a holder or evidence of silence, never a flow.
	idleObservedLife = 5 * time.Minute
	// maxHops bounds hand-offs; a chain over MaxAsked domains with both holders fits.
	maxHops = 2*MaxAsked + 2
	// endpointCache is the size of the direct-mapped cache of endpoints, a power of two. A
	// map look-up costs a tenth of a known flow's decision.
	endpointCache = 256
	// sweepPerTick bounds the entries that one tick examines.
	sweepPerTick = 4096
)

// peer is what the engine knows of another entry host.
type peer struct {
	incarnation uint64
	domain      string
	up          bool
	fenced      bool
}

// Engine decides for one entry host. It is not safe for concurrent use; one duty calls it.
type Engine struct {
	cfg     Config
	table   Table
	started bool // a table was given
	now     time.Duration
	clock   stamp
	epoch   uint16 // advances when hints become invalid

	flows    flowTable
	holdings []holding // position 0 is unused
	byKey    map[holdingKey]uint32
	pending  []uint32 // holdings that wait for answers
	wasWhole bool
	anyLost  bool

	peers   map[string]*peer
	listed  map[string]directory.Host // hosts of the table
	domains map[string]DomainID

	services map[uint64]*Service // by packed address; found in the present table so far
	backends map[uint64]*Service // by the packed address of a present endpoint
	recent   [endpointCache]*directory.Endpoint
	scratch  Handoff // of the packet that is being decided

	lastContact time.Duration
	freshSince  time.Duration // end of the last fence
	alive       map[directory.EndpointID]heard
	stopping    bool
	handover    handover
	recentFlows recentFlows
	silent      silence
	hints       hintBudget
	nextBatch   uint64
	out         Effects
}

// New returns an engine without a table. It drops all packets until SetTable.
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

// SetTable gives the engine the directory at a new index. The table may be the same
// object as before, with further entries applied. Call it after each entry that changes
// hosts, endpoints or moves: a host that skips its own removal and return would
// take its old records for a whole copy.
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

// PeerUp reports a link to an incarnation of another entry host.
func (e *Engine) PeerUp(now time.Duration, host string, incarnation uint64, domain string) {
	e.setNow(now)
	e.peers[host] = &peer{incarnation: incarnation, domain: domain, up: true}
	e.requestCopies()
}

// PeerDown reports that the link to a host is lost. Its records are asked from the
// second holder; only the table tells that it is gone.
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

// PeerFenced reports whether a host says that its table is too old.
func (e *Engine) PeerFenced(now time.Duration, host string, fenced bool) {
	e.setNow(now)
	if p := e.peers[host]; p != nil {
		p.fenced = fenced
	}
}

// Tick does the work that is due, with a bound per call.
func (e *Engine) Tick(now time.Duration) {
	e.setNow(now)
	e.sweep(sweepPerTick)
	e.requestCopies()
	e.tickRecentFlows()
	e.tickSilence()
	e.tickHandover()
}

// Ready returns the messages and reports since its last call.
func (e *Engine) Ready() Effects {
	out := e.out
	e.out = Effects{Acknowledge: out.Acknowledge}
	return out
}

// Held returns the number of flows in the table, and how many of them are records.
func (e *Engine) Held() (flows, records int) {
	for i := range e.holdings {
		records += int(e.holdings[i].count)
	}
	return e.flows.length, records
}

// endpoint finds an endpoint of the present table.
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

func (e *Engine) send(m Message) { e.out.Messages = append(e.out.Messages, m) }

// sweep moves the clock hand over n entries.
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

// forget removes an entry from the table and from its holding.
func (e *Engine) forget(pos uint32) {
	e.unlink(pos)
	e.flows.remove(pos)
}

// add returns an entry for a key that has none, evicting an entry that is no
// record when the table is full.
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
