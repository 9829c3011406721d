package flow_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
)

// simulation is a packet-level model of a site in virtual time. Callers, backend servers and
// entry hosts exchange packets and messages with delay, loss and duplication.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	seq       int
	queue     eventQueue
	log       *tableLog
	hosts     []*modelHost
	servers   map[netip.AddrPort]*server
	callers   []*caller
	cut       string  // failure domain that is cut off
	lossRate  float64 // probability that a packet is lost, and that it is duplicated
	connCount int     // connections so far

	accepted   map[int]directory.EndpointID // endpoint that got the first packet of each connection
	forwarded  map[int]bool                 // connections with a packet forwarded to an endpoint
	violations []string
	trace      []string
	stats      struct{ resets, answered, handoffs int }
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// after schedules do in d from now.
func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.queue, event{sim.now + d, sim.seq, do})
}

// every repeats do until the end of the run.
func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

// run processes events for d, or until a violation.
func (sim *simulation) run(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.do()
		if len(sim.violations) > 0 {
			break
		}
	}
	sim.now = end
}

func (sim *simulation) tracef(format string, args ...any) {
	sim.trace = append(sim.trace, fmt.Sprintf("%v ", sim.now)+fmt.Sprintf(format, args...))
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v ", sim.now)+fmt.Sprintf(format, args...))
}

// modelHost is an entry host with its engine and its copy of the directory.
type modelHost struct {
	sim          *simulation
	name         string
	domain       string
	incarnation  uint64
	engine       *flow.Engine
	state        *directory.State
	up           bool
	frozen       bool
	lagging      bool // gets no table updates
	fenced       bool // as last sent to the peers
	removed      bool // stopped after a completed handover
	acknowledged uint64
	crashedAt    time.Duration // time of the last crash
	lastContact  time.Duration // last contact with the control hosts
}

func newSimulation(seed uint64, hosts, endpoints int, p document.Priority) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), log: newTableLog(3, hosts, endpoints, p),
		servers: map[netip.AddrPort]*server{}, accepted: map[int]directory.EndpointID{}, forwarded: map[int]bool{},
		lossRate: 0.01,
	}
	for _, id := range sim.log.head.EndpointIDs() {
		sim.startServer(id)
	}
	for i := range hosts {
		h := &modelHost{sim: sim, name: fmt.Sprint("h", i), domain: fmt.Sprint("d", i%3), incarnation: 1}
		sim.hosts = append(sim.hosts, h)
		h.start()
	}
	sim.every(100*time.Millisecond, sim.runControlHosts)
	return sim
}

func (sim *simulation) host(name string) *modelHost {
	return sim.hosts[slices.IndexFunc(sim.hosts, func(h *modelHost) bool { return h.name == name })]
}

// partitioned reports whether two failure domains cannot reach each other.
func (sim *simulation) partitioned(a, b string) bool {
	return sim.cut != "" && (a == sim.cut) != (b == sim.cut)
}

func (h *modelHost) start() {
	h.up, h.frozen, h.removed, h.fenced = true, false, false, false
	cfg := flow.Config{Host: h.name, Incarnation: h.incarnation, Domain: h.domain, Seed: h.incarnation}
	cfg.ChooseEndpoint = func(_ string, c []directory.EndpointID) directory.EndpointID { return c[h.sim.rng.IntN(len(c))] }
	h.engine = flow.New(cfg)
	if h.sim.now == 0 {
		// The hosts of a new site start before it has records.
		h.engine.SetTable(0, flow.TableOf(directory.NewWithBuckets(modelBuckets)))
	}
	h.state = h.sim.log.state()
	h.lastContact = h.sim.now
	h.engine.RenewLease(h.sim.now)
	h.engine.SetTable(h.sim.now, flow.TableOf(h.state))
	for _, o := range h.sim.hosts {
		if o != h && o.up && !h.sim.partitioned(h.domain, o.domain) {
			h.engine.PeerUp(h.sim.now, o.name, o.incarnation, o.domain)
			o.engine.PeerUp(h.sim.now, h.name, h.incarnation, h.domain)
		}
	}
	engine := h.engine
	h.sim.every(100*time.Millisecond, func() {
		if h.engine == engine {
			h.tick()
		}
	})
}

func (h *modelHost) tick() {
	if !h.up || h.frozen {
		return
	}
	sim := h.sim
	if h.domain != sim.cut && !h.lagging {
		sent := sim.now
		sim.after(10*time.Millisecond, func() { h.applyEntries(sent) })
	}
	for _, s := range sim.servers {
		if s.domain == h.domain {
			h.engine.NoteEndpointStatus(sim.now, s.id, s.ready)
		}
	}
	h.engine.Tick(sim.now)
	h.sendFenced()
	h.applyEffects()
}

// applyEntries applies new entries one by one, after a contact that was sent at the given time.
func (h *modelHost) applyEntries(sent time.Duration) {
	if !h.up || h.frozen {
		return
	}
	h.engine.RenewLease(sent)
	h.lastContact = h.sim.now
	for _, e := range h.sim.log.entries[h.state.Index():] {
		h.state.Apply(e)
		h.engine.SetTable(h.sim.now, flow.TableOf(h.state))
	}
	h.applyEffects()
}

// sendFenced sends a change of the host's fenced state to its peers.
func (h *modelHost) sendFenced() {
	if f := h.engine.Fenced(); f != h.fenced {
		h.fenced = f
		for _, o := range h.sim.hosts {
			if o != h && o.up && !h.sim.partitioned(h.domain, o.domain) {
				o.engine.SetPeerFenced(h.sim.now, h.name, f)
			}
		}
	}
}

// applyEffects carries out the engine's effects. Peer links are reliable and ordered.
func (h *modelHost) applyEffects() {
	sim := h.sim
	out := h.engine.TakeEffects()
	h.acknowledged = out.AcknowledgedIndex
	for _, r := range out.Resets {
		sim.resetCaller(r.Caller, flow.Unknown, false)
	}
	if out.HandoverComplete {
		sim.tracef("host %s completed its handover", h.name)
		sim.after(50*time.Millisecond, func() { h.up, h.removed = false, true })
	}
	for _, m := range out.Messages {
		to := sim.host(m.To)
		incarnation := to.incarnation
		sim.after(5*time.Millisecond, func() {
			if to.up && !to.frozen && to.incarnation == incarnation && !sim.partitioned(h.domain, to.domain) {
				deliver(to.engine, sim.now, h.name, m)
				to.applyEffects()
			}
		})
	}
}

// send delivers a packet to a host after a random delay, or loses or duplicates it.
func (sim *simulation) send(h *modelHost, fromDomain string, s taggedPacket) {
	copies := 1
	switch r := sim.rng.Float64(); {
	case r < sim.lossRate:
		copies = 0
	case r < 2*sim.lossRate:
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+sim.rng.IntN(8)) * time.Millisecond
		if sim.rng.IntN(50) == 0 {
			delay += time.Duration(sim.rng.IntN(400)) * time.Millisecond
		}
		sim.after(delay, func() {
			if h.up && !h.frozen && !sim.partitioned(fromDomain, h.domain) {
				h.handlePacket(s)
			}
		})
	}
}

// taggedPacket is a packet with its connection and sending endpoint, which only the checks of
// the model use.
type taggedPacket struct {
	p    flow.Packet
	conn int
	from directory.EndpointID
}

func (h *modelHost) handlePacket(s taggedPacket) {
	sim := h.sim
	v := h.engine.HandlePacket(sim.now, &s.p)
	switch v.Action {
	case flow.ForwardToBackend:
		sim.forwarded[s.conn] = true
		srv := sim.servers[v.Address]
		s.p.Handoff = flow.Handoff{}
		if srv != nil && !sim.partitioned(h.domain, srv.domain) {
			sim.after(time.Duration(1+sim.rng.IntN(5))*time.Millisecond, func() { srv.receive(s, v.Endpoint) })
		}
	case flow.ForwardToCaller:
		sim.after(time.Duration(1+sim.rng.IntN(5))*time.Millisecond, func() { sim.deliverToCaller(s, v.Address) })
	case flow.HandOff:
		sim.stats.handoffs++
		s.p.Handoff = v.Handoff
		sim.send(sim.host(v.Host), h.domain, s)
	case flow.Reset:
		if v.Outcome == flow.NotRun && sim.forwarded[s.conn] {
			sim.reportViolation("connection %d was reset with outcome not-run after a packet was forwarded", s.conn)
		}
		sim.tracef("host %s resets connection %d: %v", h.name, s.conn, v.Reason)
		sim.resetCaller(s.p.Caller, v.Outcome, s.p.Flags&flow.SYN != 0)
	}
	h.applyEffects()
}

// pickHost returns a random entry host that the domain can reach, as the fabric does. The
// fabric detects a crashed host after a second.
func (sim *simulation) pickHost(domain string) *modelHost {
	for range 100 {
		h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
		if !h.removed && (h.up || sim.now-h.crashedAt < time.Second) && !sim.partitioned(domain, h.domain) {
			return h
		}
	}
	return sim.hosts[0]
}

// domainSilent reports whether no listed host of a failure domain had contact recently.
// internal/member removes no host of such a domain, because the domain may be cut off and
// its hosts may hold records that flows need when it returns.
func (sim *simulation) domainSilent(domain string) bool {
	for _, listed := range sim.log.head.Hosts() {
		if listed.Domain == domain && sim.now-sim.host(listed.Name).lastContact <= 2500*time.Millisecond {
			return false
		}
	}
	return true
}

// runControlHosts does the work of the control hosts: it removes silent hosts, adds and
// activates new ones, and commits moves that all hosts have acknowledged.
func (sim *simulation) runControlHosts() {
	acked := sim.log.head.Index()
	for _, listed := range sim.log.head.Hosts() {
		h := sim.host(listed.Name)
		current := h.up && h.incarnation == listed.Incarnation
		replaced := !current && h.incarnation != listed.Incarnation
		if replaced || sim.now-h.lastContact > 2500*time.Millisecond && !sim.domainSilent(listed.Domain) {
			sim.tracef("control removes host %s", h.name)
			sim.log.apply(0, directory.HostRemoved{Name: listed.Name, Incarnation: listed.Incarnation})
			continue
		}
		if listed.State == directory.HostJoined && h.acknowledged > 0 && h.state.Index() >= sim.log.head.Index() {
			sim.tracef("control activates host %s", h.name)
			sim.log.apply(0, directory.HostActivated{Name: h.name, Incarnation: h.incarnation})
		}
		acked = min(acked, h.acknowledged)
	}
	for _, h := range sim.hosts {
		if _, listed := sim.log.head.Host(h.name); !listed && h.up && !h.frozen && !h.engine.Stopping() && sim.now-h.lastContact < time.Second {
			sim.log.apply(0, directory.HostAdded{Host: directory.Host{Name: h.name, Incarnation: h.incarnation, Domain: h.domain}})
		}
	}
	if prepared, pending := sim.log.head.OldestPendingMove(); pending && acked >= prepared && acked < sim.log.head.Index()+1 {
		sim.log.apply(0, nil)
		sim.log.apply(0, directory.MovesCommitted{UpTo: min(acked, sim.log.head.Index()-1)})
	}
}
