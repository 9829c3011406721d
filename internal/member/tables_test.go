package member_test

import (
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"

	"cassiawood/internal/directory"
	"cassiawood/internal/member"
)

// tableView is the table of a host that has applied the log up to one index.
type tableView struct {
	buckets   []directory.Bucket
	endpoints map[directory.EndpointID]directory.Endpoint
}

// flow is a flow that a host has placed on an endpoint.
type flow struct {
	bucket   int
	endpoint directory.EndpointID
	recorded bool
}

// tableChecker checks that hosts which have applied the log up to different
// indexes send a flow to the same endpoint.
type tableChecker struct {
	*sim
	views map[uint64]tableView
	flows map[flow]bool
}

func newTableChecker(s *sim) *tableChecker {
	t := &tableChecker{sim: s, views: map[uint64]tableView{}, flows: map[flow]bool{}}
	s.onApply = t.recordView
	t.recordView()
	return t
}

func (t *tableChecker) recordView() {
	service, _ := t.state.Service("desk")
	v := tableView{endpoints: map[directory.EndpointID]directory.Endpoint{}}
	for i := range service.BucketCount() {
		v.buckets = append(v.buckets, service.Bucket(i))
	}
	for _, id := range t.state.EndpointIDs() {
		e, _ := t.state.Endpoint(id)
		v.endpoints[id] = *e
	}
	t.views[t.state.Index()] = v
}

// check makes each host that is not fenced place a flow in each bucket, and fails
// the test when one of them resolves a flow to another endpoint.
func (t *tableChecker) check() {
	var activeViews []tableView
	for _, h := range t.hosts {
		if v, ok := t.views[h.applied]; ok && t.placesFlows(h) {
			activeViews = append(activeViews, v)
		}
	}
	for _, v := range activeViews {
		for i, b := range v.buckets {
			if e, ok := v.endpoints[b.Current]; ok && e.State == directory.Ready {
				t.flows[flow{i, b.Current, !b.Settled()}] = true
			}
		}
	}
	for f := range t.flows {
		if _, known := t.state.Endpoint(f.endpoint); !known {
			delete(t.flows, f) // the tombstone has expired, so packets of the flow are no longer expected
			continue
		}
		for _, v := range activeViews {
			if !v.routesFlow(f) {
				Fail(fmt.Sprintf("%+v in %+v at %v", f, v.buckets[f.bucket], t.now))
			}
		}
	}
}

// routesFlow reports whether the rules of docs/design.md, section 5.2, send a
// packet of the flow to its endpoint, or to no endpoint when that one is
// removed.
func (v tableView) routesFlow(f flow) bool {
	b := v.buckets[f.bucket]
	found := slices.Contains(b.Since, f.endpoint) || b.Next == f.endpoint
	if b.Base == f.endpoint || f.recorded && found {
		return true
	}
	e, known := v.endpoints[f.endpoint]
	base, hasBase := v.endpoints[b.Base]
	return known && e.State == directory.Removed && (!hasBase || base.State == directory.Removed)
}

// makeRandomChange makes one random change or injects one random fault.
func (t *tableChecker) makeRandomChange() {
	h := t.hosts[t.random.IntN(len(t.hosts))]
	n := t.random.IntN(len(t.endpoints))
	switch t.random.IntN(9) {
	case 0:
		t.endpoints[n].State = directory.Draining
	case 1, 2: // a restart on the same address
		t.endpoints[n].Instance, t.endpoints[n].State = fmt.Sprint("desk-", t.now), directory.Ready
	case 3:
		h.stalled = !h.stalled
	case 4:
		h.cutOff = !h.cutOff
	case 5:
		t.changeLeader()
	case 6:
		t.logTimeOffset += directory.TombstoneDuration / 2
	case 7:
		t.send(member.Probed{Instance: t.endpoints[n].Instance, Passive: true})
	case 8:
		service, _ := t.state.Service("desk")
		from := service.Bucket(n).Current
		for _, id := range t.state.EndpointIDs() {
			t.apply(directory.BucketsMoved{Service: "desk", From: from, To: id, Count: 3})
		}
	}
}

var _ = Describe("tables of hosts at different indexes", func() {
	// Guards against a host that sends a packet to a different endpoint than the host
	// that placed the packet's flow.
	It("send a flow to the same endpoint", func() {
		forEachSeed(50, func(seed uint64) {
			t := newTableChecker(newSim(seed, 3, 6))
			for range 1500 {
				if t.random.IntN(15) == 0 {
					t.makeRandomChange()
				}
				t.advance(2 * step)
				t.check()
			}
		})
	})
})
