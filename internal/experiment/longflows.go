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
	// flowLife is the mean lifetime of an open flow. It is shorter than that of
	// real flows, so that a run shows how new flows fill a new endpoint.
	flowLife     = 10 * time.Minute
	endpointAt   = time.Minute      // when the endpoint is added
	endOfFlows   = 8 * time.Minute  // end of the run
	shareWindow  = 10 * time.Second // over which the added endpoint's share is taken
	flowsSettled = 30 * time.Second // start of the imbalance measurement
)

// FlowResult holds the results of long-lived flows with one policy.
type FlowResult struct {
	Service, Policy string
	Imbalance       float64 // highest over mean number of open flows per endpoint, before the endpoint is added
	FairShare       float64 // of the new flows, for one endpoint
	PeakShare       float64 // highest share of the new flows that the added endpoint got in a window of 10 s
	Reached         float64 // open flows of the added endpoint over the mean of all, at the end
}

// longRun simulates long-lived flows. As the flow engine does, it places them with
// Choose if the placer has that method.
type longRun struct {
	service Service
	random  *rand.Rand
	hosts   []observer
	names   []string
	sole    bool
	ids     []directory.EndpointID
	open    []int // open flows by endpoint
	ends    events
	order   uint64
	now     time.Duration
}

// RunLongFlows simulates flows that open and end, and adds one endpoint after a minute.
func RunLongFlows(service Service, policy Policy, seed uint64) FlowResult {
	l := newLongRun(service, policy, seed)
	result := FlowResult{Service: service.Name, Policy: policy.Name, FairShare: 1 / float64(service.Endpoints+1)}
	added := directory.EndpointID(service.Endpoints + 1)
	rate := float64(connections*service.Endpoints) / flowLife.Seconds()
	var fresh, all, samples int
	window, report := shareWindow, reportEvery
	for l.now < endOfFlows {
		l.now += time.Duration(l.random.ExpFloat64() / rate * float64(time.Second))
		if l.now >= endpointAt && len(l.ids) == service.Endpoints {
			l.add(added, true)
		}
		if l.now >= report {
			report += reportEvery
			l.report()
			if l.now > flowsSettled && l.now < endpointAt {
				result.Imbalance += l.imbalance()
				samples++
			}
		}
		if l.now >= window {
			window += shareWindow
			result.PeakShare = max(result.PeakShare, float64(fresh)/float64(max(1, all)))
			fresh, all = 0, 0
		}
		l.endUntilNow()
		all++
		if l.place() == added {
			fresh++
		}
	}
	result.Imbalance /= float64(samples)
	total := 0
	for _, n := range l.open {
		total += n
	}
	result.Reached = float64(l.open[added]) * float64(len(l.ids)) / float64(total)
	return result
}

func newLongRun(service Service, policy Policy, seed uint64) *longRun {
	l := &longRun{
		service: service, sole: policy.Sole, random: rand.New(rand.NewPCG(seed, 3)), open: make([]int, service.Endpoints+2),
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
		l.add(id, false)
		for range connections {
			l.opened(l.host(), id)
		}
	}
	return l
}

// add adds an endpoint at all hosts.
func (l *longRun) add(id directory.EndpointID, cold bool) {
	l.ids = append(l.ids, id)
	for _, h := range l.hosts {
		h.Advance(l.now)
		h.Add(id, slots, cold)
	}
}

// host returns the host that places the next flow.
func (l *longRun) host() observer {
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
func (l *longRun) place() directory.EndpointID {
	h := l.host()
	h.Advance(l.now)
	var id directory.EndpointID
	if p, ok := h.(interface {
		Choose(string, []directory.EndpointID) directory.EndpointID
	}); ok {
		id = p.Choose(l.service.Name, l.ids)
	} else {
		id = request.Placer(h).Place(l.random.Uint64(), l.ids)
	}
	l.opened(h, id)
	return id
}

// opened counts a new flow and schedules its end.
func (l *longRun) opened(h observer, id directory.EndpointID) {
	h.Sent(id)
	l.open[id]++
	life := time.Duration(l.random.ExpFloat64() * float64(flowLife))
	l.order++
	l.ends.add(event{at: l.now + life, order: l.order, do: func() {
		l.open[id]--
		h.Advance(l.now)
		h.Done(id, balance.Answered, life)
	}})
}

func (l *longRun) endUntilNow() {
	for len(l.ends) > 0 && l.ends[0].at <= l.now {
		l.ends.take().do()
	}
}

// report sends the number of open flows of every endpoint to all hosts.
func (l *longRun) report() {
	for _, h := range l.hosts {
		h.Advance(l.now)
		for _, id := range l.ids {
			h.Observe(id, balance.Report{InFlight: l.open[id], ReadAt: l.now})
		}
	}
}

// imbalance returns the highest over the mean number of open flows per endpoint.
func (l *longRun) imbalance() float64 {
	highest, sum := 0, 0
	for _, id := range l.ids {
		highest, sum = max(highest, l.open[id]), sum+l.open[id]
	}
	return float64(highest) * float64(len(l.ids)) / float64(sum)
}

// PrintLongFlows writes the results as a table.
func PrintLongFlows(w io.Writer, results []FlowResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "long-lived flows\tpolicy\timbalance of open flows\tfair share\thighest share of a new endpoint\tits flows over the mean at the end")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.2f\n", r.Service, r.Policy, r.Imbalance, r.FairShare, r.PeakShare, r.Reached)
	}
	return t.Flush()
}
