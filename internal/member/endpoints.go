package member

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"time"

	"cassiawood/internal/directory"
)

// stopsNote answers an announcement that an earlier one overrules.
const stopsNote = "the instance has announced that it stops and gets no new flows"

// stop is an announced end of an instance that is not known.
type stop struct {
	state directory.EndpointState
	at    time.Duration
}

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

// stoppedUnknown notes the end of an instance that the directory does not have.
// It is not added, because that would end a newer instance on its address. An
// entry that adds it may be on its way, so added looks here.
func (l *Leases) stoppedUnknown(a Announced) {
	if len(l.stopped) >= maxWaiting {
		l.reply(a.ID, false, "too many announcements wait; announce again")
		return
	}
	state := max(a.Endpoint.State, l.stopped[a.Endpoint.Instance].state)
	l.stopped[a.Endpoint.Instance] = stop{state: state, at: l.now}
	l.reply(a.ID, true, stopsNote)
}

// added follows the entry that adds an instance.
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
		return fmt.Sprintf("instance %q is known at %s in %s", e.Instance, known.Address, known.Domain)
	}
	service, ok := l.state.Service(known.Service)
	if !ok || service.Quarantined {
		return "" // the document no longer has the service; the endpoint finishes its flows
	}
	return l.checkToken(service, a.Token)
}

// checkNew checks an instance that the directory does not have.
func (l *Leases) checkNew(a Announced) string {
	service, ok := l.state.ServiceAnnouncedAs(a.Endpoint.Service)
	if !ok {
		return fmt.Sprintf("the document has no service that is announced as %q", a.Endpoint.Service)
	}
	// A new instance ends the one before it on its address; only the same
	// service's backend servers may do that.
	if other, ok := l.state.EndpointByAddress(a.Endpoint.Address); ok && other.State != directory.Removed && other.Service != service.Name {
		return fmt.Sprintf("address %s is that of instance %q of service %q until its lease ends",
			a.Endpoint.Address, other.Instance, other.Service)
	}
	return l.checkToken(service, a.Token)
}

func (l *Leases) checkToken(service *directory.ServiceState, token string) string {
	if len(service.AnnounceTokenFingerprint) == 0 {
		return ""
	}
	hash := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(hash[:], service.AnnounceTokenFingerprint) != 1 {
		return fmt.Sprintf("the token is not that of service %q", service.Name)
	}
	return ""
}

// renew extends the lease of an endpoint by what it asks for, within bounds.
func (l *Leases) renew(a Announced) {
	length := a.Lease
	if length == 0 {
		length = DefaultLease
	}
	length = min(max(length, MinLease), MaxLease)
	l.endpoints[a.Endpoint.Instance] = lease{deadline: l.now + length, length: length}
	l.nextSweep = min(l.nextSweep, l.now+length)
}

// wait puts an announcer on the list of those that wait for a commit.
func (l *Leases) wait(a Announced) {
	if len(l.waiting) >= maxWaiting {
		l.reply(a.ID, false, "too many announcements wait; announce again")
		return
	}
	l.waiting = append(l.waiting, waiter{
		id: a.ID, instance: a.Endpoint.Instance, state: a.Endpoint.State, deadline: l.now + replyTime,
	})
}

// inForce reports whether the directory has what a waiter announced, or never will.
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

// finish answers the waiters that done selects; a reason makes it a refusal.
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

func (l *Leases) expireWaiting() {
	l.finish(func(w waiter) (bool, string) {
		return l.now >= w.deadline, "the announcement was not committed in time; announce again"
	})
}

// sweepEndpoints removes endpoints whose lease has run out. It keeps those of a
// failure domain that has been silent since: the domain may be cut off and its
// endpoints serve on, and a removal would end their flows when it returns.
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

// hear notes a sign of life of a failure domain. After a gap its endpoints and
// hosts get new leases, because none of them could renew its own.
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
