package member

import (
	"time"

	"cassiawood/internal/directory"
)

// lease keeps an endpoint present until its deadline.
type lease struct {
	deadline time.Duration
	duration time.Duration
}

// waiter is an announcer that waits for the commit of its command.
type waiter struct {
	id       uint64
	instance string
	state    directory.EndpointState
	deadline time.Duration
}

// Leases tracks endpoints and entry hosts at the leader and proposes the commands
// that their leases, probes and acknowledgments require. It is not safe for
// concurrent use.
type Leases struct {
	state   *directory.State
	leading bool
	now     time.Duration
	effects []Effect

	proposed map[directory.Command]time.Duration // proposed and uncommitted commands, with the time of their proposal
	waiters  []waiter

	endpointLeases    map[string]lease           // by instance
	stopped           map[string]stoppedInstance // unknown instances that have announced their stop
	nextSweep         time.Duration              // no endpoint's lease expires earlier
	verdicts          map[string]verdictCounts   // by instance
	hosts             map[string]*host           // by name
	samples           []logSample                // log indexes during HostLease and its margin, oldest first
	changeSeenAt      map[string]time.Duration   // time at which this leader first saw each prepared change
	lastMovesProposal movesProposal

	lastContact     map[string]time.Duration // time of the last message from each failure domain
	lastCutOffSweep time.Duration            // time of the last suspicions because of silent domains
}

// New returns Leases for a directory. The duty that calls Step also owns the
// directory: it applies each committed entry and then passes Committed to Step.
func New(state *directory.State) *Leases {
	l := &Leases{state: state}
	l.reset()
	return l
}

func (l *Leases) reset() {
	l.proposed = map[directory.Command]time.Duration{}
	l.waiters = nil
	l.endpointLeases = map[string]lease{}
	l.stopped = map[string]stoppedInstance{}
	l.verdicts = map[string]verdictCounts{}
	l.hosts = map[string]*host{}
	l.lastContact = map[string]time.Duration{}
	l.samples = nil
	l.changeSeenAt = map[string]time.Duration{}
	l.lastMovesProposal = movesProposal{}
	l.nextSweep = 0
}

// Leading reports whether this control host is the leader.
func (l *Leases) Leading() bool { return l.leading }

// Step handles an event at the given time and returns its effects in order.
func (l *Leases) Step(now time.Duration, event Event) []Effect {
	l.now = max(l.now, now)
	l.effects = nil
	switch e := event.(type) {
	case BecameLeader:
		l.startLeading()
	case LostLeadership:
		l.stopLeading()
	default:
		if l.leading {
			l.handleAsLeader(e)
		} else {
			l.refuseRequest(e)
		}
	}
	return l.effects
}

// handleAsLeader handles an event at the leader.
func (l *Leases) handleAsLeader(event Event) {
	switch e := event.(type) {
	case Announced:
		l.handleAnnounced(e)
	case HostHello:
		l.handleHostHello(e)
	case HostApplied:
		l.handleHostApplied(e)
	case HostComplete:
		l.handleHostComplete(e)
	case HostStopping:
		l.handleHostStopping(e)
	case Probed:
		l.handleProbed(e)
	case Committed:
		l.handleCommitted(e)
	case Tick:
		l.handleTick()
	}
}

// refuseRequest refuses the requests that reach a control host that is not the
// leader.
func (l *Leases) refuseRequest(event Event) {
	const reason = "this control host is not the leader"
	switch e := event.(type) {
	case Announced:
		l.reply(e.ID, false, reason)
	case HostHello:
		l.reply(e.ID, false, reason)
	case HostComplete:
		l.reply(e.ID, false, reason)
	case HostStopping:
		l.reply(e.ID, false, reason)
	}
}

// startLeading grants every endpoint and host a full lease, since this leader
// does not have the leases of the previous one.
func (l *Leases) startLeading() {
	l.reset()
	l.leading = true
	for _, id := range l.state.EndpointIDs() {
		if e, _ := l.state.Endpoint(id); e.State != directory.Removed {
			l.endpointLeases[e.Instance] = lease{deadline: l.now + DefaultLease, duration: DefaultLease}
			l.lastContact[e.Domain] = l.now
		}
	}
	for _, h := range l.state.Hosts() {
		l.hosts[h.Name] = &host{name: h.Name, incarnation: h.Incarnation, domain: h.Domain, lastContact: l.now, tableCompleteAt: l.now}
		l.lastContact[h.Domain] = l.now
	}
	l.recordSample()
}

// stopLeading refuses the waiters and drops all leases when the leadership is lost.
func (l *Leases) stopLeading() {
	for _, w := range l.waiters {
		l.reply(w.id, false, "the leader changed before the announcement was committed")
	}
	l.reset()
	l.leading = false
}

func (l *Leases) handleTick() {
	l.recordSample()
	l.sweepEndpoints()
	l.sweepHosts()
	l.suspectCutOff()
	l.decideChanges()
	l.commitMoves()
	l.expireWaiters()
	l.dropExpired()
}

// dropExpired drops the proposals that may be repeated, and the recorded stops that
// are so old that no earlier announcement can still arrive.
func (l *Leases) dropExpired() {
	for c, at := range l.proposed {
		if l.now-at >= proposalRetryDelay {
			delete(l.proposed, c)
		}
	}
	for instance, s := range l.stopped {
		if l.now-s.at >= MaxLease {
			delete(l.stopped, instance)
		}
	}
}

// handleCommitted answers the announcers whose command is committed, and
// decides on the moves and changes that the entry has prepared.
func (l *Leases) handleCommitted(e Committed) {
	if _, isChange := e.Command.(directory.ChangePrepared); !isChange && e.Command != nil {
		delete(l.proposed, e.Command) // ChangePrepared cannot be a key and is never proposed here
	}
	switch c := e.Command.(type) {
	case directory.EndpointAdded:
		l.handleEndpointAdded(c.Endpoint.Instance, e.Outcome)
	case directory.ChangeDecided:
		delete(l.changeSeenAt, c.ChangeID)
	}
	l.answerWaiters(l.announcementCommitted)
	l.decideChanges()
	l.commitMoves()
}

// propose proposes a command unless the same one was proposed within the last
// proposalRetryDelay and is not committed.
func (l *Leases) propose(c directory.Command) {
	if at, ok := l.proposed[c]; ok && l.now-at < proposalRetryDelay {
		return
	}
	l.proposed[c] = l.now
	l.effects = append(l.effects, Propose{Command: c})
}

func (l *Leases) reply(id uint64, accepted bool, reason string) {
	l.effects = append(l.effects, Reply{ID: id, Accepted: accepted, Reason: reason})
}
