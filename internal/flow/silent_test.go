package flow_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/document"
	"cassiawood/internal/flow"
)

// newSilentSimulation runs long flows. The backend servers lose the state of some of them,
// and the callers of others send nothing.
func newSilentSimulation(seed uint64, loseState, newFlows bool) (sim *simulation, lost, idle []*caller) {
	sim = newSimulation(seed, 6, 3, document.UnbrokenFirst)
	sim.lossRate = 0.05
	for i := range 30 {
		sim.connect(i, 1)
	}
	sim.run(3 * time.Second)
	for i, c := range sim.callers {
		switch i % 5 {
		case 0:
			lost = append(lost, c)
			for _, s := range sim.servers {
				if s.accepted[c.conn] && loseState {
					s.lostState[c.conn] = true
				}
			}
		case 1:
			idle = append(idle, c)
			c.idle = true
		}
	}
	for i := range 30 {
		if newFlows {
			sim.after(time.Duration(1+i)*time.Second, func() { sim.connect(100+i, 1) })
		}
	}
	return sim, lost, idle
}

var _ = Describe("silent flows", func() {
	for seed := range uint64(4) {
		// Guards against a caller that waits forever on a connection whose backend server lost
		// its state, and against resets of idle or slow connections (docs/design.md, section 1.1, P9).
		It(fmt.Sprint("resets silent flows but not idle ones, seed ", seed), func() {
			sim, lost, idle := newSilentSimulation(seed, true, true)
			sim.run(12 * time.Second)
			Expect(sim.stats.resets).To(BeZero(), sim.report())
			sim.run(28 * time.Second)
			for _, c := range lost {
				Expect(c.reset).To(BeTrue(), sim.report())
			}
			Expect(sim.stats.resets).To(Equal(len(lost)), sim.report())
			for _, c := range idle {
				c.idle = false
			}
			sim.run(10 * time.Second)
			Expect(sim.brokenConnections()).To(HaveLen(len(lost)))
			Expect(sim.violations).To(BeEmpty())
		})
	}

	// Guards against resets while a backend server responds to no caller at all. That is no
	// sign of lost connection state, and the server may resume.
	It("resets nothing while no later flow gets a response", func() {
		sim, _, _ := newSilentSimulation(1, true, false)
		for _, s := range sim.servers {
			for _, c := range sim.callers {
				s.lostState[c.conn] = true
			}
		}
		sim.run(40 * time.Second)
		Expect(sim.stats.resets).To(BeZero(), sim.report())
	})

	// Guards against evidence that counts packets sent before the last response.
	It("counts only packets after the last response", func() {
		e := engineOf(newTableLog(3, 6, 3, document.UnbrokenFirst), "h0")
		service := modelService(1, document.UnbrokenFirst).Address
		e.HandlePacket(0, fromCaller(1, service, flow.SYN, 0))
		for s := range 40 {
			p := fromCaller(1, service, flow.ACK, 0)
			p.Ack = 7
			e.HandlePacket(time.Duration(s)*time.Second, p)
			e.Tick(time.Duration(s) * time.Second)
		}
		Expect(e.TakeEffects().Messages).To(BeEmpty())
	})
})
