package affinity

import "time"

// minAnswerTime is how long a first packet is given to be answered. Copies that were held up, for instance by a pause of this host, arrive
// together with it. Callers repeat it after 200 ms at the earliest.
const minAnswerTime = 100 * time.Millisecond

// firstPacketLifetime is how long after its first transmission a copy of a first packet can still arrive. Callers give up after 1.4 s.
const firstPacketLifetime = 1500 * time.Millisecond

// alternative is what is known of the endpoint that another flow would get.
type alternative uint8

const (
	noAlternative alternative = iota // no other endpoint may get flows
	doubtful                         // it is silent, suspect or has just refused a request
	healthy                          // no failure of it is known
)

// copyEvidence is what a host knows when a copy of a first packet arrives that it has placed.
type copyEvidence struct {
	// IsOpen says that the caller has acknowledged an answer of the endpoint.
	IsOpen bool
	// IsBarred says that the endpoint must not get first packets of the route any more: its failure domain is evacuated or not
	// allowed, or the routes in force name another service.
	IsBarred bool
	// IsHeldBack says that the endpoint is in a slow start and the limit of this host is used up.
	IsHeldBack bool
	// IsLeaving says that the endpoint gets no new flows while others can take them.
	IsLeaving bool
	// IsAlive says that the endpoint has answered another flow of this host since the first transmission.
	IsAlive bool
	// IsPathReliable says that losses on the path are so rare that the lack of an answer says something about the endpoint.
	IsPathReliable bool
	// Other is what is known of the endpoint that would get another flow of the caller.
	Other alternative
	// Age is the time since the first transmission.
	Age time.Duration
	// Copies is the number of earlier transmissions.
	Copies uint32
}

// decide returns what to do with the copy: it goes to the endpoint of the flow again, or the caller is reset and opens another flow, which may
// get another endpoint (see decideFirst). A caller ignores a reset that crosses an answer, because its sequence number is not in the window of the
// flow that has opened.
func (c copyEvidence) decide() (Verdict, Reason) {
	switch {
	case c.IsOpen && (c.IsBarred || c.IsHeldBack):
		return Drop, LateCopy
	case c.IsOpen:
		return Forward, Repeated
	case c.IsBarred && c.Other == noAlternative:
		return Reset, NoEndpoint
	case c.IsBarred || (c.IsHeldBack || c.IsLeaving) && c.Other != noAlternative:
		return Reset, Unanswered
	case c.IsHeldBack:
		return Drop, ColdLimit // the first transmission may still be answered
	case c.Other != healthy || !c.IsPathReliable || c.Age < minAnswerTime:
		return Forward, Repeated
	case c.IsAlive && c.Copies < 2:
		return Forward, Repeated // one packet was probably lost; an endpoint that is full answers no copy either
	}
	return Reset, Unanswered
}

// decideRetransmission handles a copy of a first packet that this host has placed. A caller sends one when it has had no answer for longer
// than any round trip takes.
func (e *Engine) decideRetransmission(now time.Duration, p Packet, f *flow, r *route) Decision {
	ep := f.endpoint
	f.transmissions++
	age := now - max(f.startedAt, e.resumedAt)
	if f.phase == pending && age >= minAnswerTime {
		e.recordUnanswered(now, ep)
		e.recordFailure(now, ep)
	}
	service := e.pickService(p, r) // the routes may have changed since the first transmission
	evidence := copyEvidence{
		IsOpen:         f.phase != pending,
		IsBarred:       ep.evacuated || !r.allows(ep.Domain) || f.phase == pending && ep.Service != service,
		IsHeldBack:     ep.isHeldBack(now),
		IsLeaving:      !ep.usable(),
		IsAlive:        ep.answeredAt-f.startedAt >= aliveAfter,
		IsPathReliable: e.path.isReliable(now),
		Other:          e.alternativeTo(now, r, service, ep),
		Age:            age,
		Copies:         p.Retransmits,
	}
	verdict, reason := evidence.decide()
	if reason == Unanswered && !evidence.IsBarred && !evidence.IsHeldBack {
		e.suspect(now, ep) // so that the caller's next flow goes to another endpoint
	}
	d := Decision{Verdict: verdict, Reason: reason, Endpoint: &ep.Endpoint, Age: age}
	if verdict == Forward {
		d.Token = ep.token
		ep.countFirst(now)
	}
	return d
}

// alternativeTo returns what is known of the endpoint that would get a new flow in place of ep.
func (e *Engine) alternativeTo(now time.Duration, r *route, service string, ep *endpoint) alternative {
	c := e.candidatesFor(r, service)
	if c == nil {
		return noAlternative
	}
	switch other := e.search(now, c, e.choices, []*endpoint{ep}); {
	case other == nil:
		return noAlternative
	case other.Silent || other.health.isSuspect(now) || now < other.fullUntil:
		return doubtful
	}
	return healthy
}

// decideUnplaced handles a copy of a first packet that this host has not placed. Another host may have placed it, at an endpoint that is not
// known here, so it is not placed a second time. The caller is told to open another flow. If the flow is open, the copy is a late one.
func decideUnplaced(now time.Duration, p Packet, f *flow) Decision {
	if f != nil && f.transmissions == 0 && now-f.lastPacketAt < firstPacketLifetime {
		return Decision{Verdict: Drop, Reason: LateCopy, Endpoint: &f.endpoint.Endpoint}
	}
	return refuse(p, NotPlaced)
}
