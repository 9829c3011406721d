package member_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/member"
)

// capacityLeader returns the directory and the leases of a leader with the given
// numbers of services, with 5 endpoints each, and of hosts.
func capacityLeader(b *testing.B, services, hosts int) (*directory.State, *member.Leases) {
	b.Helper()
	s := directory.New()
	apply := func(c directory.Command) {
		if out := s.Apply(directory.Entry{Index: s.Index() + 1, Command: c}); out.Reason != "" {
			b.Fatal(out.Reason)
		}
	}
	for i := range hosts {
		apply(directory.HostAdded{Host: directory.Host{Name: fmt.Sprint("h", i), Incarnation: 1, Domain: fmt.Sprint("d", i%18)}})
		apply(directory.HostActivated{Name: fmt.Sprint("h", i), Incarnation: 1})
	}
	for i := range services {
		name := fmt.Sprint("s", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 443)
		apply(directory.ChangePrepared{ChangeID: name, Team: "t", Section: name, Services: []document.Service{
			{Name: name, AnnouncedAs: name, Protocol: document.TCP, Address: address},
		}})
		apply(directory.ChangeDecided{ChangeID: name, Accepted: true})
		for n := range 5 {
			apply(directory.EndpointAdded{Endpoint: capacityEndpoint(i, n)})
		}
		apply(directory.MovesCommitted{UpTo: s.Index()})
		apply(directory.MovesCommitted{UpTo: s.Index()})
	}
	l := member.New(s)
	l.Step(0, member.BecameLeader{})
	return s, l
}

func capacityEndpoint(service, n int) directory.Endpoint {
	return directory.Endpoint{
		Instance: fmt.Sprintf("s%d-%d", service, n), Service: fmt.Sprint("s", service), Slots: 2, State: directory.Ready,
		Domain:  fmt.Sprint("d", n%18),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(20 + service>>8), byte(service), byte(n)}), 8080),
	}
}

// BenchmarkCapacityLeader measures how the leader handles an acknowledgment,
// without and with a prepared move and a pending change, a tick, and a renewed
// lease.
func BenchmarkCapacityLeader(b *testing.B) {
	for _, size := range []struct{ services, hosts int }{{20, 10}, {200, 100}, {2400, 1200}} {
		s, l := capacityLeader(b, size.services, size.hosts)
		names := make([]string, size.hosts)
		for i := range names {
			names[i] = fmt.Sprint("h", i)
		}
		now, settled := time.Duration(0), s.Index()
		acknowledge := func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				now += time.Microsecond
				l.Step(now, member.HostApplied{Name: names[i%size.hosts], Incarnation: 1, Index: settled})
			}
		}
		b.Run(fmt.Sprintf("acknowledged/hosts=%d", size.hosts), acknowledge)
		b.Run(fmt.Sprintf("tick/hosts=%d", size.hosts), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				now += time.Microsecond
				l.Step(now, member.Tick{})
			}
		})
		b.Run(fmt.Sprintf("renewed/endpoints=%d", 5*size.services), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				now += time.Microsecond
				e := capacityEndpoint(i%size.services, i/size.services%5)
				e.Service = fmt.Sprint("s", i%size.services)
				l.Step(now, member.Announced{ID: uint64(i), Endpoint: e})
			}
		})
		s.Apply(directory.Entry{Index: s.Index() + 1, Command: directory.EndpointStateChanged{Instance: "s0-0", State: directory.Draining}})
		s.Apply(directory.Entry{Index: s.Index() + 1, Command: directory.ChangePrepared{
			ChangeID: "late", Team: "t", Section: "late", Text: "late",
		}})
		b.Run(fmt.Sprintf("acknowledged-waiting/hosts=%d", size.hosts), acknowledge)
	}
}
