package balance

import (
	"encoding/binary"
	"hash/fnv"
	"time"

	"cassiawood/internal/directory"
)

// minSpeed bounds how far a slow endpoint is marked down, so that it still
// gets some work and a recovery is noticed.
const minSpeed = 0.1

// behindOthers is a score above that of any load.
const behindOthers = 1e9

// answerSpread is the number of mean deviations above the mean within which
// most answers come: 91 % of exponentially distributed ones.
const answerSpread = 2

// Choose picks the endpoint of a new flow, or 0 if there is none. It prefers
// endpoints with a free slot and leaves a cold endpoint alone while it is full.
// It has the signature of flow.Config.Choose.
func (p *Picture) Choose(_ string, candidates []directory.EndpointID) directory.EndpointID {
	if id := p.pick(candidates, freeOnly); id != 0 {
		return id
	}
	if id := p.pick(candidates, warmOnly); id != 0 {
		return id
	}
	return p.pick(candidates, anyState)
}

// Place picks an endpoint that has a free slot, or 0 if none has one.
func (p *Picture) Place(_ uint64, candidates []directory.EndpointID) directory.EndpointID {
	return p.pick(candidates, freeOnly)
}

// ChooseNear is Choose for a service that weighs unbroken flows first: the
// bucket's endpoint keeps the flow unless it has no free slot and another has.
func (p *Picture) ChooseNear(w Weight, current directory.EndpointID, candidates []directory.EndpointID) directory.EndpointID {
	if w == UnbrokenFirst {
		if l := p.loads[current]; l != nil && p.admits(l, freeOnly) {
			return current
		}
	}
	return p.Choose("", candidates)
}

// admission says which endpoints a choice may take.
type admission uint8

const (
	freeOnly admission = iota
	warmOnly
	anyState
)

// pick compares up to Probes candidates that admit work, from a random start.
func (p *Picture) pick(candidates []directory.EndpointID, a admission) directory.EndpointID {
	n := len(candidates)
	if n == 0 {
		return 0
	}
	probes := p.probes(n)
	p.choices = n
	// A step without a common factor with n visits every candidate once.
	start, best, found := p.random.IntN(n), 0.0, directory.EndpointID(0)
	step := 1
	if probes < n && n > 2 {
		step = coprimeStep(1+p.random.IntN(n-1), n)
	}
	seen := 0
	for i := 0; i < n && seen < probes; i++ {
		id := candidates[(start+i*step)%n]
		l := p.loads[id]
		if l == nil || !p.admits(l, a) {
			continue
		}
		seen++
		if score := p.score(l); found == 0 || score < best {
			best, found = score, id
		}
	}
	return found
}

// coprimeStep returns the first number from step on that has no common factor with n.
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

// admits reports whether an endpoint may get work.
func (p *Picture) admits(l *load, a admission) bool {
	if a == anyState {
		return true
	}
	if p.now < l.retryAt {
		return false
	}
	cold := p.now < l.coldEnd
	switch {
	case a == warmOnly:
		return !cold
	case cold:
	case p.cfg.Sole:
		return p.estimate(l) < float64(l.slots+p.cfg.Backlog)-0.5
	default:
		// A limit on the estimate would stop all hosts at once when their
		// reports are old; the own work is certain.
		return l.own < l.slots
	}
	// After the slow start it takes its share like the others, without a burst.
	l.recent, l.recentAt = mostRecent, p.placed
	limit := l.slots
	if l.answers < coldAnswers {
		limit = 1
	}
	return l.owned && p.estimate(l) < float64(limit)-0.5
}

// score is the expected load after one more request, lowest is best: work per
// slot, divided by the speed, plus a share of the recent use as a tie-break.
func (p *Picture) score(l *load) float64 {
	speed := 1.0
	if l.latency > 0 && p.latency > 0 {
		speed = min(1, max(minSpeed, 1.5*p.latency/l.latency))
	}
	elapsed := p.now - l.useAt
	share := float64(elapsed) / float64(elapsed+useLife)
	use := l.use + share*(float64(l.own)-l.use)
	if l.latency > l.trip {
		use *= 1 - l.trip/l.latency // what is on its way is no work at the backend server
	}
	slots := float64(l.slots)
	score := (p.estimate(l)+1)/(slots*speed) + p.tie()*use/slots
	if p.now >= l.coldEnd && p.recent(l) >= mostRecent {
		score += behindOthers
	}
	return score
}

// estimate is the work in flight at an endpoint: the own work, and that of other
// hosts by the last report, which loses weight with its age and with distrust.
func (p *Picture) estimate(l *load) float64 {
	if p.cfg.Sole {
		// Flows that other hosts placed before the change of roles are still there.
		share := 1 - float64(p.now-p.soleAt)/float64(p.cfg.ReportLife)
		if share <= 0 {
			return float64(l.own)
		}
		return float64(l.own) + share*l.others
	}
	weight := p.trust(l)
	return float64(l.own) + weight*l.others + (1-weight)*p.others
}

// trust is the weight of an endpoint's last report, from 0 to 1.
func (p *Picture) trust(l *load) float64 {
	if !l.heard {
		return 0
	}
	age := p.now - l.report.At
	fresh := max(0, 1-float64(age)/float64(p.cfg.ReportLife))
	return fresh * (1 - float64(l.distrust)/maxDistrust)
}

// Estimate is the work that the picture expects at an endpoint.
func (p *Picture) Estimate(id directory.EndpointID) float64 {
	if l := p.loads[id]; l != nil {
		return p.estimate(l)
	}
	return 0
}

// Trust is the weight of an endpoint's last report, from 0 to 1.
func (p *Picture) Trust(id directory.EndpointID) float64 {
	if l := p.loads[id]; l != nil {
		return p.trust(l)
	}
	return 0
}

// ExpectedWait is the time after which a request behind `ahead` others gets a
// slot, and the time within which most answers come, from own answers.
func (p *Picture) ExpectedWait(ahead int, candidates []directory.EndpointID) (wait, answer time.Duration) {
	slots := 0
	for _, id := range candidates {
		if l := p.loads[id]; l != nil && p.now >= l.retryAt {
			slots += l.slots
			if p.cfg.Sole {
				slots += p.cfg.Backlog
			}
		}
	}
	answer = seconds(p.latency + answerSpread*p.spread)
	if slots == 0 {
		return 0, answer
	}
	return seconds(float64(ahead) * p.latency / float64(slots)), answer
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// coldOwner is the host that alone sends to a cold endpoint. Hosts that ramped
// up together would overfill its slots, because none sees the others' work.
func coldOwner(id directory.EndpointID, hosts []string) string {
	return topHost(binary.BigEndian.AppendUint32(nil, uint32(id)), hosts)
}

// PlacingHost is the host that places all flows of a balance-first service: the
// highest rendezvous hash, so that services spread over the hosts and a lost
// host moves only its own services.
func PlacingHost(service string, hosts []string) string { return topHost([]byte(service), hosts) }

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

// mix spreads the low bits of an FNV hash of short keys (finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
