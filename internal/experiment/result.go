package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Result holds the results of one scenario with one policy.
type Result struct {
	Service, Scenario, Policy string

	Broken        int     // flows that a change of the set of endpoints moved to another endpoint
	Imbalance     float64 // mean over all windows
	ImbalanceP99  float64
	Refused       float64 // share of the offered requests that were not run
	Unknown       float64 // share of the offered requests whose outcome is unknown
	WaitP50       time.Duration
	WaitP99       time.Duration
	Amplification float64 // attempts at backend servers per offered request
	Goodput       float64 // answers before the deadline, as a share of the capacity
	Overfilled    int     // requests that reached a cold backend server without a free slot
	Doubled       int     // non-idempotent requests that were sent twice
	FalseNotRun   int     // requests that ran although they were reported as not run
}

// Run simulates one scenario with one policy and returns the measurements.
func Run(service Service, scenario Scenario, policy Policy, seed uint64) Result {
	r := newRun(service, policy, seed)
	scenario.prepare(r)
	r.start()
	r.execute()
	t := &r.stats
	offered := float64(max(1, t.offered))
	result := Result{
		Service: service.Name, Scenario: scenario.Name, Policy: policy.Name,
		Broken: r.flows.broken, Imbalance: t.imbalanceSum / float64(max(1, t.imbalanceCount)),
		ImbalanceP99: float64(t.windowImbalances.ValueAtQuantile(99)) / 1000,
		Refused:      float64(t.refused) / offered, Unknown: float64(t.unknown) / offered,
		WaitP50:       time.Duration(t.waitingTimes.ValueAtQuantile(50)) * time.Microsecond,
		WaitP99:       time.Duration(t.waitingTimes.ValueAtQuantile(99)) * time.Microsecond,
		Amplification: float64(t.attempts) / offered,
		Goodput:       float64(t.answeredInTime) / (service.capacityPerSecond() * (disturbanceEnd - disturbanceStart).Seconds()),
		Doubled:       t.sentTwice,
	}
	for _, b := range r.backends {
		result.Overfilled += b.overfilled
	}
	for _, record := range t.requests {
		if record.notRun && record.starts > 0 {
			result.FalseNotRun++
		}
	}
	return result
}

// RunAll runs every scenario of a service with every policy.
func RunAll(service Service, scenarios []Scenario, policies []Policy, seed uint64) []Result {
	var results []Result
	for _, s := range scenarios {
		for _, p := range policies {
			results = append(results, Run(service, s, p, seed))
		}
	}
	return results
}

// primaryMeasure returns the measure that matters most to a service: imbalance, or broken flows.
func (r Result) primaryMeasure(balanceFirst bool) float64 {
	if balanceFirst {
		return r.Imbalance
	}
	return float64(r.Broken)
}

// Shortfall is a scenario in which cassiawood's policy is worse than a baseline.
type Shortfall struct {
	Scenario, Baseline   string
	Value, BaselineValue float64
}

// Shortfalls compares the first policy of each scenario with the baselines by the
// measure that matters most to the service. It takes the results of RunAll.
func Shortfalls(service Service, results []Result) []Shortfall {
	var shortfalls []Shortfall
	var cassiawood Result
	for _, r := range results {
		if r.Scenario != cassiawood.Scenario {
			cassiawood = r
		}
		if r.Policy == EveryHostPolicy().Name {
			continue
		}
		if a, b := cassiawood.primaryMeasure(service.BalanceFirst), r.primaryMeasure(service.BalanceFirst); a > b {
			shortfalls = append(shortfalls, Shortfall{Scenario: r.Scenario, Baseline: r.Policy, Value: a, BaselineValue: b})
		}
	}
	return shortfalls
}

// PrintShortfalls writes the scenarios in which the policy is worse than a baseline.
func PrintShortfalls(w io.Writer, service Service, results []Result) {
	measure := "broken flows"
	if service.BalanceFirst {
		measure = "imbalance"
	}
	shortfalls := Shortfalls(service, results)
	if len(shortfalls) == 0 {
		fmt.Fprintf(w, "\n%s weighs %s: no baseline is better in any scenario\n", service.Name, measure)
	}
	for _, s := range shortfalls {
		fmt.Fprintf(w, "\n%s weighs %s: in %q cassiawood has %.3f and %s %.3f", service.Name, measure, s.Scenario, s.Value, s.Baseline, s.BaselineValue)
	}
	fmt.Fprintln(w)
}

// Print writes the results as one table per scenario.
func Print(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	scenario := ""
	for _, r := range results {
		if key := r.Service + ", " + r.Scenario; key != scenario {
			scenario = key
			fmt.Fprintf(t, "\n%s\tbroken\timbalance\tp99\trefused\tunknown\twait p50\tp99\tamplification\tgoodput\toverfilled\tdoubled\tfalse not run\n", key)
		}
		fmt.Fprintf(t, "  %s\t%d\t%.3f\t%.3f\t%.2f%%\t%.2f%%\t%.0f ms\t%.0f ms\t%.3f\t%.3f\t%d\t%d\t%d\n",
			r.Policy, r.Broken, r.Imbalance, r.ImbalanceP99, 100*r.Refused, 100*r.Unknown,
			r.WaitP50.Seconds()*1000, r.WaitP99.Seconds()*1000, r.Amplification, r.Goodput,
			r.Overfilled, r.Doubled, r.FalseNotRun)
	}
	return t.Flush()
}
