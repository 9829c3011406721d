// Package replica runs a member of the replicated log: the duty that owns the
// changelog node and the duty that owns its storage.
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

// Event is a value in the inbox of the log duty.
type Event interface{ isEvent() }

// Events of the log duty.
type (
	Tick     struct{ Now time.Duration }
	Received struct{ Message changelog.Message }
	// Propose asks for an entry. The proposer learns of its success by applying it.
	Propose struct{ Data []byte }
	// ProposeMembers asks for a change of the membership, which the proposer sees in a later status.
	ProposeMembers struct{ Members changelog.Membership }
	// Read asks whether this member still leads; Context comes back in Committed.Confirmed.
	Read    struct{ Context uint64 }
	Stored  struct{ Err error }
	Compact struct {
		Index uint64
		State []byte
	}
)

func (Tick) isEvent()           {}
func (Received) isEvent()       {}
func (Propose) isEvent()        {}
func (ProposeMembers) isEvent() {}
func (Read) isEvent()           {}
func (Stored) isEvent()         {}
func (Compact) isEvent()        {}

// Committed is what the state machine has to apply, in this order.
type Committed struct {
	Snapshot  *changelog.Snapshot // replaces the state when set
	Entries   []changelog.Entry
	Confirmed []uint64 // contexts of reads that may be answered from the state after Entries
}

// Output receives what the log duty decides. It is called by that duty.
type Output interface {
	Committed(Committed) error
	Status(changelog.Status) error
	ReadRefused(context uint64) error
	Send(changelog.Message) // may lose the message
}

// Log is the duty that owns the changelog node. It never waits for another
// duty but the output: storage has at most one Ready at a time.
type Log struct {
	logger  *slog.Logger
	node    *changelog.Node
	storage *ring.Ring[changelog.Ready]
	output  Output
	ready   *changelog.Ready  // what storage is writing
	status  changelog.Status  // last one told to the output
	reads   map[uint64]uint64 // ticket -> context
}

// NewLog returns the duty of a node. The storage ring has a capacity of 1.
func NewLog(logger *slog.Logger, node *changelog.Node, storage *ring.Ring[changelog.Ready], output Output) *Log {
	return &Log{logger: logger, node: node, storage: storage, output: output, reads: map[uint64]uint64{}}
}

// Handle processes one event.
func (d *Log) Handle(e Event) error {
	switch e := e.(type) {
	case Tick:
		d.node.Tick(e.Now)
	case Received:
		d.node.Step(e.Message)
	case Propose:
		if _, _, err := d.node.Propose(e.Data); err != nil {
			d.logger.Debug("proposal not taken", "error", err)
		}
	case ProposeMembers:
		d.proposeMembers(e.Members)
	case Read:
		if err := d.read(e.Context); err != nil {
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
		if err := d.stored(); err != nil {
			return err
		}
	}
	return d.pump()
}

func (d *Log) proposeMembers(members changelog.Membership) {
	if index, err := d.node.ProposeMembers(members); err != nil {
		d.logger.Info("change of membership not taken", "reason", err)
	} else {
		d.logger.Info("change of membership proposed", "index", index, "members", fmt.Sprint(members))
	}
}

func (d *Log) read(context uint64) error {
	ticket, err := d.node.ReadIndex()
	if err != nil {
		return d.output.ReadRefused(context)
	}
	d.reads[ticket] = context
	return nil
}

// stored sends and applies what had to wait for the disk.
func (d *Log) stored() error {
	ready := d.ready
	d.ready = nil
	for _, m := range ready.Messages {
		d.output.Send(m)
	}
	if ready.Install || len(ready.Committed) > 0 || len(ready.Confirmed) > 0 {
		committed := Committed{Entries: ready.Committed}
		if ready.Install {
			committed.Snapshot = ready.Snapshot
		}
		for _, ticket := range ready.Confirmed {
			committed.Confirmed = append(committed.Confirmed, d.reads[ticket])
			delete(d.reads, ticket)
		}
		if err := d.output.Committed(committed); err != nil {
			return err
		}
	}
	d.node.Advance()
	return nil
}

// pump hands the next Ready to the storage duty and tells the output when the
// role or leader changed.
func (d *Log) pump() error {
	for d.ready == nil && d.node.HasReady() {
		ready := d.node.Ready()
		d.ready = &ready
		if !ready.NeedsStorage() {
			if err := d.stored(); err != nil {
				return err
			}
			continue
		}
		if _, err := d.storage.Put(ready); err != nil {
			return err
		}
	}
	return d.tellStatus()
}

func (d *Log) tellStatus() error {
	status := d.node.Status()
	last := d.status
	d.status = status
	if last.Rejoining && !status.Rejoining {
		d.logger.Info("rejoined the log as a voter", "index", status.Commit)
	}
	if status.Role == last.Role && status.Leader == last.Leader && status.Term == last.Term &&
		status.LastContact == last.LastContact && len(status.Members) == len(last.Members) && status.Changing == last.Changing {
		return nil
	}
	if status.Role != last.Role || status.Leader != last.Leader {
		d.logger.Info("log role changed", "role", status.Role.String(), "leader", status.Leader, "term", status.Term)
	}
	if status.Role != changelog.Leader {
		clear(d.reads)
	}
	return d.output.Status(status)
}

// Store is the part of the storage that the storage duty uses.
type Store interface {
	Save(changelog.Ready) error
	Close() error
}

// Storage is the duty that owns the files of the log. Nothing is known of a
// disk after a failed write or sync, so the files are opened again before the
// next try. A member that waits for its disk answers nobody, and the others go on without it.
type Storage struct {
	logger *slog.Logger
	store  Store
	reopen func() (Store, error) // nil: a failed write ends the process
	log    *ring.Ring[Event]
}

// retryPause is the time between tries to write to a disk that takes no writes.
const retryPause = 200 * time.Millisecond

// NewStorage returns the duty that saves to store and answers to the inbox of the log duty.
func NewStorage(logger *slog.Logger, store Store, reopen func() (Store, error), log *ring.Ring[Event]) *Storage {
	return &Storage{logger: logger, store: store, reopen: reopen, log: log}
}

// Handle saves one Ready.
func (d *Storage) Handle(ready changelog.Ready) error {
	err := d.store.Save(ready)
	if errors.Is(err, syscall.ENOSPC) && d.reopen != nil {
		err = d.retry(ready, err)
	}
	if _, putErr := d.log.Put(Stored{Err: err}); putErr != nil && !errors.Is(putErr, ring.ErrClosed) {
		return putErr
	}
	return err
}

// retry saves a Ready on a disk that is full, once it has room again.
func (d *Storage) retry(ready changelog.Ready, err error) error {
	d.logger.Error("disk is full, waiting for room", "error", err)
	since := time.Now()
	for errors.Is(err, syscall.ENOSPC) {
		time.Sleep(retryPause)
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
func (d *Storage) Close() error { return d.store.Close() }
