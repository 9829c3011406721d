package flow_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/flow"
)

// capacityLog returns a log with 5 endpoints per service and hosts in up to 18 failure domains.
func capacityLog(services, hosts int) *tableLog {
	l := &tableLog{head: directory.New()}
	for i := range hosts {
		name := fmt.Sprint("h", i)
		l.mustApply(directory.HostAdded{Host: directory.Host{Name: name, Incarnation: 1, Domain: fmt.Sprint("d", i%18)}})
		l.mustApply(directory.HostActivated{Name: name, Incarnation: 1})
	}
	for i := range services {
		name := fmt.Sprint("s", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 443)
		l.mustApply(directory.ChangePrepared{ChangeID: name, Team: "t", Section: name, Services: []document.Service{
			{Name: name, AnnouncedAs: name, Protocol: document.TCP, Address: address},
		}})
		l.mustApply(directory.ChangeDecided{ChangeID: name, Accepted: true})
		for n := range 5 {
			l.mustApply(directory.EndpointAdded{Endpoint: capacityEndpoint(i, n, 0)})
		}
		l.commitPrepared()
		l.commitPrepared()
	}
	return l
}

// mustApply applies a command that must not be rejected. Unlike expectApplied, it works
// without Ginkgo.
func (l *tableLog) mustApply(c directory.Command) {
	if out := l.apply(0, c); out.Reason != "" {
		panic(out.Reason)
	}
}

func (l *tableLog) commitPrepared() {
	l.apply(0, directory.MovesCommitted{UpTo: uint64(len(l.entries))})
}

func capacityEndpoint(service, n, generation int) directory.Endpoint {
	return directory.Endpoint{
		Instance: fmt.Sprintf("s%d-%d-%d", service, n, generation), Service: fmt.Sprint("s", service), Slots: 2, State: directory.Ready,
		Domain:  fmt.Sprint("d", n%18),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(20 + service>>8), byte(service), byte(n)}), 8080),
	}
}

// replace drains an endpoint and adds its successor. The flows of its buckets need records
// from then on.
func (l *tableLog) replace(service, n, generation int) {
	l.mustApply(directory.EndpointStateChanged{Instance: capacityEndpoint(service, n, generation).Instance, State: directory.Draining})
	l.commitPrepared()
	l.mustApply(directory.EndpointAdded{Endpoint: capacityEndpoint(service, n, generation+1)})
	l.commitPrepared()
}

// BenchmarkCapacitySetTable measures a table change, as after each batch of log entries, with
// all buckets settled and with one endpoint of each service replaced.
func BenchmarkCapacitySetTable(b *testing.B) {
	for _, size := range []struct{ services, hosts int }{{20, 10}, {200, 100}, {2400, 1200}} {
		l := capacityLog(size.services, size.hosts)
		for _, replaced := range []bool{false, true} {
			if replaced {
				for i := range size.services {
					l.replace(i, 0, 0)
				}
			}
			b.Run(fmt.Sprintf("endpoints=%d/replaced=%t", 5*size.services, replaced), func(b *testing.B) {
				before := heapBytes()
				e := flow.New(flow.Config{Host: "h0", Incarnation: 1, Domain: "d0"})
				e.RenewLease(1000 * time.Hour)
				e.SetTable(0, flow.TableOf(l.head))
				e.TakeEffects()
				b.ReportAllocs()
				for b.Loop() {
					e.SetTable(time.Second, flow.TableOf(l.head))
					e.TakeEffects()
				}
				b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB/engine")
				runtime.KeepAlive(e)
			})
		}
	}
}

// heapBytes returns the size of the heap in bytes.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkCapacityAllReplaced measures a table change with 1,200 hosts after each endpoint was
// replaced once, as within a day, before the tombstones expire.
func BenchmarkCapacityAllReplaced(b *testing.B) {
	for _, services := range []int{20, 60, 200} {
		l := capacityLog(services, 1200)
		for i := range 5 * services {
			l.replace(i%services, i/services, 0)
		}
		b.Run(fmt.Sprintf("endpoints=%d", 5*services), func(b *testing.B) {
			before := heapBytes()
			e := flow.New(flow.Config{Host: "h0", Incarnation: 1, Domain: "d0"})
			e.RenewLease(1000 * time.Hour)
			e.SetTable(0, flow.TableOf(l.head))
			e.TakeEffects()
			for b.Loop() {
				e.SetTable(time.Second, flow.TableOf(l.head))
				e.TakeEffects()
			}
			b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MiB/engine")
			runtime.KeepAlive(e)
		})
	}
}
