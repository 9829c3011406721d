package changelog

import (
	"slices"
	"time"
)

// sendState is the mode in which a leader sends entries to one follower.
type sendState uint8

const (
	probing      sendState = iota // the leader looks for the last matching entry with empty appends
	streaming                     // entries are pipelined: sent before earlier appends are answered
	snapshotting                  // a snapshot was sent and is not confirmed yet
)

// progress is the leader's view of one follower.
type progress struct {
	state    sendState
	match    uint64        // last entry known to be stored
	counted  uint64        // like match, but only from replies that count for commit
	next     uint64        // first entry to send
	inflight []uint64      // last entry of each unanswered append
	since    uint64        // stamp of the start of the current probe or snapshot; rejections of older messages are out of date
	waiting  bool          // the probe is unanswered
	overtook bool          // a heartbeat sent after the unconfirmed snapshot was answered
	sentAt   time.Duration // when the snapshot was sent
	contact  time.Duration // when the latest answered message was sent
	answered uint64        // stamp of that message

	nonce     uint64 // Context of the follower's latest join request
	lostStamp uint64 // replies to messages with a lower stamp may date from before the loss of the follower's disk
}

func (n *Node) newProgress() *progress {
	return &progress{next: n.log.lastIndex() + 1, since: n.stamp(), contact: n.now}
}

// probe starts the search for the last matching entry at next-1.
func (n *Node) probe(pr *progress, next uint64) {
	pr.state, pr.waiting, pr.inflight = probing, false, nil
	pr.next = max(next, pr.match+1)
	pr.since = n.stamp()
}

func (n *Node) tickLeader() {
	if n.now-n.quorumContact() > n.cfg.ElectionMax {
		n.becomeFollower(n.hs.Term, 0)
		return
	}
	if n.now < n.nextHeartbeat {
		return
	}
	n.nextHeartbeat = n.now + n.cfg.Heartbeat
	for _, id := range n.others {
		n.heartbeat(id, n.progress[id])
	}
}

// heartbeat sends an empty append. Its consistency check also detects that
// earlier appends were lost.
func (n *Node) heartbeat(id uint64, pr *progress) {
	if pr.state != snapshotting {
		n.sendAppend(id, pr, nil)
		return
	}
	// On an ordered connection, an answer to a later heartbeat proves that the
	// snapshot was lost. The shorter wait allows for reordered messages.
	wait := n.cfg.SnapshotRetry
	if pr.overtook {
		wait = min(wait, n.cfg.ElectionMax)
	}
	if n.now-pr.sentAt >= wait {
		n.sendSnapshot(id, pr)
		return
	}
	// Index 0 matches every log; the message only prevents an election at the follower.
	n.send(Message{Kind: KindAppend, To: id, Context: n.stamp()})
}

// replicateAll sends each follower its missing entries, within the limit of appends in flight.
func (n *Node) replicateAll() {
	for _, id := range n.others {
		n.replicate(id, n.progress[id])
	}
}

func (n *Node) replicate(id uint64, pr *progress) {
	switch {
	case pr.state == snapshotting || pr.state == probing && pr.waiting:
		return
	case pr.state == probing || pr.next > n.log.lastIndex():
		n.sendAppend(id, pr, nil)
		return
	}
	for pr.state == streaming && pr.next <= n.log.lastIndex() && len(pr.inflight) < n.cfg.MaxInflight {
		if pr.next <= n.log.base.index {
			n.sendSnapshot(id, pr)
			return
		}
		entries := n.log.batch(pr.next-1, n.log.lastIndex(), n.cfg.MaxBatchBytes)
		n.sendAppend(id, pr, entries)
		pr.next += uint64(len(entries))
		pr.inflight = append(pr.inflight, pr.next-1)
	}
}

func (n *Node) sendAppend(id uint64, pr *progress, entries []Entry) {
	term, ok := n.log.term(pr.next - 1)
	if !ok {
		n.sendSnapshot(id, pr)
		return
	}
	pr.waiting = true
	n.send(Message{
		Kind: KindAppend, To: id, Index: pr.next - 1, LogTerm: term, Commit: n.log.commit, Context: n.stamp(), Entries: entries,
	})
}

func (n *Node) sendSnapshot(id uint64, pr *progress) {
	snapshot := n.log.snapshot
	pr.state, pr.sentAt, pr.inflight = snapshotting, n.now, nil
	pr.next, pr.since, pr.overtook = snapshot.Index+1, n.stamp(), false
	n.send(Message{Kind: KindSnapshot, To: id, Index: snapshot.Index, LogTerm: snapshot.Term, Context: pr.since, Snapshot: &snapshot})
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
	if m.Context < pr.lostStamp || m.Context > n.lastStamp {
		return
	}
	counts := m.Kind == KindAppendReply
	if counts {
		pr.contact = max(pr.contact, min(time.Duration(m.Context), n.now))
		pr.answered = max(pr.answered, m.Context)
		n.confirmReads()
	}
	if m.Reject {
		if m.Context >= pr.since && pr.state != snapshotting {
			n.probe(pr, n.nextProbe(m))
			n.replicate(m.From, pr)
		}
		return
	}
	pr.match = max(pr.match, m.Index)
	if counts && m.Index > pr.counted {
		pr.counted = m.Index
		n.advanceCommit()
	}
	n.confirm(pr, m)
	if pr.next <= n.log.lastIndex() {
		n.replicate(m.From, pr)
	}
}

// confirm updates the sending state after a successful reply.
func (n *Node) confirm(pr *progress, m Message) {
	switch pr.state {
	case probing:
		if m.Context >= pr.since {
			pr.state, pr.next = streaming, pr.match+1
		}
	case snapshotting:
		pr.overtook = pr.overtook || m.Context > pr.since
		if pr.match >= pr.next-1 {
			pr.state, pr.next = streaming, pr.match+1
		}
	case streaming:
		pr.next = max(pr.next, pr.match+1)
		pr.inflight = slices.DeleteFunc(pr.inflight, func(last uint64) bool { return last <= pr.match })
	}
}

// nextProbe returns the first entry to send after a rejection. It skips a whole
// term at a time: to the leader's last entry of the conflicting term, or else to
// the follower's first entry of that term.
func (n *Node) nextProbe(m Message) uint64 {
	if m.LogTerm != 0 && m.Index > 0 {
		if last, ok := n.log.lastOfTerm(m.LogTerm, m.Index-1); ok {
			return last + 1
		}
	}
	return max(1, min(m.Hint, m.Index))
}

// advanceCommit commits the entries of the current term that a majority has
// synced, and thereby all earlier entries.
func (n *Node) advanceCommit() {
	var counted []uint64
	for id := range n.voters {
		if id == n.cfg.ID {
			counted = append(counted, n.log.stable)
		} else {
			counted = append(counted, n.progress[id].counted)
		}
	}
	slices.Sort(counted)
	index := counted[len(counted)-n.quorum()]
	if index > n.log.commit && n.log.matches(index, n.hs.Term) {
		n.log.commit = index
		n.hs.Commit = index
		n.broadcast = true
	}
	// A leader that was removed from the voters leads until that change is committed.
	if !n.isVoter() && n.log.membership().index <= n.log.commit {
		n.becomeFollower(n.hs.Term, 0)
	}
}
