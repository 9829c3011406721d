package changelog

import (
	"slices"
	"time"
)

func (n *Node) quorum() int { return len(n.voters)/2 + 1 }

// resetElectionDeadline draws a new random timeout. Randomness prevents members
// from repeatedly starting elections at the same time.
func (n *Node) resetElectionDeadline() {
	spread := int64(n.cfg.ElectionMax - n.cfg.ElectionMin)
	n.electionDeadline = n.now + n.cfg.ElectionMin + time.Duration(n.random.Int64N(spread))
}

// stamp returns a number that is higher than all earlier ones and close to the
// current time. It is the Context of a message; a reply repeats it and so
// identifies the message that it answers and the time at which that was sent.
func (n *Node) stamp() uint64 {
	n.lastStamp = max(n.lastStamp+1, uint64(n.now))
	return n.lastStamp
}

// becomeFollower makes the member a follower in term, which is not lower than
// the current one. leader is 0 if it is unknown.
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.hs.Term {
		n.hs.Term, n.hs.Vote = term, 0
	}
	if n.role == Leader {
		n.resetElectionDeadline()
	}
	n.role, n.leader, n.progress, n.votes, n.reads = Follower, leader, nil, nil, nil
}

// hearLeader records a message from the leader of the current term.
func (n *Node) hearLeader(leader uint64) {
	n.becomeFollower(n.hs.Term, leader)
	n.leaderContact = n.now
	n.resetElectionDeadline()
}

// startPreVote asks whether an election could be won before the term is raised,
// so that a member that was cut off does not depose a working leader when it
// returns.
func (n *Node) startPreVote() {
	n.becomeFollower(n.hs.Term, 0)
	n.role = PreCandidate
	n.requestVotes(KindPreVote, n.hs.Term+1)
	if n.won() {
		n.startElection()
	}
}

func (n *Node) startElection() {
	n.hs.Term++
	n.hs.Vote = n.cfg.ID
	n.role = Candidate
	n.requestVotes(KindVote, n.hs.Term)
	if n.won() {
		n.becomeLeader()
	}
}

func (n *Node) requestVotes(kind Kind, term uint64) {
	n.resetElectionDeadline()
	n.campaign = n.stamp()
	n.votes = map[uint64]bool{n.cfg.ID: true}
	last := n.log.last()
	for _, id := range n.others {
		if !n.voters[id] {
			continue
		}
		n.send(Message{Kind: kind, To: id, Term: term, Index: last.index, LogTerm: last.term, Context: n.campaign})
	}
}

// won reports whether a majority granted the current request. It counts only
// current voters, since the membership may have changed after the request.
func (n *Node) won() bool {
	count := 0
	for id := range n.votes {
		if n.voters[id] {
			count++
		}
	}
	return count >= n.quorum()
}

// handlePreVote grants the pre-vote if the candidate's log is up to date and this
// member has had no contact with a leader for the shortest election timeout.
func (n *Node) handlePreVote(m Message) {
	if n.hs.Rejoining {
		return
	}
	leaderIsAlive := n.role == Leader ||
		n.leader != 0 && n.leaderContact >= 0 && n.now-n.leaderContact < n.cfg.ElectionMin
	if m.Term <= n.hs.Term || leaderIsAlive || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: KindPreVoteReply, To: m.From, Reject: true, Context: m.Context})
		return
	}
	n.send(Message{Kind: KindPreVoteReply, To: m.From, Term: m.Term, Context: m.Context})
}

func (n *Node) handlePreVoteReply(m Message) {
	if m.Reject {
		if m.Term > n.hs.Term {
			n.becomeFollower(m.Term, 0)
		}
		return
	}
	if n.role == PreCandidate && m.Context == n.campaign {
		n.votes[m.From] = true
		if n.won() {
			n.startElection()
		}
	}
}

func (n *Node) handleVote(m Message) {
	if n.hs.Rejoining {
		return // the member may have voted in this term before it lost its disk
	}
	free := n.hs.Vote == m.From || n.hs.Vote == 0 && n.leader == 0
	if !free || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: KindVoteReply, To: m.From, Reject: true, Context: m.Context})
		return
	}
	n.hs.Vote = m.From
	n.resetElectionDeadline()
	n.send(Message{Kind: KindVoteReply, To: m.From, Context: m.Context})
}

// handleVoteReply counts only replies to the current request. A vote that was
// granted to this member before it lost its disk must not count.
func (n *Node) handleVoteReply(m Message) {
	if n.role != Candidate || m.Reject || m.Context != n.campaign {
		return
	}
	n.votes[m.From] = true
	if n.won() {
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
	n.appendOwn(nil)
}

// quorumContact returns the latest time at which a majority was in contact. It
// uses the times at which answered messages were sent, so that a delayed reply
// does not count as recent contact.
func (n *Node) quorumContact() time.Duration {
	var contacts []time.Duration
	for id := range n.voters {
		if id == n.cfg.ID {
			contacts = append(contacts, n.now)
		} else {
			contacts = append(contacts, n.progress[id].contact)
		}
	}
	slices.Sort(contacts)
	return contacts[len(contacts)-n.quorum()]
}
