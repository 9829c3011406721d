package affinity

import (
	"net/netip"
	"time"
)

// Query asks where the first packet of a new flow would go. The caller's address and the sequence number decide
// which service of a route with several services the flow gets. If one of them is unknown, all services are explained.
type Query struct {
	Route  netip.AddrPort
	Caller netip.AddrPort // not valid if it is unknown
	Seq    uint32         // sequence number of the first packet
	HasSeq bool           // it is known
}

// Explanation tells where the first packet of a new flow would go, and why.
type Explanation struct {
	Verdict  Verdict
	Reason   Reason
	Version  uint64 // of the routes
	Revision uint64 // of the evacuations
	Selected string // the service of the caller; empty if the query does not determine it
	// RefusedShare is the share of new flows that are refused because the link of this host is full.
	RefusedShare float64
	Services     []ServiceExplanation
}

// ServiceExplanation tells where a service's next flow would go.
type ServiceExplanation struct {
	Service    string
	Weight     uint32
	Uneven     bool   // its endpoints differ in speed
	Choice     uint64 // ID of the endpoint that its next flow would get; 0 if it has none
	HasChoice  bool
	Candidates []Candidate
}

// Candidate is an endpoint of a service as the search sees it.
type Candidate struct {
	Endpoint  Endpoint
	States    []State
	Usable    bool // it may get new flows
	OpenFlows int
	Working   int
	Delay     time.Duration // typical delay of the service's answers; 0 if none has been measured
	Slowness  float64       // delay relative to the other endpoints of the service
	Cost      Cost
	// InTurn is the cost with the share of the time until the endpoint's next turn in place of one more flow. Endpoints of
	// an uneven service are compared by it within the local domain and within the other domains.
	InTurn float64
}

// Cost is the cost of an endpoint with one more flow, by its parts.
type Cost struct {
	Work, Open                           float64 // load by requests in progress and by open flows
	Cold, Overdue, Suspect, Full, Silent float64 // penalties
	Total                                float64
}

// State is a condition of an endpoint that matters for new flows.
type State string

// States of a candidate.
const (
	StateAccepts  State = "accepts flows"
	StateDraining State = "draining"
	StateEnded    State = "ended"
	StateReplaced State = "address taken"
	StateCollides State = "token in use"
	StateSilent   State = "silent"
	StateSuspect  State = "suspect"
	StateCold     State = "cold"
	StateRefused  State = "refused lately"
	StateOverdue  State = "request overdue"
	// StateEvacuated is that of an endpoint in an evacuated failure domain.
	StateEvacuated State = "evacuated"
	// StateHeldBack is that of a cold endpoint that gets no first packet of this host now, because the host has no grant or has used it up.
	StateHeldBack State = "held back"
	// StateOtherRegion is that of an endpoint in a region that may not serve the route.
	StateOtherRegion State = "other region"
)

// candidateStates lists the states with their conditions. The penalties are those of the present load.
var candidateStates = []struct {
	state State
	holds func(ep *endpoint, p penalties) bool
}{
	{StateAccepts, func(ep *endpoint, _ penalties) bool { return ep.usable() }},
	{StateDraining, func(ep *endpoint, _ penalties) bool { return !ep.AcceptsFlows && !ep.Gone }},
	{StateEnded, func(ep *endpoint, _ penalties) bool { return ep.Gone }},
	{StateReplaced, func(ep *endpoint, _ penalties) bool { return ep.replacedBy != nil }},
	{StateCollides, func(ep *endpoint, _ penalties) bool { return ep.tokenCollides }},
	{StateEvacuated, func(ep *endpoint, _ penalties) bool { return ep.evacuated }},
	{StateSilent, func(_ *endpoint, p penalties) bool { return p.silent > 0 }},
	{StateSuspect, func(_ *endpoint, p penalties) bool { return p.suspect > 0 }},
	{StateCold, func(_ *endpoint, p penalties) bool { return p.cold > 0 }},
	{StateRefused, func(_ *endpoint, p penalties) bool { return p.full > 0 }},
	{StateOverdue, func(ep *endpoint, _ penalties) bool { return ep.overdue > 1 }},
}

// Explain tells where the first packet of a new flow would go now. It changes no state.
func (e *Engine) Explain(now time.Duration, q Query) Explanation {
	p := Packet{Caller: q.Caller, Service: q.Route, Flags: SYN, Seq: q.Seq}
	r, reason := e.findRoute(p)
	x := Explanation{Version: e.version, Revision: e.evacuations.Revision, Reason: reason}
	if r == nil {
		if reason == NoRoute {
			x.Verdict = Reset
		}
		return x
	}
	x.RefusedShare = e.link.refusedShare(now)
	if len(r.shares) == 1 || r.totalWeight == 0 || q.Caller.IsValid() && q.HasSeq {
		x.Selected = e.pickService(p, r)
	}
	hasChoice := false
	for _, share := range r.shares {
		if x.Selected != "" && share.Service != x.Selected {
			continue
		}
		s := e.explainService(now, r, share.Service)
		s.Weight = share.Weight
		hasChoice = hasChoice || s.HasChoice
		x.Services = append(x.Services, s)
	}
	x.Verdict, x.Reason = Forward, Placed
	switch {
	case q.Caller.IsValid() && q.HasSeq && e.uniform(p) < x.RefusedShare:
		x.Verdict, x.Reason = Reset, LinkFull
	case !hasChoice:
		x.Verdict, x.Reason = Reset, NoEndpoint
	}
	return x
}

// explainService explains the next choice of a service's endpoint.
func (e *Engine) explainService(now time.Duration, r *route, service string) ServiceExplanation {
	s := ServiceExplanation{Service: service}
	c := e.candidates[service]
	if c == nil {
		return s
	}
	choice := e.choices + 1
	if ep := e.search(now, e.candidatesFor(r, service), choice, nil); ep != nil {
		s.Choice, s.HasChoice = ep.ID, true
	}
	s.Uneven = c.speeds.uneven
	for _, ep := range c.all() {
		x := e.explainCandidate(now, c, ep)
		if !r.allows(ep.Domain) {
			x.Usable, x.States = false, append(x.States, StateOtherRegion)
		}
		s.Candidates = append(s.Candidates, x)
	}
	return s
}

func (e *Engine) explainCandidate(now time.Duration, c *candidates, ep *endpoint) Candidate {
	work, open := ep.loadParts(c.usage, 1)
	p := ep.penalties(now, ep.weightedLoad(c.usage, 1))
	x := Candidate{
		Endpoint: ep.Endpoint, Usable: ep.usable() && !ep.isHeldBack(now), OpenFlows: ep.openFlows, Working: ep.working,
		Delay: c.speeds.own.Typical(ep.ID), Slowness: ep.slowness,
		Cost: Cost{
			Work: work * ep.stride, Open: open * ep.stride, Cold: p.cold, Overdue: p.overdue, Suspect: p.suspect, Full: p.full, Silent: p.silent,
			Total: ep.cost(now, c.usage, 1),
		},
		InTurn: ep.cost(now, c.usage, e.turnsOf(c, ep).wait(ep)),
	}
	for _, s := range candidateStates {
		if s.holds(ep, p) {
			x.States = append(x.States, s.state)
		}
	}
	if ep.isHeldBack(now) {
		x.States = append(x.States, StateHeldBack)
	}
	return x
}
