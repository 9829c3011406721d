package affinity_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/affinity"
)

// newThreeDomainEngine returns the engine of a host in domain a, with two endpoints of one service in
// each of three domains.
func newThreeDomainEngine() *affinity.Engine {
	e := affinity.New(affinity.Config{Domain: "a"})
	e.SetRoutes(table(1, route(desk, "desk")))
	for i, domain := range []string{"a", "a", "b", "b", "c", "c"} {
		e.Upsert(0, endpoint(uint64(i+1), "desk", domain))
	}
	return e
}

// demand returns the demand for the service with the numbers of flows in each domain.
func demand(a, b, c int) []affinity.Demand {
	return []affinity.Demand{
		{Service: "desk", Domain: "a", Flows: a}, {Service: "desk", Domain: "b", Flows: b}, {Service: "desk", Domain: "c", Flows: c},
	}
}

// placeFlows starts n flows and returns the share of them that went to each domain.
func placeFlows(e *affinity.Engine, now time.Duration, n int) map[string]float64 {
	share := map[string]float64{}
	for port := range n {
		p := firstPacket(desk, callerAt(port+1), 0)
		p.Seq += uint32(e.FlowCount()) // a flow of an earlier call with the same port is another one
		share[e.Decide(now, p).Endpoint.Domain] += 1 / float64(n)
	}
	return share
}

var _ = Describe("demand of failure domains", func() {
	It("is the number of open flows at this host, by service", func() {
		e := newThreeDomainEngine()
		placeFlows(e, 0, 7)
		Expect(e.LocalDemand()).To(ConsistOf(affinity.Demand{Service: "desk", Domain: "a", Flows: 7}))
	})

	// Guards against flows between failure domains, which a network partition would break, while
	// all domains have about the same load.
	It("keeps flows in the local domain while its load is near the mean", func() {
		e := newThreeDomainEngine()
		e.SetDemand(0, demand(44, 40, 36))
		Expect(placeFlows(e, 0, 40)["a"]).To(BeNumerically(">", 0.85))
	})

	// Guards against overloaded endpoints while those of other domains are idle, for example when
	// callers move from one domain to another.
	It("spreads the excess over the domains below the mean", func() {
		e := newThreeDomainEngine()
		e.SetDemand(0, demand(100, 20, 0))
		share := placeFlows(e, 0, 120)
		Expect(share["a"]).To(BeNumerically("~", 0.5, 0.1)) // 1.25 times the mean of 40
		Expect(share["b"]).To(BeNumerically(">", 0.15))
		Expect(share["c"]).To(BeNumerically(">", 0.15))
	})

	It("reports when an excess starts and stops", func() {
		e := newThreeDomainEngine()
		changes := func() []bool {
			var begins []bool
			for _, x := range e.TakeExcesses() {
				begins = append(begins, x.Begins)
			}
			return begins
		}
		e.SetDemand(0, demand(100, 20, 0))
		Expect(changes()).To(Equal([]bool{true}))
		e.SetDemand(time.Second, demand(100, 20, 0))
		Expect(changes()).To(BeEmpty())
		e.SetDemand(2*time.Second, demand(40, 40, 40))
		Expect(changes()).To(Equal([]bool{false}))
		e.SetDemand(3*time.Second, demand(100, 20, 0))
		e.Tick(10 * time.Second)
		Expect(changes()).To(Equal([]bool{true, false}), "the snapshot has expired")
	})

	It("sends no excess to another domain above the mean", func() {
		e := newThreeDomainEngine()
		e.SetDemand(0, demand(80, 60, 0))
		share := placeFlows(e, 0, 120)
		Expect(share["b"]).To(BeNumerically("<", 0.1))
		Expect(share["c"]).To(BeNumerically(">", 0.2))
	})

	// Guards against an excess that is caused by a few short flows.
	It("ignores differences of single flows", func() {
		e := newThreeDomainEngine()
		e.SetDemand(0, demand(1, 0, 0))
		Expect(placeFlows(e, 0, 40)["a"]).To(BeNumerically(">", 0.85))
	})

	// Guards against decisions by an outdated snapshot: after a network partition, the unreachable
	// domains would look idle for ever.
	It("discards a snapshot that is not renewed", func() {
		e := newThreeDomainEngine()
		e.SetDemand(0, demand(100, 20, 0))
		e.Tick(10 * time.Second)
		Expect(placeFlows(e, 10*time.Second, 30)["a"]).To(BeNumerically(">", 0.85))
	})

	It("has no excess when only the demand of the local domain is known", func() {
		e := newThreeDomainEngine()
		e.SetDemand(0, demand(100, 0, 0)[:1])
		Expect(placeFlows(e, 0, 40)["a"]).To(BeNumerically(">", 0.85))
	})
})
