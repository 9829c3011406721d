package member

import (
	"fmt"
	"strings"
	"time"

	"cassiawood/internal/directory"
)

// movesProposal is the last proposed MovesCommitted.
type movesProposal struct {
	upTo uint64
	at   time.Duration
}

// commitMoves proposes to commit prepared moves once every host that may still
// place flows by its own table has applied the entries that prepared them.
func (l *Leases) commitMoves() {
	prepared, ok := l.state.OldestPendingMove()
	if !ok {
		return
	}
	if l.lastMovesProposal.upTo >= prepared && l.now-l.lastMovesProposal.at < proposalRetryDelay {
		return
	}
	upTo := l.state.Index()
	for _, h := range l.hosts {
		if l.mayPlaceFlows(h) {
			upTo = min(upTo, h.applied)
		}
	}
	if upTo < prepared {
		return
	}
	l.lastMovesProposal = movesProposal{upTo: upTo, at: l.now}
	l.effects = append(l.effects, Propose{Command: directory.MovesCommitted{UpTo: upTo}})
}

// decideChanges proposes to accept each prepared change that a host of every
// failure domain in service has applied, and to refuse it after decisionTimeout.
func (l *Leases) decideChanges() {
	changes := l.state.PendingChanges()
	if len(changes) == 0 {
		clear(l.changeSeenAt)
		return
	}
	for _, change := range changes {
		if _, seen := l.changeSeenAt[change.ChangeID]; !seen {
			l.changeSeenAt[change.ChangeID] = l.now
		}
		missing := l.unconfirmedDomains(change.Index)
		switch {
		case len(missing) == 0:
			l.propose(directory.ChangeDecided{ChangeID: change.ChangeID, Accepted: true})
		case l.now-l.changeSeenAt[change.ChangeID] >= decisionTimeout:
			reason := fmt.Sprintf("no host of failure domain %s confirmed the change within %v; "+
				"restore it or declare it out of service", strings.Join(missing, ", "), decisionTimeout)
			l.propose(directory.ChangeDecided{ChangeID: change.ChangeID, Reason: reason})
		}
	}
}

// unconfirmedDomains returns the failure domains in service of which no host has
// applied the entry at the given index.
func (l *Leases) unconfirmedDomains(index uint64) []string {
	confirmed := map[string]bool{}
	for _, h := range l.hosts {
		if h.applied >= index {
			confirmed[h.domain] = true
		}
	}
	var missing []string
	for _, domain := range l.state.DomainsInService() {
		if !confirmed[domain] {
			missing = append(missing, domain)
		}
	}
	return missing
}
