// Package balance estimates the load of backend servers from delayed load reports and
// from what this host has sent and measured, and chooses endpoints for new flows and
// requests. It does no I/O and reads no clock: the caller passes in the time and the
// source of randomness.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"cassiawood/internal/directory"
)

// Weight is the preference of a service between unbroken flows and balanced load.
type Weight uint8

// UnbrokenFirst places a new flow on its bucket's endpoint while that has a free slot;
// BalanceFirst places every new flow by load.
const (
	UnbrokenFirst Weight = iota
	BalanceFirst
)

// Config holds the parameters of a Picture. A zero value selects the default.
type Config struct {
	Host       string        // name of this entry host
	Hosts      []string      // names of all entry hosts, over which the cold endpoints are divided
	Sole       bool          // this host places all flows of the service, so it knows the whole load
	Probes     int           // candidates that one choice compares; default 16 if Sole, else 4
	Backlog    int           // if Sole: requests beyond the slots of a warm endpoint, which hide the round trip
	ReportLife time.Duration // age at which a report has no weight; default 3 s
	SlowStart  time.Duration // how long a new endpoint counts as cold; default 10 s
	TieWeight  float64       // weight of recent use in a score; default 0.5 if Sole, else 20
}

const (
	// defaultReportLife is three intervals of one report per second, so that one
	// lost report does not discard an endpoint's figures.
	defaultReportLife = 3 * time.Second
	defaultSlowStart  = 10 * time.Second

	// For a sole placer, which knows the whole load, recent use only breaks ties.
	// Other hosts balance best by their use over many service times, and among a
	// few random candidates, so that they do not all choose the same endpoint
	// (docs/MEASUREMENTS.md, rounds 3 and 7).
	soleTieWeight = 0.5
	tieWeight     = 20
	probes        = 4
	// soleProbes bounds the duration of one choice in a large service.
	soleProbes = 16

	// useLife is the time constant of the recent use.
	useLife = 10 * time.Second
	// coldAnswers is the number of answers after which a cold endpoint may fill all its slots.
	coldAnswers = 5
	// firstBackoff and lastBackoff bound how long an endpoint that refuses gets no work.
	firstBackoff = 250 * time.Millisecond
	lastBackoff  = 8 * time.Second
	// latencyGain is the weight of one answer in the mean latency.
	latencyGain = 0.05
	// othersGain is the weight of one report in the mean work of other hosts. A
	// report is older than the duration of most requests, so a single one says little.
	othersGain = 0.3
	// fairPlacements is the recent placements of an endpoint with its fair share, and
	// mostRecent those of one with twice the fair share, at which others are preferred.
	// Without this limit, an endpoint that has just become warm would get all new flows
	// until it has as many as the others.
	fairPlacements = 8
	mostRecent     = 2*(fairPlacements+1) - 1
	// maxDistrust is the number of contradictions at which an endpoint's reports have no weight.
	maxDistrust = 4
	// frozenReports is how often a report may repeat while answers arrive before the load endpoint counts as frozen.
	frozenReports = 4
)

// Report is the reply of a backend server's load endpoint.
type Report struct {
	InFlight  int           // requests in flight, of all hosts
	At        time.Duration // time of the reply
	RoundTrip time.Duration // to the backend server and back; 0 if unknown
}

// Result is the result of an attempt.
type Result uint8

// An attempt was answered, refused before it ran, lost without an answer, or cancelled
// by its caller, which says nothing about the endpoint.
const (
	Answered Result = iota
	Refused
	Lost
	Cancelled
)

// load is the known load of one endpoint.
type load struct {
	slots    int
	own      int           // work in flight from this host
	others   float64       // mean work in flight from other hosts, by the reports
	report   Report        // the last one
	heard    bool          // there is a report
	same     int           // consecutive reports equal to the one before
	distrust int           // contradictions between reports and the work of this host
	answers  int           // since the endpoint was added
	moved    int           // answers to this host since the last report
	coldEnd  time.Duration // end of slow start
	owned    bool          // this host is the one that sends to it while it is cold
	latency  float64       // mean over the answers to this host, in seconds
	trip     float64       // shortest recent round-trip time, in seconds
	use      float64       // decayed mean of the work in flight from this host
	useAt    time.Duration // time of the last update of the recent use
	refusals int           // halved by each answer
	retryAt  time.Duration // end of the backoff after a refusal
	recent   float64       // decayed count of placements by this host
	recentAt int           // value of Picture.placed at the last update of that count
}

// Picture holds the known load of one service's endpoints at one entry host and chooses
// among them.
type Picture struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration
	soleAt  time.Duration // when this host became the sole placer
	loads   map[directory.EndpointID]*load
	latency float64 // mean over the answers of all endpoints, in seconds
	spread  float64 // mean deviation from the mean latency, in seconds
	others  float64 // mean work of other hosts at an endpoint, for endpoints without a usable report
	placed  int     // placements by this host on all endpoints
	choices int     // number of candidates of the last choice
}

// New returns a Picture without endpoints. random is its only source of randomness.
func New(cfg Config, random *rand.Rand) *Picture {
	if cfg.ReportLife == 0 {
		cfg.ReportLife = defaultReportLife
	}
	if cfg.SlowStart == 0 {
		cfg.SlowStart = defaultSlowStart
	}
	return &Picture{cfg: cfg, random: random, soleAt: -cfg.ReportLife, loads: map[directory.EndpointID]*load{}}
}

// tie returns the weight of recent use in a score.
func (p *Picture) tie() float64 {
	switch {
	case p.cfg.TieWeight != 0:
		return p.cfg.TieWeight
	case p.cfg.Sole:
		return soleTieWeight
	default:
		return tieWeight
	}
}

// probes returns how many of n candidates one choice compares.
func (p *Picture) probes(n int) int {
	switch {
	case p.cfg.Probes != 0:
		return min(p.cfg.Probes, n)
	case p.cfg.Sole:
		return min(soleProbes, n)
	default:
		return min(probes, n)
	}
}

// Advance sets the current time. It never goes back.
func (p *Picture) Advance(now time.Duration) { p.now = max(p.now, now) }

// Add adds an endpoint. A cold one gets slow start.
func (p *Picture) Add(id directory.EndpointID, slots int, cold bool) {
	if p.loads[id] != nil {
		return
	}
	l := &load{slots: max(1, slots), useAt: p.now, owned: p.cfg.Sole || coldOwner(id, p.cfg.Hosts) == p.cfg.Host}
	if cold {
		l.coldEnd = p.now + p.cfg.SlowStart
	} else {
		l.answers = coldAnswers
	}
	p.loads[id] = l
}

// Remove deletes an endpoint.
func (p *Picture) Remove(id directory.EndpointID) { delete(p.loads, id) }

// SetSole sets whether this host places all flows of the service from now on.
func (p *Picture) SetSole(sole bool) {
	if sole && !p.cfg.Sole {
		p.soleAt = p.now
	}
	p.cfg.Sole = sole
	p.shareOut()
}

// SetHosts sets the entry hosts over which the cold endpoints are divided.
func (p *Picture) SetHosts(hosts []string) {
	p.cfg.Hosts = hosts
	p.shareOut()
}

// shareOut determines which endpoints this host sends to while they are cold.
func (p *Picture) shareOut() {
	for id, l := range p.loads {
		l.owned = p.cfg.Sole || coldOwner(id, p.cfg.Hosts) == p.cfg.Host
	}
}

// Observe processes a report. A report below the work in flight from this host, or one
// that stays the same while answers arrive, contradicts what this host sees and lowers the
// weight of the endpoint's reports.
func (p *Picture) Observe(id directory.EndpointID, r Report) {
	l := p.loads[id]
	if l == nil || (l.heard && r.At <= l.report.At) {
		return
	}
	if l.heard && r.InFlight == l.report.InFlight {
		l.same++
	} else {
		l.same = 0
	}
	contradicts := r.InFlight+1 < l.own || (l.same >= frozenReports && l.moved > 0)
	if contradicts {
		l.distrust = min(l.distrust+1, maxDistrust)
	} else if l.distrust > 0 && l.same == 0 {
		l.distrust--
	}
	l.others += othersGain * (float64(max(0, r.InFlight-l.own)) - l.others)
	if trip := r.RoundTrip.Seconds(); trip > 0 {
		l.trip = shortest(l.trip, trip)
	}
	l.report, l.heard, l.moved = r, true, 0
	p.others += latencyGain * (l.others - p.others)
}

// Sent records a flow or request that this host sends to an endpoint.
func (p *Picture) Sent(id directory.EndpointID) {
	if l := p.loads[id]; l != nil {
		p.settle(l)
		l.own++
		p.placed++
		l.recent = p.recent(l) + 1
		l.recentAt = p.placed
	}
}

// Done records the result of a flow or request and its duration.
func (p *Picture) Done(id directory.EndpointID, result Result, after time.Duration) {
	l := p.loads[id]
	if l == nil {
		return
	}
	p.settle(l)
	l.own = max(0, l.own-1)
	switch result {
	case Refused:
		l.retryAt = p.now + min(firstBackoff<<min(l.refusals, 8), lastBackoff)
		l.refusals++
	case Answered:
		// An endpoint that sheds part of its load answers the rest, so one answer
		// does not prove that it has recovered.
		l.refusals /= 2
		l.answers++
		l.moved++
		l.latency = smooth(l.latency, after.Seconds())
		p.spread = smooth(p.spread, math.Abs(after.Seconds()-p.latency))
		p.latency = smooth(p.latency, after.Seconds())
	case Lost, Cancelled:
	}
}

// shortest returns the minimum round-trip time, because lost messages make single round
// trips much longer. It rises by at most 2 % per report when the path gets longer.
func shortest(known, trip float64) float64 {
	if known == 0 {
		return trip
	}
	return min(trip, known*1.02)
}

// recent returns the decayed number of placements on an endpoint, which is about
// fairPlacements+1 for one that gets its fair share.
func (p *Picture) recent(l *load) float64 {
	return l.recent / (1 + float64(p.placed-l.recentAt)/float64(fairPlacements*max(1, p.choices)))
}

// smooth returns the exponential moving mean after one more value; the first value starts it.
func smooth(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + latencyGain*(value-mean)
}

// settle updates the recent use of an endpoint to the current time.
func (p *Picture) settle(l *load) {
	elapsed := p.now - l.useAt
	if elapsed <= 0 {
		return
	}
	// x/(1+x) approximates 1-exp(-x) without a call of math.Exp for each packet.
	share := float64(elapsed) / float64(elapsed+useLife)
	l.use += share * (float64(l.own) - l.use)
	l.useAt = p.now
}
