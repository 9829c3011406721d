package cluster

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protodelim"

	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

// rotationEntry is an entry host that follows a control host and states how long it has been in rotation.
type rotationEntry struct {
	control   *stateHarness
	out       *ring.Ring[[]byte]
	unchanged time.Duration
	isMute    bool // answers nothing
	result    *wirepb.RotationResult
	asked     int // questions of the control host
}

func newRotationEntry(control *stateHarness, host string, process uint64) *rotationEntry {
	GinkgoHelper()
	e := &rotationEntry{control: control, out: ring.New[[]byte](host, 4096, ring.DropNewest), unchanged: time.Minute}
	control.handleEvent(subscribe{host: host, domain: "a", process: process, wantsState: true, out: e.out})
	return e
}

func (e *rotationEntry) say(m *wirepb.EdgeDemand) {
	GinkgoHelper()
	e.control.handleEvent(demandReported{out: e.out, report: m})
}

// work handles the updates that have come.
func (e *rotationEntry) work() {
	GinkgoHelper()
	for e.out.Depth() > 0 {
		data, err := e.out.Get()
		Expect(err).NotTo(HaveOccurred())
		envelope := &wirepb.Envelope{}
		Expect(protodelim.UnmarshalFrom(bytes.NewReader(data), envelope)).To(Succeed())
		u := envelope.GetEdgeUpdate()
		if u.GetRotationResult() != nil {
			e.result = u.GetRotationResult()
		}
		if u.GetRotationRound() == 0 {
			continue
		}
		if e.asked++; !e.isMute {
			e.say(&wirepb.EdgeDemand{WithoutDemand: true, RotationStatement: &wirepb.RotationStatement{Round: u.GetRotationRound(), UnchangedMs: uint64(e.unchanged.Milliseconds())}})
		}
	}
}

var _ = Describe("the rotation in a failure domain", func() {
	var peers []*stateHarness
	var one, two, three *rotationEntry
	BeforeEach(func() {
		peers = newPeers(2)
		one, two, three = newRotationEntry(peers[0], "one", 11), newRotationEntry(peers[0], "two", 12), newRotationEntry(peers[1], "three", 13)
		for _, h := range peers {
			h.rotation.roster = newRotationRounds(0).roster
		}
		one.control.rotation.roster.Follow("a", one.control.subscribers[one.out].process)
		two.control.rotation.roster.Follow("a", two.control.subscribers[two.out].process)
		three.control.rotation.roster.Follow("a", three.control.subscribers[three.out].process)
	})
	exchange := func(d time.Duration) {
		GinkgoHelper()
		for range d / (50 * time.Millisecond) {
			Expect(exchangePeers(peers, 50*time.Millisecond, func(*stateHarness, *stateHarness) bool { return true })).To(Succeed())
			for _, h := range peers {
				h.status.LastContact = h.time
			}
			for _, e := range []*rotationEntry{one, two, three} {
				e.work()
			}
		}
	}
	ask := func(question uint64) *wirepb.RotationResult {
		GinkgoHelper()
		one.say(&wirepb.EdgeDemand{WithoutDemand: true, RotationQuestion: question})
		exchange(600 * time.Millisecond)
		Expect(one.result.GetQuestion()).To(Equal(question))
		return one.result
	}

	It("is what the entry hosts of all control hosts state", func() {
		three.unchanged = 7 * time.Second
		got := ask(5)
		Expect(got.GetComplete()).To(BeTrue())
		Expect(got.GetUnchangedMs()).To(BeEquivalentTo(7000))
		Expect(two.result).To(BeNil(), "it has not asked")
	})

	// Guards against evidence that leaves out a host that may have a flow now.
	DescribeTable("is not known when", func(happen func()) {
		happen()
		Expect(ask(5).GetComplete()).To(BeFalse())
	},
		Entry("an entry host does not answer", func() { two.isMute = true }),
		Entry("an entry host of another control host does not answer", func() { three.isMute = true }),
		Entry("an entry host has gone without a word", func() { peers[0].handleEvent(unsubscribe{out: two.out}) }),
		Entry("an entry host of another control host has gone without a word", func() { peers[1].handleEvent(unsubscribe{out: three.out}) }),
		Entry("a control host is not in touch", func() {
			lost := peers[0].status.Members[1]
			lost.ID, lost.Address = 3, "127.0.0.1:3"
			peers[0].status.Members = peers[0].status.Members.With(lost)
		}),
		Entry("the control host is out of contact with a majority", func() { peers[0].status.Leader = 0 }),
	)

	It("is known again when a host that has gone follows another control host", func() {
		peers[0].handleEvent(unsubscribe{out: two.out})
		two = newRotationEntry(peers[1], "two", 12)
		Expect(ask(5).GetComplete()).To(BeTrue())
	})

	It("covers the time since a planned end of a host", func() {
		two.say(&wirepb.EdgeDemand{Stopping: true, WithoutDemand: true})
		peers[0].handleEvent(unsubscribe{out: two.out})
		exchange(2 * time.Second)
		got := ask(5)
		Expect(got.GetComplete()).To(BeTrue())
		Expect(got.GetUnchangedMs()).To(BeNumerically("<", 2600))
	})

	// Guards against a host that counts as gone when its earlier stream ends after it has come back over another one.
	It("keeps a host that follows over another stream", func() {
		earlier := two.out
		two = newRotationEntry(peers[0], "two", 12)
		peers[0].handleEvent(unsubscribe{out: earlier})
		Expect(ask(5).GetComplete()).To(BeTrue())
	})

	// Guards against statements from before the question: a host may have come into rotation in between.
	It("is asked for anew by a question during a round", func() {
		two.isMute = true
		one.say(&wirepb.EdgeDemand{WithoutDemand: true, RotationQuestion: 5})
		exchange(100 * time.Millisecond)
		asked := three.asked
		three.say(&wirepb.EdgeDemand{})
		one.say(&wirepb.EdgeDemand{WithoutDemand: true, RotationQuestion: 6})
		two.isMute = false
		exchange(1200 * time.Millisecond)
		Expect(one.result.GetQuestion()).To(BeEquivalentTo(6))
		Expect(one.result.GetComplete()).To(BeTrue())
		Expect(three.asked).To(Equal(asked + 1))
		Expect(peers[0].rotation.rounds).To(BeEmpty())
		Expect(peers[1].rotation.rounds).To(BeEmpty())
	})
})

var _ = Describe("a message about the rotation", func() {
	// Guards against a host whose flows count as gone, so that its failure domain gets those of others.
	It("leaves the demand of its sender as it is", func() {
		h := newPeers(1)[0]
		e := newRotationEntry(h, "one", 11)
		e.say(&wirepb.EdgeDemand{Demand: []*wirepb.Demand{{Service: "desk", Domain: "a", Flows: 5}}})
		e.say(&wirepb.EdgeDemand{WithoutDemand: true, RotationQuestion: 1})
		Expect(h.subscribers[e.out].demand.demand).To(HaveLen(1))
	})
})
