package edge

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

func TestEdge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "edge")
}

// newFollowDuty returns a follow duty whose connections never succeed, because its context is
// cancelled, and its clock.
func newFollowDuty(seeds ...string) (*followDuty, *time.Duration) {
	now := time.Second
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return &followDuty{
		log: slog.New(slog.DiscardHandler), settings: Settings{Host: "h", Domain: "a", LinkPort: 9},
		inbox: ring.New[followEvent]("follow", 64, ring.Block), engineInbox: ring.New[event]("engine", 64, ring.Block),
		clock: func() time.Duration { return now }, ctx: ctx, seeds: seeds,
		lastAttemptAt: map[string]time.Duration{}, domains: map[string]string{},
	}, &now
}

func (d *followDuty) connectionTo(address string) *connection {
	for _, c := range d.connections {
		if c.address == address {
			return c
		}
	}
	return nil
}

func (d *followDuty) receive(address string, u *wirepb.EdgeUpdate) {
	GinkgoHelper()
	c := d.connectionTo(address)
	Expect(c).NotTo(BeNil(), "no connection to %s", address)
	Expect(d.handle(updateReceived{from: c, update: u})).To(Succeed())
}

const address1, address2, address3 = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"

var _ = Describe("following", func() {
	// Guards against all entry hosts waiting for a control host that has lost its disk, while
	// others have the state.
	It("switches from a control host without a state to one that has one", func() {
		d, now := newFollowDuty(address1, address2, address3)
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address1, &wirepb.EdgeUpdate{})
		Expect(d.current.address).To(Equal(address1))
		*now += retryInterval
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address2, &wirepb.EdgeUpdate{Version: 5})
		Expect(d.current.address).To(Equal(address2))
	})

	// Guards against an outage that outlasts a power failure because the entry hosts, which start
	// first, wait too long before they try their control hosts again.
	It("retries control hosts often after the start, and less often later", func() {
		d, now := newFollowDuty(address1)
		tries := func(until time.Duration) int {
			count := 0
			for ; *now < until; *now += 10 * time.Millisecond {
				Expect(d.handle(followTick{})).To(Succeed())
				if c := d.connectionTo(address1); c != nil {
					count++
					d.close(c)
				}
			}
			return count
		}
		d.currentLostAt = *now
		Expect(tries(*now + time.Second)).To(BeNumerically(">=", 19))
		*now += initialRetryPeriod
		Expect(tries(*now + time.Second)).To(BeNumerically("<=", 6))
	})

	// Guards against an entry host that serves nothing for a second because the control host that
	// it has chosen answers once and then sends nothing.
	It("switches from a control host that falls silent before its state is complete", func() {
		d, now := newFollowDuty(address1, address2)
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address1, &wirepb.EdgeUpdate{FirstPart: true, Contact: true, Version: 5})
		*now += incompleteStateTimeout + time.Millisecond
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address2, &wirepb.EdgeUpdate{FirstPart: true, Contact: true, Version: 5})
		Expect(d.current.address).To(Equal(address2))
	})

	// Guards against a transfer of the full state, on every entry host, because updates are late.
	It("stays with a silent control host whose state it has", func() {
		d, now := newFollowDuty(address1, address2)
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address1, &wirepb.EdgeUpdate{FirstPart: true, Contact: true, Version: 5})
		d.receive(address1, &wirepb.EdgeUpdate{LastPart: true, Contact: true, Version: 5})
		*now += incompleteStateTimeout + time.Millisecond
		d.receive(address2, &wirepb.EdgeUpdate{FirstPart: true, Contact: true, Version: 5})
		Expect(d.current.address).To(Equal(address1))
	})

	// Guards against an entry host that stays with a control host that is cut off.
	It("switches to a control host in contact when the current one has lost contact", func() {
		d, now := newFollowDuty(address1, address2)
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address1, &wirepb.EdgeUpdate{Contact: true, Version: 5})
		*now += 5 * time.Second
		d.receive(address1, &wirepb.EdgeUpdate{Contact: false, Version: 5})
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address2, &wirepb.EdgeUpdate{Contact: true, Version: 6})
		Expect(d.current.address).To(Equal(address2))
	})

	// Guards against an entry host that stays with the old routes of a control host whose disk hangs.
	It("switches at once from a control host that is behind to one in contact", func() {
		d, now := newFollowDuty(address1, address2)
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address1, &wirepb.EdgeUpdate{LastPart: true, Contact: true, Version: 5, Domain: "a"})
		if c := d.connectionTo(address2); c != nil {
			d.close(c)
		}
		*now += time.Second
		d.receive(address1, &wirepb.EdgeUpdate{Behind: true, Version: 5})
		d.receive(address2, &wirepb.EdgeUpdate{Contact: true, Version: 5})
		Expect(d.current.address).To(Equal(address2))
	})

	// Guards against leaving one that is behind for one that is no better.
	It("stays with a control host that is behind when no other is in contact", func() {
		d, now := newFollowDuty(address1, address2)
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address1, &wirepb.EdgeUpdate{LastPart: true, Contact: true, Version: 5, Domain: "a"})
		if c := d.connectionTo(address2); c != nil {
			d.close(c)
		}
		*now += time.Second
		d.receive(address1, &wirepb.EdgeUpdate{Behind: true, Version: 5})
		d.receive(address2, &wirepb.EdgeUpdate{Behind: true, Version: 6})
		Expect(d.current.address).To(Equal(address1))
	})

	// Guards against leaving the current control host when none has contact.
	It("stays with its control host when another one has no contact either", func() {
		d, now := newFollowDuty(address1, address2)
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address1, &wirepb.EdgeUpdate{LastPart: true, Contact: true, Version: 5})
		*now += 5 * time.Second
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address2, &wirepb.EdgeUpdate{Contact: false, Version: 5})
		Expect(d.current.address).To(Equal(address1))
	})

	// Guards against traffic between failure domains that a local control host would save.
	It("returns to a control host in the local failure domain", func() {
		d, now := newFollowDuty(address1, address2)
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address1, &wirepb.EdgeUpdate{Contact: true, Version: 5, Domain: "b", ControlHosts: []*wirepb.Member{
			{Id: 1, Address: address1, Domain: "b"}, {Id: 2, Address: address2, Domain: "a"},
		}})
		*now += 500 * time.Millisecond
		d.receive(address1, &wirepb.EdgeUpdate{Contact: true, Version: 5})
		*now += localRetryInterval
		d.receive(address1, &wirepb.EdgeUpdate{Contact: true, Version: 5})
		Expect(d.handle(followTick{})).To(Succeed())
		d.receive(address2, &wirepb.EdgeUpdate{Contact: true, Version: 5})
		Expect(d.current.address).To(Equal(address2))
	})
})
