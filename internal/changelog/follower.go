package changelog

// replyKind returns the kind of the replies to append and snapshot messages.
// Replies of a rejoining member do not count for commit.
func (n *Node) replyKind() Kind {
	if n.hardState.Rejoining {
		return KindLearnerReply
	}
	return KindAppendReply
}

// handleAppend adds the entries of a message if the log contains the entry that
// precedes them, and rejects the message otherwise.
func (n *Node) handleAppend(m Message) {
	if n.role == Leader || !entriesInOrder(m) {
		return
	}
	n.recordLeaderContact(m.From)
	n.leaderCommit = max(n.leaderCommit, m.Commit)
	reply := Message{Kind: n.replyKind(), To: m.From, Index: m.Index, Context: m.Context}
	// Committed entries are equal on all members, so compacted ones need no check.
	if m.Index > n.log.commit && !n.log.matches(m.Index, m.LogTerm) {
		reply.Reject = true
		reply.LogTerm, reply.RejectHint = n.log.conflict(m.Index)
		n.send(reply)
		return
	}
	n.log.merge(m.Entries)
	n.applyMembership()
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, reply.Index))
	reply.Kind = n.replyKind() // the new commit index may have ended the rejoin
	n.send(reply)
}

// entriesInOrder reports whether the entries of a message are in order, so that a
// faulty message cannot leave a gap in the log.
func entriesInOrder(m Message) bool {
	last, term := m.Index, m.LogTerm
	for i := range m.Entries {
		e := &m.Entries[i]
		if e.Index != last+1 || e.Term < term || e.Term > m.Term {
			return false
		}
		last, term = e.Index, e.Term
	}
	return true
}

func (n *Node) commitTo(index uint64) {
	if index = min(index, n.log.lastIndex()); index > n.log.commit {
		n.log.commit = index
		n.hardState.Commit = index
	}
	n.tryEndRejoin()
}

// handleSnapshot installs a snapshot unless the log already contains its last entry.
func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	if n.role == Leader || s == nil || s.Index == 0 || s.Term > m.Term {
		return
	}
	n.recordLeaderContact(m.From)
	switch {
	case s.Index <= n.log.commit:
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log.install(*s)
		n.applyMembership()
		n.hardState.Commit = s.Index
		n.outstanding.snapshot, n.outstanding.installSnapshot, n.outstanding.superseded = s, true, n.outstanding.active
		n.tryEndRejoin()
	}
	n.send(Message{Kind: n.replyKind(), To: m.From, Index: s.Index, Context: m.Context})
}
