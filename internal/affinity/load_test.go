package affinity_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// shortFlows is a site whose callers send each request in a flow of its own, at a utilization of 0.4.
func shortFlows(seed uint64) siteConfig {
	return siteConfig{
		seed: seed, hosts: 3, endpoints: 5, slots: 3, queue: 12, work: 58 * time.Millisecond, flowsPerSecond: 375, requestsPerFlow: 1,
		linger: 4500 * time.Millisecond, inTime: 300 * time.Millisecond,
	}
}

// longFlows is a site whose callers keep a flow for 40 requests, at a utilization of 0.4.
func longFlows(seed uint64) siteConfig {
	c := shortFlows(seed)
	c.slots, c.work, c.inTime = 2, 32*time.Millisecond, 150*time.Millisecond
	c.flowsPerSecond, c.requestsPerFlow, c.pause = 375.0/40, 40, 500*time.Millisecond
	return c
}

// minInTime is the required share of requests in time of every window.
const minInTime = 0.97

var _ = Describe("load of a site", func() {
	for seed := uint64(1); seed <= 3; seed++ {
		// Guards against a flood of new flows on a backend server that has just started: it had no
		// remembered flows yet, its queue ran full and it refused requests while others idled.
		It("serves short flows in time while backend servers are replaced", func() {
			s := newSite(shortFlows(seed))
			for i := range 10 {
				s.at(time.Duration(6+i)*time.Second, func() { s.replace(uint64(i + 1)) })
			}
			s.run(22 * time.Second)
			Expect(s.worstWindow(2*time.Second, 20*time.Second)).To(BeNumerically(">=", minInTime), s.String())
			Expect(s.refusedShare()).To(BeNumerically("<", 0.001), s.String())
		})

		// Guards against waiting for busy local backend servers while those of other domains idle.
		It("serves short flows in time after most backend servers of a failure domain have left", func() {
			s := newSite(shortFlows(seed))
			s.at(6*time.Second, func() {
				for _, id := range []uint64{1, 4, 7, 10} { // of the five in domain a
					v := s.servers[id]
					v.state.AcceptsFlows = false
					s.announce(v)
				}
			})
			s.run(16 * time.Second)
			Expect(s.worstWindow(2*time.Second, 14*time.Second)).To(BeNumerically(">=", minInTime), s.String())
		})

		// Guards against a backend server that gets a multiple of the flows that callers keep open.
		It("serves long flows in time while backend servers are replaced", func() {
			s := newSite(longFlows(seed))
			for i := range 5 {
				s.at(time.Duration(20+2*i)*time.Second, func() { s.replace(uint64(i + 1)) })
			}
			s.run(42 * time.Second)
			Expect(s.worstWindow(2*time.Second, 40*time.Second)).To(BeNumerically(">=", minInTime), s.String())
		})

		// Guards against callers that find one part of the backend servers full and the rest idle
		// when all return at the end of an outage.
		It("spreads callers that return at once after an outage", func() {
			s := newSite(shortFlows(seed))
			s.at(6*time.Second, func() {
				for range 120 { // eight for each backend server
					s.openFlow()
				}
			})
			s.run(14 * time.Second)
			Expect(s.worstWindow(2*time.Second, 12*time.Second)).To(BeNumerically(">=", minInTime), s.String())
			Expect(s.busiestOverMean()).To(BeNumerically("<", 1.25), s.String())
		})
	}
})
