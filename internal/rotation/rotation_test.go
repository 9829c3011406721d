package rotation

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRotation(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "rotation")
}

var _ = DescribeTable("evidence about a flow",
	func(e Evidence, lastPacketAt time.Duration, want Verdict) {
		Expect(e.Judge(lastPacketAt)).To(Equal(want))
	},
	Entry("no host has answered", Evidence{}, time.Hour, Unknown),
	Entry("the last packet is older than the change", Evidence{IsComplete: true, UnchangedSince: 10 * time.Second}, 9*time.Second, MayHaveMoved),
	// The fabric may follow the change later than the host that has made it.
	Entry("the last packet came right after the change", Evidence{IsComplete: true, UnchangedSince: 10 * time.Second}, 10*time.Second+settleTime, MayHaveMoved),
	Entry("the last packet came well after the change", Evidence{IsComplete: true, UnchangedSince: 10 * time.Second}, 10*time.Second+settleTime+1, Unmoved),
)

var _ = Describe("the place of a host in the rotation", func() {
	at := func(d time.Duration) Instant { return Instant{Steady: d, Boot: d} }

	It("is certain from the first probe on while no probe is missing", func() {
		var c Continuity
		Expect(c.Unchanged(at(0))).To(BeZero())
		for d := time.Duration(0); d <= 5*time.Second; d += 500 * time.Millisecond {
			c.Answered(at(d), true)
		}
		Expect(c.Unchanged(at(5 * time.Second))).To(Equal(5 * time.Second))
		Expect(c.Since(at(5 * time.Second))).To(BeZero())
		Expect(c.Unchanged(at(5*time.Second + maxProbeGap + 1))).To(BeZero())
		Expect(c.Since(at(6 * time.Second))).To(Equal(6 * time.Second))
	})

	// Guards against a host that was out of rotation and back, and vouches for the whole time.
	DescribeTable("begins anew after", func(interrupt func(c *Continuity) Instant) {
		var c Continuity
		c.Answered(at(time.Second), true)
		c.Answered(at(1500*time.Millisecond), true)
		back := interrupt(&c)
		c.Answered(back, true)
		Expect(c.Unchanged(back)).To(BeZero())
		Expect(c.Since(back)).To(Equal(back.Steady))
	},
		Entry("a probe that was answered as not ready", func(c *Continuity) Instant {
			c.Answered(at(2*time.Second), false)
			return at(2500 * time.Millisecond)
		}),
		Entry("probes that have not come", func(*Continuity) Instant { return at(2500 * time.Millisecond) }),
		Entry("a suspension, which the steady clock does not count", func(*Continuity) Instant {
			return Instant{Steady: 2 * time.Second, Boot: 4 * time.Second}
		}),
		Entry("the begin of a stop", func(c *Continuity) Instant { c.Leave(); return at(2 * time.Second) }),
	)
})

var _ = Describe("a round of questions", func() {
	const now = time.Hour
	one, two, three := ProcessOf("one", 1), ProcessOf("two", 2), ProcessOf("three", 3)
	roster := func(list ...Process) *Roster {
		r := NewRoster(0)
		for _, p := range list {
			r.Follow("a", p)
		}
		return r
	}
	begin := func(r *Roster, peers ...string) *Round { return NewRound(now, r.View(now, "a"), peers) }
	// result returns the outcome of a round that has ended.
	result := func(r *Round) (time.Duration, bool) {
		GinkgoHelper()
		report, isDone := r.Result()
		Expect(isDone).To(BeTrue())
		return report.Unchanged, report.IsComplete()
	}

	It("ends when all hosts and control hosts have answered, with the shortest time", func() {
		r := begin(roster(one, two), "control-2")
		r.State(one, time.Minute)
		r.State(ProcessOf("one", 9), time.Second) // an earlier process
		r.Merge("control-2", DomainReport{Unchanged: 50 * time.Second, Present: []Process{three}})
		_, isDone := r.Result()
		Expect(isDone).To(BeFalse())
		r.State(two, 40*time.Second)
		unchanged, isComplete := result(r)
		Expect(unchanged).To(Equal(40 * time.Second))
		Expect(isComplete).To(BeTrue())
	})

	It("does not ask hosts of other failure domains", func() {
		hosts := roster(one)
		hosts.Follow("b", two)
		r := begin(hosts)
		r.State(one, time.Minute)
		_, isComplete := result(r)
		Expect(isComplete).To(BeTrue())
	})

	// Guards against a host that is cut off from the control hosts, forwards packets and is left out.
	It("is not complete while a host has gone without a word", func() {
		hosts := roster(one, two)
		hosts.Lose(now-time.Minute, two)
		r := begin(hosts, "control-2")
		r.State(one, time.Minute)
		r.Merge("control-2", DomainReport{Unchanged: time.Minute, Present: []Process{three}})
		_, isComplete := result(r)
		Expect(isComplete).To(BeFalse())
	})

	DescribeTable("is complete when a host that has gone", func(other DomainReport) {
		hosts := roster(one, two)
		hosts.Lose(now-time.Minute, two)
		r := begin(hosts, "control-2")
		r.State(one, time.Minute)
		r.Merge("control-2", other)
		_, isComplete := result(r)
		Expect(isComplete).To(BeTrue())
	},
		Entry("follows another control host", DomainReport{Unchanged: time.Minute, Present: []Process{two}}),
		Entry("has started again", DomainReport{Unchanged: time.Minute, Present: []Process{ProcessOf("two", 7)}}),
		Entry("has ended as planned while it followed another control host", DomainReport{Unchanged: time.Minute, Departed: []Process{two}}),
	)

	// Guards against a planned end of an earlier process that stands for one that was lost after it.
	It("is not complete when only an earlier process of the host has ended as planned", func() {
		hosts := roster(one, two)
		hosts.Lose(now-time.Minute, two)
		r := begin(hosts, "control-2")
		r.State(one, time.Minute)
		r.Merge("control-2", DomainReport{Unchanged: time.Minute, Departed: []Process{ProcessOf("two", 1)}})
		_, isComplete := result(r)
		Expect(isComplete).To(BeFalse())
	})

	// Guards against a planned end that leaves no trace: flows have moved then.
	It("covers the time since the latest planned end of a host only", func() {
		hosts := roster(one, two)
		hosts.Stopping(two)
		hosts.Lose(now-3*time.Second, two)
		r := begin(hosts)
		r.State(one, time.Minute)
		unchanged, isComplete := result(r)
		Expect(unchanged).To(Equal(3 * time.Second))
		Expect(isComplete).To(BeTrue())
	})

	// Guards against a control host that has just started and does not know the entry hosts that are about to follow it.
	It("covers no time in which the control host may not have known all its entry hosts", func() {
		hosts := NewRoster(now - returnTime - 2*time.Second)
		hosts.Follow("a", one)
		r := begin(hosts)
		r.State(one, time.Minute)
		unchanged, _ := result(r)
		Expect(unchanged).To(Equal(2 * time.Second))
	})

	It("goes by the latest process of a host", func() {
		hosts := roster(one)
		again := ProcessOf("one", 5)
		hosts.Follow("a", again)
		hosts.Lose(now, one) // the old stream ends late
		r := begin(hosts)
		r.State(one, time.Minute)
		_, isDone := r.Result()
		Expect(isDone).To(BeFalse())
		r.State(again, time.Second)
		unchanged, _ := result(r)
		Expect(unchanged).To(Equal(time.Second))
	})

	It("forgets hosts after a time", func() {
		hosts := roster(one, two, three)
		hosts.Lose(now, two)
		hosts.Stopping(three)
		hosts.Lose(now, three)
		hosts.Expire(now + departedLifetime + 1)
		v := hosts.View(now+departedLifetime+1, "a")
		Expect(v.Departed).To(BeEmpty())
		Expect(v.Missing).To(ConsistOf(two))
		hosts.Expire(now + missingLifetime + 1)
		Expect(hosts.View(now+missingLifetime+1, "a").Missing).To(BeEmpty())
	})
})
