package cluster

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// interruptedStartAfter is how long no control host must have led before a first start counts as interrupted. Elections take a second.
	interruptedStartAfter = 5 * time.Second
	// joinRequestAge is the age up to which a request to join shows that its sender still has no place in the membership. They come every joinInterval.
	joinRequestAge = 4 * joinInterval
	// interruptedStartInterval is the time between log lines about it.
	interruptedStartInterval = 30 * time.Second
)

// firstStart tells whether the first start of the system was interrupted: too many of the first voters have come back without the identity that makes
// them voters, and the rest can elect nobody. Nothing that these hosts can know tells them that no change was ever acknowledged: their
// disks may have been lost later. So they do not form the system anew (docs/design/votes.md).
type firstStart struct {
	joiningAt map[string]time.Duration // latest request to join with another identity than that of a first voter, by address
	leaderAt  time.Duration            // last contact with a leader, initially the start
	emptied   []string                 // seeds without the identity of a first voter; nil while a majority may form
	loggedAt  time.Duration
}

// recordJoining records that the host at an address asks to join.
func (f *firstStart) recordJoining(now time.Duration, address string, id uint64) {
	if f.joiningAt == nil {
		f.joiningAt = map[string]time.Duration{}
	}
	if id != firstIdentity(address) {
		f.joiningAt[address] = now
	}
}

// evaluate finds out whether the seeds can still form a majority.
func (f *firstStart) evaluate(now time.Duration, hearsLeader bool, seeds []string) {
	if hearsLeader || f.leaderAt == 0 {
		f.leaderAt, f.emptied = now, nil
		clear(f.joiningAt)
	}
	var emptied []string
	for address, at := range f.joiningAt {
		if now-at > joinRequestAge {
			delete(f.joiningAt, address)
		} else if slices.Contains(seeds, address) {
			emptied = append(emptied, address)
		}
	}
	slices.Sort(emptied)
	if now-f.leaderAt < interruptedStartAfter || 2*(len(seeds)-len(emptied)) > len(seeds) {
		emptied = nil
	}
	f.emptied = emptied
}

// errInterrupted is the reason of requests that no control host can serve before an operator acts.
var errInterrupted = errors.New("the system cannot start")

// err returns what is wrong and what an operator has to do, nil while a majority may form.
func (f *firstStart) err() error {
	if len(f.emptied) == 0 {
		return nil
	}
	return fmt.Errorf("%w: no control host leads, and the disks of %s hold no identity of a first voter. If no change was ever acknowledged, the first start was interrupted: stop all "+
		"control hosts, empty their data folders and start them as at the first start. Else bring back the disks of these hosts. %w", errInterrupted, strings.Join(f.emptied, ", "), ErrUnavailable)
}

// observeFirstStart evaluates and logs whether the system can start.
func (d *stateDuty) observeFirstStart() {
	f := &d.firstStart
	hearsLeader := d.status.Leader != 0 && d.status.LastContact >= 0 && d.now-d.status.LastContact <= maxContactAge
	if !hearsLeader {
		f.recordJoining(d.now, d.self.Address, d.self.ID)
	}
	f.evaluate(d.now, hearsLeader, d.seeds)
	d.metrics.interruptedStart.Update(int64(len(f.emptied)))
	if err := f.err(); err != nil && (f.loggedAt == 0 || d.now-f.loggedAt >= interruptedStartInterval) {
		f.loggedAt = d.now
		d.log.Error("system cannot start", "reason", err, "seedsWithoutIdentity", f.emptied, "seeds", d.seeds, "term", d.status.Term)
	}
}

// unavailable returns why this host cannot serve a request now.
func (d *stateDuty) unavailable() error {
	if err := d.firstStart.err(); err != nil {
		return err
	}
	return ErrUnavailable
}
