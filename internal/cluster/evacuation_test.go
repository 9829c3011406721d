package cluster

import (
	"bytes"
	"context"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"cassiawood/internal/changelog"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// runEvacuation plays a scenario with several seeds, some seconds after the first start of five hosts. The orders must be in force everywhere
// some seconds after its end.
func runEvacuation(t *testing.T, scenario func(s *simulation, leader *simHost)) {
	RegisterTestingT(t)
	for seed := range uint64(20) {
		s := newSimulation(seed, 5)
		Expect(s.run(3 * time.Second)).To(Succeed())
		scenario(s, s.leader())
		Expect(s.run(simSettle)).To(Succeed())
		for _, o := range s.orders {
			Expect(o.begunAt > 0 && !o.acked).To(BeFalse(), "seed %d: an order for %s was not acknowledged", seed, o.order.Domain)
			Expect(o.check(s.hosts, simCatchUp)).To(Succeed(), "seed %d", seed)
		}
		if t.Failed() {
			t.Log(s.trace)
			return
		}
	}
}

// Guards against an order that is refused as one for an unknown domain, in the moment between the removal of a host that has lost its disk and
// its return: its domain had no other host and no endpoint.
func TestOrdersWhileHostReturnsWithoutDisk(t *testing.T) {
	RegisterTestingT(t)
	for seed := range uint64(20) {
		s := newSimulation(seed, 3)
		Expect(s.run(3 * time.Second)).To(Succeed())
		Expect(s.replace(s.hosts[1], false)).To(Succeed())
		restart := s.fault("lost disk", s.hosts[2])
		Expect(s.run(100 * time.Millisecond)).To(Succeed())
		Expect(restart()).To(Succeed())
		for end := s.now + 5*time.Second; s.now < end; {
			for _, o := range s.orders {
				if !o.inProgress() {
					o.give(s.orderRNG.IntN(2) == 0)
				}
			}
			Expect(s.run(simStep)).To(Succeed(), "seed %d", seed)
		}
	}
}

func (s *simulation) leader() *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.state != nil && !h.cut && !h.frozen && h.state.isLeader() })
	Expect(i).To(BeNumerically(">=", 0), "there is no leader")
	return s.hosts[i]
}

// runUntil lets time pass until the condition holds.
func (s *simulation) runUntil(condition func() bool) {
	for end := s.now + 5*time.Second; !condition(); {
		Expect(s.now).To(BeNumerically("<", end))
		Expect(s.run(simStep)).To(Succeed())
	}
}

// callOnce sends one order to a host and returns the call.
func (o *simOrders) callOnce(h *simHost, begins bool) *simCall {
	o.give(begins)
	Expect(o.callHost(h)).To(Succeed())
	return o.call
}

// TestOrderSurvivesItsLeader guards against an order that is lost when the leader is killed or loses power at any moment between storing and
// acknowledging it, and against one that waits longer than the election lasts.
func TestOrderSurvivesItsLeader(t *testing.T) {
	for _, closesConnections := range []bool{false, true} {
		runEvacuation(t, func(s *simulation, leader *simHost) {
			o := s.orders[0]
			o.callOnce(leader, true)
			Expect(s.run(time.Duration(s.orderRNG.IntN(5)) * simStep)).To(Succeed())
			leader.end(closesConnections)
			s.runUntil(func() bool {
				return o.acked || slices.ContainsFunc(s.hosts, func(h *simHost) bool { return h.state != nil && h.state.isLeader() })
			})
			electedAt := s.now
			s.runUntil(func() bool { return o.acked })
			Expect(s.now - electedAt).To(BeNumerically("<=", 300*time.Millisecond))
			leader.start()
		})
	}
}

// TestOrderWithoutMajority guards against a leader that acknowledges an order that the majority does not know, or keeps one that it has
// refused and puts it in force when the partition ends.
func TestOrderWithoutMajority(t *testing.T) {
	runEvacuation(t, func(s *simulation, leader *simHost) {
		leader.cut = true
		Expect(s.run(leaderSilence + time.Duration(s.orderRNG.IntN(2000))*time.Millisecond)).To(Succeed())
		o := &simOrders{s: s, order: routing.EvacuationOrder{Domain: "a"}}
		call := o.callOnce(leader, true)
		s.runUntil(func() bool { return call.event.reply.Depth() > 0 })
		a, _ := call.event.reply.Get()
		Expect(a.err).To(MatchError(ErrUnavailable))
		leader.cut = false
		Expect(s.run(simSettle)).To(Succeed())
		for _, h := range s.hosts {
			Expect(h.state.routes.Evacuations().Domains).To(BeEmpty())
		}
	})
}

// TestOrdersSurviveLossOfPower guards against an order that is acknowledged before a majority has stored it. It also evacuates all domains at
// once, since two orders in progress must not replace each other, and repeats an order, which must not be refused.
func TestOrdersSurviveLossOfPower(t *testing.T) {
	runEvacuation(t, func(s *simulation, _ *simHost) {
		for range 2 {
			for _, o := range s.orders {
				o.give(true)
			}
			s.runUntil(func() bool { return s.orders[0].acked && s.orders[1].acked && s.orders[2].acked })
			for _, o := range s.orders {
				Expect(o.took).To(BeNumerically("<=", 300*time.Millisecond))
			}
		}
		for _, h := range s.hosts {
			h.end(false)
		}
		Expect(s.run(time.Second)).To(Succeed())
		for _, h := range s.hosts {
			h.start()
		}
		s.orders[1].give(false)
	})
}

// TestDelayedCopyOfOrder guards against an order that waits in a paused host and takes effect after the opposite order was acknowledged, also
// if that host then becomes the leader.
func TestDelayedCopyOfOrder(t *testing.T) {
	runEvacuation(t, func(s *simulation, leader *simHost) {
		paused := s.hosts[slices.IndexFunc(s.hosts, func(h *simHost) bool { return h != leader })]
		paused.frozen = true
		o := s.orders[0]
		copied := o.callOnce(paused, true)
		s.runUntil(func() bool { return o.acked && copied.canceled })
		o.give(false)
		s.runUntil(func() bool { return o.acked })
		paused.frozen = false
		leader.end(true)
		Expect(s.run(3 * time.Second)).To(Succeed())
		leader.start()
	})
}

// TestEvacuationsLostByEarlierBuild guards against a host that comes back from an earlier build without the evacuations and keeps, or spreads,
// the incomplete state, also if it leads or if another order comes before the repair.
func TestEvacuationsLostByEarlierBuild(t *testing.T) {
	runEvacuation(t, func(s *simulation, leader *simHost) {
		s.orders[0].give(true)
		s.runUntil(func() bool { return s.orders[0].acked })
		Expect(s.run(time.Second)).To(Succeed())
		h := s.hosts[s.orderRNG.IntN(3)]
		h.end(true)
		Expect(h.disk.dropEvacuations()).To(Succeed())
		if s.orderRNG.IntN(2) == 0 {
			Expect(s.run(simCatchUp)).To(Succeed())
		}
		h.start()
		Expect(h.state.routes.Evacuations().Revision).To(BeZero())
		s.orders[1].give(true)
	})
}

func evacuated(revision uint64, domains ...string) routing.Evacuations {
	return routing.Evacuations{Revision: revision, Domains: domains}
}

var _ = Describe("an order to evacuate", func() {
	order := func(h *stateHarness, domain string, canceled bool) *ring.Ring[answer] {
		h.evacuation.supporters["127.0.0.1:2"] = true
		reply := newReply()
		h.handleEvent(orderEvacuation{order: routing.EvacuationOrder{Domain: domain, Begins: true}, canceled: func() bool { return canceled }, reply: reply})
		return reply
	}
	proposed := func(h *stateHarness) (list []replica.Propose) {
		for h.logInbox.Depth() > 0 {
			e, _ := h.logInbox.Get()
			if p, ok := e.(replica.Propose); ok {
				list = append(list, p)
			}
		}
		return list
	}

	// Guards against orders that evacuate nothing because of a typing error, and against one that is refused for good while the host
	// does not know all domains yet.
	It("is rejected if its failure domain does not exist", func() {
		h := newStateHarness().becomeLeader()
		var rejected RejectedError
		Expect(singleAnswer(order(h, "z", false)).err).To(BeAssignableToTypeOf(rejected))
		h.startedAt = h.time
		Expect(singleAnswer(order(h, "z", false)).err).To(MatchError(ErrUnavailable))
		h.settings.DomainRegions = map[string]string{"x": "north"}
		Expect(singleAnswer(order(h, "b", false)).err).To(BeAssignableToTypeOf(rejected))
		Expect(proposed(h)).To(BeEmpty())
		order(h, "x", false)
		Expect(proposed(h)).To(HaveLen(1))
	})

	// Guards against an order that nobody waits for any more and that reverts a later one.
	It("is not proposed once its caller has gone", func() {
		h := newStateHarness().becomeLeader()
		Expect(singleAnswer(order(h, "a", true)).err).To(MatchError(context.Canceled))
		Expect(proposed(h)).To(BeEmpty())
	})

	// Guards against the acknowledgement of an order when the opposite one is committed.
	It("is acknowledged by its own entry", func() {
		h := newStateHarness().becomeLeader()
		begins, ends := order(h, "a", false), newReply()
		h.handleEvent(orderEvacuation{order: routing.EvacuationOrder{Domain: "a"}, canceled: func() bool { return false }, reply: ends})
		for i, p := range proposed(h) {
			Expect(p.Term).To(Equal(h.status.Term))
			h.handleEvent(committed{replica.Committed{Entries: []changelog.Entry{{Index: uint64(i) + 1, Term: 1, Data: p.Data}}}})
			Expect(begins.Depth() + ends.Depth()).To(Equal(i + 1))
		}
		Expect(singleAnswer(begins).err).NotTo(HaveOccurred())
		Expect(h.routes.Evacuations()).To(Equal(routing.Evacuations{Revision: 2, Domains: []string{}}))
	})

	// Guards against an acknowledged order that is lost with the leader, because only the first of two equal orders and the opposite one between
	// them were stored.
	It("is not acknowledged by an entry from before the opposite order", func() {
		h := newStateHarness().becomeLeader()
		first, ends := order(h, "a", false), newReply()
		h.handleEvent(orderEvacuation{order: routing.EvacuationOrder{Domain: "a"}, canceled: func() bool { return false }, reply: ends})
		repeated, copied := order(h, "a", false), order(h, "a", false)
		entries := proposed(h)
		Expect(entries).To(HaveLen(4))
		commit := func(i int) {
			h.handleEvent(committed{replica.Committed{Entries: []changelog.Entry{{Index: uint64(i) + 1, Term: 1, Data: entries[i].Data}}}})
		}
		commit(0)
		Expect([]int{first.Depth(), ends.Depth(), repeated.Depth(), copied.Depth()}).To(Equal([]int{1, 0, 0, 0}))
		commit(1)
		Expect([]int{first.Depth(), ends.Depth(), repeated.Depth(), copied.Depth()}).To(Equal([]int{1, 1, 0, 0}))
		commit(2)
		Expect([]int{first.Depth(), ends.Depth(), repeated.Depth(), copied.Depth()}).To(Equal([]int{1, 1, 1, 1}))
		Expect(h.routes.Evacuations().Domains).To(Equal([]string{"a"}))
	})

	// Guards against a repair that is missing, and against one for each host whose answer is late.
	DescribeTable("that was lost is restored",
		func(own, received routing.Evacuations, applied, match uint64, want routing.Evacuations, repairs bool) {
			h := newStateHarness().becomeLeader()
			h.appliedIndex, h.status.MatchIndex = applied, map[uint64]uint64{2: match}
			got, ok := h.evacuationsToRestore(received, own, 2)
			Expect(ok).To(Equal(repairs))
			if repairs {
				Expect(got).To(Equal(want))
			}
		},
		Entry("on the leader", evacuated(0), evacuated(4, "a"), uint64(5), uint64(5), evacuated(4, "a"), true),
		Entry("but not while the leader is behind", evacuated(0), evacuated(4, "a"), uint64(3), uint64(5), evacuated(0), false),
		Entry("on another host", evacuated(4, "a"), evacuated(0), uint64(5), uint64(5), evacuated(4, "a"), true),
		Entry("but not on one that is behind", evacuated(4, "a"), evacuated(0), uint64(5), uint64(3), evacuated(0), false),
		Entry("after later orders", evacuated(4, "a"), evacuated(4, "b"), uint64(5), uint64(5), evacuated(4, "a", "b"), true),
		Entry("but not if nothing is missing", evacuated(4, "a"), evacuated(4, "a"), uint64(5), uint64(5), evacuated(0), false),
	)

	// Guards against a leader that refuses all orders because its majority answers slowly.
	It("is proposed late where contact is slow", func() {
		h := newStateHarness().becomeLeader()
		h.time += 2 * leaderSilence
		reply := order(h, "a", false)
		Expect(proposed(h)).To(BeEmpty())
		for range 20 {
			h.status.LastContact = h.time - 2*leaderSilence
			h.advance(50 * time.Millisecond)
		}
		Expect(proposed(h)).To(HaveLen(1))
		Expect(reply.Depth()).To(BeZero())
	})

	// Guards against orders that are kept by hosts of an earlier build only, which lose them.
	It("waits for a majority that supports it", func() {
		h := newStateHarness().becomeLeader()
		reply := order(h, "a", false)
		Expect(proposed(h)).To(HaveLen(1))
		delete(h.evacuation.supporters, "127.0.0.1:2")
		late := newReply()
		h.handleEvent(orderEvacuation{order: routing.EvacuationOrder{Domain: "a"}, canceled: func() bool { return false }, reply: late})
		Expect(proposed(h)).To(BeEmpty())
		h.advance(leaderSearchLimit + 100*time.Millisecond)
		Expect(singleAnswer(late).err).To(MatchError(ErrUnavailable))
		Expect(reply.Depth()).To(BeZero())
	})

	// Guards against entry hosts that learn of an order late or not at all.
	It("reaches entry hosts at once and with the full state", func() {
		h := newStateHarness().becomeLeader()
		out := ring.New[[]byte]("out", 16, ring.DropNewest)
		h.handleEvent(subscribe{host: "h", domain: "a", wantsState: true, out: out})
		domains := func(out *ring.Ring[[]byte]) (list []string) {
			for out.Depth() > 0 {
				data, err := out.Get()
				Expect(err).NotTo(HaveOccurred())
				e := &wirepb.Envelope{}
				Expect(protodelim.UnmarshalFrom(bytes.NewReader(data), e)).To(Succeed())
				if state := e.GetEdgeUpdate().GetEvacuation(); state != nil {
					list = wire.EvacuationsFromProto(state).Domains
				}
			}
			return list
		}
		Expect(domains(out)).To(BeEmpty())
		data, err := wire.EncodeEvacuationOrder(routing.EvacuationOrder{Domain: "a", Begins: true})
		Expect(err).NotTo(HaveOccurred())
		h.handleEvent(committed{replica.Committed{Entries: []changelog.Entry{{Index: 1, Term: 1, Data: data}}}})
		Expect(domains(out)).To(Equal([]string{"a"}))
		later := ring.New[[]byte]("out", 16, ring.DropNewest)
		h.handleEvent(subscribe{host: "i", domain: "a", wantsState: true, out: later})
		Expect(domains(later)).To(Equal([]string{"a"}))
	})
})

// TestProposalOutOfDate guards against an order that waits in the inbox of the log while another host leads or until its caller has gone, and is
// proposed after the opposite order.
func TestProposalOutOfDate(t *testing.T) {
	runEvacuation(t, func(s *simulation, leader *simHost) {
		data, err := wire.EncodeEvacuationOrder(routing.EvacuationOrder{Domain: "a", Begins: true})
		Expect(err).NotTo(HaveOccurred())
		term := leader.state.status.Term
		Expect(leader.handleLog(replica.Propose{Data: data, Term: term + 1})).To(Succeed())
		Expect(leader.handleLog(replica.Propose{Data: data, Term: term, Canceled: func() bool { return true }})).To(Succeed())
		Expect(s.run(time.Second)).To(Succeed())
		Expect(leader.state.routes.Evacuations().Domains).To(BeEmpty())
		Expect(leader.handleLog(replica.Propose{Data: data, Term: term})).To(Succeed())
		Expect(s.run(time.Second)).To(Succeed())
		Expect(leader.state.routes.Evacuations().Domains).To(Equal([]string{"a"}))
	})
}
