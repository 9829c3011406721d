package changelog

import "time"

// rejoin is the state of a member that has lost its disk.
//
// Before the loss the member may have voted in a term, acknowledged entries,
// or taken part in a term that is newer than the leader that contacts it. It
// has forgotten all of this. It votes and counts for commit again when
//
//  1. every other member has told it its term since the loss. A candidate
//     stores its term before it asks for votes, so the highest of these terms
//     is at least the last one in which this member can have voted.
//  2. its log has reached the commit index that a leader of that term or a
//     later one had, after that leader had committed an entry of its own term,
//     when it learned of the loss. This covers every committed entry that the
//     member had acknowledged.
type rejoin struct {
	nonce    uint64
	answered map[uint64]bool
	target   uint64
	leader   uint64 // leader that gave the target; 0 when there is none
	term     uint64 // term of that leader
	next     time.Duration
}

func (n *Node) startRejoin() {
	if n.hs.Rejoining {
		n.rejoin = rejoin{nonce: n.stamp(), answered: make(map[uint64]bool)}
	}
}

// tickRejoin repeats the question to the members that have not answered it yet.
func (n *Node) tickRejoin() {
	if n.now < n.rejoin.next {
		return
	}
	n.rejoin.next = n.now + n.cfg.Heartbeat
	for _, id := range n.others {
		if !n.rejoin.answered[id] || n.rejoin.term != n.hs.Term && id == n.leader {
			n.send(Message{Kind: KindJoin, To: id, Context: n.rejoin.nonce})
		}
	}
}

// handleJoin tells a member that has lost its disk the current term and, on a
// leader that knows what is committed, the commit index to reach.
func (n *Node) handleJoin(m Message) {
	reply := Message{Kind: KindJoinReply, To: m.From, Context: m.Context, Reject: true}
	if pr := n.progress[m.From]; n.role == Leader && pr != nil {
		if pr.nonce != m.Context {
			pr.nonce, pr.lostStamp = m.Context, n.stamp()
			pr.match, pr.counted = 0, 0
			n.probe(pr, n.log.lastIndex()+1)
			n.replicate(m.From, pr)
		}
		if n.log.matches(n.log.commit, n.hs.Term) {
			reply.Reject, reply.Index = false, n.log.commit
		}
	}
	n.send(reply)
}

func (n *Node) handleJoinReply(m Message) {
	r := &n.rejoin
	if !n.hs.Rejoining || m.Context != r.nonce || r.answered == nil {
		return
	}
	if m.Term > n.hs.Term {
		n.becomeFollower(m.Term, 0)
	}
	r.answered[m.From] = true
	if !m.Reject && m.Term == n.hs.Term && m.Term > r.term {
		r.target, r.leader, r.term = m.Index, m.From, m.Term
	}
	n.endRejoin()
}

// endRejoin makes the member a voter when both conditions hold. Its vote in
// the current term goes to the leader, which keeps it from a second vote there.
func (n *Node) endRejoin() {
	r := &n.rejoin
	if !n.hs.Rejoining || len(r.answered) < len(n.others) || r.term == 0 || r.term != n.hs.Term || n.log.commit < r.target {
		return
	}
	n.hs.Rejoining = false
	n.hs.Vote = r.leader
	n.rejoin = rejoin{}
	n.resetElectionDeadline()
}
