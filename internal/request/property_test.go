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
func (s *simulation) restart() {
	s.incarnation++
	s.placer = newPlacer(2)
	s.machine = request.New(request.Config{Incarnation: s.incarnation}, s.placer)
	clear(s.open)
	s.step(request.Endpoints{IDs: []directory.EndpointID{1, 2, 3}})
}

// step passes an event to the machine and checks the effects.
func (s *simulation) step(e request.Event) {
	for _, effect := range s.machine.Step(s.now, e) {
		switch f := effect.(type) {
		case request.Send:
			s.attempts = append(s.attempts, &attemptState{Send: f})
		case request.Reply:
			if !s.open[f.ID] {
				s.Fatalf("request %d got a second reply", f.ID)
			}
			delete(s.open, f.ID)
			s.notRun[f.ID] = f.Outcome == request.OutcomeNotRun
			if f.Outcome == request.OutcomeAnswered && !s.ownAnswer(e, f) {
				s.Fatalf("request %d got the answer of %+v", f.ID, e)
			}
		}
	}
	s.check()
}

// ownAnswer reports whether an event is the answer to a request's attempt, from
// the endpoint that the attempt went to.
func (s *simulation) ownAnswer(e request.Event, r request.Reply) bool {
	answer, ok := e.(request.Answer)
	return ok && slices.ContainsFunc(s.attempts, func(a *attemptState) bool {
		return a.ID == r.ID && answer.ID == r.ID && a.Attempt == r.Attempt && answer.Attempt == r.Attempt && answer.Endpoint == a.Endpoint
	})
}

// check compares the guarantees P3 to P5 of docs/design.md with the actual state.
func (s *simulation) check() {
	left := map[request.ID]int{}
	for _, a := range s.attempts {
		if a.bytesSent {
			left[a.ID]++
		}
		if a.ran && s.notRun[a.ID] {
			s.Fatalf("request %d was reported as not run and ran", a.ID)
		}
		if left[a.ID] > 1 && !s.idempotent[a.ID] {
			s.Fatalf("request %d was sent twice", a.ID)
		}
	}
}

// deliver advances one attempt or delivers a message of it, which may be delayed, duplicate
// or misrouted.
func (s *simulation) deliver() {
	if len(s.attempts) == 0 {
		return
	}
	// Recent attempts are more likely, so that single requests get long sequences of events.
	first := max(0, len(s.attempts)-rapid.SampledFrom([]int{2, 4, len(s.attempts)}).Draw(s.T, "recent"))
	a := s.attempts[rapid.IntRange(first, len(s.attempts)-1).Draw(s.T, "attempt")]
	b := s.attempts[rapid.IntRange(0, len(s.attempts)-1).Draw(s.T, "other")]
	switch rapid.IntRange(0, 9).Draw(s.T, "message") {
	case 0, 1: // bytes are sent, which may be reported to the machine later
		a.bytesSent = a.bytesSent || !a.reported
	case 2:
		if a.bytesSent {
			a.reported = true
			s.step(request.Sent{ID: a.ID, Attempt: a.Attempt})
		}
	case 3:
		if !a.bytesSent {
			a.reported = true
			s.step(request.NotSent{ID: a.ID, Attempt: a.Attempt})
		}
	case 4, 5:
		a.ran = a.ran || (a.bytesSent && !a.refused)
		s.check()
	case 6, 7:
		if a.ran {
			s.step(request.Answer{ID: a.ID, Attempt: a.Attempt, Endpoint: a.Endpoint, Failed: rapid.Bool().Draw(s.T, "failed")})
		} else if a.bytesSent {
			a.refused = true
			s.step(request.Refused{ID: a.ID, Attempt: a.Attempt, Endpoint: a.Endpoint})
		}
	case 8:
		if a.bytesSent {
			s.step(request.Lost{ID: a.ID, Attempt: a.Attempt})
		}
	case 9:
		if a.ran && a.Endpoint != b.Endpoint { // misrouted: it arrives on the connection of another endpoint
			s.step(request.Answer{ID: a.ID, Attempt: a.Attempt, Endpoint: b.Endpoint})
		}
	}
}

// Guards against an order of faults that violates a guarantee: a non-idempotent request that
// is sent twice, the outcome "not run" for a request that ran, the answer to another request,
// no reply or a second one, and a slot that is never freed.
func TestGuaranteesHoldInAnyOrderOfFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{T: t, idempotent: map[request.ID]bool{}, open: map[request.ID]bool{}, notRun: map[request.ID]bool{}}
		s.restart()
		for range rapid.IntRange(1, 250).Draw(t, "steps") {
			s.now += time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 12).Draw(t, "event") {
			case 0, 1:
				s.next++
				s.idempotent[s.next] = rapid.Bool().Draw(t, "idempotent")
				s.open[s.next] = true
				s.step(request.Arrive{ID: s.next, Idempotent: s.idempotent[s.next], Deadline: s.now + deadline})
			case 3:
				s.step(request.Cancel{ID: request.ID(rapid.Uint64Range(1, uint64(s.next)+1).Draw(t, "id"))})
			case 4:
				s.step(request.EndpointGone{Endpoint: directory.EndpointID(rapid.IntRange(1, 3).Draw(t, "endpoint"))})
			case 5:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					s.restart()
				}
			case 6:
				s.step(request.Tick{})
			default:
				s.deliver()
			}
		}
		s.now += 2 * deadline
		s.step(request.Tick{})
		if len(s.open) > 0 || s.machine.InFlight()+s.machine.Waiting() > 0 {
			t.Fatalf("requests without a reply after the deadline: %v", s.open)
		}
		for id, n := range s.placer.busy {
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
