package registry_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cassiawood/internal/registry"
)

func TestRegistry(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registry")
}

func newRegistry() *registry.Registry {
	return registry.New(registry.Limits{SilentAfter: 2600 * time.Millisecond, ForgetAfter: time.Minute})
}

func report(startedAtMs int64, seq uint64, state registry.State, lastReportAt time.Duration) registry.Endpoint {
	return registry.Endpoint{
		ID: 7, Name: "i-7", StartedAtMs: startedAtMs, Seq: seq, Service: "desk", State: state, Slots: 2, LastReportAt: lastReportAt,
		Address: netip.MustParseAddrPort("10.0.0.7:8080"),
	}
}

func state(r *registry.Registry) registry.State {
	GinkgoHelper()
	e, ok := r.Get(7)
	Expect(ok).To(BeTrue())
	return e.State
}

var _ = Describe("Registry", func() {
	// Guards against new work for a draining endpoint after a delayed report that it is ready.
	It("keeps a draining endpoint draining", func() {
		r := newRegistry()
		r.Merge(report(100, 5, registry.Draining, time.Second))
		Expect(r.Merge(report(100, 4, registry.Ready, 2*time.Second))).To(BeFalse())
		Expect(r.Merge(report(100, 6, registry.Ready, 3*time.Second))).To(BeFalse())
		Expect(state(r)).To(Equal(registry.Draining))
	})

	// Guards against a report that a network partition delayed until its sender had restarted
	// under the same identity.
	It("replaces an older incarnation and ignores its delayed reports", func() {
		r := newRegistry()
		r.Merge(report(100, 50, registry.Draining, time.Second))
		Expect(r.Merge(report(200, 1, registry.Ready, 2*time.Second))).To(BeTrue())
		Expect(r.Merge(report(100, 51, registry.Gone, 3*time.Second))).To(BeFalse())
		Expect(state(r)).To(Equal(registry.Ready))
	})

	// removal is a removal report that names no incarnation.
	removal := func(at time.Duration) registry.Endpoint {
		return registry.Endpoint{ID: 7, State: registry.Gone, LastReportAt: at}
	}
	endpoint := func(r *registry.Registry) registry.Endpoint {
		GinkgoHelper()
		e, ok := r.Get(7)
		Expect(ok).To(BeTrue())
		return e
	}

	// Guards against new flows to an endpoint that has left without reporting its start time, and against its open
	// flows, whose callers wait in vain.
	It("takes the known incarnation out of use at once after a removal report without one, and for gone when it is silent", func() {
		r := newRegistry()
		r.Merge(report(100, 5, registry.Ready, time.Second))
		Expect(r.Merge(removal(2 * time.Second))).To(BeTrue())
		Expect(endpoint(r).AcceptsFlows()).To(BeFalse())
		_, _ = r.Tick(3500 * time.Millisecond)
		Expect(endpoint(r).HasLeft()).To(BeFalse(), "a report may still come")
		silent, _ := r.Tick(3600 * time.Millisecond)
		Expect(silent).To(HaveLen(1))
		Expect(endpoint(r).HasLeft()).To(BeTrue())
	})

	// Guards against resets of the flows of a running endpoint, and against one that gets no work any more, because
	// of a delayed removal report of its earlier incarnation.
	It("never takes an endpoint for gone that goes on reporting after a removal report without an incarnation", func() {
		for _, state := range []registry.State{registry.Ready, registry.Draining} {
			r := newRegistry()
			r.Merge(report(200, 1, state, 0))
			r.Merge(removal(1100 * time.Millisecond))
			for seq, at := uint64(2), 1200*time.Millisecond; at < 10*time.Second; seq, at = seq+1, at+1200*time.Millisecond {
				_, _ = r.Tick(at - 50*time.Millisecond)
				Expect(endpoint(r).HasLeft()).To(BeFalse())
				Expect(r.Merge(report(200, seq, state, at))).To(Equal(seq == 3), "the first one may have been sent before")
				Expect(endpoint(r).AcceptsFlows()).To(Equal(state == registry.Ready && seq >= 3))
			}
		}
	})

	// Guards against copies that differ because the same reports took longer to one host than to the other: the time
	// between two reports is not the same at both.
	It("judges a removal report alike at each host, however long the reports took", func() {
		for _, delay := range []time.Duration{0, 50 * time.Millisecond, 5 * time.Second} {
			r := newRegistry()
			r.Merge(report(100, 5, registry.Ready, time.Second))
			r.Merge(removal(2 * time.Second))
			other := newRegistry()
			other.Merge(endpoint(r))
			for seq := uint64(6); seq <= 7; seq++ {
				at := time.Duration(seq-3) * time.Second
				r.Merge(report(100, seq, registry.Ready, at))
				other.RecordSignOfLife(7, 100, seq, at+delay)
				Expect(endpoint(other).AcceptsFlows()).To(Equal(endpoint(r).AcceptsFlows()))
			}
			Expect(endpoint(r).AcceptsFlows()).To(BeTrue())
		}
	})

	// Guards against new flows to an endpoint that has left, after a report that was delayed.
	It("keeps an endpoint out of use when its removal report arrives before an older report", func() {
		r := newRegistry()
		r.Merge(removal(2 * time.Second))
		r.Merge(report(100, 5, registry.Ready, time.Second))
		Expect(endpoint(r).AcceptsFlows()).To(BeFalse())
		_, _ = r.Tick(3600 * time.Millisecond)
		Expect(endpoint(r).HasLeft()).To(BeTrue())
	})

	// Guards against a sign of life of an earlier incarnation, delayed by a partition: its sequence number would make
	// the host ignore the signs of life of the running one, which would fall silent there.
	It("ignores signs of life of other incarnations", func() {
		r := newRegistry()
		r.Merge(report(200, 1, registry.Ready, time.Second))
		r.RecordSignOfLife(7, 100, 500, 2*time.Second)
		Expect(endpoint(r).Seq).To(BeEquivalentTo(1))
		r.RecordSignOfLife(7, 200, 2, 3*time.Second)
		Expect(endpoint(r).LastReportAt).To(Equal(3 * time.Second))
	})

	// Guards against an endpoint that other hosts reject, so that copies differ for good: its sequence number is the
	// highest one that is allowed.
	It("gives a removal report a sequence number that is allowed", func() {
		r := newRegistry()
		highest := report(100, 1<<53, registry.Ready, time.Second)
		highest.Domain = "a"
		r.Merge(highest)
		r.Merge(removal(2 * time.Second))
		Expect(endpoint(r).AcceptsFlows()).To(BeFalse())
		Expect(endpoint(r).Check(0)).To(Succeed())
	})

	// Guards against an endpoint without start times that is never used again under its ID.
	It("takes a report without a start time for a new incarnation after the endpoint has left", func() {
		r := newRegistry()
		r.Merge(report(0, 50, registry.Draining, time.Second))
		r.Merge(removal(2 * time.Second))
		_, _ = r.Tick(5 * time.Second)
		Expect(r.Merge(endpoint(r))).To(BeFalse(), "the same from another host")
		r.Merge(report(0, 1, registry.Ready, 6*time.Second))
		Expect(endpoint(r).AcceptsFlows()).To(BeTrue())
	})

	// Guards against another sender that moves a running endpoint to another service.
	It("keeps the service and address of an incarnation", func() {
		r := newRegistry()
		r.Merge(report(100, 1, registry.Ready, time.Second))
		foreign := report(100, 2, registry.Ready, 2*time.Second)
		foreign.Service, foreign.Address = "sheet", netip.MustParseAddrPort("10.9.9.9:1")
		r.Merge(foreign)
		e, _ := r.Get(7)
		Expect(e.Service).To(Equal("desk"))
		Expect(e.Address.String()).To(Equal("10.0.0.7:8080"))
	})

	// Guards against new flows on failed endpoints whenever control hosts exchange their copies: a
	// forwarded report seems some milliseconds newer than it is.
	It("keeps an endpoint silent after an outdated report from another host", func() {
		r := newRegistry()
		r.Merge(report(100, 1, registry.Ready, time.Second))
		r.Tick(10 * time.Second)
		Expect(r.Merge(report(100, 1, registry.Ready, time.Second+3*time.Millisecond))).To(BeFalse())
		e, _ := r.Get(7)
		Expect(e.Silent).To(BeTrue())
		other := newRegistry()
		other.Tick(10 * time.Second)
		other.Merge(report(100, 1, registry.Ready, time.Second))
		e, _ = other.Get(7)
		Expect(e.Silent).To(BeTrue())
	})

	// Guards against entry hosts that are not told of a change, or are told on every tick.
	It("reports endpoints that become silent, recover and are removed", func() {
		r := newRegistry()
		r.Merge(report(100, 1, registry.Ready, time.Second))
		silent, _ := r.Tick(2 * time.Second)
		Expect(silent).To(BeEmpty())
		silent, _ = r.Tick(4 * time.Second)
		Expect(silent).To(HaveLen(1))
		silent, _ = r.Tick(5 * time.Second)
		Expect(silent).To(BeEmpty(), "it is reported once")
		Expect(r.RecordSignOfLife(7, 100, 2, 6*time.Second)).To(BeTrue())
		Expect(r.RecordSignOfLife(7, 100, 3, 7*time.Second)).To(BeFalse(), "the endpoint was not silent")
		_, forgotten := r.Tick(70 * time.Second)
		Expect(forgotten).To(Equal([]uint64{7}))
		Expect(r.Len()).To(BeZero())
	})
})

// Guards against control hosts whose copies differ permanently because they received the same
// reports in a different order.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) registry.Endpoint {
			startedAtMs := int64(rapid.IntRange(1, 3).Draw(t, "born")) * 100
			seq := rapid.Uint64Range(1, 5).Draw(t, "seq")
			e := report(startedAtMs, seq, registry.State(rapid.IntRange(1, 3).Draw(t, "state")), time.Duration(seq)*time.Second)
			e.RemovalSeq = rapid.Uint64Range(0, 6).Draw(t, "removal")
			return e
		}), 1, 8).Draw(t, "reports")
		order := rapid.Permutation(reports).Draw(t, "order")
		one, other := newRegistry(), newRegistry()
		for _, e := range reports {
			one.Merge(e)
		}
		for _, e := range order {
			other.Merge(e)
		}
		a, _ := one.Get(7)
		b, _ := other.Get(7)
		if a.StartedAtMs != b.StartedAtMs || a.State != b.State || a.Seq != b.Seq || a.AcceptsFlows() != b.AcceptsFlows() {
			t.Fatalf("%+v\n%+v", a, b)
		}
	})
}
