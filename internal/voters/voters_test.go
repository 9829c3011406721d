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

var policy = voters.Policy{Voters: 3, ReplaceAfter: 3 * time.Second, RemoveAfter: time.Minute, ContactAge: time.Second, Lag: 16}

func member(id uint64, domain string, voter bool) changelog.Member {
	return changelog.Member{ID: id, Address: "host-" + domain, Domain: domain, Voter: voter}
}

func view(members ...changelog.Member) voters.View {
	v := voters.View{Self: 1, Members: members, Silence: map[uint64]time.Duration{}, Match: map[uint64]uint64{}, Commit: 100}
	for _, m := range members {
		v.Match[m.ID] = 100
	}
	return v
}

var _ = Describe("Next", func() {
	a, b, c := member(1, "a", true), member(2, "b", true), member(3, "c", true)

	It("leaves a whole membership alone", func() {
		_, _, ok := policy.Next(view(a, b, c))
		Expect(ok).To(BeFalse())
	})

	// Guards against a vote by a disk that has forgotten what it promised.
	It("removes the lost identity of a host first, then adds the new one as a standby, then lets it vote", func() {
		v := view(a, b, c)
		fresh := changelog.Member{ID: 9, Address: c.Address, Domain: "c", Voter: true}
		v.Joining = []changelog.Member{fresh}
		next, _, ok := policy.Next(v)
		Expect(ok).To(BeTrue())
		Expect(next).To(Equal(changelog.Membership{a, b}))
		v.Members = next
		next, _, _ = policy.Next(v)
		fresh.Voter = false
		Expect(next).To(Equal(changelog.Membership{a, b, fresh}))
		v.Members, v.Match[9] = next, 10
		_, _, ok = policy.Next(v)
		Expect(ok).To(BeFalse(), "it has not caught up")
		v.Match[9] = 99
		next, _, _ = policy.Next(v)
		Expect(next.VoterCount()).To(Equal(3))
	})

	// Guards against a group that stays one loss away from standing still.
	It("replaces a voter that is silent by a standby in contact", func() {
		v := view(a, b, c, member(4, "d", false))
		v.Silence[3] = 2 * time.Second
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse(), "it may only have been restarted")
		v.Silence[3] = 4 * time.Second
		next, _, _ := policy.Next(v)
		Expect(next.VoterCount()).To(Equal(2))
		v.Members = next
		next, _, _ = policy.Next(v)
		m, _ := next.Find(4)
		Expect(m.Voter).To(BeTrue())
	})

	It("keeps a silent voter while no standby is in contact", func() {
		v := view(a, b, c, member(4, "d", false))
		v.Silence[3], v.Silence[4] = time.Hour, 2*time.Second
		_, _, ok := policy.Next(v)
		Expect(ok).To(BeFalse())
	})

	It("spreads voters over failure domains", func() {
		v := view(a, b, member(5, "a", false), member(6, "c", false))
		next, _, _ := policy.Next(v)
		m, _ := next.Find(6)
		Expect(m.Voter).To(BeTrue())
	})

	It("forgets a standby that is gone", func() {
		v := view(a, b, c, member(4, "d", false))
		v.Silence[4] = 2 * time.Minute
		next, _, _ := policy.Next(v)
		Expect(next).To(Equal(changelog.Membership{a, b, c}))
	})

	It("takes over failure domains that the hosts tell", func() {
		nameless := b
		nameless.Domain = ""
		v := view(a, nameless, c)
		v.Domains = map[uint64]string{2: "b"}
		next, _, _ := policy.Next(v)
		Expect(next).To(Equal(changelog.Membership{a, b, c}))
	})
})
