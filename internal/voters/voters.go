// Package voters decides which control hosts vote in the replicated log.
package voters

import (
	"cmp"
	"slices"
	"time"

	"cassiawood/internal/changelog"
)

// Policy holds the limits of the membership.
type Policy struct {
	Voters       int           // that the membership should have
	ReplaceAfter time.Duration // a voter that has been silent for this long makes room for a standby
	RemoveAfter  time.Duration // a standby that has been silent for this long is removed
	ContactAge   time.Duration // a member heard within this time is in contact
	Lag          uint64        // entries that a standby may lack when it becomes a voter
}

// View is what the leader knows.
type View struct {
	Self    uint64
	Members changelog.Membership
	Joining []changelog.Member       // asked to be added; their disks are empty or they were removed
	Domains map[uint64]string        // failure domains as the hosts have told them
	Silence map[uint64]time.Duration // since the latest contact, by member
	Match   map[uint64]uint64        // last entry known to be stored, by member
	Commit  uint64
}

// Next returns the next membership, and why, or false if it should stay as it is. It
// changes at most one voter.
func (p Policy) Next(v View) (changelog.Membership, string, bool) {
	if next, reason, ok := join(v); ok {
		return next, reason, ok
	}
	standby, hasStandby := p.bestStandby(v)
	if hasStandby && v.Members.VoterCount() < p.Voters {
		standby.Voter = true
		return v.Members.With(standby), "a standby has caught up", true
	}
	for _, m := range v.Members {
		if domain := v.Domains[m.ID]; domain != "" && domain != m.Domain {
			// The first voters know only their addresses of each other.
			m.Domain = domain
			return v.Members.With(m), "the failure domain of a host became known", true
		}
	}
	for _, m := range v.Members {
		silence := v.Silence[m.ID]
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

// join adds a host that asks for it. A member with the same address had the
// disk that the host has lost.
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

// bestStandby returns the standby in contact that has caught up, preferring the
// failure domain with the fewest voters in contact.
func (p Policy) bestStandby(v View) (changelog.Member, bool) {
	votersIn := map[string]int{}
	for _, m := range v.Members {
		if m.Voter && v.Silence[m.ID] < p.ReplaceAfter {
			votersIn[m.Domain]++
		}
	}
	var ready []changelog.Member
	for _, m := range v.Members {
		if !m.Voter && v.Silence[m.ID] <= p.ContactAge && v.Match[m.ID]+p.Lag >= v.Commit {
			ready = append(ready, m)
		}
	}
	if len(ready) == 0 {
		return changelog.Member{}, false
	}
	return slices.MinFunc(ready, func(a, b changelog.Member) int {
		return cmp.Or(cmp.Compare(votersIn[a.Domain], votersIn[b.Domain]), cmp.Compare(a.ID, b.ID))
	}), true
}
