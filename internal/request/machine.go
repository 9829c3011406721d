package request

import (
	"slices"
	"time"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
)

const (
	defaultMaxAttempts = 3
	defaultMaxWaiting  = 1024
)

// phase is the state of a request that has not been replied to.
type phase uint8

const (
	waiting phase = iota // in a queue
	sending              // Send was issued, neither Sent nor NotSent has followed
	sent                 // the answer is outstanding
)

// request is the state of a request until its reply.
type request struct {
	id         ID
	idempotent bool
	deadline   time.Duration
	key        string
	flow       uint64

	phase         phase
	attempt       int                  // number of the last attempt; 0 before the first
	endpoint      directory.EndpointID // of the last attempt
	started       time.Duration        // start of the last attempt
	mayHaveRun    bool                 // an earlier attempt may have run
	ended         bool                 // has been replied to
	endpointEnded bool                 // the endpoint ended while the attempt was being sent
}

// Machine is the state machine for the requests of one service at one entry host.
type Machine struct {
	cfg         Config
	placer      Placer
	now         time.Duration
	endpoints   []directory.EndpointID
	admitted    []directory.EndpointID // result of admittedEndpoints; its memory is reused
	breakers    map[directory.EndpointID]*balance.Breaker
	requests    map[ID]*request
	queue       fifo    // requests before their first attempt
	retries     fifo    // requests before a further attempt, which go first
	retryTokens float64 // left in the retry budget
	effects     []Effect
}

// New returns a machine without endpoints.
func New(cfg Config, placer Placer) *Machine {
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxAttempts
	}
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = defaultMaxWaiting
	}
	return &Machine{
		cfg: cfg, placer: placer, requests: map[ID]*request{}, retryTokens: cfg.RetryReserve,
		breakers: map[directory.EndpointID]*balance.Breaker{},
	}
}

// Step processes one event and returns the resulting effects, which are valid until the
// next call.
func (m *Machine) Step(now time.Duration, event Event) []Effect {
	m.now = max(m.now, now)
	m.placer.Advance(m.now)
	m.effects = m.effects[:0]
	switch e := event.(type) {
	case Endpoints:
		m.endpoints = slices.Clone(e.IDs)
	case Arrive:
		m.handleArrive(e)
	case Cancel:
		if r := m.requests[e.ID]; r != nil {
			m.abandon(r, balance.Cancelled)
		}
	case Sent:
		m.handleSent(e)
	case NotSent:
		m.handleNotSent(e)
	case Answer:
		m.handleAnswer(e)
	case Refused:
		m.handleRefused(e)
	case Lost:
		if r := m.matchAttempt(e.ID, e.Attempt); r != nil {
			m.attemptLost(r)
		}
	case EndpointGone:
		m.handleEndpointGone(e.Endpoint)
	case Tick:
		m.expire()
	}
	m.dispatch()
	return m.effects
}

// Waiting returns the number of requests that wait for a slot.
func (m *Machine) Waiting() int { return m.queue.live + m.retries.live }

// InFlight returns the number of requests whose attempt has been issued and not ended.
func (m *Machine) InFlight() int { return len(m.requests) - m.Waiting() }

// handleArrive queues a request, or refuses it if it cannot be served in time.
func (m *Machine) handleArrive(e Arrive) {
	if m.requests[e.ID] != nil {
		return // a duplicate event; the request is already being served
	}
	m.retryTokens = min(m.retryTokens+m.cfg.RetryBudget, max(m.cfg.RetryReserve, 1))
	r := &request{id: e.ID, idempotent: e.Idempotent, deadline: e.Deadline, key: e.Key, flow: e.Flow}
	if m.cfg.IdempotencyKey && e.Key != "" {
		r.idempotent = true
	}
	if m.now >= e.Deadline || m.Waiting() >= m.cfg.MaxWaiting || !m.fitsDeadline(r, m.Waiting()) {
		m.effects = append(m.effects, Reply{ID: e.ID, Outcome: OutcomeNotRun})
		return
	}
	m.requests[e.ID] = r
	m.queue.push(r)
}

// fitsDeadline reports whether the answer is expected before the deadline, with `ahead` requests
// queued before this one. An attempt without such a prospect would use a slot and end as
// "unknown" instead of "not run". With nothing in flight every request is admitted, because
// the expectation changes only with answers.
func (m *Machine) fitsDeadline(r *request, ahead int) bool {
	if !m.cfg.EarlyRefusal || m.InFlight() == 0 {
		return true
	}
	wait, answer := m.placer.ExpectedWait(ahead, m.admittedEndpoints())
	return m.now+wait+answer <= r.deadline
}

// admittedEndpoints returns the endpoints whose breaker allows an attempt.
func (m *Machine) admittedEndpoints() []directory.EndpointID {
	if m.cfg.BreakerFailures == 0 {
		return m.endpoints
	}
	m.admitted = m.admitted[:0]
	for _, id := range m.endpoints {
		if m.breaker(id).Allows(m.now) {
			m.admitted = append(m.admitted, id)
		}
	}
	return m.admitted
}

// breaker returns the breaker of an endpoint and creates it if necessary.
func (m *Machine) breaker(id directory.EndpointID) *balance.Breaker {
	b := m.breakers[id]
	if b == nil {
		b = &balance.Breaker{Failures: m.cfg.BreakerFailures, Pause: m.cfg.BreakerPause}
		m.breakers[id] = b
	}
	return b
}

// dispatch sends waiting requests, retries first, while an endpoint has a free slot.
func (m *Machine) dispatch() {
	for {
		q := &m.retries
		r := q.peek()
		if r == nil {
			q = &m.queue
			r = q.peek()
		}
		if r == nil {
			return
		}
		if m.now >= r.deadline || !m.fitsDeadline(r, 0) {
			m.abandon(r, balance.Lost)
			continue
		}
		id := m.placer.Place(r.flow, m.admittedEndpoints())
		if id == 0 {
			return
		}
		q.pop()
		m.send(r, id)
	}
}

// send issues the next attempt at a request.
func (m *Machine) send(r *request, id directory.EndpointID) {
	r.phase, r.endpoint, r.started, r.endpointEnded = sending, id, m.now, false
	r.attempt++
	m.placer.Sent(id)
	if m.cfg.BreakerFailures > 0 {
		m.breaker(id).Sent()
	}
	s := Send{ID: r.id, Attempt: m.attempt(r), Endpoint: id}
	if m.cfg.PropagateDeadline {
		s.Deadline = r.deadline
	}
	if m.cfg.IdempotencyKey {
		s.Key = r.key
	}
	m.effects = append(m.effects, s)
}

// attempt returns the identity of the request's last attempt.
func (m *Machine) attempt(r *request) Attempt {
	return Attempt{Incarnation: m.cfg.Incarnation, Number: r.attempt}
}

// fifo is a queue that skips requests that have ended. It reuses its memory.
type fifo struct {
	items []*request
	head  int // index of the first item
	live  int // items that have not ended
}

func (f *fifo) push(r *request) {
	if f.head > 0 && f.head*2 >= len(f.items) {
		n := copy(f.items, f.items[f.head:])
		clear(f.items[n:])
		f.items, f.head = f.items[:n], 0
	}
	f.items = append(f.items, r)
	f.live++
}

func (f *fifo) peek() *request {
	for f.head < len(f.items) {
		if r := f.items[f.head]; !r.ended {
			return r
		}
		f.items[f.head] = nil
		f.head++
	}
	return nil
}

func (f *fifo) pop() {
	f.items[f.head] = nil
	f.head++
	f.live--
}
