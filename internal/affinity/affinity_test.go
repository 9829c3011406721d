package affinity_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/affinity"
	"cassiawood/internal/routing"
)

func TestAffinity(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "affinity")
}

var (
	desk   = netip.MustParseAddrPort("198.18.0.1:443")
	sheet  = netip.MustParseAddrPort("198.18.0.2:443")
	caller = netip.MustParseAddrPort("100.64.0.7:40001")
)

func callerAt(port int) netip.AddrPort { return netip.AddrPortFrom(caller.Addr(), uint16(port)) }

func table(version uint64, routes ...routing.TableRoute) routing.Table {
	return routing.Table{Version: version, IdleTimeout: 15 * time.Second, Routes: routes}
}

func route(address netip.AddrPort, services ...string) routing.TableRoute {
	r := routing.TableRoute{Address: address}
	for _, s := range services {
		r.Shares = append(r.Shares, routing.Share{Service: s, Weight: 1})
	}
	return r
}

func endpoint(id uint64, service, domain string) affinity.Endpoint {
	return affinity.Endpoint{
		ID: id, Name: fmt.Sprint("i-", id), StartedAtMs: 1000, Service: service, Domain: domain, Slots: 2, AcceptsFlows: true,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(id)}), 8080),
	}
}

// newEngine returns an engine with two services of three endpoints each.
func newEngine() *affinity.Engine {
	e := affinity.New(affinity.Config{Domain: "a"})
	e.SetRoutes(table(1, route(desk, "desk"), route(sheet, "sheet")))
	for id := uint64(1); id <= 3; id++ {
		e.Upsert(0, endpoint(id, "desk", "a"))
		e.Upsert(0, endpoint(id+10, "sheet", "a"))
	}
	return e
}

// firstPacket returns a first packet with the number of earlier transmissions.
func firstPacket(service netip.AddrPort, from netip.AddrPort, transmissions uint32) affinity.Packet {
	return affinity.Packet{Caller: from, Service: service, Flags: affinity.SYN, Seq: 100, Retransmits: transmissions}
}

// laterPacket returns a later packet with 10 bytes of data.
func laterPacket(service netip.AddrPort, from netip.AddrPort, token, ack uint32) affinity.Packet {
	return affinity.Packet{Caller: from, Service: service, Flags: affinity.ACK, Token: token, Seq: 101, Ack: ack, Length: 10}
}

// sameToken returns two IDs with the same token, the lower one first.
func sameToken() (low, high uint64) {
	ids := map[uint32]uint64{}
	for id := uint64(1); ; id++ {
		token := affinity.Token(id)
		if other, ok := ids[token]; ok {
			return other, id
		}
		ids[token] = id
	}
}

var _ = Describe("Engine", func() {
	// Guards against resets of open flows by a host that has just started: when too few hosts of
	// a failure domain are ready, the fabric also uses those that are not.
	It("drops packets while it has no routes", func() {
		e := affinity.New(affinity.Config{Domain: "a"})
		got := e.Decide(0, laterPacket(desk, caller, affinity.Token(1), 5))
		Expect(got.Verdict).To(Equal(affinity.Drop))
		Expect(got.Reason).To(Equal(affinity.NoState))
	})

	// Guards against a flow that breaks when the fabric sends its packets to another host.
	It("sends later packets to the endpoint of the token on any host", func() {
		one, other := newEngine(), newEngine()
		placed := one.Decide(0, firstPacket(desk, caller, 0))
		Expect(placed.Verdict).To(Equal(affinity.Forward))
		got := other.Decide(time.Second, laterPacket(desk, caller, placed.Token, 7))
		Expect(got.Verdict).To(Equal(affinity.Forward))
		Expect(got.Endpoint.ID).To(Equal(placed.Endpoint.ID))
	})

	// Guards against callers that reach another service with a forged token.
	It("drops packets with a token of a service that the route never allowed", func() {
		got := newEngine().Decide(0, laterPacket(desk, caller, affinity.Token(11), 5))
		Expect(got.Verdict).To(Equal(affinity.Drop))
		Expect(got.Reason).To(Equal(affinity.ForeignToken))
	})

	It("drops packets with the token of no known endpoint", func() {
		Expect(newEngine().Decide(0, laterPacket(desk, caller, 12345, 5)).Reason).To(Equal(affinity.UnknownToken))
	})

	// Guards against a new version that moves or resets open flows whose route still exists.
	It("keeps flows of a service that the newest version no longer names", func() {
		e := newEngine()
		placed := e.Decide(0, firstPacket(desk, caller, 0))
		e.SetRoutes(table(2, route(desk, "sheet"), route(sheet, "sheet")))
		Expect(e.Decide(time.Second, laterPacket(desk, caller, placed.Token, 7)).Endpoint.Service).To(Equal("desk"))
		Expect(e.Decide(time.Second, firstPacket(desk, callerAt(2), 0)).Endpoint.Service).To(Equal("sheet"))
	})

	It("ignores an older version", func() {
		e := newEngine()
		Expect(e.SetRoutes(table(3, route(desk, "desk")))).To(BeTrue())
		Expect(e.SetRoutes(table(2))).To(BeFalse())
		Expect(e.Decide(0, firstPacket(desk, caller, 0)).Verdict).To(Equal(affinity.Forward))
	})

	It("resets flows to an address without a route and drops their resets", func() {
		e := newEngine()
		e.SetRoutes(table(2, route(sheet, "sheet")))
		Expect(e.Decide(0, firstPacket(desk, caller, 0)).Verdict).To(Equal(affinity.Reset))
		Expect(e.Decide(0, affinity.Packet{Caller: caller, Service: desk, Flags: affinity.RST}).Verdict).To(Equal(affinity.Drop))
	})

	// Guards against new flows on a draining endpoint.
	It("places no new flows on a draining endpoint and keeps its open ones", func() {
		e := newEngine()
		for id := uint64(1); id <= 2; id++ {
			draining := endpoint(id, "desk", "a")
			draining.AcceptsFlows = false
			e.Upsert(0, draining)
		}
		for port := range 20 {
			Expect(e.Decide(0, firstPacket(desk, callerAt(port+1), 0)).Endpoint.ID).To(BeEquivalentTo(3))
		}
		Expect(e.Decide(0, laterPacket(desk, caller, affinity.Token(1), 5)).Verdict).To(Equal(affinity.Forward))
	})

	// Guards against resets of flows whose endpoint is still sending its last answers.
	It("resets flows of an endpoint that is gone after a grace period", func() {
		e := newEngine()
		gone := endpoint(1, "desk", "a")
		gone.AcceptsFlows, gone.Gone = false, true
		e.Upsert(time.Second, gone)
		Expect(e.Decide(time.Second, laterPacket(desk, caller, affinity.Token(1), 5)).Verdict).To(Equal(affinity.Forward))
		Expect(e.Decide(10*time.Second, laterPacket(desk, caller, affinity.Token(1), 5)).Verdict).To(Equal(affinity.Reset))
	})

	// Guards against callers that wait for an endpoint that has ended: a newer incarnation at its
	// address and its own silence prove it.
	It("treats a silent endpoint as gone once a newer incarnation uses its address", func() {
		for _, silentFirst := range []bool{true, false} {
			e := newEngine()
			silent, successor := endpoint(1, "desk", "a"), endpoint(20, "sheet", "a")
			silent.Silent = true
			successor.Address, successor.StartedAtMs = silent.Address, 2000
			if silentFirst {
				e.Upsert(0, silent)
			}
			e.Upsert(0, successor)
			for port := range 20 {
				Expect(e.Decide(0, firstPacket(desk, callerAt(port+1), 0)).Endpoint.ID).NotTo(BeEquivalentTo(1))
			}
			e.Upsert(0, silent)
			Expect(e.Decide(5*time.Second, laterPacket(desk, caller, affinity.Token(1), 5)).Reason).To(Equal(affinity.EndpointGone))
			late := endpoint(1, "desk", "a")
			e.Upsert(6*time.Second, late)
			Expect(e.Decide(7*time.Second, laterPacket(desk, caller, affinity.Token(1), 5)).Reason).To(Equal(affinity.EndpointGone), "a late report")
		}
	})

	// Guards against a report of another writer at the address of a running endpoint: all flows of the endpoint were
	// reset, and it got no new ones any more.
	It("keeps the flows of an endpoint that goes on reporting when a newer incarnation claims its address", func() {
		e := newEngine()
		claimant := endpoint(20, "sheet", "a")
		claimant.Address, claimant.StartedAtMs = endpoint(1, "desk", "a").Address, 2000
		e.Upsert(0, claimant)
		for second := range 20 {
			now := time.Duration(second) * time.Second
			e.Tick(now)
			Expect(e.Decide(now, laterPacket(desk, caller, affinity.Token(1), 5)).Verdict).To(Equal(affinity.Forward))
		}
		Expect(takeResets(e, 20*time.Second, 9)).To(BeEmpty())
		claimant.Silent = true
		e.Upsert(20*time.Second, claimant)
		port := 100
		usedAgain := func(e *affinity.Engine) bool {
			for range 20 {
				port++
				if e.Decide(20*time.Second, firstPacket(desk, callerAt(port), 0)).Endpoint.ID == 1 {
					return true
				}
			}
			return false
		}
		Expect(usedAgain(e)).To(BeTrue())
		claimant.Silent = false
		e.Upsert(21*time.Second, claimant)
		Expect(usedAgain(e)).To(BeFalse())
		e.Remove(20)
		Expect(usedAgain(e)).To(BeTrue())
	})

	// Guards against resets of the flows of an endpoint that has moved: a newer endpoint at the address
	// that it has left marked it as replaced.
	It("keeps an endpoint that has moved when another one uses its former address", func() {
		e := newEngine()
		moved := endpoint(1, "desk", "a")
		moved.Address, moved.StartedAtMs = endpoint(99, "desk", "a").Address, 2000
		e.Upsert(0, moved)
		successor := endpoint(20, "sheet", "a")
		successor.Address, successor.StartedAtMs = endpoint(1, "desk", "a").Address, 3000
		e.Upsert(0, successor)
		Expect(e.Decide(5*time.Second, laterPacket(desk, caller, affinity.Token(1), 5)).Verdict).To(Equal(affinity.Forward))
	})

	// Guards against an endpoint that gets no new flows any more because of one that has been removed.
	It("uses an endpoint again when the one with the same token has been removed", func() {
		low, high := sameToken()
		e := affinity.New(affinity.Config{Domain: "a"})
		e.SetRoutes(table(1, route(desk, "desk")))
		e.Upsert(0, endpoint(low, "desk", "a"))
		e.Upsert(0, endpoint(high, "desk", "a"))
		Expect(e.Decide(0, firstPacket(desk, caller, 0)).Endpoint.ID).To(Equal(low))
		e.Remove(low)
		Expect(e.Decide(0, firstPacket(desk, callerAt(2), 0)).Endpoint.ID).To(Equal(high))
		Expect(e.Decide(0, laterPacket(desk, callerAt(3), affinity.Token(high), 5)).Endpoint.ID).To(Equal(high))
	})

	// Guards against callers that wait for a failed endpoint until they time out: one that has had no answer is told to open another
	// flow, which goes to another endpoint, as often as one is left.
	It("lets a caller without an answer open another flow at another endpoint", func() {
		e := newEngine()
		tried := map[uint64]bool{}
		for number := range 3 {
			now, from := time.Duration(number)*200*time.Millisecond, callerAt(100+number)
			got := e.Decide(now, firstPacket(desk, from, 0))
			Expect(got.Verdict).To(Equal(affinity.Forward))
			Expect(tried).NotTo(HaveKey(got.Endpoint.ID))
			tried[got.Endpoint.ID] = true
			if number == 2 {
				break // no other endpoint is left
			}
			got = e.Decide(now+200*time.Millisecond, firstPacket(desk, from, 1))
			Expect(got.Verdict).To(Equal(affinity.Reset))
			Expect(got.Reason).To(Equal(affinity.Unanswered))
		}
	})

	// Guards against new flows under an older version: a first packet that was retransmitted after
	// a new version went to the service of the version that had placed the flow.
	It("places no retransmitted first packet by an earlier version than the one in force", func() {
		e := newEngine()
		e.Decide(0, firstPacket(desk, caller, 0))
		e.SetRoutes(table(2, route(desk, "sheet")))
		Expect(e.Decide(200*time.Millisecond, firstPacket(desk, caller, 1)).Verdict).To(Equal(affinity.Reset))
		got := e.Decide(201*time.Millisecond, firstPacket(desk, callerAt(2), 0))
		Expect(got.Endpoint.Service).To(Equal("sheet"))
	})

	// Guards against packets of an earlier flow that reach the endpoint of a later one, whose caller uses the
	// same port: an answer to them would not be the later flow's own.
	It("sends late packets of an earlier flow of the same port to the endpoint of that flow", func() {
		e := newEngine()
		earlier := e.Decide(0, firstPacket(desk, caller, 0))
		e.Decide(0, laterPacket(desk, caller, earlier.Token, 5))
		first := firstPacket(desk, caller, 0)
		first.Seq = 9000
		later := e.Decide(time.Second, first)
		Expect(later.Reason).To(Equal(affinity.Placed))
		Expect(later.Token).NotTo(Equal(earlier.Token))
		Expect(e.Decide(time.Second, laterPacket(desk, caller, earlier.Token, 5)).Endpoint.ID).To(Equal(earlier.Endpoint.ID))
		Expect(e.Decide(time.Second, laterPacket(desk, caller, later.Token, 7)).Endpoint.ID).To(Equal(later.Endpoint.ID))
	})

	// Guards against new flows on an endpoint that answers no caller.
	It("avoids an endpoint that has not answered its callers", func() {
		e := newEngine()
		avoided := e.Decide(0, firstPacket(desk, caller, 0)).Endpoint.ID
		for port := range 3 {
			token := affinity.Token(avoided)
			e.Decide(0, laterPacket(desk, callerAt(100+port), token, 5))
			e.Decide(200*time.Millisecond, laterPacket(desk, callerAt(100+port), token, 5))
		}
		for port := range 30 {
			Expect(e.Decide(300*time.Millisecond, firstPacket(desk, callerAt(200+port), 0)).Endpoint.ID).NotTo(Equal(avoided))
		}
	})

	// Guards against traffic between failure domains, which costs money and adds latency.
	It("prefers endpoints of the local failure domain until they have much more load", func() {
		e := affinity.New(affinity.Config{Domain: "a"})
		e.SetRoutes(table(1, route(desk, "desk")))
		e.Upsert(0, endpoint(1, "desk", "a"))
		e.Upsert(0, endpoint(2, "desk", "b"))
		count := map[uint64]int{}
		for port := range 30 {
			count[e.Decide(0, firstPacket(desk, callerAt(port+1), 0)).Endpoint.ID]++
		}
		Expect(count[1]).To(BeNumerically(">", count[2]))
		Expect(count[2]).To(BeNumerically(">", 0))
	})

	// Guards against flows of the earlier service on an endpoint that restarted for another one.
	It("places flows by the service of the newest incarnation", func() {
		e := newEngine()
		restarted := endpoint(1, "sheet", "b")
		restarted.StartedAtMs = 2000
		e.Upsert(time.Second, restarted)
		seen := map[uint64]bool{}
		for port := range 60 {
			Expect(e.Decide(time.Second, firstPacket(desk, callerAt(port+1), 0)).Endpoint.Service).To(Equal("desk"))
			seen[e.Decide(time.Second, firstPacket(sheet, callerAt(port+1), 0)).Endpoint.ID] = true
		}
		Expect(seen).To(HaveKey(uint64(1)), "the local endpoints have 20 flows each")
	})

	// Guards against a search that ends too early, so that endpoints of other domains get no flows
	// although the local ones are overloaded.
	It("finds the endpoint with the lowest cost in any failure domain", func() {
		e := affinity.New(affinity.Config{Domain: "a"})
		e.SetRoutes(table(1, route(desk, "desk")))
		for id := uint64(1); id <= 3; id++ {
			e.Upsert(0, endpoint(id, "desk", "a"))
		}
		large := endpoint(4, "desk", "b")
		large.Slots = 64
		e.Upsert(0, large)
		e.Upsert(0, endpoint(5, "desk", "b"))
		count := map[uint64]int{}
		for port := range 60 {
			count[e.Decide(0, firstPacket(desk, callerAt(port+1), 0)).Endpoint.ID]++
		}
		// With f flows on each local endpoint the large one has 2f: its 64 slots divided by the cost
		// factor 16 are twice the 2 slots of a local endpoint.
		Expect(count[4]).To(BeNumerically("~", 24, 2))
		Expect(count[1]).To(BeNumerically("~", 12, 1))
	})

	// Guards against log lines that do not tell why an endpoint was chosen.
	It("tells the load of the endpoint that it has chosen", func() {
		e := newEngine()
		first := e.Decide(0, firstPacket(desk, caller, 0))
		Expect([]int{first.Working, first.OpenFlows}).To(Equal([]int{1, 1}))
		e.Decide(0, dataPacket(desk, 40001, first.Token, 101, 5))
		idle := dataPacket(desk, 40001, first.Token, 111, 6)
		idle.Length = 0
		e.Decide(0, idle)
		for port := range 2 {
			e.Decide(0, firstPacket(desk, callerAt(port+1), 0))
		}
		fourth := e.Decide(0, firstPacket(desk, callerAt(9), 0))
		Expect(fourth.Endpoint.ID).To(Equal(first.Endpoint.ID))
		Expect([]int{fourth.Working, fourth.OpenFlows}).To(Equal([]int{1, 2}))
	})

	It("spreads flows evenly over equal endpoints", func() {
		e := newEngine()
		count := map[uint64]int{}
		for port := range 300 {
			count[e.Decide(0, firstPacket(desk, callerAt(port+1), 0)).Endpoint.ID]++
		}
		for id := uint64(1); id <= 3; id++ {
			Expect(count[id]).To(Equal(100))
		}
	})

	// Guards against endpoints that are avoided because of flows that they never answered.
	It("stops counting a flow as load that no endpoint answers", func() {
		e := newEngine()
		e.Decide(0, firstPacket(desk, caller, 0))
		e.Tick(time.Second)
		Expect(e.FlowCount()).To(Equal(1))
		e.Tick(2 * time.Second)
		Expect(e.FlowCount()).To(BeZero())
	})

	It("removes idle flows", func() {
		e := newEngine()
		token := e.Decide(0, firstPacket(desk, caller, 0)).Token
		e.Decide(time.Second, laterPacket(desk, caller, token, 5))
		e.Tick(10 * time.Second)
		Expect(e.FlowCount()).To(Equal(1))
		e.Tick(16 * time.Second)
		Expect(e.FlowCount()).To(BeZero())
	})
})
