package changelog

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// maxCommittedBytes limits the committed entries of one Ready, so that a member
// that catches up still answers messages in time.
const maxCommittedBytes = 1 << 20

// maxQueuedMessages limits the messages that wait for slow storage. Further messages
// are dropped, which the protocol treats like a loss on the network.
const maxQueuedMessages = 1024

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	cfg         Config
	others      []uint64
	voters      map[uint64]bool
	electorates []electorate    // of the last two memberships
	lost        map[uint64]bool // members known to have lost their disks before the latest election of this member
	rng         *rand.Rand

	now    time.Duration
	ticked bool // Tick has been called

	hardState HardState
	log       *entryLog
	role      Role
	leader    uint64

	leaderCommit     uint64        // highest commit index received from a leader
	leaderContact    time.Duration // when the latest message from the leader was received; -1 if never
	lastLeader       uint64        // that leader
	electionDeadline time.Duration
	voteContext      uint64          // Context of the current vote requests
	yieldedAt        time.Duration   // when this member last gave up its pre-vote for that of another one; 0 if never
	votes            map[uint64]bool // members that granted the current vote request

	progress       map[uint64]*progress // leader only
	lastStamp      uint64
	nextHeartbeat  time.Duration
	replicationDue bool // entries or a commit index have to be sent to the followers

	pendingReads   []pendingRead // leader only: reads that are not confirmed yet
	confirmedReads []uint64      // tickets of confirmed reads for the next Ready

	rejoin rejoinState

	messages        []Message
	storedHardState HardState // last one passed to storage in a Ready
	outstanding     outstandingReady
}

// outstandingReady holds the progress that Advance confirms for the outstanding Ready, and
// the snapshot for the next Ready.
type outstandingReady struct {
	active          bool      // Ready has returned and Advance has not been called yet
	submitted       uint64    // last entry passed to storage up to this Ready
	applied         uint64    // last entry applied with this Ready
	snapshot        *Snapshot // to be stored with the next Ready
	installSnapshot bool      // the snapshot replaces the log and the state of the application
	superseded      bool      // a snapshot was installed while the Ready was outstanding
}

// New returns a member that continues from its stored state. Entries that the
// snapshot covers are ignored.
func New(cfg Config, hs HardState, snapshot Snapshot, entries []Entry) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(snapshot, entries, hs.Commit, cfg.InitialMembers)
	if err != nil {
		return nil, err
	}
	noStoredState := hs == HardState{} && log.lastIndex() == 0
	n := &Node{
		cfg: cfg, log: log, hardState: hs, storedHardState: hs, leaderContact: -1,
		rng: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)), voters: map[uint64]bool{},
	}
	n.electorates = []electorate{{voters: cfg.Members}}
	for _, id := range cfg.Members {
		n.voters[id] = true
		if id != cfg.ID {
			n.others = append(n.others, id)
		}
	}
	n.applyMembership()
	if noStoredState && cfg.Rejoining && len(n.others) > 0 {
		n.hardState.Rejoining = true
	}
	if n.log.last().term > hs.Term {
		// The member crashed after it had stored a snapshot and before it stored the
		// hard state. It has sent no message in the newer term, so it cannot have
		// voted there.
		n.hardState.Term, n.hardState.Vote = n.log.last().term, 0
	}
	n.hardState.Commit = n.log.commit
	return n, nil
}

// Tick sets the current time, as time since the Unix epoch, from a clock that
// does not jump while the process runs. A time before the last one is ignored.
func (n *Node) Tick(now time.Duration) {
	if n.ticked && now < n.now {
		return
	}
	n.now = now
	if !n.ticked {
		n.ticked = true
		n.resetElectionDeadline()
		if firstTimeout := n.cfg.FirstElectionTimeoutMax; firstTimeout > 0 {
			n.electionDeadline = n.now + firstTimeout/3 + time.Duration(n.rng.Int64N(int64(firstTimeout-firstTimeout/3)))
		}
		n.startRejoin()
	}
	switch {
	case n.role == Leader:
		n.tickLeader()
	case n.hardState.Rejoining:
		n.tickRejoin()
	case n.now >= n.electionDeadline && n.isVoter():
		n.startPreVote()
	}
}

// Propose appends data to the log of the leader and retains the slice. The entry
// is committed when an entry with the returned index and term appears in
// Committed. If an entry with this index and another term appears there, the
// proposal is lost.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, NotLeaderError{Leader: n.leader}
	}
	if uncommitted := int(n.log.lastIndex() - n.log.commit); uncommitted >= n.cfg.MaxUncommittedEntries {
		return 0, 0, UncommittedLimitError{Uncommitted: uncommitted, Limit: n.cfg.MaxUncommittedEntries}
	}
	index = n.appendEntry(data)
	return index, n.hardState.Term, nil
}

// appendEntry appends an entry of the leader's term. At never decreases, even if
// the leader's clock is behind that of an earlier leader.
func (n *Node) appendEntry(data []byte) uint64 {
	last := n.log.last()
	n.log.append(Entry{Index: last.index + 1, Term: n.hardState.Term, At: max(n.now, last.at), Data: data})
	n.replicationDue = true
	return last.index + 1
}

// Step handles a message from another member.
func (n *Node) Step(m Message) {
	// In a dynamic group the sender may have been added without this member knowing it yet.
	if m.To != n.cfg.ID {
		n.reportLostDisk(m)
		return
	}
	if !n.cfg.Dynamic && !slices.Contains(n.others, m.From) {
		return
	}
	switch m.Kind {
	case KindPreVote:
		n.handlePreVote(m)
		return
	case KindPreVoteReply:
		n.handlePreVoteReply(m)
		return
	case KindLostDisk:
		n.handleLostDisk(m)
		return
	case KindRejoin:
		n.handleRejoin(m)
		return
	case KindRejoinReply:
		n.handleRejoinReply(m)
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, 0)
	}
	if m.Term < n.hardState.Term {
		n.rejectOldTerm(m)
		return
	}
	switch m.Kind {
	case KindVote:
		n.handleVote(m)
	case KindVoteReply:
		n.handleVoteReply(m)
	case KindAppend:
		n.handleAppend(m)
	case KindSnapshot:
		n.handleSnapshot(m)
	case KindAppendReply, KindLearnerReply:
		n.handleAppendReply(m)
	}
}

// rejectOldTerm rejects a request of an earlier term, so that its deposed leader
// or candidate receives the current term.
func (n *Node) rejectOldTerm(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot:
		n.send(Message{Kind: n.replyKind(), To: m.From, Reject: true, Context: m.Context, Index: m.Index, RejectHint: m.Index})
	case KindVote:
		if !n.hardState.Rejoining {
			n.send(Message{Kind: KindVoteReply, To: m.From, Reject: true, Context: m.Context})
		}
	}
}

// send queues a message. Its term is the current one unless it is set.
func (n *Node) send(m Message) {
	if len(n.messages) >= maxQueuedMessages {
		return
	}
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.messages = append(n.messages, m)
}

// HasReady reports whether Ready would return any work. It is false between
// Ready and Advance.
func (n *Node) HasReady() bool {
	return !n.outstanding.active && (len(n.messages) > 0 || n.replicationDue || n.outstanding.snapshot != nil ||
		n.log.submitted < n.log.lastIndex() || n.log.applied < n.log.commit || n.hardStateChanged() || len(n.confirmedReads) > 0)
}

// hardStateChanged reports whether the hard state has to be stored. A change of
// Commit alone needs no sync, unless it commits a membership: a member that does not know that after a
// restart needs a quorum of the membership before as well, whose members may be gone by then.
func (n *Node) hardStateChanged() bool {
	stored := n.storedHardState
	if n.cfg.Dynamic && stored.Commit < n.log.membership().index && n.log.membership().index <= n.hardState.Commit {
		return true
	}
	stored.Commit = n.hardState.Commit
	return stored != n.hardState
}

// Ready returns the work to store, send and apply. It returns no more work until
// Advance is called; Step, Tick and Propose may be called in between.
func (n *Node) Ready() Ready {
	if n.outstanding.active {
		return Ready{}
	}
	if n.replicationDue && n.role == Leader {
		n.replicateAll()
	}
	n.replicationDue = false
	r := Ready{Messages: n.messages, Snapshot: n.outstanding.snapshot, InstallSnapshot: n.outstanding.installSnapshot, ConfirmedReads: n.confirmedReads}
	n.messages, n.confirmedReads = nil, nil
	if last := n.log.lastIndex(); n.log.submitted < last {
		r.Entries = n.log.slice(n.log.submitted, last)
		n.log.submitted = last
	}
	if n.hardStateChanged() || len(r.Entries) > 0 || r.Snapshot != nil {
		hs := n.hardState
		r.HardState, n.storedHardState = &hs, hs
	}
	if n.log.applied < n.log.commit {
		r.Committed = n.log.batch(n.log.applied, n.log.commit, maxCommittedBytes)
	}
	n.outstanding = outstandingReady{active: true, submitted: n.log.submitted, applied: n.log.applied + uint64(len(r.Committed))}
	return r
}

// Advance confirms that the last Ready is stored, synced, sent and applied.
func (n *Node) Advance() {
	if !n.outstanding.active {
		return
	}
	confirmed := n.outstanding
	n.outstanding.active, n.outstanding.superseded = false, false
	if confirmed.superseded {
		return // the installed snapshot has replaced the entries of this Ready
	}
	n.log.applied = confirmed.applied
	// A conflicting entry may have replaced entries while they were being stored.
	n.log.stable = max(n.log.stable, min(confirmed.submitted, n.log.submitted))
	if n.role == Leader {
		n.advanceCommit()
		n.confirmReads()
	}
}

// Compact makes state, the application's state after the entry index, the new
// snapshot and drops the entries that it covers, except for the last KeepEntries.
// The entry must have been applied. Compact retains the slice. It does nothing if the snapshot already covers the
// entry: one of the leader may have been installed since the application encoded its state.
func (n *Node) Compact(index uint64, state []byte) error {
	if index <= n.log.snapshot.Index {
		return nil
	}
	if err := n.log.compact(index, state, uint64(n.cfg.KeepEntries)); err != nil {
		return err
	}
	snapshot := n.log.snapshot
	n.outstanding.snapshot = &snapshot
	return nil
}

// Status returns the current state of the member.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, Leader: n.leader, Term: n.hardState.Term, Commit: n.log.commit, Applied: n.log.applied,
		LastIndex: n.log.lastIndex(), Rejoining: n.hardState.Rejoining, LastContact: n.leaderContact,
		Members: n.members(), MembershipChanging: n.log.membership().index > n.log.commit,
		LeaderCommit: max(n.leaderCommit, n.log.commit),
	}
	s.CommitIsUncertain = !n.log.matches(n.log.commit, n.hardState.Term)
	if n.role == Leader {
		s.LastContact = n.quorumContact()
		s.LostDisks = slices.Sorted(maps.Keys(n.lost))
		s.MatchIndex = map[uint64]uint64{n.cfg.ID: n.log.stable}
		s.MemberContact = map[uint64]time.Duration{n.cfg.ID: n.now}
		for id, pr := range n.progress {
			s.MatchIndex[id], s.MemberContact[id] = pr.matchIndex, pr.lastContact
			if id == n.lastLeader && pr.answeredStamp == 0 {
				s.MemberContact[id] = n.leaderContact // its silence has lasted since then, not since the election
			}
		}
	}
	return s
}

// String describes the member, its role and the state of its log, for log lines.
func (n *Node) String() string {
	return fmt.Sprintf("member %d: %v, term %d, commit %d, last entry %d",
		n.cfg.ID, n.role, n.hardState.Term, n.log.commit, n.log.lastIndex())
}
