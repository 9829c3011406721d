package cluster

import (
	"errors"
	"fmt"

	"cassiawood/internal/replica"
	"cassiawood/internal/wire"
)

// handlePut proposes a desired state. One that is not newer than the version in force changes
// nothing and is acknowledged, so that a repeated request gets the same answer as the first.
func (d *stateDuty) handlePut(e putDesired) error {
	version, current := e.desired.Version, d.routes.Desired().Version
	if version <= current {
		d.log.Info("desired state not newer", "version", version, "inForce", current)
		e.reply.Offer(answer{})
		return nil
	}
	if err := d.checkTakesRequests(); err != nil {
		d.log.Info("desired state not taken", "version", version, "reason", err)
		e.reply.Offer(answer{err: err})
		return nil
	}
	data, err := wire.EncodeDesiredState(e.desired)
	if err != nil {
		e.reply.Offer(answer{err: err})
		return nil
	}
	d.log.Info("desired state proposed", "version", version, "inForce", current, "term", d.status.Term)
	d.logInbox.Offer(replica.Propose{Data: data})
	d.pendingPuts = append(d.pendingPuts, pendingPut{version: version, since: d.now, reply: e.reply})
	return nil
}

// handleGet answers after a majority has confirmed that this host still leads.
func (d *stateDuty) handleGet(e getDesired) {
	if err := d.checkTakesRequests(); err != nil {
		e.reply.Offer(answer{err: err})
		return
	}
	d.lastReadContext++
	d.pendingGets[d.lastReadContext] = pendingGet{since: d.now, reply: e.reply}
	if !d.logInbox.Offer(replica.ReadIndex{Context: d.lastReadContext}) {
		d.answerGet(d.lastReadContext, answer{err: ErrUnavailable})
	}
}

// checkTakesRequests returns nil on the leader unless it is stopping, else the error that directs the
// caller to another host.
func (d *stateDuty) checkTakesRequests() error {
	switch {
	case d.isStopping:
		return errStopping
	case d.isLeader():
		return nil
	case d.hasMajorityContact() && d.leaderAddress() != "":
		return NotLeaderError{Address: d.leaderAddress()}
	default:
		return d.unavailable()
	}
}

// answerPuts acknowledges the writes whose version, or a higher one, is in force.
func (d *stateDuty) answerPuts() {
	current := d.routes.Desired().Version
	var remaining []pendingPut
	for _, p := range d.pendingPuts {
		if p.version > current {
			remaining = append(remaining, p)
			continue
		}
		d.log.Info("desired state acknowledged", "version", p.version, "inForce", current, "tookMs", (d.now - p.since).Milliseconds())
		d.metrics.commitLatency.Update((d.now - p.since).Microseconds())
		p.reply.Offer(answer{})
	}
	d.pendingPuts = remaining
}

func (d *stateDuty) answerGet(context uint64, a answer) {
	g, ok := d.pendingGets[context]
	if !ok {
		return
	}
	delete(d.pendingGets, context)
	outcome := "answered"
	if a.err != nil {
		outcome = a.err.Error()
	}
	d.log.Info("desired state read", "version", a.desired.Version, "tookMs", (d.now - g.since).Milliseconds(), "outcome", outcome)
	if a.err == nil && a.desired.Version == 0 {
		a.err = fmt.Errorf("no desired state yet: %w", ErrUnavailable)
	}
	d.metrics.readLatency.Update((d.now - g.since).Microseconds())
	g.reply.Offer(a)
}

// failPending fails the waiting requests, so that their callers turn to the new leader.
// Proposed desired states may still come into force.
func (d *stateDuty) failPending() {
	for _, p := range d.pendingPuts {
		p.reply.Offer(answer{err: ErrUnavailable})
	}
	d.pendingPuts = nil
	for context := range d.pendingGets {
		d.answerGet(context, answer{err: errors.Join(errors.New("the leader changed"), ErrUnavailable)})
	}
}

// expirePending fails the requests that have waited longer than answerTimeout.
func (d *stateDuty) expirePending() {
	var remaining []pendingPut
	for _, p := range d.pendingPuts {
		if d.now-p.since < answerTimeout {
			remaining = append(remaining, p)
			continue
		}
		d.log.Warn("desired state not committed in time", "version", p.version, "waitedMs", (d.now - p.since).Milliseconds())
		p.reply.Offer(answer{err: ErrUnavailable})
	}
	d.pendingPuts = remaining
	for context, g := range d.pendingGets {
		if d.now-g.since >= answerTimeout {
			d.answerGet(context, answer{err: ErrUnavailable})
		}
	}
}
