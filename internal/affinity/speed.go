package affinity

import (
	"time"

	"cassiawood/internal/delay"
)

const (
	// evaluationInterval is the time between evaluations of the delays that this host has measured.
	evaluationInterval = time.Second
	// sharedDelaysMaxAge is how long the shared delays are used after the last update of a control host. A host without
	// updates goes by its own measurements.
	sharedDelaysMaxAge = 5 * time.Second
	// refusalRatio is the ratio of an answer's delay to the typical one below which a short answer counts as a refusal: it
	// took no work.
	refusalRatio = 0.2
	// refusalSize is the ratio of an answer's size to the typical one below which an answer counts as short.
	refusalSize = 0.5
	// handshakeWeight is the weight of the newest handshake in an endpoint's mean handshake time, and sizeWeight that of the
	// newest answer in the mean size of a service's answers.
	handshakeWeight = 1.0 / 8
	sizeWeight      = 1.0 / 32
	// minFullTime and maxFullTime bound the time for which an endpoint that has refused a request counts as full.
	minFullTime = 20 * time.Millisecond
	maxFullTime = 500 * time.Millisecond
)

// speeds holds what is known of the speed of a service's endpoints.
type speeds struct {
	own        *delay.Book // measured by this host
	answerSize float64     // mean size of the first acknowledged part of an answer in bytes
	uneven     bool        // the endpoints differ, so flows divide in proportion to their speed
	lowest     float64     // lower bound for the endpoints' relative delays
}

// RelativeDelay is the delay of an endpoint relative to the other endpoints of its service, from the measurements of all
// entry hosts.
type RelativeDelay = delay.Relative

// measureHandshake records that an endpoint has answered the first packet of a flow.
func (e *Engine) measureHandshake(now time.Duration, f *flow, ep *endpoint) {
	if f.transmissions == 0 {
		return
	}
	e.path.record(now, ep.ID, f.transmissions, f.transmissions-1)
	if f.transmissions > 1 {
		return // the answer may be to either transmission
	}
	took := now - f.startedAt
	if !ep.hasHandshake {
		ep.handshake, ep.hasHandshake = took, true
	} else {
		ep.handshake += time.Duration(handshakeWeight * float64(took-ep.handshake))
	}
}

// measureAnswer records the answer to a request whose progress was as given before the packet.
func (e *Engine) measureAnswer(now time.Duration, p Packet, before progress, ep *endpoint) {
	e.path.record(now, ep.ID, 1+before.retransmits-before.knownLosses, before.retransmits-before.knownLosses)
	c := e.candidates[ep.Service]
	// A packet with data is sent after the caller's pause and not as soon as the answer has come. Without a handshake, the time of
	// the round trip is not known.
	if c == nil || p.Length > 0 || before.retransmits > 0 || !ep.hasHandshake {
		return
	}
	s := delay.Sample{Endpoint: ep.ID, Delay: max(0, now-before.sentAt-ep.handshake)}
	size := float64(p.Ack - before.ack)
	s.Refused = c.speeds.isRefusal(s.Delay, size)
	if s.Refused && !e.cfg.IgnoreDelays {
		ep.fullUntil = now + min(max(c.speeds.own.Typical(ep.ID), minFullTime), maxFullTime)
	}
	if !s.Refused {
		c.speeds.addSize(size)
	}
	ep.measured.Add(s)
}

// addSize adds the size of an answer to the mean.
func (s *speeds) addSize(size float64) {
	if s.answerSize == 0 {
		s.answerSize = size
	} else {
		s.answerSize += sizeWeight * (size - s.answerSize)
	}
}

// isRefusal reports whether an answer is that of an endpoint that was too full to do the work.
func (s *speeds) isRefusal(took time.Duration, size float64) bool {
	typical := s.own.Typical(0)
	return typical > 0 && took < time.Duration(refusalRatio*float64(typical)) && size < refusalSize*s.answerSize
}

// TakeDelays returns what was measured of the endpoints since the last call.
func (e *Engine) TakeDelays() []delay.Report {
	var list []delay.Report
	for _, ep := range e.byID {
		if r := ep.unsent; r.Samples > 0 || r.Refusals > 0 {
			r.Endpoint = ep.ID
			list = append(list, r)
			ep.unsent = delay.Report{}
		}
	}
	return list
}

// SetRelativeDelays takes the relative delays of endpoints that have changed since the last call, from an update of a control host.
// An update without any shows that those known are still valid.
func (e *Engine) SetRelativeDelays(now time.Duration, list []RelativeDelay) {
	e.sharedDelaysAt = now
	for _, r := range list {
		if ep := e.byID[r.Endpoint]; ep != nil && r.Factor > 0 {
			ep.sharedFactor = r.Factor
		}
	}
	if len(list) > 0 {
		e.applySpeeds(now)
	}
}

// evaluateDelays evaluates the delays that this host has measured, at most once in each evaluationInterval.
func (e *Engine) evaluateDelays(now time.Duration) {
	if now-e.delaysEvaluatedAt < evaluationInterval {
		return
	}
	e.delaysEvaluatedAt = now
	for _, c := range e.candidates {
		for _, ep := range c.all() {
			if r := ep.measured; r.Samples > 0 {
				r.Endpoint = ep.ID
				c.speeds.own.Add(now, r)
			}
			ep.unsent.Merge(ep.measured)
			ep.measured = delay.Report{}
		}
		c.speeds.own.Evaluate(now)
	}
	e.applySpeeds(now)
}

// applySpeeds sets the factors by which the endpoints' loads count.
func (e *Engine) applySpeeds(now time.Duration) {
	if e.cfg.IgnoreDelays {
		return
	}
	isShared := e.sharedDelaysAt > 0 && now-e.sharedDelaysAt <= sharedDelaysMaxAge
	for _, c := range e.candidates {
		c.speeds.uneven, c.speeds.lowest = false, 1
		for _, ep := range c.all() {
			ep.slowness = 1
			if isShared && ep.sharedFactor > 0 {
				ep.slowness = ep.sharedFactor
			} else if !isShared {
				ep.slowness = c.speeds.own.Factor(ep.ID)
			}
			ep.updateStride(e.turnsOf(c, ep))
			c.speeds.uneven = c.speeds.uneven || ep.slowness != 1
			c.speeds.lowest = min(c.speeds.lowest, ep.slowness)
		}
		c.centreTurns(now)
	}
}
