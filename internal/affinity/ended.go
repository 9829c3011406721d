package affinity

import (
	"slices"
	"time"

	"cassiawood/internal/rotation"
)

// unresponsiveFailures is the number of packets without an answer in between from which the idle flows of
// an endpoint with a stalled flow are reset. Each comes from another flow.
const unresponsiveFailures = 3

// idleResets are the endpoints whose idle flows are to be reset. A reset counts only if its number is close to what the caller has acknowledged last,
// so a flow is reset only after the other hosts have shown that its packets cannot have gone through one of them since.
type idleResets struct {
	ending       []*endpoint // gone or replaced
	unresponsive []*endpoint // with a stalled flow
	asked        []*endpoint // for which evidence has been asked
}

// IdleResets is the result of ResetIdleFlows.
type IdleResets struct {
	Resets []FlowReset
	// Flows counts idle flows of endpoints that have ended or answer nothing by what is known of them. Only unmoved ones are reset.
	Flows [rotation.VerdictCount]int
}

// markEnding records when an endpoint has ended: it is gone, or it is silent and a newer incarnation has reported at
// its address. Its idle flows are reset later. A late report of it after that changes nothing.
func (e *Engine) markEnding(now time.Duration, ep *endpoint) {
	if ep.goneAt < 0 && (ep.Gone || ep.replacedBy != nil && ep.Silent) {
		ep.goneAt = now
		e.idle.ending = append(e.idle.ending, ep)
	}
}

// markUnresponsive records that a flow of the endpoint has stalled. Its idle flows are reset if others are
// without an answer too.
func (e *Engine) markUnresponsive(ep *endpoint) {
	if ep.health.failures >= unresponsiveFailures && !slices.Contains(e.idle.unresponsive, ep) {
		e.idle.unresponsive = append(e.idle.unresponsive, ep)
	}
}

// isUnresponsive reports whether the endpoint has answered nothing since it was marked.
func (e *Engine) isUnresponsive(now time.Duration, ep *endpoint) bool {
	return ep.health.failures >= unresponsiveFailures && !e.path.canExplain(now, ep.health.unanswered)
}

// AskEvidence reports whether there are idle flows to reset for which evidence about the rotation is needed. ResetIdleFlows then takes what the
// hosts of the failure domain state after this call.
func (e *Engine) AskEvidence(now time.Duration) bool {
	e.idle.asked = e.idle.asked[:0]
	e.idle.ending = slices.DeleteFunc(e.idle.ending, func(ep *endpoint) bool {
		if ep.hasEnded(now) && ep.hasIdleFlows() {
			e.idle.asked = append(e.idle.asked, ep)
		}
		return ep.hasEnded(now) || ep.goneAt < 0
	})
	for _, ep := range e.idle.unresponsive {
		if e.isUnresponsive(now, ep) && ep.hasIdleFlows() && !slices.Contains(e.idle.asked, ep) {
			e.idle.asked = append(e.idle.asked, ep)
		}
	}
	e.idle.unresponsive = e.idle.unresponsive[:0]
	return len(e.idle.asked) > 0
}

func (ep *endpoint) hasIdleFlows() bool { return ep.openFlows > ep.working }

// ResetIdleFlows resets up to limit idle flows of the endpoints for which evidence was asked, where their caller has sent nothing through another
// host. A caller whose flow is idle opens another one for its next request. If it sent the request on the flow, the request would wait or the flow
// would be reset then, and a request that may run only once could not be repeated. Where the evidence does not cover a flow, the caller
// learns the same from the answer to its next packet.
func (e *Engine) ResetIdleFlows(now time.Duration, evidence rotation.Evidence, limit int) IdleResets {
	var result IdleResets
	due := map[*endpoint]bool{}
	for _, ep := range e.idle.asked {
		due[ep] = ep.hasEnded(now) || e.isUnresponsive(now, ep) // it may have answered since
	}
	left := map[*endpoint]bool{} // with flows that are decided later
	var next *flow
	for f := e.lists[idle].oldest; f != nil && len(due) > 0; f = next {
		next = f.next
		if !due[f.endpoint] {
			continue
		}
		verdict := evidence.Judge(f.lastPacketAt)
		if verdict == rotation.Unmoved && len(result.Resets) >= limit {
			left[f.endpoint] = true
			continue
		}
		result.Flows[verdict]++
		switch verdict {
		case rotation.Unknown:
			left[f.endpoint] = true
		case rotation.Unmoved:
			result.Resets = append(result.Resets, FlowReset{
				Caller: f.key.caller, Service: f.key.service, Ack: f.progress.ack, Idle: now - f.lastPacketAt, Endpoint: f.endpoint.Name, EndpointEnded: f.endpoint.hasEnded(now),
			})
			e.removeFlow(f)
		}
	}
	for _, ep := range e.idle.asked {
		switch {
		case !left[ep]:
		case ep.hasEnded(now):
			e.idle.ending = append(e.idle.ending, ep)
		default:
			e.markUnresponsive(ep)
		}
	}
	e.idle.asked = e.idle.asked[:0]
	return result
}
