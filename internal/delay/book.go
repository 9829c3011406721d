package delay

import (
	"math"
	"slices"
	"time"
)

const (
	// priorSamples is the number of samples at which an endpoint's own mean and the service's mean count alike.
	priorSamples = 4
	// minSpread is the least standard deviation of the logarithm of the endpoints' delays from which a service is uneven: the
	// fastest and the slowest tenth differ by a factor of 1.5 then. endSpread is that at which it ceases to be uneven.
	minSpread = 0.16
	endSpread = 0.11
	// significance is the number of standard deviations by which the variance between the endpoints has to exceed the
	// variance that equal endpoints show by chance.
	significance = 3
	// changeEvidence is the evidence in new samples that an endpoint's speed has changed, in the units of a chi-square variable with
	// one degree of freedom, from which earlier samples count only by keptAfterChange. Chance reaches it in 0.5 % of the
	// evaluations.
	changeEvidence  = 8
	keptAfterChange = 0.1
	// maxFactor bounds the relative delays. An endpoint that is slower than that gets hardly any flows.
	maxFactor = 20
)

// Book holds the estimates of the endpoints of one service.
type Book struct {
	estimates map[uint64]*estimate // by endpoint ID
	uneven    bool
	mean      float64 // of the logarithms, over all endpoints, as of the last call of Evaluate
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{estimates: map[uint64]*estimate{}} }

// Add adds a report of samples that were taken until now. Reports of the same time count as one.
func (b *Book) Add(now time.Duration, r Report) {
	e := b.estimates[r.Endpoint]
	if e == nil {
		e = &estimate{report: Report{Endpoint: r.Endpoint}, at: now, freshAt: now}
		b.estimates[r.Endpoint] = e
	}
	if e.freshAt != now {
		e.fold(e.freshAt)
		e.freshAt = now
	}
	e.fresh.Merge(r)
}

// fold adds the fresh samples to the estimate and decays it.
func (e *estimate) fold(now time.Duration) {
	e.decayTo(e.freshAt)
	if e.hasChanged(e.fresh) {
		e.report.Samples *= keptAfterChange
	}
	e.report.Merge(e.fresh)
	e.fresh = Report{}
	e.decayTo(now)
}

// hasChanged reports whether new samples are too different from the earlier ones for an endpoint of the same speed.
func (e *estimate) hasChanged(r Report) bool {
	if r.Samples <= 0 || e.report.Samples < 1 {
		return false
	}
	difference := (r.MeanLog - e.report.MeanLog) / requestSpread
	return difference*difference/(1/r.Samples+1/e.report.Samples) > changeEvidence
}

// Remove forgets an endpoint.
func (b *Book) Remove(id uint64) { delete(b.estimates, id) }

// Reports returns the decayed samples of all endpoints, ordered by ID.
func (b *Book) Reports(now time.Duration) []Report {
	list := make([]Report, 0, len(b.estimates))
	for _, e := range b.estimates {
		e.fold(now)
		list = append(list, e.report)
	}
	slices.SortFunc(list, func(a, b Report) int {
		if a.Endpoint < b.Endpoint {
			return -1
		}
		return 1
	})
	return list
}

// Evaluate computes the mean of the service and whether its endpoints differ. It returns the latter.
func (b *Book) Evaluate(now time.Duration) bool {
	var weight, sum, squares, sampled float64
	for _, e := range b.estimates {
		e.fold(now)
		w := e.report.Samples
		weight, sum, squares, sampled = weight+w, sum+w*e.report.MeanLog, squares+w*w, sampled+min(1, w)
	}
	if len(b.estimates) < 2 || sampled <= 1 {
		b.uneven = false
		return false
	}
	b.mean = sum / weight
	deviation := 0.0 // sum of the weighted squares of the differences, in units of the variance of a request
	for _, e := range b.estimates {
		d := (e.report.MeanLog - b.mean) / requestSpread
		deviation += e.report.Samples * d * d
	}
	// Of equal endpoints, the deviation has the chi-square distribution with this number of degrees of freedom. An endpoint
	// with less than one sample adds that part only, so idle endpoints do not hide that the others differ.
	freedom := max(1, sampled-1)
	excess := max(0, deviation-freedom)
	spread := requestSpread * math.Sqrt(excess/(weight-squares/weight+1))
	if b.uneven {
		b.uneven = spread >= endSpread
	} else {
		b.uneven = spread >= minSpread && excess >= significance*math.Sqrt(2*freedom)
	}
	return b.uneven
}

// IsUneven returns the last result of Evaluate.
func (b *Book) IsUneven() bool { return b.uneven }

// Factor returns the delay of an endpoint relative to the service's mean, as of the last call of Evaluate. It is 1 if the
// service is even, and closer to 1 the fewer samples there are.
func (b *Book) Factor(id uint64) float64 {
	e := b.estimates[id]
	if e == nil || !b.uneven {
		return 1
	}
	w := e.report.Samples
	factor := math.Exp((e.report.MeanLog - b.mean) * w / (w + priorSamples))
	return min(max(factor, 1.0/maxFactor), maxFactor)
}

// Typical returns the typical delay of an endpoint, or that of the service if little is known of the endpoint. It is 0 if
// nothing is known of the service.
func (b *Book) Typical(id uint64) time.Duration {
	if b.mean == 0 {
		return 0
	}
	mean := b.mean
	if e := b.estimates[id]; e != nil {
		w := e.report.Samples
		mean += (e.report.MeanLog - b.mean) * w / (w + priorSamples)
	}
	return time.Duration(math.Exp(mean) * float64(time.Second))
}
