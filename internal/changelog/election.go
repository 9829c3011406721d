package changelog

import "time"

// resetElectionDeadline draws a new random timeout. Randomness prevents members
// from repeatedly starting elections at the same time.
func (n *Node) resetElectionDeadline() {
	spread := int64(n.cfg.ElectionTimeoutMax - n.cfg.ElectionTimeoutMin)
	n.electionDeadline = n.now + n.cfg.ElectionTimeoutMin + time.Duration(n.rng.Int64N(spread))
}

// nextStamp returns a number that is higher than all earlier ones and close to the
// current time. It is the Context of a message; a reply repeats it and so
// identifies the message that it answers and the time at which that was sent.
func (n *Node) nextStamp() uint64 {
	n.lastStamp = max(n.lastStamp+1, uint64(n.now))
	return n.lastStamp
}

// becomeFollower makes the member a follower in term, which is not lower than
// the current one. leader is 0 if it is unknown.
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, 0
	}
	if n.role == Leader {
		n.resetElectionDeadline()
	}
	n.role, n.leader, n.progress, n.votes, n.pendingReads = Follower, leader, nil, nil, nil
}

// recordLeaderContact records a message from the leader of the current term.
func (n *Node) recordLeaderContact(leader uint64) {
	n.becomeFollower(n.hardState.Term, leader)
	n.leaderContact, n.lastLeader = n.now, leader
	n.resetElectionDeadline()
}

// startPreVote asks whether an election could be won before the term is raised,
// so that a member that was cut off does not depose a working leader when it
// returns.
func (n *Node) startPreVote() {
	n.becomeFollower(n.hardState.Term, 0)
	n.role = PreCandidate
	n.lost = map[uint64]bool{}
	n.requestVotes(KindPreVote, n.hardState.Term+1)
	if n.hasQuorum(n.votes) {
		n.startElection()
	}
}

func (n *Node) startElection() {
	n.hardState.Term++
	n.hardState.Vote = n.cfg.ID
	n.role = Candidate
	n.requestVotes(KindVote, n.hardState.Term)
	if n.hasQuorum(n.votes) {
		n.becomeLeader()
	}
}

func (n *Node) requestVotes(kind Kind, term uint64) {
	n.resetElectionDeadline()
	n.voteContext = n.nextStamp()
	n.votes = map[uint64]bool{n.cfg.ID: true}
	last := n.log.last()
	asked := map[uint64]bool{n.cfg.ID: true}
	for _, e := range n.needed() {
		for _, id := range e.voters {
			if !asked[id] {
				asked[id] = true
				n.send(Message{Kind: kind, To: id, Term: term, Index: last.index, LogTerm: last.term, Context: n.voteContext, Address: n.cfg.Address})
			}
		}
	}
}

// handlePreVote grants the pre-vote if the candidate's log is up to date and this
// member has had no contact with a leader for the shortest election timeout.
func (n *Node) handlePreVote(m Message) {
	if n.hardState.Rejoining {
		return
	}
	leaderInContact := n.role == Leader ||
		n.leader != 0 && n.leaderContact >= 0 && n.now-n.leaderContact < n.cfg.ElectionTimeoutMin
	if m.Term <= n.hardState.Term || leaderInContact || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true, Context: m.Context})
		return
	}
	if n.role == PreCandidate {
		n.yieldTo(m)
	}
	n.send(Message{Kind: KindPreVoteReply, To: m.From, Term: m.Term, Context: m.Context})
}

// yieldTo gives up this member's own pre-vote for that of a member with a better log, or with an equal one and a lower ID. Two members whose timeouts
// end within a round trip would otherwise both get their pre-votes and divide the votes, again and again where all have to
// agree. A member yields at most once in two election timeouts: the other one may not reach a quorum.
func (n *Node) yieldTo(m Message) {
	last := n.log.last()
	isEqual := m.LogTerm == last.term && m.Index == last.index
	if isEqual && m.From > n.cfg.ID || n.yieldedAt > 0 && n.now-n.yieldedAt < 2*n.cfg.ElectionTimeoutMax {
		return
	}
	n.yieldedAt = n.now
	n.becomeFollower(n.hardState.Term, 0)
	n.resetElectionDeadline()
}

func (n *Node) handlePreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.hardState.Term {
			n.becomeFollower(m.Term, 0)
		}
		return
	}
	if n.role == PreCandidate && m.Context == n.voteContext {
		n.votes[m.From] = true
		if n.hasQuorum(n.votes) {
			n.startElection()
		}
	}
}

func (n *Node) handleVote(m Message) {
	if n.hardState.Rejoining {
		return // the member may have voted in this term before it lost its disk
	}
	mayVote := n.hardState.Vote == m.From || n.hardState.Vote == 0 && n.leader == 0
	if !mayVote || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: KindVoteReply, To: m.From, Reject: true, Context: m.Context})
		return
	}
	n.hardState.Vote = m.From
	n.resetElectionDeadline()
	n.send(Message{Kind: KindVoteReply, To: m.From, Context: m.Context})
}

// handleVoteReply counts only replies to the current request. A vote that was
// granted to this member before it lost its disk must not count.
func (n *Node) handleVoteReply(m Message) {
	if n.role != Candidate || m.Reject || m.Context != n.voteContext {
		return
	}
	n.votes[m.From] = true
	if n.hasQuorum(n.votes) {
		n.becomeLeader()
	}
}

// becomeLeader appends an entry of the new term, because only an entry of the
// leader's own term is committed by counting the members that store it.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.progress = make(map[uint64]*progress, len(n.others))
	for _, id := range n.others {
		n.progress[id] = n.newProgress()
	}
	n.nextHeartbeat = n.now
	n.appendEntry(nil)
}

// quorumContact returns the latest time at which a quorum was in contact. It
// uses the times at which answered messages were sent, so that a delayed reply
// does not count as recent contact.
func (n *Node) quorumContact() time.Duration {
	return time.Duration(n.quorumValue(func(id uint64) uint64 {
		if id == n.cfg.ID {
			return uint64(n.now)
		}
		if pr := n.progress[id]; pr != nil {
			return uint64(pr.lastContact)
		}
		return 0
	}))
}
