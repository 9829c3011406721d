package control

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/operator"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
)

const orderDesk = `The service "order-desk" is reached at 10.20.0.1, port 443.
Its backend servers announce themselves as "order-desk".
Connections last a long time; keep them unbroken before balancing them evenly.
Each backend server takes 2 requests at once.
Wait at most 5 seconds for a free place, then refuse.
`

func change(id, author string, base uint64) operator.Change {
	return operator.Change{ID: id, Team: "shop", Author: author, Section: "Orders", Base: base, Text: orderDesk}
}

func outcome(result *ring.Ring[saved]) saved {
	GinkgoHelper()
	Expect(result.Depth()).To(Equal(1), "the save has no answer")
	s, _ := result.Get()
	return s
}

var _ = Describe("Save", func() {
	var s *site
	BeforeEach(func() { s = newSite() })

	inForce := func() []string {
		var found []string
		for _, h := range s.hosts {
			if _, ok := h.apply.state.Service("order-desk"); ok {
				found = append(found, h.apply.operators[h.id])
			}
		}
		return found
	}

	It("answers once the change is in force in every failure domain", func() {
		result := s.save(s.leader(), change("c1", "ann", 0))
		s.run(time.Second)
		got := outcome(result)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.answer.InForce).To(Equal(domains))
		Expect(inForce()).To(HaveLen(3))
	})

	// Guards against a change that is in force in some failure domains only.
	It("refuses a change that a failure domain does not confirm", func() {
		s.silent["b"] = true
		result := s.save(s.leader(), change("c1", "ann", 0))
		s.run(4 * time.Second)
		Expect(result.Depth()).To(BeZero())
		Expect(inForce()).To(BeEmpty())
		s.run(2 * time.Second)
		var refused *operator.Refused
		Expect(outcome(result).err).To(BeAssignableToTypeOf(refused))
		s.silent["b"] = false
		s.run(5 * time.Second)
		Expect(inForce()).To(BeEmpty())
	})

	// Guards against accepting both of two changes that were made to the same version.
	It("accepts one of two changes with the same base version and returns it to the other", func() {
		leader := s.leader()
		first, second := s.save(leader, change("c1", "ann", 0)), s.save(leader, change("c2", "bob", 0))
		s.run(time.Second)
		Expect(outcome(first).err).NotTo(HaveOccurred())
		lost := outcome(second).err
		Expect(lost).To(BeAssignableToTypeOf(&operator.Race{}))
		Expect(lost).To(HaveField("Author", "ann"))
		Expect(lost).To(HaveField("Text", orderDesk))
	})

	// Guards against a resend that saves the change a second time after its answer
	// was lost, also if another leader receives it.
	It("returns the first answer to a resend, also after a change of leader", func() {
		old := s.leader()
		first := s.save(old, change("c1", "ann", 0))
		s.run(time.Second)
		version := outcome(first).answer.Version
		old.cut = true
		s.run(2 * time.Second)
		Expect(s.leader()).NotTo(Equal(old))
		again := s.save(s.leader(), change("c1", "ann", 0))
		s.run(time.Second)
		got := outcome(again)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.answer.Version).To(Equal(version))
	})

	// Guards against an isolated leader that still accepts changes, or that refuses
	// one that its successor may put in force.
	It("reports the outcome of a pending save as unknown when the leader is isolated, and refuses new saves", func() {
		old := s.leader()
		old.cut = true
		pending := s.save(old, change("c1", "ann", 0))
		s.run(answerLimit + time.Second)
		Expect(outcome(pending).err).To(BeAssignableToTypeOf(&operator.Unanswered{}))
		late := s.save(old, change("c2", "ann", 0))
		Expect(outcome(late).err).To(BeAssignableToTypeOf(&operator.NoQuorum{}))
	})

	// Guards against a reconnected control host that restores a change that was
	// never accepted.
	It("keeps accepted changes when an isolated control host reconnects", func() {
		old := s.leader()
		old.cut = true
		s.save(old, change("never", "eve", 0))
		s.run(3 * time.Second)
		result := s.save(s.leader(), change("c1", "ann", 0))
		s.run(time.Second)
		Expect(outcome(result).err).NotTo(HaveOccurred())
		leader := s.leader()
		old.cut = false
		s.run(5 * time.Second)
		Expect(s.leader()).To(Equal(leader))
		for _, h := range s.hosts {
			section, ok := h.apply.state.Section("Orders")
			Expect(ok).To(BeTrue())
			Expect(section.ChangeID).To(Equal("c1"))
		}
	})

	// Guards against losing the earlier versions, which the take-back command
	// restores, in a restart from a snapshot.
	It("keeps the earlier versions of a section, also in a snapshot", func() {
		for i, id := range []string{"c1", "c2", "c3"} {
			result := s.save(s.leader(), change(id, "ann", uint64(i)))
			s.run(time.Second)
			Expect(outcome(result).err).NotTo(HaveOccurred())
		}
		data, err := wire.EncodeState(s.leader().apply.state.Snapshot())
		Expect(err).NotTo(HaveOccurred())
		restored, err := decodeState(data)
		Expect(err).NotTo(HaveOccurred())
		section, _ := restored.Section("Orders")
		Expect(section.Version).To(BeEquivalentTo(3))
		Expect(section.Earlier).To(HaveLen(2))
		Expect(section.Earlier[1].ChangeID).To(Equal("c1"))
		Expect(section.Earlier[1].Text).To(Equal(orderDesk))
	})

	// Guards against changes that take longer than the targets in docs/design.md,
	// section 1.6, with a one-way delay of 5 ms and 1 % loss: a median under 1 s and
	// a 99th percentile under 3 s.
	It("puts changes in force in time over lossy links", func() {
		s.delay, s.loss = 5*time.Millisecond, 0.01
		s.run(2 * time.Second)
		var took []time.Duration
		resent := 0
		for i := range 200 {
			began := s.now
			for s.saveOnce(change(fmt.Sprint("c", i), "ann", uint64(i))) != nil {
				resent++
			}
			took = append(took, s.now-began)
			s.run(50 * time.Millisecond)
		}
		slices.Sort(took)
		AddReportEntry("in force after", fmt.Sprintf("median %v, 99th percentile %v, longest %v, resent %d",
			took[100], took[198], took[199], resent))
		Expect(took[100]).To(BeNumerically("<", time.Second))
		Expect(took[198]).To(BeNumerically("<", 3*time.Second))
	})

	It("returns the address of the leader when another control host receives a save", func() {
		for _, h := range s.hosts {
			if h != s.leader() {
				Expect(outcome(s.save(h, change("c1", "ann", 0))).err).To(Equal(&operator.NotLeader{Leader: s.leader().apply.operators[s.leader().id]}))
			}
		}
	})
})
