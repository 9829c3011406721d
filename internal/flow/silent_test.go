package flow_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/document"
	"cassiawood/internal/flow"
)

// silentWorld runs long flows. The backend servers lose the state of some of them, and the
// callers of others send nothing.
func silentWorld(seed uint64, deafServers, newFlows bool) (w *world, deaf, idle []*caller) {
	w = newWorld(seed, 6, 3, document.UnbrokenFirst)
	w.loss = 0.05
	for i := range 30 {
		w.connect(i, 1)
	}
	w.run(3 * time.Second)
	for i, c := range w.callers {
		switch i % 5 {
		case 0:
			deaf = append(deaf, c)
			for _, s := range w.servers {
				if s.seen[c.conn] && deafServers {
					s.deaf[c.conn] = true
				}
			}
		case 1:
			idle = append(idle, c)
			c.idle = true
		}
	}
	for i := range 30 {
		if newFlows {
			w.after(time.Duration(1+i)*time.Second, func() { w.connect(100+i, 1) })
		}
	}
	return w, deaf, idle
}

var _ = Describe("silent flows", func() {
	for seed := range uint64(4) {
		// Guards against a caller that waits forever on a connection whose backend server lost
		// its state, and against resets of idle or slow connections (docs/design.md, P9).
		It(fmt.Sprint("resets silent flows but not idle ones, seed ", seed), func() {
			w, deaf, idle := silentWorld(seed, true, true)
			w.run(12 * time.Second)
			Expect(w.stats.resets).To(BeZero(), w.report())
			w.run(28 * time.Second)
			for _, c := range deaf {
				Expect(c.reset).To(BeTrue(), w.report())
			}
			Expect(w.stats.resets).To(Equal(len(deaf)), w.report())
			for _, c := range idle {
				c.idle = false
			}
			w.run(10 * time.Second)
			Expect(w.broken()).To(HaveLen(len(deaf)))
			Expect(w.violations).To(BeEmpty())
		})
	}

	// Guards against resets while a backend server responds to no caller at all. That is no
	// sign of lost connection state, and the server may resume.
	It("resets nothing while no later flow gets a response", func() {
		w, _, _ := silentWorld(1, true, false)
		for _, s := range w.servers {
			for _, c := range w.callers {
				s.deaf[c.conn] = true
			}
		}
		w.run(40 * time.Second)
		Expect(w.stats.resets).To(BeZero(), w.report())
	})

	// Guards against evidence that counts packets sent before the last response.
	It("counts only packets after the last response", func() {
		e := engineOf(newTableLog(3, 6, 3, document.UnbrokenFirst), "h0")
		feed := modelService(1, document.UnbrokenFirst).Address
		e.Packet(0, fromCaller(1, feed, flow.SYN, 0))
		for s := range 40 {
			p := fromCaller(1, feed, flow.ACK, 0)
			p.Ack = 7
			e.Packet(time.Duration(s)*time.Second, p)
			e.Tick(time.Duration(s) * time.Second)
		}
		Expect(e.Ready().Messages).To(BeEmpty())
	})
})
