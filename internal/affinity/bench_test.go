package affinity_test

import (
	"testing"
	"time"

	"cassiawood/internal/affinity"
)

// benchEndpoints is the number of endpoints of a large site.
const benchEndpoints = 300

func newBenchEngine() *affinity.Engine {
	e := affinity.New(affinity.Config{Domain: "a"})
	e.SetRoutes(table(1, route(desk, "desk")))
	for id := uint64(1); id <= benchEndpoints; id++ {
		e.Upsert(0, endpoint(id, "desk", string(rune('a'+id%3))))
	}
	return e
}

func BenchmarkKnownFlow(b *testing.B) {
	e := newBenchEngine()
	var packets [256]affinity.Packet
	for i := range packets {
		placed := e.Decide(0, firstPacket(desk, callerAt(i+1), 0))
		packets[i] = laterPacket(desk, callerAt(i+1), placed.Token, 5)
		e.Decide(0, packets[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p := packets[i%len(packets)]
		p.Ack += uint32(i)
		e.Decide(time.Second, p)
	}
}

func BenchmarkNewFlow(b *testing.B) {
	e := newBenchEngine()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p := firstPacket(desk, callerAt(i%60000+1), 0)
		p.Seq = uint32(i)
		e.Decide(time.Duration(i)*time.Microsecond, p)
	}
}
