package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
	"cassiawood/internal/request"
)

// event is a function to call at a point in virtual time.
type event struct {
	at    time.Duration
	order uint64 // keeps events with the same time in the order in which they were added
	do    func()
}

// events is a heap ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

func (e *events) schedule(one event) { heap.Push(e, one) }

// removeNext removes and returns the next event.
func (e *events) removeNext() event { return heap.Pop(e).(event) }

// run is the simulation of one scenario with one policy.
type run struct {
	service       Service
	policy        Policy
	now           time.Duration
	order         uint64
	events        events
	random        *rand.Rand // for network, service times and reports
	arrivalRandom *rand.Rand // separate, so that all policies get the same arrivals
	hosts         []*host
	backends      []*backend
	cutDomain     int           // failure domain that is cut off, or -1
	fenced        bool          // each side of the cut uses only its own endpoints
	offeredLoad   float64       // offered share of the capacity
	reportDelay   time.Duration // additional delay of load reports
	synchronized  bool          // all hosts read the load at the same time
	flows         *flowTracker
	stats         statistics
}

// host is one entry host.
type host struct {
	run     *run
	name    string
	domain  int
	placer  reportingPlacer
	machine *request.Machine
}

// reportingPlacer is a placer that uses load reports.
type reportingPlacer interface {
	request.Placer
	Add(id directory.EndpointID, slots int, cold bool)
	Observe(id directory.EndpointID, r balance.Report)
}

func newRun(service Service, policy Policy, seed uint64) *run {
	r := &run{
		service: service, policy: policy, cutDomain: -1, offeredLoad: steadyLoad,
		random: rand.New(rand.NewPCG(seed, 1)), arrivalRandom: rand.New(rand.NewPCG(seed, 2)),
	}
	r.stats.init()
	for i := range service.Endpoints {
		r.backends = append(r.backends, &backend{
			id: directory.EndpointID(i + 1), domain: service.Site.domainOf(i), inService: true,
		})
	}
	var names []string
	for i := range service.Site.Hosts {
		names = append(names, hostName(i))
	}
	for i, name := range names {
		h := &host{run: r, name: name, domain: service.Site.domainOf(i)}
		h.placer = policy.Placer(PlacerSetup{
			Host: name, Hosts: names, Sole: policy.Sole && balance.PlacingHost(service.Name, names) == name,
			Random: rand.New(rand.NewPCG(seed, uint64(100+i))),
		})
		config := policy.Requests
		config.Incarnation = uint64(i + 1)
		h.machine = request.New(config, h.placer)
		r.hosts = append(r.hosts, h)
	}
	return r
}

// after calls do after a delay.
func (r *run) after(d time.Duration, do func()) {
	r.order++
	r.events.schedule(event{at: r.now + d, order: r.order, do: do})
}

// at calls do at time t.
func (r *run) at(t time.Duration, do func()) { r.after(t-r.now, do) }

// every calls do at regular intervals.
func (r *run) every(interval time.Duration, do func()) {
	r.after(interval, func() {
		do()
		r.every(interval, do)
	})
}

// send delivers a message after the delay of the network. A message that crosses
// the cut is lost and not sent again.
func (r *run) send(from, to int, deliver func()) {
	delay := delayWithinDomain
	if from != to {
		if r.cutDomain >= 0 && (from == r.cutDomain) != (to == r.cutDomain) {
			return
		}
		delay = r.service.Site.OneWay + time.Duration(r.random.ExpFloat64()*float64(meanJitter))
		for r.random.Float64() < lossProbability {
			delay += retransmissionTimeout
		}
	}
	r.after(delay, deliver)
}

// execute runs the events up to endOfRun.
func (r *run) execute() {
	for len(r.events) > 0 {
		e := r.events.removeNext()
		if e.at > endOfRun {
			return
		}
		r.now = e.at
		e.do()
	}
}

// start sets up the endpoints, reports, ticks, arrivals and measurements.
func (r *run) start() {
	for _, h := range r.hosts {
		for _, b := range r.backends {
			if b.inService {
				h.placer.Add(b.id, slotsPerBackend, false)
			}
		}
		h.step(request.Endpoints{IDs: r.endpointsFor(h)})
		h.startPolling()
		r.every(10*time.Millisecond, func() { h.step(request.Tick{}) })
	}
	r.flows = newFlowTracker(r)
	r.nextArrival()
	r.at(disturbanceStart, func() { r.every(imbalanceStep, r.sampleImbalance) })
}

// nextArrival generates requests as a Poisson process at random hosts.
func (r *run) nextArrival() {
	gap := r.arrivalRandom.ExpFloat64() / (r.service.capacityPerSecond() * r.offeredLoad)
	r.after(time.Duration(gap*float64(time.Second)), func() {
		h := r.hosts[r.arrivalRandom.IntN(len(r.hosts))]
		r.arrive(h, r.arrivalRandom.Uint64(), r.arrivalRandom.Float64() < idempotentShare)
		r.nextArrival()
	})
}

// arrive passes a new request to the host that places it.
func (r *run) arrive(h *host, flow uint64, idempotent bool) {
	id := r.recordArrival(h, idempotent)
	e := request.Arrive{ID: id, Idempotent: idempotent, Deadline: r.now + requestTimeout, Flow: flow, Key: fmt.Sprint(id)}
	if target := r.placingHost(h); target != h {
		r.send(h.domain, target.domain, func() { target.step(e) })
		return
	}
	h.step(e)
}

// placingHost returns the host that places the flows that arrive at h.
func (r *run) placingHost(h *host) *host {
	if !r.policy.Sole {
		return h
	}
	var names []string
	for _, other := range r.hosts {
		if !r.fenced || (other.domain == r.cutDomain) == (h.domain == r.cutDomain) {
			names = append(names, other.name)
		}
	}
	name := balance.PlacingHost(r.service.Name, names)
	return r.hosts[slices.IndexFunc(r.hosts, func(o *host) bool { return o.name == name })]
}

// endpointsFor returns the endpoints to which a host may send requests.
func (r *run) endpointsFor(h *host) []directory.EndpointID {
	var ids []directory.EndpointID
	for _, b := range r.backends {
		if b.inService && (!r.fenced || (b.domain == r.cutDomain) == (h.domain == r.cutDomain)) {
			ids = append(ids, b.id)
		}
	}
	return ids
}

// publishEndpoints sends the set of endpoints to all hosts, each after a random delay.
func (r *run) publishEndpoints() {
	for _, h := range r.hosts {
		r.after(time.Duration(r.random.Float64()*float64(maxUpdateDelay)), func() {
			for _, b := range r.backends {
				if b.inService {
					h.placer.Add(b.id, slotsPerBackend, b.cold)
				}
			}
			if s, ok := h.placer.(interface{ SetSolePlacer(bool) }); ok && r.policy.Sole {
				s.SetSolePlacer(r.placingHost(h) == h)
			}
			ids := r.endpointsFor(h)
			r.flows.countBroken(ids)
			h.step(request.Endpoints{IDs: ids})
		})
	}
}

// startPolling starts to read the load endpoints of all backend servers at regular intervals.
func (h *host) startPolling() {
	r := h.run
	first := reportInterval
	if !r.synchronized {
		first = time.Duration(r.random.Float64() * float64(reportInterval))
	}
	r.after(first, func() {
		h.readLoads()
		r.every(reportInterval, h.readLoads)
	})
}

// readLoads reads the load endpoint of every backend server once.
func (h *host) readLoads() {
	r := h.run
	asked := r.now
	for _, b := range r.backends {
		r.send(h.domain, b.domain, func() {
			report := balance.Report{InFlight: b.inSystem(), ReadAt: r.now}
			if b.frozen || b.refusing {
				report.InFlight = 0
			}
			r.send(b.domain, h.domain, func() {
				report.RoundTrip = r.now - asked
				r.after(r.reportDelay, func() { h.placer.Observe(b.id, report) })
			})
		})
	}
}

// step passes an event to the host's state machine and applies the effects.
func (h *host) step(e request.Event) {
	r := h.run
	for _, effect := range slices.Clone(h.machine.Step(r.now, e)) {
		switch f := effect.(type) {
		case request.Send:
			h.step(request.Sent{ID: f.ID, Attempt: f.Attempt})
			b := r.backends[f.Endpoint-1]
			j := &job{placedBy: h, id: f.ID, attempt: f.Attempt, deadline: f.Deadline, key: f.Key}
			r.send(h.domain, b.domain, func() { r.receive(b, j) })
		case request.CancelUpstream:
			b := r.backends[f.Endpoint-1]
			r.send(h.domain, b.domain, func() { r.cancel(b, f.ID, f.Attempt) })
		case request.Reply:
			r.recordReply(h, f)
		}
	}
}
