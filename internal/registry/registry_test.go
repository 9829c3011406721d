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
	return registry.New(registry.Limits{Silent: 2600 * time.Millisecond, Forget: time.Minute})
}

func report(born int64, seq uint64, state registry.State, heard time.Duration) registry.Endpoint {
	return registry.Endpoint{
		ID: 7, Name: "i-7", Born: born, Seq: seq, Service: "desk", State: state, Slots: 2, Heard: heard,
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
	// Guards against new work for an endpoint that leaves, after a late report that says it is ready.
	It("does not take back that an endpoint drains", func() {
		r := newRegistry()
		r.Merge(report(100, 5, registry.Draining, time.Second))
		Expect(r.Merge(report(100, 4, registry.Ready, 2*time.Second))).To(BeFalse())
		Expect(r.Merge(report(100, 6, registry.Ready, 3*time.Second))).To(BeFalse())
		Expect(state(r)).To(Equal(registry.Draining))
	})

	// Guards against a report that a partition has held up and that arrives after its sender
	// has started again under the same identity.
	It("takes a newer incarnation and ignores what is left of an older one", func() {
		r := newRegistry()
		r.Merge(report(100, 50, registry.Draining, time.Second))
		Expect(r.Merge(report(200, 1, registry.Ready, 2*time.Second))).To(BeTrue())
		Expect(r.Merge(report(100, 51, registry.Gone, 3*time.Second))).To(BeFalse())
		Expect(state(r)).To(Equal(registry.Ready))
	})

	It("takes a farewell without an incarnation for the known one", func() {
		r := newRegistry()
		r.Merge(report(100, 5, registry.Draining, time.Second))
		Expect(r.Merge(registry.Endpoint{ID: 7, State: registry.Gone, Heard: 2 * time.Second})).To(BeTrue())
		Expect(state(r)).To(Equal(registry.Gone))
	})

	// Guards against an endpoint that gets no work for ever because of a late farewell of its
	// earlier incarnation.
	It("believes newer reports more than a farewell without an incarnation", func() {
		r := newRegistry()
		r.Merge(report(200, 1, registry.Ready, time.Second))
		r.Merge(registry.Endpoint{ID: 7, State: registry.Gone, Heard: 2 * time.Second})
		r.Merge(report(200, 2, registry.Ready, 2100*time.Millisecond))
		Expect(state(r)).To(Equal(registry.Gone), "the report may have been sent before the farewell")
		Expect(r.Merge(report(200, 4, registry.Ready, 5*time.Second))).To(BeTrue())
		Expect(state(r)).To(Equal(registry.Ready))
	})

	It("does not believe an older statement that comes after a farewell of an unknown endpoint", func() {
		r := newRegistry()
		r.Merge(registry.Endpoint{ID: 7, State: registry.Gone, Heard: 2 * time.Second})
		r.Merge(report(100, 5, registry.Ready, time.Second))
		Expect(state(r)).To(Equal(registry.Gone))
	})

	// Guards against another writer that moves a live endpoint to a foreign service.
	It("keeps service and address of an incarnation", func() {
		r := newRegistry()
		r.Merge(report(100, 1, registry.Ready, time.Second))
		foreign := report(100, 2, registry.Ready, 2*time.Second)
		foreign.Service, foreign.Address = "sheet", netip.MustParseAddrPort("10.9.9.9:1")
		r.Merge(foreign)
		e, _ := r.Get(7)
		Expect(e.Service).To(Equal("desk"))
		Expect(e.Address.String()).To(Equal("10.0.0.7:8080"))
	})

	// Guards against new flows on dead endpoints whenever control hosts exchange what they know:
	// the age of a report loses some milliseconds on its way.
	It("does not take an old report from another host for a sign of life", func() {
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

	It("finds endpoints silent, alive again and forgotten", func() {
		r := newRegistry()
		r.Merge(report(100, 1, registry.Ready, time.Second))
		silent, _ := r.Tick(2 * time.Second)
		Expect(silent).To(BeEmpty())
		silent, _ = r.Tick(4 * time.Second)
		Expect(silent).To(HaveLen(1))
		silent, _ = r.Tick(5 * time.Second)
		Expect(silent).To(BeEmpty(), "it is told once")
		Expect(r.Alive(7, 2, 6*time.Second)).To(BeTrue())
		Expect(r.Alive(7, 3, 7*time.Second)).To(BeFalse(), "a mere sign of life changes nothing")
		_, forgotten := r.Tick(70 * time.Second)
		Expect(forgotten).To(Equal([]uint64{7}))
		Expect(r.Len()).To(BeZero())
	})
})

// Guards against control hosts that disagree for ever, because they heard the
// same statements in another order.
func TestMergeNeedsNoOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statements := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) registry.Endpoint {
			born := int64(rapid.IntRange(1, 3).Draw(t, "born")) * 100
			seq := rapid.Uint64Range(1, 5).Draw(t, "seq")
			return report(born, seq, registry.State(rapid.IntRange(1, 3).Draw(t, "state")), time.Duration(seq)*time.Second)
		}), 1, 8).Draw(t, "statements")
		order := rapid.Permutation(statements).Draw(t, "order")
		one, other := newRegistry(), newRegistry()
		for _, e := range statements {
			one.Merge(e)
		}
		for _, e := range order {
			other.Merge(e)
		}
		a, _ := one.Get(7)
		b, _ := other.Get(7)
		if a.Born != b.Born || a.State != b.State || a.Seq != b.Seq {
			t.Fatalf("%+v\n%+v", a, b)
		}
	})
}
