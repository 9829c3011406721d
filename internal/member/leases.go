package member

import (
	"time"

	"cassiawood/internal/directory"
)

// lease keeps an endpoint present until its deadline.
type lease struct {
	deadline time.Duration
	length   time.Duration
}

// waiter is an announcer that waits for the commit of its command.
type waiter struct {
	id       uint64
	instance string
	state    directory.EndpointState
	deadline time.Duration
}

// Leases tracks endpoints and entry hosts at the leader and proposes the commands
// that their leases, probes and acknowledgements require. It is not safe for
// concurrent use.
type Leases struct {
	state   *directory.State
	leading bool
	now     time.Duration
	effects []Effect

	proposed map[directory.Command]time.Duration // proposed and uncommitted commands, with the time of their proposal
	waiting  []waiter

	endpoints map[string]lease // by instance
	stopped   map[string]stop  // unknown instances that have announced their stop
	nextSweep time.Duration    // no endpoint's lease expires earlier
	health    map[string]health
	hosts     map[string]*host
	samples   []sample                 // log indexes during HostLease and its guard, oldest first
	pending   map[string]time.Duration // time at which this leader first saw each prepared change
	moves     movesProposal

	heard       map[string]time.Duration // time of the last message from each failure domain
	cutOffSweep time.Duration            // time of the last suspicions because of silent domains
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
	l.waiting = nil
	l.endpoints = map[string]lease{}
	l.stopped = map[string]stop{}
	l.health = map[string]health{}
	l.hosts = map[string]*host{}
	l.heard = map[string]time.Duration{}
	l.samples = nil
	l.pending = map[string]time.Duration{}
	l.moves = movesProposal{}
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
		l.start()
	case LostLeadership:
		l.stop()
	default:
		if l.leading {
			l.lead(e)
		} else {
			l.refuse(e)
		}
	}
	return l.effects
}

// lead handles an event at the leader.
func (l *Leases) lead(event Event) {
	switch e := event.(type) {
	case Announced:
		l.announced(e)
	case HostHello:
		l.hostHello(e)
	case HostApplied:
		l.hostApplied(e)
	case HostComplete:
		l.hostComplete(e)
	case HostStopping:
		l.hostStopping(e)
	case Probed:
		l.probed(e)
	case Committed:
		l.committed(e)
	case Tick:
		l.tick()
	}
}

// refuse refuses the requests that reach a control host that is not the leader.
func (l *Leases) refuse(event Event) {
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

// start grants every endpoint and host a full lease, since this leader does not
// have the leases of the previous one.
func (l *Leases) start() {
	l.reset()
	l.leading = true
	for _, id := range l.state.Endpoints() {
		if e, _ := l.state.Endpoint(id); e.State != directory.Removed {
			l.endpoints[e.Instance] = lease{deadline: l.now + DefaultLease, length: DefaultLease}
			l.heard[e.Domain] = l.now
		}
	}
	for _, h := range l.state.Hosts() {
		l.hosts[h.Name] = &host{name: h.Name, incarnation: h.Incarnation, domain: h.Domain, heard: l.now, fresh: l.now}
		l.heard[h.Domain] = l.now
	}
	l.sample()
}

// stop refuses the waiters and drops all leases when the leadership is lost.
func (l *Leases) stop() {
	for _, w := range l.waiting {
		l.reply(w.id, false, "the leader changed before the announcement was committed")
	}
	l.reset()
	l.leading = false
}

func (l *Leases) tick() {
	l.sample()
	l.sweepEndpoints()
	l.sweepHosts()
	l.suspectCutOff()
	l.decideChanges()
	l.commitMoves()
	l.expireWaiting()
	l.forgetOld()
}

// forgetOld drops the proposals that may be repeated, and the recorded stops that
// are so old that no earlier announcement can still arrive.
func (l *Leases) forgetOld() {
	for c, at := range l.proposed {
		if l.now-at >= proposalRetry {
			delete(l.proposed, c)
		}
	}
	for instance, s := range l.stopped {
		if l.now-s.at >= MaxLease {
			delete(l.stopped, instance)
		}
	}
}

// committed answers the announcers whose command is committed, and decides on the
// moves and changes that the entry has prepared.
func (l *Leases) committed(e Committed) {
	if _, isChange := e.Command.(directory.ChangePrepared); !isChange && e.Command != nil {
		delete(l.proposed, e.Command) // ChangePrepared cannot be a key and is never proposed here
	}
	switch c := e.Command.(type) {
	case directory.EndpointAdded:
		l.added(c.Endpoint.Instance, e.Outcome)
	case directory.ChangeDecided:
		delete(l.pending, c.ChangeID)
	}
	l.finish(l.inForce)
	l.decideChanges()
	l.commitMoves()
}

// propose proposes a command unless the same one was proposed within the last
// proposalRetry and is not committed.
func (l *Leases) propose(c directory.Command) {
	if at, ok := l.proposed[c]; ok && l.now-at < proposalRetry {
		return
	}
	l.proposed[c] = l.now
	l.effects = append(l.effects, Propose{Command: c})
}

func (l *Leases) reply(id uint64, accepted bool, reason string) {
	l.effects = append(l.effects, Reply{ID: id, Accepted: accepted, Reason: reason})
}
