package changelog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// maxApplyBytes limits the committed entries of one Ready, so that a member
// that catches up still answers messages in time.
const maxApplyBytes = 1 << 20

// maxQueued limits the messages that wait for slow storage. Further messages
// are dropped, which the protocol treats like a loss on the network.
const maxQueued = 1024

// Node is one member of the group. It is not safe for concurrent use.
type Node struct {
	cfg    Config
	others []uint64
	voters map[uint64]bool
	random *rand.Rand

	now     time.Duration
	started bool // Tick has been called

	hs     HardState
	log    *entryLog
	role   Role
	leader uint64

	leaderCommit     uint64        // highest commit index received from a leader
	leaderContact    time.Duration // when the latest message from the leader was received; -1 if never
	electionDeadline time.Duration
	campaign         uint64          // Context of the current vote requests
	votes            map[uint64]bool // members that granted the current vote request

	progress      map[uint64]*progress // leader only
	lastStamp     uint64
	nextHeartbeat time.Duration
	broadcast     bool // entries or a commit index have to be sent to the followers

	reads     []read   // leader only: reads that are not confirmed yet
	confirmed []uint64 // tickets of confirmed reads for the next Ready

	rejoin rejoin

	messages []Message
	storedHS HardState // last one passed to storage in a Ready
	pending  pending
}

// pending holds the progress that Advance confirms for the outstanding Ready, and
// the snapshot for the next Ready.
type pending struct {
	taken     bool      // Ready has returned and Advance has not been called yet
	handed    uint64    // last entry passed to storage up to this Ready
	applied   uint64    // last entry applied with this Ready
	snapshot  *Snapshot // to be stored with the next Ready
	install   bool      // the snapshot replaces the log and the state of the application
	installed bool      // a snapshot was installed while the Ready was outstanding
}

// New returns a member that continues from its stored state. Entries that the
// snapshot covers are ignored.
func New(cfg Config, hs HardState, snapshot Snapshot, entries []Entry) (*Node, error) {
	cfg = cfg.withDefaults()
	if err := cfg.check(); err != nil {
		return nil, err
	}
	log, err := newEntryLog(snapshot, entries, hs.Commit, cfg.Initial)
	if err != nil {
		return nil, err
	}
	lost := hs == HardState{} && log.lastIndex() == 0
	n := &Node{
		cfg: cfg, log: log, hs: hs, storedHS: hs, leaderContact: -1,
		random: rand.New(rand.NewPCG(cfg.Seed, cfg.ID)), voters: map[uint64]bool{},
	}
	for _, id := range cfg.Members {
		n.voters[id] = true
		if id != cfg.ID {
			n.others = append(n.others, id)
		}
	}
	n.membershipChanged()
	if lost && cfg.Rejoining && len(n.others) > 0 {
		n.hs.Rejoining = true
	}
	if n.log.last().term > hs.Term {
		// The member crashed after it had stored a snapshot and before it stored the
		// hard state. It has sent no message in the newer term, so it cannot have
		// voted there.
		n.hs.Term, n.hs.Vote = n.log.last().term, 0
	}
	n.hs.Commit = n.log.commit
	return n, nil
}

// Tick sets the current time, as time since the Unix epoch, from a clock that
// does not jump while the process runs. A time before the last one is ignored.
func (n *Node) Tick(now time.Duration) {
	if n.started && now < n.now {
		return
	}
	n.now = now
	if !n.started {
		n.started = true
		n.resetElectionDeadline()
		if first := n.cfg.FirstElection; first > 0 {
			n.electionDeadline = n.now + first/3 + time.Duration(n.random.Int64N(int64(first-first/3)))
		}
		n.startRejoin()
	}
	switch {
	case n.role == Leader:
		n.tickLeader()
	case n.hs.Rejoining:
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
	if waiting := int(n.log.lastIndex() - n.log.commit); waiting >= n.cfg.MaxUncommitted {
		return 0, 0, BusyError{Waiting: waiting, Limit: n.cfg.MaxUncommitted}
	}
	index = n.appendOwn(data)
	return index, n.hs.Term, nil
}

// appendOwn appends an entry of the leader's term. At never decreases, even if
// the leader's clock is behind that of an earlier leader.
func (n *Node) appendOwn(data []byte) uint64 {
	last := n.log.last()
	n.log.append(Entry{Index: last.index + 1, Term: n.hs.Term, At: max(n.now, last.at), Data: data})
	n.broadcast = true
	return last.index + 1
}

// Step handles a message from another member.
func (n *Node) Step(m Message) {
	// In a dynamic group the sender may have been added without this member knowing it yet.
	if m.To != n.cfg.ID || !n.cfg.Dynamic && !slices.Contains(n.others, m.From) {
		return
	}
	switch m.Kind {
	case KindPreVote:
		n.handlePreVote(m)
		return
	case KindPreVoteReply:
		n.handlePreVoteReply(m)
		return
	case KindJoin:
		n.handleJoin(m)
		return
	case KindJoinReply:
		n.handleJoinReply(m)
		return
	}
	if m.Term > n.hs.Term {
		n.becomeFollower(m.Term, 0)
	}
	if m.Term < n.hs.Term {
		n.refuseOldTerm(m)
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

// refuseOldTerm rejects a request of an earlier term, so that its deposed leader
// or candidate receives the current term.
func (n *Node) refuseOldTerm(m Message) {
	switch m.Kind {
	case KindAppend, KindSnapshot:
		n.send(Message{Kind: n.replyKind(), To: m.From, Reject: true, Context: m.Context, Index: m.Index, Hint: m.Index})
	case KindVote:
		if !n.hs.Rejoining {
			n.send(Message{Kind: KindVoteReply, To: m.From, Reject: true, Context: m.Context})
		}
	}
}

// send queues a message. Its term is the current one unless it is set.
func (n *Node) send(m Message) {
	if len(n.messages) >= maxQueued {
		return
	}
	m.From = n.cfg.ID
	if m.Term == 0 {
		m.Term = n.hs.Term
	}
	n.messages = append(n.messages, m)
}

// HasReady reports whether Ready would return any work. It is false between
// Ready and Advance.
func (n *Node) HasReady() bool {
	return !n.pending.taken && (len(n.messages) > 0 || n.broadcast || n.pending.snapshot != nil ||
		n.log.handed < n.log.lastIndex() || n.log.applied < n.log.commit || n.hardStateChanged() || len(n.confirmed) > 0)
}

// hardStateChanged reports whether the hard state has to be stored. It ignores
// Commit, whose change alone needs no sync.
func (n *Node) hardStateChanged() bool {
	stored := n.storedHS
	stored.Commit = n.hs.Commit
	return stored != n.hs
}

// Ready returns the work to store, send and apply. It returns no more work until
// Advance is called; Step, Tick and Propose may be called in between.
func (n *Node) Ready() Ready {
	if n.pending.taken {
		return Ready{}
	}
	if n.broadcast && n.role == Leader {
		n.replicateAll()
	}
	n.broadcast = false
	r := Ready{Messages: n.messages, Snapshot: n.pending.snapshot, Install: n.pending.install, Confirmed: n.confirmed}
	n.messages, n.confirmed = nil, nil
	if last := n.log.lastIndex(); n.log.handed < last {
		r.Entries = n.log.slice(n.log.handed, last)
		n.log.handed = last
	}
	if n.hardStateChanged() || len(r.Entries) > 0 || r.Snapshot != nil {
		hs := n.hs
		r.HardState, n.storedHS = &hs, hs
	}
	if n.log.applied < n.log.commit {
		r.Committed = n.log.batch(n.log.applied, n.log.commit, maxApplyBytes)
	}
	n.pending = pending{taken: true, handed: n.log.handed, applied: n.log.applied + uint64(len(r.Committed))}
	return r
}

// Advance confirms that the last Ready is stored, synced, sent and applied.
func (n *Node) Advance() {
	if !n.pending.taken {
		return
	}
	p := n.pending
	n.pending.taken, n.pending.installed = false, false
	if p.installed {
		return // the installed snapshot has replaced the entries of this Ready
	}
	n.log.applied = p.applied
	// A conflicting entry may have replaced entries while they were being stored.
	n.log.stable = max(n.log.stable, min(p.handed, n.log.handed))
	if n.role == Leader {
		n.advanceCommit()
		n.confirmReads()
	}
}

// Compact makes state, the application's state after the entry index, the new
// snapshot and drops the entries that it covers, except for the last KeepEntries.
// The entry must have been applied. Compact retains the slice.
func (n *Node) Compact(index uint64, state []byte) error {
	if err := n.log.compact(index, state, uint64(n.cfg.KeepEntries)); err != nil {
		return err
	}
	snapshot := n.log.snapshot
	n.pending.snapshot = &snapshot
	return nil
}

// Status returns the current state of the member.
func (n *Node) Status() Status {
	s := Status{
		ID: n.cfg.ID, Role: n.role, Leader: n.leader, Term: n.hs.Term, Commit: n.log.commit, Applied: n.log.applied,
		LastIndex: n.log.lastIndex(), Rejoining: n.hs.Rejoining, LastContact: n.leaderContact,
		Members: n.members(), Changing: n.log.membership().index > n.log.commit,
		LeaderCommit: max(n.leaderCommit, n.log.commit),
	}
	if n.role == Leader {
		s.LastContact = n.quorumContact()
		s.Match = map[uint64]uint64{n.cfg.ID: n.log.stable}
		s.Contact = map[uint64]time.Duration{n.cfg.ID: n.now}
		for id, pr := range n.progress {
			s.Match[id], s.Contact[id] = pr.match, pr.contact
		}
	}
	return s
}

// String describes the member, its role and the state of its log, for log lines.
func (n *Node) String() string {
	return fmt.Sprintf("member %d: %v, term %d, commit %d, last entry %d",
		n.cfg.ID, n.role, n.hs.Term, n.log.commit, n.log.lastIndex())
}
