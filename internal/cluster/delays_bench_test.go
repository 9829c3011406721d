package cluster

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/changelog"
	"cassiawood/internal/delay"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// BenchmarkSharedDelays measures one second of the sharing of delays: 76 entry hosts at 8 control hosts, and 150 endpoints
// of 3 services in three speeds. Each entry host reports 20 endpoints. The sizes are those of the messages in bytes.
func BenchmarkSharedDelays(b *testing.B) {
	const entryHosts, controlHosts, endpoints, reported = 76, 8, 150, 20
	rng := rand.New(rand.NewPCG(1, 5))
	var sizes delaySizes
	peers := newPeers(controlHosts)
	var outs []*ring.Ring[[]byte]
	for _, h := range peers {
		for id := range uint64(endpoints) {
			e := endpoint(id + 1)
			e.Service = fmt.Sprint("service-", id%3)
			h.registry.Merge(e)
		}
	}
	for i := range entryHosts {
		out := ring.New[[]byte]("out", 64, ring.DropOldest)
		outs = append(outs, out)
		h := peers[i%controlHosts]
		h.subscribers[out] = &subscriber{wantsState: true}
	}
	for b.Loop() {
		b.StopTimer()
		for i, out := range outs {
			list := wire.DelaysToProto(reportsOfEntryHost(rng, endpoints, reported))
			sizes.fromEntry += encodedSize(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeDemand{EdgeDemand: &wirepb.EdgeDemand{Delays: list}}})
			if err := peers[i%controlHosts].handle(demandReported{out: out, report: &wirepb.EdgeDemand{Delays: list}}); err != nil {
				b.Fatal(err)
			}
		}
		b.StartTimer()
		for _, h := range peers {
			h.time += delaysInterval
			h.now = h.time
			h.shareDelays()
		}
		b.StopTimer()
		sizes.seconds++
		sizes.exchange(b, peers, outs)
		b.StartTimer()
	}
	n := float64(sizes.seconds)
	b.ReportMetric(float64(sizes.fromEntry)/n/entryHosts, "B/from-entry-host")
	b.ReportMetric(float64(sizes.toPeer)/n/controlHosts, "B/to-each-peer")
	b.ReportMetric(float64(sizes.toEntry)/n/entryHosts, "B/to-entry-host")
	full := wire.RelativeDelaysToProto(peers[0].delays.shared.Published())
	b.ReportMetric(float64(encodedSize(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeUpdate{EdgeUpdate: &wirepb.EdgeUpdate{Delays: full}}})), "B/full-state")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/n/controlHosts, "µs/control-host")
}

// delaySizes are the sums of the sizes of the messages over the seconds.
type delaySizes struct{ seconds, fromEntry, toPeer, toEntry int }

// exchange delivers the messages between control hosts and counts all that were sent.
func (s *delaySizes) exchange(b *testing.B, peers []*stateHarness, outs []*ring.Ring[[]byte]) {
	b.Helper()
	for _, from := range peers {
		for _, u := range sentDelays(from) {
			s.toPeer += encodedSize(&wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{EndpointUpdate: u}})
			for _, to := range peers {
				if to == from {
					continue
				}
				if err := to.handle(peerUpdate{proto.CloneOf(u)}); err != nil {
					b.Fatal(err)
				}
			}
		}
		from.status = changelog.Status{ID: from.self.ID, Leader: 1, Members: from.status.Members, LastContact: from.time}
	}
	for _, out := range outs {
		for out.Depth() > 0 {
			frame, err := out.Get()
			if err != nil {
				b.Fatal(err)
			}
			s.toEntry += len(frame)
		}
	}
}

func encodedSize(e *wirepb.Envelope) int {
	data, err := wire.Encode(e)
	if err != nil {
		panic(err)
	}
	return len(data)
}

// reportsOfEntryHost returns what one entry host measures in a second: one or two samples of some endpoints.
func reportsOfEntryHost(rng *rand.Rand, endpoints, reported int) []delay.Report {
	speeds := []float64{0.6, 1, 1.6}
	var list []delay.Report
	for _, i := range rng.Perm(endpoints)[:reported] {
		r := delay.Report{Endpoint: uint64(i) + 1}
		for range 1 + rng.IntN(2) {
			took := 0.047 * speeds[i/3%3] * math.Exp(0.7*rng.NormFloat64())
			r.Add(delay.Sample{Delay: time.Duration(took * float64(time.Second))})
		}
		list = append(list, r)
	}
	return list
}
