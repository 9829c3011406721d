package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiawood/internal/request"
)

// ticket records the progress of one request.
type ticket struct {
	at         time.Duration
	entry      *host
	idempotent bool
	counted    bool          // arrived in the measured period
	sentTimes  int           // attempts that reached a backend server
	ran        int           // attempts that a backend server started
	waited     time.Duration // from arrival to the start of the last attempt
	notRun     bool          // reported to the caller as not run
}

// tally collects the measurements of a run.
type tally struct {
	tickets  []ticket
	offered  int
	attempts int
	good     int // answers before the deadline; counted if the answer falls in the measured period
	refused  int
	unknown  int
	doubled  int // non-idempotent requests that reached backend servers twice
	waiting  *hdrhistogram.Histogram
	windows  *hdrhistogram.Histogram // imbalance in thousandths
	sum      float64                 // of the imbalance of all windows
	count    int
	samples  [][]float64 // integrals of requests in progress by backend server, one row per imbalanceStep
}

func (t *tally) init() {
	t.waiting = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	t.windows = hdrhistogram.New(1, 1_000_000, 3)
}

// measured reports whether the current time is in the measured period.
func (r *run) measured() bool { return r.now >= troubleFrom && r.now < troubleTo }

// offered records a new request and returns its id.
func (r *run) offered(h *host, idempotent bool) request.ID {
	t := &r.tally
	t.tickets = append(t.tickets, ticket{at: r.now, entry: h, idempotent: idempotent, counted: r.measured()})
	if r.measured() {
		t.offered++
	}
	return request.ID(len(t.tickets) - 1)
}

// arrivedAtBackend records an attempt that reaches a backend server.
func (r *run) arrivedAtBackend(j *job) {
	k := &r.tally.tickets[j.id]
	k.sentTimes++
	if k.counted {
		r.tally.attempts++
	}
	if k.sentTimes == 2 && !k.idempotent {
		r.tally.doubled++
	}
}

// started records that a backend server starts an attempt.
func (r *run) started(j *job) {
	k := &r.tally.tickets[j.id]
	k.ran++
	k.waited = r.now - k.at
	if k.counted && k.ran == 1 {
		_ = r.tally.waiting.RecordValue(max(1, k.waited.Microseconds()))
	}
}

// replied records the reply at the placing host. An answer counts when it reaches
// the entry host at which the request arrived.
func (r *run) replied(h *host, f request.Reply) {
	k := &r.tally.tickets[f.ID]
	switch f.Outcome {
	case request.OutcomeAnswered:
		r.send(h.domain, k.entry.domain, func() {
			if r.now <= k.at+patience && r.measured() {
				r.tally.good++
			}
		})
	case request.OutcomeNotRun:
		k.notRun = true
		if k.counted {
			r.tally.refused++
		}
	case request.OutcomeUnknown:
		if k.counted {
			r.tally.unknown++
		}
	}
}

// measure samples the integrals of requests in progress and, once a whole window
// has passed, the imbalance of that window.
func (r *run) measure() {
	if r.now > troubleTo {
		return
	}
	row := make([]float64, len(r.backends))
	for i, b := range r.backends {
		row[i] = b.integrate(r.now)
	}
	t := &r.tally
	t.samples = append(t.samples, row)
	steps := int(imbalanceWindow / imbalanceStep)
	if len(t.samples) <= steps {
		return
	}
	then := t.samples[len(t.samples)-1-steps]
	highest, sum, n := 0.0, 0.0, 0
	for i, b := range r.backends {
		if !b.inService || r.now-b.since < imbalanceWindow || b.isCold(r.now-imbalanceWindow) {
			continue
		}
		work := row[i] - then[i]
		highest, sum, n = max(highest, work), sum+work, n+1
	}
	if sum == 0 {
		return
	}
	ratio := highest / (sum / float64(n))
	t.sum, t.count = t.sum+ratio, t.count+1
	_ = t.windows.RecordValue(int64(ratio * 1000))
}
