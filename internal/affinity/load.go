package affinity

import "time"

const (
	// workTimeout is how long an unanswered request counts as work in progress after its last packet.
	// Its flow may have moved to another host, which then sees the answer.
	workTimeout = time.Second
	// usageInterval is the time between observations of the usage of a service.
	usageInterval = 100 * time.Millisecond
	// usageDecay is the weight of earlier observations after each interval. They count half after 10 s.
	usageDecay = 0.9931
	// priorFlows and priorRequests stand for observations before the first one: a host that has just
	// started assumes long flows.
	priorFlows, priorRequests = 1, 16
)

// usage describes how callers use the flows of a service. Where each request has a flow of its own,
// the delay of a new flow depends on the work in progress alone. Where callers keep flows open for
// many requests, it depends on the work that the open flows will bring.
type usage struct {
	flows, requests float64 // opened flows and begun requests
	open, working   float64 // sums, over the observations, of the open flows and of those with work in progress
	workWeight      float64 // weight of an endpoint's work in progress in its load
	openWeight      float64 // weight of an endpoint's open flows in its load
}

func newUsage() *usage {
	u := &usage{flows: priorFlows, requests: priorRequests, open: 1, working: 1}
	u.updateWeights()
	return u
}

// observe records the present numbers of open flows and of flows with work in progress.
func (u *usage) observe(openFlows, workingFlows int) {
	u.flows, u.requests = u.flows*usageDecay, u.requests*usageDecay
	u.open, u.working = u.open*usageDecay+float64(openFlows), u.working*usageDecay+float64(workingFlows)
	u.updateWeights()
}

// updateWeights computes the weights. A flow brings its first request at once, and its later ones
// to an endpoint that is then as loaded as its open flows make it on average.
func (u *usage) updateWeights() {
	if u.flows <= 0 || u.open <= 0 {
		return
	}
	requestsPerFlow := max(u.requests/u.flows, 1)
	workPerOpenFlow := u.working / u.open
	u.workWeight = 1 / requestsPerFlow
	u.openWeight = (1 - u.workWeight) * workPerOpenFlow
}

// load returns the expected work per slot of the endpoint with one more flow, weighted with the
// cost factors of its failure domain.
func (ep *endpoint) load(u *usage) float64 {
	work, open := ep.loadParts(u, 1)
	return (work + open) * ep.loadPerFlow
}

// loadParts returns the expected work of the requests in progress and that of the open flows.
func (ep *endpoint) loadParts(u *usage, more float64) (work, open float64) {
	return u.workWeight * (float64(ep.working) + more) * ep.workFactor, u.openWeight * (float64(ep.openFlows) + more) * ep.domainFactor
}

// observeUsage records the usage of all services, at most once in each usageInterval.
func (e *Engine) observeUsage(now time.Duration) {
	if now-e.usageObservedAt < usageInterval {
		return
	}
	e.usageObservedAt = now
	for _, c := range e.candidates {
		openFlows, workingFlows := 0, 0
		for _, ep := range c.all() {
			openFlows, workingFlows = openFlows+ep.openFlows, workingFlows+ep.working
		}
		c.usage.observe(openFlows, workingFlows)
	}
}
