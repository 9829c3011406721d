package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
	"cassiawood/internal/request"
)

// The setup of the publication "Reliability is not retry=3" (2026): two waves of
// concurrent callers send to a dependency that refuses every request with 503.
const (
	waveCallers     = 40
	dependencyDelay = 50 * time.Millisecond
	secondWaveStart = 3 * time.Second
	endOfWaves      = 10 * time.Second
	budgetRatio     = 0.1
	budgetReserve   = 10 // retries that a budget allows before any request is sent
	breakerFailures = 8
	breakerPause    = 5 * time.Second
)

// WaveResult holds the number of requests that the dependency gets in each wave.
type WaveResult struct {
	Policy        string
	First, Second int
}

// Waves runs both waves with each policy of that publication and with cassiawood's.
func Waves(seed uint64) []WaveResult {
	withoutAdmission := func() request.Placer { return &baselinePlacer{choose: chooseRoundRobin} }
	cassiawood := func() request.Placer {
		p := balance.New(balance.Config{SolePlacer: true, Backlog: backlog}, rand.New(rand.NewPCG(seed, 1)))
		p.Add(1, slotsPerBackend, false)
		return p
	}
	breaker := request.Config{MaxAttempts: 1, BreakerFailures: breakerFailures, BreakerPause: breakerPause}
	breakerAndRetry := breaker
	breakerAndRetry.MaxAttempts = 3
	return []WaveResult{
		runWaves("no retry", request.Config{MaxAttempts: 1}, withoutAdmission()),
		runWaves("retry=3", request.Config{MaxAttempts: 3}, withoutAdmission()),
		runWaves("retry=3, budget 0.1", request.Config{MaxAttempts: 3, RetryBudget: budgetRatio, RetryReserve: budgetReserve}, withoutAdmission()),
		runWaves("circuit breaker 8, 5 s", breaker, withoutAdmission()),
		runWaves("retry=3, circuit breaker 8, 5 s", breakerAndRetry, withoutAdmission()),
		runWaves("cassiawood", defaultRequestConfig(), cassiawood()),
	}
}

// runWaves runs both waves through one request.Machine.
func runWaves(name string, config request.Config, placer request.Placer) WaveResult {
	result := WaveResult{Policy: name}
	m := request.New(config, placer)
	var pending events
	order, now := uint64(0), time.Duration(0)
	schedule := func(at time.Duration, do func()) {
		order++
		pending.schedule(event{at: at, order: order, do: do})
	}
	var step func(e request.Event)
	step = func(e request.Event) {
		for _, effect := range append([]request.Effect(nil), m.Step(now, e)...) {
			s, ok := effect.(request.Send)
			if !ok {
				continue
			}
			if now < secondWaveStart {
				result.First++
			} else {
				result.Second++
			}
			schedule(now+dependencyDelay, func() {
				step(request.Refused{ID: s.ID, Attempt: s.Attempt, Endpoint: s.Endpoint})
			})
		}
	}
	step(request.Endpoints{IDs: []directory.EndpointID{1}})
	for i := range 2 * waveCallers {
		at := secondWaveStart * time.Duration(i/waveCallers)
		schedule(at, func() {
			step(request.Arrive{ID: request.ID(i), Idempotent: true, Deadline: now + requestTimeout})
		})
	}
	for t := time.Duration(0); t < endOfWaves; t += 10 * time.Millisecond {
		schedule(t, func() { step(request.Tick{}) })
	}
	for len(pending) > 0 {
		e := pending.removeNext()
		now = e.at
		e.do()
	}
	return result
}

// PrintWaves writes the results as a table.
func PrintWaves(w io.Writer, results []WaveResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "requests at the dependency\tfirst wave\tsecond wave")
	for _, r := range results {
		fmt.Fprintf(t, "  %s\t%d\t%d\n", r.Policy, r.First, r.Second)
	}
	return t.Flush()
}
