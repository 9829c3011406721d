package balance

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"cassiawood/internal/directory"
)

// minSpeed is the lowest speed factor of a slow endpoint. It keeps the endpoint in
// use, so that its recovery is observed.
const minSpeed = 0.1

// overSharePenalty is a score penalty above the score of any load.
const overSharePenalty = 1e9

// answerDeviations is the number of mean deviations above the mean latency within which
// most answers arrive: 91 % of exponentially distributed ones.
const answerDeviations = 2

// Choose returns the endpoint for a new flow, or 0 if there is none. It prefers
// endpoints with a free slot, then warm ones. It has the signature of
// flow.Config.ChooseEndpoint.
func (m *LoadModel) Choose(_ string, candidates []directory.EndpointID) directory.EndpointID {
	if id := m.pick(candidates, freeOnly); id != 0 {
		return id
	}
	if id := m.pick(candidates, warmOnly); id != 0 {
		return id
	}
	return m.pick(candidates, anyState)
}

// Place returns an endpoint with a free slot, or 0 if there is none.
func (m *LoadModel) Place(_ uint64, candidates []directory.EndpointID) directory.EndpointID {
	return m.pick(candidates, freeOnly)
}

// ChooseSticky returns the endpoint for a new flow of a bucket. With UnbrokenFirst it
// keeps the bucket's current endpoint while that has a free slot, else it is Choose.
func (m *LoadModel) ChooseSticky(preference Preference, current directory.EndpointID, candidates []directory.EndpointID) directory.EndpointID {
	if preference == UnbrokenFirst {
		if l := m.loads[current]; l != nil && m.admits(l, freeOnly) {
			return current
		}
	}
	return m.Choose("", candidates)
}

// admission selects the endpoints that a choice may return.
type admission uint8

const (
	freeOnly admission = iota // with a free slot
	warmOnly                  // past slow start, even if full
	anyState
)

// pick returns the best of a random sample of the candidates that admit work, or 0
// if none does.
func (m *LoadModel) pick(candidates []directory.EndpointID, a admission) directory.EndpointID {
	n := len(candidates)
	if n == 0 {
		return 0
	}
	sampleSize := m.sampleSize(n)
	m.lastCandidates = n
	// A step that is coprime to n visits every candidate once.
	start, best, found := m.random.IntN(n), 0.0, directory.EndpointID(0)
	step := 1
	if sampleSize < n && n > 2 {
		step = coprimeStep(1+m.random.IntN(n-1), n)
	}
	compared := 0
	for i := 0; i < n && compared < sampleSize; i++ {
		id := candidates[(start+i*step)%n]
		l := m.loads[id]
		if l == nil || !m.admits(l, a) {
			continue
		}
		compared++
		if score := m.score(l); found == 0 || score < best {
			best, found = score, id
		}
	}
	return found
}

// coprimeStep returns the smallest number that is at least step and coprime to n.
func coprimeStep(step, n int) int {
	for gcd(step, n) != 1 {
		step++
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// admits reports whether an endpoint may get work under the given admission.
func (m *LoadModel) admits(l *load, a admission) bool {
	if a == anyState {
		return true
	}
	if m.now < l.retryAt {
		return false
	}
	cold := m.now < l.coldUntil
	switch {
	case a == warmOnly:
		return !cold
	case cold:
	case m.cfg.SolePlacer:
		return m.estimate(l) < float64(l.slots+m.cfg.Backlog)-0.5
	default:
		// A limit on the estimate would stop all hosts at once when their
		// reports are outdated; the work that this host has sent is certain.
		return l.ownInFlight < l.slots
	}
	// Counting as fully used during slow start prevents a burst of flows at its end.
	l.recentPlacements, l.recentPlacementsAt = maxRecentPlacements, m.placements
	limit := l.slots
	if l.answers < coldRampAnswers {
		limit = 1
	}
	return l.coldHere && m.estimate(l) < float64(limit)-0.5
}

// score returns the expected load after one more request; the lowest is best. It is
// the work per slot divided by the speed, plus the weighted recent use.
func (m *LoadModel) score(l *load) float64 {
	speed := 1.0
	if l.latencySeconds > 0 && m.latencySeconds > 0 {
		speed = min(1, max(minSpeed, 1.5*m.latencySeconds/l.latencySeconds))
	}
	elapsed := m.now - l.recentUseAt
	share := float64(elapsed) / float64(elapsed+useTimeConstant)
	use := l.recentUse + share*(float64(l.ownInFlight)-l.recentUse)
	if l.latencySeconds > l.roundTripSeconds {
		use *= 1 - l.roundTripSeconds/l.latencySeconds // requests in transit use no slot of the backend server
	}
	slots := float64(l.slots)
	score := (m.estimate(l)+1)/(slots*speed) + m.useWeight()*use/slots
	if m.now >= l.coldUntil && m.recentPlacements(l) >= maxRecentPlacements {
		score += overSharePenalty
	}
	return score
}

// estimate returns the work in flight at an endpoint: that of this host, and that of
// other hosts by the last reports as far as these count, else the mean of all
// endpoints.
func (m *LoadModel) estimate(l *load) float64 {
	if m.cfg.SolePlacer {
		// Flows that other hosts placed before the change are still open.
		share := 1 - float64(m.now-m.soleSince)/float64(m.cfg.ReportMaxAge)
		if share <= 0 {
			return float64(l.ownInFlight)
		}
		return float64(l.ownInFlight) + share*l.othersInFlight
	}
	weight := m.reportWeight(l)
	return float64(l.ownInFlight) + weight*l.othersInFlight + (1-weight)*m.meanOthersInFlight
}

// reportWeight returns the weight of an endpoint's last report, from 0 to 1. It falls with
// the age of the report and with contradictions.
func (m *LoadModel) reportWeight(l *load) float64 {
	if !l.hasReport {
		return 0
	}
	age := m.now - l.report.ReadAt
	freshness := max(0, 1-float64(age)/float64(m.cfg.ReportMaxAge))
	return freshness * (1 - float64(l.contradictions)/maxContradictions)
}

// Estimate returns the estimated work in flight at an endpoint.
func (m *LoadModel) Estimate(id directory.EndpointID) float64 {
	if l := m.loads[id]; l != nil {
		return m.estimate(l)
	}
	return 0
}

// ReportWeight returns the weight of an endpoint's last report, from 0 to 1.
func (m *LoadModel) ReportWeight(id directory.EndpointID) float64 {
	if l := m.loads[id]; l != nil {
		return m.reportWeight(l)
	}
	return 0
}

// ExpectedWait returns the time after which a request that is queued behind `ahead`
// others gets a slot, and the time within which most answers arrive. Both follow from
// the latencies that this host has measured.
func (m *LoadModel) ExpectedWait(ahead int, candidates []directory.EndpointID) (wait, answer time.Duration) {
	slots := 0
	for _, id := range candidates {
		if l := m.loads[id]; l != nil && m.now >= l.retryAt {
			slots += l.slots
			if m.cfg.SolePlacer {
				slots += m.cfg.Backlog
			}
		}
	}
	answer = seconds(m.latencySeconds + answerDeviations*m.latencyDeviationSeconds)
	if slots == 0 {
		return 0, answer
	}
	return seconds(float64(ahead) * m.latencySeconds / float64(slots)), answer
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// coldEndpointHost returns the only host that sends to an endpoint while it is cold. Several
// hosts would overfill its slots, because none sees the others' work.
func coldEndpointHost(id directory.EndpointID, hosts []string) string {
	return topHost(binary.BigEndian.AppendUint32(nil, uint32(id)), hosts)
}

// PlacingHost returns the host that places all flows of a balance-first service.
// Rendezvous hashing spreads the services over the hosts, and the loss of a host moves
// only its own services.
func PlacingHost(service string, hosts []string) string { return topHost([]byte(service), hosts) }

// topHost returns the host with the highest hash for the key, or "" without hosts.
func topHost(key []byte, hosts []string) string {
	var best uint64
	name := ""
	for _, host := range hosts {
		h := fnv.New64a()
		h.Write([]byte(host))
		h.Write(key)
		if sum := mix(h.Sum64()); name == "" || sum > best {
			best, name = sum, host
		}
	}
	return name
}

// mix is the finalizer of SplitMix64. FNV hashes of short keys are too similar without it.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
