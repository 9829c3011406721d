package voters_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
	"cassiawood/internal/voters"
)

func TestVoters(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "voters")
}

var policy = voters.Policy{TargetVoters: 3, ReplaceAfter: 3 * time.Second, RemoveAfter: time.Minute, MaxContactAge: time.Second, MaxLag: 16}

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

	// Guards against a group that keeps a lost voter, so that one more loss stops it.
	It("replaces a silent voter by a standby in contact", func() {
		v := view(a, b, c, member(4, "d", false))
		v.SinceContact[3] = 2 * time.Second
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse(), "it may be restarting")
		v.SinceContact[3] = 4 * time.Second
		next, _, _ := policy.Next(v)
		Expect(next.VoterCount()).To(Equal(2))
		v.Members = next
		next, _, _ = policy.Next(v)
		m, _ := next.Find(4)
		Expect(m.Voter).To(BeTrue())
	})

	// Guards against a group that loses a voter without a replacement, so that it tolerates fewer losses.
	It("keeps a silent voter while no standby is in contact", func() {
		v := view(a, b, c, member(4, "d", false))
		v.SinceContact[3], v.SinceContact[4] = time.Hour, 2*time.Second
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse())
	})

	// Guards against the loss of the majority together with one failure domain.
	It("spreads the voters over failure domains", func() {
		v := view(a, b, member(5, "a", false), member(6, "c", false))
		next, _, _ := policy.Next(v)
		m, _ := next.Find(6)
		Expect(m.Voter).To(BeTrue())
	})

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
