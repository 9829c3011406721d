package affinity

import "time"

const (
	// remoteFactor is the cost factor of endpoints in other failure domains while the local domain
	// has no excess of flows. It is high because flows between domains cost money and delay, and
	// a network partition breaks them.
	remoteFactor = 16.0
	// remoteWorkFactor is the highest cost factor of work in progress in other failure domains. It is
	// low because a single request is soon over, and waiting for a local endpoint takes longer than
	// the way to another domain.
	remoteWorkFactor = 3.0
	// fairLoadRatio is the ratio of the local domain's load to the mean from which the local domain
	// has an excess. The rates of single callers cause smaller differences.
	fairLoadRatio = 1.25
	// demandMaxAge is the age at which a demand snapshot expires. It is renewed every second.
	demandMaxAge = 3 * time.Second
)

// Demand is the number of open flows of a service that entered through one failure domain.
type Demand struct {
	Service string
	Domain  string
	Flows   int
}

// Excess reports that the local failure domain has started or stopped sending its excess
// flows of a service to other domains.
type Excess struct {
	Service string
	Begins  bool    // whether it has started; false if it has stopped
	Load    float64 // flows per slot in the local domain
	Mean    float64 // flows per slot in all domains
	Factor  float64 // cost factor of endpoints in the domains that take the excess
}

// demandSnapshot holds the cost factors and excesses that follow from the demand at all entry
// hosts.
type demandSnapshot struct {
	takenAt time.Duration
	// factors are the cost factors of endpoints in other domains; a missing entry means remoteFactor.
	factors map[serviceDomain]float64
	excess  map[string]Excess         // by service
	flows   map[string]map[string]int // by service and domain
}

type serviceDomain struct{ service, domain string }

// LocalDemand returns the demand at this host, by service.
func (e *Engine) LocalDemand() []Demand {
	var list []Demand
	for service, c := range e.candidates {
		flows := 0
		for _, ep := range c.all() {
			flows += ep.openFlows
		}
		if flows > 0 {
			list = append(list, Demand{Service: service, Domain: e.cfg.Domain, Flows: flows})
		}
	}
	return list
}

// SetDemand sets the demand at all hosts that replied, including this one, and computes how
// much of the local domain's demand the other domains should serve.
func (e *Engine) SetDemand(now time.Duration, list []Demand) {
	byService := map[string]map[string]int{}
	for _, d := range list {
		if byService[d.Service] == nil {
			byService[d.Service] = map[string]int{}
		}
		byService[d.Service][d.Domain] += d.Flows
	}
	before := e.snapshot.excess
	e.snapshot = demandSnapshot{takenAt: now, factors: map[serviceDomain]float64{}, excess: map[string]Excess{}, flows: byService}
	for service, flows := range byService {
		e.computeExcess(service, flows)
	}
	e.updateDomainFactors()
	e.recordExcessChanges(before)
}

// TakeExcesses returns and clears the excesses that have started or stopped since the last call.
func (e *Engine) TakeExcesses() []Excess {
	changed := e.excesses
	e.excesses = nil
	return changed
}

// recordExcessChanges records the differences between the excesses before and now.
func (e *Engine) recordExcessChanges(before map[string]Excess) {
	for service, x := range e.snapshot.excess {
		if _, ok := before[service]; !ok {
			e.excesses = append(e.excesses, x)
		}
	}
	for service, x := range before {
		if _, ok := e.snapshot.excess[service]; !ok {
			x.Begins = false
			e.excesses = append(e.excesses, x)
		}
	}
}

// computeExcess sets the cost factors of the domains that take the flows of the local domain
// above the fair load. Flows divide over endpoints in inverse ratio to the cost factors, so to
// move a share x of the flows from n local slots to m slots in the other domains, the factor
// must be (1-x)/x * m/n.
func (e *Engine) computeExcess(service string, flows map[string]int) {
	slots := e.usableSlots(service)
	var totalLoad, totalSlots float64
	load := map[string]float64{}
	for domain, n := range flows {
		if s := slots[domain]; s > 0 {
			// One extra flow per slot in each domain keeps small numbers from making large ratios.
			load[domain] = (float64(n) + s) / s
			totalLoad, totalSlots = totalLoad+float64(n)+s, totalSlots+s
		}
	}
	localLoad, known := load[e.cfg.Domain]
	mean := totalLoad / max(totalSlots, 1)
	if !known || localLoad <= fairLoadRatio*mean {
		return
	}
	excess := 1 - fairLoadRatio*mean/localLoad
	remoteSlots := 0.0
	for domain, l := range load {
		if l < mean {
			remoteSlots += slots[domain]
		}
	}
	factor := min(max((1-excess)/excess*remoteSlots/slots[e.cfg.Domain], 1), remoteFactor)
	e.snapshot.excess[service] = Excess{Service: service, Begins: true, Load: localLoad, Mean: mean, Factor: factor}
	for domain, l := range load {
		if l < mean {
			e.snapshot.factors[serviceDomain{service, domain}] = factor
		}
	}
}

// usableSlots returns the number of slots of the endpoints that take new flows, by domain.
func (e *Engine) usableSlots(service string) map[string]float64 {
	slots := map[string]float64{}
	for _, ep := range e.candidates[service].all() {
		if ep.usable() && !ep.Silent {
			slots[ep.Domain] += 1 / ep.loadPerFlow
		}
	}
	return slots
}

// expireDemand discards a demand snapshot that has not been renewed in time.
func (e *Engine) expireDemand(now time.Duration) {
	if len(e.snapshot.flows) > 0 && now-e.snapshot.takenAt >= demandMaxAge {
		before := e.snapshot.excess
		e.snapshot = demandSnapshot{}
		e.updateDomainFactors()
		e.recordExcessChanges(before)
	}
}

func (e *Engine) updateDomainFactors() {
	e.changes++
	for _, ep := range e.byID {
		e.setDomainFactors(ep)
	}
	for _, c := range e.candidates {
		c.recomputeBounds()
	}
}

// setDomainFactors sets the cost factors of an endpoint's failure domain.
func (e *Engine) setDomainFactors(ep *endpoint) {
	ep.domainFactor = e.factorOf(ep)
	ep.workFactor = min(ep.domainFactor, remoteWorkFactor)
}

// factorOf returns the cost factor of an endpoint's failure domain.
func (e *Engine) factorOf(ep *endpoint) float64 {
	if ep.Domain == e.cfg.Domain {
		return 1
	}
	if factor, ok := e.snapshot.factors[serviceDomain{ep.Service, ep.Domain}]; ok {
		return factor
	}
	return remoteFactor
}
