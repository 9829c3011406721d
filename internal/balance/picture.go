// Package balance estimates the load of backend servers from lagging reports
// and own observations, and chooses an endpoint for a new flow or request. It
// does no I/O and reads no clock; the caller passes the time and the random source.
package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"cassiawood/internal/directory"
)

// Weight says what a service prefers when it cannot have both.
type Weight uint8

// UnbrokenFirst keeps a new flow on its bucket's endpoint while that one is not
// overloaded; BalanceFirst places every new flow by load.
const (
	UnbrokenFirst Weight = iota
	BalanceFirst
)

// Config holds the fixed parameters of a picture. Zero values stand for the defaults.
type Config struct {
	Host       string        // this entry host
	Hosts      []string      // all entry hosts; they share out the cold endpoints
	Sole       bool          // this host places all flows of the service, so own figures are complete
	Probes     int           // candidates compared for one choice; default 16 if Sole, else 4
	Backlog    int           // with Sole: requests above the slots of a warm endpoint; they hide the round trip
	ReportLife time.Duration // age at which a report has no weight any more; default 3 s
	SlowStart  time.Duration // time for which a new endpoint counts as cold; default 10 s
	TieWeight  float64       // weight of the recent use of an endpoint; default 0.5 if Sole, else 20
}

const (
	// defaultReportLife is three intervals of reports at one a second, so that
	// one lost report does not remove an endpoint's figures.
	defaultReportLife = 3 * time.Second
	defaultSlowStart  = 10 * time.Second

	// With all figures at hand the recent use only breaks ties. A host that does
	// not see the others' work balances best by use over many service times, and
	// among a few random candidates, so that not all hosts take the same one
	// (docs/MEASUREMENTS.md, rounds 3 and 7).
	soleTieWeight = 0.5
	tieWeight     = 20
	probes        = 4
	// soleProbes bounds the time of one choice in a large service.
	soleProbes = 16

	// useLife is the time constant of the recent use.
	useLife = 10 * time.Second
	// coldAnswers is the number of answers after which a cold endpoint may fill all its slots.
	coldAnswers = 5
	// firstBackoff and lastBackoff bound how long a refusing endpoint gets no work.
	firstBackoff = 250 * time.Millisecond
	lastBackoff  = 8 * time.Second
	// latencyGain is the weight of one answer in the mean latency.
	latencyGain = 0.05
	// othersGain is the weight of one report in the work of other hosts. A report
	// is older than most requests take, so that only a mean of several tells something.
	othersGain = 0.3
	// fairPlacements is the number of recent placements of an endpoint that gets
	// its fair share, and mostRecent that of one that gets twice the fair share;
	// from there on others go first.
	// Without that bound, all new flows would go to an endpoint that has just
	// become warm, until it has as many open flows as the others.
	fairPlacements = 8
	mostRecent     = 2*(fairPlacements+1) - 1
	// maxDistrust is the number of contradictions at which reports have no weight.
	maxDistrust = 4
	// frozenReports is the number of equal reports, while own answers arrive, that counts as frozen.
	frozenReports = 4
)

// Report is what a load endpoint said of a backend server.
type Report struct {
	InFlight  int
	At        time.Duration // when it was read
	RoundTrip time.Duration // to the backend server and back; 0 if not known
}

// Result is how an attempt ended.
type Result uint8

// An attempt is answered, refused before it ran, lost without an answer, or
// cancelled by its caller, which says nothing about the endpoint.
const (
	Answered Result = iota
	Refused
	Lost
	Cancelled
)

// load is the picture of one endpoint.
type load struct {
	slots    int
	own      int // own work in flight
	others   float64
	report   Report
	heard    bool
	same     int // equal reports in a row
	distrust int
	answers  int           // since it was added
	moved    int           // own answers since the last report
	coldEnd  time.Duration // end of slow start
	owned    bool          // this host serves it while it is cold
	latency  float64       // mean of own answers, in seconds
	trip     float64       // shortest recent round trip, in seconds
	use      float64       // decayed mean of own work in flight
	useAt    time.Duration
	refusals int
	retryAt  time.Duration
	recent   float64 // decayed count of own placements
	recentAt int     // number of the placement up to which recent counts
}

// Picture is the load picture of one service at one entry host.
type Picture struct {
	cfg     Config
	random  *rand.Rand
	now     time.Duration
	soleAt  time.Duration
	loads   map[directory.EndpointID]*load
	latency float64 // mean over the endpoints' answers, in seconds
	spread  float64 // mean deviation from it
	others  float64 // mean work of other hosts, for endpoints without a usable report
	placed  int     // own placements on all endpoints
	choices int     // candidates of the last choice
}

// New returns an empty picture. random is the only source of randomness.
func New(cfg Config, random *rand.Rand) *Picture {
	if cfg.ReportLife == 0 {
		cfg.ReportLife = defaultReportLife
	}
	if cfg.SlowStart == 0 {
		cfg.SlowStart = defaultSlowStart
	}
	return &Picture{cfg: cfg, random: random, soleAt: -cfg.ReportLife, loads: map[directory.EndpointID]*load{}}
}

// tie is the weight of the recent use.
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

// probes is the number of candidates that one choice compares out of n.
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

// Advance sets the time of the calls that follow.
func (p *Picture) Advance(now time.Duration) { p.now = max(p.now, now) }

// Add makes an endpoint known. A cold one gets slow start.
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

// Remove forgets an endpoint.
func (p *Picture) Remove(id directory.EndpointID) { delete(p.loads, id) }

// SetSole says whether this host places all flows of the service from now on.
func (p *Picture) SetSole(sole bool) {
	if sole && !p.cfg.Sole {
		p.soleAt = p.now
	}
	p.cfg.Sole = sole
	p.shareOut()
}

// SetHosts sets the entry hosts that share out the cold endpoints from now on.
func (p *Picture) SetHosts(hosts []string) {
	p.cfg.Hosts = hosts
	p.shareOut()
}

// shareOut finds which cold endpoints this host sends to.
func (p *Picture) shareOut() {
	for id, l := range p.loads {
		l.owned = p.cfg.Sole || coldOwner(id, p.cfg.Hosts) == p.cfg.Host
	}
}

// Observe takes a report. A report below the own work in flight, or one that
// stays equal while own answers arrive, lowers the trust in the endpoint's reports.
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

// Sent counts a flow or request that this host sends to an endpoint.
func (p *Picture) Sent(id directory.EndpointID) {
	if l := p.loads[id]; l != nil {
		p.settle(l)
		l.own++
		p.placed++
		l.recent = p.recent(l) + 1
		l.recentAt = p.placed
	}
}

// Done counts the end of a flow or request after the given time.
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
		// An endpoint that sheds a part of its load answers the rest, so one
		// answer does not prove that it takes all work again.
		l.refusals /= 2
		l.answers++
		l.moved++
		l.latency = smooth(l.latency, after.Seconds())
		p.spread = smooth(p.spread, math.Abs(after.Seconds()-p.latency))
		p.latency = smooth(p.latency, after.Seconds())
	case Lost, Cancelled:
	}
}

// shortest follows the shortest round trip, because a lost message makes a trip
// look much longer; it rises slowly when the path has become longer.
func shortest(known, trip float64) float64 {
	if known == 0 {
		return trip
	}
	return min(trip, known*1.02)
}

// recent is the decayed number of placements on an endpoint, about
// fairPlacements+1 for one that gets its fair share.
func (p *Picture) recent(l *load) float64 {
	return l.recent / (1 + float64(p.placed-l.recentAt)/float64(fairPlacements*max(1, p.choices)))
}

// smooth adds one value to an exponential mean that starts with its first value.
func smooth(mean, value float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + latencyGain*(value-mean)
}

// settle brings the recent use of an endpoint up to the present.
func (p *Picture) settle(l *load) {
	elapsed := p.now - l.useAt
	if elapsed <= 0 {
		return
	}
	// 1-1/(1+x) approximates 1-exp(-x) without a call of math.Exp for each packet.
	share := float64(elapsed) / float64(elapsed+useLife)
	l.use += share * (float64(l.own) - l.use)
	l.useAt = p.now
}
