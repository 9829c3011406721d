package experiment

import (
	"math/rand/v2"
	"time"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
	"cassiawood/internal/request"
)

// PlacerSetup holds the arguments to create the placer of one entry host.
type PlacerSetup struct {
	Host   string   // that places the requests
	Hosts  []string // all entry hosts
	Sole   bool     // Host places all requests of the service
	Random *rand.Rand
}

// Policy is a method of choosing endpoints for requests.
type Policy struct {
	Name     string
	Sole     bool // one host places all requests of the service
	Records  bool // open flows keep their endpoint by flow records
	Requests request.Config
	Placer   func(PlacerSetup) reportingPlacer
}

// backlog is the number of requests that may wait at a backend server, so that its
// slots do not idle during a round trip of 6 to 10 ms or a retransmission.
const backlog = 2

// defaultRequestConfig returns a request.Config with the options that the measurements support.
func defaultRequestConfig() request.Config { return request.Config{EarlyRefusal: true} }

// CassiawoodPolicy returns cassiawood's policy with the given parameters. If sole is
// set, one host places all requests of the service.
func CassiawoodPolicy(name string, sole bool, parameters balance.Config, requests request.Config) Policy {
	return Policy{
		Name: name, Sole: sole, Records: true, Requests: requests,
		Placer: func(s PlacerSetup) reportingPlacer {
			c := parameters
			c.Host, c.Hosts, c.SolePlacer = s.Host, s.Hosts, s.Sole
			return balance.New(c, s.Random)
		},
	}
}

// SingleHostPolicy returns cassiawood's policy with one placing host for each service.
func SingleHostPolicy() Policy {
	return CassiawoodPolicy("cassiawood", true, balance.Config{Backlog: backlog}, defaultRequestConfig())
}

// EveryHostPolicy returns cassiawood's policy with every entry host placing independently.
func EveryHostPolicy() Policy {
	return CassiawoodPolicy("cassiawood, each host", false, balance.Config{}, defaultRequestConfig())
}

// Policies returns cassiawood's policies and the baselines. The baselines send
// immediately, without admission control, and make up to three attempts at an
// idempotent request.
func Policies() []Policy {
	return []Policy{
		SingleHostPolicy(), EveryHostPolicy(),
		baseline("consistent hashing", false, chooseByHash),
		baseline("round robin", true, chooseRoundRobin),
		baseline("two random choices", true, chooseTwoRandom),
		baseline("least connections", true, chooseLeastConnections),
	}
}

// baseline returns a policy without admission control. Without records, a flow
// follows the hash when the set of endpoints changes.
func baseline(name string, records bool, choose func(*baselinePlacer, uint64, []directory.EndpointID) directory.EndpointID) Policy {
	return Policy{
		Name: name, Records: records,
		Placer: func(s PlacerSetup) reportingPlacer {
			return &baselinePlacer{random: s.Random, nextIndex: s.Random.IntN(1 << 16), reports: map[directory.EndpointID]int{}, choose: choose}
		},
	}
}

// baselinePlacer is the placer of a baseline: it chooses by the last report of each endpoint only.
type baselinePlacer struct {
	random    *rand.Rand
	nextIndex int
	reports   map[directory.EndpointID]int
	choose    func(*baselinePlacer, uint64, []directory.EndpointID) directory.EndpointID
}

func (p *baselinePlacer) Place(flow uint64, candidates []directory.EndpointID) directory.EndpointID {
	if len(candidates) == 0 {
		return 0
	}
	return p.choose(p, flow, candidates)
}

func (p *baselinePlacer) Observe(id directory.EndpointID, r balance.Report) {
	p.reports[id] = r.InFlight
}

func (p *baselinePlacer) Advance(time.Duration)                                         {}
func (p *baselinePlacer) Add(directory.EndpointID, int, bool)                           {}
func (p *baselinePlacer) Sent(directory.EndpointID)                                     {}
func (p *baselinePlacer) Done(directory.EndpointID, balance.Result, time.Duration)      {}
func (p *baselinePlacer) ExpectedWait(int, []directory.EndpointID) (_, _ time.Duration) { return 0, 0 }

func chooseByHash(_ *baselinePlacer, flow uint64, candidates []directory.EndpointID) directory.EndpointID {
	return rendezvous(flow, candidates)
}

func chooseRoundRobin(p *baselinePlacer, _ uint64, candidates []directory.EndpointID) directory.EndpointID {
	p.nextIndex++
	return candidates[p.nextIndex%len(candidates)]
}

func chooseTwoRandom(p *baselinePlacer, _ uint64, candidates []directory.EndpointID) directory.EndpointID {
	a, b := candidates[p.random.IntN(len(candidates))], candidates[p.random.IntN(len(candidates))]
	if p.reports[b] < p.reports[a] {
		return b
	}
	return a
}

func chooseLeastConnections(p *baselinePlacer, _ uint64, candidates []directory.EndpointID) directory.EndpointID {
	start := p.random.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		if id := candidates[(start+i)%len(candidates)]; p.reports[id] < p.reports[best] {
			best = id
		}
	}
	return best
}
