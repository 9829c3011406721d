package affinity

import (
	"slices"
	"time"
)

// unresponsiveFailures is the number of packets without an answer in between from which the idle flows of
// an endpoint with a stalled flow are reset. Each comes from another flow.
const unresponsiveFailures = 3

// markEnding records when an endpoint has ended: it is gone, or it is silent and a newer incarnation has reported at
// its address. Its idle flows are reset later. A late report of it after that changes nothing.
func (e *Engine) markEnding(now time.Duration, ep *endpoint) {
	if ep.goneAt < 0 && (ep.Gone || ep.replacedBy != nil && ep.Silent) {
		ep.goneAt = now
		e.ending = append(e.ending, ep)
	}
}

// markUnresponsive records that a flow of the endpoint has stalled. Its idle flows are reset if others are
// without an answer too.
func (e *Engine) markUnresponsive(ep *endpoint) {
	if ep.health.failures >= unresponsiveFailures && !slices.Contains(e.unresponsive, ep) {
		e.unresponsive = append(e.unresponsive, ep)
	}
}

// resetIdleFlows resets the idle flows of endpoints that have ended or answer nothing. A caller whose flow
// is idle opens another one for its next request. If it sent the request on the flow, the request would
// wait or the flow would be reset then, and a request that may run only once could not be repeated.
func (e *Engine) resetIdleFlows(now time.Duration) {
	ended := map[*endpoint]bool{}
	for _, ep := range e.unresponsive {
		if ep.health.failures >= unresponsiveFailures && !e.path.canExplain(now, ep.health.unanswered) { // none has been answered since
			ended[ep] = true
		}
	}
	e.unresponsive = e.unresponsive[:0]
	e.ending = slices.DeleteFunc(e.ending, func(ep *endpoint) bool {
		if ep.hasEnded(now) {
			ended[ep] = true
		}
		return ep.hasEnded(now) || ep.goneAt < 0
	})
	if len(ended) == 0 {
		return
	}
	var next *flow
	for f := e.lists[idle].oldest; f != nil; f = next {
		if next = f.next; ended[f.endpoint] {
			e.resets = append(e.resets, FlowReset{Caller: f.key.caller, Service: f.key.service, Ack: f.progress.ack, Idle: now - f.lastPacketAt, Endpoint: f.endpoint.Name, EndpointEnded: f.endpoint.hasEnded(now)})
			e.removeFlow(f)
		}
	}
}

// TakeResets returns and removes up to limit resets that are to be sent, the oldest first.
func (e *Engine) TakeResets(limit int) []FlowReset {
	n := min(limit, len(e.resets))
	taken := e.resets[:n:n]
	if e.resets = e.resets[n:]; len(e.resets) == 0 {
		e.resets = nil
	}
	return taken
}
