package affinity_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/affinity"
)

// threeDomains is a host of domain a with two endpoints of one service in each domain.
func threeDomains() *affinity.Engine {
	e := affinity.New(affinity.Config{Domain: "a"})
	e.SetRoutes(table(1, route(desk, "desk")))
	for i, domain := range []string{"a", "a", "b", "b", "c", "c"} {
		e.Upsert(0, endpoint(uint64(i+1), "desk", domain))
	}
	return e
}

func demand(a, b, c int) []affinity.Demand {
	return []affinity.Demand{
		{Service: "desk", Domain: "a", Flows: a}, {Service: "desk", Domain: "b", Flows: b}, {Service: "desk", Domain: "c", Flows: c},
	}
}

// place begins n flows and returns the share of them in each domain.
func place(e *affinity.Engine, now time.Duration, n int) map[string]float64 {
	share := map[string]float64{}
	for port := range n {
		share[e.Decide(now, first(desk, callerAt(port+1), 0)).Endpoint.Domain] += 1 / float64(n)
	}
	return share
}

var _ = Describe("demand of failure domains", func() {
	It("is what callers have open at this host, by service", func() {
		e := threeDomains()
		place(e, 0, 7)
		Expect(e.Demand()).To(ConsistOf(affinity.Demand{Service: "desk", Domain: "a", Flows: 7}))
	})

	// Guards against flows across links between failure domains, which a cut would break, while
	// all of them have about the same load.
	It("keeps flows in the own domain while its load is near the mean", func() {
		e := threeDomains()
		e.SetDemand(0, demand(44, 40, 36))
		Expect(place(e, 0, 40)["a"]).To(BeNumerically(">", 0.85))
	})

	// Guards against endpoints that are overloaded while those of other domains idle, as when
	// callers move from one domain to another.
	It("spreads the excess over domains below the mean", func() {
		e := threeDomains()
		e.SetDemand(0, demand(100, 20, 0))
		share := place(e, 0, 120)
		Expect(share["a"]).To(BeNumerically("~", 0.5, 0.1)) // 1.25 times the mean of 40
		Expect(share["b"]).To(BeNumerically(">", 0.15))
		Expect(share["c"]).To(BeNumerically(">", 0.15))
	})

	It("tells when it begins and ceases to give flows away", func() {
		e := threeDomains()
		changes := func() []bool {
			var begins []bool
			for _, x := range e.Excesses() {
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
		Expect(changes()).To(Equal([]bool{true, false}), "the picture is too old")
	})

	It("sends no excess to a domain that is above the mean itself", func() {
		e := threeDomains()
		e.SetDemand(0, demand(80, 60, 0))
		share := place(e, 0, 120)
		Expect(share["b"]).To(BeNumerically("<", 0.1))
		Expect(share["c"]).To(BeNumerically(">", 0.2))
	})

	// Guards against a few short flows that look like an overload.
	It("does not count differences of single flows", func() {
		e := threeDomains()
		e.SetDemand(0, demand(1, 0, 0))
		Expect(place(e, 0, 40)["a"]).To(BeNumerically(">", 0.85))
	})

	// Guards against decisions by a picture from before a cut: the domains that are out of reach
	// would look idle for ever.
	It("forgets a picture that is not renewed", func() {
		e := threeDomains()
		e.SetDemand(0, demand(100, 20, 0))
		e.Tick(10 * time.Second)
		Expect(place(e, 10*time.Second, 30)["a"]).To(BeNumerically(">", 0.85))
	})

	It("counts the own domain as fair when it alone is known", func() {
		e := threeDomains()
		e.SetDemand(0, demand(100, 0, 0)[:1])
		Expect(place(e, 0, 40)["a"]).To(BeNumerically(">", 0.85))
	})
})
