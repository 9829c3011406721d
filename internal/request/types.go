// Package request decides on requests where a front end sees their boundaries:
// admission by slots, a wait within the deadline, attempts, retries and the
// outcome that the caller is told. It does no I/O and reads no clock. The rules
// are those of docs/design.md, section 9.
package request

import (
	"time"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
)

// ID identifies a request. The front end never uses an ID twice.
type ID uint64

// Attempt identifies one sending of a request. The incarnation keeps an answer
// to an attempt of an earlier process from matching one of this process.
type Attempt struct {
	Incarnation uint64
	Number      int
}

// Outcome is what the caller is told.
type Outcome uint8

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = iota
	OutcomeNotRun           // provably nothing was sent, or every attempt was refused before it ran
	OutcomeUnknown          // may have run
)

// String returns the outcome as the design page names it.
func (o Outcome) String() string { return [...]string{"answered", "not run", "unknown"}[o] }

// Event is what happens to a request or to the set of endpoints.
type Event interface{ isEvent() }

type (
	// Endpoints sets the endpoints that may get work. Attempts at others go on.
	Endpoints struct{ IDs []directory.EndpointID }
	// Arrive is a new request. Deadline is a point in time. Key is the caller's
	// idempotency key or empty, Flow a hash of the caller's connection.
	Arrive struct {
		ID         ID
		Idempotent bool
		Deadline   time.Duration
		Key        string
		Flow       uint64
	}
	// Cancel says that the caller no longer waits.
	Cancel struct{ ID ID }
	// Sent confirms that bytes of an attempt were handed to the network.
	Sent struct {
		ID      ID
		Attempt Attempt
	}
	// NotSent says that no byte of an attempt left, so it did not run.
	NotSent struct {
		ID      ID
		Attempt Attempt
	}
	// Answer is a whole answer from a backend server. Failed marks one that
	// reports a failure, after which an idempotent request may be sent again.
	Answer struct {
		ID       ID
		Attempt  Attempt
		Endpoint directory.EndpointID
		Failed   bool
	}
	// Refused says that the backend server refused an attempt before running it.
	Refused struct {
		ID       ID
		Attempt  Attempt
		Endpoint directory.EndpointID
	}
	// Lost says that no whole answer to an attempt can arrive any more.
	Lost struct {
		ID      ID
		Attempt Attempt
	}
	// EndpointGone says that a backend server ended; attempts whose sending is
	// still in progress are settled by Sent or NotSent.
	EndpointGone struct{ Endpoint directory.EndpointID }
	// Tick lets time pass.
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

// Effect is what the front end has to do.
type Effect interface{ isEffect() }

type (
	// Send sends an attempt. Deadline is 0 unless it is propagated.
	Send struct {
		ID       ID
		Attempt  Attempt
		Endpoint directory.EndpointID
		Deadline time.Duration
		Key      string
	}
	// Reply ends a request. With OutcomeAnswered, the answer of Attempt is passed on.
	Reply struct {
		ID      ID
		Outcome Outcome
		Attempt Attempt
	}
	// CancelUpstream passes a cancellation on to the backend server.
	CancelUpstream struct {
		ID       ID
		Attempt  Attempt
		Endpoint directory.EndpointID
	}
)

func (Send) isEffect()           {}
func (Reply) isEffect()          {}
func (CancelUpstream) isEffect() {}

// Placer chooses endpoints and is told how the attempts went. *balance.Picture is one.
type Placer interface {
	Advance(now time.Duration)
	// Place picks an endpoint that may get a request now, or 0.
	Place(flow uint64, candidates []directory.EndpointID) directory.EndpointID
	Sent(id directory.EndpointID)
	Done(id directory.EndpointID, result balance.Result, after time.Duration)
	// ExpectedWait is the wait behind `ahead` requests and the time within
	// which most answers come.
	ExpectedWait(ahead int, candidates []directory.EndpointID) (wait, answer time.Duration)
}

// Config holds the switches of a machine. docs/MEASUREMENTS.md says what each
// of them gains; those that gained nothing are off by default.
type Config struct {
	Incarnation uint64
	MaxAttempts int // sendings of one request; default 3
	MaxWaiting  int // requests that wait for a slot; default 1024

	// EarlyRefusal refuses a request at once when the expected wait and answer do not fit its deadline.
	EarlyRefusal bool
	// PropagateDeadline hands the deadline to the backend server.
	PropagateDeadline bool
	// RetryBudget bounds retries to this ratio of requests and RetryReserve more; 0 is no bound.
	// Source of budget and breaker: "Reliability is not retry=3" (2026).
	RetryBudget  float64
	RetryReserve float64
	// BreakerFailures failures in a row stop attempts at an endpoint for BreakerPause; 0 is no breaker.
	BreakerFailures int
	BreakerPause    time.Duration
	// IdempotencyKey passes the key on and treats a request that has one as
	// idempotent. The service's backend servers must recognise repeated keys.
	IdempotencyKey bool
}
