package request_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiawood/internal/directory"
	"cassiawood/internal/request"
)

// attemptState is the actual state of one attempt, which the machine cannot see.
type attemptState struct {
	request.Send
	// Bytes have been sent, Sent or NotSent has been reported, and the backend server has run or
	// refused the attempt.
	bytesSent, reported, ran, refused bool
}

// simulation is a simulated network with backend servers, with every fault that the design
// allows.
type simulation struct {
	*rapid.T
	now         time.Duration
	machine     *request.Machine
	placer      *slotPlacer
	incarnation uint64
	attempts    []*attemptState
	idempotent  map[request.ID]bool
	open        map[request.ID]bool // requests of the current process without a reply
	notRun      map[request.ID]bool // requests that were reported as not run
	next        request.ID
}

// restart replaces the machine, as a restart of the process does.
func (w *simulation) restart() {
	w.incarnation++
	w.placer = newPlacer(2)
	w.machine = request.New(request.Config{Incarnation: w.incarnation}, w.placer)
	clear(w.open)
	w.step(request.Endpoints{IDs: []directory.EndpointID{1, 2, 3}})
}

// step passes an event to the machine and checks the effects.
func (w *simulation) step(e request.Event) {
	for _, effect := range w.machine.Step(w.now, e) {
		switch f := effect.(type) {
		case request.Send:
			w.attempts = append(w.attempts, &attemptState{Send: f})
		case request.Reply:
			if !w.open[f.ID] {
				w.Fatalf("request %d got a second reply", f.ID)
			}
			delete(w.open, f.ID)
			w.notRun[f.ID] = f.Outcome == request.OutcomeNotRun
			if f.Outcome == request.OutcomeAnswered && !w.ownAnswer(e, f) {
				w.Fatalf("request %d got the answer of %+v", f.ID, e)
			}
		}
	}
	w.check()
}

// ownAnswer reports whether an event is the answer to a request's attempt, from
// the endpoint that the attempt went to.
func (w *simulation) ownAnswer(e request.Event, r request.Reply) bool {
	answer, ok := e.(request.Answer)
	return ok && slices.ContainsFunc(w.attempts, func(a *attemptState) bool {
		return a.ID == r.ID && answer.ID == r.ID && a.Attempt == r.Attempt && answer.Attempt == r.Attempt && answer.Endpoint == a.Endpoint
	})
}

// check compares the guarantees P3 to P5 of docs/design.md with the actual state.
func (w *simulation) check() {
	left := map[request.ID]int{}
	for _, a := range w.attempts {
		if a.bytesSent {
			left[a.ID]++
		}
		if a.ran && w.notRun[a.ID] {
			w.Fatalf("request %d was reported as not run and ran", a.ID)
		}
		if left[a.ID] > 1 && !w.idempotent[a.ID] {
			w.Fatalf("request %d was sent twice", a.ID)
		}
	}
}

// deliver advances one attempt or delivers a message of it, which may be delayed, duplicate
// or misrouted.
func (w *simulation) deliver() {
	if len(w.attempts) == 0 {
		return
	}
	// Recent attempts are more likely, so that single requests get long sequences of events.
	first := max(0, len(w.attempts)-rapid.SampledFrom([]int{2, 4, len(w.attempts)}).Draw(w.T, "recent"))
	a := w.attempts[rapid.IntRange(first, len(w.attempts)-1).Draw(w.T, "attempt")]
	b := w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(w.T, "other")]
	switch rapid.IntRange(0, 9).Draw(w.T, "message") {
	case 0, 1: // bytes are sent, which may be reported to the machine later
		a.bytesSent = a.bytesSent || !a.reported
	case 2:
		if a.bytesSent {
			a.reported = true
			w.step(request.Sent{ID: a.ID, Attempt: a.Attempt})
		}
	case 3:
		if !a.bytesSent {
			a.reported = true
			w.step(request.NotSent{ID: a.ID, Attempt: a.Attempt})
		}
	case 4, 5:
		a.ran = a.ran || (a.bytesSent && !a.refused)
		w.check()
	case 6, 7:
		if a.ran {
			w.step(request.Answer{ID: a.ID, Attempt: a.Attempt, Endpoint: a.Endpoint, Failed: rapid.Bool().Draw(w.T, "failed")})
		} else if a.bytesSent {
			a.refused = true
			w.step(request.Refused{ID: a.ID, Attempt: a.Attempt, Endpoint: a.Endpoint})
		}
	case 8:
		if a.bytesSent {
			w.step(request.Lost{ID: a.ID, Attempt: a.Attempt})
		}
	case 9:
		if a.ran && a.Endpoint != b.Endpoint { // misrouted: it arrives on the connection of another endpoint
			w.step(request.Answer{ID: a.ID, Attempt: a.Attempt, Endpoint: b.Endpoint})
		}
	}
}

// Guards against an order of faults that violates a guarantee: a non-idempotent request that
// is sent twice, the outcome "not run" for a request that ran, the answer to another request,
// no reply or a second one, and a slot that is never freed.
func TestGuaranteesHoldInAnyOrderOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{T: t, idempotent: map[request.ID]bool{}, open: map[request.ID]bool{}, notRun: map[request.ID]bool{}}
		w.restart()
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0, 1:
				w.next++
				w.idempotent[w.next] = rapid.Bool().Draw(t, "idempotent")
				w.open[w.next] = true
				w.step(request.Arrive{ID: w.next, Idempotent: w.idempotent[w.next], Deadline: w.now + deadline})
			case 3:
				w.step(request.Cancel{ID: request.ID(rapid.Uint64Range(1, uint64(w.next)+1).Draw(t, "id"))})
			case 4:
				w.step(request.EndpointGone{Endpoint: directory.EndpointID(rapid.IntRange(1, 3).Draw(t, "endpoint"))})
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					w.restart()
				}
			case 6:
				w.step(request.Tick{})
			default:
				w.deliver()
			}
		}
		w.now += 2 * deadline
		w.step(request.Tick{})
		if len(w.open) > 0 || w.machine.InFlight()+w.machine.Waiting() > 0 {
			t.Fatalf("requests without a reply after the deadline: %v", w.open)
		}
		for id, n := range w.placer.busy {
			if n != 0 {
				t.Fatalf("endpoint %d keeps %d slots", id, n)
			}
		}
	})
}

func BenchmarkStep(b *testing.B) {
	m := request.New(request.Config{EarlyRefusal: true}, newPlacer(2))
	m.Step(0, request.Endpoints{IDs: []directory.EndpointID{1, 2, 3, 4}})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now, id := time.Duration(i)*time.Millisecond, request.ID(i)
		m.Step(now, request.Arrive{ID: id, Deadline: now + deadline})
		m.Step(now, request.Sent{ID: id, Attempt: attemptNumber(1)})
		m.Step(now, request.Answer{ID: id, Attempt: attemptNumber(1), Endpoint: 1})
	}
}
