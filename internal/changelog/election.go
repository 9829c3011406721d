package changelog

import (
	"slices"
	"time"
)

func (n *Node) quorum() int { return len(n.voters)/2 + 1 }

// resetElectionDeadline draws a new timeout. Random timeouts keep members from
// starting elections at the same time again and again.
func (n *Node) resetElectionDeadline() {
	spread := int64(n.cfg.ElectionMax - n.cfg.ElectionMin)
	n.electionDeadline = n.now + n.cfg.ElectionMin + time.Duration(n.random.Int64N(spread))
}

// stamp returns a number that is higher than all earlier ones and close to
// the current time, so that a reply that repeats it tells what it answers and when that was sent.
func (n *Node) stamp() uint64 {
	n.lastStamp = max(n.lastStamp+1, uint64(n.now))
	return n.lastStamp
}

// becomeFollower adopts a term that is not lower than the current one.
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.hs.Term {
		n.hs.Term, n.hs.Vote = term, 0
	}
	if n.role == Leader {
		n.resetElectionDeadline()
	}
	n.role, n.leader, n.progress, n.votes, n.reads = Follower, leader, nil, nil, nil
}

// hearLeader notes a message from the leader of the current term.
func (n *Node) hearLeader(leader uint64) {
	n.becomeFollower(n.hs.Term, leader)
	n.leaderContact = n.now
	n.resetElectionDeadline()
}

// startPreVote asks whether an election could be won before raising the term,
// so that a member that was cut off does not disturb the others on its return.
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

// won counts the votes of the present voters, since a vote may have been asked
// for before a change of the membership.
func (n *Node) won() bool {
	count := 0
	for id := range n.votes {
		if n.voters[id] {
			count++
		}
	}
	return count >= n.quorum()
}

// handlePreVote grants when the candidate could win and this member has not
// heard from a leader for the shortest election timeout.
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
		return // it may have given its vote in this term before its disk was lost
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

// handleVoteReply counts votes for the current request only: a vote for an
// earlier life of this member, before its disk was lost, must not count.
func (n *Node) handleVoteReply(m Message) {
	if n.role != Candidate || m.Reject || m.Context != n.campaign {
		return
	}
	n.votes[m.From] = true
	if n.won() {
		n.becomeLeader()
	}
}

// becomeLeader appends an entry of the new term, because only entries of the
// leader's own term are committed by counting.
func (n *Node) becomeLeader() {
	n.role, n.leader, n.votes = Leader, n.cfg.ID, nil
	n.progress = make(map[uint64]*progress, len(n.others))
	for _, id := range n.others {
		n.progress[id] = n.newProgress()
	}
	n.nextHeartbeat = n.now
	n.appendOwn(nil)
}

// quorumContact returns the latest time at which a majority was in contact.
// It uses the times at which answered messages were sent, so that late replies
// do not make the contact look newer than it is.
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
