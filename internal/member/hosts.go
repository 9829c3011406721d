package member

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

// host is what the leader knows of an entry host's process.
type host struct {
	name        string
	incarnation uint64
	domain      string
	heard       time.Duration // last message
	fresh       time.Duration // last time at which its table was known to be complete
	applied     uint64
}

// sample is the index of the log at a time.
type sample struct {
	at    time.Duration
	index uint64
}

// live reports whether the host may still place flows by its own table. A host
// that reports and does not catch up counts as silent; it fences itself after
// HostLease in the same way.
func (l *Leases) live(h *host) bool { return l.now-h.fresh < HostLease+hostLeaseGuard }

func (l *Leases) hostHello(e HostHello) {
	if e.Host.Name == "" || e.Host.Domain == "" {
		l.reply(e.ID, false, "a host needs a name and a failure domain")
		return
	}
	known, ok := l.hosts[e.Host.Name]
	if ok && known.incarnation > e.Host.Incarnation {
		l.reply(e.ID, false, "a later incarnation of the host is known")
		return
	}
	if !ok || known.incarnation != e.Host.Incarnation {
		// Its table is not known to be complete, so it does not delay moves yet.
		l.hosts[e.Host.Name] = &host{
			name: e.Host.Name, incarnation: e.Host.Incarnation, domain: e.Host.Domain, fresh: l.now - MaxLease,
		}
	}
	l.hosts[e.Host.Name].heard = l.now
	l.hear(e.Host.Domain)
	if listed, ok := l.state.Host(e.Host.Name); !ok || listed.Incarnation < e.Host.Incarnation {
		l.propose(directory.HostAdded{Host: e.Host})
	}
	l.reply(e.ID, true, "")
}

func (l *Leases) hostApplied(e HostApplied) {
	h, ok := l.hosts[e.Name]
	if !ok || h.incarnation != e.Incarnation {
		return // it has not said hello to this leader, or it is a late message of a process that has ended
	}
	h.heard = l.now
	h.applied = max(h.applied, min(e.Index, l.state.Index()))
	h.fresh = max(h.fresh, l.completeAt(h.applied))
	l.hear(h.domain)
	l.decideChanges()
	l.commitMoves()
}

// completeAt returns the latest time at which a table at an index had every
// committed entry.
func (l *Leases) completeAt(index uint64) time.Duration {
	if index >= l.state.Index() {
		return l.now
	}
	for _, s := range slices.Backward(l.samples) {
		if s.index <= index {
			return s.at
		}
	}
	return 0
}

// sample notes the index of the log, and forgets what is older than a host lease.
func (l *Leases) sample() {
	l.samples = append(l.samples, sample{at: l.now, index: l.state.Index()})
	for l.now-l.samples[0].at > HostLease+hostLeaseGuard {
		l.samples = l.samples[1:]
	}
}

func (l *Leases) hostComplete(e HostComplete) {
	listed, ok := l.state.Host(e.Name)
	if !ok || listed.Incarnation != e.Incarnation {
		l.reply(e.ID, false, "the host has not joined")
		return
	}
	if listed.State == directory.HostJoined {
		l.propose(directory.HostActivated{Name: e.Name, Incarnation: e.Incarnation})
	}
	l.reply(e.ID, true, "")
}

// hostStopping removes a host from the directory, so that it is a holder no
// longer. Moves still wait for its acknowledgements while it reports.
func (l *Leases) hostStopping(e HostStopping) {
	if listed, ok := l.state.Host(e.Name); ok && listed.Incarnation == e.Incarnation {
		l.propose(directory.HostRemoved{Name: e.Name, Incarnation: e.Incarnation})
	}
	l.reply(e.ID, true, "")
}

// sweepHosts removes silent hosts, but not those of a failure domain that has
// been silent since: they hold the records of the endpoints that are cut off
// with them.
func (l *Leases) sweepHosts() {
	for _, listed := range l.state.Hosts() {
		h, ok := l.hosts[listed.Name]
		if !ok {
			l.hosts[listed.Name] = &host{
				name: listed.Name, incarnation: listed.Incarnation, domain: listed.Domain, heard: l.now, fresh: l.now,
			}
			continue
		}
		if deadline := h.heard + hostRemoval; l.now >= deadline && l.heard[listed.Domain] >= deadline {
			l.propose(directory.HostRemoved{Name: listed.Name, Incarnation: listed.Incarnation})
		}
	}
	for name, h := range l.hosts {
		if _, listed := l.state.Host(name); !listed && l.now-h.heard >= hostRemoval {
			delete(l.hosts, name)
		}
	}
}
