// Package member decides at the leader which backend servers and entry hosts
// are present: leases, suspicion, and when prepared moves and changes of the
// document may take effect. Leases are kept in memory; only changes of set and
// state become commands for the log.
package member

import (
	"time"

	"cassiawood/internal/directory"
)

// Times of the leases.
const (
	// DefaultLease is the lease of an endpoint whose announcement asks for none.
	DefaultLease = 6 * time.Second
	// MinLease and MaxLease bound what an announcement may ask for.
	MinLease = 2 * time.Second
	MaxLease = 60 * time.Second
	// HostLease is how long an entry host may place flows by a table that is no
	// longer confirmed; after it the host is fenced.
	HostLease = 2 * time.Second
	// hostLeaseGuard covers that a host counts from the receipt of the leader's
	// message, which may be later than the leader's receipt of the host's.
	hostLeaseGuard = 400 * time.Millisecond
	// hostRemoval is the silence after which a host is removed. It is longer than
	// HostLease, because a removal makes other hosts copy records.
	hostRemoval = 6 * time.Second
	// domainGap is the silence of a failure domain after which its leases start
	// anew. Hosts report at least every 500 ms, so it means a partition.
	domainGap = HostLease / 2
	// decisionTime is how long a prepared change waits for the failure domains.
	decisionTime = 5 * time.Second
	// proposalRetry is when a command that was not committed is proposed again.
	proposalRetry = time.Second
	// replyTime is how long an announcer waits for its command to be committed.
	replyTime = 2 * time.Second
	// sweepInterval bounds how often the endpoints' leases are looked through.
	sweepInterval = 200 * time.Millisecond
	// verdictsInRow is how many equal probe verdicts set or clear a suspicion.
	verdictsInRow = 3
	// maxWaiting bounds the announcers that wait for a commit; the fleet's 12,000
	// endpoints may all announce themselves at once.
	maxWaiting = 16_384
)

// Event is what the lease duty learns.
type Event interface{ isEvent() }

// BecameLeader starts the leases: each endpoint and host gets a full one.
type BecameLeader struct{}

// LostLeadership ends them.
type LostLeadership struct{}

// Announced is an announcement of a backend server. ID matches the Reply.
type Announced struct {
	ID       uint64
	Endpoint directory.Endpoint // Service is the announced name
	Lease    time.Duration      // 0 asks for the default
	Token    string
}

// HostHello is the first message of an entry host on a session. A host repeats
// it and places no flows by its own table until the table lists its incarnation:
// until then a new leader does not know that it must wait for it.
type HostHello struct {
	ID   uint64
	Host directory.Host
}

// HostApplied is the index up to which an entry host has applied the log. Hosts
// send it at least every 500 ms.
type HostApplied struct {
	Name        string
	Incarnation uint64
	Index       uint64
}

// HostComplete says that a joined host has a confirmed copy of its records.
type HostComplete struct {
	ID          uint64
	Name        string
	Incarnation uint64
}

// HostStopping says that a host begins its planned stop. The host places no
// flows by its own table from then on.
type HostStopping struct {
	ID          uint64
	Name        string
	Incarnation uint64
}

// Probed is the verdict of a probe, or of the traffic when Passive is set.
type Probed struct {
	Instance string
	Healthy  bool
	Passive  bool // evidence from traffic, which needs no repetition
}

// Committed follows each entry that was applied to the directory.
type Committed struct {
	Command directory.Command
	Outcome directory.Outcome
}

// Tick lets time pass; about every 100 ms.
type Tick struct{}

func (BecameLeader) isEvent()   {}
func (LostLeadership) isEvent() {}
func (Announced) isEvent()      {}
func (HostHello) isEvent()      {}
func (HostApplied) isEvent()    {}
func (HostComplete) isEvent()   {}
func (HostStopping) isEvent()   {}
func (Probed) isEvent()         {}
func (Committed) isEvent()      {}
func (Tick) isEvent()           {}

// Effect is what the lease duty does.
type Effect interface{ isEffect() }

// Propose asks the changelog to log a command.
type Propose struct{ Command directory.Command }

// Reply answers the event with the same ID. An accepted announcement that
// changed the directory is committed.
type Reply struct {
	ID       uint64
	Accepted bool
	Reason   string // of a refusal, or a note on an accepted announcement
}

func (Propose) isEffect() {}
func (Reply) isEffect()   {}
