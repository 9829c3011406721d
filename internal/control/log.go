package control

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/ring"
)

// logEvent is a value in the inbox of the log duty.
type logEvent interface{ isLogEvent() }

type (
	logTick    struct{ now time.Duration }
	logMessage struct{ message changelog.Message }
	// logPropose asks for an entry. The proposer learns of its success by applying it.
	logPropose struct{ data []byte }
	logStored  struct{ err error }
	logCompact struct {
		index uint64
		state []byte
	}
)

func (logTick) isLogEvent()    {}
func (logMessage) isLogEvent() {}
func (logPropose) isLogEvent() {}
func (logStored) isLogEvent()  {}
func (logCompact) isLogEvent() {}

// logDuty owns the changelog node. It never waits for another duty: storage
// has at most one Ready at a time, and messages to other members may be lost.
type logDuty struct {
	log     *slog.Logger
	node    *changelog.Node
	storage *ring.Ring[changelog.Ready]
	apply   *ring.Ring[applyEvent]
	members map[uint64]*ring.Ring[changelog.Message]
	ready   *changelog.Ready // what storage is writing
	status  changelog.Status // last one told to the apply duty
}

func (d *logDuty) handle(e logEvent) error {
	switch e := e.(type) {
	case logTick:
		d.node.Tick(e.now)
	case logMessage:
		d.node.Step(e.message)
	case logPropose:
		if _, _, err := d.node.Propose(e.data); err != nil {
			d.log.Debug("proposal not taken", "error", err)
		}
	case logCompact:
		if err := d.node.Compact(e.index, e.state); err != nil {
			return fmt.Errorf("compact the log: %w", err)
		}
	case logStored:
		if e.err != nil {
			return fmt.Errorf("store the log: %w", e.err)
		}
		if err := d.stored(); err != nil {
			return err
		}
	}
	return d.pump()
}

// stored sends and applies what had to wait for the disk.
func (d *logDuty) stored() error {
	ready := d.ready
	d.ready = nil
	for _, m := range ready.Messages {
		if link, ok := d.members[m.To]; ok {
			link.Offer(m)
		}
	}
	if ready.Install || len(ready.Committed) > 0 {
		committed := applyCommitted{entries: ready.Committed}
		if ready.Install {
			committed.snapshot = ready.Snapshot
		}
		if _, err := d.apply.Put(committed); err != nil {
			return err
		}
	}
	d.node.Advance()
	return nil
}

// pump hands the next Ready to the storage duty and tells the apply duty when
// the role or leader changed.
func (d *logDuty) pump() error {
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

func (d *logDuty) tellStatus() error {
	status := d.node.Status()
	last := d.status
	d.status = status
	if last.Rejoining && !status.Rejoining {
		d.log.Info("rejoined the log as a voter", "index", status.Commit)
	}
	if status.Role == last.Role && status.Leader == last.Leader && status.Term == last.Term &&
		status.LastContact == last.LastContact {
		return nil
	}
	if status.Role != last.Role || status.Leader != last.Leader {
		d.log.Info("log role changed", "role", status.Role.String(), "leader", status.Leader, "term", status.Term)
	}
	_, err := d.apply.Put(applyStatus{status: status})
	return err
}

// store is the part of the storage that the storage duty uses.
type store interface {
	Save(changelog.Ready) error
	Close() error
}

// storageDuty owns the files of the log. A failed write ends the process,
// because nothing is known of the disk after a failed sync.
type storageDuty struct {
	store store
	log   *ring.Ring[logEvent]
}

func (d *storageDuty) handle(ready changelog.Ready) error {
	err := d.store.Save(ready)
	if _, putErr := d.log.Put(logStored{err: err}); putErr != nil && !errors.Is(putErr, ring.ErrClosed) {
		return putErr
	}
	return err
}
