package cluster

import (
	"errors"
	"fmt"

	"cassiawood/internal/replica"
	"cassiawood/internal/wire"
)

// put proposes a desired state. One that is not newer than the version in force changes nothing
// and is acknowledged, so that a repeated request gets the same answer as the first.
func (d *stateDuty) put(e putDesired) error {
	version, held := e.desired.Version, d.routes.Desired().Version
	if version <= held {
		d.log.Info("desired state not newer", "version", version, "inForce", held)
		e.reply.Offer(answer{})
		return nil
	}
	if err := d.checkLeads(); err != nil {
		d.log.Info("desired state not taken", "version", version, "reason", err)
		e.reply.Offer(answer{err: err})
		return nil
	}
	data, err := wire.EncodeDesired(e.desired)
	if err != nil {
		e.reply.Offer(answer{err: err})
		return nil
	}
	d.log.Info("desired state proposed", "version", version, "inForce", held, "term", d.status.Term)
	d.logInbox.Offer(replica.Propose{Data: data})
	d.puts = append(d.puts, waitingPut{version: version, since: d.now, reply: e.reply})
	return nil
}

// get answers after a majority has confirmed that this host still leads.
func (d *stateDuty) get(e getDesired) {
	if err := d.checkLeads(); err != nil {
		e.reply.Offer(answer{err: err})
		return
	}
	d.lastContext++
	d.gets[d.lastContext] = waitingGet{since: d.now, reply: e.reply}
	if !d.logInbox.Offer(replica.ReadIndex{Context: d.lastContext}) {
		d.answerGet(d.lastContext, answer{err: ErrUnavailable})
	}
}

// checkLeads returns nil on the leader, else the error that directs the caller to another host.
func (d *stateDuty) checkLeads() error {
	switch {
	case d.isLeader():
		return nil
	case d.inContact() && d.leaderAddress() != "":
		return NotLeaderError{Address: d.leaderAddress()}
	default:
		return ErrUnavailable
	}
}

// answerPuts acknowledges the writes whose version, or a higher one, is in force.
func (d *stateDuty) answerPuts() {
	held := d.routes.Desired().Version
	var still []waitingPut
	for _, p := range d.puts {
		if p.version > held {
			still = append(still, p)
			continue
		}
		d.log.Info("desired state acknowledged", "version", p.version, "inForce", held, "tookMs", (d.now - p.since).Milliseconds())
		d.metrics.commit.Update((d.now - p.since).Microseconds())
		p.reply.Offer(answer{})
	}
	d.puts = still
}

func (d *stateDuty) answerGet(context uint64, a answer) {
	g, ok := d.gets[context]
	if !ok {
		return
	}
	delete(d.gets, context)
	outcome := "answered"
	if a.err != nil {
		outcome = a.err.Error()
	}
	d.log.Info("desired state read", "version", a.desired.Version, "tookMs", (d.now - g.since).Milliseconds(), "outcome", outcome)
	if a.err == nil && a.desired.Version == 0 {
		a.err = fmt.Errorf("no desired state yet: %w", ErrUnavailable)
	}
	d.metrics.confirm.Update((d.now - g.since).Microseconds())
	g.reply.Offer(a)
}

// leadershipLost fails the waiting requests, so that their callers turn to the new leader.
// Proposed desired states may still come into force.
func (d *stateDuty) leadershipLost() {
	for _, p := range d.puts {
		p.reply.Offer(answer{err: ErrUnavailable})
	}
	d.puts = nil
	for context := range d.gets {
		d.answerGet(context, answer{err: errors.Join(errors.New("the leader changed"), ErrUnavailable)})
	}
}

// expire fails the requests that have waited longer than answerLimit.
func (d *stateDuty) expire() {
	var still []waitingPut
	for _, p := range d.puts {
		if d.now-p.since < answerLimit {
			still = append(still, p)
			continue
		}
		d.log.Warn("desired state not committed in time", "version", p.version, "waitedMs", (d.now - p.since).Milliseconds())
		p.reply.Offer(answer{err: ErrUnavailable})
	}
	d.puts = still
	for context, g := range d.gets {
		if d.now-g.since >= answerLimit {
			d.answerGet(context, answer{err: ErrUnavailable})
		}
	}
}
