package affinity

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"cassiawood/internal/delay"
	"cassiawood/internal/routing"
)

// Config holds the settings of an engine.
type Config struct {
	Domain string // failure domain of this host
	Seed   uint64 // of random choices; hosts with the same seed choose alike
	// IgnoreDelays makes all endpoints of a service count as equally fast, whatever their delays and refusals. It is the
	// baseline in comparisons.
	IgnoreDelays bool
	// LinkBytesPerSecond is the capacity of this host's link. If it is 0, no flow is refused for a full link.
	LinkBytesPerSecond float64
}

// goneGracePeriod is how long packets are still forwarded to an endpoint that is gone, because
// it may handle them before it exits.
const goneGracePeriod = time.Second

// Engine decides what happens to each packet of a caller. It is not safe for
// concurrent use.
type Engine struct {
	cfg             Config
	version         uint64
	idleTimeout     time.Duration
	routes          map[netip.AddrPort]*route
	byToken         map[uint32]*endpoint
	byID            map[uint64]*endpoint
	candidates      map[string]*candidates       // by service name
	byAddress       map[netip.AddrPort]*endpoint // the newest incarnation at each address
	flows           map[flowKey]*flow
	lists           [phaseCount]flowList // the flows of each phase
	choices         uint64               // calls of choose; rotates the start of its search
	usageObservedAt time.Duration
	snapshot        demandSnapshot
	suspicions      []Suspicion // since the last call of TakeSuspicions
	excesses        []Excess    // since the last call of TakeExcesses
	idle            idleResets
	holdsNewFlows   bool // set by HoldNewFlows
	path            pathHealth
	evacuations     routing.Evacuations
	coldStarts      map[string]routing.ColdStart // by service
	changes         uint64                       // of endpoints, evacuations and demand
	link            linkLoad
	seed            uint64 // of random choices

	resumedAt time.Duration // end of the latest pause of this host; 0 before

	overdue           []*endpoint // with an overdue request
	overdueFoundAt    time.Duration
	delaysEvaluatedAt time.Duration
	sharedDelaysAt    time.Duration // of the last call of SetRelativeDelays; 0 before
}

// route is a compiled route.
type route struct {
	shares      []routing.Share
	totalWeight uint64   // sum of the shares' weights
	allowed     []string // services that this or an earlier version names
	idempotent  bool     // callers may repeat its requests
	domains     []string // failure domains whose endpoints may serve it; empty if all may
	domainsKey  string   // names the set of domains
}

// endpoint is an endpoint with its load and health as seen by this host.
type endpoint struct {
	// The load fields come first, so that a search reads one cache line of most endpoints.
	openFlows     int     // flows of this endpoint that this host remembers
	working       int     // those of them with work in progress
	loadPerFlow   float64 // 1 divided by its slots
	domainFactor  float64 // cost factor of its failure domain for open flows
	workFactor    float64 // cost factor of its failure domain for work in progress
	turnAt        float64 // next turn by the clock of its list
	stride        float64 // virtual time between two turns: loadPerFlow times slowness
	pace          float64 // 1 divided by stride
	health        passiveHealth
	token         uint32
	goneAt        time.Duration // when it had ended, by what was known then; -1 before
	replacedBy    *endpoint     // a newer incarnation that has reported at its address
	replaces      *endpoint     // the one whose address it has taken
	tokenCollides bool          // an endpoint with a lower ID has the same token
	evacuated     bool          // its failure domain is evacuated
	slowStart     slowStart
	slowness      float64       // factor by which its load counts, from its delays
	overdue       float64       // factor by which its load counts, from the age of its requests in progress
	sharedFactor  float64       // the latest RelativeDelay; 0 if there is none
	answeredAt    time.Duration // last answer of any of its flows
	handshake     time.Duration // mean handshake time
	hasHandshake  bool          // a handshake has been seen
	fullUntil     time.Duration // it has refused a request because it was full
	measured      delay.Report  // since the last evaluation
	unsent        delay.Report  // evaluated since the last call of TakeDelays
	Endpoint
}

// flowKey identifies a flow.
type flowKey struct{ caller, service netip.AddrPort }

// flow is the state that this host keeps for a flow.
type flow struct {
	key            flowKey
	seq            uint32 // of the first packet
	endpoint       *endpoint
	transmissions  int // of the first packet, seen by this host; 0 if another host placed the flow
	phase          phase
	abandonChecked bool // the lack of packets after the first one has been evaluated
	startedAt      time.Duration
	lastPacketAt   time.Duration
	progress       progress
	previous       *flow
	next           *flow
}

// New returns an engine without routes and endpoints.
func New(cfg Config) *Engine {
	return &Engine{
		cfg: cfg, seed: cfg.Seed, link: linkLoad{bytesPerSecond: cfg.LinkBytesPerSecond}, idleTimeout: defaultIdleTimeout, routes: map[netip.AddrPort]*route{}, byToken: map[uint32]*endpoint{},
		byID: map[uint64]*endpoint{}, candidates: map[string]*candidates{}, byAddress: map[netip.AddrPort]*endpoint{},
		flows: map[flowKey]*flow{},
	}
}

// Version returns the version of the routes in force, 0 before the first ones.
func (e *Engine) Version() uint64 { return e.version }

// TakeSuspicions returns and clears the changes of suspicion since the last call.
func (e *Engine) TakeSuspicions() []Suspicion {
	changes := e.suspicions
	e.suspicions = nil
	return changes
}

// HoldNewFlows makes the engine drop first packets, or ends that. Their callers repeat them. Packets of
// open flows are still forwarded: they name their endpoint.
func (e *Engine) HoldNewFlows(hold bool) { e.holdsNewFlows = hold }

// EndpointCount returns the number of known endpoints that are not gone.
func (e *Engine) EndpointCount() int {
	count := 0
	for _, ep := range e.byID {
		if !ep.Gone {
			count++
		}
	}
	return count
}

// FlowCount returns the number of remembered flows.
func (e *Engine) FlowCount() int { return len(e.flows) }

// SetRoutes installs a table and reports whether it did; a table that is not newer
// than the installed one is ignored. Open flows keep their endpoint as long as their
// route exists.
func (e *Engine) SetRoutes(t routing.Table) bool {
	if t.Version <= e.version {
		return false
	}
	routes := make(map[netip.AddrPort]*route, len(t.Routes))
	for _, r := range t.Routes {
		compiled := &route{shares: r.Shares, allowed: slices.Clone(r.FormerServices), idempotent: r.Idempotent, domains: r.Domains, domainsKey: strings.Join(r.Domains, "\n")}
		if old := e.routes[r.Address]; old != nil {
			compiled.allowed = append(compiled.allowed, old.allowed...)
		}
		for _, s := range r.Shares {
			compiled.totalWeight += uint64(s.Weight)
			compiled.allowed = append(compiled.allowed, s.Service)
		}
		slices.Sort(compiled.allowed)
		compiled.allowed = slices.Compact(compiled.allowed)
		routes[r.Address] = compiled
	}
	e.version, e.routes = t.Version, routes
	e.setColdStarts(t.ColdStarts)
	if t.IdleTimeout > 0 {
		e.idleTimeout = t.IdleTimeout
	}
	return true
}

// Upsert adds an endpoint or updates its state. The state of an older incarnation is ignored.
func (e *Engine) Upsert(now time.Duration, s Endpoint) {
	e.changes++
	ep := e.byID[s.ID]
	listed := ep != nil && ep.Service == s.Service && ep.Domain == s.Domain
	if ep == nil {
		ep = &endpoint{Endpoint: s, token: Token(s.ID), goneAt: -1, slowness: 1, overdue: 1}
		e.updateSlowStart(now, ep, s)
		e.byID[s.ID] = ep
		e.addToken(ep)
	} else {
		if s.StartedAtMs < ep.StartedAtMs {
			return
		}
		if s.StartedAtMs > ep.StartedAtMs {
			ep.health, ep.goneAt, ep.replacedBy = passiveHealth{}, -1, nil
			ep.overdue, ep.handshake = 1, 0
			ep.slowness, ep.sharedFactor, ep.measured, ep.unsent, ep.fullUntil = 1, 0, delay.Report{}, delay.Report{}, 0
			if c := e.candidates[ep.Service]; c != nil {
				c.speeds.own.Remove(ep.ID)
			}
		}
		if !listed {
			e.removeFromService(ep)
		}
		if ep.Address != s.Address && e.byAddress[ep.Address] == ep {
			delete(e.byAddress, ep.Address) // another endpoint may use the address that it has left
		}
		if ep.Gone && !s.Gone {
			ep.goneAt = -1 // it has turned out to be running
		}
		e.updateSlowStart(now, ep, s)
		ep.Endpoint = s
	}
	ep.loadPerFlow = 1 / float64(max(ep.Slots, 1))
	e.setEvacuated(ep)
	e.setDomainFactors(ep)
	if listed {
		ep.updateStride(e.turnsOf(e.candidates[ep.Service], ep))
	} else {
		e.addToService(ep)
	}
	if ep.Domain != e.cfg.Domain {
		e.candidates[ep.Service].lowerBoundsTo(ep)
	}
	e.claimAddress(ep)
	if ep.Silent || ep.Gone {
		e.returnAddress(ep)
	}
	e.markEnding(now, ep)
	if ep.replaces != nil {
		e.markEnding(now, ep.replaces)
	}
}

// addToken indexes the endpoint by its token. Of two endpoints with the same token
// every host uses only the one with the lower ID.
func (e *Engine) addToken(ep *endpoint) {
	other := e.byToken[ep.token]
	switch {
	case other == nil:
		e.byToken[ep.token] = ep
	case other.ID < ep.ID:
		ep.tokenCollides = true
	default:
		other.tokenCollides, e.byToken[ep.token] = true, ep
	}
}

// passOnToken gives the token of a removed endpoint to the one with the lowest ID that shares it.
func (e *Engine) passOnToken(token uint32) {
	var next *endpoint
	for _, ep := range e.byID {
		if ep.token == token && (next == nil || ep.ID < next.ID) {
			next = ep
		}
	}
	if next != nil {
		next.tokenCollides, e.byToken[token] = false, next
	}
}

// claimAddress records the newest incarnation at an address, which an older one there no longer gets new flows for. Only
// when the older one is silent, it has ended: one that goes on reporting shows that the other report is wrong.
func (e *Engine) claimAddress(ep *endpoint) {
	holder := e.byAddress[ep.Address]
	switch {
	case holder == nil || holder == ep || holder.StartedAtMs == ep.StartedAtMs:
		e.byAddress[ep.Address] = ep
	case holder.StartedAtMs < ep.StartedAtMs:
		holder.replacedBy, ep.replaces, e.byAddress[ep.Address] = ep, holder, ep
	default:
		ep.replacedBy = holder
		if holder.replaces == nil {
			holder.replaces = ep
		}
	}
}

// returnAddress gives the address of an endpoint that does not report any more back to the one that had it, if
// that one has gone on reporting.
func (e *Engine) returnAddress(ep *endpoint) {
	holder := ep.replaces
	if holder == nil || holder.Silent || holder.Gone || holder.goneAt >= 0 || e.byAddress[ep.Address] != ep || holder.replacedBy != ep {
		return
	}
	holder.replacedBy, ep.replaces, e.byAddress[ep.Address] = nil, nil, holder
}

func (e *Engine) addToService(ep *endpoint) {
	c := e.candidates[ep.Service]
	if c == nil {
		c = newCandidates()
		e.candidates[ep.Service] = c
	}
	c.add(ep, ep.Domain == e.cfg.Domain)
	e.turnsOf(c, ep).join(ep, e.seed)
}

func (e *Engine) removeFromService(ep *endpoint) {
	if c := e.candidates[ep.Service]; c != nil {
		c.remove(ep)
	}
}

// Remove deletes an endpoint.
func (e *Engine) Remove(id uint64) {
	ep := e.byID[id]
	if ep == nil {
		return
	}
	e.changes++
	e.returnAddress(ep)
	if next := ep.replacedBy; next != nil && next.replaces == ep {
		next.replaces = nil
	}
	ep.replaces, ep.replacedBy = nil, nil
	delete(e.byID, id)
	e.removeFromService(ep)
	if e.byToken[ep.token] == ep {
		delete(e.byToken, ep.token)
		e.passOnToken(ep.token)
	}
	if e.byAddress[ep.Address] == ep {
		delete(e.byAddress, ep.Address)
	}
	ep.Gone, ep.goneAt = true, 0
}

// hasEnded reports whether the endpoint has ended and its grace period is over.
func (ep *endpoint) hasEnded(now time.Duration) bool {
	return ep.goneAt >= 0 && now-ep.goneAt >= goneGracePeriod
}

// Decide returns the decision for a packet of a caller.
func (e *Engine) Decide(now time.Duration, p Packet) Decision {
	d := e.decide(now, p)
	switch {
	case d.Verdict == Forward:
		e.link.count(now, p)
	case d.Verdict == Reset && e.mayHaveWaited(now) && !p.isOriginal():
		d.Verdict, d.Reason = Drop, Waited // its caller repeats what has had no answer
	}
	return d
}

func (e *Engine) decide(now time.Duration, p Packet) Decision {
	r, reason := e.findRoute(p)
	if r == nil {
		if reason == NoRoute {
			return refuse(p, reason)
		}
		return Decision{Verdict: Drop, Reason: reason}
	}
	if p.Flags&SYN != 0 {
		return e.decideFirst(now, p, r)
	}
	return e.decideLater(now, p, r)
}

// findRoute returns the route of a packet, or nil and the reason why the packet is not handled.
func (e *Engine) findRoute(p Packet) (*route, Reason) {
	if e.version == 0 {
		// When too few hosts are ready, the fabric also sends packets to hosts that are not.
		return nil, NoState
	}
	if e.holdsNewFlows && p.Flags&SYN != 0 {
		return nil, OldState
	}
	if r := e.routes[p.Service]; r != nil {
		return r, 0
	}
	return nil, NoRoute
}

// refuse resets the flow, unless the packet is itself a reset, which gets no reply.
func refuse(p Packet, reason Reason) Decision {
	if p.Flags&RST != 0 {
		return Decision{Verdict: Drop, Reason: CallerReset}
	}
	return Decision{Verdict: Reset, Reason: reason}
}

// decideLater routes a packet by its token.
func (e *Engine) decideLater(now time.Duration, p Packet, r *route) Decision {
	ep := e.byToken[p.Token]
	f := e.flows[flowKey{p.Caller, p.Service}]
	switch {
	case ep == nil:
		return Decision{Verdict: Drop, Reason: UnknownToken}
	case !slices.Contains(r.allowed, ep.Service):
		return Decision{Verdict: Drop, Reason: ForeignToken}
	case ep.hasEnded(now):
		if f != nil {
			e.removeFlow(f) // its caller learns it now, with the number of this packet
		}
		d := refuse(p, EndpointGone)
		d.Endpoint = &ep.Endpoint
		return d
	}
	f, retransmits := e.trackLater(now, p, f, ep)
	stalled := f != nil && retransmits > 0 && f.progress.stalled(now) && !e.path.canExplain(now, ep.health.unanswered)
	if stalled {
		e.markUnresponsive(ep)
	}
	if stalled && r.idempotent && ep.health.failures >= suspectFailures {
		e.removeFlow(f)
		return Decision{Verdict: Reset, Reason: Stalled, Endpoint: &ep.Endpoint, DataRetransmits: retransmits, Age: now - f.progress.sentAt}
	}
	return Decision{Verdict: Forward, Reason: ByToken, Endpoint: &ep.Endpoint, Token: ep.token, DataRetransmits: retransmits}
}
