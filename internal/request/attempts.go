package request

import (
	"slices"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
)

// matchAttempt returns the request whose current attempt is the given one and in flight, or nil.
// Delayed, duplicate and misrouted messages match no request and are ignored.
func (m *Machine) matchAttempt(id ID, a Attempt) *request {
	r := m.requests[id]
	if r == nil || r.phase == waiting || m.attempt(r) != a {
		return nil
	}
	return r
}

// handleSent handles the confirmation that an attempt was sent.
func (m *Machine) handleSent(e Sent) {
	r := m.matchAttempt(e.ID, e.Attempt)
	if r == nil || r.phase != sending {
		return
	}
	r.phase = sent
	if r.endpointEnded {
		m.attemptLost(r)
	}
}

// handleNotSent handles an attempt of which no byte was sent, so that even a non-idempotent
// request may be retried.
func (m *Machine) handleNotSent(e NotSent) {
	r := m.matchAttempt(e.ID, e.Attempt)
	if r == nil || r.phase != sending {
		return
	}
	m.endAttempt(r, balance.Refused)
	m.retryOrReply(r, true, m.notRunOutcome(r))
}

// handleAnswer handles an answer. It counts only if it belongs to the current attempt and comes
// from the endpoint of that attempt.
func (m *Machine) handleAnswer(e Answer) {
	r := m.matchAttempt(e.ID, e.Attempt)
	if r == nil || r.endpoint != e.Endpoint {
		return
	}
	if !e.Failed {
		m.endAttempt(r, balance.Answered)
		m.reply(r, OutcomeAnswered)
		return
	}
	m.endAttempt(r, balance.Refused)
	r.mayHaveRun = true
	m.retryOrReply(r, r.idempotent, OutcomeAnswered)
}

// handleRefused handles a refusal before running. It proves that the attempt did not run, but
// bytes were sent, so a non-idempotent request is not retried.
func (m *Machine) handleRefused(e Refused) {
	r := m.matchAttempt(e.ID, e.Attempt)
	if r == nil || r.endpoint != e.Endpoint {
		return
	}
	m.endAttempt(r, balance.Refused)
	m.retryOrReply(r, r.idempotent, m.notRunOutcome(r))
}

// attemptLost handles an attempt that may have run and whose answer cannot arrive any more.
func (m *Machine) attemptLost(r *request) {
	m.endAttempt(r, balance.Lost)
	r.mayHaveRun = true
	m.retryOrReply(r, r.idempotent, OutcomeUnknown)
}

// notRunOutcome returns the outcome of a request whose last attempt did not run.
func (m *Machine) notRunOutcome(r *request) Outcome {
	if r.mayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

// endAttempt passes the result of an attempt to the placer and the breaker.
func (m *Machine) endAttempt(r *request, result balance.Result) {
	m.placer.Done(r.endpoint, result, m.now-r.started)
	if m.cfg.BreakerFailures > 0 {
		m.breaker(r.endpoint).Ended(m.now, result)
	}
}

// retryOrReply queues a further attempt if that is safe, in time, and within the limit of attempts
// and the retry budget; otherwise it replies with the given outcome.
func (m *Machine) retryOrReply(r *request, safe bool, otherwise Outcome) {
	withinBudget := m.cfg.RetryBudget == 0 || m.retryTokens >= 1
	if !safe || !withinBudget || r.attempt >= m.cfg.MaxAttempts || m.now >= r.deadline {
		m.reply(r, otherwise)
		return
	}
	if m.cfg.RetryBudget > 0 {
		m.retryTokens--
	}
	r.phase = waiting
	m.retries.push(r)
}

// reply ends a request with an outcome.
func (m *Machine) reply(r *request, outcome Outcome) {
	r.ended = true
	delete(m.requests, r.id)
	m.effects = append(m.effects, Reply{ID: r.id, Outcome: outcome, Attempt: m.attempt(r)})
}

// abandon ends a request that was cancelled or whose deadline has passed or cannot be met. An
// attempt in flight is cancelled at the backend server.
func (m *Machine) abandon(r *request, result balance.Result) {
	if r.phase == waiting {
		if r.attempt == 0 {
			m.queue.live--
		} else {
			m.retries.live--
		}
		m.reply(r, m.notRunOutcome(r))
		return
	}
	m.effects = append(m.effects, CancelUpstream{ID: r.id, Attempt: m.attempt(r), Endpoint: r.endpoint})
	m.endAttempt(r, result)
	m.reply(r, OutcomeUnknown)
}

// expire ends the requests whose deadline has passed.
func (m *Machine) expire() {
	var expired []*request
	for _, r := range m.requests {
		if m.now >= r.deadline {
			expired = append(expired, r)
		}
	}
	m.forEachByID(expired, func(r *request) { m.abandon(r, balance.Lost) })
}

// handleEndpointGone ends the attempts at a backend server that has ended.
func (m *Machine) handleEndpointGone(id directory.EndpointID) {
	m.endpoints = slices.DeleteFunc(m.endpoints, func(e directory.EndpointID) bool { return e == id })
	var affected []*request
	for _, r := range m.requests {
		if r.phase != waiting && r.endpoint == id {
			affected = append(affected, r)
		}
	}
	m.forEachByID(affected, func(r *request) {
		if r.phase == sending {
			r.endpointEnded = true
			return
		}
		m.attemptLost(r)
	})
}

// forEachByID calls f for each request in the order of the IDs. The random order of map
// iteration would make runs with the same seed differ.
func (m *Machine) forEachByID(requests []*request, f func(*request)) {
	slices.SortFunc(requests, func(a, b *request) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	for _, r := range requests {
		f(r)
	}
}
