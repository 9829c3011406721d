package experiment

import "cassiawood/internal/request"

// Ideas measures the effect of each idea of docs/design.md, section 9, by enabling
// it on cassiawood's policies and on a baseline without admission control that makes
// up to three attempts.
func Ideas(service Service, seed uint64) []Result {
	options := []struct {
		name string
		set  func(*request.Config)
	}{
		{"", func(*request.Config) {}},
		{" + deadline propagation", func(c *request.Config) { c.PropagateDeadline = true }},
		{" + retry budget", func(c *request.Config) { c.RetryBudget, c.RetryReserve = budgetRatio, budgetReserve }},
		{" + circuit breaker", func(c *request.Config) { c.BreakerFailures, c.BreakerPause = breakerFailures, breakerPause }},
		{" + idempotency key", func(c *request.Config) { c.IdempotencyKey = true }},
	}
	var policies []Policy
	for _, base := range []Policy{
		SingleHostPolicy(), EveryHostPolicy(), baseline("two random choices", true, chooseTwoRandom),
	} {
		for _, s := range options {
			p := base
			p.Name += s.name
			s.set(&p.Requests)
			policies = append(policies, p)
		}
	}
	return RunAll(service, ideaScenarios(), policies, seed)
}

// ideaScenarios returns the scenarios in which an idea can have an effect.
func ideaScenarios() []Scenario {
	var chosen []Scenario
	for _, s := range Scenarios() {
		switch s.Name {
		case "steady", "peak", "slow backend server", "false health", "shedding":
			chosen = append(chosen, s)
		}
	}
	return append(chosen, Scenario{"crashes", prepareCrashes})
}

// prepareCrashes makes a random backend server crash every two seconds.
func prepareCrashes(r *run) {
	r.at(disturbanceStart, func() {
		r.every(2*reportInterval, func() {
			if r.inMeasuredPeriod() {
				r.crash(r.backends[r.random.IntN(len(r.backends))])
			}
		})
	})
}

// crash drops all requests of a backend server, which is available again immediately.
func (r *run) crash(b *backend) {
	b.integrate(r.now)
	for _, j := range append(append([]*job(nil), b.queue...), b.running...) {
		j.done = true
		r.send(b.domain, j.placedBy.domain, func() { j.placedBy.step(request.Lost{ID: j.id, Attempt: j.attempt}) })
	}
	b.queue, b.running = nil, nil
}
