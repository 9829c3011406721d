package request_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
	"cassiawood/internal/request"
)

func TestRequest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "request")
}

// slotPlacer is a Placer that returns the first endpoint with a free slot.
type slotPlacer struct {
	slots int // per endpoint
	busy  map[directory.EndpointID]int
	wait  time.Duration // expected for each request ahead and for the answer
}

func newPlacer(n int) *slotPlacer { return &slotPlacer{slots: n, busy: map[directory.EndpointID]int{}} }

func (s *slotPlacer) Advance(time.Duration) {}
func (s *slotPlacer) Place(_ uint64, candidates []directory.EndpointID) directory.EndpointID {
	for _, id := range candidates {
		if s.busy[id] < s.slots {
			return id
		}
	}
	return 0
}

func (s *slotPlacer) Sent(id directory.EndpointID) { s.busy[id]++ }

func (s *slotPlacer) Done(id directory.EndpointID, _ balance.Result, _ time.Duration) { s.busy[id]-- }

func (s *slotPlacer) ExpectedWait(ahead int, _ []directory.EndpointID) (_, _ time.Duration) {
	return time.Duration(ahead) * s.wait, s.wait
}

const deadline = time.Second

// trace collects the effects of a sequence of events at intervals of 1 ms.
type trace struct {
	now     time.Duration
	machine *request.Machine
	placer  *slotPlacer
	sends   []request.Send
	replies []request.Reply
	cancels []request.CancelUpstream
}

func newTrace(c request.Config, slots int) *trace {
	t := &trace{placer: newPlacer(slots)}
	t.machine = request.New(c, t.placer)
	t.step(request.Endpoints{IDs: []directory.EndpointID{1, 2}})
	return t
}

func (t *trace) step(events ...request.Event) *trace {
	for _, e := range events {
		t.now += time.Millisecond
		for _, effect := range t.machine.Step(t.now, e) {
			switch f := effect.(type) {
			case request.Send:
				t.sends = append(t.sends, f)
			case request.Reply:
				t.replies = append(t.replies, f)
			case request.CancelUpstream:
				t.cancels = append(t.cancels, f)
			}
		}
	}
	return t
}

// expire advances the time to the deadline.
func (t *trace) expire() *trace {
	t.now = max(t.now, deadline)
	return t.step(request.Tick{})
}

func (t *trace) outcomes() (outcomes []request.Outcome) {
	for _, r := range t.replies {
		outcomes = append(outcomes, r.Outcome)
	}
	return outcomes
}

func attemptNumber(number int) request.Attempt { return request.Attempt{Number: number} }

var (
	sent     = request.Sent{ID: 1, Attempt: attemptNumber(1)}
	notSent  = request.NotSent{ID: 1, Attempt: attemptNumber(1)}
	answered = request.Answer{ID: 1, Attempt: attemptNumber(1), Endpoint: 1}
	failed   = request.Answer{ID: 1, Attempt: attemptNumber(1), Endpoint: 1, Failed: true}
	refused  = request.Refused{ID: 1, Attempt: attemptNumber(1), Endpoint: 1}
	lost     = request.Lost{ID: 1, Attempt: attemptNumber(1)}
	gone     = request.EndpointGone{Endpoint: 1}
	cancel   = request.Cancel{ID: 1}
)

// faultCase is one fault at one step, with the expected number of sends, the outcome and the number
// of cancellations after the deadline, for a non-idempotent request (once) and for an
// idempotent one (again).
type faultCase struct {
	events                  []request.Event
	onceSends, againSends   int
	onceReply, againReply   request.Outcome
	onceCancel, againCancel int
}

var faultCases = map[string]faultCase{
	"none":                                {[]request.Event{sent, answered}, 1, 1, request.OutcomeAnswered, request.OutcomeAnswered, 0, 0},
	"answer before the confirmed send":    {[]request.Event{answered, sent}, 1, 1, request.OutcomeAnswered, request.OutcomeAnswered, 0, 0},
	"answer duplicated":                   {[]request.Event{sent, answered, answered}, 1, 1, request.OutcomeAnswered, request.OutcomeAnswered, 0, 0},
	"answer from another endpoint":        {[]request.Event{sent, request.Answer{ID: 1, Attempt: attemptNumber(1), Endpoint: 2}}, 1, 1, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"answer to another request":           {[]request.Event{sent, request.Answer{ID: 2, Attempt: attemptNumber(1), Endpoint: 1}}, 1, 1, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"answer of an earlier process":        {[]request.Event{sent, request.Answer{ID: 1, Attempt: request.Attempt{Incarnation: 9, Number: 1}, Endpoint: 1}}, 1, 1, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"answer lost without notice":          {[]request.Event{sent}, 1, 1, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"answer lost":                         {[]request.Event{sent, lost}, 1, 2, request.OutcomeUnknown, request.OutcomeUnknown, 0, 1},
	"answer lost, then delayed":           {[]request.Event{sent, lost, answered}, 1, 2, request.OutcomeUnknown, request.OutcomeUnknown, 0, 1},
	"failure reported":                    {[]request.Event{sent, failed}, 1, 2, request.OutcomeAnswered, request.OutcomeUnknown, 0, 1},
	"refused":                             {[]request.Event{sent, refused}, 1, 2, request.OutcomeNotRun, request.OutcomeUnknown, 0, 1},
	"refusal duplicated":                  {[]request.Event{sent, refused, refused}, 1, 2, request.OutcomeNotRun, request.OutcomeUnknown, 0, 1},
	"nothing sent":                        {[]request.Event{notSent}, 2, 2, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"endpoint ends before the send":       {[]request.Event{gone, notSent}, 2, 2, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"endpoint ends during the send":       {[]request.Event{gone, sent}, 1, 2, request.OutcomeUnknown, request.OutcomeUnknown, 0, 1},
	"endpoint ends after the send":        {[]request.Event{sent, gone}, 1, 2, request.OutcomeUnknown, request.OutcomeUnknown, 0, 1},
	"reported as not sent after the send": {[]request.Event{sent, notSent}, 1, 1, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"cancelled during the send":           {[]request.Event{cancel}, 1, 1, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"cancelled after the send":            {[]request.Event{sent, cancel}, 1, 1, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"cancelled before the answer":         {[]request.Event{sent, cancel, answered}, 1, 1, request.OutcomeUnknown, request.OutcomeUnknown, 1, 1},
	"lost, then refused":                  {[]request.Event{sent, lost, request.Refused{ID: 1, Attempt: attemptNumber(2), Endpoint: 1}, cancel}, 1, 3, request.OutcomeUnknown, request.OutcomeUnknown, 0, 1},
	"lost, then cancelled in the queue":   {[]request.Event{request.Endpoints{}, sent, lost, cancel}, 1, 1, request.OutcomeUnknown, request.OutcomeUnknown, 0, 0},
	"refused three times":                 {[]request.Event{refused, request.Refused{ID: 1, Attempt: attemptNumber(2), Endpoint: 1}, request.Refused{ID: 1, Attempt: attemptNumber(3), Endpoint: 1}}, 1, 3, request.OutcomeNotRun, request.OutcomeNotRun, 0, 0},
	"lost, then refused twice":            {[]request.Event{lost, request.Refused{ID: 1, Attempt: attemptNumber(2), Endpoint: 1}, request.Refused{ID: 1, Attempt: attemptNumber(3), Endpoint: 1}}, 1, 3, request.OutcomeUnknown, request.OutcomeUnknown, 0, 0},
	"cancelled after the answer":          {[]request.Event{sent, answered, cancel}, 1, 1, request.OutcomeAnswered, request.OutcomeAnswered, 0, 0},
}

var _ = Describe("fault table", func() {
	for name, r := range faultCases {
		// Guards against a request that runs twice, a wrong outcome, a second reply and a slot that
		// is never freed.
		It("has the expected effects for: "+name, func() {
			for _, idempotent := range []bool{false, true} {
				t := newTrace(request.Config{}, 1)
				t.step(request.Arrive{ID: 1, Idempotent: idempotent, Deadline: deadline}).step(r.events...).expire()
				sends, reply, cancels := r.onceSends, r.onceReply, r.onceCancel
				if idempotent {
					sends, reply, cancels = r.againSends, r.againReply, r.againCancel
				}
				Expect(t.sends).To(HaveLen(sends))
				Expect(t.outcomes()).To(Equal([]request.Outcome{reply}))
				Expect(t.cancels).To(HaveLen(cancels))
				Expect(t.placer.busy[1] + t.placer.busy[2]).To(BeZero())
				Expect(t.machine.InFlight() + t.machine.Waiting()).To(BeZero())
			}
		})
	}
})

var _ = Describe("admission", func() {
	arrive := func(id request.ID) request.Event { return request.Arrive{ID: id, Deadline: deadline} }

	// Guards against more work than slots and against requests that overtake others.
	It("sends requests in the order of their arrival when slots become free", func() {
		t := newTrace(request.Config{}, 1).step(arrive(1), arrive(2), arrive(3), arrive(4))
		Expect(t.sends).To(HaveLen(2))
		t.step(sent, answered)
		Expect(t.sends).To(HaveLen(3))
		Expect(t.sends[2].ID).To(Equal(request.ID(3)))
	})

	// Guards against a waiting request that is sent, or reported as unknown, after its end.
	It("reports a request as not run if it was cancelled or expired while it waited", func() {
		t := newTrace(request.Config{}, 1).step(arrive(1), arrive(2), arrive(3), arrive(4), request.Cancel{ID: 3})
		Expect(t.replies).To(Equal([]request.Reply{{ID: 3, Outcome: request.OutcomeNotRun}}))
		t.expire()
		Expect(t.sends).To(HaveLen(2))
		Expect(t.replies[1:]).To(ConsistOf(
			HaveField("Outcome", request.OutcomeUnknown), HaveField("Outcome", request.OutcomeUnknown),
			Equal(request.Reply{ID: 4, Outcome: request.OutcomeNotRun})))
	})

	// Guards against callers that wait for an answer that cannot arrive in time.
	It("refuses a request at once if its answer is not expected before its deadline", func() {
		t := newTrace(request.Config{EarlyRefusal: true}, 1)
		t.placer.wait = 600 * time.Millisecond
		t.step(arrive(1), arrive(2), arrive(3), arrive(4))
		Expect(t.replies).To(Equal([]request.Reply{{ID: 4, Outcome: request.OutcomeNotRun}}))
	})

	// Guards against permanent refusals: without answers, the expected wait would never fall.
	It("admits a request while nothing is in flight, whatever the expected wait is", func() {
		t := newTrace(request.Config{EarlyRefusal: true}, 1)
		t.placer.wait = time.Minute
		Expect(t.step(arrive(1)).sends).To(HaveLen(1))
	})

	// Guards against memory that grows with the number of callers.
	It("bounds the number of waiting requests", func() {
		t := newTrace(request.Config{MaxWaiting: 1}, 1).step(arrive(1), arrive(2), arrive(3), arrive(4))
		Expect(t.replies).To(Equal([]request.Reply{{ID: 4, Outcome: request.OutcomeNotRun}}))
	})
})

var _ = Describe("optional mechanisms", func() {
	arrival := request.Arrive{ID: 1, Idempotent: true, Deadline: deadline, Key: "k"}

	// Guards against a retry storm.
	It("limit retries to the budget", func() {
		t := newTrace(request.Config{RetryBudget: 0.1}, 1).step(arrival, sent, refused)
		Expect(t.sends).To(HaveLen(1))
		Expect(t.outcomes()).To(Equal([]request.Outcome{request.OutcomeNotRun}))
	})

	// Guards against further attempts at an endpoint that fails all of them.
	It("send no attempt to an endpoint with an open breaker until the pause ends", func() {
		c := request.Config{BreakerFailures: 1, BreakerPause: 500 * time.Millisecond}
		t := newTrace(c, 1).step(request.Endpoints{IDs: []directory.EndpointID{1}}, arrival, sent, refused)
		Expect(t.sends).To(HaveLen(1))
		t.now += 500 * time.Millisecond
		Expect(t.step(request.Tick{}).sends).To(HaveLen(2))
	})

	// Guards against a deadline or key that is passed on while the mechanism is off, or not passed
	// on while it is on.
	It("pass on the deadline and the key only if they are enabled", func() {
		Expect(newTrace(request.Config{}, 1).step(arrival).sends[0]).To(And(HaveField("Deadline", time.Duration(0)), HaveField("Key", "")))
		c := request.Config{PropagateDeadline: true, IdempotencyKey: true}
		Expect(newTrace(c, 1).step(arrival).sends[0]).To(And(HaveField("Deadline", deadline), HaveField("Key", "k")))
	})

	// Guards against a second run of a request with a key whose service does not use keys.
	It("retry a non-idempotent request with a key only if keys are enabled", func() {
		once := arrival
		once.Idempotent = false
		Expect(newTrace(request.Config{}, 1).step(once, sent, lost).sends).To(HaveLen(1))
		Expect(newTrace(request.Config{IdempotencyKey: true}, 1).step(once, sent, lost).sends).To(HaveLen(2))
	})
})
