package directory_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cassiawood/internal/directory"
)

var _ = Describe("bucket table", func() {
	// Guards against two hosts that place packets of one flow on different endpoints
	// because one of them has not applied the last log entry.
	It("moves a bucket in two steps", func() {
		l := newLogWithEndpoints(2)
		before := l.buckets("desk")
		l.apply(directory.EndpointStateChanged{Instance: "desk-1", State: directory.Draining})
		for i, b := range l.buckets("desk") {
			Expect(b.Current).To(Equal(before[i].Current))
			if b.Current == 1 {
				Expect(b).To(Equal(directory.Bucket{Current: 1, Base: 1, Next: 2}))
			}
		}
		l.commit()
		for i, b := range l.buckets("desk") {
			Expect(b.Current).To(BeEquivalentTo(2))
			if before[i].Current == 1 {
				Expect(b).To(Equal(directory.Bucket{Current: 2, Base: 1, Since: []directory.EndpointID{2}}))
			}
		}
	})

	// Guards against a commit that relies on acknowledgments of an earlier
	// preparation.
	It("commits no move that was prepared after the acknowledged index", func() {
		l := newLogWithEndpoints(3)
		l.apply(directory.EndpointStateChanged{Instance: "desk-1", State: directory.Draining})
		acknowledged := l.index
		l.apply(directory.EndpointStateChanged{Instance: "desk-2", State: directory.Leaving})
		before := l.buckets("desk")
		l.apply(directory.MovesCommitted{UpTo: acknowledged})
		committed := 0
		for i, b := range l.buckets("desk") {
			// The second preparation has the buckets of desk-2 and those with a prepared
			// move to it.
			if before[i].Next == 3 && b.Next == 0 {
				committed++
			}
		}
		Expect(committed).To(BeNumerically("~", 1024/6, 1))
		index, ok := l.state.OldestPendingMove()
		Expect(ok).To(BeTrue())
		Expect(index).To(Equal(acknowledged + 1))
	})

	// Guards against a bucket that needs records forever, and against one that
	// settles before every host has applied the removal of its base.
	It("settles a bucket in two steps after the tombstone of its base", func() {
		l := newLogWithEndpoints(2)
		l.apply(directory.EndpointRemoved{Instance: "desk-1"})
		l.commit()
		l.at += directory.TombstoneDuration - 3*time.Millisecond
		l.apply(nil)
		Expect(l.buckets("desk")).To(ContainElement(directory.Bucket{Current: 2, Base: 1, Since: []directory.EndpointID{2}}))
		l.apply(nil)
		Expect(l.buckets("desk")).To(ContainElement(directory.Bucket{Current: 2, Base: 2, Since: []directory.EndpointID{2}}))
		l.commit()
		Expect(l.buckets("desk")).To(HaveEach(directory.Bucket{Current: 2, Base: 2}))
		_, ok := l.state.Endpoint(1)
		Expect(ok).To(BeFalse())
	})

	// Guards against a table that grows with each restart, and against a bucket
	// that settles while packets of a removed endpoint's flows may still arrive.
	It("represents all removed endpoints of a bucket by the last one", func() {
		l := newLogWithEndpoints(2)
		for _, instance := range []string{"desk-1", "desk-2"} {
			l.apply(directory.EndpointAdded{Endpoint: endpoint("desk", 10+len(l.state.EndpointIDs()), "zone-1", directory.Ready)})
			l.commit()
			l.apply(directory.EndpointRemoved{Instance: instance})
			l.commit()
			l.at += time.Hour
		}
		removed := 0
		for _, b := range l.buckets("desk") {
			Expect(b.Since).NotTo(ContainElement(BeNumerically("<", 3)))
			if b.Base == 2 {
				removed++
			}
		}
		Expect(removed).To(BeNumerically(">", 512))
		l.at += 22*time.Hour + 30*time.Minute // the tombstone of desk-1 expires, that of desk-2 does not
		l.apply(nil)
		for _, b := range l.buckets("desk") {
			if b.Base == 2 {
				removed--
			}
		}
		Expect(removed).To(BeZero())
	})

	// Guards against packets of a removed endpoint's flows that reach a base which is
	// not removed, and the reverse.
	It("keeps a removed endpoint when the base is not removed", func() {
		l := newLogWithEndpoints(3)
		l.apply(directory.BucketsMoved{Service: "desk", From: 1, To: 2, Count: 50})
		l.commit()
		l.apply(directory.EndpointRemoved{Instance: "desk-2"})
		l.commit()
		kept := 0
		for _, b := range l.buckets("desk") {
			if b.Base == 1 && slices.Contains(b.Since, 2) {
				kept++
			}
		}
		Expect(kept).To(Equal(50))
	})

	// Guards against buckets that stay on an endpoint whose address was announced by
	// an instance of another service.
	It("moves the buckets of an endpoint that another service's instance replaces", func() {
		l := newLogWithEndpoints(2)
		l.acceptChange("print", 0, service("print", 2))
		replacement := endpoint("print", 1, "zone-0", directory.Ready) // on the address of desk-1
		Expect(l.apply(directory.EndpointAdded{Endpoint: replacement}).Applied).To(BeTrue())
		Expect(countOwned(l.buckets("desk"))).To(Equal(map[directory.EndpointID]int{2: 1024}))
		Expect(countOwned(l.buckets("print"))).To(Equal(map[directory.EndpointID]int{3: 1024}))
	})

	// Guards against flows on an endpoint that is not ready.
	It("gives a starting endpoint no bucket", func() {
		l := newLogWithEndpoints(2)
		l.apply(directory.EndpointAdded{Endpoint: endpoint("desk", 9, "zone-1", directory.Starting)})
		Expect(countOwned(l.buckets("desk"))).NotTo(HaveKey(directory.EndpointID(3)))
		l.apply(directory.EndpointStateChanged{Instance: "desk-9", State: directory.Ready})
		Expect(countOwned(l.buckets("desk"))).To(HaveKeyWithValue(directory.EndpointID(3), BeNumerically("~", 341, 1)))
	})

	// Guards against a change that moves more buckets than necessary, since moved
	// buckets need records.
	DescribeTable("moves about 1/n of the buckets",
		func(n int) {
			l := newLogWithEndpoints(n)
			l.apply(directory.EndpointStateChanged{Instance: "desk-1", State: directory.Draining})
			Expect(l.countPrepared()).To(BeNumerically("~", 1024/n, 1))
			l.commit()
			l.apply(directory.EndpointAdded{Endpoint: endpoint("desk", n+1, "zone-1", directory.Ready)})
			Expect(l.countPrepared()).To(BeNumerically("~", 1024/n, 1))
		},
		Entry("4", 4), Entry("15", 15), Entry("200", 200),
	)

	// Guards against a load-balancing move that the next change of endpoints reverts.
	It("keeps the distribution that BucketsMoved has made", func() {
		l := newLogWithEndpoints(4)
		Expect(l.apply(directory.BucketsMoved{Service: "desk", From: 1, To: 2, Count: 100}).Applied).To(BeTrue())
		l.commit()
		l.apply(directory.EndpointStateChanged{Instance: "desk-4", State: directory.Draining})
		Expect(countOwned(l.buckets("desk"))[2]).To(BeNumerically(">=", 356))
		Expect(l.apply(directory.BucketsMoved{Service: "desk", From: 1, To: 4, Count: 1}).Reason).To(ContainSubstring("accepts no new flows"))
	})
})

// countPrepared counts the buckets with a prepared move.
func (l *testLog) countPrepared() int {
	count := 0
	for _, b := range l.buckets("desk") {
		if b.Next != 0 {
			count++
		}
	}
	return count
}

// randomCommand draws a command about one service and a few hosts.
func randomCommand(t *rapid.T, l *testLog) directory.Command {
	n := rapid.IntRange(1, 9).Draw(t, "endpoint")
	instance := fmt.Sprintf("desk-%d", n)
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1:
		state := directory.EndpointState(rapid.IntRange(0, 3).Draw(t, "state"))
		e := endpoint("desk", n, fmt.Sprintf("zone-%d", n%3), state)
		e.Instance = fmt.Sprintf("desk-%d", rapid.IntRange(1, 99).Draw(t, "instance"))
		return directory.EndpointAdded{Endpoint: e}
	case 2, 3:
		return directory.EndpointStateChanged{Instance: instance, State: directory.EndpointState(rapid.IntRange(0, 4).Draw(t, "state"))}
	case 4:
		return directory.EndpointRemoved{Instance: instance}
	case 5:
		return directory.EndpointSuspected{Instance: instance, Suspected: rapid.Bool().Draw(t, "suspected")}
	case 6:
		l.at += time.Duration(rapid.IntRange(0, 30).Draw(t, "hours")) * time.Hour
		return nil
	case 7:
		return directory.DomainService{Domain: fmt.Sprintf("zone-%d", n%3), Out: rapid.Bool().Draw(t, "out")}
	case 8:
		return directory.BucketsMoved{Service: "desk", From: directory.EndpointID(n), To: directory.EndpointID(n%9 + 1), Count: 10}
	default:
		return directory.MovesCommitted{UpTo: l.index - uint64(rapid.IntRange(0, 3).Draw(t, "lag"))}
	}
}

// newRandomTestLog returns a log with one service and three failure domains.
func newRandomTestLog() *testLog {
	l := &testLog{state: directory.NewWithBuckets(64)}
	l.acceptChange("desk", 0, service("desk", 1))
	for i := range 3 {
		l.apply(directory.HostAdded{Host: directory.Host{Name: fmt.Sprintf("host-%d", i), Incarnation: 1, Domain: fmt.Sprintf("zone-%d", i)}})
	}
	return l
}

// Guards against a move that was not prepared, a bucket without an accepting
// endpoint while there is one, a move to a tombstone, and a bucket that drops an
// endpoint while its flows remain.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newRandomTestLog()
		for range rapid.IntRange(1, 60).Draw(t, "entries") {
			before := l.buckets("desk")
			out := l.apply(randomCommand(t, l))
			checkInvariants(t, l, out, before, l.buckets("desk"))
		}
	})
}

// flowsKept reports whether packets of an endpoint's flows still reach it through
// bucket b or, when it is removed, reach a removed endpoint.
func flowsKept(l *testLog, b directory.Bucket, e *directory.Endpoint) bool {
	if b.Base == e.ID || slices.Contains(b.Since, e.ID) {
		return true
	}
	base, known := l.state.Endpoint(b.Base)
	return known && e.State == directory.Removed && base.State == directory.Removed && base.RemovedAt >= e.RemovedAt
}

// checkInvariants fails the test when an entry has changed a bucket against the
// rules.
func checkInvariants(t *rapid.T, l *testLog, out directory.Outcome, before, after []directory.Bucket) {
	anyAccepts := false
	for _, id := range l.state.EndpointIDs() {
		anyAccepts = anyAccepts || l.state.Accepts(id)
	}
	for i, b := range after {
		_, known := l.state.Endpoint(b.Current)
		if b.Current != before[i].Current && b.Current != 0 && b.Current != before[i].Next {
			t.Fatalf("%d: bucket %d went from %+v to %+v without a prepared move", out.Index, i, before[i], b)
		}
		if b.Current != 0 && !known {
			t.Fatalf("%d: bucket %d is on endpoint %d, which the directory no longer has", out.Index, i, b.Current)
		}
		if before[i].Settled() && b.Settled() && b.Current != before[i].Current && b.Current != 0 {
			t.Fatalf("%d: bucket %d went from settled %+v to settled %+v", out.Index, i, before[i], b)
		}
		if b.Next != 0 && !l.state.Accepts(b.Next) {
			t.Fatalf("%d: bucket %d moves to endpoint %d, which accepts no flows", out.Index, i, b.Next)
		}
		for _, id := range append([]directory.EndpointID{before[i].Base}, before[i].Since...) {
			if e, known := l.state.Endpoint(id); known && !flowsKept(l, b, e) {
				t.Fatalf("%d: bucket %d lost the flows of endpoint %d: %+v to %+v", out.Index, i, id, before[i], b)
			}
		}
		if anyAccepts && !l.state.Accepts(b.Current) && b.Next == 0 {
			t.Fatalf("%d: bucket %d has neither an accepting endpoint nor a prepared move, although an endpoint accepts flows: %+v", out.Index, i, b)
		}
	}
}
