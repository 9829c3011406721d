package changelog_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
)

// group is a dynamic group with virtual time. The stored state of each member is
// kept, so that members can be restarted.
type group struct {
	rng            *rand.Rand
	now            time.Duration
	initial        changelog.Membership
	nodes          map[uint64]*changelog.Node
	disks          map[uint64]*disk
	inTransit      []changelog.Message // messages in transit
	down           map[uint64]bool
	applied        map[uint64]map[uint64]string // applied entries as text, by member and index
	committed      map[uint64]string            // the same, by index
	confirmedReads map[uint64][]uint64          // confirmed tickets by member
}

type disk struct {
	hardState changelog.HardState
	snapshot  changelog.Snapshot
	entries   []changelog.Entry
}

func newGroup(seed uint64, voters ...uint64) *group {
	g := &group{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, nodes: map[uint64]*changelog.Node{}, disks: map[uint64]*disk{},
		down: map[uint64]bool{}, applied: map[uint64]map[uint64]string{}, committed: map[uint64]string{}, confirmedReads: map[uint64][]uint64{},
	}
	for _, id := range voters {
		g.initial = g.initial.With(changelog.Member{ID: id, Voter: true})
	}
	for _, id := range voters {
		g.start(id, g.initial)
	}
	return g
}

// start starts a member from its stored state.
func (g *group) start(id uint64, initial changelog.Membership) {
	GinkgoHelper()
	if g.disks[id] == nil {
		g.disks[id] = &disk{}
	}
	d := g.disks[id]
	node, err := changelog.New(changelog.Config{ID: id, Dynamic: true, InitialMembers: initial, Seed: g.rng.Uint64(), KeepEntries: 2},
		d.hardState, d.snapshot, d.entries)
	Expect(err).NotTo(HaveOccurred())
	g.nodes[id], g.down[id], g.applied[id] = node, false, map[uint64]string{}
	node.Tick(g.now)
}

func (g *group) processReady(id uint64) {
	n, d := g.nodes[id], g.disks[id]
	for n.HasReady() {
		r := n.Ready()
		if r.HardState != nil {
			d.hardState = *r.HardState
		}
		if r.Snapshot != nil {
			d.snapshot = *r.Snapshot
			if r.InstallSnapshot {
				d.entries = nil
			}
		}
		for _, e := range r.Entries {
			kept := d.entries[:0]
			for _, old := range d.entries {
				if old.Index < e.Index {
					kept = append(kept, old)
				}
			}
			d.entries = append(kept, e)
		}
		g.inTransit = append(g.inTransit, r.Messages...)
		for _, e := range r.Committed {
			text := fmt.Sprint(e.Term, string(e.Data), e.Members)
			if known, ok := g.committed[e.Index]; ok {
				Expect(text).To(Equal(known), "member %d applied a different entry %d", id, e.Index)
			}
			g.committed[e.Index], g.applied[id][e.Index] = text, text
		}
		g.confirmedReads[id] = append(g.confirmedReads[id], r.ConfirmedReads...)
		n.Advance()
	}
}

func (g *group) run(d time.Duration) {
	for end := g.now + d; g.now < end; g.now += 10 * time.Millisecond {
		due := g.inTransit
		g.inTransit = nil
		for _, m := range due {
			if to := g.nodes[m.To]; to != nil && !g.down[m.To] && !g.down[m.From] && g.rng.Float64() > 0.02 {
				to.Step(m)
			}
		}
		for id, n := range g.nodes {
			if !g.down[id] {
				n.Tick(g.now)
				g.processReady(id)
			}
		}
	}
}

func (g *group) leader() *changelog.Node {
	GinkgoHelper()
	for range 100 {
		for id, n := range g.nodes {
			if s := n.Status(); !g.down[id] && s.Role == changelog.Leader && g.now-s.LastContact < 100*time.Millisecond {
				return n
			}
		}
		g.run(50 * time.Millisecond)
	}
	Fail("the group elected no leader in 5 s")
	return nil
}

// changeMembership changes the membership through the leader and waits for the commit.
func (g *group) changeMembership(edit func(changelog.Membership) changelog.Membership) {
	GinkgoHelper()
	for range 100 {
		n := g.leader()
		if _, err := n.ProposeMembers(edit(n.Status().Members)); err == nil {
			g.run(200 * time.Millisecond)
			if s := g.leader().Status(); !s.MembershipChanging {
				return
			}
		}
		g.run(50 * time.Millisecond)
	}
	Fail("no membership change was committed in 100 attempts")
}

func (g *group) propose(text string) uint64 {
	GinkgoHelper()
	for range 50 {
		if index, _, err := g.leader().Propose([]byte(text)); err == nil {
			g.run(200 * time.Millisecond)
			return index
		}
		g.run(50 * time.Millisecond)
	}
	Fail(fmt.Sprintf("no leader accepted the proposal %q", text))
	return 0
}

var _ = Describe("a dynamic group", func() {
	// Guards against a group that cannot replace a host: the new member has no membership
	// until it receives the log.
	It("adds a member that starts without state, and makes it a voter", func() {
		g := newGroup(1, 1, 2, 3)
		g.propose("a")
		g.start(4, nil)
		g.changeMembership(func(m changelog.Membership) changelog.Membership { return m.With(changelog.Member{ID: 4}) })
		g.run(time.Second)
		Expect(g.applied[4]).NotTo(BeEmpty())
		g.changeMembership(func(m changelog.Membership) changelog.Membership { return m.Without(3) })
		g.changeMembership(func(m changelog.Membership) changelog.Membership { return m.With(changelog.Member{ID: 4, Voter: true}) })
		g.down[3] = true
		other := g.leader().Status().ID
		g.down[other] = true
		Expect(g.leader().Status().Members.VoterCount()).To(Equal(3))
		g.propose("b")
	})

	// Guards against a new member that never gets a membership, because a snapshot has replaced
	// the entry that set it.
	It("sends a snapshot with the membership to a member that is far behind", func() {
		g := newGroup(2, 1, 2, 3)
		for i := range 10 {
			g.propose(fmt.Sprint(i))
		}
		n := g.leader()
		Expect(n.Compact(n.Status().Applied, []byte("state"))).To(Succeed())
		g.run(100 * time.Millisecond)
		g.start(4, nil)
		g.changeMembership(func(m changelog.Membership) changelog.Membership { return m.With(changelog.Member{ID: 4}) })
		g.run(time.Second)
		Expect(g.nodes[4].Status().Members).To(Equal(g.leader().Status().Members))
		Expect(g.disks[4].snapshot.Index).To(BeNumerically(">", 0))
	})

	// Guards against two majorities without a common member.
	It("rejects a change of two voters at once, and a change while another one is not committed", func() {
		g := newGroup(3, 1, 2, 3)
		g.propose("a")
		n := g.leader()
		two := n.Status().Members.With(changelog.Member{ID: 4, Voter: true}).With(changelog.Member{ID: 5, Voter: true})
		_, err := n.ProposeMembers(two)
		Expect(err).To(HaveOccurred())
		_, err = n.ProposeMembers(n.Status().Members.With(changelog.Member{ID: 4}))
		Expect(err).NotTo(HaveOccurred())
		_, err = n.ProposeMembers(n.Status().Members.With(changelog.Member{ID: 5}))
		Expect(err).To(MatchError(changelog.ErrMembershipChangePending))
	})

	// Guards against a member that returns to the initial membership, and so to other majorities,
	// after a restart.
	It("keeps the membership across a restart", func() {
		g := newGroup(4, 1, 2, 3)
		g.changeMembership(func(m changelog.Membership) changelog.Membership { return m.With(changelog.Member{ID: 4, Domain: "d"}) })
		want := g.leader().Status().Members
		for id := uint64(1); id <= 3; id++ {
			g.start(id, g.initial)
		}
		Expect(g.leader().Status().Members).To(Equal(want))
	})

	// Guards against outdated state that a leader returns after it was cut off or suspended.
	It("confirms a read only when a majority answers messages that were sent after it", func() {
		g := newGroup(5, 1, 2, 3)
		g.propose("a")
		n := g.leader()
		self := n.Status().ID
		ticket, err := n.ReadIndex()
		Expect(err).NotTo(HaveOccurred())
		g.run(200 * time.Millisecond)
		Expect(g.confirmedReads[self]).To(ContainElement(ticket))
		g.down[self%3+1], g.down[(self+1)%3+1] = true, true
		ticket, err = n.ReadIndex()
		Expect(err).NotTo(HaveOccurred())
		g.run(3 * time.Second)
		Expect(g.confirmedReads[self]).NotTo(ContainElement(ticket))
		_, err = n.ReadIndex()
		Expect(err).To(BeAssignableToTypeOf(changelog.NotLeaderError{}))
	})

	// Guards against the loss of an entry while members are replaced and restarted.
	It("loses no entry while members are replaced at random", func() {
		for seed := range uint64(20) {
			g := newGroup(seed+10, 1, 2, 3)
			next, indexes := uint64(4), []uint64{}
			for step := range 6 {
				indexes = append(indexes, g.propose(fmt.Sprint("step ", step)))
				s := g.leader().Status()
				removed := s.Members[g.rng.IntN(len(s.Members))].ID
				if removed == s.ID {
					continue
				}
				g.down[removed] = true
				if g.rng.IntN(2) == 0 {
					g.run(300 * time.Millisecond)
					g.start(removed, g.initial)
					continue
				}
				added := next
				next++
				g.start(added, nil)
				g.changeMembership(func(m changelog.Membership) changelog.Membership { return m.With(changelog.Member{ID: added}) })
				g.run(500 * time.Millisecond)
				g.changeMembership(func(m changelog.Membership) changelog.Membership { return m.Without(removed) })
				g.changeMembership(func(m changelog.Membership) changelog.Membership {
					return m.With(changelog.Member{ID: added, Voter: true})
				})
				delete(g.nodes, removed)
			}
			g.run(2 * time.Second)
			leader := g.leader().Status()
			for i, index := range indexes {
				Expect(g.committed[index]).To(ContainSubstring(fmt.Sprint("step ", i)), "seed %d", seed)
				Expect(leader.Commit).To(BeNumerically(">=", index), "seed %d", seed)
			}
		}
	})

	// Guards against the vote of a removed leader that stays longer than that of others: its silence was counted from the election
	// of the next one, and a second host may be removed by then.
	It("counts the silence of an earlier leader from its last message", func() {
		g := newGroup(1, 1, 2, 3)
		earlier := g.leader().Status().ID
		g.run(time.Second)
		g.down[earlier] = true
		ended := g.now
		s := g.leader().Status()
		Expect(s.ID).NotTo(Equal(earlier))
		Expect(s.MemberContact[earlier]).To(BeNumerically("<=", ended))
	})

	// Guards against members that need a quorum of an earlier membership for good: all had lost power after a change that was committed, nobody had
	// stored that it was, and hosts of the earlier membership were gone.
	It("stores that a membership is committed", func() {
		g := newGroup(2, 1, 2, 3)
		g.start(4, nil)
		for _, voter := range []bool{false, true} {
			g.changeMembership(func(m changelog.Membership) changelog.Membership {
				return m.With(changelog.Member{ID: 4, Voter: voter})
			})
		}
		g.run(time.Second)
		for id, d := range g.disks {
			Expect(d.hardState.Commit).To(BeNumerically(">=", d.entries[len(d.entries)-1].Index), "member %d", id)
		}
	})

	// Guards against a group without a leader for seconds: two members start their pre-votes at the same moment, and each one gets that of the other.
	It("elects one of two members that start at the same moment", func() {
		initial := changelog.Membership{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
		var nodes []*changelog.Node
		for id := range uint64(2) {
			n, err := changelog.New(changelog.Config{ID: id + 1, Dynamic: true, InitialMembers: initial}, changelog.HardState{}, changelog.Snapshot{}, nil)
			Expect(err).NotTo(HaveOccurred())
			n.Tick(time.Hour)
			n.Tick(time.Hour + time.Second) // its election timeout has passed
			nodes = append(nodes, n)
		}
		for range 6 { // round trips
			var sent []changelog.Message
			for _, n := range nodes {
				for n.HasReady() {
					sent = append(sent, n.Ready().Messages...)
					n.Advance()
				}
			}
			for _, m := range sent {
				if m.To <= 2 {
					nodes[m.To-1].Step(m)
				}
			}
		}
		Expect(nodes[0].Status().Role).To(Equal(changelog.Leader))
		Expect(nodes[1].Status().Leader).To(BeEquivalentTo(1))
	})

	// Guards against a member that takes itself for up to date right after an election, when its leader does not know yet that the last
	// entries have been committed: entry hosts would begin with older routes.
	It("does not count as up to date before its leader has committed an entry of its term", func() {
		members := changelog.Membership{{ID: 1, Voter: true}, {ID: 2, Voter: true}, {ID: 3, Voter: true}}
		entries := []changelog.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1, Data: []byte("acknowledged")}}
		n, err := changelog.New(changelog.Config{ID: 1, Dynamic: true, InitialMembers: members}, changelog.HardState{Term: 1, Commit: 1}, changelog.Snapshot{}, entries)
		Expect(err).NotTo(HaveOccurred())
		n.Tick(time.Hour)
		n.Step(changelog.Message{Kind: changelog.KindAppend, From: 2, To: 1, Term: 2, Index: 2, LogTerm: 1, Commit: 1})
		Expect(n.Status().CommitIsUncertain).To(BeTrue())
		n.Step(changelog.Message{Kind: changelog.KindAppend, From: 2, To: 1, Term: 2, Index: 2, LogTerm: 1, Commit: 3, Entries: []changelog.Entry{{Index: 3, Term: 2}}})
		Expect(n.Status().Commit).To(BeEquivalentTo(3))
		Expect(n.Status().CommitIsUncertain).To(BeFalse())
	})
})
