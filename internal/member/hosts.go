package member

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

// host is the leader's view of one incarnation of an entry host.
type host struct {
	name            string
	incarnation     uint64
	domain          string
	lastContact     time.Duration // time of its last message
	tableCompleteAt time.Duration // last time at which its table is known to have had every committed entry
	applied         uint64        // index up to which it has applied the log
}

// logSample is the index of the log at one point in time.
type logSample struct {
	at    time.Duration
	index uint64
}

// mayPlaceFlows reports whether the host may still place flows by its own table.
// A host that sends messages but does not catch up with the log fences itself
// after HostLease, like one that is cut off.
func (l *Leases) mayPlaceFlows(h *host) bool {
	return l.now-h.tableCompleteAt < HostLease+hostLeaseMargin
}

// handleHostHello handles the first message of a host in a session.
func (l *Leases) handleHostHello(e HostHello) {
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
			name: e.Host.Name, incarnation: e.Host.Incarnation, domain: e.Host.Domain, tableCompleteAt: l.now - MaxLease,
		}
	}
	l.hosts[e.Host.Name].lastContact = l.now
	l.recordContact(e.Host.Domain)
	if listed, ok := l.state.Host(e.Host.Name); !ok || listed.Incarnation < e.Host.Incarnation {
		l.propose(directory.HostAdded{Host: e.Host})
	}
	l.reply(e.ID, true, "")
}

// handleHostApplied handles an acknowledgment of the applied log.
func (l *Leases) handleHostApplied(e HostApplied) {
	h, ok := l.hosts[e.Name]
	if !ok || h.incarnation != e.Incarnation {
		return // this leader has no HostHello of it, or a late message of an ended process has arrived
	}
	h.lastContact = l.now
	h.applied = max(h.applied, min(e.Index, l.state.Index()))
	h.tableCompleteAt = max(h.tableCompleteAt, l.lastCompleteAt(h.applied))
	l.recordContact(h.domain)
	l.decideChanges()
	l.commitMoves()
}

// lastCompleteAt returns the latest time at which a table that has applied the
// log up to index had every committed entry.
func (l *Leases) lastCompleteAt(index uint64) time.Duration {
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

// recordSample records the index of the log, and drops the samples that are
// older than HostLease and its margin.
func (l *Leases) recordSample() {
	l.samples = append(l.samples, logSample{at: l.now, index: l.state.Index()})
	for l.now-l.samples[0].at > HostLease+hostLeaseMargin {
		l.samples = l.samples[1:]
	}
}

// handleHostComplete activates a host that has a confirmed copy of its records.
func (l *Leases) handleHostComplete(e HostComplete) {
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

// handleHostStopping removes a host from the directory, so that it no longer holds
// records. Moves still wait for its acknowledgments as long as it sends them.
func (l *Leases) handleHostStopping(e HostStopping) {
	if listed, ok := l.state.Host(e.Name); ok && listed.Incarnation == e.Incarnation {
		l.propose(directory.HostRemoved{Name: e.Name, Incarnation: e.Incarnation})
	}
	l.reply(e.ID, true, "")
}

// sweepHosts removes the hosts that have sent no message for hostRemovalDelay.
// It keeps them while no message has come from their failure domain since then:
// they hold the records of the endpoints that are cut off with them.
func (l *Leases) sweepHosts() {
	for _, listed := range l.state.Hosts() {
		h, ok := l.hosts[listed.Name]
		if !ok {
			l.hosts[listed.Name] = &host{
				name: listed.Name, incarnation: listed.Incarnation, domain: listed.Domain, lastContact: l.now, tableCompleteAt: l.now,
			}
			continue
		}
		if deadline := h.lastContact + hostRemovalDelay; l.now >= deadline && l.lastContact[listed.Domain] >= deadline {
			l.propose(directory.HostRemoved{Name: listed.Name, Incarnation: listed.Incarnation})
		}
	}
	for name, h := range l.hosts {
		if _, listed := l.state.Host(name); !listed && l.now-h.lastContact >= hostRemovalDelay {
			delete(l.hosts, name)
		}
	}
}
