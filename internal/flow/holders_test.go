package flow_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
)

// trackedFlows begins n flows after the addition of an endpoint moved some buckets, and
// returns the endpoint of each.
func trackedFlows(n int) (l *tableLog, es engines, placed map[int]directory.EndpointID) {
	l = newTableLog(3, 6, 3, document.UnbrokenFirst)
	es, placed = enginesOf(l), map[int]directory.EndpointID{}
	l.expectApplied(directory.EndpointAdded{Endpoint: modelEndpoint(1, 4, 1, 3)})
	es.update(0, l)
	l.commit()
	es.runTicks(l, 0)
	for i := range n {
		placed[i] = es.resolve(3*time.Second, "h0", fromCaller(i, modelService(1, 0).Address, flow.SYN, 0)).Endpoint
	}
	return l, es, placed
}

// runTicks gives all hosts the current table and runs their ticks for 2 s.
func (es engines) runTicks(l *tableLog, from time.Duration) {
	for at := from; at <= from+2*time.Second; at += 250 * time.Millisecond {
		for _, e := range es {
			if at == from {
				e.SetTable(at, flow.TableOf(l.state()))
			}
			e.Tick(at)
		}
		es.exchangeMessages(at)
	}
}

// expectFlows checks that every host forwards each flow to its endpoint.
func (es engines) expectFlows(now time.Duration, placed map[int]directory.EndpointID) {
	GinkgoHelper()
	for i, id := range placed {
		for host := range es {
			v := es.resolve(now, host, fromCaller(i, modelService(1, 0).Address, flow.ACK, 10))
			Expect(v.Action).To(Equal(flow.ForwardToBackend), "flow %d at %s: %v", i, host, v.Reason)
			Expect(v.Endpoint).To(Equal(id), "flow %d at %s", i, host)
		}
	}
}

var _ = Describe("holders", func() {
	// Guards against the loss of records when hosts crash one after the other (docs/design.md,
	// section 5.2, rule 9).
	It("keeps every flow while hosts crash one by one with repairs in between", func() {
		l, es, placed := trackedFlows(200)
		now := 10 * time.Second
		for _, name := range []string{"h0", "h3", "h1", "h4"} {
			delete(es, name)
			for _, e := range es {
				e.PeerDown(now, name)
			}
			l.expectApplied(directory.HostRemoved{Name: name, Incarnation: 1})
			es.runTicks(l, now)
			es.expectFlows(now+3*time.Second, placed)
			now += 10 * time.Second
		}
	})

	// Guards against a handover that is reported complete before the new holders have the
	// records, or never (docs/design.md, section 5.2, rule 10).
	It("hands over all records before a planned stop completes", func() {
		l, es, placed := trackedFlows(200)
		stopping := es["h1"]
		stopping.Stop(10 * time.Second)
		stopping.Tick(10 * time.Second)
		Expect(stopping.TakeEffects().HandoverComplete).To(BeFalse())
		l.expectApplied(directory.HostRemoved{Name: "h1", Incarnation: 1})
		stopping.SetTable(10*time.Second, flow.TableOf(l.state()))
		stopping.Tick(10 * time.Second)
		Expect(stopping.TakeEffects().HandoverComplete).To(BeFalse())
		es.runTicks(l, 10*time.Second)
		for range 3 {
			stopping.Tick(13 * time.Second)
		}
		delete(es, "h1")
		for _, e := range es {
			e.PeerDown(14*time.Second, "h1")
		}
		es.expectFlows(15*time.Second, placed)
	})

	// Guards against new flows that are refused forever after a loss of all records, and against
	// packets that are then forwarded to a guessed endpoint (docs/design.md, section 5.2, rule 9).
	It("drops packets of unknown flows after a loss of all records and places new flows later", func() {
		l, _, placed := trackedFlows(200)
		es := enginesOf(l) // all engines start again, without records
		service := modelService(1, 0).Address
		begun, dropped := 0, 0
		for at := time.Duration(0); at < 80*time.Second; at += 2 * time.Second {
			es.runTicks(l, at)
		}
		for i := range placed {
			if es.resolve(81*time.Second, "h2", fromCaller(i, service, flow.ACK, 10)).Action == flow.Drop {
				dropped++
			}
		}
		for i := 1000; i < 1200; i++ {
			if es.resolve(82*time.Second, "h2", fromCaller(i, service, flow.SYN, 0)).Action == flow.ForwardToBackend {
				begun++
			}
		}
		Expect(dropped).To(BeNumerically(">", 0))
		Expect(begun).To(Equal(200))
	})

	// Guards against a new site whose service takes no new flows for a minute. That happened when
	// endpoints were added after the hosts had joined but before they were active: the first
	// holders had no one to copy from, and treated the records as lost.
	It("places flows at once when hosts become active after the endpoints were added", func() {
		l := &tableLog{head: directory.NewWithBuckets(modelBuckets)}
		names := []string{"h0", "h1", "h2"}
		for i, name := range names {
			l.expectApplied(directory.HostAdded{Host: directory.Host{Name: name, Incarnation: 1, Domain: fmt.Sprint("d", i)}})
		}
		es := enginesOf(l)
		l.document(0, 0, modelService(1, document.BalanceFirst))
		for place := range 3 {
			l.expectApplied(directory.EndpointAdded{Endpoint: modelEndpoint(1, place, 1, 3)})
			es.update(0, l)
		}
		for _, name := range names {
			l.expectApplied(directory.HostActivated{Name: name, Incarnation: 1})
			es.update(0, l)
		}
		l.commit()
		es.runTicks(l, 0)
		for _, e := range es {
			Expect(e.TakeEffects().HoldingsLost).To(BeZero())
		}
		for i := range 100 {
			v := es.resolve(3*time.Second, names[i%3], fromCaller(i, modelService(1, 0).Address, flow.SYN, 0))
			Expect(v.Action).To(Equal(flow.ForwardToBackend), "flow %d: %v", i, v.Reason)
		}
	})

	// Guards against packets that are forwarded to a guessed endpoint. A holding without holders
	// at a host's start may have had some before.
	It("treats a holding from before its start that has no holders as lost", func() {
		l := &tableLog{head: directory.NewWithBuckets(modelBuckets)}
		l.expectApplied(directory.HostAdded{Host: directory.Host{Name: "h0", Incarnation: 1, Domain: "d0"}})
		l.document(0, 0, modelService(1, document.BalanceFirst))
		l.expectApplied(directory.EndpointAdded{Endpoint: modelEndpoint(1, 0, 1, 1)})
		l.commit()
		es := enginesOf(l)
		l.expectApplied(directory.HostActivated{Name: "h0", Incarnation: 1})
		es.update(0, l)
		v := es.resolve(3*time.Second, "h0", fromCaller(1, modelService(1, 0).Address, flow.SYN, 0))
		Expect(v.Action).NotTo(Equal(flow.ForwardToBackend))
	})
})
