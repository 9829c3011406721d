package changelog_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
)

func TestChangelog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "changelog")
}

func newMember(cfg changelog.Config, hs changelog.HardState, entries ...changelog.Entry) *changelog.Node {
	GinkgoHelper()
	cfg.ID, cfg.Members = 3, []uint64{1, 2, 3}
	n, err := changelog.New(cfg, hs, changelog.Snapshot{}, entries)
	Expect(err).NotTo(HaveOccurred())
	n.Tick(time.Hour)
	return n
}

// stepAll passes messages to n and returns the messages that n sends.
func stepAll(n *changelog.Node, messages ...changelog.Message) (replies []changelog.Message) {
	for _, m := range messages {
		m.To = 3
		n.Step(m)
	}
	for n.HasReady() {
		replies = append(replies, n.Ready().Messages...)
		n.Advance()
	}
	return replies
}

// elect makes n the leader with the vote of member 1.
func elect(n *changelog.Node) {
	GinkgoHelper()
	n.Tick(time.Hour + time.Second)
	for _, kind := range []changelog.Kind{changelog.KindPreVoteReply, changelog.KindVoteReply} {
		request := stepAll(n)[0]
		n.Step(changelog.Message{Kind: kind, From: 1, To: 3, Term: request.Term, Context: request.Context})
	}
	Expect(n.Status().Role).To(Equal(changelog.Leader))
}

func grantedVotes(replies []changelog.Message) (count int) {
	for _, m := range replies {
		if m.Kind == changelog.KindVoteReply && !m.Reject {
			count++
		}
	}
	return count
}

var _ = Describe("a member with a lost disk", func() {
	vote := func(from, term uint64) changelog.Message {
		return changelog.Message{Kind: changelog.KindVote, From: from, Term: term, Index: 9, LogTerm: term}
	}
	// Guards against two leaders in one term: without Rejoining, the member votes
	// for member 1 in term 5 and, after the loss of its disk, for member 2.
	DescribeTable("voting twice in a term", func(rejoining bool, votes int) {
		before := newMember(changelog.Config{}, changelog.HardState{})
		Expect(grantedVotes(stepAll(before, vote(1, 5)))).To(Equal(1))
		after := newMember(changelog.Config{Rejoining: rejoining}, changelog.HardState{})
		Expect(1 + grantedVotes(stepAll(after, vote(2, 5)))).To(Equal(votes))
	},
		Entry("configured as new", false, 2),
		Entry("configured as rejoining", true, 1),
	)

	// Guards against a second vote in a term that the leader does not know yet: the
	// log has caught up with the leader of term 4, but the member had voted for
	// member 1 in term 5.
	It("does not vote before all members have sent their terms", func() {
		n := newMember(changelog.Config{Rejoining: true}, changelog.HardState{})
		nonce := stepAll(n)[0].Context
		replies := stepAll(
			n,
			changelog.Message{Kind: changelog.KindRejoinReply, From: 2, Term: 4, Index: 1, Context: nonce},
			changelog.Message{
				Kind: changelog.KindAppend, From: 2, Term: 4, Commit: 1,
				Entries: []changelog.Entry{{Index: 1, Term: 4}},
			},
		)
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Kind).To(Equal(changelog.KindLearnerReply))
		Expect(grantedVotes(stepAll(n, vote(2, 5)))).To(BeZero())
		stepAll(n, changelog.Message{Kind: changelog.KindRejoinReply, From: 1, Term: 5, Context: nonce, Reject: true})
		Expect(n.Status().Rejoining).To(BeTrue(), "the target of the leader of term 4 is outdated")
		next := changelog.Message{
			Kind: changelog.KindAppend, From: 1, Term: 6, Index: 1, LogTerm: 4, Commit: 1,
			Entries: []changelog.Entry{{Index: 2, Term: 6}},
		}
		stepAll(n, next, changelog.Message{Kind: changelog.KindRejoinReply, From: 1, Term: 6, Index: 2, Context: nonce})
		Expect(n.Status().Rejoining).To(BeTrue(), "entry 2 was committed when member 1 was asked")
		next.Commit = 2
		stepAll(n, next)
		Expect(n.Status().Rejoining).To(BeFalse())
		Expect(grantedVotes(stepAll(n, vote(2, 6)))).To(BeZero(), "term 6 has a leader")
		Expect(grantedVotes(stepAll(n, vote(2, 7)))).To(Equal(1))
	})

	// Guards against a commit that counts entries which only the lost disk contained,
	// through replies of the rejoining member or delayed replies from before the loss.
	It("does not count for commit", func() {
		n := newMember(changelog.Config{}, changelog.HardState{})
		elect(n)
		var sent changelog.Message
		for _, m := range stepAll(n) {
			if m.Kind == changelog.KindAppend && m.To == 2 {
				sent = m
			}
		}
		rejoin := changelog.Message{Kind: changelog.KindRejoin, From: 2, Context: 7}
		reply := stepAll(n,
			changelog.Message{Kind: changelog.KindLearnerReply, From: 2, Term: 1, Index: 1, Context: sent.Context}, rejoin,
			changelog.Message{Kind: changelog.KindAppendReply, From: 2, Term: 1, Index: 1, Context: sent.Context})
		Expect(n.Status().Commit).To(BeZero())
		Expect(reply).To(ContainElement(And(HaveField("Kind", changelog.KindRejoinReply), HaveField("Reject", true))),
			"the leader does not know yet what is committed")
		stepAll(n, changelog.Message{Kind: changelog.KindAppendReply, From: 1, Term: 1, Index: 1, Context: sent.Context})
		Expect(n.Status().Commit).To(BeEquivalentTo(1))
		Expect(stepAll(n, rejoin)).To(ContainElement(And(HaveField("Kind", changelog.KindRejoinReply), HaveField("Reject", false))))
	})
})

var _ = Describe("a leader", func() {
	// Guards against an entry of an earlier term that is committed by counting
	// and then replaced by a later leader (Raft paper, figure 8).
	It("commits entries of earlier terms only together with one of its own term", func() {
		n := newMember(changelog.Config{}, changelog.HardState{Term: 2}, changelog.Entry{Index: 1, Term: 2})
		elect(n)
		sent := stepAll(n)
		context := sent[len(sent)-1].Context
		stepAll(n, changelog.Message{Kind: changelog.KindAppendReply, From: 1, Term: 3, Index: 1, Context: context})
		Expect(n.Status().Commit).To(BeZero())
		stepAll(n, changelog.Message{Kind: changelog.KindAppendReply, From: 1, Term: 3, Index: 2, Context: context})
		Expect(n.Status().Commit).To(BeEquivalentTo(2))
	})

	// Guards against a commit that counts an entry which the leader itself may
	// lose in a crash, and against an entry time that decreases with the leader's clock.
	It("counts its own entries once they are synced, and never decreases their time", func() {
		n := newMember(changelog.Config{}, changelog.HardState{}, changelog.Entry{Index: 1, Term: 1, At: 2 * time.Hour})
		elect(n)
		r := n.Ready()
		Expect(r.Entries).To(ConsistOf(HaveField("At", 2*time.Hour)))
		context := r.Messages[len(r.Messages)-1].Context
		n.Step(changelog.Message{Kind: changelog.KindAppendReply, From: 1, To: 3, Term: 2, Index: 2, Context: context})
		Expect(n.Status().Commit).To(BeZero())
		n.Advance()
		Expect(n.Status().Commit).To(BeEquivalentTo(2))
	})

	// Guards against a vote that was granted to the candidate before it lost its disk.
	It("is not elected by replies to another vote request", func() {
		n := newMember(changelog.Config{}, changelog.HardState{})
		n.Tick(time.Hour + time.Second)
		request := stepAll(n)[0]
		stepAll(n, changelog.Message{Kind: changelog.KindPreVoteReply, From: 1, Term: 1, Context: request.Context})
		stepAll(n, changelog.Message{Kind: changelog.KindVoteReply, From: 2, Term: 1, Context: request.Context})
		Expect(n.Status().Role).To(Equal(changelog.Candidate))
	})

	// Guards against unbounded memory use while no quorum answers.
	It("limits the uncommitted proposals and the appends in flight", func() {
		n := newMember(changelog.Config{MaxUncommittedEntries: 10, MaxInflightAppends: 2, MaxBatchBytes: 1}, changelog.HardState{})
		elect(n)
		first := stepAll(n)
		for range 9 {
			_, _, err := n.Propose([]byte("ab"))
			Expect(err).NotTo(HaveOccurred())
		}
		_, _, err := n.Propose([]byte("ab"))
		Expect(err).To(MatchError(changelog.UncommittedLimitError{Uncommitted: 10, Limit: 10}))
		appends := 0
		context := first[len(first)-1].Context
		for _, m := range stepAll(n, changelog.Message{Kind: changelog.KindAppendReply, From: 1, Term: 1, Context: context}) {
			if m.To == 1 && len(m.Entries) > 0 {
				Expect(m.Entries).To(HaveLen(1))
				appends++
			}
		}
		Expect(appends).To(Equal(2))
	})

	// Guards against a follower that stays behind for seconds because the message
	// with its snapshot was lost.
	It("sends a snapshot again after an answer to a later heartbeat", func() {
		n := newMember(changelog.Config{}, changelog.HardState{Term: 1, Commit: 1}, changelog.Entry{Index: 1, Term: 1})
		elect(n)
		stepAll(n)
		Expect(n.Compact(1, nil)).To(Succeed())
		snapshots := 0
		for ms := time.Duration(0); ms < 500; ms += 50 {
			n.Tick(time.Hour + time.Second + ms*time.Millisecond)
			for _, m := range stepAll(n) {
				if m.Kind == changelog.KindSnapshot {
					snapshots++
				} else if m.To == 1 {
					n.Step(changelog.Message{
						Kind: changelog.KindAppendReply, From: 1, To: 3, Term: 2, Index: m.Index, Context: m.Context,
						Reject: m.Index > 0, RejectHint: 1,
					})
				}
			}
		}
		Expect(snapshots).To(Equal(2))
	})

	// Guards against a queue that grows without limit while a sync hangs.
	It("limits the messages that wait for storage", func() {
		n := newMember(changelog.Config{}, changelog.HardState{})
		elect(n)
		n.Ready()
		for range 3000 {
			n.Step(changelog.Message{Kind: changelog.KindRejoin, From: 1, To: 3})
		}
		n.Advance()
		Expect(len(n.Ready().Messages)).To(Equal(1024))
	})

	// Guards against one round trip for each entry of a diverging log.
	It("skips a conflicting term at a time", func() {
		entries := make([]changelog.Entry, 50)
		for i := range entries {
			entries[i] = changelog.Entry{Index: uint64(i + 1), Term: 1 + uint64(i/25)}
		}
		n := newMember(changelog.Config{}, changelog.HardState{Term: 2}, entries...)
		replies := stepAll(n, changelog.Message{Kind: changelog.KindAppend, From: 1, Term: 4, Index: 50, LogTerm: 3})
		Expect(replies).To(HaveLen(1))
		Expect(replies[0].Reject).To(BeTrue())
		Expect([]uint64{replies[0].LogTerm, replies[0].RejectHint}).To(Equal([]uint64{2, 26}))
	})
})

var _ = Describe("a follower", func() {
	// Guards against a second vote in the same term after a restart.
	It("stores its vote with the answer", func() {
		n := newMember(changelog.Config{}, changelog.HardState{Term: 5})
		n.Step(changelog.Message{Kind: changelog.KindVote, From: 1, To: 3, Term: 5})
		r := n.Ready()
		Expect(r.HardState).To(HaveValue(Equal(changelog.HardState{Term: 5, Vote: 1})))
		Expect(grantedVotes(r.Messages)).To(Equal(1))
	})

	// Guards against the election of a leader that lacks committed entries.
	It("votes only for a candidate whose log is at least as up to date", func() {
		n := newMember(changelog.Config{}, changelog.HardState{Term: 3}, changelog.Entry{Index: 1, Term: 3})
		Expect(grantedVotes(stepAll(n, changelog.Message{Kind: changelog.KindVote, From: 1, Term: 5, Index: 9, LogTerm: 2}))).To(BeZero())
		Expect(grantedVotes(stepAll(n, changelog.Message{Kind: changelog.KindVote, From: 2, Term: 5, LogTerm: 3}))).To(BeZero())
		Expect(grantedVotes(stepAll(n, changelog.Message{Kind: changelog.KindVote, From: 1, Term: 5, Index: 1, LogTerm: 3}))).To(Equal(1))
	})

	// Guards against a member with a broken link that deposes a leader which is in contact
	// with the others.
	It("grants no pre-vote while it is in contact with a leader", func() {
		n := newMember(changelog.Config{}, changelog.HardState{})
		stepAll(n, changelog.Message{Kind: changelog.KindAppend, From: 1, Term: 1})
		preVote := changelog.Message{Kind: changelog.KindPreVote, From: 2, Term: 2}
		Expect(stepAll(n, preVote)).To(ConsistOf(HaveField("Reject", true)))
		n.Tick(time.Hour + changelog.DefaultElectionTimeoutMin)
		Expect(stepAll(n, preVote)).To(ContainElement(And(HaveField("Kind", changelog.KindPreVoteReply), HaveField("Reject", false))))
	})

	// Guards against the commit of an entry of an earlier leader that the current one
	// has not confirmed.
	It("commits only entries that match the leader's log", func() {
		n := newMember(changelog.Config{}, changelog.HardState{Term: 2}, changelog.Entry{Index: 1, Term: 1}, changelog.Entry{Index: 2, Term: 1})
		stepAll(n, changelog.Message{Kind: changelog.KindAppend, From: 1, Term: 3, Index: 1, LogTerm: 1, Commit: 2})
		Expect(n.Status().Commit).To(BeEquivalentTo(1))
	})

	// Guards against an entry that is never stored because it arrives while the
	// entry that it replaces is being stored.
	It("stores an entry that replaces one that is being stored", func() {
		n := newMember(changelog.Config{}, changelog.HardState{})
		for term := uint64(1); term <= 2; term++ {
			entry := changelog.Entry{Index: 1, Term: term}
			n.Step(changelog.Message{Kind: changelog.KindAppend, From: term, To: 3, Term: term, Entries: []changelog.Entry{entry}})
			Expect(n.HasReady()).To(Equal(term == 1))
			n.Ready()
		}
		n.Advance()
		Expect(n.Ready().Entries).To(Equal([]changelog.Entry{{Index: 1, Term: 2}}))
	})
})
