// Package request handles requests for front ends that see where each request begins
// and ends: admission by slots, waiting within the deadline, attempts, retries and the
// outcome that the caller gets. It does no I/O and reads no clock. The rules are in
// docs/design.md, section 9.
package request

import (
	"time"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
)

// ID identifies a request. The front end never uses an ID twice.
type ID uint64

// Attempt identifies one attempt at a request. The incarnation prevents an answer to an
// attempt of an earlier process from matching an attempt of this one.
type Attempt struct {
	Incarnation uint64
	Number      int
}

// Outcome is the result of a request as reported to the caller.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = iota // the caller gets the answer of the backend server
	OutcomeNotRun                  // the request did not run: nothing was sent, or every attempt was refused before it ran
	OutcomeUnknown                 // the request may have run
)

// String returns the name of the outcome, as in docs/design.md.
func (o Outcome) String() string { return [...]string{"answered", "not run", "unknown"}[o] }

// Event is an event that concerns a request, the endpoints or the time.
type Event interface{ isEvent() }

type (
	// Endpoints sets the endpoints that may get work. Attempts at other endpoints continue.
	Endpoints struct{ IDs []directory.EndpointID }
	// Arrive is the arrival of a request. Deadline is a point in time. Key is the caller's
	// idempotency key, if any; Flow is a hash of the caller's connection.
	Arrive struct {
		ID         ID
		Idempotent bool
		Deadline   time.Duration
		Key        string
		Flow       uint64
	}
	// Cancel reports that the caller no longer waits for the answer.
	Cancel struct{ ID ID }
	// Sent reports that bytes of an attempt were passed to the network.
	Sent struct {
		ID      ID
		Attempt Attempt
	}
	// NotSent reports that no byte of an attempt was sent, so it did not run.
	NotSent struct {
		ID      ID
		Attempt Attempt
	}
	// Answer is a complete answer of a backend server. Failed is set if it reports a failure,
	// after which an idempotent request may be retried.
	Answer struct {
		ID       ID
		Attempt  Attempt
		Endpoint directory.EndpointID
		Failed   bool
	}
	// Refused reports that a backend server refused an attempt before running it.
	Refused struct {
		ID       ID
		Attempt  Attempt
		Endpoint directory.EndpointID
	}
	// Lost reports that no complete answer to an attempt can arrive any more.
	Lost struct {
		ID      ID
		Attempt Attempt
	}
	// EndpointGone reports that a backend server has ended. For attempts whose sending is still
	// in progress, the Sent or NotSent that follows decides.
	EndpointGone struct{ Endpoint directory.EndpointID }
	// Tick reports the passage of time.
	Tick struct{}
)

func (Endpoints) isEvent()    {}
func (Arrive) isEvent()       {}
func (Cancel) isEvent()       {}
func (Sent) isEvent()         {}
func (NotSent) isEvent()      {}
func (Answer) isEvent()       {}
func (Refused) isEvent()      {}
func (Lost) isEvent()         {}
func (EndpointGone) isEvent() {}
func (Tick) isEvent()         {}

// Effect is an action that the front end has to take.
type Effect interface{ isEffect() }

type (
	// Send sends an attempt. Deadline and Key are zero unless Config passes them on.
	Send struct {
		ID       ID
		Attempt  Attempt
		Endpoint directory.EndpointID
		Deadline time.Duration
		Key      string
	}
	// Reply ends a request. With OutcomeAnswered, the caller gets the answer to Attempt.
	Reply struct {
		ID      ID
		Outcome Outcome
		Attempt Attempt
	}
	// CancelUpstream cancels an attempt at the backend server.
	CancelUpstream struct {
		ID       ID
		Attempt  Attempt
		Endpoint directory.EndpointID
	}
)

func (Send) isEffect()           {}
func (Reply) isEffect()          {}
func (CancelUpstream) isEffect() {}

// Placer chooses endpoints and records the results of attempts. *balance.LoadModel
// implements it.
type Placer interface {
	// Advance sets the current time.
	Advance(now time.Duration)
	// Place returns an endpoint that may get a request now, or 0 if there is none.
	Place(flow uint64, candidates []directory.EndpointID) directory.EndpointID
	// Sent records an attempt at an endpoint.
	Sent(id directory.EndpointID)
	// Done records the result and the duration of an attempt.
	Done(id directory.EndpointID, result balance.Result, after time.Duration)
	// ExpectedWait returns the wait behind `ahead` queued requests and the time within which
	// most answers arrive.
	ExpectedWait(ahead int, candidates []directory.EndpointID) (wait, answer time.Duration)
}

// Config holds the settings of a machine. docs/MEASUREMENTS.md shows the effect of each
// optional mechanism; those without a benefit are off by default.
type Config struct {
	Incarnation uint64 // of this process
	MaxAttempts int    // per request; default 3
	MaxWaiting  int    // requests that wait for a slot; default 1024

	// EarlyRefusal refuses a request at once if its answer is not expected before its deadline.
	EarlyRefusal bool
	// PropagateDeadline passes the deadline on to the backend server.
	PropagateDeadline bool
	// RetryBudget limits retries to this fraction of the requests, plus RetryReserve; 0 means
	// no limit. The budget and the breaker follow "Reliability is not retry=3" (2026).
	RetryBudget  float64
	RetryReserve float64
	// BreakerFailures consecutive failures stop attempts at an endpoint for BreakerPause; 0
	// disables the breaker.
	BreakerFailures int
	BreakerPause    time.Duration
	// IdempotencyKey passes the caller's key on and treats a request with a key as idempotent.
	// The service's backend servers must recognise repeated keys.
	IdempotencyKey bool
}
