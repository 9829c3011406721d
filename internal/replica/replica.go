// Package replica runs a member of the replicated log with two duties: one owns
// the changelog node, the other owns its storage.
package replica

import (
	"errors"
	"fmt"
	"log/slog"
	"syscall"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/ring"
)

// Event is a message in the inbox of the log duty.
type Event interface{ isEvent() }

// Events of the log duty.
type (
	// Tick sets the current time, as time since the Unix epoch.
	Tick struct{ Now time.Duration }
	// Received is a message from another member.
	Received struct{ Message changelog.Message }
	// Propose requests an entry. There is no reply: a committed entry reaches Output.Committed.
	Propose struct {
		Data []byte
		// Term, if not 0, is the only term in which the entry may be proposed. A proposal that waited in the inbox
		// while another member led must not take effect after changes that were made meanwhile.
		Term uint64
		// Canceled, if not nil, reports whether the entry is not wanted any more.
		Canceled func() bool
	}
	// ProposeMembers requests a membership change. There is no reply: a later status contains it.
	ProposeMembers struct{ Members changelog.Membership }
	// ReadIndex requests a confirmation that this member is the leader. The reply is Context in
	// Committed.ConfirmedReads or a call of Output.ReadRefused.
	ReadIndex struct{ Context uint64 }
	// Stored is the result of the storage duty for the Ready that it received last.
	Stored struct{ Err error }
	// Compact makes State, the application's state after the entry Index, the snapshot.
	Compact struct {
		Index uint64
		State []byte
	}
)

func (Tick) isEvent()           {}
func (Received) isEvent()       {}
func (Propose) isEvent()        {}
func (ProposeMembers) isEvent() {}
func (ReadIndex) isEvent()      {}
func (Stored) isEvent()         {}
func (Compact) isEvent()        {}

// Committed is the work for the application, to be done in the order of the fields.
type Committed struct {
	Snapshot       *changelog.Snapshot // if not nil, replaces the state
	Entries        []changelog.Entry
	ConfirmedReads []uint64 // contexts of reads to be answered from the state after Entries
}

// Output receives the results of the log duty, which calls it on its own goroutine.
type Output interface {
	Committed(Committed) error
	Status(changelog.Status) error
	ReadRefused(context uint64) error
	Send(changelog.Message) // the message may be lost
}

// LogDuty is the duty that owns the changelog node. It waits only for the output,
// never for the storage duty, which has at most one Ready at a time.
type LogDuty struct {
	logger       *slog.Logger
	node         *changelog.Node
	storage      *ring.Ring[changelog.Ready]
	output       Output
	storing      *changelog.Ready  // passed to the storage duty and not stored yet
	status       changelog.Status  // last one passed to the output
	readContexts map[uint64]uint64 // context by ticket
}

// NewLogDuty returns the duty that owns node. The storage ring must have a capacity of 1.
func NewLogDuty(logger *slog.Logger, node *changelog.Node, storage *ring.Ring[changelog.Ready], output Output) *LogDuty {
	return &LogDuty{logger: logger, node: node, storage: storage, output: output, readContexts: map[uint64]uint64{}}
}

// Handle processes one event.
func (d *LogDuty) Handle(e Event) error {
	switch e := e.(type) {
	case Tick:
		d.node.Tick(e.Now)
	case Received:
		d.node.Step(e.Message)
	case Propose:
		d.propose(e)
	case ProposeMembers:
		d.proposeMembers(e.Members)
	case ReadIndex:
		if err := d.readIndex(e.Context); err != nil {
			return err
		}
	case Compact:
		if err := d.node.Compact(e.Index, e.State); err != nil {
			return fmt.Errorf("compact the log: %w", err)
		}
	case Stored:
		if e.Err != nil {
			return fmt.Errorf("store the log: %w", e.Err)
		}
		if err := d.finishReady(); err != nil {
			return err
		}
	}
	return d.processReady()
}

func (d *LogDuty) propose(e Propose) {
	if term := d.node.Status().Term; e.Term != 0 && e.Term != term || e.Canceled != nil && e.Canceled() {
		d.logger.Info("proposal is out of date", "proposedInTerm", e.Term, "term", term)
		return
	}
	if _, _, err := d.node.Propose(e.Data); err != nil {
		d.logger.Debug("proposal rejected", "error", err)
	}
}

func (d *LogDuty) proposeMembers(members changelog.Membership) {
	if index, err := d.node.ProposeMembers(members); err != nil {
		d.logger.Info("membership change rejected", "reason", err)
	} else {
		d.logger.Info("change of membership proposed", "index", index, "members", fmt.Sprint(members))
	}
}

func (d *LogDuty) readIndex(context uint64) error {
	ticket, err := d.node.ReadIndex()
	if err != nil {
		return d.output.ReadRefused(context)
	}
	d.readContexts[ticket] = context
	return nil
}

// finishReady sends and applies the part of the Ready that had to be stored first.
func (d *LogDuty) finishReady() error {
	ready := d.storing
	d.storing = nil
	for _, m := range ready.Messages {
		d.output.Send(m)
	}
	if ready.InstallSnapshot || len(ready.Committed) > 0 || len(ready.ConfirmedReads) > 0 {
		committed := Committed{Entries: ready.Committed}
		if ready.InstallSnapshot {
			committed.Snapshot = ready.Snapshot
		}
		for _, ticket := range ready.ConfirmedReads {
			committed.ConfirmedReads = append(committed.ConfirmedReads, d.readContexts[ticket])
			delete(d.readContexts, ticket)
		}
		if err := d.output.Committed(committed); err != nil {
			return err
		}
	}
	d.node.Advance()
	return nil
}

// processReady passes the next Ready to the storage duty and a changed status to the
// output.
func (d *LogDuty) processReady() error {
	for d.storing == nil && d.node.HasReady() {
		ready := d.node.Ready()
		d.storing = &ready
		if !ready.NeedsStorage() {
			if err := d.finishReady(); err != nil {
				return err
			}
			continue
		}
		if _, err := d.storage.Put(ready); err != nil {
			return err
		}
	}
	return d.reportStatus()
}

func (d *LogDuty) reportStatus() error {
	status := d.node.Status()
	last := d.status
	d.status = status
	if last.Rejoining && !status.Rejoining {
		d.logger.Info("rejoined the log as a voter", "index", status.Commit)
	}
	if status.Role == last.Role && status.Leader == last.Leader && status.Term == last.Term &&
		status.LastContact == last.LastContact && status.CommitIsUncertain == last.CommitIsUncertain && len(status.Members) == len(last.Members) && status.MembershipChanging == last.MembershipChanging {
		return nil
	}
	if status.Role != last.Role || status.Leader != last.Leader {
		d.logger.Info("log role changed", "role", status.Role.String(), "leader", status.Leader, "term", status.Term, "lostDisks", status.LostDisks)
	}
	if status.Role != changelog.Leader {
		clear(d.readContexts)
	}
	return d.output.Status(status)
}

// Store is the interface of the storage that the storage duty uses.
type Store interface {
	Save(changelog.Ready) error
	Close() error
}

// StorageDuty is the duty that owns the files of the log. After a failed write or
// sync the state of the disk is unknown, so it opens the files again before the
// next attempt. A member that waits for its disk answers no messages, and the
// other members continue without it.
type StorageDuty struct {
	logger   *slog.Logger
	store    Store
	reopen   func() (Store, error) // nil if each failed write ends the process
	logInbox *ring.Ring[Event]
}

// retryInterval is the time between attempts to write to a full disk.
const retryInterval = 200 * time.Millisecond

// NewStorageDuty returns the duty that saves to store and puts its results into the inbox of the log duty.
func NewStorageDuty(logger *slog.Logger, store Store, reopen func() (Store, error), logInbox *ring.Ring[Event]) *StorageDuty {
	return &StorageDuty{logger: logger, store: store, reopen: reopen, logInbox: logInbox}
}

// Handle saves one Ready and reports the result to the log duty.
func (d *StorageDuty) Handle(ready changelog.Ready) error {
	err := d.store.Save(ready)
	if errors.Is(err, syscall.ENOSPC) && d.reopen != nil {
		err = d.saveWhenSpace(ready, err)
	}
	if _, putErr := d.logInbox.Put(Stored{Err: err}); putErr != nil && !errors.Is(putErr, ring.ErrClosed) {
		return putErr
	}
	return err
}

// saveWhenSpace saves a Ready to a full disk as soon as it has room again.
func (d *StorageDuty) saveWhenSpace(ready changelog.Ready, err error) error {
	d.logger.Error("disk is full, waiting for room", "error", err)
	since := time.Now()
	for errors.Is(err, syscall.ENOSPC) {
		time.Sleep(retryInterval)
		if closeErr := d.store.Close(); closeErr != nil {
			d.logger.Warn("log file not closed", "error", closeErr)
		}
		var store Store
		if store, err = d.reopen(); err == nil {
			d.store = store
			err = d.store.Save(ready)
		}
	}
	if err == nil {
		d.logger.Info("disk has room again", "afterMs", time.Since(since).Milliseconds())
	}
	return err
}

// Close closes the files.
func (d *StorageDuty) Close() error { return d.store.Close() }
