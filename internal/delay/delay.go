// Package delay estimates how long the endpoints of a service take to answer, relative to each other.
//
// Single requests differ by more than endpoints do, so the estimates are means of logarithms over many requests. Reports
// of several hosts about the same endpoint are merged. The package has no clock: callers pass the time.
package delay

import (
	"math"
	"time"
)

const (
	// HalfLife is the time after which a sample counts half. It is long enough for some ten samples of an endpoint
	// that gets several requests a second, and short enough that an endpoint that has become slow is avoided within seconds.
	HalfLife = 4 * time.Second
	// requestSpread is the standard deviation of the logarithm of single delays at an endpoint whose speed does not change.
	requestSpread = 0.7
	// minDelay bounds delays from below, so that their logarithms are finite.
	minDelay = 100 * time.Microsecond
)

// Sample is the delay of one request.
type Sample struct {
	Endpoint uint64 // its ID
	Delay    time.Duration
	Refused  bool // the endpoint has refused the request because it was full; Delay is not used then
}

// Report summarizes samples of an endpoint.
type Report struct {
	Endpoint uint64 // its ID
	// Samples is the number of samples, which may be fractional in a decayed report.
	Samples float64
	// MeanLog is the mean of the natural logarithm of the delays in seconds.
	MeanLog float64
	// Refusals is the number of requests that the endpoint has refused because it was full.
	Refusals float64
}

// Add adds a sample to a report.
func (r *Report) Add(s Sample) {
	if s.Refused {
		r.Refusals++
		return
	}
	r.Samples++
	r.MeanLog += (math.Log(max(s.Delay, minDelay).Seconds()) - r.MeanLog) / r.Samples
}

// Merge adds the samples of another report about the same endpoint.
func (r *Report) Merge(o Report) {
	r.Refusals += o.Refusals
	if o.Samples > 0 {
		r.Samples += o.Samples
		r.MeanLog += (o.MeanLog - r.MeanLog) * o.Samples / r.Samples
	}
}

// IsValid reports whether the values of a report from another host are plausible.
func (r Report) IsValid() bool {
	const maxSamples, maxLog = 1e6, 10
	return r.Samples >= 0 && r.Samples <= maxSamples && r.Refusals >= 0 && r.Refusals <= maxSamples && math.Abs(r.MeanLog) <= maxLog
}

// estimate is a decaying mean of the logarithms of delays.
type estimate struct {
	report  Report        // decayed
	at      time.Duration // time of the last decay
	fresh   Report        // samples that are not in report yet
	freshAt time.Duration // when they were added
}

// decayTo reduces the weight of earlier samples.
func (e *estimate) decayTo(now time.Duration) {
	if elapsed := now - e.at; elapsed > 0 {
		factor := math.Exp2(-float64(elapsed) / float64(HalfLife))
		e.report.Samples *= factor
		e.report.Refusals *= factor
		e.at = now
	}
}
