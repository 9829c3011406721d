package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiawood/internal/request"
)

// requestRecord records the progress of one request.
type requestRecord struct {
	arrivedAt   time.Duration
	entry       *host
	idempotent  bool
	counted     bool          // arrived in the measured period
	attempts    int           // attempts that reached a backend server
	starts      int           // attempts that a backend server started
	waitingTime time.Duration // from arrival to the start of the last attempt
	notRun      bool          // reported to the caller as not run
}

// statistics collects the measurements of a run.
type statistics struct {
	requests         []requestRecord
	offered          int
	attempts         int
	answeredInTime   int // answers before the deadline; counted if the answer falls in the measured period
	refused          int
	unknown          int
	sentTwice        int // non-idempotent requests that reached backend servers twice
	waitingTimes     *hdrhistogram.Histogram
	windowImbalances *hdrhistogram.Histogram // imbalance in thousandths
	imbalanceSum     float64                 // of the imbalance of all windows
	imbalanceCount   int
	workSamples      [][]float64 // integrals of requests in progress by backend server, one row per imbalanceStep
}

func (t *statistics) init() {
	t.waitingTimes = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	t.windowImbalances = hdrhistogram.New(1, 1_000_000, 3)
}

// inMeasuredPeriod reports whether the current time is in the measured period.
func (r *run) inMeasuredPeriod() bool { return r.now >= disturbanceStart && r.now < disturbanceEnd }

// recordArrival records a new request and returns its id.
func (r *run) recordArrival(h *host, idempotent bool) request.ID {
	t := &r.stats
	t.requests = append(t.requests, requestRecord{arrivedAt: r.now, entry: h, idempotent: idempotent, counted: r.inMeasuredPeriod()})
	if r.inMeasuredPeriod() {
		t.offered++
	}
	return request.ID(len(t.requests) - 1)
}

// recordAttempt records an attempt that reaches a backend server.
func (r *run) recordAttempt(j *job) {
	record := &r.stats.requests[j.id]
	record.attempts++
	if record.counted {
		r.stats.attempts++
	}
	if record.attempts == 2 && !record.idempotent {
		r.stats.sentTwice++
	}
}

// recordStart records that a backend server starts an attempt.
func (r *run) recordStart(j *job) {
	record := &r.stats.requests[j.id]
	record.starts++
	record.waitingTime = r.now - record.arrivedAt
	if record.counted && record.starts == 1 {
		_ = r.stats.waitingTimes.RecordValue(max(1, record.waitingTime.Microseconds()))
	}
}

// recordReply records the reply at the placing host. An answer counts when it reaches
// the entry host at which the request arrived.
func (r *run) recordReply(h *host, f request.Reply) {
	record := &r.stats.requests[f.ID]
	switch f.Outcome {
	case request.OutcomeAnswered:
		r.send(h.domain, record.entry.domain, func() {
			if r.now <= record.arrivedAt+requestTimeout && r.inMeasuredPeriod() {
				r.stats.answeredInTime++
			}
		})
	case request.OutcomeNotRun:
		record.notRun = true
		if record.counted {
			r.stats.refused++
		}
	case request.OutcomeUnknown:
		if record.counted {
			r.stats.unknown++
		}
	}
}

// sampleImbalance samples the integrals of requests in progress and, once a whole window
// has passed, the imbalance of that window.
func (r *run) sampleImbalance() {
	if r.now > disturbanceEnd {
		return
	}
	row := make([]float64, len(r.backends))
	for i, b := range r.backends {
		row[i] = b.integrate(r.now)
	}
	t := &r.stats
	t.workSamples = append(t.workSamples, row)
	steps := int(imbalanceWindow / imbalanceStep)
	if len(t.workSamples) <= steps {
		return
	}
	windowStart := t.workSamples[len(t.workSamples)-1-steps]
	highest, sum, n := 0.0, 0.0, 0
	for i, b := range r.backends {
		if !b.inService || r.now-b.inServiceSince < imbalanceWindow || b.isCold(r.now-imbalanceWindow) {
			continue
		}
		work := row[i] - windowStart[i]
		highest, sum, n = max(highest, work), sum+work, n+1
	}
	if sum == 0 {
		return
	}
	ratio := highest / (sum / float64(n))
	t.imbalanceSum, t.imbalanceCount = t.imbalanceSum+ratio, t.imbalanceCount+1
	_ = t.windowImbalances.RecordValue(int64(ratio * 1000))
}
