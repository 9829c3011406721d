package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/operator"
	"cassiawood/internal/ring"
)

const (
	// answerLimit is the longest time that a save waits for its answer: 5 s for the
	// failure domains to confirm the preparation and another 5 s for the decision
	// to come into force.
	answerLimit = 10 * time.Second
	// reproposeAfter is the time after which an uncommitted command is proposed
	// again. The change ID makes a second commit harmless.
	reproposeAfter = time.Second
	// maxWaitingSaves is the maximum number of changes that wait at the same time.
	maxWaitingSaves = 256
)

// confirmation is the latest acknowledgement of an entry host.
type confirmation struct {
	incarnation uint64
	domain      string
	index       uint64 // of the last entry that the host has applied
	at          time.Duration
}

// saved is the outcome of a save.
type saved struct {
	answer operator.Answer
	err    error
}

// waiter is a save that has not been answered yet.
type waiter struct {
	change operator.Change
	result *ring.Ring[saved]
	since  time.Duration
	index  uint64 // log index at which the change was first seen as accepted; 0 before

	command  directory.ChangePrepared
	proposed time.Duration // when the command was last proposed; 0 if it never was
}

// operatorBackend implements operator.Backend by running queries in the apply duty.
type operatorBackend struct{ apply *ring.Ring[applyEvent] }

var _ operator.Backend = operatorBackend{}

// ask runs a query in the apply duty and returns its result.
func ask[T any](b operatorBackend, question func(*applyDuty) (T, error)) (T, error) {
	type reply struct {
		value T
		err   error
	}
	result := ring.New[reply]("operator", 1, ring.DropNewest)
	query := applyQuery{run: func(d *applyDuty) {
		value, err := question(d)
		result.Offer(reply{value, err})
	}}
	var zero T
	if !b.apply.Offer(query) {
		return zero, &operator.Unanswered{Reason: "this control host is stopping or overloaded"}
	}
	r, err := result.Get()
	return r.value, errors.Join(err, r.err)
}

// Save proposes a change and waits until it is in force or refused.
func (b operatorBackend) Save(_ context.Context, change operator.Change) (operator.Answer, error) {
	result := ring.New[saved]("save", 1, ring.DropNewest)
	query := applyQuery{run: func(d *applyDuty) {
		if err := d.save(change, result); err != nil {
			result.Offer(saved{err: err})
		}
	}}
	if !b.apply.Offer(query) {
		return operator.Answer{}, &operator.NoQuorum{Reason: "this control host is stopping or overloaded"}
	}
	s, err := result.Get()
	return s.answer, errors.Join(err, s.err)
}

// save starts a save. If it returns an error, nothing was proposed.
func (d *applyDuty) save(change operator.Change, result *ring.Ring[saved]) error {
	if err := d.checkLeads(); err != nil {
		return err
	}
	w := waiter{change: change, result: result, since: d.now}
	if _, known := d.state.ChangeAnswer(change.ID); !known {
		command, err := d.prepare(change)
		if err != nil {
			return err
		}
		if len(d.waiting) >= maxWaitingSaves || !d.propose(command) {
			return &operator.NoQuorum{Reason: "too many changes wait; try again"}
		}
		w.command, w.proposed = command, d.now
	}
	d.waiting[change.ID] = append(d.waiting[change.ID], w)
	d.answerWaiting()
	return nil
}

func (d *applyDuty) checkLeads() error {
	if !d.leases.Leading() {
		if d.status.Leader == 0 {
			return &operator.NoQuorum{Reason: "the control hosts have no leader"}
		}
		return &operator.NotLeader{Leader: d.operators[d.status.Leader]}
	}
	if !d.hasQuorum() {
		return &operator.NoQuorum{Reason: "the other control hosts do not answer"}
	}
	if len(d.undeclared()) > 0 {
		return &operator.NoQuorum{Reason: "the failure domains of the settings are being declared; try again"}
	}
	return nil
}

// prepare checks the new text together with all other sections and returns the
// command that proposes it.
func (d *applyDuty) prepare(change operator.Change) (directory.ChangePrepared, error) {
	var sections []document.Section
	for _, s := range d.state.Sections() {
		sections = append(sections, s.Section)
	}
	changed := document.Section{Heading: change.Section, Team: change.Team, Text: change.Text, Version: change.Base}
	services, findings := document.CheckChange(sections, changed)
	if len(findings) > 0 {
		return directory.ChangePrepared{}, &operator.Refused{
			Reason: "The text has problems; nothing was changed.", Findings: findings,
		}
	}
	return directory.ChangePrepared{
		ChangeID: change.ID, Team: change.Team, Author: change.Author, Section: change.Section,
		BaseVersion: change.Base, Text: change.Text, Services: services,
	}, nil
}

// answerWaiting answers the saves whose outcome is known.
func (d *applyDuty) answerWaiting() {
	for id, waiters := range d.waiting {
		answer, known := d.state.ChangeAnswer(id)
		if !known || answer == nil {
			continue
		}
		var still []waiter
		for _, w := range waiters {
			if !d.answer(&w, answer) {
				still = append(still, w)
			}
		}
		d.keepWaiting(id, still)
	}
}

func (d *applyDuty) keepWaiting(id string, waiters []waiter) {
	if len(waiters) == 0 {
		delete(d.waiting, id)
		return
	}
	d.waiting[id] = waiters
}

// answer sends the outcome of a decided save and reports whether it did. An
// accepted change is reported once it is in force in every failure domain in
// service, or after answerLimit.
func (d *applyDuty) answer(w *waiter, answer *directory.Answer) bool {
	if !answer.Accepted {
		w.result.Offer(saved{err: refusal(w.change, answer)})
		return true
	}
	if w.index == 0 {
		w.index = d.state.Index()
	}
	inForce, missing := d.inForce(w.index)
	if len(missing) > 0 && d.now-w.since < answerLimit {
		return false
	}
	w.result.Offer(saved{answer: operator.Answer{
		ChangeID: w.change.ID, Section: w.change.Section, Version: answer.Version, InForce: inForce,
		OutOfService: d.outOfService(),
	}})
	return true
}

func refusal(change operator.Change, answer *directory.Answer) error {
	if answer.Winner != nil {
		return &operator.Race{
			Section: change.Section, Version: answer.Winner.Version, Team: answer.Winner.Team,
			Author: answer.Winner.Author, Text: answer.Winner.Text,
		}
	}
	return &operator.Refused{Reason: answer.Reason}
}

// inForce splits the failure domains in service into those with a host that has
// applied the log up to index and those without.
func (d *applyDuty) inForce(index uint64) (confirmed, missing []string) {
	applied := map[string]bool{}
	for _, c := range d.confirmed {
		if c.index >= index {
			applied[c.domain] = true
		}
	}
	for _, domain := range d.state.DomainsInService() {
		if applied[domain] {
			confirmed = append(confirmed, domain)
		} else {
			missing = append(missing, domain)
		}
	}
	return confirmed, missing
}

func (d *applyDuty) outOfService() []string {
	var out []string
	for _, domain := range d.domains {
		if d.state.DomainOutOfService(domain) {
			out = append(out, domain)
		}
	}
	return out
}

// repropose repeats the proposals that the log refused or lost.
func (d *applyDuty) repropose() {
	if !d.leases.Leading() {
		return
	}
	for id, waiters := range d.waiting {
		if _, known := d.state.ChangeAnswer(id); known {
			continue
		}
		for i := range waiters {
			if w := &waiters[i]; w.proposed > 0 && d.now-w.proposed >= reproposeAfter {
				w.proposed = d.now
				d.propose(w.command)
			}
		}
	}
}

// leadershipLost answers all waiting saves with Unanswered, so that clients resend
// them to the next leader. Changes that were proposed may still come into force.
func (d *applyDuty) leadershipLost() {
	for id, waiters := range d.waiting {
		for _, w := range waiters {
			w.result.Offer(saved{err: &operator.Unanswered{Reason: "the leader changed; send the same change again"}})
		}
		delete(d.waiting, id)
	}
}

// expireWaiting ends the saves that are still undecided after answerLimit. They
// may still come into force, so the answer is Unanswered and never Refused.
func (d *applyDuty) expireWaiting() {
	for id, waiters := range d.waiting {
		var still []waiter
		for _, w := range waiters {
			if d.now-w.since < answerLimit {
				still = append(still, w)
				continue
			}
			w.result.Offer(saved{err: &operator.Unanswered{
				Reason: fmt.Sprintf("no decision within %v; send the same change again", answerLimit),
			}})
		}
		d.keepWaiting(id, still)
	}
	d.answerWaiting()
}
