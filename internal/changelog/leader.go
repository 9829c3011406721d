package changelog

import (
	"slices"
	"time"
)

// replicationState is the mode in which a leader sends entries to one follower.
type replicationState uint8

const (
	probing         replicationState = iota // the leader looks for the last matching entry with empty appends
	streaming                               // entries are pipelined: sent before earlier appends are answered
	sendingSnapshot                         // a snapshot was sent and is not confirmed yet
)

// progress is what the leader knows about the log of one follower and about the messages to it.
type progress struct {
	state                  replicationState
	matchIndex             uint64        // last entry known to be stored
	commitMatchIndex       uint64        // like matchIndex, but only from replies that count for commit
	nextIndex              uint64        // first entry to send
	inflight               []uint64      // last entry of each unanswered append
	stateStamp             uint64        // stamp of the start of the current probe or snapshot; rejections of older messages are out of date
	awaitingReply          bool          // an append is unanswered; used only while probing
	laterHeartbeatAnswered bool          // a heartbeat sent after the unconfirmed snapshot was answered
	snapshotSentAt         time.Duration // when the snapshot was sent
	lastContact            time.Duration // when the latest answered message was sent
	answeredStamp          uint64        // stamp of that message

	rejoinNonce   uint64 // Context of the follower's latest rejoin request
	diskLossStamp uint64 // replies to messages with a lower stamp may date from before the loss of the follower's disk
}

func (n *Node) newProgress() *progress {
	return &progress{nextIndex: n.log.lastIndex() + 1, stateStamp: n.nextStamp(), lastContact: n.now}
}

// startProbe starts the search for the last matching entry at nextIndex-1.
func (n *Node) startProbe(pr *progress, nextIndex uint64) {
	pr.state, pr.awaitingReply, pr.inflight = probing, false, nil
	pr.nextIndex = max(nextIndex, pr.matchIndex+1)
	pr.stateStamp = n.nextStamp()
}

func (n *Node) tickLeader() {
	if n.now-n.quorumContact() > n.cfg.ElectionTimeoutMax {
		n.becomeFollower(n.hardState.Term, 0)
		return
	}
	if n.now < n.nextHeartbeat {
		return
	}
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	for _, id := range n.others {
		n.sendHeartbeat(id, n.progress[id])
	}
}

// sendHeartbeat sends an empty append. Its consistency check also detects that
// earlier appends were lost.
func (n *Node) sendHeartbeat(id uint64, pr *progress) {
	if pr.state != sendingSnapshot {
		n.sendAppend(id, pr, nil)
		return
	}
	// On an ordered connection, an answer to a later heartbeat proves that the
	// snapshot was lost. The shorter wait allows for reordered messages.
	wait := n.cfg.SnapshotRetryInterval
	if pr.laterHeartbeatAnswered {
		wait = min(wait, n.cfg.ElectionTimeoutMax)
	}
	if n.now-pr.snapshotSentAt >= wait {
		n.sendSnapshot(id, pr)
		return
	}
	// Index 0 matches every log; the message only prevents an election at the follower.
	n.send(Message{Kind: KindAppend, To: id, Context: n.nextStamp()})
}

// replicateAll sends each follower its missing entries, within the limit of appends in flight.
func (n *Node) replicateAll() {
	for _, id := range n.others {
		n.replicate(id, n.progress[id])
	}
}

func (n *Node) replicate(id uint64, pr *progress) {
	switch {
	case pr.state == sendingSnapshot || pr.state == probing && pr.awaitingReply:
		return
	case pr.state == probing || pr.nextIndex > n.log.lastIndex():
		n.sendAppend(id, pr, nil)
		return
	}
	for pr.state == streaming && pr.nextIndex <= n.log.lastIndex() && len(pr.inflight) < n.cfg.MaxInflightAppends {
		if pr.nextIndex <= n.log.base.index {
			n.sendSnapshot(id, pr)
			return
		}
		entries := n.log.batch(pr.nextIndex-1, n.log.lastIndex(), n.cfg.MaxBatchBytes)
		n.sendAppend(id, pr, entries)
		pr.nextIndex += uint64(len(entries))
		pr.inflight = append(pr.inflight, pr.nextIndex-1)
	}
}

func (n *Node) sendAppend(id uint64, pr *progress, entries []Entry) {
	term, ok := n.log.term(pr.nextIndex - 1)
	if !ok {
		n.sendSnapshot(id, pr)
		return
	}
	pr.awaitingReply = true
	n.send(Message{
		Kind: KindAppend, To: id, Index: pr.nextIndex - 1, LogTerm: term, Commit: n.log.commit, Context: n.nextStamp(), Entries: entries,
	})
}

func (n *Node) sendSnapshot(id uint64, pr *progress) {
	snapshot := n.log.snapshot
	pr.state, pr.snapshotSentAt, pr.inflight = sendingSnapshot, n.now, nil
	pr.nextIndex, pr.stateStamp, pr.laterHeartbeatAnswered = snapshot.Index+1, n.nextStamp(), false
	n.send(Message{Kind: KindSnapshot, To: id, Index: snapshot.Index, LogTerm: snapshot.Term, Context: pr.stateStamp, Snapshot: &snapshot})
}

// handleAppendReply processes the answer to an append or a snapshot.
func (n *Node) handleAppendReply(m Message) {
	if n.role != Leader {
		return
	}
	pr := n.progress[m.From]
	if pr == nil { // the member was removed
		return
	}
	if m.Context < pr.diskLossStamp || m.Context > n.lastStamp {
		return
	}
	countsForCommit := m.Kind == KindAppendReply
	if countsForCommit {
		pr.lastContact = max(pr.lastContact, min(time.Duration(m.Context), n.now))
		pr.answeredStamp = max(pr.answeredStamp, m.Context)
		n.confirmReads()
	}
	if m.Reject {
		if m.Context >= pr.stateStamp && pr.state != sendingSnapshot {
			n.startProbe(pr, n.nextProbeIndex(m))
			n.replicate(m.From, pr)
		}
		return
	}
	pr.matchIndex = max(pr.matchIndex, m.Index)
	if countsForCommit && m.Index > pr.commitMatchIndex {
		pr.commitMatchIndex = m.Index
		n.advanceCommit()
	}
	n.updateReplicationState(pr, m)
	if pr.nextIndex <= n.log.lastIndex() {
		n.replicate(m.From, pr)
	}
}

// updateReplicationState updates the sending state after a successful reply.
func (n *Node) updateReplicationState(pr *progress, m Message) {
	switch pr.state {
	case probing:
		if m.Context >= pr.stateStamp {
			pr.state, pr.nextIndex = streaming, pr.matchIndex+1
		}
	case sendingSnapshot:
		pr.laterHeartbeatAnswered = pr.laterHeartbeatAnswered || m.Context > pr.stateStamp
		if pr.matchIndex >= pr.nextIndex-1 {
			pr.state, pr.nextIndex = streaming, pr.matchIndex+1
		}
	case streaming:
		pr.nextIndex = max(pr.nextIndex, pr.matchIndex+1)
		pr.inflight = slices.DeleteFunc(pr.inflight, func(last uint64) bool { return last <= pr.matchIndex })
	}
}

// nextProbeIndex returns the first entry to send after a rejection. It skips a whole
// term at a time: to the leader's last entry of the conflicting term, or else to
// the follower's first entry of that term.
func (n *Node) nextProbeIndex(m Message) uint64 {
	if m.LogTerm != 0 && m.Index > 0 {
		if last, ok := n.log.lastOfTerm(m.LogTerm, m.Index-1); ok {
			return last + 1
		}
	}
	return max(1, min(m.RejectHint, m.Index))
}

// advanceCommit commits the entries of the current term that a quorum has
// synced, and thereby all earlier entries.
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(id uint64) uint64 {
		if id == n.cfg.ID {
			return n.log.stable
		}
		if pr := n.progress[id]; pr != nil {
			return pr.commitMatchIndex
		}
		return 0
	})
	if index > n.log.commit && n.log.matches(index, n.hardState.Term) {
		n.log.commit = index
		n.hardState.Commit = index
		n.replicationDue = true
	}
	// A leader that was removed from the voters leads until that change is committed.
	if !n.isVoter() && n.log.membership().index <= n.log.commit {
		n.becomeFollower(n.hardState.Term, 0)
	}
}
