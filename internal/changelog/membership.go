package changelog

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Member is a process that takes part in a dynamic group. The identity belongs
// to its disk: a process that starts with an empty disk is another member.
type Member struct {
	ID      uint64
	Address string // where operators and backend servers reach the process
	Domain  string // failure domain
	Voter   bool   // counts for elections and commits; others only hold a copy
}

// Membership is the set of members of a dynamic group, ordered by ID.
type Membership []Member

// With returns a copy in which the member is added or replaced.
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

// Without returns a copy in which the member is absent.
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

// Voters returns the number of voters.
func (ms Membership) Voters() int {
	count := 0
	for _, m := range ms {
		if m.Voter {
			count++
		}
	}
	return count
}

// ErrMembershipBusy refuses a change of the membership while another one, or
// the first entry of the leader's term, is not committed.
var ErrMembershipBusy = errors.New("changelog: an earlier change of the membership is not committed yet")

// membershipAt is a membership and the entry that set it.
type membershipAt struct {
	index   uint64
	members Membership
}

// ProposeMembers changes the membership. At most one voter may be added or
// taken away, so that any majority of the old group and any of the new one
// share a member (Ongaro's thesis, 4.1). The leader's first entry has to be
// committed before, without which two such changes of different terms could
// both be taken.
func (n *Node) ProposeMembers(members Membership) (index uint64, err error) {
	switch {
	case n.role != Leader:
		return 0, NotLeaderError{Leader: n.leader}
	case n.log.membership().index > n.log.commit || !n.log.matches(n.log.commit, n.hs.Term):
		return 0, ErrMembershipBusy
	}
	if changed := changedVoters(n.members(), members); changed > 1 {
		return 0, fmt.Errorf("changelog: %d voters change at once, at most one may", changed)
	}
	last := n.log.last()
	n.log.append(Entry{Index: last.index + 1, Term: n.hs.Term, At: max(n.now, last.at), Members: members})
	n.membershipChanged()
	n.broadcast = true
	return last.index + 1, nil
}

func changedVoters(from, to Membership) int {
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

// membershipChanged adopts the last membership of the log, committed or not.
func (n *Node) membershipChanged() {
	if !n.cfg.Dynamic {
		return
	}
	n.others, n.voters = nil, map[uint64]bool{}
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

// read is a question whether this member still led when it was asked.
type read struct{ ticket, index uint64 }

// ReadIndex asks a majority whether this member still leads. The ticket is
// confirmed by a Ready whose state holds everything that was committed when
// ReadIndex was called. It is never confirmed when the member loses the lead.
// No clock is involved, so a member that was frozen cannot confirm old state.
func (n *Node) ReadIndex() (ticket uint64, err error) {
	if n.role != Leader {
		return 0, NotLeaderError{Leader: n.leader}
	}
	if !n.log.matches(n.log.commit, n.hs.Term) {
		return 0, NotLeaderError{}
	}
	r := read{ticket: n.stamp(), index: n.log.commit}
	n.reads = append(n.reads, r)
	for _, id := range n.others {
		n.heartbeat(id, n.progress[id])
	}
	n.confirmReads()
	return r.ticket, nil
}

// confirmReads moves the reads that a majority has confirmed to the next Ready.
func (n *Node) confirmReads() {
	if len(n.reads) == 0 {
		return
	}
	var stamps []uint64
	for id := range n.voters {
		if id == n.cfg.ID {
			stamps = append(stamps, math.MaxUint64)
		} else {
			stamps = append(stamps, n.progress[id].answered)
		}
	}
	slices.Sort(stamps)
	confirmed := stamps[len(stamps)-n.quorum()]
	n.reads = slices.DeleteFunc(n.reads, func(r read) bool {
		if r.ticket >= confirmed || r.index > n.log.applied {
			return false
		}
		n.confirmed = append(n.confirmed, r.ticket)
		return true
	})
}
