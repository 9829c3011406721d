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
	// saveTimeout is the longest time that a save waits for its answer: 5 s for the
	// failure domains to confirm the preparation and another 5 s for the decision
	// to come into force.
	saveTimeout = 10 * time.Second
	// reproposeAfter is the time after which an uncommitted command is proposed
	// again. The change ID makes a second commit harmless.
	reproposeAfter = time.Second
	// maxWaitingSaves is the maximum number of changes that wait at the same time.
	maxWaitingSaves = 256
)

// acknowledgement is the latest acknowledgement of an entry host.
type acknowledgement struct {
	incarnation uint64
	domain      string
	index       uint64 // of the last entry that the host has applied
	at          time.Duration
}

// saveReply is the outcome of a save.
type saveReply struct {
	result operator.SaveResult
	err    error
}

// waitingSave is a save that has not been answered yet.
type waitingSave struct {
	change        operator.Change
	reply         *ring.Ring[saveReply]
	startedAt     time.Duration
	acceptedIndex uint64 // log index at which the change was first seen as accepted; 0 before

	command    directory.ChangePrepared
	proposedAt time.Duration // when the command was last proposed; 0 if it never was
}

// operatorBackend implements operator.Backend by running queries in the apply duty.
type operatorBackend struct{ applyInbox *ring.Ring[applyEvent] }

var _ operator.Backend = operatorBackend{}

// runQuery runs a query in the apply duty and returns its result.
func runQuery[T any](b operatorBackend, query func(*applyDuty) (T, error)) (T, error) {
	type reply struct {
		value T
		err   error
	}
	result := ring.New[reply]("operator", 1, ring.DropNewest)
	event := queryEvent{run: func(d *applyDuty) {
		value, err := query(d)
		result.Offer(reply{value, err})
	}}
	var zero T
	if !b.applyInbox.Offer(event) {
		return zero, &operator.OutcomeUnknownError{Reason: "this control host is stopping or overloaded"}
	}
	r, err := result.Get()
	return r.value, errors.Join(err, r.err)
}

// Save proposes a change and waits until it is in force or refused.
func (b operatorBackend) Save(_ context.Context, change operator.Change) (operator.SaveResult, error) {
	reply := ring.New[saveReply]("save", 1, ring.DropNewest)
	event := queryEvent{run: func(d *applyDuty) {
		if err := d.startSave(change, reply); err != nil {
			reply.Offer(saveReply{err: err})
		}
	}}
	if !b.applyInbox.Offer(event) {
		return operator.SaveResult{}, &operator.NoQuorumError{Reason: "this control host is stopping or overloaded"}
	}
	s, err := reply.Get()
	return s.result, errors.Join(err, s.err)
}

// startSave starts a save. If it returns an error, nothing was proposed.
func (d *applyDuty) startSave(change operator.Change, reply *ring.Ring[saveReply]) error {
	if err := d.checkAcceptsChanges(); err != nil {
		return err
	}
	w := waitingSave{change: change, reply: reply, startedAt: d.now}
	if _, known := d.state.ChangeAnswer(change.ID); !known {
		command, err := d.prepareChange(change)
		if err != nil {
			return err
		}
		if len(d.waitingSaves) >= maxWaitingSaves || !d.propose(command) {
			return &operator.NoQuorumError{Reason: "too many changes wait; try again"}
		}
		w.command, w.proposedAt = command, d.now
	}
	d.waitingSaves[change.ID] = append(d.waitingSaves[change.ID], w)
	d.answerDecidedSaves()
	return nil
}

func (d *applyDuty) checkAcceptsChanges() error {
	if !d.leases.Leading() {
		if d.status.Leader == 0 {
			return &operator.NoQuorumError{Reason: "the control hosts have no leader"}
		}
		return &operator.NotLeaderError{Leader: d.operatorURLs[d.status.Leader]}
	}
	if !d.hasQuorum() {
		return &operator.NoQuorumError{Reason: "the other control hosts do not answer"}
	}
	if len(d.undeclaredDomains()) > 0 {
		return &operator.NoQuorumError{Reason: "the failure domains of the settings are being declared; try again"}
	}
	return nil
}

// prepareChange checks the new text together with all other sections and returns the
// command that proposes it.
func (d *applyDuty) prepareChange(change operator.Change) (directory.ChangePrepared, error) {
	var sections []document.Section
	for _, s := range d.state.Sections() {
		sections = append(sections, s.Section)
	}
	changed := document.Section{Heading: change.Section, Team: change.Team, Text: change.Text, Version: change.BaseVersion}
	services, findings := document.CheckChange(sections, changed)
	if len(findings) > 0 {
		return directory.ChangePrepared{}, &operator.RefusedError{
			Reason: "The text has problems; nothing was changed.", Findings: findings,
		}
	}
	return directory.ChangePrepared{
		ChangeID: change.ID, Team: change.Team, Author: change.Author, Section: change.Section,
		BaseVersion: change.BaseVersion, Text: change.Text, Services: services,
	}, nil
}

// answerDecidedSaves answers the saves whose outcome is known.
func (d *applyDuty) answerDecidedSaves() {
	for id, saves := range d.waitingSaves {
		answer, known := d.state.ChangeAnswer(id)
		if !known || answer == nil {
			continue
		}
		var remaining []waitingSave
		for _, w := range saves {
			if !d.answerSave(&w, answer) {
				remaining = append(remaining, w)
			}
		}
		d.setWaitingSaves(id, remaining)
	}
}

func (d *applyDuty) setWaitingSaves(id string, saves []waitingSave) {
	if len(saves) == 0 {
		delete(d.waitingSaves, id)
		return
	}
	d.waitingSaves[id] = saves
}

// answerSave sends the outcome of a decided save and reports whether it did. An
// accepted change is reported once it is in force in every failure domain in
// service, or after saveTimeout.
func (d *applyDuty) answerSave(w *waitingSave, answer *directory.Answer) bool {
	if !answer.Accepted {
		w.reply.Offer(saveReply{err: refusalError(w.change, answer)})
		return true
	}
	if w.acceptedIndex == 0 {
		w.acceptedIndex = d.state.Index()
	}
	inForce, missing := d.domainsInForce(w.acceptedIndex)
	if len(missing) > 0 && d.now-w.startedAt < saveTimeout {
		return false
	}
	w.reply.Offer(saveReply{result: operator.SaveResult{
		ChangeID: w.change.ID, Section: w.change.Section, Version: answer.Version, InForce: inForce,
		OutOfService: d.domainsOutOfService(),
	}})
	return true
}

func refusalError(change operator.Change, answer *directory.Answer) error {
	if answer.Winner != nil {
		return &operator.ConflictError{
			Section: change.Section, Version: answer.Winner.Version, Team: answer.Winner.Team,
			Author: answer.Winner.Author, Text: answer.Winner.Text,
		}
	}
	return &operator.RefusedError{Reason: answer.Reason}
}

// domainsInForce splits the failure domains in service into those with a host that has
// applied the log up to index and those without.
func (d *applyDuty) domainsInForce(index uint64) (confirmed, missing []string) {
	applied := map[string]bool{}
	for _, a := range d.acknowledgements {
		if a.index >= index {
			applied[a.domain] = true
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

func (d *applyDuty) domainsOutOfService() []string {
	var out []string
	for _, domain := range d.settingsDomains {
		if d.state.DomainOutOfService(domain) {
			out = append(out, domain)
		}
	}
	return out
}

// reproposeSaves repeats the proposals that the log refused or lost.
func (d *applyDuty) reproposeSaves() {
	if !d.leases.Leading() {
		return
	}
	for id, saves := range d.waitingSaves {
		if _, known := d.state.ChangeAnswer(id); known {
			continue
		}
		for i := range saves {
			if w := &saves[i]; w.proposedAt > 0 && d.now-w.proposedAt >= reproposeAfter {
				w.proposedAt = d.now
				d.propose(w.command)
			}
		}
	}
}

// failWaitingSaves answers all waiting saves with an OutcomeUnknownError, so that
// clients resend them to the next leader. Changes that were proposed may still come
// into force.
func (d *applyDuty) failWaitingSaves() {
	for id, saves := range d.waitingSaves {
		for _, w := range saves {
			w.reply.Offer(saveReply{err: &operator.OutcomeUnknownError{Reason: "the leader changed; send the same change again"}})
		}
		delete(d.waitingSaves, id)
	}
}

// expireWaitingSaves ends the saves that are still undecided after saveTimeout. They
// may still come into force, so the answer is an OutcomeUnknownError and never a
// RefusedError.
func (d *applyDuty) expireWaitingSaves() {
	for id, saves := range d.waitingSaves {
		var remaining []waitingSave
		for _, w := range saves {
			if d.now-w.startedAt < saveTimeout {
				remaining = append(remaining, w)
				continue
			}
			w.reply.Offer(saveReply{err: &operator.OutcomeUnknownError{
				Reason: fmt.Sprintf("no decision within %v; send the same change again", saveTimeout),
			}})
		}
		d.setWaitingSaves(id, remaining)
	}
	d.answerDecidedSaves()
}
