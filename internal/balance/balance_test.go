package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/balance"
	"cassiawood/internal/directory"
	"cassiawood/internal/flow"
)

func TestBalance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "balance")
}

var hosts = []string{"a", "b", "c", "d", "e", "f"}

// newModel returns a LoadModel with the endpoints 1 to n, which have 2 slots each and are
// warm, and their IDs.
func newModel(c balance.Config, n int) (*balance.LoadModel, []directory.EndpointID) {
	if c.Host == "" {
		c.Host, c.Hosts = "a", hosts
	}
	m := balance.New(c, rand.New(rand.NewPCG(1, 2)))
	var ids []directory.EndpointID
	for id := directory.EndpointID(1); id <= directory.EndpointID(n); id++ {
		m.Add(id, 2, false)
		ids = append(ids, id)
	}
	return m, ids
}

var _ = Describe("load estimate", func() {
	// Guards against outdated reports that count like new ones.
	It("lowers the weight of a report with its age", func() {
		m, _ := newModel(balance.Config{}, 1)
		m.Observe(1, balance.Report{InFlight: 4})
		Expect(m.ReportWeight(1)).To(Equal(1.0))
		m.Advance(1500 * time.Millisecond)
		Expect(m.ReportWeight(1)).To(Equal(0.5))
		m.Advance(3 * time.Second)
		Expect(m.ReportWeight(1)).To(BeZero())
	})

	// Guards against a load endpoint that always reports no work and so attracts all of it.
	It("stops using reports below the work that this host has sent", func() {
		m, _ := newModel(balance.Config{}, 1)
		for range 3 {
			m.Sent(1)
		}
		for i := range 6 {
			m.Advance(time.Duration(i+1) * time.Second)
			m.Observe(1, balance.Report{ReadAt: time.Duration(i+1) * time.Second})
		}
		Expect(m.ReportWeight(1)).To(BeZero())
	})

	// Guards against a load endpoint that always reports the same plausible figure.
	It("stops using a report that never changes while answers arrive", func() {
		m, _ := newModel(balance.Config{}, 1)
		for i := range 12 {
			m.Advance(time.Duration(i+1) * time.Second)
			m.Sent(1)
			m.Done(1, balance.Answered, 10*time.Millisecond)
			m.Observe(1, balance.Report{InFlight: 3, ReadAt: time.Duration(i+1) * time.Second})
		}
		Expect(m.ReportWeight(1)).To(BeZero())
	})

	// Guards against reports that arrive out of order.
	It("ignores a report that is older than the last one", func() {
		m, _ := newModel(balance.Config{}, 1)
		m.Observe(1, balance.Report{InFlight: 2, ReadAt: time.Second})
		before := m.Estimate(1)
		m.Observe(1, balance.Report{InFlight: 9})
		Expect(m.Estimate(1)).To(Equal(before))
	})

	// Guards against requests of this host that do not count until the next report.
	It("adds the work that this host has sent to the last report", func() {
		m, _ := newModel(balance.Config{}, 1)
		m.Observe(1, balance.Report{InFlight: 4})
		before := m.Estimate(1)
		m.Sent(1)
		Expect(m.Estimate(1)).To(Equal(before + 1))
	})
})

var _ = Describe("choice", func() {
	// Guards against a result that is none of the candidates.
	It("has the signature that the flow engine uses", func() {
		m, ids := newModel(balance.Config{}, 3)
		c := flow.Config{ChooseEndpoint: m.Choose}
		Expect(ids).To(ContainElement(c.ChooseEndpoint("desk", ids)))
		Expect(c.ChooseEndpoint("desk", nil)).To(BeZero())
		Expect(c.ChooseEndpoint("desk", []directory.EndpointID{9})).To(BeZero())
	})

	// Guards against a choice that depends on anything but the seed and the calls before.
	It("is the same for the same seed", func() {
		sequence := func() (chosen []directory.EndpointID) {
			m, ids := newModel(balance.Config{}, 15)
			for range 200 {
				id := m.Choose("", ids)
				m.Sent(id)
				chosen = append(chosen, id)
			}
			return chosen
		}
		Expect(sequence()).To(Equal(sequence()))
	})

	// Guards against garbage collection at thousands of new flows per second.
	It("allocates nothing", func() {
		m, ids := newModel(balance.Config{}, 15)
		Expect(testing.AllocsPerRun(100, func() { m.Choose("", ids) })).To(BeZero())
	})

	// Guards against work for an endpoint that refuses requests while its health endpoint reports
	// it as healthy.
	It("backs off exponentially from an endpoint that refuses", func() {
		m, ids := newModel(balance.Config{SolePlacer: true}, 1)
		now := time.Duration(0)
		var pauses []time.Duration
		for range 4 {
			m.Sent(1)
			m.Done(1, balance.Refused, 0)
			start := now
			for m.Place(0, ids) == 0 {
				now += 10 * time.Millisecond
				m.Advance(now)
			}
			pauses = append(pauses, now-start)
		}
		Expect(pauses).To(Equal([]time.Duration{250e6, 500e6, 1e9, 2e9}))
	})

	// Guards against an endpoint that sheds load and counts as recovered after each answer.
	It("halves the count of refusals with each answer", func() {
		m, ids := newModel(balance.Config{SolePlacer: true}, 1)
		for range 4 {
			m.Done(1, balance.Refused, 0)
		}
		m.Done(1, balance.Answered, time.Millisecond)
		m.Advance(10 * time.Second)
		m.Done(1, balance.Refused, 0)
		m.Advance(10*time.Second + 900*time.Millisecond)
		Expect(m.Place(0, ids)).To(BeZero(), "two refusals are left, so the backoff is 1 s")
		m.Advance(11 * time.Second)
		Expect(m.Place(0, ids)).NotTo(BeZero())
	})

	// Guards against an endpoint that gets more requests than its slots and backlog.
	It("fills the slots and the backlog of each endpoint", func() {
		m, ids := newModel(balance.Config{SolePlacer: true, Backlog: 1}, 2)
		for range 6 {
			m.Sent(m.Place(0, ids))
		}
		Expect(m.Place(0, ids)).To(BeZero())
		Expect(m.Choose("", ids)).NotTo(BeZero(), "a flow is placed even if all slots are taken")
	})

	// Guards against a flow that leaves its bucket's endpoint although that has a free slot.
	It("keeps the bucket's endpoint with UnbrokenFirst", func() {
		m, ids := newModel(balance.Config{}, 4)
		m.Sent(3)
		Expect(m.ChooseSticky(balance.UnbrokenFirst, 3, ids)).To(Equal(directory.EndpointID(3)))
		m.Sent(3)
		Expect(m.ChooseSticky(balance.UnbrokenFirst, 3, ids)).NotTo(Equal(directory.EndpointID(3)))
	})
})

var _ = Describe("cold endpoints", func() {
	// Guards against several hosts that overfill the slots of a cold endpoint together.
	It("get work from one host only, within their slots", func() {
		total, senders := 0, 0
		for _, host := range hosts {
			m := balance.New(balance.Config{Host: host, Hosts: hosts}, rand.New(rand.NewPCG(1, 2)))
			m.Add(7, 2, true)
			sent := 0
			for m.Place(0, []directory.EndpointID{7}) != 0 {
				m.Sent(7)
				sent++
			}
			total += sent
			senders += min(sent, 1)
		}
		Expect(senders).To(Equal(1))
		Expect(total).To(Equal(1), "one request until the first answers have arrived")
	})

	// Guards against a cold endpoint without work because the host that sends to it is lost.
	It("get work from another host when theirs is lost", func() {
		m := balance.New(balance.Config{Host: "f", Hosts: hosts}, rand.New(rand.NewPCG(1, 2)))
		for id := directory.EndpointID(1); id <= 20; id++ {
			m.Add(id, 2, true)
			m.SetHosts([]string{"f"})
			Expect(m.Place(0, []directory.EndpointID{id})).To(Equal(id))
			m.SetHosts(hosts[:5])
			Expect(m.Place(0, []directory.EndpointID{id})).To(BeZero())
		}
	})

	// Guards against a slow start that never ends.
	It("become warm after the slow start", func() {
		m := balance.New(balance.Config{Host: "none", Hosts: hosts}, rand.New(rand.NewPCG(1, 2)))
		m.Add(7, 2, true)
		Expect(m.Place(0, []directory.EndpointID{7})).To(BeZero())
		m.Advance(10 * time.Second)
		Expect(m.Place(0, []directory.EndpointID{7})).NotTo(BeZero())
	})
})

var _ = Describe("new endpoints", func() {
	// Guards against an endpoint that gets all new flows after its slow start because it has none yet.
	It("get no more than about twice their fair share of long-lived flows", func() {
		m, ids := newModel(balance.Config{SolePlacer: true}, 9)
		for range 1000 {
			for _, id := range ids {
				m.Sent(id)
			}
		}
		m.Add(10, 2, true)
		ids = append(ids, 10)
		m.Sent(m.Choose("", ids))
		m.Advance(10 * time.Second)
		fresh := 0
		for range 500 {
			id := m.Choose("", ids)
			m.Sent(id)
			if id == 10 {
				fresh++
			}
		}
		Expect(fresh).To(BeNumerically("~", 100, 20))
	})
})

var _ = Describe("placing host", func() {
	// Guards against services that move although their host remains, and against one host that
	// places all services.
	It("spreads the services and moves only those of a lost host", func() {
		counts := map[string]int{}
		for i := range 600 {
			service := fmt.Sprint("service", i)
			before := balance.PlacingHost(service, hosts)
			counts[before]++
			if after := balance.PlacingHost(service, hosts[1:]); before != hosts[0] {
				Expect(after).To(Equal(before))
			}
		}
		for _, host := range hosts {
			Expect(counts[host]).To(BeNumerically("~", 100, 40))
		}
	})
})

var _ = Describe("circuit breaker", func() {
	// Guards against a breaker that opens too early, allows a burst after the pause or never closes.
	It("opens after consecutive failures, allows one trial after the pause and closes after an answer", func() {
		b := balance.Breaker{Failures: 2, Pause: time.Second}
		b.Ended(0, balance.Refused)
		b.Ended(0, balance.Cancelled)
		Expect(b.Allows(0)).To(BeTrue())
		b.Ended(0, balance.Lost)
		Expect(b.Allows(time.Second - 1)).To(BeFalse())
		Expect(b.Allows(time.Second)).To(BeTrue())
		b.Sent()
		Expect(b.Allows(time.Second)).To(BeFalse())
		b.Ended(time.Second, balance.Answered)
		Expect(b.Allows(time.Second)).To(BeTrue())
	})
})

func BenchmarkChoose(b *testing.B) {
	for _, sole := range []bool{false, true} {
		for _, n := range []int{4, 15, 200} {
			b.Run(fmt.Sprintf("sole=%v/%d", sole, n), func(b *testing.B) {
				m, ids := newModel(balance.Config{SolePlacer: sole}, n)
				b.ReportAllocs()
				for b.Loop() {
					m.Choose("", ids)
				}
			})
		}
	}
}
