package wal_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cassiawood/internal/changelog"
)

func TestWal(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "changelog storage and cluster")
}

var faults = []struct {
	name  string
	apply func(m *member)
}{
	{"crash", func(m *member) { m.crash(false) }},
	{diskLoss, func(m *member) { m.crash(true) }},
	{"partition", func(m *member) { m.cluster.isolated[m.id] = true }},
	{"freeze", func(m *member) { m.frozenUntil = m.cluster.now + time.Second }},
	{"duplicated messages", func(m *member) { m.duplicatesUntil = m.cluster.now + time.Second }},
	{"delayed messages", func(m *member) { m.delaysUntil = m.cluster.now + time.Second }},
}

// steps are the points in the processing of a Ready at which a fault is injected.
// A step with matchesOp is inside Save, before the file operation for which it
// returns true.
var steps = []struct {
	name      string
	matchesOp func(op, name string) bool
}{
	{"before write", nil},
	{"after sync", nil},
	{"after answer", nil},
	{duringInstall, nil},
	{"after write", func(op, name string) bool { return op == "sync" && strings.HasPrefix(name, "log-") }},
	{"during snapshot write", func(op, name string) bool { return op == "sync" && name == "snapshot.tmp" }},
	{"during snapshot rename", func(op, name string) bool { return op == "rename" }},
	{"after snapshot rename", func(op, name string) bool { return op == "syncdir" }},
	{"during log rotation", func(op, name string) bool { return op == "create" && strings.HasPrefix(name, "log-") }},
	{"during install, after rename", func(op, name string) bool { return op == "syncdir" }},
	{"during install, after reset", func(op, name string) bool { return op == "sync" && strings.HasPrefix(name, "log-") }},
	{"during install, after removal", func(op, name string) bool { return op == "remove" }},
}

const (
	duringInstall = "during install"
	diskLoss      = "loss of disk"
)

// inject applies a fault the next time that m reaches the step.
func inject(m *member, step string, matchesOp func(op, name string) bool, fault func(*member), applied *bool) {
	applyFault := func() (stopped bool) {
		*applied = true
		m.onStep, m.disk.beforeOp = nil, nil
		fault(m)
		return m.restartAt != 0 || m.frozenUntil != 0
	}
	if matchesOp == nil {
		m.onStep = func(at string) bool { return at == step && applyFault() }
		return
	}
	before := func(op, name string) error {
		if matchesOp(op, name) && applyFault() && m.restartAt != 0 {
			return errInjected
		}
		return nil
	}
	if !strings.HasPrefix(step, duringInstall) {
		m.disk.beforeOp = before
		return
	}
	m.onStep = func(at string) bool {
		if at == duringInstall {
			m.disk.beforeOp = before
		}
		return false
	}
}

var _ = Describe("fault matrix", func() {
	for _, step := range steps {
		for _, fault := range faults {
			// Guards against an answer that is sent before the state behind it is
			// synced, against files that lose entries or votes in a crash, and against
			// the loss of another disk right after recovery from the first fault.
			It(step.name+": "+fault.name, func() {
				for seed := range uint64(4) {
					By(fmt.Sprintf("seed %d", seed))
					runFault(step.name, step.matchesOp, fault.apply, seed)
				}
			})
		}
	}
})

func runFault(step string, matchesOp func(op, name string) bool, fault func(*member), seed uint64) {
	c := newCluster(3+2*int(seed%2), seed)
	c.run(time.Second)
	target := c.leader()
	installs := strings.HasPrefix(step, duringInstall)
	if seed%3 != 0 || installs {
		target = c.follower()
	}
	if installs {
		c.isolated[target.id] = true
		c.run(3 * time.Second)
		delete(c.isolated, target.id)
	}
	applied := false
	inject(target, step, matchesOp, fault, &applied)
	c.run(3 * time.Second)
	Expect(applied).To(BeTrue(), "step %q was not reached", step)
	delete(c.isolated, target.id)
	c.run(2 * time.Second)
	c.checkRecovered()
	other := c.members[target.id%uint64(len(c.members))]
	other.crash(true)
	c.run(3 * time.Second)
	for _, m := range c.members {
		m.crash(false)
	}
	c.run(2 * time.Second)
	c.checkRecovered()
}

var _ = Describe("cluster", func() {
	// Guards against a member that raises its term while it is cut off and then
	// deposes a working leader.
	It("keeps its leader when a member returns after a long partition", func() {
		for seed := range uint64(5) {
			c := newCluster(5, seed)
			c.run(time.Second)
			c.isolated[c.follower().id] = true
			leader := c.leader()
			term := leader.node.Status().Term
			c.run(30 * time.Second)
			clear(c.isolated)
			c.run(3 * time.Second)
			Expect(c.leader()).To(BeIdenticalTo(leader), "seed %d", seed)
			Expect(leader.node.Status().Term).To(Equal(term), "seed %d", seed)
			c.checkRecovered()
		}
	})

	// Guards against combinations of faults that the matrix does not contain. At
	// most one member at a time has lost its disk.
	It("stays safe in any sequence of faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newCluster(3, rapid.Uint64Max(1<<16).Draw(t, "seed"))
			c.run(time.Second) // members restart with Rejoining, so the group must have elected a leader before
			c.lossRate = 0.05
			for range rapid.IntRange(1, 12).Draw(t, "faults") {
				m := c.member(rapid.Uint64Range(1, 3).Draw(t, "member"))
				if fault := rapid.SampledFrom(faults).Draw(t, "fault"); m.node != nil && (fault.name != diskLoss || c.allDisksIntact()) {
					fault.apply(m)
				}
				c.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * millisecond)
				if rapid.Bool().Draw(t, "heal") {
					clear(c.isolated)
				}
			}
			clear(c.isolated)
			c.run(4 * time.Second)
			c.checkRecovered()
		})
	})

	// Guards against a leader on the minority side of a partition that keeps
	// accepting proposals which can never be committed.
	It("makes a leader without quorum contact step down and reject proposals", func() {
		c := newCluster(3, 1)
		c.run(time.Second)
		old := c.leader()
		c.isolated[old.id] = true
		c.run(time.Second)
		Expect(old.node.Status().Role).NotTo(Equal(changelog.Leader))
		_, _, err := old.node.Propose([]byte("x"))
		Expect(err).To(BeAssignableToTypeOf(changelog.NotLeaderError{}))
		Expect(c.leader()).NotTo(BeIdenticalTo(old))
	})

	// Guards against a restart that replays the log to another state than before,
	// with snapshots and changes of leader in between.
	It("has the same state after a restart with several hundred entries", func() {
		c := newCluster(3, 2)
		for range 4 {
			c.run(3 * time.Second)
			c.leader().crash(false)
		}
		c.run(2 * time.Second)
		Expect(len(c.acknowledged)).To(BeNumerically(">", 400))
		for _, m := range c.members {
			m.crash(false)
		}
		c.run(2 * time.Second)
		c.checkRecovered()
	})
})
