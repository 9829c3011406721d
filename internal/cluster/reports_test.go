package cluster

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cassiawood/internal/changelog"
	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// implausible returns the message for an endpoint that no backend server can have reported.
func implausible(id uint64) *wirepb.EndpointReport {
	report := wire.EndpointReportToProto(endpoint(id), 0)
	report.Slots = math.MaxUint32
	return report
}

var _ = Describe("invalid entries", func() {
	// Guards against a control host that starts without endpoints because an earlier build saved one
	// entry that is invalid now.
	It("of the saved registry are left out", func() {
		data, err := proto.Marshal(&wirepb.EndpointUpdate{Reports: []*wirepb.EndpointReport{
			wire.EndpointReportToProto(endpoint(1), 0), implausible(2), wire.EndpointReportToProto(endpoint(3), 0),
		}})
		Expect(err).NotTo(HaveOccurred())
		r := registry.New(registry.Limits{SilentAfter: time.Second, ForgetAfter: time.Minute})
		Expect(loadRegistry(r, data, time.Hour, time.Second)).To(MatchError(ContainSubstring("i-2")))
		Expect(r.Len()).To(Equal(2))
	})

	// Guards against an entry that another control host, of an earlier build, has accepted.
	It("of another control host change nothing", func() {
		h := newStateHarness()
		h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{Reports: []*wirepb.EndpointReport{implausible(2), wire.EndpointReportToProto(endpoint(3), 0)}}})
		Expect(h.registry.All()).To(HaveLen(1))
	})
})

var _ = Describe("failure domains of members", func() {
	// Guards against memory that grows with each host that has ever been a member.
	It("are forgotten when the host leaves", func() {
		h := newStateHarness().becomeLeader()
		for id := uint64(1); id <= 3; id++ {
			h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{FromId: id, FromDomain: "a"}})
		}
		members := changelog.Membership{{ID: 1, Address: "127.0.0.1:1", Voter: true}, {ID: 3, Address: "127.0.0.1:3", Voter: true}}
		h.handleEvent(statusChanged{changelog.Status{ID: 1, Role: changelog.Leader, Leader: 1, Term: 1, Members: members}})
		Expect(h.memberDomains).To(HaveLen(2))
		Expect(h.memberDomains).To(HaveKey(uint64(3)))
	})
})

var _ = Describe("saved registry", func() {
	// Guards against new flows to an endpoint that left just before all control hosts were killed: they read
	// the registry of before from their disks.
	It("contains soon that an endpoint has left", func() {
		h := newStateHarness()
		h.handleEvent(endpointReported{endpoint: endpoint(1), reply: newReply()})
		h.advance(registrySaveInterval)
		_, err := h.registrySnapshots.Get()
		Expect(err).NotTo(HaveOccurred())
		h.handleEvent(endpointReported{endpoint: registry.Endpoint{ID: 1, State: registry.Gone}, reply: newReply()})
		h.advance(2 * leaveSaveInterval)
		Expect(h.registrySnapshots.Depth()).To(Equal(1))
		saved, err := h.registrySnapshots.Get()
		Expect(err).NotTo(HaveOccurred())
		r := registry.New(registry.Limits{SilentAfter: time.Second, ForgetAfter: time.Minute})
		Expect(loadRegistry(r, saved, h.time, time.Second)).To(Succeed())
		e, _ := r.Get(1)
		Expect(e.AcceptsFlows()).To(BeFalse())
		_, _ = r.Tick(h.time + time.Second) // silent
		e, _ = r.Get(1)
		Expect(e.HasLeft()).To(BeTrue())
	})
})

// deliver hands the messages of a host to another one.
func deliver(from, to *stateHarness) {
	GinkgoHelper()
	for from.linksInbox.Depth() > 0 {
		e, err := from.linksInbox.Get()
		Expect(err).NotTo(HaveOccurred())
		switch e := e.(type) {
		case broadcast:
			to.handleEvent(peerUpdate{e.envelope.GetEndpointUpdate()})
		case sendTo:
			if u := e.envelope.GetEndpointUpdate(); u != nil && e.address == to.self.Address {
				to.handleEvent(peerUpdate{u})
			}
		}
	}
}

var _ = Describe("a late removal report of an earlier incarnation", func() {
	// Guards against resets of the flows of a running endpoint: the other control hosts took the removal report
	// for one of the running incarnation, for good.
	It("ends the running one at no control host", func() {
		one, other := newStateHarness(), newStateHarness()
		e := endpoint(1)
		for range 8 {
			e.Seq++
			one.handleEvent(endpointReported{endpoint: e, reply: newReply()})
			if e.Seq == 3 {
				one.handleEvent(endpointReported{endpoint: registry.Endpoint{ID: 1, State: registry.Gone}, reply: newReply()})
			}
			for range 24 { // 1.2 s
				for _, h := range []*stateHarness{one, other} {
					h.advance(50 * time.Millisecond)
				}
				deliver(one, other)
				for _, h := range []*stateHarness{one, other} {
					known, _ := h.registry.Get(1)
					Expect(known.HasLeft()).To(BeFalse())
				}
			}
		}
		for _, h := range []*stateHarness{one, other} {
			known, _ := h.registry.Get(1)
			Expect(known.AcceptsFlows()).To(BeTrue())
		}
	})
})

var _ = Describe("planned stop", func() {
	// stop sends a stopping event and returns the number of requests in progress.
	stop := func(h *stateHarness, final bool) int {
		GinkgoHelper()
		reply := ring.New[int]("reply", 1, ring.DropNewest)
		h.handleEvent(stopping{final: final, reply: reply})
		n, err := reply.Get()
		Expect(err).NotTo(HaveOccurred())
		return n
	}

	// Guards against operators whose change was accepted just before the stop and who get no answer.
	It("answers the requests in progress and refuses new ones", func() {
		h := newStateHarness().becomeLeader()
		put, get := newReply(), newReply()
		h.handleEvent(putDesired{desired(7), put})
		h.handleEvent(getDesired{get})
		Expect(stop(h, false)).To(Equal(2))

		late := newReply()
		h.handleEvent(putDesired{desired(8), late})
		Expect(singleAnswer(late).err).To(MatchError(errStopping))
		h.handleEvent(getDesired{late})
		Expect(singleAnswer(late).err).To(MatchError(errStopping))
		h.handleEvent(endpointReported{endpoint: endpoint(1), reply: late})
		Expect(singleAnswer(late).err).To(MatchError(errStopping))

		h.commit(desired(7))
		Expect(singleAnswer(put).err).NotTo(HaveOccurred())
		Expect(stop(h, false)).To(Equal(1))
		Expect(stop(h, true)).To(BeZero())
		Expect(singleAnswer(get).err).To(MatchError(ErrUnavailable))
	})
})
