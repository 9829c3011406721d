package flow_test

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cassiawood/internal/directory"
	"cassiawood/internal/flow"
)

// fakeTable is one version of a small directory; versions are never changed.
type fakeTable struct {
	index     uint64
	services  map[string]flow.Service
	endpoints map[directory.EndpointID]directory.Endpoint
	buckets   map[string][]directory.Bucket
	hosts     []directory.Host
}

func (t *fakeTable) next() *fakeTable {
	c := &fakeTable{
		index: t.index + 1, services: maps.Clone(t.services), endpoints: maps.Clone(t.endpoints),
		buckets: map[string][]directory.Bucket{}, hosts: slices.Clone(t.hosts),
	}
	for name, bs := range t.buckets {
		c.buckets[name] = slices.Clone(bs)
	}
	return c
}

func (t *fakeTable) Index() uint64 { return t.index }

func (t *fakeTable) Services() []string { return slices.Sorted(maps.Keys(t.services)) }

func (t *fakeTable) Service(a netip.AddrPort, protocol uint8) (*flow.Service, bool) {
	for _, s := range t.services {
		if s.Address == a && s.Protocol == protocol {
			return &s, true
		}
	}
	return nil, false
}

func (t *fakeTable) ServiceNamed(name string) (*flow.Service, bool) {
	s, ok := t.services[name]
	return &s, ok
}

func (t *fakeTable) Bucket(service string, n int) *directory.Bucket { return &t.buckets[service][n] }

func (t *fakeTable) Endpoint(id directory.EndpointID) (*directory.Endpoint, bool) {
	e, ok := t.endpoints[id]
	return &e, ok
}

func (t *fakeTable) EndpointsAt(a netip.AddrPort) []directory.EndpointID {
	return t.filter(func(e directory.Endpoint) bool { return e.Address == a })
}

func (t *fakeTable) EndpointsOf(service string) []directory.EndpointID {
	return t.filter(func(e directory.Endpoint) bool { return e.Service == service })
}

func (t *fakeTable) filter(keep func(directory.Endpoint) bool) (ids []directory.EndpointID) {
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		if keep(t.endpoints[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (t *fakeTable) Hosts() []directory.Host { return t.hosts }

// Holders follows section 5.2 of the design.
func (t *fakeTable) Holders(service string, bucket int, id directory.EndpointID) (string, string, bool) {
	var ranked []directory.Host
	for _, h := range t.hosts {
		if h.State == directory.HostActive {
			ranked = append(ranked, h)
		}
	}
	rank := func(h directory.Host) uint64 { return xxhash.Sum64String(fmt.Sprint(service, bucket, h.Name)) }
	slices.SortFunc(ranked, func(a, b directory.Host) int {
		if rank(a) > rank(b) {
			return -1
		}
		return 1
	})
	best := func(match func(directory.Host) bool) string {
		if i := slices.IndexFunc(ranked, match); i >= 0 {
			return ranked[i].Name
		}
		return ""
	}
	domain := t.endpoints[id].Domain
	first := best(func(h directory.Host) bool { return h.Domain == domain })
	current := t.endpoints[t.buckets[service][bucket].Current].Domain
	second := best(func(h directory.Host) bool { return h.Domain == current && h.Name != first })
	if second == "" {
		second = best(func(h directory.Host) bool { return h.Name != first })
	}
	return first, second, first != ""
}

func (t *fakeTable) setEndpoint(id directory.EndpointID, s directory.EndpointState) {
	e := t.endpoints[id]
	e.State = s
	t.endpoints[id] = e
}

// prepare starts the moves of all buckets whose current endpoint takes no flows,
// and of every n-th bucket to the endpoint `to` if that is not 0.
func (t *fakeTable) prepare(service string, to directory.EndpointID, nth int) {
	ready := t.filter(func(e directory.Endpoint) bool { return e.Service == service && e.State.AcceptsFlows() })
	for i := range t.buckets[service] {
		b := &t.buckets[service][i]
		target := directory.EndpointID(0)
		switch {
		case b.Next != 0 && t.endpoints[b.Next].State.AcceptsFlows():
			continue
		case !t.endpoints[b.Current].State.AcceptsFlows() && len(ready) > 0:
			target = ready[i%len(ready)]
		case to != 0 && i%nth == 0 && b.Current != to:
			target = to
		}
		b.Next = target
	}
}

// commit makes the prepared moves current.
func (t *fakeTable) commit() {
	for _, bs := range t.buckets {
		for i := range bs {
			b := &bs[i]
			if b.Next == 0 {
				continue
			}
			since := []directory.EndpointID{b.Next}
			for _, id := range b.Since {
				if id != b.Next {
					since = append(since, id)
				}
			}
			b.Current, b.Since, b.Next = b.Next, since, 0
		}
	}
}

func newTable(buckets int, balanceFirst bool, domains, hostsPerDomain, endpointsPerDomain int) *fakeTable {
	t := &fakeTable{
		index: 1, services: map[string]flow.Service{}, endpoints: map[directory.EndpointID]directory.Endpoint{},
		buckets: map[string][]directory.Bucket{},
	}
	id := directory.EndpointID(0)
	for s, name := range []string{"feed", "label"} {
		t.services[name] = flow.Service{
			Name: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, 0, byte(s + 1)}), 443),
			Protocol: flow.ProtocolTCP, Buckets: buckets, BalanceFirst: balanceFirst,
		}
		for d := range domains * endpointsPerDomain {
			id++
			t.endpoints[id] = directory.Endpoint{
				ID: id, Service: name, State: directory.Ready, Domain: fmt.Sprint("d", d%domains),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(s), byte(id)}), 8080),
			}
		}
		of := t.EndpointsOf(name)
		for i := range buckets {
			c := of[i%len(of)]
			t.buckets[name] = append(t.buckets[name], directory.Bucket{Current: c, Base: c})
		}
	}
	for i := range domains * hostsPerDomain {
		t.hosts = append(t.hosts, directory.Host{
			Name: fmt.Sprint("h", i), Incarnation: 1, Domain: fmt.Sprint("d", i%domains), State: directory.HostActive,
		})
	}
	return t
}
