// Package member decides at the leader which endpoints and entry hosts are
// present, which endpoints are suspected, and when prepared moves and changes of
// the document take effect. The leases are kept in memory only; commands for the
// log add and remove endpoints and hosts and change their states.
package member

import (
	"time"

	"cassiawood/internal/directory"
)

// Durations and bounds of the leases.
const (
	// DefaultLease is the lease of an endpoint whose announcement asks for none.
	DefaultLease = 6 * time.Second
	// MinLease and MaxLease bound what an announcement may ask for.
	MinLease = 2 * time.Second
	MaxLease = 60 * time.Second
	// HostLease is how long an entry host may place flows by its table after the last
	// confirmation that the table is complete. After that the host is fenced.
	HostLease = 2 * time.Second
	// hostLeaseMargin is added to HostLease at the leader, because a host measures
	// from the receipt of the leader's message, which may be later than the leader's
	// receipt of the host's message.
	hostLeaseMargin = 400 * time.Millisecond
	// hostRemovalDelay is the time without a message after which a host is removed.
	// It is longer than HostLease, because a removal makes other hosts copy records.
	hostRemovalDelay = 6 * time.Second
	// domainSilence is the time without a message from a failure domain after which
	// the domain's leases are renewed by its next message. Hosts report at least
	// every 500 ms, so a gap of this length means a partition.
	domainSilence = HostLease / 2
	// decisionTimeout is how long a prepared change waits for the confirmations of
	// the failure domains.
	decisionTimeout = 5 * time.Second
	// proposalRetryDelay is the time after which an uncommitted command may be
	// proposed again.
	proposalRetryDelay = time.Second
	// commitTimeout is how long an announcer waits for the commit of its command.
	commitTimeout = 2 * time.Second
	// sweepInterval is the shortest time between two sweeps of the endpoints' leases.
	// An expired lease that is kept because its failure domain is silent would
	// otherwise cause a sweep with every tick.
	sweepInterval = 200 * time.Millisecond
	// verdictThreshold is how many equal probe verdicts in a row set or clear a
	// suspicion.
	verdictThreshold = 3
	// maxWaiters bounds the announcers that wait for a commit, and the unknown
	// instances that have announced their stop. All 12,000 endpoints of the fleet may
	// announce themselves at once.
	maxWaiters = 16_384
)

// Event is an input of Leases.Step.
type Event interface{ isEvent() }

// BecameLeader reports that this control host has become the leader. Each endpoint
// and host gets a full lease.
type BecameLeader struct{}

// LostLeadership reports that this control host is no longer the leader. All leases
// are dropped.
type LostLeadership struct{}

// Announced is an announcement of a backend server. The Reply has the same ID.
type Announced struct {
	ID       uint64
	Endpoint directory.Endpoint // Service is the announced name
	Lease    time.Duration      // 0 asks for the default
	Token    string
}

// HostHello is the first message of an entry host in a session. The host repeats
// it, and places no flows by its own table, until the table lists its incarnation:
// until then a new leader would not wait for the host's acknowledgments.
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

// HostComplete reports that a joined host has a confirmed copy of the records that
// it will hold.
type HostComplete struct {
	ID          uint64
	Name        string
	Incarnation uint64
}

// HostStopping reports that a host begins a planned stop. From then on it places
// no flows by its own table.
type HostStopping struct {
	ID          uint64
	Name        string
	Incarnation uint64
}

// Probed is the verdict of a health probe or, with Passive set, of observed
// traffic.
type Probed struct {
	Instance string
	Healthy  bool
	Passive  bool // from traffic; a single failure is sufficient for a suspicion
}

// Committed reports a log entry that was applied to the directory.
type Committed struct {
	Command directory.Command
	Outcome directory.Outcome
}

// Tick is sent about every 100 ms, so that leases and deadlines expire without
// other events.
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

// Effect is an output of Leases.Step, which the caller carries out.
type Effect interface{ isEffect() }

// Propose asks the caller to propose a command to the replicated log.
type Propose struct{ Command directory.Command }

// Reply answers the event with the same ID. When an announcement changes the
// directory, it is accepted only after the change is committed.
type Reply struct {
	ID       uint64
	Accepted bool
	Reason   string // why the event is refused, or a note on an accepted announcement
}

func (Propose) isEffect() {}
func (Reply) isEffect()   {}
