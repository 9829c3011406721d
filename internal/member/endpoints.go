package member

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"time"

	"cassiawood/internal/directory"
)

// stoppingNote is the reply to an announcement after the instance has announced
// that it drains or leaves.
const stoppingNote = "the instance has announced that it stops and gets no new flows"

// stoppedInstance is the stopping state that an unknown instance has announced.
type stoppedInstance struct {
	state directory.EndpointState
	at    time.Duration
}

// handleAnnounced handles an announcement: it renews the endpoint's lease and
// proposes the change of the directory that the announced state requires.
func (l *Leases) handleAnnounced(a Announced) {
	if reason := l.checkAnnouncement(a); reason != "" {
		l.reply(a.ID, false, reason)
		return
	}
	l.recordContact(a.Endpoint.Domain)
	e, known := l.state.EndpointByInstance(a.Endpoint.Instance)
	switch {
	case !known && a.Endpoint.State >= directory.Draining:
		l.recordUnknownStop(a)
	case !known && l.stopped[a.Endpoint.Instance].state != 0:
		l.reply(a.ID, true, stoppingNote)
	case !known:
		l.renewLease(a)
		l.addWaiter(a)
		l.propose(directory.EndpointAdded{Endpoint: a.Endpoint})
	case a.Endpoint.State > e.State:
		l.renewLease(a)
		l.addWaiter(a)
		l.propose(directory.EndpointStateChanged{Instance: e.Instance, State: a.Endpoint.State})
	case a.Endpoint.State < e.State && e.State >= directory.Draining:
		l.renewLease(a)
		l.reply(a.ID, true, stoppingNote)
	default:
		l.renewLease(a)
		l.reply(a.ID, true, "")
	}
}

// recordUnknownStop records that an instance which the directory does not have
// stops. Adding the instance would remove a newer one on its address. An entry
// that adds it may be proposed already, in which case handleEndpointAdded
// applies the recorded state.
func (l *Leases) recordUnknownStop(a Announced) {
	if len(l.stopped) >= maxWaiters {
		l.reply(a.ID, false, "too many announcements are waiting; announce again")
		return
	}
	state := max(a.Endpoint.State, l.stopped[a.Endpoint.Instance].state)
	l.stopped[a.Endpoint.Instance] = stoppedInstance{state: state, at: l.now}
	l.reply(a.ID, true, stoppingNote)
}

// handleEndpointAdded handles the commit of an entry that adds an instance.
func (l *Leases) handleEndpointAdded(instance string, out directory.Outcome) {
	if !out.Applied {
		l.answerWaiters(func(w waiter) (bool, string) { return w.instance == instance, out.Reason })
		return
	}
	if s, ok := l.stopped[instance]; ok {
		l.propose(directory.EndpointStateChanged{Instance: instance, State: s.state})
	}
}

// checkAnnouncement returns why an announcement is refused, or "".
func (l *Leases) checkAnnouncement(a Announced) string {
	e := a.Endpoint
	if e.Instance == "" || e.Domain == "" || !e.Address.IsValid() || e.Address.Port() == 0 {
		return "an announcement needs an instance, a failure domain, an address and a port"
	}
	if e.State >= directory.Removed {
		return fmt.Sprintf("unknown state %d", e.State)
	}
	known, ok := l.state.EndpointByInstance(e.Instance)
	if !ok {
		return l.checkNewInstance(a)
	}
	if known.State == directory.Removed {
		return "the instance was removed; announce it again under a new instance"
	}
	if known.Address != e.Address || known.Domain != e.Domain {
		return fmt.Sprintf("instance %q is already known at %s in failure domain %s", e.Instance, known.Address, known.Domain)
	}
	service, ok := l.state.Service(known.Service)
	if !ok || service.Quarantined {
		return "" // the document no longer has the service; the endpoint finishes its flows
	}
	return l.checkToken(service, a.Token)
}

// checkNewInstance returns why an announcement of an instance that the directory
// does not have is refused, or "".
func (l *Leases) checkNewInstance(a Announced) string {
	service, ok := l.state.ServiceAnnouncedAs(a.Endpoint.Service)
	if !ok {
		return fmt.Sprintf("the document has no service that is announced as %q", a.Endpoint.Service)
	}
	// Adding an instance removes the previous one on its address; only backend
	// servers of the same service may do that.
	if other, ok := l.state.EndpointByAddress(a.Endpoint.Address); ok && other.State != directory.Removed && other.Service != service.Name {
		return fmt.Sprintf("address %s belongs to instance %q of service %q until its lease expires",
			a.Endpoint.Address, other.Instance, other.Service)
	}
	return l.checkToken(service, a.Token)
}

// checkToken returns why the token of an announcement is refused, or "".
func (l *Leases) checkToken(service *directory.ServiceState, token string) string {
	if len(service.AnnounceTokenFingerprint) == 0 {
		return ""
	}
	hash := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(hash[:], service.AnnounceTokenFingerprint) != 1 {
		return fmt.Sprintf("the token is not valid for service %q", service.Name)
	}
	return ""
}

// renewLease extends the lease of an endpoint by the duration that it asks for,
// from MinLease to MaxLease.
func (l *Leases) renewLease(a Announced) {
	duration := a.Lease
	if duration == 0 {
		duration = DefaultLease
	}
	duration = min(max(duration, MinLease), MaxLease)
	l.endpointLeases[a.Endpoint.Instance] = lease{deadline: l.now + duration, duration: duration}
	l.nextSweep = min(l.nextSweep, l.now+duration)
}

// addWaiter adds an announcer to those that wait for a commit.
func (l *Leases) addWaiter(a Announced) {
	if len(l.waiters) >= maxWaiters {
		l.reply(a.ID, false, "too many announcements are waiting; announce again")
		return
	}
	l.waiters = append(l.waiters, waiter{
		id: a.ID, instance: a.Endpoint.Instance, state: a.Endpoint.State, deadline: l.now + commitTimeout,
	})
}

// announcementCommitted reports whether the directory has the announced state of
// a waiter. A reason explains why it never will.
func (l *Leases) announcementCommitted(w waiter) (done bool, reason string) {
	e, ok := l.state.EndpointByInstance(w.instance)
	if !ok {
		return false, ""
	}
	if e.State == directory.Removed {
		return true, "the instance was removed; announce it again under a new instance"
	}
	return e.State >= w.state, ""
}

// answerWaiters answers and removes the waiters that done selects. A waiter for
// which done returns a reason is refused.
func (l *Leases) answerWaiters(done func(waiter) (bool, string)) {
	var remaining []waiter
	for _, w := range l.waiters {
		if finished, reason := done(w); finished {
			l.reply(w.id, reason == "", reason)
			continue
		}
		remaining = append(remaining, w)
	}
	l.waiters = remaining
}

// expireWaiters refuses the waiters whose deadline has passed.
func (l *Leases) expireWaiters() {
	l.answerWaiters(func(w waiter) (bool, string) {
		return l.now >= w.deadline, "the announcement was not committed in time; announce again"
	})
}

// sweepEndpoints removes the endpoints whose lease has expired. It keeps them while
// no message has come from their failure domain since the expiry: the domain may be
// cut off while its endpoints still serve flows, and a removal would reset these
// flows when the partition heals.
func (l *Leases) sweepEndpoints() {
	if l.now < l.nextSweep {
		return
	}
	l.nextSweep = l.now + MinLease
	for instance, current := range l.endpointLeases {
		if _, known := l.state.EndpointByInstance(instance); !known && l.now >= current.deadline {
			delete(l.endpointLeases, instance)
			delete(l.verdicts, instance)
		}
	}
	for _, id := range l.state.EndpointIDs() {
		e, _ := l.state.Endpoint(id)
		if e.State == directory.Removed {
			delete(l.endpointLeases, e.Instance)
			delete(l.verdicts, e.Instance)
			continue
		}
		current, ok := l.endpointLeases[e.Instance]
		switch {
		case !ok:
			current = lease{deadline: l.now + DefaultLease, duration: DefaultLease}
			l.endpointLeases[e.Instance] = current
		case l.now < current.deadline:
		case l.lastContact[e.Domain] >= current.deadline:
			l.propose(directory.EndpointRemoved{Instance: e.Instance})
		}
		l.nextSweep = min(l.nextSweep, max(current.deadline, l.now+sweepInterval))
	}
}

// recordContact records a message from a failure domain. After domainSilence
// without one, the domain's endpoints and hosts get new leases, because a
// partition may have kept them from renewing theirs.
func (l *Leases) recordContact(domain string) {
	last, known := l.lastContact[domain]
	l.lastContact[domain] = l.now
	if known && l.now-last <= domainSilence {
		return
	}
	for _, id := range l.state.EndpointIDs() {
		e, _ := l.state.Endpoint(id)
		if current, ok := l.endpointLeases[e.Instance]; ok && e.Domain == domain {
			current.deadline = max(current.deadline, l.now+current.duration)
			l.endpointLeases[e.Instance] = current
		}
	}
	for _, h := range l.hosts {
		if h.domain == domain {
			h.lastContact = l.now
		}
	}
}
