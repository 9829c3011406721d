package cluster

import (
	"errors"
	"fmt"
	"time"

	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
)

// API is the interface of a control host for front ends. Its methods may be called from
// any goroutine and block until the answer arrives.
type API struct {
	inbox   *ring.Ring[event]
	clock   func() time.Duration
	metrics *counters
}

// ErrUnavailable reports that this host cannot answer now. Another host may, or
// this one later. A change that failed with it may still come into force.
var ErrUnavailable = errors.New("no contact with a majority of the control hosts")

// errStopping reports that this host is being stopped.
var errStopping = fmt.Errorf("this control host is stopping: %w", ErrUnavailable)

// NotLeaderError reports that this host is not the leader. Address is that of the leader.
type NotLeaderError struct{ Address string }

func (e NotLeaderError) Error() string { return "the leader is " + e.Address }

// RejectedError reports why a report of a backend server was rejected.
type RejectedError struct{ Reason string }

func (e RejectedError) Error() string { return e.Reason }

// answerTimeout bounds how long a request waits for its commit or confirmation. Operators switch to
// another host after one second without an answer.
const answerTimeout = 2500 * time.Millisecond

// answer is the result of a request to the state duty.
type answer struct {
	desired  routing.Desired
	reportTo string // of a report: address of the control host for the next ones
	err      error
}

// Report merges a report of a backend server. It returns after the report has been merged and
// queued on the links to the other hosts. The state duty sets e.LastReportAt and e.ColdUntil.
// It returns the address of the control host to which the server should send its next reports.
func (a API) Report(e registry.Endpoint, coldFor time.Duration) (string, error) {
	since := a.clock()
	result, err := a.request(func(reply *ring.Ring[answer]) event {
		return endpointReported{endpoint: e, coldFor: coldFor, reply: reply}
	})
	a.metrics.reportLatency.Update((a.clock() - since).Microseconds())
	return result.reportTo, err
}

// PutDesired puts a validated desired state in force, unless one with the same or a
// higher version already is. It returns after a majority has stored it.
func (a API) PutDesired(d routing.Desired) error {
	_, err := a.request(func(reply *ring.Ring[answer]) event { return putDesired{desired: d, reply: reply} })
	return err
}

// GetDesired returns the desired state in force, after a majority has confirmed that this host leads.
func (a API) GetDesired() (routing.Desired, error) {
	result, err := a.request(func(reply *ring.Ring[answer]) event { return getDesired{reply: reply} })
	return result.desired, err
}

// request sends a request to the state duty and waits for its answer.
func (a API) request(newEvent func(*ring.Ring[answer]) event) (answer, error) {
	reply := ring.New[answer]("answer", 1, ring.DropNewest)
	if _, err := a.inbox.Put(newEvent(reply)); err != nil {
		return answer{}, ErrUnavailable
	}
	result, err := reply.Get()
	if err != nil {
		return answer{}, ErrUnavailable
	}
	return result, result.err
}
