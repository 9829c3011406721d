package delay

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// republishRatio is the change of a relative delay from which it is published again. Smaller changes are mostly noise.
const republishRatio = 1.1

// Relative is the delay of an endpoint relative to the mean of its service.
type Relative struct {
	Endpoint uint64  // its ID
	Factor   float64 // 1 if it is as fast as the others or the service is even
}

// IsValid reports whether the values from another host are plausible.
func (r Relative) IsValid() bool {
	const tolerance = 1.01 // for rounding in messages
	return r.Factor >= 1/(maxFactor*tolerance) && r.Factor <= maxFactor*tolerance
}

// Incarnation is what the estimate of an endpoint belongs to.
type Incarnation struct {
	Service     string
	StartedAtMs int64
}

// Change says that a service has become uneven or has ceased to be.
type Change struct {
	Service   string
	Uneven    bool
	Endpoints int // of which there are samples
	// Smallest and Largest are the relative delays, those that were published last if the service has become even.
	Smallest, Largest float64
}

// Shared holds the estimates of the endpoints of all services from the reports of many hosts, and the relative delays
// that were published of them. The zero value is empty.
type Shared struct {
	services  map[string]*sharedService
	known     map[uint64]Incarnation // of the endpoints with an estimate
	published map[uint64]float64     // relative delays that were published last, where these differ from 1
}

type sharedService struct {
	book      *Book
	endpoints []uint64 // IDs
}

// Retain removes the endpoints that current does not know, and those with another incarnation than before.
func (s *Shared) Retain(current func(id uint64) (Incarnation, bool)) {
	for id, known := range s.known {
		if now, ok := current(id); ok && now == known {
			continue
		}
		delete(s.known, id)
		service := s.services[known.Service]
		service.book.Remove(id)
		service.endpoints = slices.DeleteFunc(service.endpoints, func(other uint64) bool { return other == id })
	}
}

// Add adds a report of samples that were taken until now. The incarnation of its endpoint must be that of the last call of
// Retain.
func (s *Shared) Add(now time.Duration, of Incarnation, r Report) {
	if s.services == nil {
		s.services, s.known, s.published = map[string]*sharedService{}, map[uint64]Incarnation{}, map[uint64]float64{}
	}
	service := s.services[of.Service]
	if service == nil {
		service = &sharedService{book: NewBook()}
		s.services[of.Service] = service
	}
	if _, ok := s.known[r.Endpoint]; !ok {
		s.known[r.Endpoint] = of
		service.endpoints = append(service.endpoints, r.Endpoint)
	}
	service.book.Add(now, r)
}

// Evaluate evaluates all services. It returns the relative delays to publish, ordered by ID, and the services that have
// become uneven or even. Those to publish have changed by more than republishRatio since they were last published or have
// returned to 1.
func (s *Shared) Evaluate(now time.Duration) ([]Relative, []Change) {
	factors, changes := map[uint64]float64{}, []Change(nil)
	for name, service := range s.services {
		was := service.book.IsUneven()
		if is := service.book.Evaluate(now); is != was {
			changes = append(changes, s.change(name, service))
		}
		for _, id := range service.endpoints {
			factors[id] = service.book.Factor(id)
		}
		if len(service.endpoints) == 0 {
			delete(s.services, name)
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Service, b.Service) })
	return s.publish(factors), changes
}

func (s *Shared) change(name string, service *sharedService) Change {
	c := Change{Service: name, Uneven: service.book.IsUneven(), Endpoints: len(service.endpoints), Smallest: 1, Largest: 1}
	for _, id := range service.endpoints {
		factor := service.book.Factor(id)
		if !c.Uneven {
			factor = s.publishedFactor(id)
		}
		c.Smallest, c.Largest = min(c.Smallest, factor), max(c.Largest, factor)
	}
	return c
}

func (s *Shared) publishedFactor(id uint64) float64 {
	if factor, ok := s.published[id]; ok {
		return factor
	}
	return 1
}

// publish returns what has to be published, given the present relative delays, and records it as published.
func (s *Shared) publish(factors map[uint64]float64) []Relative {
	var list []Relative
	for id := range s.published {
		if _, ok := factors[id]; !ok {
			factors[id] = 1 // it has left or has a new incarnation
		}
	}
	for id, factor := range factors {
		before := s.publishedFactor(id)
		switch {
		case factor == 1 && before != 1:
			delete(s.published, id)
		case math.Abs(math.Log(factor/before)) > math.Log(republishRatio):
			s.published[id] = factor
		default:
			continue
		}
		list = append(list, Relative{Endpoint: id, Factor: factor})
	}
	sortRelative(list)
	return list
}

// Published returns the relative delays that were published last and differ from 1, ordered by ID.
func (s *Shared) Published() []Relative {
	list := make([]Relative, 0, len(s.published))
	for id, factor := range s.published {
		list = append(list, Relative{Endpoint: id, Factor: factor})
	}
	sortRelative(list)
	return list
}

// Uneven returns the number of services that are uneven.
func (s *Shared) Uneven() int {
	count := 0
	for _, service := range s.services {
		if service.book.IsUneven() {
			count++
		}
	}
	return count
}

func sortRelative(list []Relative) {
	slices.SortFunc(list, func(a, b Relative) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
}

// Reports returns the decayed samples of the endpoints of a service, ordered by ID.
func (s *Shared) Reports(service string, now time.Duration) []Report {
	if known := s.services[service]; known != nil {
		return known.book.Reports(now)
	}
	return nil
}
