package cluster

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"cassiawood/internal/changelog"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

var _ = Describe("a host that applies entries late", func() {
	const second = time.Second

	// Guards against entry hosts that follow a control host with old routes as long as its disk hangs, since it still hears the leader.
	It("counts as behind after 200 ms, until it has kept up for 5 s", func() {
		var l applyLag
		Expect(l.observe(1*second, 10, 10)).To(BeFalse())
		Expect(l.observe(2*second, 10, 11)).To(BeFalse())
		Expect(l.observe(2*second+199*time.Millisecond, 10, 15)).To(BeFalse())
		Expect(l.observe(2*second+200*time.Millisecond, 10, 15)).To(BeTrue())
		Expect(l.isBehind).To(BeTrue())
		Expect(l.observe(9*second, 10, 15)).To(BeFalse())
		Expect(l.observe(10*second, 15, 15)).To(BeFalse())
		Expect(l.observe(15*second-1, 16, 16)).To(BeFalse())
		Expect(l.isBehind).To(BeTrue())
		Expect(l.observe(15*second, 16, 16)).To(BeTrue())
		Expect(l.isBehind).To(BeFalse())
	})

	// Guards against a host that counts as behind because changes follow each other closely.
	It("is not one that always has the next entry to apply", func() {
		var l applyLag
		for i := range uint64(100) {
			Expect(l.observe(time.Duration(i)*100*time.Millisecond, i, i+1)).To(BeFalse())
		}
	})

	// Guards against entry hosts that move to and fro while a disk is slow in bursts.
	It("stays behind while each burst comes within 5 s", func() {
		var l applyLag
		changes := 0
		for i := range uint64(600) { // every 3 s an entry takes 300 ms
			now := time.Duration(i) * 50 * time.Millisecond
			applied := i / 60
			if i%60 >= 6 {
				applied++
			}
			if l.observe(now, applied, i/60+1) {
				changes++
			}
		}
		Expect(changes).To(Equal(1))
	})
})

var _ = Describe("entry hosts of a control host whose disk hangs", func() {
	// Guards against routes that stay old at entry hosts: the control host said that it was up to date, by the commit index in its memory, while
	// the entries waited for its disk.
	It("are told within 0.25 s, and when it has kept up again", func() {
		h := newStateHarness()
		out := ring.New[[]byte]("updates", 64, ring.DropNewest)
		h.handleEvent(subscribe{host: "e", domain: "a", wantsState: true, out: out})
		latest := func() *wirepb.EdgeUpdate {
			var u *wirepb.EdgeUpdate
			for out.Depth() > 0 {
				data, _ := out.Get()
				envelope := &wirepb.Envelope{}
				Expect(protodelim.UnmarshalFrom(bytes.NewReader(data), envelope)).To(Succeed())
				u = envelope.GetEdgeUpdate()
			}
			return u
		}
		follow := func(committed uint64, d time.Duration) {
			for range d / (50 * time.Millisecond) {
				h.handleEvent(statusChanged{changelog.Status{ID: 1, Leader: 2, Term: 1, Commit: committed, LeaderCommit: committed, LastContact: h.time}})
				h.advance(50 * time.Millisecond)
			}
		}
		h.commit(desired(1))
		h.handleEvent(statusChanged{changelog.Status{ID: 1, Leader: 2, Term: 2, Commit: 1, LeaderCommit: 1, LastContact: h.time, CommitIsUncertain: true}})
		h.advance(400 * time.Millisecond)
		Expect(latest().GetContact()).To(BeFalse(), "the new leader does not know yet what has been committed")
		follow(1, time.Second)
		Expect(latest().GetContact()).To(BeTrue())
		follow(2, 250*time.Millisecond)
		u := latest()
		Expect(u.GetBehind()).To(BeTrue())
		Expect(u.GetContact()).To(BeFalse())
		h.commit(desired(2))
		follow(2, 6*time.Second)
		Expect(latest().GetContact()).To(BeTrue())
	})
})
