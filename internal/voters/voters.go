// Package voters decides which control hosts are voters in the replicated log.
package voters

import (
	"cmp"
	"slices"
	"time"

	"cassiawood/internal/changelog"
)

// Policy holds the target size and the time limits of the membership.
type Policy struct {
	TargetVoters  int           // number of voters that the membership should have
	ReplaceAfter  time.Duration // a voter that has been silent for this long is replaced by a standby
	RemoveAfter   time.Duration // a standby that has been silent for this long is removed
	MaxContactAge time.Duration // a member is in contact if its latest contact is at most this old
	MaxLag        uint64        // entries that a standby may still lack when it becomes a voter
}

// View is the state of the membership as the leader knows it.
type View struct {
	Self         uint64
	Members      changelog.Membership
	Joining      []changelog.Member       // hosts that ask to be added, because their disks are empty or they were removed
	Domains      map[uint64]string        // failure domains as the hosts report them
	SinceContact map[uint64]time.Duration // time since the latest contact, by member
	MatchIndex   map[uint64]uint64        // index of the last entry known to be stored, by member
	CommitIndex  uint64                   // index of the last committed entry
}

// Next returns the next membership and the reason for the change, or false if the membership
// should not change. It changes at most one member.
func (p Policy) Next(v View) (changelog.Membership, string, bool) {
	if next, reason, ok := join(v); ok {
		return next, reason, ok
	}
	standby, hasStandby := p.bestStandby(v)
	if hasStandby && v.Members.VoterCount() < p.TargetVoters {
		standby.Voter = true
		return v.Members.With(standby), "a standby has caught up", true
	}
	for _, m := range v.Members {
		if domain := v.Domains[m.ID]; domain != "" && domain != m.Domain {
			// The initial voters know only each other's addresses.
			m.Domain = domain
			return v.Members.With(m), "the failure domain of a host became known", true
		}
	}
	for _, m := range v.Members {
		silence := v.SinceContact[m.ID]
		switch {
		case m.ID == v.Self:
		case m.Voter && hasStandby && silence >= p.ReplaceAfter:
			m.Voter = false
			return v.Members.With(m), "a voter is silent and a standby is in contact", true
		case !m.Voter && silence >= p.RemoveAfter:
			return v.Members.Without(m.ID), "a standby is silent", true
		}
	}
	return nil, "", false
}

// join returns the membership with a host added that asks for it. A member with the same
// address is the earlier identity of a host that has lost its disk, and is removed first.
func join(v View) (changelog.Membership, string, bool) {
	for _, j := range v.Joining {
		if _, ok := v.Members.Find(j.ID); ok {
			continue
		}
		for _, m := range v.Members {
			if m.Address == j.Address && m.ID != v.Self {
				return v.Members.Without(m.ID), "a host came back without its disk", true
			}
		}
		j.Voter = false
		return v.Members.With(j), "a host joins", true
	}
	return nil, "", false
}

// bestStandby returns a standby that is in contact and has caught up, preferably in the
// failure domain with the fewest voters that are not silent.
func (p Policy) bestStandby(v View) (changelog.Member, bool) {
	votersIn := map[string]int{}
	for _, m := range v.Members {
		if m.Voter && v.SinceContact[m.ID] < p.ReplaceAfter {
			votersIn[m.Domain]++
		}
	}
	var caughtUp []changelog.Member
	for _, m := range v.Members {
		if !m.Voter && v.SinceContact[m.ID] <= p.MaxContactAge && v.MatchIndex[m.ID]+p.MaxLag >= v.CommitIndex {
			caughtUp = append(caughtUp, m)
		}
	}
	if len(caughtUp) == 0 {
		return changelog.Member{}, false
	}
	return slices.MinFunc(caughtUp, func(a, b changelog.Member) int {
		return cmp.Or(cmp.Compare(votersIn[a.Domain], votersIn[b.Domain]), cmp.Compare(a.ID, b.ID))
	}), true
}
