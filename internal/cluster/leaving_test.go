package cluster

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

// stopHost sends a stopping event and returns for how many requests and votes the host waits.
func stopHost(h *stateHarness) int {
	GinkgoHelper()
	reply := ring.New[int]("reply", 1, ring.DropNewest)
	h.handleEvent(stopping{reply: reply})
	n, err := reply.Get()
	Expect(err).NotTo(HaveOccurred())
	return n
}

// proposedMemberships returns the membership changes that the host has proposed since the last call.
func proposedMemberships(h *stateHarness) []changelog.Membership {
	var list []changelog.Membership
	for h.logInbox.Depth() > 0 {
		e, _ := h.logInbox.Get()
		if p, ok := e.(replica.ProposeMembers); ok {
			list = append(list, p.Members)
		}
	}
	return list
}

var _ = Describe("a control host that is stopped", func() {
	// members returns three voters and the successor of the first one, which has all entries.
	members := func() changelog.Membership {
		return changelog.Membership{
			{ID: 1, Address: "127.0.0.1:1", Domain: "a", Voter: true},
			{ID: 2, Address: "127.0.0.1:2", Domain: "b", Voter: true},
			{ID: 3, Address: "127.0.0.1:3", Domain: "c", Voter: true},
			{ID: 4, Address: "127.0.0.1:4", Domain: "a"},
		}
	}
	status := func(h *stateHarness, leader uint64, ms changelog.Membership, changing bool) changelog.Status {
		s := changelog.Status{ID: 1, Leader: leader, Term: 1, LastContact: h.time, Members: ms, MembershipChanging: changing}
		if leader == 1 {
			s.Role, s.MatchIndex, s.MemberContact = changelog.Leader, map[uint64]uint64{}, map[uint64]time.Duration{}
			for _, m := range ms {
				s.MatchIndex[m.ID], s.MemberContact[m.ID] = 9, h.time
			}
		}
		return s
	}

	// Guards against a host that takes its vote with it: its successor has all entries, but no vote, and one lost
	// disk ends the majority for good. The message may be lost, so it is sent until the host has stopped.
	It("says so until its vote has been handed over", func() {
		h := newStateHarness()
		h.handleEvent(statusChanged{status(h, 2, members(), false)})
		Expect(stopHost(h)).To(Equal(1))
		saidStopping := func() int {
			count := 0
			for h.linksInbox.Depth() > 0 {
				e, _ := h.linksInbox.Get()
				if b, ok := e.(broadcast); ok && b.envelope.GetEndpointUpdate().GetStopping() {
					Expect(b.envelope.GetEndpointUpdate().GetFromId()).To(Equal(uint64(1)))
					count++
				}
			}
			return count
		}
		Expect(saidStopping()).To(Equal(1), "at once")
		h.advance(2 * signOfLifeInterval)
		Expect(saidStopping()).To(Equal(2), "and again")

		handedOver := members()
		handedOver[0].Voter, handedOver[3].Voter = false, true
		h.handleEvent(statusChanged{status(h, 2, handedOver, true)})
		Expect(stopHost(h)).To(Equal(1), "the change may still be lost")
		h.handleEvent(statusChanged{status(h, 2, handedOver, false)})
		Expect(stopHost(h)).To(BeZero())
	})

	// Guards against a restart that waits for a vote that nobody can take.
	It("does not wait where there is no standby", func() {
		h := newStateHarness()
		h.handleEvent(statusChanged{status(h, 2, members()[:3], false)})
		Expect(stopHost(h)).To(BeZero())
	})

	// Guards against the time between the two changes, in which the group bears no more losses than before
	// but a standby has a vote that it may lose again.
	It("is replaced by the leader in two changes, one right after the other", func() {
		h := newStateHarness()
		h.handleEvent(statusChanged{status(h, 1, members(), false)})
		h.time += time.Second
		h.handleEvent(statusChanged{status(h, 1, members(), false)})
		h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{From: "127.0.0.1:2", FromId: 2, FromDomain: "b", Stopping: true}})
		promoted := proposedMemberships(h)
		Expect(promoted).To(HaveLen(1))
		Expect(promoted[0].VoterCount()).To(Equal(4))
		h.handleEvent(statusChanged{status(h, 1, promoted[0], true)})
		Expect(proposedMemberships(h)).To(BeEmpty(), "the first change is not committed")
		h.handleEvent(statusChanged{status(h, 1, promoted[0], false)})
		demoted := proposedMemberships(h)
		Expect(demoted).To(HaveLen(1))
		m, _ := demoted[0].Find(2)
		Expect(m.Voter).To(BeFalse())
		Expect(demoted[0].VoterCount()).To(Equal(3))
	})

	// Guards against endpoints that are sent to a control host that refuses their reports.
	It("gets no endpoints any more", func() {
		h := newStateHarness()
		h.handleEvent(statusChanged{status(h, 2, members(), false)})
		update := &wirepb.EndpointUpdate{From: "127.0.0.1:2", FromId: 2, FromDomain: "b"}
		h.handleEvent(peerUpdate{update})
		e := endpoint(5)
		e.Domain = "b"
		Expect(h.reportAddress(e)).To(Equal("127.0.0.1:2"))
		update.Stopping = true
		h.handleEvent(peerUpdate{update})
		h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{From: "127.0.0.1:2", Demand: []*wirepb.Demand{{Service: "desk", Domain: "b", Flows: 1}}}})
		e.ID = 6
		Expect(h.reportAddress(e)).To(Equal(h.self.Address))
	})
})

var _ = Describe("a standby that was removed", func() {
	// Guards against a host that is cut off for more than a minute and never takes part again: no leader sends it
	// anything any more, and it takes the last one that it knew for its leader.
	It("asks to join when it has not heard the leader", func() {
		h := newStateHarness()
		members := changelog.Membership{{ID: 1, Address: "127.0.0.1:1"}, {ID: 2, Address: "127.0.0.1:2", Voter: true}}
		h.handleEvent(statusChanged{changelog.Status{ID: 1, Leader: 2, Term: 1, LastContact: h.time, Members: members}})
		joinRequests := func() int {
			count := 0
			for h.linksInbox.Depth() > 0 {
				e, _ := h.linksInbox.Get()
				if s, ok := e.(sendTo); ok && s.envelope.GetJoinRequest() != nil {
					count++
				}
			}
			return count
		}
		h.advance(maxContactAge)
		Expect(joinRequests()).To(BeZero(), "the leader may still be there")
		h.advance(2 * time.Second)
		Expect(joinRequests()).To(BeNumerically(">=", 3))
	})
})

var _ = Describe("a control host without its disk", func() {
	// Guards against a host that never takes part again because all its seeds have been replaced for good, so that one
	// more lost disk ends the majority. The others still send to its address.
	It("asks the hosts that it hears to join", func() {
		h := newStateHarness()
		h.seeds = []string{"127.0.0.1:1", "127.0.0.1:8"}
		h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{From: "127.0.0.1:7", FromId: 7, FromDomain: "b"}})
		h.advance(joinInterval)
		asked := map[string]bool{}
		for h.linksInbox.Depth() > 0 {
			e, _ := h.linksInbox.Get()
			if s, ok := e.(sendTo); ok && s.envelope.GetJoinRequest() != nil {
				asked[s.address] = true
			}
		}
		Expect(asked).To(Equal(map[string]bool{"127.0.0.1:7": true, "127.0.0.1:8": true}))
	})
})
