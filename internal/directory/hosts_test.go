package directory_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
)

// withHosts adds active hosts, one name list for each failure domain.
func (l *testLog) withHosts(domains ...[]string) *testLog {
	for d, names := range domains {
		for _, name := range names {
			l.apply(directory.HostAdded{Host: directory.Host{Name: name, Incarnation: 1, Domain: fmt.Sprintf("zone-%d", d)}})
			l.apply(directory.HostActivated{Name: name, Incarnation: 1})
		}
	}
	return l
}

var _ = Describe("holders", func() {
	// Guards against a partition that separates an endpoint from the records of its
	// flows.
	It("are in the failure domains of the endpoint and of the current endpoint", func() {
		l := newLogWithEndpoints(3).withHosts([]string{"a1", "a2"}, []string{"b1", "b2"}, []string{"c1"})
		for i, b := range l.buckets("desk") {
			for e := directory.EndpointID(1); e <= 3; e++ {
				first, second, ok := l.state.Holders("desk", i, e)
				Expect(ok).To(BeTrue())
				endpoint, _ := l.state.Endpoint(e)
				current, _ := l.state.Endpoint(b.Current)
				host, _ := l.state.Host(first)
				Expect(host.Domain).To(Equal(endpoint.Domain))
				Expect(second).NotTo(Or(BeEmpty(), Equal(first)))
				other, _ := l.state.Host(second)
				if current.Domain != endpoint.Domain || endpoint.Domain != "zone-2" {
					Expect(other.Domain).To(Equal(current.Domain))
				} else {
					Expect(other.Domain).NotTo(Equal(endpoint.Domain))
				}
			}
		}
	})

	// Guards against the removal of a host that changes the holders of buckets that
	// the host did not hold.
	It("change only where the removed host was one", func() {
		l := newLogWithEndpoints(1).withHosts([]string{"a1", "a2", "a3", "a4"})
		before := map[int][2]string{}
		for i := range 1024 {
			first, second, _ := l.state.Holders("desk", i, 1)
			before[i] = [2]string{first, second}
		}
		l.apply(directory.HostRemoved{Name: "a3", Incarnation: 1})
		for i, previous := range before {
			first, second, _ := l.state.Holders("desk", i, 1)
			switch {
			case previous[0] == "a3":
				Expect(first).To(Equal(previous[1]))
			case previous[1] == "a3":
				Expect(first).To(Equal(previous[0]))
			default:
				Expect([2]string{first, second}).To(Equal(previous))
			}
		}
	})

	// Guards against records that are held only by a host without a confirmed copy,
	// and against traffic that stops when a failure domain has no active host.
	It("are only active hosts, of another failure domain if their own has none", func() {
		l := newLogWithEndpoints(1).withHosts([]string{"a1"}, []string{"b1"})
		_, second, _ := l.state.Holders("desk", 0, 1)
		Expect(second).To(Equal("b1"))
		Expect(l.apply(directory.HostAdded{Host: directory.Host{Name: "a1", Incarnation: 2, Domain: "zone-0"}}).Applied).To(BeTrue())
		first, second, ok := l.state.Holders("desk", 0, 1)
		Expect([]any{first, second, ok}).To(Equal([]any{"b1", "", true}))
		Expect(l.apply(directory.HostActivated{Name: "a1", Incarnation: 1}).Applied).To(BeFalse())
		Expect(l.apply(directory.HostRemoved{Name: "a1", Incarnation: 1}).Applied).To(BeFalse())
		l.apply(directory.HostRemoved{Name: "b1", Incarnation: 1})
		_, _, ok = l.state.Holders("desk", 0, 1)
		Expect(ok).To(BeFalse())
	})

	// Guards against a change that is accepted without the confirmation of a failure
	// domain whose hosts are all cut off.
	It("do not decide which failure domains are in service", func() {
		l := newLogWithEndpoints(3).withHosts([]string{"a1"}, []string{"b1"}, []string{"c1"})
		l.apply(directory.HostRemoved{Name: "b1", Incarnation: 1})
		Expect(l.state.DomainsInService()).To(Equal([]string{"zone-0", "zone-1", "zone-2"}))
		l.apply(directory.DomainService{Domain: "zone-1", Out: true})
		Expect(l.state.DomainsInService()).To(Equal([]string{"zone-0", "zone-2"}))
		Expect(l.apply(directory.DomainService{Domain: "zone-9", Out: true}).Applied).To(BeFalse())
		l.commit()
		for id := range countOwned(l.buckets("desk")) {
			e, _ := l.state.Endpoint(id)
			Expect(e.Domain).NotTo(Equal("zone-1"))
		}
	})
})

var _ = Describe("endpoints", func() {
	// Guards against new flows on an instance that has announced that it stops.
	It("only move forward", func() {
		l := newLogWithEndpoints(2)
		set := func(s directory.EndpointState) bool {
			return l.apply(directory.EndpointStateChanged{Instance: "desk-1", State: s}).Applied
		}
		Expect(set(directory.Draining)).To(BeTrue())
		Expect(set(directory.Ready)).To(BeFalse())
		Expect(set(directory.Leaving)).To(BeTrue())
		Expect(set(directory.Draining)).To(BeFalse())
		Expect(set(directory.Removed)).To(BeFalse())
		Expect(l.apply(directory.EndpointRemoved{Instance: "desk-1"}).Applied).To(BeTrue())
		Expect(l.apply(directory.EndpointAdded{Endpoint: endpoint("desk", 1, "zone-0", directory.Ready)}).Applied).To(BeFalse())
	})

	// Guards against packets that reach a restarted backend server although their
	// flows belong to its previous instance.
	It("keep the older instances of an address apart", func() {
		l := newLogWithEndpoints(2)
		next := endpoint("desk", 1, "zone-0", directory.Ready)
		next.Instance = "desk-1-again"
		out := l.apply(directory.EndpointAdded{Endpoint: next})
		Expect(out.Endpoint).To(BeEquivalentTo(3))
		newest, _ := l.state.EndpointByAddress(next.Address)
		Expect(newest.ID).To(Equal(out.Endpoint))
		Expect(l.state.EndpointIDsByAddress(next.Address)).To(Equal([]directory.EndpointID{3, 1}))
		old, _ := l.state.Endpoint(1)
		Expect(old.State).To(Equal(directory.Removed))
	})

	// Guards against faulty probes that take all endpoints of a service out of use.
	It("are suspected up to a third of the ready ones", func() {
		l := newLogWithEndpoints(6)
		suspect := func(n int) bool {
			return l.apply(directory.EndpointSuspected{Instance: fmt.Sprintf("desk-%d", n), Suspected: true}).Applied
		}
		Expect(suspect(1)).To(BeTrue())
		Expect(suspect(2)).To(BeTrue())
		Expect(suspect(3)).To(BeFalse())
		Expect(countOwned(l.buckets("desk"))).NotTo(Or(HaveKey(directory.EndpointID(1)), HaveKey(directory.EndpointID(2))))
		l.apply(directory.EndpointStateChanged{Instance: "desk-6", State: directory.Draining})
		Expect(countOwned(l.buckets("desk"))).To(HaveKey(directory.EndpointID(1)))
		Expect(countOwned(l.buckets("desk"))).NotTo(HaveKey(directory.EndpointID(2)))
	})
})

// Guards against a packet path that allocates for each packet.
func TestReadsDoNotAllocate(t *testing.T) {
	l := newLogWithEndpoints(15).withHosts([]string{"a1", "a2"}, []string{"b1"}, []string{"c1"})
	desk := service("desk", 1)
	address := endpoint("desk", 3, "", 0).Address
	allocations := testing.AllocsPerRun(100, func() {
		s, _ := l.state.ServiceByAddress(desk.Address, desk.Protocol)
		b := s.Bucket(7)
		_, _ = l.state.Endpoint(b.Current)
		_, _ = l.state.EndpointByAddress(address)
		_, _, _ = l.state.Holders(s.Name, 7, b.Current)
		_, _ = l.state.OldestPendingMove()
		_, _ = l.state.Hosts(), l.state.Sections()
	})
	if allocations != 0 {
		t.Fatalf("%v allocations", allocations)
	}
}
