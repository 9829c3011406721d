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

// world is a packet-level model of a site in virtual time. Callers, backend servers and
// entry hosts exchange packets and messages with delay, loss and duplication.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	seq     int
	queue   eventQueue
	log     *tableLog
	hosts   []*modelHost
	servers map[netip.AddrPort]*server
	callers []*caller
	cut     string  // failure domain that is cut off
	loss    float64 // probability that a packet is lost, and that it is duplicated
	conns   int     // connections so far

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
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

// every repeats do until the end of the run.
func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// run processes events for d, or until a violation.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		if len(w.violations) > 0 {
			break
		}
	}
	w.now = end
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

// modelHost is an entry host with its engine and its copy of the directory.
type modelHost struct {
	w       *world
	name    string
	domain  string
	number  uint64 // incarnation
	engine  *flow.Engine
	state   *directory.State
	up      bool
	frozen  bool
	lagging bool // gets no table updates
	fenced  bool // as last sent to the peers
	removed bool // stopped after a completed handover
	acked   uint64
	died    time.Duration // time of the last crash
	contact time.Duration // last contact with the control hosts
}

func newWorld(seed uint64, hosts, endpoints int, p document.Priority) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), log: newTableLog(3, hosts, endpoints, p),
		servers: map[netip.AddrPort]*server{}, accepted: map[int]directory.EndpointID{}, forwarded: map[int]bool{},
		loss: 0.01,
	}
	for _, id := range w.log.head.EndpointIDs() {
		w.startServer(id)
	}
	for i := range hosts {
		h := &modelHost{w: w, name: fmt.Sprint("h", i), domain: fmt.Sprint("d", i%3), number: 1}
		w.hosts = append(w.hosts, h)
		h.start()
	}
	w.every(100*time.Millisecond, w.control)
	return w
}

func (w *world) host(name string) *modelHost {
	return w.hosts[slices.IndexFunc(w.hosts, func(h *modelHost) bool { return h.name == name })]
}

// split reports whether two failure domains cannot reach each other.
func (w *world) split(a, b string) bool { return w.cut != "" && (a == w.cut) != (b == w.cut) }

func (h *modelHost) start() {
	h.up, h.frozen, h.removed, h.fenced = true, false, false, false
	cfg := flow.Config{Host: h.name, Incarnation: h.number, Domain: h.domain, Seed: h.number}
	cfg.Choose = func(_ string, c []directory.EndpointID) directory.EndpointID { return c[h.w.rng.IntN(len(c))] }
	h.engine = flow.New(cfg)
	if h.w.now == 0 {
		// The hosts of a new site start before it has records.
		h.engine.SetTable(0, flow.TableOf(directory.NewWithBuckets(modelBuckets)))
	}
	h.state = h.w.log.state()
	h.contact = h.w.now
	h.engine.Contact(h.w.now)
	h.engine.SetTable(h.w.now, flow.TableOf(h.state))
	for _, o := range h.w.hosts {
		if o != h && o.up && !h.w.split(h.domain, o.domain) {
			h.engine.PeerUp(h.w.now, o.name, o.number, o.domain)
			o.engine.PeerUp(h.w.now, h.name, h.number, h.domain)
		}
	}
	engine := h.engine
	h.w.every(100*time.Millisecond, func() {
		if h.engine == engine {
			h.tick()
		}
	})
}

func (h *modelHost) tick() {
	if !h.up || h.frozen {
		return
	}
	w := h.w
	if h.domain != w.cut && !h.lagging {
		sent := w.now
		w.after(10*time.Millisecond, func() { h.follow(sent) })
	}
	for _, s := range w.servers {
		if s.domain == h.domain {
			h.engine.Heard(w.now, s.id, s.ready)
		}
	}
	h.engine.Tick(w.now)
	h.tellFence()
	h.drain()
}

// follow applies new entries one by one, after a contact that was sent at the given time.
func (h *modelHost) follow(sent time.Duration) {
	if !h.up || h.frozen {
		return
	}
	h.engine.Contact(sent)
	h.contact = h.w.now
	for _, e := range h.w.log.entries[h.state.Index():] {
		h.state.Apply(e)
		h.engine.SetTable(h.w.now, flow.TableOf(h.state))
	}
	h.drain()
}

// tellFence sends a change of the host's fenced state to its peers.
func (h *modelHost) tellFence() {
	if f := h.engine.Fenced(); f != h.fenced {
		h.fenced = f
		for _, o := range h.w.hosts {
			if o != h && o.up && !h.w.split(h.domain, o.domain) {
				o.engine.PeerFenced(h.w.now, h.name, f)
			}
		}
	}
}

// drain carries out the engine's effects. Peer links are reliable and ordered.
func (h *modelHost) drain() {
	w := h.w
	out := h.engine.Ready()
	h.acked = out.Acknowledge
	for _, r := range out.Resets {
		w.callerReset(r.Caller, flow.Unknown, false)
	}
	if out.HandoverComplete {
		w.note("host %s completed its handover", h.name)
		w.after(50*time.Millisecond, func() { h.up, h.removed = false, true })
	}
	for _, m := range out.Messages {
		to := w.host(m.To)
		number := to.number
		w.after(5*time.Millisecond, func() {
			if to.up && !to.frozen && to.number == number && !w.split(h.domain, to.domain) {
				deliver(to.engine, w.now, h.name, m)
				to.drain()
			}
		})
	}
}

// send delivers a packet to a host after a random delay, or loses or duplicates it.
func (w *world) send(h *modelHost, fromDomain string, s segment) {
	copies := 1
	switch r := w.rng.Float64(); {
	case r < w.loss:
		copies = 0
	case r < 2*w.loss:
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+w.rng.IntN(8)) * time.Millisecond
		if w.rng.IntN(50) == 0 {
			delay += time.Duration(w.rng.IntN(400)) * time.Millisecond
		}
		w.after(delay, func() {
			if h.up && !h.frozen && !w.split(fromDomain, h.domain) {
				h.packet(s)
			}
		})
	}
}

// segment is a packet with its connection and sending endpoint, which only the checks of
// the model use.
type segment struct {
	p    flow.Packet
	conn int
	from directory.EndpointID
}

func (h *modelHost) packet(s segment) {
	w := h.w
	v := h.engine.Packet(w.now, &s.p)
	switch v.Action {
	case flow.ForwardToBackend:
		w.forwarded[s.conn] = true
		srv := w.servers[v.Address]
		s.p.Handoff = flow.Handoff{}
		if srv != nil && !w.split(h.domain, srv.domain) {
			w.after(time.Duration(1+w.rng.IntN(5))*time.Millisecond, func() { srv.receive(s, v.Endpoint) })
		}
	case flow.ForwardToCaller:
		w.after(time.Duration(1+w.rng.IntN(5))*time.Millisecond, func() { w.toCaller(s, v.Address) })
	case flow.HandOff:
		w.stats.handoffs++
		s.p.Handoff = v.Handoff
		w.send(w.host(v.Host), h.domain, s)
	case flow.Reset:
		if v.Outcome == flow.NotRun && w.forwarded[s.conn] {
			w.violate("connection %d was reset with outcome not-run after a packet was forwarded", s.conn)
		}
		w.note("host %s resets connection %d: %v", h.name, s.conn, v.Reason)
		w.callerReset(s.p.Caller, v.Outcome, s.p.Flags&flow.SYN != 0)
	}
	h.drain()
}

// spray returns a random entry host that the domain can reach, as the fabric does. The
// fabric detects a crashed host after a second.
func (w *world) spray(domain string) *modelHost {
	for range 100 {
		h := w.hosts[w.rng.IntN(len(w.hosts))]
		if !h.removed && (h.up || w.now-h.died < time.Second) && !w.split(domain, h.domain) {
			return h
		}
	}
	return w.hosts[0]
}

// domainSilent reports whether no listed host of a failure domain had contact recently.
// internal/member removes no host of such a domain, because the domain may be cut off and
// its hosts may hold records that flows need when it returns.
func (w *world) domainSilent(domain string) bool {
	for _, listed := range w.log.head.Hosts() {
		if listed.Domain == domain && w.now-w.host(listed.Name).contact <= 2500*time.Millisecond {
			return false
		}
	}
	return true
}

// control acts as the control hosts: it removes silent hosts, adds and activates new ones,
// and commits moves that all hosts have acknowledged.
func (w *world) control() {
	acked := w.log.head.Index()
	for _, listed := range w.log.head.Hosts() {
		h := w.host(listed.Name)
		current := h.up && h.number == listed.Incarnation
		replaced := !current && h.number != listed.Incarnation
		if replaced || w.now-h.contact > 2500*time.Millisecond && !w.domainSilent(listed.Domain) {
			w.note("control removes host %s", h.name)
			w.log.apply(0, directory.HostRemoved{Name: listed.Name, Incarnation: listed.Incarnation})
			continue
		}
		if listed.State == directory.HostJoined && h.acked > 0 && h.state.Index() >= w.log.head.Index() {
			w.note("control activates host %s", h.name)
			w.log.apply(0, directory.HostActivated{Name: h.name, Incarnation: h.number})
		}
		acked = min(acked, h.acked)
	}
	for _, h := range w.hosts {
		if _, listed := w.log.head.Host(h.name); !listed && h.up && !h.frozen && !h.engine.Stopping() && w.now-h.contact < time.Second {
			w.log.apply(0, directory.HostAdded{Host: directory.Host{Name: h.name, Incarnation: h.number, Domain: h.domain}})
		}
	}
	if prepared, pending := w.log.head.OldestPendingMove(); pending && acked >= prepared && acked < w.log.head.Index()+1 {
		w.log.apply(0, nil)
		w.log.apply(0, directory.MovesCommitted{UpTo: min(acked, w.log.head.Index()-1)})
	}
}
