package directory_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
)

// newFleet returns a log with services that have the given number of ready
// endpoints each.
func newFleet(buckets, services, endpoints int) *testLog {
	l := &testLog{state: directory.NewWithBuckets(buckets)}
	for i := range services {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)
		l.acceptChange(fmt.Sprint("s", i), 0, document.Service{Name: fmt.Sprint("s", i), Address: address, Protocol: document.TCP})
		for n := range endpoints {
			l.apply(directory.EndpointAdded{Endpoint: fleetEndpoint(i, n, 0)})
		}
		l.commit()
		l.commit()
	}
	return l
}

func fleetEndpoint(service, n, generation int) directory.Endpoint {
	return directory.Endpoint{
		Instance: fmt.Sprintf("s%d-%d-%d", service, n, generation), Service: fmt.Sprint("s", service), Slots: 2, State: directory.Ready,
		Domain:  fmt.Sprint("zone-", n%18),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(1 + service>>8 + n>>8), byte(n), byte(service)}), 8080),
	}
}

// replaceEndpoint restarts one endpoint of a service on its address: it drains,
// a new instance replaces it, and the moves are committed.
func (l *testLog) replaceEndpoint(service, n, generation int) {
	l.apply(directory.EndpointStateChanged{Instance: fleetEndpoint(service, n, generation).Instance, State: directory.Draining})
	l.commit()
	l.apply(directory.EndpointAdded{Endpoint: fleetEndpoint(service, n, generation+1)})
	l.commit()
}

// BenchmarkReplaceEndpoint measures the four log entries of a restart.
func BenchmarkReplaceEndpoint(b *testing.B) {
	for _, size := range []struct{ buckets, services, endpoints int }{
		{1024, 1, 15}, {1024, 1, 12_000}, {16_384, 1, 12_000}, {1024, 2400, 5},
	} {
		b.Run(fmt.Sprintf("buckets=%d/services=%d/endpoints=%d", size.buckets, size.services, size.endpoints), func(b *testing.B) {
			l := newFleet(size.buckets, size.services, size.endpoints)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				round := i / size.services
				l.replaceEndpoint(i%size.services, round%size.endpoints, round/size.endpoints)
			}
		})
	}
}

// BenchmarkApply measures log entries that change no table: an added host, and a
// section change with its preparation and decision.
func BenchmarkApply(b *testing.B) {
	l := newFleet(1024, 2400, 5)
	s, _ := l.state.Service("s7")
	b.Run("host", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			l.apply(directory.HostAdded{Host: directory.Host{Name: fmt.Sprint("h", i%1200), Incarnation: l.index, Domain: "zone-1"}})
		}
	})
	b.Run("change", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			section, _ := l.state.Section("s7")
			if out := l.acceptChange("s7", section.Version, s.Service); !out.Applied {
				b.Fatal(out.Reason)
			}
		}
	})
}

// BenchmarkMemory reports the memory of a service with 5 endpoints, each of which
// was replaced the given number of times within a day.
func BenchmarkMemory(b *testing.B) {
	const services = 2400
	for _, replaced := range []int{0, 1, 4} {
		b.Run(fmt.Sprintf("replaced=%d", replaced), func(b *testing.B) {
			before := heapBytes()
			l := newFleet(1024, services, 5)
			for generation := range replaced {
				for i := range services * 5 {
					l.replaceEndpoint(i%services, i/services, generation)
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/services, "B/service")
			runtime.KeepAlive(l)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkLookup measures the lookups that are made for each packet.
func BenchmarkLookup(b *testing.B) {
	for _, hosts := range []int{2, 67} { // hosts of a failure domain: at one site, and in the whole fleet
		domains := make([][]string, 18)
		for i := range 18 * hosts {
			domains[i%18] = append(domains[i%18], fmt.Sprint("h", i))
		}
		l := newFleet(1024, 2400, 5).withHosts(domains...)
		s, _ := l.state.Service("s7")
		b.Run(fmt.Sprintf("bucket/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				found, _ := l.state.ServiceByAddress(s.Address, s.Protocol)
				_, _ = l.state.Endpoint(found.Bucket(i % 1024).Current)
			}
		})
		b.Run(fmt.Sprintf("holders/hosts=%d", hosts), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				_, _, _ = l.state.Holders("s7", i%1024, s.Bucket(i%1024).Current)
			}
		})
	}
}
