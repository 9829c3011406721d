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
	name        string
	apply       func(sim *simulation)
	mayReset    bool // flows may be reset, because their endpoint is removed
	losesHolder bool // a holder is lost; two such faults at once may lose all copies of a record
}

// instance returns the instance name of the current backend server at a place of svc1.
func (sim *simulation) instance(place int) string {
	addr := modelEndpoint(1, place, 0, 3).Address
	ep, _ := sim.log.head.EndpointByAddress(addr)
	return ep.Instance
}

// addServer starts a backend server at a place, as a new instance if the place was used before.
func (sim *simulation) addServer(place int) {
	instance := 1
	for {
		if _, known := sim.log.head.EndpointByInstance(modelEndpoint(1, place, instance, 3).Instance); !known {
			break
		}
		instance++
	}
	out := sim.log.apply(0, directory.EndpointAdded{Endpoint: modelEndpoint(1, place, instance, 3)})
	Expect(out.Applied).To(BeTrue(), out.Reason)
	sim.startServer(out.Endpoint)
}

func (sim *simulation) crash(name string) {
	h := sim.host(name)
	if !h.up || h.engine.Stopping() {
		return
	}
	h.up, h.crashedAt = false, sim.now
	sim.tracef("%s crashes", name)
	sim.after(300*time.Millisecond, func() {
		for _, o := range sim.hosts {
			if o.up && !h.up {
				o.engine.PeerDown(sim.now, name)
			}
		}
	})
}

func (sim *simulation) restart(name string) {
	h := sim.host(name)
	if h.up {
		return
	}
	h.incarnation++
	sim.tracef("%s starts as %d", name, h.incarnation)
	h.start()
}

func (sim *simulation) stop(name string) {
	h := sim.host(name)
	if !h.up || h.engine.Stopping() {
		return
	}
	sim.tracef("%s stops", name)
	h.engine.Stop(sim.now)
	sim.log.apply(0, directory.HostRemoved{Name: name, Incarnation: h.incarnation})
}

// setCut cuts off a failure domain, or ends the cut if domain is empty.
func (sim *simulation) setCut(domain string) {
	before := sim.cut
	sim.cut = domain
	sim.tracef("cut off: %q", domain)
	sim.after(300*time.Millisecond, func() {
		for _, a := range sim.hosts {
			for _, b := range sim.hosts {
				if a == b || !a.up || !b.up {
					continue
				}
				crosses := (a.domain == domain) != (b.domain == domain)
				crossed := (a.domain == before) != (b.domain == before)
				if domain != "" && crosses {
					a.engine.PeerDown(sim.now, b.name)
				} else if domain == "" && crossed {
					a.engine.PeerUp(sim.now, b.name, b.incarnation, b.domain)
					b.engine.SetPeerFenced(sim.now, a.name, a.engine.Fenced())
				}
			}
		}
	})
}

// holdersOf returns the holders of the first bucket of svc1 that has records.
func (sim *simulation) holdersOf() (first, second string) {
	svc, _ := sim.log.head.Service("svc1")
	for i := range modelBuckets {
		if b := svc.Bucket(i); len(b.Since) > 0 {
			first, second, _ = sim.log.head.Holders("svc1", i, b.Since[0])
			return first, second
		}
	}
	return "h0", "h1"
}

// drainOf returns a fault that drains the backend server at a place.
func drainOf(place int) func(*simulation) {
	return func(sim *simulation) {
		sim.log.apply(0, directory.EndpointStateChanged{Instance: sim.instance(place), State: directory.Draining})
	}
}

var faults = []fault{
	{name: "none", apply: func(*simulation) {}},
	{name: "planned stop", apply: func(sim *simulation) { sim.stop("h1") }},
	{name: "replacement", apply: func(sim *simulation) {
		sim.stop("h2")
		sim.after(2*time.Second, func() { sim.restart("h2") })
	}},
	{name: "addition", apply: func(sim *simulation) { sim.addServer(len(sim.log.head.EndpointIDs())) }},
	{name: "drain", apply: drainOf(0)},
	{name: "removal", apply: func(sim *simulation) { sim.log.apply(0, directory.EndpointRemoved{Instance: sim.instance(1)}) }, mayReset: true},
	{name: "document change", apply: func(sim *simulation) {
		svc, _ := sim.log.head.Service("svc1")
		sim.log.document(0, 1, modelService(1, svc.Priority), modelService(2, svc.Priority), modelService(3, svc.Priority))
	}},
	{name: "restarted backend server", apply: func(sim *simulation) { sim.addServer(0) }, mayReset: true},
	{name: "crash of the first holder", losesHolder: true, apply: func(sim *simulation) {
		first, _ := sim.holdersOf()
		sim.crash(first)
	}},
	{name: "crash of the second holder", losesHolder: true, apply: func(sim *simulation) {
		_, second := sim.holdersOf()
		sim.crash(second)
	}},
	{name: "two crashes with a repair in between", losesHolder: true, apply: func(sim *simulation) {
		first, _ := sim.holdersOf()
		sim.crash(first)
		sim.after(6*time.Second, func() {
			next, _ := sim.holdersOf()
			sim.crash(next)
		})
	}},
	{name: "crash and restart", losesHolder: true, apply: func(sim *simulation) {
		first, _ := sim.holdersOf()
		sim.crash(first)
		sim.after(500*time.Millisecond, func() { sim.restart(first) })
	}},
	{name: "frozen host", losesHolder: true, apply: func(sim *simulation) {
		first, _ := sim.holdersOf()
		sim.host(first).frozen = true
		sim.after(4*time.Second, func() { sim.host(first).frozen = false })
	}},
	{name: "table updates missed for 1.5 s", apply: func(sim *simulation) {
		sim.host("h0").lagging = true
		sim.after(1500*time.Millisecond, func() { sim.host("h0").lagging = false })
	}},
	{name: "table updates missed for 6 s", losesHolder: true, apply: func(sim *simulation) {
		sim.host("h0").lagging = true
		sim.after(6*time.Second, func() { sim.host("h0").lagging = false })
	}},
	{name: "failure domain cut off", losesHolder: true, apply: func(sim *simulation) {
		sim.setCut("d0")
		sim.after(8*time.Second, func() { sim.setCut("") })
	}},
	{name: "caller port reuse", apply: func(sim *simulation) {
		for _, c := range sim.callers {
			if c.conn%3 == 0 {
				c.openConnection()
			}
		}
	}},
	{name: "cancelled move", apply: func(sim *simulation) {
		drainOf(1)(sim)
		sim.after(30*time.Millisecond, func() { drainOf(2)(sim) })
		sim.after(60*time.Millisecond, func() { sim.addServer(len(sim.log.head.EndpointIDs())) })
	}},
	{name: "lost packets", apply: func(sim *simulation) { sim.lossRate = 0.1 }},
}

// runScenario injects faults while flows begin, idle and end, and returns the model at the end.
func runScenario(seed uint64, p document.Priority, rows ...fault) *simulation {
	sim := newSimulation(seed, 9, 3, p)
	for i := range 60 {
		sim.after(time.Duration(sim.rng.IntN(18))*time.Second, func() {
			c := sim.connect(i, 1+i%2)
			switch i % 4 {
			case 0:
				c.closeAt = sim.now + time.Duration(sim.rng.IntN(20))*time.Second
			case 1:
				c.idle = true
			}
		})
	}
	sim.after(4*time.Second, func() { sim.addServer(4) }) // so that some buckets have records
	at := 8 * time.Second
	for _, row := range rows {
		sim.after(at, func() {
			sim.tracef("fault: %s", row.name)
			row.apply(sim)
		})
		at += time.Duration(sim.rng.IntN(3000)) * time.Millisecond
	}
	sim.run(22 * time.Second)
	sim.lossRate = 0.01
	sim.run(12 * time.Second)
	for _, c := range sim.callers {
		c.idle, c.closeAt = false, 0
	}
	sim.run(8 * time.Second)
	for _, h := range sim.hosts {
		if h.up && h.engine.Stopping() {
			sim.reportViolation("host %s did not complete its handover", h.name)
		}
	}
	return sim
}

// report returns the trace and the violations of a run.
func (sim *simulation) report() string {
	return strings.Join(append(sim.trace, sim.violations...), "\n")
}

// brokenConnections describes the connections that were reset or get no responses.
func (sim *simulation) brokenConnections() (list []string) {
	for _, c := range sim.callers {
		if c.reset || (!c.ended && sim.now-c.lastResponse > 5*time.Second) {
			list = append(list, fmt.Sprintf("connection %d (caller %v, open %v, reset %v, last response %v, endpoint %d)",
				c.conn, c.addr, c.open, c.reset, c.lastResponse, sim.accepted[c.conn]))
		}
	}
	return list
}

// seedCount returns the number of seeds per pair of faults: FLOW_SEEDS, or 1.
func seedCount() uint64 {
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
		for seed := range seedCount() {
			sim := runScenario(seed, p, a, b)
			Expect(sim.violations).To(BeEmpty(), "seed %d\n%s", seed, sim.report())
			if !a.mayReset && !b.mayReset && !(a.losesHolder && b.losesHolder) {
				Expect(sim.brokenConnections()).To(BeEmpty(), "seed %d\n%s", seed, sim.report())
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
