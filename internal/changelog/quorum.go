package changelog

import "slices"

// electorate is the voters of one membership.
type electorate struct {
	voters []uint64
	// supersededAt is the index of the entry that set the next membership, 0 for the last one. Until that entry is committed,
	// elections and commits need a quorum of both.
	supersededAt uint64
}

// quorum returns how many voters, none of which has lost its disk, have to agree: a majority. Of an even number, half suffice if the disk
// of one of the others is known to be lost. Two quorums then still have a voter in common. Two disjoint halves would each need a lost disk in the
// other one, and each would have been asked for its agreement after that loss, so that neither could have agreed in full before the other.
func (v electorate) quorum(lost map[uint64]bool) int {
	n := len(v.voters)
	if n%2 == 0 && slices.ContainsFunc(v.voters, func(id uint64) bool { return lost[id] }) {
		return n / 2
	}
	return n/2 + 1
}

// hasQuorum reports whether the voters that agree are a quorum.
func (v electorate) hasQuorum(agrees map[uint64]bool, lost map[uint64]bool) bool {
	count := 0
	for _, id := range v.voters {
		if agrees[id] && !lost[id] {
			count++
		}
	}
	return count >= v.quorum(lost)
}

// quorumValue returns the highest value that a quorum has reached.
func (v electorate) quorumValue(value func(id uint64) uint64, lost map[uint64]bool) uint64 {
	if len(v.voters) == 0 {
		return 0 // a member that joins does not know the first voters
	}
	values := make([]uint64, 0, len(v.voters))
	for _, id := range v.voters {
		if lost[id] {
			values = append(values, 0)
		} else {
			values = append(values, value(id))
		}
	}
	slices.Sort(values)
	return values[len(values)-v.quorum(lost)]
}

// setElectorates takes the electorates from the log. Only the last two memberships matter: a leader proposes one
// only when the one before is committed.
func (n *Node) setElectorates() {
	n.electorates = n.electorates[:0]
	list := n.log.memberships[max(0, len(n.log.memberships)-2):]
	for i, m := range list {
		e := electorate{}
		for _, member := range m.members {
			if member.Voter {
				e.voters = append(e.voters, member.ID)
			}
		}
		if i+1 < len(list) {
			e.supersededAt = list[i+1].index
		}
		n.electorates = append(n.electorates, e)
	}
}

// needed returns the electorates of which elections and commits need a quorum.
func (n *Node) needed() []electorate {
	list := n.electorates
	if first := list[0].supersededAt; first > 0 && first <= n.log.commit {
		return list[1:]
	}
	return list
}

// hasQuorum reports whether the members that agree are a quorum of each electorate that is needed.
func (n *Node) hasQuorum(agrees map[uint64]bool) bool {
	for _, e := range n.needed() {
		if !e.hasQuorum(agrees, n.lost) {
			return false
		}
	}
	return true
}

// quorumValue returns the highest value that a quorum of each electorate that is needed has reached.
func (n *Node) quorumValue(value func(id uint64) uint64) uint64 {
	list := n.needed()
	lowest := list[0].quorumValue(value, n.lost)
	for _, e := range list[1:] {
		lowest = min(lowest, e.quorumValue(value, n.lost))
	}
	return lowest
}

// reportLostDisk answers a request for a vote that is addressed to another member at the address of this one: its disk
// must be lost, since an identity is bound to a disk.
func (n *Node) reportLostDisk(m Message) {
	if n.cfg.Dynamic && m.Kind == KindPreVote && m.Address != "" && n.cfg.Address != "" {
		n.send(Message{Kind: KindLostDisk, To: m.From, Context: m.Context, Address: n.cfg.Address})
	}
}

// handleLostDisk records that the disk of the member that this one has asked for its pre-vote is lost. The answer was given after the request,
// so it cannot come from an earlier identity at the address. What becomes known after the pre-vote is not used before the next
// one: entries and votes of this term count only if they were given after the loss.
func (n *Node) handleLostDisk(m Message) {
	if n.role != PreCandidate || m.Context != n.voteContext {
		return
	}
	for _, list := range n.log.memberships[max(0, len(n.log.memberships)-2):] {
		for _, member := range list.members {
			if member.Address == m.Address && member.ID != m.From && member.ID != n.cfg.ID {
				n.lost[member.ID] = true
			}
		}
	}
	if n.hasQuorum(n.votes) {
		n.startElection()
	}
}
