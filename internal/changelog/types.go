// Package changelog is the replicated log of the control hosts, written after
// the Raft paper (Ongaro and Ousterhout, 2014) and thesis: majority quorum,
// terms, pre-vote, a leader that steps down without quorum contact, snapshots.
//
// Node is a pure state machine. The caller passes in time, messages and
// proposals, takes a Ready, stores and syncs what it holds, then sends its
// messages, applies its committed entries and calls Advance.
package changelog

import (
	"fmt"
	"slices"
	"time"
)

// Defaults of Config.
const (
	DefaultElectionMin    = 150 * time.Millisecond
	DefaultElectionMax    = 300 * time.Millisecond
	DefaultHeartbeat      = 50 * time.Millisecond
	DefaultSnapshotRetry  = 3 * time.Second
	DefaultMaxBatchBytes  = 64 << 10
	DefaultMaxInflight    = 8
	DefaultMaxUncommitted = 256
)

// Config is the fixed configuration of a member. Zero values of the limits
// are replaced by the defaults.
type Config struct {
	ID      uint64   // not 0
	Members []uint64 // all members of a fixed group, with ID
	Seed    uint64   // source of the election timeouts

	// Dynamic makes the group change by entries of the log instead of Members.
	// Initial are the voters of the first start, equal on all of them. A process
	// that joins later has none: it takes part once the leader has added it.
	Dynamic bool
	Initial []Member

	// Rejoining says that the group has already run, so that a member without
	// hard state must have lost its disk. It has no effect on a member whose
	// hard state is present. It must be false at the first start of a group.
	Rejoining bool

	// FirstElection is the longest election timeout right after a start; 0 stands for the usual
	// ones. It may be short, since a pre-vote does not disturb a leader that the others hear.
	FirstElection time.Duration

	ElectionMin    time.Duration // shortest election timeout
	ElectionMax    time.Duration // longest election timeout; also the time without quorum contact after which a leader steps down
	Heartbeat      time.Duration
	SnapshotRetry  time.Duration // a snapshot that is not confirmed is sent again after this time
	MaxBatchBytes  int           // entry data in one append message; a larger entry travels alone
	MaxInflight    int           // unanswered append messages for each follower
	MaxUncommitted int           // proposals that wait for commit
	KeepEntries    int           // entries kept before a snapshot, so that a slow follower needs no snapshot
}

func (c Config) withDefaults() Config {
	orDuration := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	orInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	orDuration(&c.ElectionMin, DefaultElectionMin)
	orDuration(&c.ElectionMax, DefaultElectionMax)
	orDuration(&c.Heartbeat, DefaultHeartbeat)
	orDuration(&c.SnapshotRetry, DefaultSnapshotRetry)
	orInt(&c.MaxBatchBytes, DefaultMaxBatchBytes)
	orInt(&c.MaxInflight, DefaultMaxInflight)
	orInt(&c.MaxUncommitted, DefaultMaxUncommitted)
	return c
}

func (c Config) check() error {
	switch {
	case c.ID == 0 || slices.Contains(c.Members, 0):
		return fmt.Errorf("changelog: member id 0 is not allowed")
	case c.Dynamic && len(c.Members) > 0:
		return fmt.Errorf("changelog: a dynamic group has no fixed members")
	case !c.Dynamic && !slices.Contains(c.Members, c.ID):
		return fmt.Errorf("changelog: members %v do not include this member %d", c.Members, c.ID)
	case len(slices.Compact(slices.Sorted(slices.Values(c.Members)))) != len(c.Members):
		return fmt.Errorf("changelog: members %v contain a duplicate", c.Members)
	case c.ElectionMax <= c.ElectionMin || c.Heartbeat >= c.ElectionMin || c.Heartbeat <= 0:
		return fmt.Errorf("changelog: heartbeat %v, election timeout %v to %v: each must be longer than the one before",
			c.Heartbeat, c.ElectionMin, c.ElectionMax)
	case c.MaxBatchBytes < 0 || c.MaxInflight < 0 || c.MaxUncommitted < 0 || c.KeepEntries < 0:
		return fmt.Errorf("changelog: negative limit")
	}
	return nil
}

// HardState is what a member must store before it sends a message that
// depends on it. Commit may lag behind; it only shortens a restart.
type HardState struct {
	Term      uint64
	Vote      uint64 // member that has this member's vote in Term; 0 means none
	Commit    uint64
	Rejoining bool // the disk was lost and the log has not caught up yet
}

// Entry is one entry of the log. The entry that a new leader appends to commit
// earlier ones has no data.
type Entry struct {
	Index uint64
	Term  uint64
	At    time.Duration // leader's clock in time since the Unix epoch; never less than in the entry before
	Data  []byte

	// Members is the membership from this entry on, nil in entries that do not change it.
	Members Membership
}

// Snapshot is the state of the application after the entry Index.
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
	KindJoin         Kind = 8 // from a member that has lost its disk
	KindJoinReply    Kind = 9
	KindLearnerReply Kind = 10 // KindAppendReply of a member that does not count for commit
)

// Message is exchanged between members. Messages may be lost, doubled, late
// and out of order.
type Message struct {
	Kind     Kind
	From, To uint64
	Term     uint64
	Index    uint64 // entry before Entries; last entry of a candidate; in a reply the matched or refused index
	LogTerm  uint64 // term of the entry Index; in a refusal the term that conflicts, or 0 when the log is too short
	Commit   uint64
	Reject   bool
	Hint     uint64 // in a refusal the first index of LogTerm, or the index after the last entry
	Context  uint64 // chosen by the sender of a request and repeated in the reply
	Entries  []Entry
	Snapshot *Snapshot
}

// Ready is what the caller has to do. Snapshot, HardState and Entries must be
// stored and synced before any of Messages is sent or any of Committed is
// applied. An entry replaces the stored entry of the same index and all after it.
type Ready struct {
	HardState *HardState // nil when unchanged
	Entries   []Entry
	Snapshot  *Snapshot
	Install   bool // Snapshot replaces the stored log and the state of the application
	Messages  []Message
	Committed []Entry
	Confirmed []uint64 // tickets of ReadIndex whose state is applied with Committed
}

// NeedsStorage reports whether the Ready holds anything to store.
func (r *Ready) NeedsStorage() bool {
	return r.HardState != nil || len(r.Entries) > 0 || r.Snapshot != nil
}

// Role is the part that a member takes in its term.
type Role uint8

// Roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role in lower case for logs and status pages.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r&3]
}

// Status is a view of the member for status pages and for deciding whether
// the member is in contact with the group.
type Status struct {
	ID        uint64
	Role      Role
	Leader    uint64 // 0 when unknown
	Term      uint64
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	Rejoining bool

	// LastContact is the latest time at which the member is known to have been
	// in contact: on the leader, when a quorum still answered it; on a
	// follower, when the leader was last heard. It is -1 when there was none.
	LastContact time.Duration
	// LeaderCommit is the highest commit index that a leader has told, or the own one.
	LeaderCommit uint64
	Match        map[uint64]uint64        // leader only: last entry known to be stored, by member
	Contact      map[uint64]time.Duration // leader only: when the latest message that the member answered was sent
	Members      Membership               // nil in a fixed group
	Changing     bool                     // the latest change of the membership is not committed yet
}

// NotLeaderError refuses a proposal on a member that is not the leader.
type NotLeaderError struct{ Leader uint64 } // 0 when unknown

func (e NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "changelog: not the leader, and no leader is known"
	}
	return fmt.Sprintf("changelog: not the leader; member %d is", e.Leader)
}

// BusyError refuses a proposal because too many others wait for commit.
type BusyError struct{ Waiting, Limit int }

func (e BusyError) Error() string {
	return fmt.Sprintf("changelog: %d proposals wait for commit, the limit is %d", e.Waiting, e.Limit)
}
