package flow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
)

// trackedFlows begins flows on all hosts' engines after an addition moved some buckets.
func trackedFlows(n int) (l *tableLog, es engines, placed map[int]directory.EndpointID) {
	l = newTableLog(3, 6, 3, document.UnbrokenFirst)
	es, placed = enginesOf(l), map[int]directory.EndpointID{}
	l.must(directory.EndpointAdded{Endpoint: modelEndpoint(1, 4, 1, 3)})
	es.update(0, l)
	l.commit()
	es.settle(l, 0)
	for i := range n {
		placed[i] = es.packet(3*time.Second, "h0", fromCaller(i, modelService(1, 0).Address, flow.SYN, 0)).Endpoint
	}
	return l, es, placed
}

// settle gives all hosts the table and runs their ticks for a while.
func (es engines) settle(l *tableLog, from time.Duration) {
	for at := from; at <= from+2*time.Second; at += 250 * time.Millisecond {
		for _, e := range es {
			if at == from {
				e.SetTable(at, flow.TableOf(l.state()))
			}
			e.Tick(at)
		}
		es.exchange(at)
	}
}

func (es engines) expectFlows(now time.Duration, placed map[int]directory.EndpointID) {
	GinkgoHelper()
	for i, id := range placed {
		for host := range es {
			v := es.packet(now, host, fromCaller(i, modelService(1, 0).Address, flow.ACK, 10))
			Expect(v.Action).To(Equal(flow.ForwardToBackend), "flow %d at %s: %v", i, host, v.Reason)
			Expect(v.Endpoint).To(Equal(id), "flow %d at %s", i, host)
		}
	}
}

var _ = Describe("holders", func() {
	// Guards against records that are lost with one host after the other (rule 9).
	It("keeps every flow while the hosts die one by one with repairs between", func() {
		l, es, placed := trackedFlows(200)
		now := 10 * time.Second
		for _, name := range []string{"h0", "h3", "h1", "h4"} {
			delete(es, name)
			for _, e := range es {
				e.PeerDown(now, name)
			}
			l.must(directory.HostRemoved{Name: name, Incarnation: 1})
			es.settle(l, now)
			es.expectFlows(now+3*time.Second, placed)
			now += 10 * time.Second
		}
	})

	// Guards against a handover that is reported before the next holders have the records, or never (rule 10).
	It("hands everything over before a planned stop is complete", func() {
		l, es, placed := trackedFlows(200)
		leaving := es["h1"]
		leaving.Stop(10 * time.Second)
		leaving.Tick(10 * time.Second)
		Expect(leaving.Ready().HandoverComplete).To(BeFalse())
		l.must(directory.HostRemoved{Name: "h1", Incarnation: 1})
		leaving.SetTable(10*time.Second, flow.TableOf(l.state()))
		leaving.Tick(10 * time.Second)
		Expect(leaving.Ready().HandoverComplete).To(BeFalse())
		es.settle(l, 10*time.Second)
		for range 3 {
			leaving.Tick(13 * time.Second)
		}
		delete(es, "h1")
		for _, e := range es {
			e.PeerDown(14*time.Second, "h1")
		}
		es.expectFlows(15*time.Second, placed)
	})

	// Guards against new flows that are refused for ever after all records are lost, and against
	// flows that are guessed in that state (rule 9).
	It("drops unknown flows after a loss of all records and later begins new ones", func() {
		l, _, placed := trackedFlows(200)
		es := enginesOf(l) // every process is new, and none has records
		service := modelService(1, 0).Address
		begun, dropped := 0, 0
		for at := time.Duration(0); at < 80*time.Second; at += 2 * time.Second {
			es.settle(l, at)
		}
		for i := range placed {
			if es.packet(81*time.Second, "h2", fromCaller(i, service, flow.ACK, 10)).Action == flow.Drop {
				dropped++
			}
		}
		for i := 1000; i < 1200; i++ {
			if es.packet(82*time.Second, "h2", fromCaller(i, service, flow.SYN, 0)).Action == flow.ForwardToBackend {
				begun++
			}
		}
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(begun).To(Equal(200))
	})
})
