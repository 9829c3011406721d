package voters

import (
	"fmt"
	"slices"

	"cassiawood/internal/changelog"
)

// wantedVoters returns the number of voters that the members which can vote now should have.
//
// One more than the target bears a host that is removed without notice together with the tolerated lost disks. If a failure domain would have half of them, its
// loss would leave no majority, so two more are taken where there are enough members. Where neither is possible the
// lost disks count more: a failure domain comes back.
func (p Policy) wantedVoters(v View) int {
	if p.TargetVoters < 3 {
		return p.TargetVoters // two voters would bear no more than one, and stop when either of them is down
	}
	membersIn := map[string]int{}
	eligible := 0
	for _, m := range v.Members {
		if p.canVote(v, m) {
			membersIn[v.domainOf(m)]++
			eligible++
		}
	}
	for n := p.TargetVoters + 1; n <= min(p.TargetVoters+2, eligible); n++ {
		if n-largestShare(membersIn, n) > n/2 {
			return n
		}
	}
	return max(p.TargetVoters, min(p.TargetVoters+1, eligible))
}

// canVote reports whether a member is a voter that should stay, or a standby that can become one.
func (p Policy) canVote(v View, m changelog.Member) bool {
	if v.Leaving[m.ID] {
		return false
	}
	if m.Voter {
		return m.ID == v.Self || v.SinceContact[m.ID] < p.ReplaceAfter
	}
	return p.isCaughtUp(v, m)
}

// isCaughtUp reports whether a standby is in contact and has the log up to a few entries. Without an answer to this leader the contact is
// only assumed.
func (p Policy) isCaughtUp(v View, m changelog.Member) bool {
	match := v.MatchIndex[m.ID]
	return v.SinceContact[m.ID] <= p.MaxContactAge && match > 0 && match+p.MaxLag >= v.CommitIndex
}

// largestShare returns how many of n voters the failure domain with the most of them has, if they are spread as evenly as the members allow.
func largestShare(membersIn map[string]int, n int) int {
	for share := 1; ; share++ {
		count := 0
		for _, members := range membersIn {
			count += min(members, share)
		}
		if count >= n || share >= n {
			return share
		}
	}
}

// domainOf returns the failure domain of a member. One that is not known yet counts as a domain of its own.
func (v View) domainOf(m changelog.Member) string {
	switch {
	case v.Domains[m.ID] != "":
		return v.Domains[m.ID]
	case m.Domain != "":
		return m.Domain
	}
	return fmt.Sprint("unknown ", m.ID)
}

// spreads reports whether a vote for the standby, in place of one in the failure domain with the most voters, spreads the votes over more domains. Votes
// move only while all voters are in contact and none is being stopped.
func (p Policy) spreads(v View, standby changelog.Member) bool {
	votersIn := map[string]int{}
	most := 0
	for _, m := range v.Members {
		if !m.Voter {
			continue
		}
		if v.Leaving[m.ID] || m.ID != v.Self && v.SinceContact[m.ID] > p.MaxContactAge {
			return false
		}
		votersIn[v.domainOf(m)]++
		most = max(most, votersIn[v.domainOf(m)])
	}
	return most-votersIn[v.domainOf(standby)] >= 2 && !slices.ContainsFunc(v.Members, func(m changelog.Member) bool { return v.Domains[m.ID] != "" && v.Domains[m.ID] != m.Domain })
}
