package directory_test

import (
	"fmt"
	"runtime"
	"testing"

	"cassiawood/internal/directory"
)

// capacitySizes are the numbers of services, with 5 endpoints each, and of entry
// hosts from which docs/CAPACITY.md computes its slopes.
var capacitySizes = []struct{ services, hosts int }{{20, 10}, {200, 100}, {2400, 1200}}

func newCapacityFleet(services, hosts int) *testLog {
	domains := make([][]string, 18)
	for i := range hosts {
		domains[i%18] = append(domains[i%18], fmt.Sprint("h", i))
	}
	return newFleet(1024, services, 5).withHosts(domains...)
}

// BenchmarkCapacityState reports the memory of a directory with settled buckets,
// and with one endpoint of each service replaced.
func BenchmarkCapacityState(b *testing.B) {
	for _, size := range capacitySizes {
		for _, replaced := range []int{0, 1} {
			b.Run(fmt.Sprintf("endpoints=%d/replaced=%d", 5*size.services, replaced), func(b *testing.B) {
				for b.Loop() {
					before := heapBytes()
					l := newCapacityFleet(size.services, size.hosts)
					for i := range replaced * size.services {
						l.replaceEndpoint(i, 0, 0)
					}
					after := heapBytes()
					b.ReportMetric(float64(after-before)/(1<<20), "MiB")
					b.ReportMetric(float64(after-before)/float64(size.services), "B/service")
					runtime.KeepAlive(l)
				}
			})
		}
	}
}

// BenchmarkCapacityApply measures the four log entries that replace an endpoint,
// the entry that adds a host, and the one that declares a failure domain in
// service.
func BenchmarkCapacityApply(b *testing.B) {
	for _, size := range capacitySizes {
		l := newCapacityFleet(size.services, size.hosts)
		b.Run(fmt.Sprintf("replace/endpoints=%d", 5*size.services), func(b *testing.B) {
			l := newCapacityFleet(size.services, size.hosts)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				round := i / size.services
				l.replaceEndpoint(i%size.services, round%5, round/5)
			}
		})
		b.Run(fmt.Sprintf("host/hosts=%d", size.hosts), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				host := directory.Host{Name: fmt.Sprint("h", i%size.hosts), Incarnation: 1000 + l.index, Domain: fmt.Sprint("zone-", i%18)}
				l.apply(directory.HostAdded{Host: host})
			}
		})
		b.Run(fmt.Sprintf("domain/endpoints=%d", 5*size.services), func(b *testing.B) {
			for range b.N {
				l.apply(directory.DomainService{Domain: "zone-1", Author: "settings"})
			}
		})
	}
}

// BenchmarkCapacitySnapshot measures the copy from which a snapshot is encoded, and
// the restoration of a state from it.
func BenchmarkCapacitySnapshot(b *testing.B) {
	for _, size := range capacitySizes {
		l := newCapacityFleet(size.services, size.hosts)
		snapshot := l.state.Snapshot()
		b.Run(fmt.Sprintf("copy/endpoints=%d", 5*size.services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				snapshot = l.state.Snapshot()
			}
		})
		b.Run(fmt.Sprintf("restore/endpoints=%d", 5*size.services), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := directory.FromSnapshot(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
