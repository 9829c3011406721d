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

// Preference is what a service prefers if it cannot have both: unbroken flows or balanced load.
type Preference uint8

// UnbrokenFirst places a new flow on its bucket's endpoint while that has a free slot;
// BalanceFirst places every new flow by load.
const (
	UnbrokenFirst Preference = iota
	BalanceFirst
)

// Config holds the parameters of a LoadModel. A zero value selects the default.
type Config struct {
	Host            string        // name of this entry host
	Hosts           []string      // names of all entry hosts, over which the cold endpoints are divided
	SolePlacer      bool          // this host places all flows of the service, so it knows the whole load
	SampleSize      int           // candidates that one choice compares; default 16 if SolePlacer, else 4
	Backlog         int           // if SolePlacer: requests beyond the slots of a warm endpoint, which hide the round trip
	ReportMaxAge    time.Duration // age at which a report has no weight; default 3 s
	SlowStart       time.Duration // how long a new endpoint counts as cold; default 10 s
	RecentUseWeight float64       // weight of recent use in a score; default 0.5 if SolePlacer, else 20
}

const (
	// defaultReportMaxAge is three intervals of one report per second, so that one
	// lost report does not discard an endpoint's figures.
	defaultReportMaxAge = 3 * time.Second
	defaultSlowStart    = 10 * time.Second

	// For a sole placer, which knows the whole load, recent use only breaks ties.
	// Other hosts balance best by their use over many service times, and among a
	// few random candidates, so that they do not all choose the same endpoint
	// (docs/MEASUREMENTS.md, rounds 3 and 7).
	soleRecentUseWeight = 0.5
	recentUseWeight     = 20
	defaultSampleSize   = 4
	// soleSampleSize bounds the duration of one choice in a large service.
	soleSampleSize = 16

	// useTimeConstant is the time constant of the recent use.
	useTimeConstant = 10 * time.Second
	// coldRampAnswers is the number of answers after which a cold endpoint may fill all its slots.
	coldRampAnswers = 5
	// minBackoff and maxBackoff bound how long an endpoint that refuses gets no work.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 8 * time.Second
	// latencySmoothing is the weight of one answer in the mean latency, and of one report in
	// the mean work of other hosts over all endpoints.
	latencySmoothing = 0.05
	// othersSmoothing is the weight of one report in the mean work of other hosts at one
	// endpoint. A report is older than the duration of most requests, so a single one says little.
	othersSmoothing = 0.3
	// fairPlacements is the recent placements of an endpoint with its fair share, and
	// maxRecentPlacements those of one with twice the fair share, at which others are preferred.
	// Without this limit, an endpoint that has just become warm would get all new flows
	// until it has as many as the others.
	fairPlacements      = 8
	maxRecentPlacements = 2*(fairPlacements+1) - 1
	// maxContradictions is the number of contradictions at which an endpoint's reports have no weight.
	maxContradictions = 4
	// frozenReports is how often a report may repeat while answers arrive before the load endpoint counts as frozen.
	frozenReports = 4
)

// Report is the reply of a backend server's load endpoint.
type Report struct {
	InFlight  int           // requests in flight, of all hosts
	ReadAt    time.Duration // time of the reply
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
	slots              int
	ownInFlight        int           // work in flight from this host
	othersInFlight     float64       // mean work in flight from other hosts, by the reports
	report             Report        // the last one
	hasReport          bool          // there is a report
	equalReports       int           // consecutive reports equal to the one before
	contradictions     int           // contradictions between reports and the work of this host
	answers            int           // since the endpoint was added
	answersSinceReport int           // answers to this host since the last report
	coldUntil          time.Duration // end of slow start
	coldHere           bool          // this host is the one that sends to it while it is cold
	latencySeconds     float64       // mean over the answers to this host
	roundTripSeconds   float64       // shortest recent round-trip time
	recentUse          float64       // decayed mean of the work in flight from this host
	recentUseAt        time.Duration // time of the last update of the recent use
	refusals           int           // halved by each answer
	retryAt            time.Duration // end of the backoff after a refusal
	recentPlacements   float64       // decayed count of placements by this host
	recentPlacementsAt int           // value of LoadModel.placements at the last update of that count
}

// LoadModel holds the known load of one service's endpoints at one entry host and chooses
// among them.
type LoadModel struct {
	cfg                     Config
	random                  *rand.Rand
	now                     time.Duration
	soleSince               time.Duration // when this host became the sole placer
	loads                   map[directory.EndpointID]*load
	latencySeconds          float64 // mean over the answers of all endpoints
	latencyDeviationSeconds float64 // mean deviation from the mean latency
	meanOthersInFlight      float64 // mean work of other hosts at an endpoint, for endpoints without a usable report
	placements              int     // placements by this host on all endpoints
	lastCandidates          int     // number of candidates of the last choice
}

// New returns a LoadModel without endpoints. random is its only source of randomness.
func New(cfg Config, random *rand.Rand) *LoadModel {
	if cfg.ReportMaxAge == 0 {
		cfg.ReportMaxAge = defaultReportMaxAge
	}
	if cfg.SlowStart == 0 {
		cfg.SlowStart = defaultSlowStart
	}
	return &LoadModel{cfg: cfg, random: random, soleSince: -cfg.ReportMaxAge, loads: map[directory.EndpointID]*load{}}
}

// useWeight returns the weight of recent use in a score.
func (m *LoadModel) useWeight() float64 {
	switch {
	case m.cfg.RecentUseWeight != 0:
		return m.cfg.RecentUseWeight
	case m.cfg.SolePlacer:
		return soleRecentUseWeight
	default:
		return recentUseWeight
	}
}

// sampleSize returns how many of n candidates one choice compares.
func (m *LoadModel) sampleSize(n int) int {
	switch {
	case m.cfg.SampleSize != 0:
		return min(m.cfg.SampleSize, n)
	case m.cfg.SolePlacer:
		return min(soleSampleSize, n)
	default:
		return min(defaultSampleSize, n)
	}
}

// Advance sets the current time. It never goes back.
func (m *LoadModel) Advance(now time.Duration) { m.now = max(m.now, now) }

// Add adds an endpoint. A cold one gets slow start.
func (m *LoadModel) Add(id directory.EndpointID, slots int, cold bool) {
	if m.loads[id] != nil {
		return
	}
	l := &load{slots: max(1, slots), recentUseAt: m.now, coldHere: m.cfg.SolePlacer || coldEndpointHost(id, m.cfg.Hosts) == m.cfg.Host}
	if cold {
		l.coldUntil = m.now + m.cfg.SlowStart
	} else {
		l.answers = coldRampAnswers
	}
	m.loads[id] = l
}

// Remove deletes an endpoint.
func (m *LoadModel) Remove(id directory.EndpointID) { delete(m.loads, id) }

// SetSolePlacer sets whether this host places all flows of the service from now on.
func (m *LoadModel) SetSolePlacer(sole bool) {
	if sole && !m.cfg.SolePlacer {
		m.soleSince = m.now
	}
	m.cfg.SolePlacer = sole
	m.assignColdEndpoints()
}

// SetHosts sets the entry hosts over which the cold endpoints are divided.
func (m *LoadModel) SetHosts(hosts []string) {
	m.cfg.Hosts = hosts
	m.assignColdEndpoints()
}

// assignColdEndpoints determines which endpoints this host sends to while they are cold.
func (m *LoadModel) assignColdEndpoints() {
	for id, l := range m.loads {
		l.coldHere = m.cfg.SolePlacer || coldEndpointHost(id, m.cfg.Hosts) == m.cfg.Host
	}
}

// Observe processes a report. A report below the work in flight from this host, or one
// that stays the same while answers arrive, contradicts what this host sees and lowers the
// weight of the endpoint's reports.
func (m *LoadModel) Observe(id directory.EndpointID, r Report) {
	l := m.loads[id]
	if l == nil || (l.hasReport && r.ReadAt <= l.report.ReadAt) {
		return
	}
	if l.hasReport && r.InFlight == l.report.InFlight {
		l.equalReports++
	} else {
		l.equalReports = 0
	}
	contradicts := r.InFlight+1 < l.ownInFlight || (l.equalReports >= frozenReports && l.answersSinceReport > 0)
	if contradicts {
		l.contradictions = min(l.contradictions+1, maxContradictions)
	} else if l.contradictions > 0 && l.equalReports == 0 {
		l.contradictions--
	}
	l.othersInFlight += othersSmoothing * (float64(max(0, r.InFlight-l.ownInFlight)) - l.othersInFlight)
	if tripSeconds := r.RoundTrip.Seconds(); tripSeconds > 0 {
		l.roundTripSeconds = minRoundTrip(l.roundTripSeconds, tripSeconds)
	}
	l.report, l.hasReport, l.answersSinceReport = r, true, 0
	m.meanOthersInFlight += latencySmoothing * (l.othersInFlight - m.meanOthersInFlight)
}

// Sent records a flow or request that this host sends to an endpoint.
func (m *LoadModel) Sent(id directory.EndpointID) {
	if l := m.loads[id]; l != nil {
		m.updateRecentUse(l)
		l.ownInFlight++
		m.placements++
		l.recentPlacements = m.recentPlacements(l) + 1
		l.recentPlacementsAt = m.placements
	}
}

// Done records the result of a flow or request and its duration.
func (m *LoadModel) Done(id directory.EndpointID, result Result, after time.Duration) {
	l := m.loads[id]
	if l == nil {
		return
	}
	m.updateRecentUse(l)
	l.ownInFlight = max(0, l.ownInFlight-1)
	switch result {
	case Refused:
		l.retryAt = m.now + min(minBackoff<<min(l.refusals, 8), maxBackoff)
		l.refusals++
	case Answered:
		// An endpoint that sheds part of its load answers the rest, so one answer
		// does not prove that it has recovered.
		l.refusals /= 2
		l.answers++
		l.answersSinceReport++
		l.latencySeconds = smooth(l.latencySeconds, after.Seconds())
		m.latencyDeviationSeconds = smooth(m.latencyDeviationSeconds, math.Abs(after.Seconds()-m.latencySeconds))
		m.latencySeconds = smooth(m.latencySeconds, after.Seconds())
	case Lost, Cancelled:
	}
}

// minRoundTrip returns the minimum round-trip time, because lost messages make single round
// trips much longer. It rises by at most 2 % per report when the path gets longer.
func minRoundTrip(knownSeconds, tripSeconds float64) float64 {
	if knownSeconds == 0 {
		return tripSeconds
	}
	return min(tripSeconds, knownSeconds*1.02)
}

// recentPlacements returns the decayed number of placements on an endpoint, which is about
// fairPlacements+1 for one that gets its fair share.
func (m *LoadModel) recentPlacements(l *load) float64 {
	return l.recentPlacements / (1 + float64(m.placements-l.recentPlacementsAt)/float64(fairPlacements*max(1, m.lastCandidates)))
}

// smooth returns the exponential moving mean after one more value; the first value starts it.
func smooth(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + latencySmoothing*(value-mean)
}

// updateRecentUse updates the recent use of an endpoint to the current time.
func (m *LoadModel) updateRecentUse(l *load) {
	elapsed := m.now - l.recentUseAt
	if elapsed <= 0 {
		return
	}
	// x/(1+x) approximates 1-exp(-x) without a call of math.Exp for each packet.
	share := float64(elapsed) / float64(elapsed+useTimeConstant)
	l.recentUse += share * (float64(l.ownInFlight) - l.recentUse)
	l.recentUseAt = m.now
}
