package changelog

import "time"

// rejoinState is the state of a member that has lost its disk.
//
// Before the loss the member may have voted in a term, acknowledged entries, or
// taken part in a newer term than that of the leader that contacts it now. It
// votes and counts for commit again when
//
//  1. every other member has sent it its term since the loss. A candidate
//     stores its term before it requests votes, so the highest of these terms
//     is not lower than any term in which this member can have voted.
//  2. its log has reached the commit index that a leader of that term or a
//     later one had when it received the rejoin request, after that leader had
//     committed an entry of its own term. This covers every committed entry
//     that the member had acknowledged.
type rejoinState struct {
	nonce        uint64          // Context of the rejoin requests
	answered     map[uint64]bool // members that have answered
	targetCommit uint64          // commit index to reach
	leader       uint64          // leader that sent the target; 0 if none has
	term         uint64          // term of that leader
	nextRequest  time.Duration   // when the rejoin requests are sent again
}

func (n *Node) startRejoin() {
	if n.hardState.Rejoining {
		n.rejoin = rejoinState{nonce: n.nextStamp(), answered: make(map[uint64]bool)}
	}
}

// tickRejoin repeats the rejoin request to the members that have not answered it,
// and to the leader if its target is missing or of an earlier term.
func (n *Node) tickRejoin() {
	if n.now < n.rejoin.nextRequest {
		return
	}
	n.rejoin.nextRequest = n.now + n.cfg.HeartbeatInterval
	for _, id := range n.others {
		if !n.rejoin.answered[id] || n.rejoin.term != n.hardState.Term && id == n.leader {
			n.send(Message{Kind: KindRejoin, To: id, Context: n.rejoin.nonce})
		}
	}
}

// handleRejoin sends a member that has lost its disk the current term and, on a
// leader that has committed an entry of its term, the commit index to reach.
func (n *Node) handleRejoin(m Message) {
	reply := Message{Kind: KindRejoinReply, To: m.From, Context: m.Context, Reject: true}
	if pr := n.progress[m.From]; n.role == Leader && pr != nil {
		if pr.rejoinNonce != m.Context {
			pr.rejoinNonce, pr.diskLossStamp = m.Context, n.nextStamp()
			pr.matchIndex, pr.commitMatchIndex = 0, 0
			n.startProbe(pr, n.log.lastIndex()+1)
			n.replicate(m.From, pr)
		}
		if n.log.matches(n.log.commit, n.hardState.Term) {
			reply.Reject, reply.Index = false, n.log.commit
		}
	}
	n.send(reply)
}

func (n *Node) handleRejoinReply(m Message) {
	r := &n.rejoin
	if !n.hardState.Rejoining || m.Context != r.nonce || r.answered == nil {
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, 0)
	}
	r.answered[m.From] = true
	if !m.Reject && m.Term == n.hardState.Term && m.Term > r.term {
		r.targetCommit, r.leader, r.term = m.Index, m.From, m.Term
	}
	n.tryEndRejoin()
}

// tryEndRejoin ends the rejoin if both conditions hold. The member's vote in the
// current term is set to the leader, so that it cannot vote there a second time.
func (n *Node) tryEndRejoin() {
	r := &n.rejoin
	if !n.hardState.Rejoining || len(r.answered) < len(n.others) || r.term == 0 || r.term != n.hardState.Term || n.log.commit < r.targetCommit {
		return
	}
	n.hardState.Rejoining = false
	n.hardState.Vote = r.leader
	n.rejoin = rejoinState{}
	n.resetElectionDeadline()
}
