package flow_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
)

// fault is a fault that the model can inject, one row of the fault matrix.
type fault struct {
	name  string
	apply func(w *world)
	loses bool // flows may be reset, because their endpoint is removed
	gone  bool // a holder is lost; two such faults at once may lose all copies of a record
}

// instance returns the instance name of the current backend server at a place of svc1.
func (w *world) instance(place int) string {
	addr := modelEndpoint(1, place, 0, 3).Address
	ep, _ := w.log.head.EndpointByAddress(addr)
	return ep.Instance
}

// add starts a backend server at a place, as a new instance if the place was used before.
func (w *world) add(place int) {
	instance := 1
	for {
		if _, known := w.log.head.EndpointByInstance(modelEndpoint(1, place, instance, 3).Instance); !known {
			break
		}
		instance++
	}
	out := w.log.apply(0, directory.EndpointAdded{Endpoint: modelEndpoint(1, place, instance, 3)})
	Expect(out.Applied).To(BeTrue(), out.Reason)
	w.startServer(out.Endpoint)
}

func (w *world) crash(name string) {
	h := w.host(name)
	if !h.up || h.engine.Stopping() {
		return
	}
	h.up, h.died = false, w.now
	w.note("%s crashes", name)
	w.after(300*time.Millisecond, func() {
		for _, o := range w.hosts {
			if o.up && !h.up {
				o.engine.PeerDown(w.now, name)
			}
		}
	})
}

func (w *world) restart(name string) {
	h := w.host(name)
	if h.up {
		return
	}
	h.number++
	w.note("%s starts as %d", name, h.number)
	h.start()
}

func (w *world) stop(name string) {
	h := w.host(name)
	if !h.up || h.engine.Stopping() {
		return
	}
	w.note("%s stops", name)
	h.engine.Stop(w.now)
	w.log.apply(0, directory.HostRemoved{Name: name, Incarnation: h.number})
}

// setCut cuts off a failure domain, or ends the cut if domain is empty.
func (w *world) setCut(domain string) {
	before := w.cut
	w.cut = domain
	w.note("cut off: %q", domain)
	w.after(300*time.Millisecond, func() {
		for _, a := range w.hosts {
			for _, b := range w.hosts {
				if a == b || !a.up || !b.up {
					continue
				}
				crosses := (a.domain == domain) != (b.domain == domain)
				crossed := (a.domain == before) != (b.domain == before)
				if domain != "" && crosses {
					a.engine.PeerDown(w.now, b.name)
				} else if domain == "" && crossed {
					a.engine.PeerUp(w.now, b.name, b.number, b.domain)
					b.engine.PeerFenced(w.now, a.name, a.engine.Fenced())
				}
			}
		}
	})
}

// holdersOf returns the holders of the first bucket of svc1 that has records.
func (w *world) holdersOf() (first, second string) {
	svc, _ := w.log.head.Service("svc1")
	for i := range modelBuckets {
		if b := svc.Bucket(i); len(b.Since) > 0 {
			first, second, _ = w.log.head.Holders("svc1", i, b.Since[0])
			return first, second
		}
	}
	return "h0", "h1"
}

// drainOf returns a fault that drains the backend server at a place.
func drainOf(place int) func(*world) {
	return func(w *world) {
		w.log.apply(0, directory.EndpointStateChanged{Instance: w.instance(place), State: directory.Draining})
	}
}

var faults = []fault{
	{name: "none", apply: func(*world) {}},
	{name: "planned stop", apply: func(w *world) { w.stop("h1") }},
	{name: "replacement", apply: func(w *world) {
		w.stop("h2")
		w.after(2*time.Second, func() { w.restart("h2") })
	}},
	{name: "addition", apply: func(w *world) { w.add(len(w.log.head.EndpointIDs())) }},
	{name: "drain", apply: drainOf(0)},
	{name: "removal", apply: func(w *world) { w.log.apply(0, directory.EndpointRemoved{Instance: w.instance(1)}) }, loses: true},
	{name: "document change", apply: func(w *world) {
		svc, _ := w.log.head.Service("svc1")
		w.log.document(0, 1, modelService(1, svc.Priority), modelService(2, svc.Priority), modelService(3, svc.Priority))
	}},
	{name: "restarted backend server", apply: func(w *world) { w.add(0) }, loses: true},
	{name: "crash of the first holder", gone: true, apply: func(w *world) {
		first, _ := w.holdersOf()
		w.crash(first)
	}},
	{name: "crash of the second holder", gone: true, apply: func(w *world) {
		_, second := w.holdersOf()
		w.crash(second)
	}},
	{name: "two crashes with a repair in between", gone: true, apply: func(w *world) {
		first, _ := w.holdersOf()
		w.crash(first)
		w.after(6*time.Second, func() {
			next, _ := w.holdersOf()
			w.crash(next)
		})
	}},
	{name: "crash and restart", gone: true, apply: func(w *world) {
		first, _ := w.holdersOf()
		w.crash(first)
		w.after(500*time.Millisecond, func() { w.restart(first) })
	}},
	{name: "frozen host", gone: true, apply: func(w *world) {
		first, _ := w.holdersOf()
		w.host(first).frozen = true
		w.after(4*time.Second, func() { w.host(first).frozen = false })
	}},
	{name: "table updates missed for 1.5 s", apply: func(w *world) {
		w.host("h0").lagging = true
		w.after(1500*time.Millisecond, func() { w.host("h0").lagging = false })
	}},
	{name: "table updates missed for 6 s", gone: true, apply: func(w *world) {
		w.host("h0").lagging = true
		w.after(6*time.Second, func() { w.host("h0").lagging = false })
	}},
	{name: "failure domain cut off", gone: true, apply: func(w *world) {
		w.setCut("d0")
		w.after(8*time.Second, func() { w.setCut("") })
	}},
	{name: "caller port reuse", apply: func(w *world) {
		for _, c := range w.callers {
			if c.conn%3 == 0 {
				c.begin()
			}
		}
	}},
	{name: "cancelled move", apply: func(w *world) {
		drainOf(1)(w)
		w.after(30*time.Millisecond, func() { drainOf(2)(w) })
		w.after(60*time.Millisecond, func() { w.add(len(w.log.head.EndpointIDs())) })
	}},
	{name: "lost packets", apply: func(w *world) { w.loss = 0.1 }},
}

// scenario injects faults while flows begin, idle and end, and returns the model at the end.
func scenario(seed uint64, p document.Priority, rows ...fault) *world {
	w := newWorld(seed, 9, 3, p)
	for i := range 60 {
		w.after(time.Duration(w.rng.IntN(18))*time.Second, func() {
			c := w.connect(i, 1+i%2)
			switch i % 4 {
			case 0:
				c.finish = w.now + time.Duration(w.rng.IntN(20))*time.Second
			case 1:
				c.idle = true
			}
		})
	}
	w.after(4*time.Second, func() { w.add(4) }) // so that some buckets have records
	at := 8 * time.Second
	for _, row := range rows {
		w.after(at, func() {
			w.note("fault: %s", row.name)
			row.apply(w)
		})
		at += time.Duration(w.rng.IntN(3000)) * time.Millisecond
	}
	w.run(22 * time.Second)
	w.loss = 0.01
	w.run(12 * time.Second)
	for _, c := range w.callers {
		c.idle, c.finish = false, 0
	}
	w.run(8 * time.Second)
	for _, h := range w.hosts {
		if h.up && h.engine.Stopping() {
			w.violate("host %s did not complete its handover", h.name)
		}
	}
	return w
}

// report returns the trace and the violations of a run.
func (w *world) report() string {
	return strings.Join(append(w.trace, w.violations...), "\n")
}

// broken describes the connections that were reset or get no responses.
func (w *world) broken() (list []string) {
	for _, c := range w.callers {
		if c.reset || (!c.ended && w.now-c.last > 5*time.Second) {
			list = append(list, fmt.Sprintf("connection %d (caller %v, open %v, reset %v, last response %v, endpoint %d)",
				c.conn, c.addr, c.open, c.reset, c.last, w.accepted[c.conn]))
		}
	}
	return list
}

// seeds returns the number of seeds per pair of faults: FLOW_SEEDS, or 1.
func seeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("FLOW_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 1
}

var _ = Describe("fault matrix", func() {
	// Guards against failures under any two faults at once. After every packet, the model checks
	// for a flow that reaches two endpoints, a packet that reaches an endpoint which did not
	// accept its flow, a response from another endpoint, and a wrong not-run outcome. At the end
	// it checks for lost flows.
	check := func(p document.Priority, a, b fault) {
		for seed := range seeds() {
			w := scenario(seed, p, a, b)
			Expect(w.violations).To(BeEmpty(), "seed %d\n%s", seed, w.report())
			if !a.loses && !b.loses && !(a.gone && b.gone) {
				Expect(w.broken()).To(BeEmpty(), "seed %d\n%s", seed, w.report())
			}
		}
	}
	for i, a := range faults {
		for _, b := range faults[i:] {
			It(a.name+" with "+b.name, func() { check(document.UnbrokenFirst, a, b) })
		}
		It(a.name+", balance first", func() { check(document.BalanceFirst, faults[0], a) })
	}
})
