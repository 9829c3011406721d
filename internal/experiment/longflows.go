package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
	"cassiawood/internal/request"
)

const (
	// meanFlowLifetime is the mean lifetime of an open flow. It is shorter than that of
	// real flows, so that a run shows how new flows fill a new endpoint.
	meanFlowLifetime = 10 * time.Minute
	endpointAddedAt  = time.Minute      // when the endpoint is added
	endOfFlows       = 8 * time.Minute  // end of the run
	shareWindow      = 10 * time.Second // over which the added endpoint's share is taken
	warmUpEnd        = 30 * time.Second // start of the imbalance measurement
)

// FlowResult holds the results of long-lived flows with one policy.
type FlowResult struct {
	Service, Policy string
	Imbalance       float64 // highest over mean number of open flows per endpoint, before the endpoint is added
	FairShare       float64 // of the new flows, for one endpoint
	PeakShare       float64 // highest share of the new flows that the added endpoint got in a window of 10 s
	FinalOverMean   float64 // open flows of the added endpoint over the mean of all, at the end
}

// longFlowRun simulates long-lived flows. As the flow engine does, it places them with
// Choose if the placer has that method.
type longFlowRun struct {
	service   Service
	random    *rand.Rand
	hosts     []reportingPlacer
	names     []string
	sole      bool
	ids       []directory.EndpointID
	openFlows []int // open flows by endpoint
	ends      events
	order     uint64
	now       time.Duration
}

// RunLongFlows simulates flows that open and end, and adds one endpoint after a minute.
func RunLongFlows(service Service, policy Policy, seed uint64) FlowResult {
	l := newLongFlowRun(service, policy, seed)
	result := FlowResult{Service: service.Name, Policy: policy.Name, FairShare: 1 / float64(service.Endpoints+1)}
	added := directory.EndpointID(service.Endpoints + 1)
	rate := float64(flowsPerEndpoint*service.Endpoints) / meanFlowLifetime.Seconds()
	var placedOnAdded, placed, samples int
	nextWindowEnd, nextReport := shareWindow, reportInterval
	for l.now < endOfFlows {
		l.now += time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
		if l.now >= endpointAddedAt && len(l.ids) == service.Endpoints {
			l.addEndpoint(added, true)
		}
		if l.now >= nextReport {
			nextReport += reportInterval
			l.reportLoads()
			if l.now > warmUpEnd && l.now < endpointAddedAt {
				result.Imbalance += l.imbalance()
				samples++
			}
		}
		if l.now >= nextWindowEnd {
			nextWindowEnd += shareWindow
			result.PeakShare = max(result.PeakShare, float64(placedOnAdded)/float64(max(1, placed)))
			placedOnAdded, placed = 0, 0
		}
		l.endUntilNow()
		placed++
		if l.place() == added {
			placedOnAdded++
		}
	}
	result.Imbalance /= float64(samples)
	total := 0
	for _, n := range l.openFlows {
		total += n
	}
	result.FinalOverMean = float64(l.openFlows[added]) * float64(len(l.ids)) / float64(total)
	return result
}

func newLongFlowRun(service Service, policy Policy, seed uint64) *longFlowRun {
	l := &longFlowRun{
		service: service, sole: policy.Sole, random: rand.New(rand.NewPCG(seed, 3)), openFlows: make([]int, service.Endpoints+2),
	}
	for i := range service.Site.Hosts {
		l.names = append(l.names, hostName(i))
	}
	for i, name := range l.names {
		l.hosts = append(l.hosts, policy.Placer(PlacerSetup{
			Host: name, Hosts: l.names, Sole: policy.Sole && balance.PlacingHost(service.Name, l.names) == name,
			Random: rand.New(rand.NewPCG(seed, uint64(100+i))),
		}))
	}
	for i := range service.Endpoints {
		id := directory.EndpointID(i + 1)
		l.addEndpoint(id, false)
		for range flowsPerEndpoint {
			l.openFlow(l.placingHost(), id)
		}
	}
	return l
}

// addEndpoint adds an endpoint at all hosts.
func (l *longFlowRun) addEndpoint(id directory.EndpointID, cold bool) {
	l.ids = append(l.ids, id)
	for _, h := range l.hosts {
		h.Advance(l.now)
		h.Add(id, slotsPerBackend, cold)
	}
}

// placingHost returns the host that places the next flow.
func (l *longFlowRun) placingHost() reportingPlacer {
	if !l.sole {
		return l.hosts[l.random.IntN(len(l.hosts))]
	}
	for i, name := range l.names {
		if name == balance.PlacingHost(l.service.Name, l.names) {
			return l.hosts[i]
		}
	}
	return l.hosts[0]
}

// place opens a flow at the endpoint that the policy chooses.
func (l *longFlowRun) place() directory.EndpointID {
	h := l.placingHost()
	h.Advance(l.now)
	var id directory.EndpointID
	if p, ok := h.(interface {
		Choose(string, []directory.EndpointID) directory.EndpointID
	}); ok {
		id = p.Choose(l.service.Name, l.ids)
	} else {
		id = request.Placer(h).Place(l.random.Uint64(), l.ids)
	}
	l.openFlow(h, id)
	return id
}

// openFlow counts a new flow and schedules its end.
func (l *longFlowRun) openFlow(h reportingPlacer, id directory.EndpointID) {
	h.Sent(id)
	l.openFlows[id]++
	lifetime := time.Duration(l.random.ExpFloat64() * float64(meanFlowLifetime))
	l.order++
	l.ends.schedule(event{at: l.now + lifetime, order: l.order, do: func() {
		l.openFlows[id]--
		h.Advance(l.now)
		h.Done(id, balance.Answered, lifetime)
	}})
}

func (l *longFlowRun) endUntilNow() {
	for len(l.ends) > 0 && l.ends[0].at <= l.now {
		l.ends.removeNext().do()
	}
}

// reportLoads sends the number of open flows of every endpoint to all hosts.
func (l *longFlowRun) reportLoads() {
	for _, h := range l.hosts {
		h.Advance(l.now)
		for _, id := range l.ids {
			h.Observe(id, balance.Report{InFlight: l.openFlows[id], ReadAt: l.now})
		}
	}
}

// imbalance returns the highest over the mean number of open flows per endpoint.
func (l *longFlowRun) imbalance() float64 {
	highest, sum := 0, 0
	for _, id := range l.ids {
		highest, sum = max(highest, l.openFlows[id]), sum+l.openFlows[id]
	}
	return float64(highest) * float64(len(l.ids)) / float64(sum)
}

// PrintLongFlows writes the results as a table.
func PrintLongFlows(w io.Writer, results []FlowResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "long-lived flows\tpolicy\timbalance of open flows\tfair share\thighest share of a new endpoint\tits flows over the mean at the end")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.2f\n", r.Service, r.Policy, r.Imbalance, r.FairShare, r.PeakShare, r.FinalOverMean)
	}
	return t.Flush()
}
