package changelog

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Member is a process in a dynamic group. Its ID is bound to its disk: a process
// that starts with an empty disk is a new member.
type Member struct {
	ID      uint64
	Address string // at which operators and backend servers reach the process
	Domain  string // failure domain
	Voter   bool   // counts for elections and commits; other members only keep a copy of the log
}

// Membership is the set of members of a dynamic group, ordered by ID.
type Membership []Member

// With returns a copy to which the member is added, or in which it replaces the
// one with the same ID.
func (ms Membership) With(m Member) Membership {
	changed := append(ms.Without(m.ID), m)
	slices.SortFunc(changed, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return changed
}

// Without returns a copy without the member.
func (ms Membership) Without(id uint64) Membership {
	return slices.DeleteFunc(slices.Clone(ms), func(m Member) bool { return m.ID == id })
}

// Find returns the member with the ID.
func (ms Membership) Find(id uint64) (Member, bool) {
	i := slices.IndexFunc(ms, func(m Member) bool { return m.ID == id })
	if i < 0 {
		return Member{}, false
	}
	return ms[i], true
}

// VoterCount returns the number of voters.
func (ms Membership) VoterCount() int {
	count := 0
	for _, m := range ms {
		if m.Voter {
			count++
		}
	}
	return count
}

// ErrMembershipChangePending rejects a membership change while another one, or the first
// entry of the leader's term, is not committed.
var ErrMembershipChangePending = errors.New("changelog: an earlier membership change or the first entry of this term is not committed yet")

// indexedMembership is a membership with the index of the entry that set it.
type indexedMembership struct {
	index   uint64
	members Membership
}

// ProposeMembers changes the membership. At most one voter may be added or
// removed, so that any majority of the old group and any majority of the new
// one have a member in common (Ongaro's thesis, section 4.1). The first entry of
// the leader's term must be committed before; otherwise two such changes of
// different terms could both take effect.
func (n *Node) ProposeMembers(members Membership) (index uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, NotLeaderError{Leader: n.leader}
	case n.log.membership().index > n.log.commit || !n.log.matches(n.log.commit, n.hardState.Term):
		return 0, ErrMembershipChangePending
	}
	if changedVoters := countChangedVoters(n.members(), members); changedVoters > 1 {
		return 0, fmt.Errorf("changelog: the membership change adds or removes %d voters, at most one is allowed", changedVoters)
	}
	last := n.log.last()
	n.log.append(Entry{Index: last.index + 1, Term: n.hardState.Term, At: max(n.now, last.at), Members: members})
	n.applyMembership()
	n.replicationDue = true
	return last.index + 1, nil
}

func countChangedVoters(from, to Membership) int {
	count := 0
	for _, m := range from {
		if other, ok := to.Find(m.ID); m.Voter && (!ok || !other.Voter) {
			count++
		}
	}
	for _, m := range to {
		if other, ok := from.Find(m.ID); m.Voter && (!ok || !other.Voter) {
			count++
		}
	}
	return count
}

func (n *Node) members() Membership { return n.log.membership().members }

// applyMembership applies the last membership of the log, committed or not.
func (n *Node) applyMembership() {
	if !n.cfg.Dynamic {
		return
	}
	n.others, n.voters = nil, map[uint64]bool{}
	n.setElectorates()
	for _, m := range n.members() {
		if m.ID != n.cfg.ID {
			n.others = append(n.others, m.ID)
		}
		if m.Voter {
			n.voters[m.ID] = true
		}
	}
	if n.role != Leader {
		return
	}
	for _, id := range n.others {
		if n.progress[id] == nil {
			n.progress[id] = n.newProgress()
		}
	}
	for id := range n.progress {
		if !slices.Contains(n.others, id) {
			delete(n.progress, id)
		}
	}
}

// isVoter reports whether this member counts for elections and commits.
func (n *Node) isVoter() bool { return n.voters[n.cfg.ID] }

// pendingRead is a ReadIndex request that no majority has confirmed yet.
type pendingRead struct{ ticket, index uint64 }

// ReadIndex asks a majority to confirm that this member is still the leader. A
// later Ready returns the ticket once that is confirmed and everything that was
// committed at the time of the call is applied. The ticket is never returned if
// the member loses its leadership. No clock is involved, so a member that was
// suspended cannot confirm old state.
func (n *Node) ReadIndex() (ticket uint64, err error) {
	if n.role != Leader {
		return 0, NotLeaderError{Leader: n.leader}
	}
	if !n.log.matches(n.log.commit, n.hardState.Term) {
		return 0, NotLeaderError{}
	}
	r := pendingRead{ticket: n.nextStamp(), index: n.log.commit}
	n.pendingReads = append(n.pendingReads, r)
	for _, id := range n.others {
		n.sendHeartbeat(id, n.progress[id])
	}
	n.confirmReads()
	return r.ticket, nil
}

// confirmReads passes the tickets of the reads that a majority has confirmed to
// the next Ready.
func (n *Node) confirmReads() {
	if len(n.pendingReads) == 0 {
		return
	}
	quorumStamp := n.quorumValue(func(id uint64) uint64 {
		if id == n.cfg.ID {
			return math.MaxUint64
		}
		if pr := n.progress[id]; pr != nil {
			return pr.answeredStamp
		}
		return 0
	})
	n.pendingReads = slices.DeleteFunc(n.pendingReads, func(r pendingRead) bool {
		if r.ticket >= quorumStamp || r.index > n.log.applied {
			return false
		}
		n.confirmedReads = append(n.confirmedReads, r.ticket)
		return true
	})
}
