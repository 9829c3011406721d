package member

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"time"

	"cassiawood/internal/directory"
)

// stopsNote is the reply to an announcement after the instance has announced that
// it drains or leaves.
const stopsNote = "the instance has announced that it stops and gets no new flows"

// stop is the stopping state that an unknown instance has announced.
type stop struct {
	state directory.EndpointState
	at    time.Duration
}

// announced handles an announcement: it renews the endpoint's lease and proposes
// the change of the directory that the announced state requires.
func (l *Leases) announced(a Announced) {
	if reason := l.checkAnnouncement(a); reason != "" {
		l.reply(a.ID, false, reason)
		return
	}
	l.hear(a.Endpoint.Domain)
	e, known := l.state.EndpointByInstance(a.Endpoint.Instance)
	switch {
	case !known && a.Endpoint.State >= directory.Draining:
		l.stoppedUnknown(a)
	case !known && l.stopped[a.Endpoint.Instance].state != 0:
		l.reply(a.ID, true, stopsNote)
	case !known:
		l.renew(a)
		l.wait(a)
		l.propose(directory.EndpointAdded{Endpoint: a.Endpoint})
	case a.Endpoint.State > e.State:
		l.renew(a)
		l.wait(a)
		l.propose(directory.EndpointStateChanged{Instance: e.Instance, State: a.Endpoint.State})
	case a.Endpoint.State < e.State && e.State >= directory.Draining:
		l.renew(a)
		l.reply(a.ID, true, stopsNote)
	default:
		l.renew(a)
		l.reply(a.ID, true, "")
	}
}

// stoppedUnknown records that an instance which the directory does not have stops.
// Adding the instance would remove a newer one on its address. An entry that adds
// it may be proposed already, in which case added applies the recorded state.
func (l *Leases) stoppedUnknown(a Announced) {
	if len(l.stopped) >= maxWaiting {
		l.reply(a.ID, false, "too many announcements are waiting; announce again")
		return
	}
	state := max(a.Endpoint.State, l.stopped[a.Endpoint.Instance].state)
	l.stopped[a.Endpoint.Instance] = stop{state: state, at: l.now}
	l.reply(a.ID, true, stopsNote)
}

// added handles the commit of an entry that adds an instance.
func (l *Leases) added(instance string, out directory.Outcome) {
	if !out.Applied {
		l.finish(func(w waiter) (bool, string) { return w.instance == instance, out.Reason })
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
		return l.checkNew(a)
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

// checkNew returns why an announcement of an instance that the directory does not
// have is refused, or "".
func (l *Leases) checkNew(a Announced) string {
	service, ok := l.state.ServiceAnnouncedAs(a.Endpoint.Service)
	if !ok {
		return fmt.Sprintf("the document has no service that is announced as %q", a.Endpoint.Service)
	}
	// Adding an instance removes the previous one on its address; only backend servers
	// of the same service may do that.
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

// renew extends the lease of an endpoint by the duration that it asks for, from
// MinLease to MaxLease.
func (l *Leases) renew(a Announced) {
	length := a.Lease
	if length == 0 {
		length = DefaultLease
	}
	length = min(max(length, MinLease), MaxLease)
	l.endpoints[a.Endpoint.Instance] = lease{deadline: l.now + length, length: length}
	l.nextSweep = min(l.nextSweep, l.now+length)
}

// wait adds an announcer to those that wait for a commit.
func (l *Leases) wait(a Announced) {
	if len(l.waiting) >= maxWaiting {
		l.reply(a.ID, false, "too many announcements are waiting; announce again")
		return
	}
	l.waiting = append(l.waiting, waiter{
		id: a.ID, instance: a.Endpoint.Instance, state: a.Endpoint.State, deadline: l.now + replyTime,
	})
}

// inForce reports whether the directory has the announced state of a waiter. A
// reason says why it never will.
func (l *Leases) inForce(w waiter) (done bool, reason string) {
	e, ok := l.state.EndpointByInstance(w.instance)
	if !ok {
		return false, ""
	}
	if e.State == directory.Removed {
		return true, "the instance was removed; announce it again under a new instance"
	}
	return e.State >= w.state, ""
}

// finish answers and removes the waiters that done selects. A waiter for which done
// returns a reason is refused.
func (l *Leases) finish(done func(waiter) (bool, string)) {
	var still []waiter
	for _, w := range l.waiting {
		if end, reason := done(w); end {
			l.reply(w.id, reason == "", reason)
			continue
		}
		still = append(still, w)
	}
	l.waiting = still
}

// expireWaiting refuses the waiters whose deadline has passed.
func (l *Leases) expireWaiting() {
	l.finish(func(w waiter) (bool, string) {
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
	for instance, held := range l.endpoints {
		if _, known := l.state.EndpointByInstance(instance); !known && l.now >= held.deadline {
			delete(l.endpoints, instance)
			delete(l.health, instance)
		}
	}
	for _, id := range l.state.Endpoints() {
		e, _ := l.state.Endpoint(id)
		if e.State == directory.Removed {
			delete(l.endpoints, e.Instance)
			delete(l.health, e.Instance)
			continue
		}
		held, ok := l.endpoints[e.Instance]
		switch {
		case !ok:
			held = lease{deadline: l.now + DefaultLease, length: DefaultLease}
			l.endpoints[e.Instance] = held
		case l.now < held.deadline:
		case l.heard[e.Domain] >= held.deadline:
			l.propose(directory.EndpointRemoved{Instance: e.Instance})
		}
		l.nextSweep = min(l.nextSweep, max(held.deadline, l.now+sweepInterval))
	}
}

// hear records a message from a failure domain. After domainGap without one, the
// domain's endpoints and hosts get new leases, because a partition may have kept
// them from renewing theirs.
func (l *Leases) hear(domain string) {
	last, known := l.heard[domain]
	l.heard[domain] = l.now
	if known && l.now-last <= domainGap {
		return
	}
	for _, id := range l.state.Endpoints() {
		e, _ := l.state.Endpoint(id)
		if held, ok := l.endpoints[e.Instance]; ok && e.Domain == domain {
			held.deadline = max(held.deadline, l.now+held.length)
			l.endpoints[e.Instance] = held
		}
	}
	for _, h := range l.hosts {
		if h.domain == domain {
			h.heard = l.now
		}
	}
}
