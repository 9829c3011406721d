// Package changelog implements the replicated log of the control hosts. It
// follows the Raft paper (Ongaro and Ousterhout, 2014) and Ongaro's thesis:
// majority quorum, terms, pre-vote, a leader that steps down without quorum
// contact, single-server membership changes, snapshots.
//
// Node is a state machine without I/O. The caller passes in time, messages and
// proposals and takes a Ready. It stores and syncs the contents of the Ready,
// then sends its messages, applies its committed entries and calls Advance.
package changelog

import (
	"fmt"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultElectionTimeoutMin    = 150 * time.Millisecond
	DefaultElectionTimeoutMax    = 300 * time.Millisecond
	DefaultHeartbeatInterval     = 50 * time.Millisecond
	DefaultSnapshotRetryInterval = 3 * time.Second
	DefaultMaxBatchBytes         = 64 << 10
	DefaultMaxInflightAppends    = 8
	DefaultMaxUncommittedEntries = 256
)

// Config is the configuration of a member. It does not change while the member
// runs. Zero values of the timeouts and limits are replaced by the defaults.
type Config struct {
	ID      uint64   // not 0
	Members []uint64 // all members of a fixed group, including ID
	Seed    uint64   // of the random election timeouts

	// Dynamic takes the membership from entries of the log instead of Members.
	// InitialMembers holds the voters at the first start of the group and is equal
	// on all of them. It is empty on a process that joins later, which takes part
	// only after the leader has added it.
	Dynamic        bool
	InitialMembers []Member
	// Address is the address of this member in the membership of a dynamic group. It may be empty; then a lost disk is not noticed by
	// the address.
	Address string

	// Rejoining states that the group has run before, so that a member without
	// hard state must have lost its disk. It has no effect on a member that has
	// its hard state. It must be false at the first start of a group.
	Rejoining bool

	// FirstElectionTimeoutMax is the longest election timeout right after a start;
	// 0 selects the usual timeouts. It may be short, since a pre-vote does not
	// depose a leader that is in contact with the other members.
	FirstElectionTimeoutMax time.Duration

	ElectionTimeoutMin    time.Duration // shortest election timeout
	ElectionTimeoutMax    time.Duration // longest election timeout; also the time without quorum contact after which a leader steps down
	HeartbeatInterval     time.Duration // interval between heartbeats of a leader
	SnapshotRetryInterval time.Duration // an unconfirmed snapshot is sent again after this time
	MaxBatchBytes         int           // entry data in one append message; a larger entry is sent alone
	MaxInflightAppends    int           // unanswered append messages per follower
	MaxUncommittedEntries int           // uncommitted entries at which a leader rejects proposals
	KeepEntries           int           // entries kept that a snapshot covers, so that a slow follower does not need the snapshot
}

func (c Config) withDefaults() Config {
	defaultDuration := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	defaultInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	defaultDuration(&c.ElectionTimeoutMin, DefaultElectionTimeoutMin)
	defaultDuration(&c.ElectionTimeoutMax, DefaultElectionTimeoutMax)
	defaultDuration(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	defaultDuration(&c.SnapshotRetryInterval, DefaultSnapshotRetryInterval)
	defaultInt(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	defaultInt(&c.MaxInflightAppends, DefaultMaxInflightAppends)
	defaultInt(&c.MaxUncommittedEntries, DefaultMaxUncommittedEntries)
	return c
}

func (c Config) validate() error {
	switch {
	case c.ID == 0 || slices.Contains(c.Members, 0):
		return fmt.Errorf("changelog: member id 0 is not allowed")
	case c.Dynamic && len(c.Members) > 0:
		return fmt.Errorf("changelog: a dynamic group has no fixed members")
	case !c.Dynamic && !slices.Contains(c.Members, c.ID):
		return fmt.Errorf("changelog: members %v do not include this member %d", c.Members, c.ID)
	case len(slices.Compact(slices.Sorted(slices.Values(c.Members)))) != len(c.Members):
		return fmt.Errorf("changelog: members %v contain a duplicate", c.Members)
	case c.ElectionTimeoutMax <= c.ElectionTimeoutMin || c.HeartbeatInterval >= c.ElectionTimeoutMin || c.HeartbeatInterval <= 0:
		return fmt.Errorf("changelog: heartbeat %v, election timeout %v to %v: each must be longer than the one before",
			c.HeartbeatInterval, c.ElectionTimeoutMin, c.ElectionTimeoutMax)
	case c.MaxBatchBytes < 0 || c.MaxInflightAppends < 0 || c.MaxUncommittedEntries < 0 || c.KeepEntries < 0:
		return fmt.Errorf("changelog: negative limit: MaxBatchBytes %d, MaxInflightAppends %d, MaxUncommittedEntries %d, KeepEntries %d",
			c.MaxBatchBytes, c.MaxInflightAppends, c.MaxUncommittedEntries, c.KeepEntries)
	}
	return nil
}

// HardState is the state that a member must store before it sends a message
// that depends on it. The stored Commit may be older than the actual one; it
// only shortens a restart.
type HardState struct {
	Term      uint64
	Vote      uint64 // candidate that received this member's vote in Term; 0 if none
	Commit    uint64
	Rejoining bool // the member lost its disk and has not caught up yet
}

// Entry is one entry of the log. A new leader appends an entry without data in
// order to commit the earlier ones.
type Entry struct {
	Index uint64
	Term  uint64
	At    time.Duration // leader's clock as time since the Unix epoch; not less than in the previous entry
	Data  []byte

	// Members is the membership from this entry on; nil if the entry does not change it.
	Members Membership
}

// Snapshot is the state of the application after it has applied the entry Index.
type Snapshot struct {
	Index uint64
	Term  uint64
	At    time.Duration // of the entry Index
	State []byte

	Members Membership // as of the entry Index; nil in a fixed group
}

// Kind is the type of a message.
type Kind uint8

// Kinds of messages. The numbers are part of the protocol.
const (
	KindPreVote      Kind = 1
	KindPreVoteReply Kind = 2
	KindVote         Kind = 3
	KindVoteReply    Kind = 4
	KindAppend       Kind = 5 // without entries: heartbeat or probe
	KindAppendReply  Kind = 6 // also answers KindSnapshot
	KindSnapshot     Kind = 7
	KindRejoin       Kind = 8 // request of a member that has lost its disk
	KindRejoinReply  Kind = 9
	KindLearnerReply Kind = 10 // KindAppendReply of a member whose replies do not count for commit
	KindLostDisk     Kind = 11 // answer to a KindPreVote for a member that had the address of the sender before it lost its disk
)

// Message is a message between members. The network may lose, duplicate, delay
// and reorder messages.
type Message struct {
	Kind       Kind
	From, To   uint64
	Term       uint64
	Index      uint64 // entry before Entries; last entry of a candidate; in a reply the matched or rejected index
	LogTerm    uint64 // term of the entry Index; in a rejection the conflicting term, or 0 if the log is too short
	Commit     uint64
	Reject     bool
	RejectHint uint64 // in a rejection the first index of LogTerm, or the index after the last entry
	Context    uint64 // number chosen by the sender of a request, repeated in the reply
	Entries    []Entry
	Snapshot   *Snapshot
	Address    string // of the sender, in KindPreVote, KindVote and KindLostDisk of a dynamic group
}

// Ready is the work that the caller has to do. Snapshot, HardState and Entries
// must be stored and synced before any of Messages is sent or any of Committed
// is applied. An entry replaces the stored entry with the same index and all
// later ones.
type Ready struct {
	HardState       *HardState // nil if unchanged
	Entries         []Entry
	Snapshot        *Snapshot
	InstallSnapshot bool // Snapshot replaces the stored log and the state of the application
	Messages        []Message
	Committed       []Entry
	ConfirmedReads  []uint64 // tickets of ReadIndex that may be answered once Committed is applied
}

// NeedsStorage reports whether the Ready contains anything to store.
func (r *Ready) NeedsStorage() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil
}

// Role is the role of a member in its current term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case, for logs and status pages.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r&3]
}

// Status is the state of a member, for status pages and for the decision whether
// the member is in contact with the group.
type Status struct {
	ID        uint64
	Role      Role
	Leader    uint64 // 0 if unknown
	Term      uint64
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	Rejoining bool

	// LastContact is the latest time at which the member is known to have been
	// in contact with the group: on the leader, when it sent the latest messages
	// that a quorum has answered; on a follower, when it received the latest
	// message from the leader. It is -1 if there was no contact.
	LastContact time.Duration
	// LeaderCommit is the highest commit index received from a leader, or the member's own if higher.
	LeaderCommit uint64
	// CommitIsUncertain is set while no entry of the present term is known to be committed: a new leader does not know yet what has been committed
	// before (Raft paper, section 8).
	CommitIsUncertain  bool
	MatchIndex         map[uint64]uint64        // leader only: last entry known to be stored, by member ID
	MemberContact      map[uint64]time.Duration // leader only: by member ID, when the leader sent the latest message that the member answered
	Members            Membership               // nil in a fixed group
	MembershipChanging bool                     // the latest membership change is not committed yet
	LostDisks          []uint64                 // leader only: members known to have lost their disks before its election, ordered by ID
}

// NotLeaderError rejects a proposal or read on a member that is not the leader.
type NotLeaderError struct{ Leader uint64 } // 0 if unknown

func (e NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "changelog: this member is not the leader and knows of no leader"
	}
	return fmt.Sprintf("changelog: this member is not the leader; the leader is member %d", e.Leader)
}

// UncommittedLimitError rejects a proposal because too many entries are not committed yet.
type UncommittedLimitError struct{ Uncommitted, Limit int }

func (e UncommittedLimitError) Error() string {
	return fmt.Sprintf("changelog: %d entries are not committed yet, the limit is %d", e.Uncommitted, e.Limit)
}
