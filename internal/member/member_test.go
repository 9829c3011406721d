package member_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/member"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "member")
}

// forEachSeed runs a case with several seeds, each of which gives another
// order of the hosts' reports.
func forEachSeed(count uint64, run func(seed uint64)) {
	for seed := range count {
		By(fmt.Sprint("seed ", seed))
		run(seed)
	}
}

var _ = Describe("leaving", func() {
	// Guards against new flows on a leaving endpoint after 3 s and, in
	// sim.checkCommit, against a commit while a host still places flows by an
	// earlier table.
	DescribeTable("stops new flows within 3 s",
		func(fault func(s *sim)) {
			forEachSeed(20, func(seed uint64) {
				s := newSim(seed, 3, 6)
				Expect(s.currentBuckets()).To(HaveKey("desk1"))
				leaving := *s.endpoints[1]
				leaving.State = directory.Leaving
				s.send(member.Announced{ID: 7, Endpoint: leaving})
				fault(s)
				s.advance(3*time.Second - 2*step)
				Expect(s.currentBuckets()).NotTo(HaveKey("desk1"))
				Expect(s.currentBuckets()).To(HaveLen(5))
				Expect(s.stateOf("desk1")).To(Equal(directory.Leaving))
				Expect(s.replies[7].Accepted).To(BeTrue())
			})
		},
		Entry("without a fault", func(*sim) {}),
		Entry("host misses the update", func(s *sim) { s.hosts[2].stalled = true }),
		Entry("host is cut off", func(s *sim) { s.hosts[2].cutOff = true }),
		Entry("host fails between prepare and commit", func(s *sim) { s.advance(3 * step); s.hosts[2].failed = true }),
		Entry("host misses the update, another one fails", func(s *sim) { s.hosts[1].stalled, s.hosts[2].failed = true, true }),
		Entry("leader changes between prepare and commit", func(s *sim) { s.advance(3 * step); s.changeLeader() }),
		Entry("leader changes and a host is cut off", func(s *sim) {
			s.advance(3 * step)
			s.hosts[4].cutOff = true
			s.changeLeader()
		}),
		Entry("endpoint still announces that it is ready", func(s *sim) {
			for range 20 {
				s.advance(5 * step)
				s.send(member.Announced{Endpoint: *s.endpoints[1]}) // its State is still Ready
			}
		}),
		Entry("probe finds it healthy", func(s *sim) {
			for range 5 {
				s.advance(step)
				s.send(member.Probed{Instance: "desk1", Healthy: true})
			}
		}),
		Entry("announcement is repeated with an earlier state", func(s *sim) {
			again := *s.endpoints[1]
			again.State = directory.Draining
			s.send(member.Announced{Endpoint: again})
		}),
	)

	// Guards against moving a bucket twice for one draining endpoint, and against
	// endlessly repeated commits.
	It("commits a prepared move once", func() {
		s := newSim(1, 3, 6)
		before := len(s.committedUpTo)
		s.endpoints[1].State = directory.Draining
		s.advance(10 * time.Second)
		Expect(s.committedUpTo[before:]).To(HaveLen(1))
	})

	// Guards against an instance that stays ready because the entry that adds it is
	// committed after it has announced that it stops.
	It("overrides an announcement that is not committed yet", func() {
		s := newSim(1, 3, 4)
		late := *s.endpoint(9, 3)
		s.send(member.Announced{Endpoint: late})
		stop := late
		stop.State = directory.Leaving
		s.send(member.Announced{ID: 8, Endpoint: stop})
		s.advance(time.Second)
		Expect(s.stateOf("desk9")).To(Equal(directory.Leaving))
		Expect(s.currentBuckets()).NotTo(HaveKey("desk9"))
		unknown := *s.endpoint(10, 3)
		unknown.State = directory.Draining
		s.send(member.Announced{Endpoint: unknown})
		unknown.State = directory.Ready // sent before the draining announcement and received after it
		s.send(member.Announced{Endpoint: unknown})
		s.advance(time.Second)
		_, known := s.state.EndpointByInstance("desk10")
		Expect(known).To(BeFalse())
	})
})

var _ = Describe("leases", func() {
	// Guards against an endpoint that is kept after its lease, and one that is
	// removed too early.
	DescribeTable("expire after the requested duration, within bounds",
		func(asked, length time.Duration) {
			s := newSim(1, 3, 3)
			e := *s.endpoints[1]
			s.stopAnnouncing("desk1")
			s.send(member.Announced{Endpoint: e, Lease: asked})
			s.advance(length - step)
			Expect(s.stateOf("desk1")).To(Equal(directory.Ready))
			s.advance(time.Second)
			Expect(s.stateOf("desk1")).To(Equal(directory.Removed))
		},
		Entry("default", time.Duration(0), 6*time.Second),
		Entry("too short", time.Millisecond, 2*time.Second),
		Entry("too long", time.Hour, time.Minute),
	)

	// Guards against a leader change that removes endpoints and hosts that are
	// present.
	It("are renewed by a new leader", func() {
		s := newSim(1, 3, 3)
		s.stopAnnouncing("desk1")
		s.advance(5 * time.Second)
		s.changeLeader()
		s.advance(5 * time.Second)
		Expect(s.stateOf("desk1")).To(Equal(directory.Ready))
		Expect(s.state.Hosts()).To(HaveLen(6))
		s.advance(1500 * time.Millisecond)
		Expect(s.stateOf("desk1")).To(Equal(directory.Removed))
	})

	// Guards against flows that are reset when a partition heals (docs/design.md,
	// section 1.1, P10).
	It("do not expire while a failure domain is cut off", func() {
		forEachSeed(20, func(seed uint64) {
			s := newSim(seed, 3, 6)
			s.stopAnnouncing("desk1")
			s.stopAnnouncing("desk4")
			s.hosts[1].cutOff, s.hosts[4].cutOff = true, true
			s.advance(20 * time.Second)
			Expect(s.state.Hosts()).To(HaveLen(6))
			Expect(s.stateOf("desk1")).To(Equal(directory.Ready))
			Expect(s.currentBuckets()).NotTo(Or(HaveKey("desk1"), HaveKey("desk4")))
			s.hosts[1].cutOff, s.hosts[4].cutOff = false, false
			s.advance(3 * time.Second)
			s.endpoints = append(s.endpoints, s.endpoint(1, 3))
			s.advance(8 * time.Second)
			Expect(s.stateOf("desk1")).To(Equal(directory.Ready))
			Expect(s.stateOf("desk4")).To(Equal(directory.Removed))
		})
	})

	// Guards against records that stay on a failed host, and against a host that is
	// removed after a short silence.
	It("of hosts expire after 6 s", func() {
		s := newSim(1, 3, 3)
		s.hosts[4].failed = true
		s.advance(5 * time.Second)
		Expect(s.state.Hosts()).To(HaveLen(6))
		s.advance(1500 * time.Millisecond)
		Expect(s.state.Hosts()).To(HaveLen(5))
		s.send(member.HostApplied{Name: "host4", Incarnation: 1, Index: 1})
		s.send(member.HostHello{Host: directory.Host{Name: "host4", Incarnation: 2, Domain: "zone1"}})
		s.advance(time.Second)
		Expect(s.state.Hosts()).To(HaveLen(6))
	})

	// Guards against a late announcement of an old instance that removes the newer
	// one on its address.
	It("of an old instance are not renewed", func() {
		s := newSim(1, 3, 3)
		old := *s.endpoints[1]
		next := s.endpoint(1, 3)
		next.Instance = "desk1-again"
		s.endpoints[1] = next
		s.advance(2 * time.Second)
		s.send(member.Announced{ID: 9, Endpoint: old})
		s.advance(2 * time.Second)
		Expect(s.replies[9].Accepted).To(BeFalse())
		Expect(s.stateOf("desk1-again")).To(Equal(directory.Ready))
		Expect(s.stateOf("desk1")).To(Equal(directory.Removed))
	})

	// Guards against a backend server that removes an endpoint of another service by
	// announcing its address.
	It("protect the address of another service's endpoint", func() {
		s := newSim(1, 3, 3)
		s.apply(directory.ChangePrepared{ChangeID: "p", Team: "t", Section: "Print", Services: []document.Service{
			{Name: "print", Address: s.endpoint(99, 1).Address, Protocol: document.TCP},
		}})
		s.advance(time.Second)
		conflicting := *s.endpoints[1]
		conflicting.Instance, conflicting.Service = "print1", "print"
		s.send(member.Announced{ID: 5, Endpoint: conflicting})
		Expect(s.replies[5].Reason).To(ContainSubstring(`instance "desk1" of service "desk"`))
		s.stopAnnouncing("desk1")
		s.advance(7 * time.Second)
		s.send(member.Announced{ID: 6, Endpoint: conflicting})
		s.advance(time.Second)
		Expect(s.replies[6].Accepted).To(BeTrue())
	})

	// Guards against announcements for a service that are made without its token.
	It("require the token of the service", func() {
		s := newSim(1, 1, 0)
		hash := sha256.Sum256([]byte("secret"))
		s.apply(directory.ChangePrepared{ChangeID: "t", Team: "t", Section: "Desk", BaseVersion: 1, Services: []document.Service{
			{Name: "desk", AnnouncedAs: "order-desk", Address: s.endpoint(0, 1).Address, Protocol: document.TCP, AnnounceTokenFingerprint: hash[:]},
		}})
		s.advance(time.Second)
		for id, token := range map[uint64]string{1: "", 2: "other", 3: "secret"} {
			s.send(member.Announced{ID: id, Endpoint: *s.endpoint(0, 1), Token: token})
			s.advance(time.Second)
			Expect(s.replies[id].Accepted).To(Equal(token == "secret"))
		}
	})

	// Guards against a token that was replaced and is accepted again by a leader that has restarted
	// from a snapshot, and against a backend server that stays in use with it.
	It("refuse a replaced token, also after a restart", func() {
		s := newSim(1, 1, 0)
		setToken := func(id string, base uint64, token string) {
			hash := sha256.Sum256([]byte(token))
			s.apply(directory.ChangePrepared{ChangeID: id, Team: "t", Section: "Desk", BaseVersion: base, Services: []document.Service{
				{Name: "desk", AnnouncedAs: "order-desk", Address: s.endpoint(0, 1).Address, Protocol: document.TCP, AnnounceTokenFingerprint: hash[:]},
			}})
			s.advance(time.Second)
		}
		announce := func(id uint64, n int, token string) bool {
			s.send(member.Announced{ID: id, Endpoint: *s.endpoint(n, 1), Token: token, Lease: 3 * time.Second})
			s.advance(time.Second)
			return s.replies[id].Accepted
		}
		setToken("first", 1, "old")
		Expect(announce(1, 1, "old")).To(BeTrue())
		setToken("second", 2, "new")
		Expect(announce(2, 1, "old")).To(BeFalse())

		restored, err := directory.FromSnapshot(s.state.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		s.state = restored
		s.changeLeader()
		Expect(announce(3, 2, "old")).To(BeFalse())
		for id := range uint64(10) {
			Expect(announce(10+id, 1, "old")).To(BeFalse())
		}
		Expect(s.stateOf("desk1")).To(Equal(directory.Removed))
		Expect(announce(30, 2, "new")).To(BeTrue())
	})
})

var _ = Describe("suspicion", func() {
	// Guards against one lost probe that moves buckets, and against probes that
	// leave a service without endpoints.
	It("requires three failures and is limited to a third of the endpoints", func() {
		s := newSim(1, 3, 6)
		verdict := func(n int, p member.Probed) {
			for range n {
				s.send(p)
			}
			s.advance(time.Second)
		}
		verdict(2, member.Probed{Instance: "desk1"})
		verdict(1, member.Probed{Instance: "desk1", Healthy: true})
		verdict(2, member.Probed{Instance: "desk1"})
		Expect(s.currentBuckets()).To(HaveKey("desk1"))
		verdict(1, member.Probed{Instance: "desk1"})
		Expect(s.currentBuckets()).NotTo(HaveKey("desk1"))
		verdict(1, member.Probed{Instance: "desk2", Passive: true})
		Expect(s.currentBuckets()).NotTo(HaveKey("desk2"))
		verdict(9, member.Probed{Instance: "desk3"})
		Expect(s.leases.Step(s.now, member.Probed{Instance: "desk3"})).To(BeEmpty())
		Expect(s.currentBuckets()).To(HaveKey("desk3"))
		verdict(3, member.Probed{Instance: "desk1", Healthy: true})
		Expect(s.currentBuckets()).To(HaveKey("desk1"))
		verdict(3, member.Probed{Instance: "unknown"})
	})
})

var _ = Describe("document change", func() {
	change := func(s *sim) func() (*directory.Answer, bool) {
		s.apply(directory.ChangePrepared{ChangeID: "c", Team: "t", Section: "Print"})
		return func() (*directory.Answer, bool) { return s.state.ChangeAnswer("c") }
	}

	// Guards against a change that is accepted before every failure domain has it
	// (docs/design.md, section 1.1, P8).
	DescribeTable("is decided by all failure domains in service",
		func(fault func(s *sim), accepted bool, reason string) {
			forEachSeed(20, func(seed uint64) {
				s := newSim(seed, 3, 3)
				fault(s)
				answer := change(s)
				s.advance(4900 * time.Millisecond)
				early, _ := answer()
				Expect(early != nil).To(Equal(accepted))
				s.advance(400 * time.Millisecond)
				got, _ := answer()
				Expect(got.Accepted).To(Equal(accepted))
				Expect(got.Reason).To(ContainSubstring(reason))
			})
		},
		Entry("without a fault", func(*sim) {}, true, ""),
		Entry("one host of each domain is enough", func(s *sim) { s.hosts[0].failed, s.hosts[4].stalled = true, true }, true, ""),
		Entry("a domain is cut off", func(s *sim) { s.hosts[2].cutOff, s.hosts[5].cutOff = true, true }, false, "zone2"),
		Entry("all hosts of a domain have failed", func(s *sim) {
			s.hosts[2].failed, s.hosts[5].failed = true, true
			s.advance(20 * time.Second)
		}, false, "zone2"),
		Entry("the failed domain is out of service", func(s *sim) {
			s.hosts[2].failed, s.hosts[5].failed = true, true
			s.apply(directory.DomainService{Domain: "zone2", Out: true})
		}, true, ""),
	)

	// Guards against a late message of an ended process that is taken for one of the
	// new process.
	It("is not confirmed by an earlier incarnation", func() {
		s := newSim(1, 1, 1)
		s.hosts[0].cutOff, s.hosts[1].cutOff = true, true
		s.send(member.HostHello{Host: directory.Host{Name: "host0", Incarnation: 2, Domain: "zone0"}})
		answer := change(s)
		s.send(member.HostApplied{Name: "host0", Incarnation: 1, Index: s.state.Index()})
		s.advance(time.Second)
		got, _ := answer()
		Expect(got).To(BeNil())
		s.send(member.HostApplied{Name: "host0", Incarnation: 2, Index: s.state.Index()})
		s.advance(time.Second)
		got, _ = answer()
		Expect(got.Accepted).To(BeTrue())
	})

	// Guards against a decision that is lost when the leader changes.
	It("is decided by the next leader", func() {
		s := newSim(3, 3, 3)
		answer := change(s)
		s.changeLeader()
		s.advance(time.Second)
		got, _ := answer()
		Expect(got.Accepted).To(BeTrue())
	})
})
