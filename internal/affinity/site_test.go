package affinity_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"cassiawood/internal/affinity"
	"cassiawood/internal/delay"
)

// siteConfig describes a simulated site: entry hosts that decide alone, backend servers with slots
// and a queue, and callers. Time is virtual, so a seed gives the same result on every machine.
type siteConfig struct {
	seed            uint64
	hosts           int           // entry hosts in each domain
	endpoints       int           // backend servers in each domain
	slots, queue    int           // of a backend server; a request beyond both is refused
	work            time.Duration // mean work of a request
	flowsPerSecond  float64       // new flows, over all domains
	requestsPerFlow int
	pause           time.Duration // between the requests of a flow
	linger          time.Duration // between the last answer and the end of the flow
	inTime          time.Duration // an answer within this time of the request counts as in time
	speeds          []float64     // of the backend servers, in turn; all are equal if empty
	ignoreDelays    bool          // hosts take all backend servers for equally fast, as a baseline
	longShare       float64       // share of the requests that take longWork times as long
	swing           float64       // by which the load of the domains rises and falls, in waves that begin one after the other
}

const (
	domainDelay  = 4500 * time.Microsecond // one way between failure domains
	callerDelay  = time.Millisecond        // one way between a caller and a host
	coldTime     = 2 * time.Second         // slow start of a backend server
	coldSlowdown = 1.6
	windowLength = 2 * time.Second
	longWork     = 7
	maxRetries   = 2 // further flows that a caller opens for a request
)

var siteDomains = []string{"a", "b", "c"}

// server is a simulated backend server.
type server struct {
	state     affinity.Endpoint
	startedAt time.Duration
	dead      bool // answers nothing
	busy      int
	queue     []*request
	served    int
}

// request is a request of a caller.
type request struct {
	flow   *callerFlow
	sentAt time.Duration
}

// callerFlow is a flow of a simulated caller. Its packets pass one host.
type callerFlow struct {
	from     netip.AddrPort
	host     int
	token    uint32
	seq, ack uint32
	left     int // requests to send
	tries    int // earlier flows of the caller for the same request
}

// window counts the requests that were sent in it.
type window struct{ sent, inTime, refused int }

// site is a running simulation.
type site struct {
	cfg     siteConfig
	random  *rand.Rand
	now     time.Duration
	events  eventHeap
	engines []*affinity.Engine
	servers map[uint64]*server
	nextID  uint64
	ports   int
	windows map[int]*window
	delays  *delay.Book // what all hosts have measured
}

func newSite(cfg siteConfig) *site {
	s := &site{cfg: cfg, random: rand.New(rand.NewPCG(cfg.seed, 1)), servers: map[uint64]*server{}, windows: map[int]*window{}, delays: delay.NewBook()}
	for i := range cfg.hosts * len(siteDomains) {
		e := affinity.New(affinity.Config{Domain: siteDomains[i%len(siteDomains)], Seed: uint64(i), IgnoreDelays: cfg.ignoreDelays})
		e.SetRoutes(table(1, route(desk, "desk")))
		s.engines = append(s.engines, e)
	}
	for i := range cfg.endpoints * len(siteDomains) {
		s.startServer(siteDomains[i%len(siteDomains)], -coldTime)
	}
	s.every(100*time.Millisecond, func() {
		for _, e := range s.engines {
			e.Tick(s.now)
		}
	})
	s.every(time.Second, s.shareDelays)
	return s
}

// shareDelays does what control hosts do: it merges what the hosts have measured and tells them the relative delays.
func (s *site) shareDelays() {
	for _, e := range s.engines {
		for _, r := range e.TakeDelays() {
			s.delays.Add(s.now, r)
		}
	}
	s.delays.Evaluate(s.now)
	var list []affinity.RelativeDelay
	for id := range s.servers {
		list = append(list, affinity.RelativeDelay{Endpoint: id, Factor: s.delays.Factor(id)})
	}
	s.after(100*time.Millisecond, func() {
		for _, e := range s.engines {
			e.SetRelativeDelays(s.now, list)
		}
	})
}

// speed returns the speed of a backend server. Each domain has all speeds.
func (s *site) speed(v *server) float64 {
	if len(s.cfg.speeds) == 0 {
		return 1
	}
	return s.cfg.speeds[v.state.ID/uint64(len(siteDomains))%uint64(len(s.cfg.speeds))]
}

// hostOfNextFlow draws the host through which the next flow enters.
func (s *site) hostOfNextFlow() int {
	for {
		host := s.random.IntN(len(s.engines))
		phase := float64(host%len(siteDomains)) / 12
		if s.cfg.swing == 0 || s.random.Float64()*(1+s.cfg.swing) < 1+s.cfg.swing*math.Sin(2*math.Pi*(s.now.Seconds()/13+phase)) {
			return host
		}
	}
}

// startServer starts a backend server and announces it to all hosts.
func (s *site) startServer(domain string, at time.Duration) *server {
	s.nextID++
	v := &server{state: endpoint(s.nextID, "desk", domain), startedAt: at}
	v.state.Slots, v.state.ColdUntil = uint32(s.cfg.slots), at+coldTime
	s.servers[s.nextID] = v
	s.announce(v)
	return v
}

func (s *site) announce(v *server) {
	for _, e := range s.engines {
		e.Upsert(s.now, v.state)
	}
}

// replace starts a successor of a backend server and drains it.
func (s *site) replace(id uint64) {
	old := s.servers[id]
	s.startServer(old.state.Domain, s.now)
	old.state.AcceptsFlows = false
	s.announce(old)
}

// run lets callers open flows until the time has passed, then ends.
func (s *site) run(until time.Duration) {
	s.openNext()
	for len(s.events) > 0 && s.events[0].at < until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

func (s *site) openNext() {
	gap := time.Duration(s.random.ExpFloat64() / s.cfg.flowsPerSecond * float64(time.Second))
	s.after(gap, func() {
		s.openFlow()
		s.openNext()
	})
}

// openFlow opens a flow of a new caller and sends its first request once it is open.
func (s *site) openFlow() {
	s.ports++
	from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(s.ports >> 24), byte(s.ports >> 16)}), uint16(s.ports))
	f := &callerFlow{from: from, host: s.hostOfNextFlow(), seq: 100, ack: 1000, left: s.cfg.requestsPerFlow}
	s.sendFirst(f, 0, s.now)
}

// openAnother opens another flow of a caller whose first packet was reset, from a new port and mostly through another host.
func (s *site) openAnother(f *callerFlow, sentAt time.Duration) {
	s.ports++
	from := netip.AddrPortFrom(f.from.Addr(), uint16(s.ports))
	next := &callerFlow{from: from, host: f.host, seq: f.seq, ack: f.ack, left: f.left, tries: f.tries + 1}
	if domain := f.host % len(siteDomains); s.cfg.hosts > 1 {
		next.host = domain + len(siteDomains)*s.random.IntN(s.cfg.hosts)
	}
	s.after(2*callerDelay, func() { s.sendFirst(next, 0, sentAt) })
}

// sendFirst sends a transmission of the first packet; callers repeat it after 200 ms and 600 ms. After a reset they open another flow.
func (s *site) sendFirst(f *callerFlow, transmissions uint32, sentAt time.Duration) {
	d := s.engines[f.host].Decide(s.now, firstPacket(desk, f.from, transmissions))
	switch {
	case d.Verdict == affinity.Reset && transmissions > 0 && f.tries < maxRetries:
		s.openAnother(f, sentAt)
		return
	case d.Verdict != affinity.Forward:
		s.count(sentAt).sent++
		return
	}
	if v := s.servers[d.Endpoint.ID]; !v.dead {
		f.token = d.Token
		s.after(2*callerDelay+2*s.delay(f, v), func() { s.sendRequest(f, sentAt) })
		return
	}
	if transmissions == 2 {
		s.count(sentAt).sent++
		return
	}
	s.after([]time.Duration{firstRetransmit, secondRetransmit - firstRetransmit}[transmissions], func() { s.sendFirst(f, transmissions+1, sentAt) })
}

func (s *site) sendRequest(f *callerFlow, sentAt time.Duration) {
	f.left--
	f.seq += 10
	s.count(sentAt).sent++
	d := s.engines[f.host].Decide(s.now, affinity.Packet{Caller: f.from, Service: desk, Flags: affinity.ACK, Token: f.token, Seq: f.seq, Ack: f.ack, Length: 10})
	if d.Verdict != affinity.Forward {
		return
	}
	v := s.servers[d.Endpoint.ID]
	s.after(callerDelay+s.delay(f, v), func() { s.arrive(v, &request{flow: f, sentAt: sentAt}) })
}

// arrive starts, queues or refuses a request at a backend server.
func (s *site) arrive(v *server, r *request) {
	switch {
	case v.dead:
	case v.busy < s.cfg.slots:
		s.work(v, r)
	case len(v.queue) < s.cfg.queue:
		v.queue = append(v.queue, r)
	default:
		s.count(r.sentAt).refused++
		s.after(callerDelay+s.delay(r.flow, v), func() { s.end(r.flow) })
	}
}

func (s *site) work(v *server, r *request) {
	v.busy++
	v.served++
	// Half of the work is constant, half exponential.
	work := float64(s.cfg.work) * (0.5 + 0.5*s.random.ExpFloat64()) / s.speed(v)
	if s.cfg.longShare > 0 && s.random.Float64() < s.cfg.longShare {
		work *= longWork
	}
	if s.now < v.startedAt+coldTime {
		work *= coldSlowdown
	}
	s.after(time.Duration(work), func() {
		v.busy--
		if len(v.queue) > 0 {
			next := v.queue[0]
			v.queue = v.queue[1:]
			s.work(v, next)
		}
		s.after(callerDelay+s.delay(r.flow, v), func() { s.receive(r) })
	})
}

// receive handles an answer at the caller.
func (s *site) receive(r *request) {
	if s.now-r.sentAt <= s.cfg.inTime {
		s.count(r.sentAt).inTime++
	}
	f := r.flow
	f.ack += 1000
	s.engines[f.host].Decide(s.now, affinity.Packet{Caller: f.from, Service: desk, Flags: affinity.ACK, Token: f.token, Seq: f.seq + 10, Ack: f.ack})
	if f.left > 0 {
		s.after(time.Duration(float64(s.cfg.pause)*s.random.ExpFloat64()), func() { s.sendRequest(f, s.now) })
		return
	}
	s.after(s.cfg.linger, func() { s.end(f) })
}

func (s *site) end(f *callerFlow) {
	s.engines[f.host].Decide(s.now, affinity.Packet{Caller: f.from, Service: desk, Flags: affinity.ACK | affinity.FIN, Token: f.token, Seq: f.seq + 10, Ack: f.ack})
}

// delay returns the one-way delay between the host of a flow and a backend server.
func (s *site) delay(f *callerFlow, v *server) time.Duration {
	if v.state.Domain == siteDomains[f.host%len(siteDomains)] {
		return 0
	}
	return domainDelay
}

func (s *site) count(at time.Duration) *window {
	n := int(at / windowLength)
	if s.windows[n] == nil {
		s.windows[n] = &window{}
	}
	return s.windows[n]
}

// worstWindow returns the lowest share of requests in time of any window between two times.
func (s *site) worstWindow(from, until time.Duration) float64 {
	worst := 1.0
	for n, w := range s.windows {
		if at := time.Duration(n) * windowLength; w.sent > 0 && at >= from && at+windowLength <= until {
			worst = min(worst, float64(w.inTime)/float64(w.sent))
		}
	}
	return worst
}

// lateShare returns the share of the requests sent between two times that were not answered in time.
func (s *site) lateShare(from, until time.Duration) float64 {
	sent, inTime := 0, 0
	for n, w := range s.windows {
		if at := time.Duration(n) * windowLength; at >= from && at+windowLength <= until {
			sent, inTime = sent+w.sent, inTime+w.inTime
		}
	}
	return 1 - float64(inTime)/float64(sent)
}

// refusedShare returns the share of all requests that backend servers refused.
func (s *site) refusedShare() float64 {
	sent, refused := 0, 0
	for _, w := range s.windows {
		sent, refused = sent+w.sent, refused+w.refused
	}
	return float64(refused) / float64(sent)
}

// busiestOverMean returns the requests of the busiest backend server that still takes flows over their mean.
func (s *site) busiestOverMean() float64 {
	busiest, sum, n := 0, 0, 0
	for _, v := range s.servers {
		if v.state.AcceptsFlows && !v.dead {
			busiest, sum, n = max(busiest, v.served), sum+v.served, n+1
		}
	}
	return float64(busiest) * float64(n) / float64(sum)
}

// servedBySpeed returns the requests served by the backend servers of each speed.
func (s *site) servedBySpeed() map[float64]int {
	served := map[float64]int{}
	for _, v := range s.servers {
		served[s.speed(v)] += v.served
	}
	return served
}

func (s *site) String() string {
	text := ""
	for n := range len(s.windows) {
		if w := s.windows[n]; w != nil {
			text += fmt.Sprintf("%v: %d sent, %d in time, %d refused\n", time.Duration(n)*windowLength, w.sent, w.inTime, w.refused)
		}
	}
	return text
}

func (s *site) after(d time.Duration, do func()) { s.at(s.now+d, do) }

func (s *site) at(at time.Duration, do func()) {
	heap.Push(&s.events, event{at: at, do: do})
}

func (s *site) every(d time.Duration, do func()) {
	s.after(d, func() {
		do()
		s.every(d, do)
	})
}

type event struct {
	at time.Duration
	do func()
}

// eventHeap orders events by time.
type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
