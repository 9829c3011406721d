package cluster

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cassiawood/internal/changelog"
	"cassiawood/internal/registry"
	"cassiawood/internal/wire/wirepb"
)

// newPeers returns control hosts that are members of one group. Their messages stay in the rings until exchangePeers.
func newPeers(count int) []*stateHarness {
	var members changelog.Membership
	for i := range count {
		members = members.With(changelog.Member{ID: uint64(i) + 1, Address: fmt.Sprint("127.0.0.1:", i+1), Domain: "a", Voter: true})
	}
	var peers []*stateHarness
	for _, m := range members {
		h := newStateHarness()
		h.self = m
		h.updateStatus(changelog.Status{ID: m.ID, Leader: 1, Term: 1, LastContact: h.time, Members: members})
		peers = append(peers, h)
	}
	return peers
}

// exchangePeers advances the clocks of all hosts by d and delivers each message for which arrives returns true, every 50 ms.
func exchangePeers(peers []*stateHarness, d time.Duration, arrives func(from, to *stateHarness) bool) error {
	deliverTo := func(from, to *stateHarness, u *wirepb.EndpointUpdate) error {
		if u == nil || from == to || !arrives(from, to) {
			return nil
		}
		return to.handle(peerUpdate{u})
	}
	for end := peers[0].time + d; peers[0].time < end; {
		for _, h := range peers {
			h.time += 50 * time.Millisecond
			if err := h.handle(tick{}); err != nil {
				return err
			}
		}
		for _, from := range peers {
			for from.linksInbox.Depth() > 0 {
				e, err := from.linksInbox.Get()
				if err != nil {
					return err
				}
				for _, to := range peers {
					switch e := e.(type) {
					case broadcast:
						err = deliverTo(from, to, e.envelope.GetEndpointUpdate())
					case sendTo:
						if e.address == to.self.Address {
							err = deliverTo(from, to, e.envelope.GetEndpointUpdate())
						}
					}
					if err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

func allArrive(_, _ *stateHarness) bool { return true }

var _ = Describe("endpoints that a control host has missed", func() {
	// Guards against new flows to an endpoint that drains, for as long as it runs: the control host was without power
	// when it began to drain, the answer to its question was lost with a connection from before, and later reports
	// of the endpoint change nothing.
	It("are sent again while the copies differ", func() {
		peers := newPeers(3)
		e := endpoint(1)
		peers[1].handleEvent(endpointReported{endpoint: e, reply: newReply()})
		Expect(exchangePeers(peers, time.Second, allArrive)).To(Succeed())

		e.Seq, e.State = 2, registry.Draining
		peers[1].handleEvent(endpointReported{endpoint: e, reply: newReply()})
		withoutFirst := func(_, to *stateHarness) bool { return to != peers[0] }
		Expect(exchangePeers(peers, 400*time.Millisecond, withoutFirst)).To(Succeed())
		known, _ := peers[0].registry.Get(1)
		Expect(known.State).To(Equal(registry.Ready))

		e.Seq = 3
		peers[1].handleEvent(endpointReported{endpoint: e, reply: newReply()})
		Expect(exchangePeers(peers, 2*time.Second, allArrive)).To(Succeed())
		known, _ = peers[0].registry.Get(1)
		Expect(known.State).To(Equal(registry.Draining))
	})

	// Guards against traffic that grows with the number of endpoints although nothing was missed.
	It("are not sent while the copies agree", func() {
		peers := newPeers(3)
		for id := range uint64(40) {
			peers[id%3].handleEvent(endpointReported{endpoint: endpoint(id + 1), reply: newReply()})
		}
		Expect(exchangePeers(peers, time.Second, allArrive)).To(Succeed())
		for range 10 {
			for _, h := range peers {
				h.advance(signOfLifeInterval)
				for h.linksInbox.Depth() > 0 {
					e, _ := h.linksInbox.Get()
					switch e := e.(type) {
					case sendTo:
						Expect(e.envelope.GetEndpointUpdate()).To(BeNil())
					case broadcast:
						u := e.envelope.GetEndpointUpdate()
						Expect(u.GetReports()).To(BeEmpty())
						for _, to := range peers {
							if to != h {
								to.handleEvent(peerUpdate{u})
							}
						}
					}
				}
			}
		}
	})
})

// settleTime is the time after the last loss of a message within which the control hosts must know the same: four
// seconds after a disruption the site counts as undisturbed.
const settleTime = 4 * time.Second

// Guards against control hosts whose copies differ for good after any losses of messages, while endpoints start, drain,
// leave and come back: each host knows every endpoint in its last state within settleTime.
func TestCopiesAgreeAfterLosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := newPeers(3)
		lossPercent := rapid.IntRange(0, 100).Draw(t, "loss in percent")
		losses := rapid.SliceOfN(rapid.IntRange(0, 99), 64, 64).Draw(t, "losses")
		messages := 0
		arrives := func(_, _ *stateHarness) bool {
			messages++
			return losses[messages%len(losses)] >= lossPercent
		}
		const endpoints = 3
		truth := map[uint64]registry.Endpoint{}
		for step := range rapid.IntRange(1, 25).Draw(t, "steps") {
			id := uint64(rapid.IntRange(1, endpoints).Draw(t, "endpoint"))
			e, known := truth[id]
			if !known {
				e = endpoint(id)
			}
			event := rapid.SampledFrom([]string{"report", "drain", "remove", "restart", "late removal"}).Draw(t, "event")
			switch event {
			case "drain":
				e.State = max(e.State, registry.Draining)
			case "remove":
				e.State = registry.Gone
			case "restart":
				e.StartedAtMs, e.Seq, e.State = int64(step)+2, 0, registry.Ready
			}
			e.Seq++
			truth[id] = e
			reports := []registry.Endpoint{e}
			if event == "late removal" {
				reports = append(reports, registry.Endpoint{ID: id, State: registry.Gone})
			}
			host := peers[rapid.IntRange(0, len(peers)-1).Draw(t, "host")]
			for _, report := range reports {
				if err := host.handle(endpointReported{endpoint: report, reply: newReply()}); err != nil {
					t.Fatal(err)
				}
			}
			if err := exchangePeers(peers, time.Duration(rapid.IntRange(1, 20).Draw(t, "pause"))*50*time.Millisecond, arrives); err != nil {
				t.Fatal(err)
			}
		}
		if err := exchangePeers(peers, settleTime, allArrive); err != nil {
			t.Fatal(err)
		}
		for id, e := range truth {
			first, _ := peers[0].registry.Get(id)
			for _, h := range peers {
				known, ok := h.registry.Get(id)
				if !ok || known.State != e.State || known.StartedAtMs != e.StartedAtMs || known.AcceptsFlows() != first.AcceptsFlows() {
					t.Fatalf("%s knows endpoint %d as %+v, it is %+v, the first host knows %+v", h.self.Address, id, known, e, first)
				}
			}
		}
	})
}
