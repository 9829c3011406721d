package cluster

import (
	"errors"
	"time"

	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
)

// API is what front ends ask of a control host. Its methods may be called from
// any goroutine and wait for the answer.
type API struct {
	inbox   *ring.Ring[event]
	clock   func() time.Duration
	metrics *counters
}

// ErrUnavailable says that this host cannot answer now; another one may, or
// this one later. A change may still come into force.
var ErrUnavailable = errors.New("no contact with a majority of the control hosts")

// NotLeaderError names the control host that can answer.
type NotLeaderError struct{ Address string }

func (e NotLeaderError) Error() string { return "the leader is " + e.Address }

// RefusedError says why a statement of a backend server is not taken.
type RefusedError struct{ Reason string }

func (e RefusedError) Error() string { return e.Reason }

// answerLimit bounds the wait for an answer. Operators turn to another host after a second without one.
const answerLimit = 2500 * time.Millisecond

// answer is the result of a question to the state duty.
type answer struct {
	desired routing.Desired
	err     error
}

// Report takes a statement of a backend server. It returns after the statement
// was merged and handed to the links to the other hosts. Heard is set by the duty.
func (a API) Report(e registry.Endpoint, coldFor time.Duration) error {
	since := a.clock()
	_, err := a.ask(func(reply *ring.Ring[answer]) event { return reported{endpoint: e, coldFor: coldFor, reply: reply} })
	a.metrics.report.Update((a.clock() - since).Microseconds())
	return err
}

// Put puts a checked desired state in force, unless one with the same or a
// higher version is. It returns after a majority has stored it.
func (a API) Put(d routing.Desired) error {
	_, err := a.ask(func(reply *ring.Ring[answer]) event { return putDesired{desired: d, reply: reply} })
	return err
}

// Get returns the desired state in force, confirmed by a majority.
func (a API) Get() (routing.Desired, error) {
	return a.ask(func(reply *ring.Ring[answer]) event { return getDesired{reply: reply} })
}

func (a API) ask(question func(*ring.Ring[answer]) event) (routing.Desired, error) {
	reply := ring.New[answer]("answer", 1, ring.DropNewest)
	if _, err := a.inbox.Put(question(reply)); err != nil {
		return routing.Desired{}, ErrUnavailable
	}
	result, err := reply.Get()
	if err != nil {
		return routing.Desired{}, ErrUnavailable
	}
	return result.desired, result.err
}
