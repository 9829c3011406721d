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
	// TargetVoters is the number of voters that the membership should have at least, 2f+1 to bear f lost disks. Where it is 3 or more, up to two
	// further members that have caught up get votes.
	TargetVoters  int
	ReplaceAfter  time.Duration // a voter that has been silent for this long loses its vote if enough are left
	RemoveAfter   time.Duration // a standby that has been silent for this long is removed
	MaxContactAge time.Duration // a member is in contact if its latest contact is at most this old
	MaxLag        uint64        // entries that a standby may still lack when it becomes a voter
}

// View is the state of the membership as the leader knows it.
type View struct {
	Self         uint64
	Members      changelog.Membership
	Joining      []changelog.Member       // hosts that ask to be added, because their disks are empty or they were removed
	Leaving      map[uint64]bool          // members that are being stopped
	Domains      map[uint64]string        // failure domains as the hosts report them
	SinceContact map[uint64]time.Duration // time since the latest contact, by member
	MatchIndex   map[uint64]uint64        // index of the last entry known to be stored, by member
	CommitIndex  uint64                   // index of the last committed entry
}

// Next returns the next membership and the reason for the change, or false if the membership
// should not change. It changes at most one member.
//
// A vote is handed over in two changes: first the standby gets one, then the other host loses its own. In
// this order a majority survives the loss of any f disks at each step, since f are tolerated by 2f+1 voters and
// by 2f+2. With 2f voters only f-1 are, so the only voter that is removed first is one whose disk is
// known to be lost: it can never answer again.
//
// A standby that has caught up gets the vote 2f+2 at once, not only when another host is missing. A host may be removed
// without notice as soon as its successor has caught up, and f disks may be lost in the same moment. Of 2f+2 voters f+1 are left then:
// each entry that was committed is on one of them, and they are a quorum once they know of a lost disk (changelog). See wantedVoters for
// the number.
func (p Policy) Next(v View) (changelog.Membership, string, bool) {
	if next, reason, ok := p.join(v); ok {
		return next, reason, ok
	}
	voterCount, wanted := v.Members.VoterCount(), p.wantedVoters(v)
	if standby, ok := p.bestStandby(v); ok {
		spreads := p.spreads(v, standby)
		standby.Voter = true
		if voterCount < wanted {
			return v.Members.With(standby), "a standby has caught up", true
		}
		if reason, ok := p.replacementReason(v); ok && voterCount == p.TargetVoters {
			return v.Members.With(standby), reason, true
		}
		if voterCount == wanted && spreads {
			return v.Members.With(standby), "a vote moves to a failure domain with fewer", true
		}
	}
	if m, reason, ok := p.voterToRelieve(v, wanted); ok {
		m.Voter = false
		return v.Members.With(m), reason, true
	}
	for _, m := range v.Members {
		if domain := v.Domains[m.ID]; domain != "" && domain != m.Domain {
			// The initial voters know only each other's addresses.
			m.Domain = domain
			return v.Members.With(m), "the failure domain of a host became known", true
		}
	}
	for _, m := range v.Members {
		if m.ID != v.Self && !m.Voter && v.SinceContact[m.ID] >= p.RemoveAfter {
			return v.Members.Without(m.ID), "a standby is silent", true
		}
	}
	return nil, "", false
}

// voterToRelieve returns a voter that should lose its vote, and why, or false if all should keep theirs. With more voters than the target, one
// that is being stopped or silent is of less use than no vote, as it counts for the number that has to agree.
func (p Policy) voterToRelieve(v View, wanted int) (changelog.Member, string, bool) {
	voterCount := v.Members.VoterCount()
	if voterCount <= p.TargetVoters {
		return changelog.Member{}, "", false
	}
	m := p.leastUsefulVoter(v)
	switch {
	case v.Leaving[m.ID]:
		return m, "a voter is being stopped", true
	case m.ID != v.Self && v.SinceContact[m.ID] >= p.ReplaceAfter:
		return m, "a voter is silent", true
	case voterCount > wanted:
		return m, "there is a voter too many", true
	}
	return changelog.Member{}, "", false
}

// CanRelieve reports whether a voter can give up its vote when it is being stopped: there are more voters than the target, or a standby that
// stays can take its place.
func (p Policy) CanRelieve(members changelog.Membership, leaving map[uint64]bool, voter uint64) bool {
	return members.VoterCount() > p.TargetVoters || slices.ContainsFunc(members, func(m changelog.Member) bool {
		return m.ID != voter && !m.Voter && !leaving[m.ID]
	})
}

// replacementReason returns why a standby should take the place of a voter, or false if all voters
// should keep their votes.
func (p Policy) replacementReason(v View) (string, bool) {
	for _, m := range v.Members {
		switch {
		case m.Voter && v.Leaving[m.ID]:
			return "a voter is being stopped and a standby is in contact", true
		case m.Voter && m.ID != v.Self && v.SinceContact[m.ID] >= p.ReplaceAfter:
			return "a voter is silent and a standby is in contact", true
		}
	}
	return "", false
}

// leastUsefulVoter returns the voter to remove when there are too many: one that is being stopped, else
// the one that has been silent for the longest time, else one in the failure domain with the most voters.
func (p Policy) leastUsefulVoter(v View) changelog.Member {
	votersIn := map[string]int{}
	var others []changelog.Member
	for _, m := range v.Members {
		if !m.Voter {
			continue
		}
		votersIn[v.domainOf(m)]++
		if m.ID != v.Self || v.Leaving[m.ID] {
			others = append(others, m)
		}
	}
	silence := func(m changelog.Member) time.Duration {
		if since := v.SinceContact[m.ID]; m.ID != v.Self && since > p.MaxContactAge {
			return since
		}
		return 0
	}
	leaving := func(m changelog.Member) int {
		if v.Leaving[m.ID] {
			return 1
		}
		return 0
	}
	return slices.MaxFunc(others, func(a, b changelog.Member) int {
		return cmp.Or(
			cmp.Compare(leaving(a), leaving(b)), cmp.Compare(silence(a), silence(b)),
			cmp.Compare(votersIn[v.domainOf(a)], votersIn[v.domainOf(b)]), cmp.Compare(a.ID, b.ID),
		)
	})
}

// join returns the membership with a host added that asks for it. A silent member with the same address
// is the earlier identity of a host that has lost its disk, and is removed first. A member in contact runs at the
// address, so the request is one of an earlier identity that arrives late.
func (p Policy) join(v View) (changelog.Membership, string, bool) {
	for _, j := range v.Joining {
		if _, ok := v.Members.Find(j.ID); ok {
			continue
		}
		i := slices.IndexFunc(v.Members, func(m changelog.Member) bool { return m.Address == j.Address })
		if i < 0 {
			j.Voter = false
			return v.Members.With(j), "a host joins", true
		}
		if m := v.Members[i]; m.ID != v.Self && v.SinceContact[m.ID] > p.MaxContactAge {
			return v.Members.Without(m.ID), "a host came back without its disk", true
		}
	}
	return nil, "", false
}

// bestStandby returns a standby that is in contact, has caught up and is not being stopped, preferably in the
// failure domain with the fewest voters that will stay.
func (p Policy) bestStandby(v View) (changelog.Member, bool) {
	votersIn := map[string]int{}
	var caughtUp []changelog.Member
	for _, m := range v.Members {
		switch {
		case !p.canVote(v, m):
		case m.Voter:
			votersIn[v.domainOf(m)]++
		default:
			caughtUp = append(caughtUp, m)
		}
	}
	if len(caughtUp) == 0 {
		return changelog.Member{}, false
	}
	return slices.MinFunc(caughtUp, func(a, b changelog.Member) int {
		return cmp.Or(cmp.Compare(votersIn[v.domainOf(a)], votersIn[v.domainOf(b)]), cmp.Compare(a.ID, b.ID))
	}), true
}
