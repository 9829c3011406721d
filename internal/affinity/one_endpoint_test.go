package affinity_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cassiawood/internal/affinity"
)

// openedFlow is a flow with the endpoints that have got its first packet.
type openedFlow struct {
	port   int
	copies uint32
	tokens map[uint64]uint32 // by endpoint
}

// transmit sends the next transmission of the first packet to a host.
func (f *openedFlow) transmit(now time.Duration, host *affinity.Engine) affinity.Decision {
	d := host.Decide(now, firstPacket(desk, callerAt(f.port), f.copies))
	f.copies++
	if d.Verdict == affinity.Forward {
		f.tokens[d.Endpoint.ID] = d.Token
	}
	return d
}

// check returns an error if a host without memory of the flow sends its packets to another endpoint than the one at which it is
// open. The caller returns the token of any endpoint that may have answered last.
func (f *openedFlow) check(now time.Duration, own uint64, host *affinity.Engine) error {
	for from, token := range f.tokens {
		d := host.Decide(now, laterPacket(desk, callerAt(f.port), token, 5))
		if d.Verdict == affinity.Forward && d.Endpoint.ID != own {
			return fmt.Errorf("the flow is open at endpoint %d; after an answer of endpoint %d its packets go to endpoint %d", own, from, d.Endpoint.ID)
		}
	}
	return nil
}

var _ = Describe("A flow whose first packet is retransmitted", func() {
	// Guards against a flow that breaks when its entry host restarts: two endpoints had answered its first packet, the caller
	// returned the token of the one that answered last, and only the host that had sent both copies knew where the flow is open.
	It("is found at its endpoint by a host that has just started", func() {
		host, f := newEngine(), openedFlow{port: 1, tokens: map[uint64]uint32{}}
		own := f.transmit(0, host).Endpoint.ID
		f.transmit(200*time.Millisecond, host)
		host.Decide(210*time.Millisecond, laterPacket(desk, callerAt(1), affinity.Token(own), 5))
		Expect(f.check(5*time.Second, own, newEngine())).To(Succeed())
	})

	// Guards against the same when the copy reaches a host that has not seen the first transmission: one that has just started, or
	// one to which the fabric gives the flow as hosts come and go.
	It("is found at its endpoint when another host gets the copy", func() {
		f := openedFlow{port: 1, tokens: map[uint64]uint32{}}
		host := newEngine()
		own := f.transmit(0, host).Endpoint.ID
		f.transmit(200*time.Millisecond, newBusyEngine(own))
		Expect(f.check(time.Second, own, host)).To(Succeed())
	})
})

// newBusyEngine returns an engine with flows at one endpoint, so that it places further ones elsewhere.
func newBusyEngine(endpoint uint64) *affinity.Engine {
	e := newEngine()
	for port := range 5 {
		e.Decide(0, laterPacket(desk, callerAt(500+port), affinity.Token(endpoint), 5))
	}
	return e
}

// Guards against a flow whose first packet reaches two endpoints in an order of events that no other test has: hosts that the
// fabric exchanges, that restart or forget their flows, lost answers, endpoints that are suspect, leave or are evacuated.
func TestFirstPacketReachesOneEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var now time.Duration
		hosts := []*affinity.Engine{newEngine(), newEngine(), newEngine()}
		flows := map[int]*openedFlow{}
		for range rapid.IntRange(2, 40).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 8).Draw(t, "pause")) * 50 * time.Millisecond
			at := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			id := uint64(rapid.IntRange(1, 3).Draw(t, "endpoint"))
			port := rapid.IntRange(1, 4).Draw(t, "flow")
			switch rapid.SampledFrom([]string{"transmit", "transmit", "transmit", "transmit", "open", "answer", "forget", "restart", "drain", "evacuate", "tick"}).Draw(t, "event") {
			case "transmit":
				if flows[port] == nil {
					flows[port] = &openedFlow{port: port, tokens: map[uint64]uint32{}}
				}
				if flows[port].copies <= 2 {
					flows[port].transmit(now, hosts[at])
				}
			case "open":
				if f := flows[port]; f != nil && f.tokens[id] != 0 {
					hosts[at].Decide(now, laterPacket(desk, callerAt(port), f.tokens[id], 5))
				}
			case "answer":
				hosts[at].Decide(now, laterPacket(desk, callerAt(100+int(id)), affinity.Token(id), uint32(now.Milliseconds())))
			case "forget":
				hosts[at].ForgetFlows()
			case "restart":
				hosts[at] = newEngine()
			case "drain":
				leaving := endpoint(id, "desk", "a")
				leaving.AcceptsFlows = false
				hosts[at].Upsert(now, leaving)
			case "evacuate":
				hosts[at].SetEvacuations(now, evacuated(uint64(now)+1, "a"))
			case "tick":
				hosts[at].Tick(now)
			}
			for port, f := range flows {
				if len(f.tokens) > 1 {
					t.Fatalf("the first packet of flow %d has reached %d endpoints", port, len(f.tokens))
				}
			}
		}
	})
}
