package voters_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cassiawood/internal/changelog"
	"cassiawood/internal/voters"
)

func TestVoters(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "voters")
}

var policy = voters.Policy{TargetVoters: 3, ReplaceAfter: 2 * time.Second, RemoveAfter: time.Minute, MaxContactAge: time.Second, MaxLag: 16}

func member(id uint64, domain string, voter bool) changelog.Member {
	return changelog.Member{ID: id, Address: "host-" + domain, Domain: domain, Voter: voter}
}

// view returns a view in which every member is in contact and has all entries.
func view(members ...changelog.Member) voters.View {
	v := voters.View{Self: 1, Members: members, SinceContact: map[uint64]time.Duration{}, MatchIndex: map[uint64]uint64{}, CommitIndex: 100}
	for _, m := range members {
		v.MatchIndex[m.ID] = 100
	}
	return v
}

var _ = Describe("Next", func() {
	a, b, c := member(1, "a", true), member(2, "b", true), member(3, "c", true)

	// Guards against membership changes that never end.
	It("keeps a complete membership", func() {
		_, _, ok := policy.Next(view(a, b, c))
		Expect(ok).To(BeFalse())
	})

	// Guards against a second vote in one term by a host that has lost the record of its first vote
	// with its disk.
	It("removes the lost identity of a host, adds its new one as a standby and then makes it a voter", func() {
		v := view(a, b, c)
		v.SinceContact[3] = policy.MaxContactAge + time.Millisecond
		rejoined := changelog.Member{ID: 9, Address: c.Address, Domain: "c", Voter: true}
		v.Joining = []changelog.Member{rejoined}
		next, _, ok := policy.Next(v)
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal(changelog.Membership{a, b}))
		v.Members = next
		next, _, _ = policy.Next(v)
		rejoined.Voter = false
		Expect(next).To(Equal(changelog.Membership{a, b, rejoined}))
		v.Members, v.MatchIndex[9] = next, 10
		_, _, ok = policy.Next(v)
		Expect(ok).To(BeFalse(), "it has not caught up")
		v.MatchIndex[9] = 99
		next, _, _ = policy.Next(v)
		Expect(next.VoterCount()).To(Equal(3))
	})

	// Guards against the removal of a running host by a request to join that another host has handed on late: it
	// came from an identity that the host had before it lost its disk once more.
	It("keeps a member in contact when another identity asks to join at its address", func() {
		v := view(a, b, c)
		v.Joining = []changelog.Member{{ID: 9, Address: c.Address, Domain: "c"}}
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse())
	})

	// Guards against a group that keeps a lost voter, so that one more loss stops it, against a majority that ends with one lost disk
	// while a voter that is only frozen is being replaced, and against a host that is removed without notice, together with a lost disk, before its
	// successor has a vote.
	It("gives a standby that has caught up a vote before any host is missing, and takes the vote of a silent one", func() {
		v := view(a, b, c, member(4, "d", false))
		v.Members, _, _ = policy.Next(v)
		Expect(v.Members).To(Equal(changelog.Membership{a, b, c, member(4, "d", true)}))
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse(), "four voters bear one lost disk and a removed host")
		v.SinceContact[3] = policy.ReplaceAfter - time.Second
		_, _, ok = policy.Next(v)
		Expect(ok).To(BeFalse(), "it may be restarting")
		v.SinceContact[3] = policy.ReplaceAfter
		v.Members, _, _ = policy.Next(v)
		Expect(v.Members).To(Equal(changelog.Membership{a, b, member(3, "c", false), member(4, "d", true)}))
		_, _, ok = policy.Next(v)
		Expect(ok).To(BeFalse())
	})

	// Guards against a site that bears no loss and stops when its second host is down.
	It("keeps one voter where no loss is to be borne, and hands its vote over", func() {
		p := policy
		p.TargetVoters = 1
		v := view(a, member(2, "b", false))
		_, _, ok := p.Next(v)
		Expect(ok).To(BeFalse())
		v.Leaving = map[uint64]bool{1: true}
		v.Members, _, _ = p.Next(v)
		v.Members, _, _ = p.Next(v)
		Expect(v.Members).To(Equal(changelog.Membership{member(1, "a", false), b}))
	})

	// Guards against a lost disk that ends the majority for good after a host has been stopped for its planned
	// replacement: it took its vote with it, while its successor had all entries and no vote.
	It("hands the vote of a host that is being stopped to a standby before the host ends", func() {
		successor := member(4, "a", false)
		v := view(a, b, c, successor)
		v.Self, v.Leaving = 2, map[uint64]bool{1: true}
		v.Members, _, _ = policy.Next(v)
		v.Members, _, _ = policy.Next(v)
		successor.Voter = true
		Expect(v.Members).To(Equal(changelog.Membership{member(1, "a", false), b, c, successor}))
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse())
	})

	// Guards against a leader that keeps its own vote when it is the host that is being stopped.
	It("hands over the vote of the leader too", func() {
		v := view(a, b, c, member(4, "a", false))
		v.Leaving = map[uint64]bool{v.Self: true}
		v.Members, _, _ = policy.Next(v)
		Expect(v.Members.VoterCount()).To(Equal(4))
		v.Members, _, _ = policy.Next(v)
		m, _ := v.Members.Find(v.Self)
		Expect(m.Voter).To(BeFalse())
	})

	// Guards against a vote that goes to a host that is about to end as well, and against fewer voters when
	// nobody can take the place of a host that restarts.
	It("keeps the vote of a host that is being stopped if no standby stays", func() {
		v := view(a, b, c, member(4, "d", false))
		v.Leaving = map[uint64]bool{3: true, 4: true}
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse())
	})

	// Guards against a host that ends with its vote at a planned stop although no standby is needed to take it.
	It("lets a voter that is being stopped give up its vote where there are more than the target", func() {
		four := changelog.Membership{a, b, c, member(4, "d", true)}
		Expect(policy.CanRelieve(four, map[uint64]bool{1: true}, 1)).To(BeTrue())
		v := view(four...)
		v.Leaving = map[uint64]bool{1: true}
		v.Members, _, _ = policy.Next(v)
		Expect(v.Members).To(Equal(changelog.Membership{member(1, "a", false), b, c, member(4, "d", true)}))
		Expect(policy.CanRelieve(changelog.Membership{a, b, c}, map[uint64]bool{1: true}, 1)).To(BeFalse())
		Expect(policy.CanRelieve(changelog.Membership{a, b, c, member(4, "d", false)}, map[uint64]bool{1: true, 4: true}, 1)).To(BeFalse())
	})

	// Guards against more voters than have to be, of which more have to agree.
	It("removes the vote that is one too many, where most voters are", func() {
		v := view(a, b, c, member(4, "b", true), member(5, "d", true))
		v.Members, _, _ = policy.Next(v)
		Expect(v.Members).To(Equal(changelog.Membership{a, b, c, member(4, "b", false), member(5, "d", true)}))
	})

	// Guards against a group that loses a voter without a replacement, so that it tolerates fewer losses.
	It("keeps a silent voter while no standby is in contact", func() {
		v := view(a, b, c, member(4, "d", false))
		v.SinceContact[3], v.SinceContact[4] = time.Hour, 2*time.Second
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse())
	})

	// Guards against a vote that goes to a host that is gone: right after an election contact is only assumed, and while the log is short
	// nobody is too far behind.
	It("gives no vote to a standby that has not answered the leader", func() {
		v := view(a, b, c, member(4, "d", false))
		v.SinceContact[3], v.MatchIndex[4], v.CommitIndex = policy.ReplaceAfter, 0, 10
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse())
		v.MatchIndex[4] = 1
		_, _, ok = policy.Next(v)
		Expect(ok).To(BeTrue())
	})

	// Guards against the loss of the majority together with one failure domain.
	It("spreads the voters over failure domains", func() {
		v := view(a, b, member(5, "a", false), member(6, "c", false))
		next, _, _ := policy.Next(v)
		m, _ := next.Find(6)
		Expect(m.Voter).To(BeTrue())
	})

	// Guards against votes that stay together after hosts have been replaced, or from the first start: the loss of one failure domain would end the
	// majority. They move only while all hosts are in contact, and never leave fewer of them.
	It("spreads the votes again, one at a time", func() {
		e, f := member(5, "d", false), member(6, "a", false)
		v := view(a, member(2, "a", true), c, member(4, "a", true), e, f)
		v.SinceContact[5] = policy.MaxContactAge + 1
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse(), "a host that is out of contact takes no vote")
		v.SinceContact[5] = 0
		v.SinceContact[3] = policy.MaxContactAge + 1
		_, _, ok = policy.Next(v)
		Expect(ok).To(BeFalse(), "it is not calm")
		v.SinceContact[3] = 0
		domains := func() map[string]int {
			in := map[string]int{}
			for _, m := range v.Members {
				if m.Voter {
					in[m.Domain]++
				}
			}
			return in
		}
		v.Members, _, ok = policy.Next(v)
		Expect(ok).To(BeTrue())
		Expect(v.Members.VoterCount()).To(Equal(5))
		for ok {
			var next changelog.Membership
			if next, _, ok = policy.Next(v); ok {
				v.Members = next
			}
		}
		Expect(domains()["a"]).To(BeNumerically("<=", 2))
		Expect(domains()).To(HaveLen(3))
	})

	// Guards against a failure domain whose loss ends the majority because one vote more than 2f+1 gave it half of the votes.
	DescribeTable("takes as many votes as the loss of a failure domain allows", func(domains string, want int) {
		v := view()
		for i, domain := range domains {
			v.Members = v.Members.With(member(uint64(i+1), string(domain), i < 3))
			v.MatchIndex[uint64(i+1)] = 100
		}
		for range 20 {
			next, _, ok := policy.Next(v)
			if !ok {
				break
			}
			v.Members = next
		}
		Expect(v.Members.VoterCount()).To(Equal(want))
	},
		Entry("no host more", "abc", 3), Entry("four domains", "abcd", 4), Entry("a successor in one of three domains", "abca", 4),
		Entry("two hosts in each of three domains", "aabbcc", 5), Entry("two in two of three", "aabbc", 5), Entry("many in four", "aabbccdd", 4),
	)

	// Guards against a membership that grows with each host that is replaced.
	It("removes a standby that stays silent", func() {
		v := view(a, b, c, member(4, "d", false))
		v.SinceContact[4] = 2 * time.Minute
		next, _, _ := policy.Next(v)
		Expect(next).To(Equal(changelog.Membership{a, b, c}))
	})

	// Guards against voters whose failure domains stay unknown, so that they cannot be spread.
	It("updates failure domains that the hosts report", func() {
		withoutDomain := b
		withoutDomain.Domain = ""
		v := view(a, withoutDomain, c)
		v.Domains = map[uint64]string{2: "b"}
		next, _, _ := policy.Next(v)
		Expect(next).To(Equal(changelog.Membership{a, b, c}))
	})
})

// Guards against a step of a membership change at which fewer lost disks than before end the majority. Only
// the removal of a disk that is lost already may take such a step: its vote is not given any more either way.
func TestChangesKeepTheToleratedLosses(t *testing.T) {
	tolerated := func(ms changelog.Membership) int { return (ms.VoterCount() - 1) / 2 }
	rapid.Check(t, func(t *rapid.T) {
		p := policy
		p.TargetVoters = rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "target")
		v := view()
		v.Leaving = map[uint64]bool{}
		for id := range uint64(rapid.IntRange(1, 8).Draw(t, "members")) {
			m := member(id+1, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), id == 0 || rapid.Bool().Draw(t, "voter"))
			v.Members = v.Members.With(m)
			v.MatchIndex[m.ID] = uint64(rapid.SampledFrom([]int{10, 100}).Draw(t, "match"))
		}
		for range 12 {
			id := uint64(rapid.IntRange(1, len(v.Members)).Draw(t, "host"))
			v.SinceContact[id] = rapid.SampledFrom([]time.Duration{0, 1500 * time.Millisecond, time.Minute}).Draw(t, "silence")
			v.Leaving[id] = rapid.Bool().Draw(t, "leaving")
			next, reason, ok := p.Next(v)
			if !ok {
				continue
			}
			if before, after := tolerated(v.Members), tolerated(next); after < min(before, (p.TargetVoters-1)/2) {
				t.Fatalf("%d lost disks tolerated, %d before (%s):\n%+v\n%+v", after, before, reason, v.Members, next)
			}
			v.Members = next
		}
	})
}

// Guards against a host that is removed without notice once its successor has caught up, together with as many lost disks as are
// tolerated, after which the hosts that are left have no quorum (changelog: a majority, or half of an even number after a lost disk).
func TestRemovalAndLostDisksLeaveAQuorum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := policy
		p.TargetVoters = rapid.SampledFrom([]int{3, 5, 7}).Draw(t, "target")
		losses := (p.TargetVoters - 1) / 2
		v := view()
		for id := range uint64(rapid.IntRange(p.TargetVoters+1, 12).Draw(t, "members")) {
			m := member(id+1, rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"), int(id) < p.TargetVoters)
			v.Members, v.MatchIndex[m.ID] = v.Members.With(m), 100
		}
		for {
			next, _, ok := p.Next(v)
			if !ok {
				break
			}
			v.Members = next
		}
		order := rapid.Permutation(v.Members).Draw(t, "order")
		left, voterCount, hasLostVoter := 0, v.Members.VoterCount(), false
		for i, m := range order {
			hasLostVoter = hasLostVoter || m.Voter && i >= 1 && i <= losses
			if m.Voter && i > losses {
				left++
			}
		}
		needed := voterCount/2 + 1
		if voterCount%2 == 0 && hasLostVoter {
			needed = voterCount / 2
		}
		if left < needed {
			t.Fatalf("%d of %d voters are left, %d are needed", left, voterCount, needed)
		}
	})
}
