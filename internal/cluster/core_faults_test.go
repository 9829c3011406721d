package cluster

import (
	"fmt"
	"testing"

	"cassiawood/internal/changelog"
	"cassiawood/internal/wire"
)

// version returns the highest version of the desired state on the disk.
func (d *simDisk) version() uint64 {
	highest := uint64(0)
	if d.snapshot.Index > 0 {
		if state, err := wire.DecodeRoutingState(d.snapshot.State); err == nil {
			highest = state.Desired().Version
		}
	}
	for _, e := range d.entries {
		if desired, order, err := wire.DecodeRoutingEntry(e.Data); err == nil && order == nil && len(e.Data) > 0 {
			highest = max(highest, desired.Version)
		}
	}
	return highest
}

// checkDurable returns an error if one more lost disk could end the majority for good, or lose a version that was acknowledged. It looks only
// while no host counts as lost, as one loss at a time is tolerated.
func (s *simulation) checkDurable() error {
	var members changelog.Membership
	for _, h := range s.hosts {
		if h.lost() {
			return nil
		}
		if !h.removed && h.state != nil && h.state.isLeader() && h.state.hasMajorityContact() && !h.state.status.MembershipChanging {
			members = h.state.status.Members
		}
	}
	if members == nil {
		return nil // an election is going on, or a change of the membership
	}
	for _, x := range s.hosts {
		if x.removed {
			continue
		}
		left, without, isVoter := 0, 0, false
		for _, h := range s.hosts {
			if m, ok := members.Find(h.disk.id); !ok || !m.Voter {
				continue
			}
			isVoter = isVoter || h == x
			if h.removed || h == x {
				continue
			}
			if left++; h.disk.version() < s.acked {
				without++
			}
		}
		needed := members.VoterCount()/2 + 1
		if isVoter && members.VoterCount()%2 == 0 {
			needed = members.VoterCount() / 2
		}
		switch {
		case left < needed:
			return fmt.Errorf("with the disk of %s lost, %d voters of %d would be left, %d are needed", x.address, left, members.VoterCount(), needed)
		case without >= needed:
			return fmt.Errorf("with the disk of %s lost, %d voters without version %d would be a quorum", x.address, without, s.acked)
		}
	}
	return nil
}

// Guards against orders of faults of the control hosts that no other test has, at any distance: disks that hang, also that of the leader, power
// that all hosts lose at once, also during a change of the membership, hosts that join during an election, and storms of changes,
// beside removals without notice and all faults of TestDrawnSchedules. At each moment one more disk may be lost.
func TestDrawnCoreFaults(t *testing.T) {
	checkSchedules(t, append([]string{"vanish", "lost disk", "hang", "hang", "all power", "storm", "join"}, scheduleEvents...))
}
