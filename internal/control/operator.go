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
	// answerLimit bounds how long a save waits: 5 s for the failure domains to
	// confirm the preparation and as long again for the decision to be in force.
	answerLimit = 10 * time.Second
	// reproposeAfter is when a command that was not committed is proposed again. The
	// change ID makes a second commit harmless.
	reproposeAfter = time.Second
	// maxWaitingSaves bounds the saves that wait at once.
	maxWaitingSaves = 256
)

// confirmation is the last index that an entry host acknowledged.
type confirmation struct {
	incarnation uint64
	domain      string
	index       uint64
	at          time.Duration
}

// saved is the result of a save.
type saved struct {
	answer operator.Answer
	err    error
}

// waiter is a save that waits for its answer.
type waiter struct {
	change operator.Change
	result *ring.Ring[saved]
	since  time.Duration
	index  uint64 // of the log when the change was seen accepted; 0 before

	command  directory.ChangePrepared
	proposed time.Duration // when the command was proposed last
}

// operatorBackend answers operators by asking the apply duty.
type operatorBackend struct{ apply *ring.Ring[applyEvent] }

var _ operator.Backend = operatorBackend{}

// ask runs a question in the apply duty and returns its answer.
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

// save starts a save. An error means that nothing was proposed.
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

// prepare checks the text together with all other sections.
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

// answer answers a save unless an accepted change is not in force everywhere yet.
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

// inForce returns the failure domains in service of which a host has applied
// the index, and those of which none has.
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

// repropose repeats the proposals that the log did not take or lost.
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

// leadershipLost answers the saves that wait, so that operators resend them to
// the next leader. What was proposed may still come into force.
func (d *applyDuty) leadershipLost() {
	for id, waiters := range d.waiting {
		for _, w := range waiters {
			w.result.Offer(saved{err: &operator.Unanswered{Reason: "the leader changed; send the same change again"}})
		}
		delete(d.waiting, id)
	}
}

// expireWaiting ends saves whose outcome did not become known. They may still
// come into force, so the answer is "unknown" and never "refused".
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
