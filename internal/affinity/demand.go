package affinity

import "time"

const (
	// nearFactor is how much more load an endpoint of the own failure domain may have before one
	// of another is preferred, unless the load of the own domain is known to be unfair. Flows across
	// domains cost money and delay, and a cut breaks them.
	nearFactor = 16.0
	// fairLoad is how far above the mean the load of the own domain may be. Rates of
	// single callers make smaller differences.
	fairLoad = 1.25
	// demandLife is the age from which a picture of the demand is of no use. It is renewed every second.
	demandLife = 3 * time.Second
)

// Demand is the number of open flows of a service whose callers came in through one
// failure domain.
type Demand struct {
	Service string
	Domain  string
	Flows   int
}

// Excess says that the own failure domain has begun, or has ceased, to give flows of a service
// to other domains.
type Excess struct {
	Service string
	Begins  bool
	Load    float64 // flows a slot in the own domain
	Mean    float64 // flows a slot in all domains
	Factor  float64 // of the cost of endpoints in other domains
}

// demandPicture is the demand at all entry hosts.
type demandPicture struct {
	at time.Duration
	// factors of endpoints in other domains, by service and domain. Those that are missing have nearFactor.
	factors map[serviceDomain]float64
	excess  map[string]Excess // by service
}

type serviceDomain struct{ service, domain string }

// Demand returns the demand at this host.
func (e *Engine) Demand() []Demand {
	var list []Demand
	for service, c := range e.service {
		flows := 0
		for _, ep := range c.all() {
			flows += ep.open
		}
		if flows > 0 {
			list = append(list, Demand{Service: service, Domain: e.cfg.Domain, Flows: flows})
		}
	}
	return list
}

// SetDemand takes the demand at all hosts that could be asked, this one included. From
// it follows how much of the own domain's demand others should serve.
func (e *Engine) SetDemand(now time.Duration, list []Demand) {
	byService := map[string]map[string]int{}
	for _, d := range list {
		if byService[d.Service] == nil {
			byService[d.Service] = map[string]int{}
		}
		byService[d.Service][d.Domain] += d.Flows
	}
	before := e.picture.excess
	e.picture = demandPicture{at: now, factors: map[serviceDomain]float64{}, excess: map[string]Excess{}}
	for service, flows := range byService {
		e.spreadExcess(service, flows)
	}
	e.updateDistances()
	e.noteExcesses(before)
}

// Excesses returns what has begun and ceased since the last call.
func (e *Engine) Excesses() []Excess {
	changed := e.excesses
	e.excesses = nil
	return changed
}

// noteExcesses compares the picture with the excesses of the one before.
func (e *Engine) noteExcesses(before map[string]Excess) {
	for service, x := range e.picture.excess {
		if _, ok := before[service]; !ok {
			e.excesses = append(e.excesses, x)
		}
	}
	for service, x := range before {
		if _, ok := e.picture.excess[service]; !ok {
			x.Begins = false
			e.excesses = append(e.excesses, x)
		}
	}
}

// spreadExcess chooses the factors of the domains that take what the own one has above the fair
// load. Endpoints of equal cost have flows in the ratio of their factors, so with a share x
// of the flows to give away, n own slots and m slots in the other domains the factor is (1-x)/x m/n.
func (e *Engine) spreadExcess(service string, flows map[string]int) {
	slots := e.usableSlots(service)
	var totalLoad, totalSlots float64
	load := map[string]float64{}
	for domain, n := range flows {
		if s := slots[domain]; s > 0 {
			// One flow a slot more on each side keeps small numbers from making large ratios.
			load[domain] = (float64(n) + s) / s
			totalLoad, totalSlots = totalLoad+float64(n)+s, totalSlots+s
		}
	}
	own, known := load[e.cfg.Domain]
	mean := totalLoad / max(totalSlots, 1)
	if !known || own <= fairLoad*mean {
		return
	}
	excess := 1 - fairLoad*mean/own
	room := 0.0
	for domain, l := range load {
		if l < mean {
			room += slots[domain]
		}
	}
	factor := min(max((1-excess)/excess*room/slots[e.cfg.Domain], 1), nearFactor)
	e.picture.excess[service] = Excess{Service: service, Begins: true, Load: own, Mean: mean, Factor: factor}
	for domain, l := range load {
		if l < mean {
			e.picture.factors[serviceDomain{service, domain}] = factor
		}
	}
}

// usableSlots returns the slots of the endpoints that take new flows, by domain.
func (e *Engine) usableSlots(service string) map[string]float64 {
	slots := map[string]float64{}
	for _, ep := range e.service[service].all() {
		if ep.usable() && !ep.Silent {
			slots[ep.Domain] += 1 / ep.perSlot
		}
	}
	return slots
}

// expireDemand forgets a picture that is not renewed.
func (e *Engine) expireDemand(now time.Duration) {
	if len(e.picture.factors) > 0 && now-e.picture.at >= demandLife {
		before := e.picture.excess
		e.picture = demandPicture{}
		e.updateDistances()
		e.noteExcesses(before)
	}
}

func (e *Engine) updateDistances() {
	for _, ep := range e.byID {
		ep.distance = e.distance(ep)
	}
	for _, c := range e.service {
		c.updateBound()
	}
}

// distance is the factor that the cost of an endpoint has for its failure domain.
func (e *Engine) distance(ep *endpoint) float64 {
	if ep.Domain == e.cfg.Domain {
		return 1
	}
	if factor, ok := e.picture.factors[serviceDomain{ep.Service, ep.Domain}]; ok {
		return factor
	}
	return nearFactor
}
