package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
)

var _ = Describe("a first start that was interrupted", func() {
	seeds := []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}
	// start returns the host at the first seed. hasIdentity says that its disk makes it a first voter.
	start := func(hasIdentity bool) *stateHarness {
		h := newStateHarness()
		h.seeds = seeds
		if h.self.ID = 7; hasIdentity {
			h.self.ID = firstIdentity(seeds[0])
		}
		return h
	}
	// wait lets time pass in which the hosts at the addresses ask to join with other identities.
	wait := func(h *stateHarness, d time.Duration, joining ...string) {
		GinkgoHelper()
		for range d / joinInterval {
			h.advance(joinInterval)
			for i, address := range joining {
				h.handleEvent(joinRequest{member: changelog.Member{ID: uint64(100 + i), Address: address}})
			}
		}
	}
	get := func(h *stateHarness) error {
		GinkgoHelper()
		reply := newReply()
		h.handleEvent(getDesired{reply: reply})
		return singleAnswer(reply).err
	}
	put := func(h *stateHarness) error {
		GinkgoHelper()
		reply := newReply()
		h.handleEvent(putDesired{desired: desired(1), reply: reply})
		return singleAnswer(reply).err
	}

	// Guards against a system that never begins to work and says nothing but that it is out of contact (review/12).
	DescribeTable("is named with what an operator has to do", func(hasIdentity bool, joining ...string) {
		h := start(hasIdentity)
		wait(h, 2*interruptedStartAfter, joining...)
		for _, err := range []error{get(h), put(h)} {
			Expect(err).To(MatchError(errInterrupted))
			Expect(err).To(MatchError(ErrUnavailable), "callers try again")
			Expect(err).To(MatchError(ContainSubstring("empty their data folders")))
			Expect(err).To(MatchError(ContainSubstring(seeds[1])))
		}
		Expect(h.metrics.interruptedStart.Value()).To(BeNumerically(">=", 2))
	},
		Entry("at a host without an identity", false, seeds[1]),
		Entry("at the only host with an identity", true, seeds[1], seeds[2]),
		Entry("at a host when no seed has one", false, seeds[1], seeds[2]),
	)

	// Guards against an alarm while the system can still start, or has started.
	DescribeTable("is not assumed", func(happen func(h *stateHarness) *stateHarness) {
		h := happen(start(true))
		Expect(get(h)).NotTo(MatchError(errInterrupted))
		Expect(h.metrics.interruptedStart.Value()).To(BeZero())
	},
		Entry("when a majority of the seeds has an identity", func(h *stateHarness) *stateHarness {
			wait(h, 2*interruptedStartAfter, seeds[1])
			return h
		}),
		Entry("when others than seeds join", func(h *stateHarness) *stateHarness {
			wait(h, 2*interruptedStartAfter, "127.0.0.1:4", "127.0.0.1:5")
			return h
		}),
		Entry("before an election could have ended", func(h *stateHarness) *stateHarness {
			wait(h, interruptedStartAfter-time.Second, seeds[1], seeds[2])
			return h
		}),
		Entry("when the seeds ask no more", func(h *stateHarness) *stateHarness {
			wait(h, 2*interruptedStartAfter, seeds[1], seeds[2])
			wait(h, joinRequestAge+time.Second)
			return h
		}),
		Entry("when a leader is heard", func(h *stateHarness) *stateHarness {
			wait(h, 2*interruptedStartAfter, seeds[1], seeds[2])
			h.handleEvent(statusChanged{changelog.Status{Leader: 2, Term: 1, LastContact: h.time, Members: changelog.Membership{{ID: 2, Address: seeds[1], Voter: true}}}})
			h.handleEvent(tick{})
			return h
		}),
	)
})
