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

func ordersChange(id, author string, base uint64) operator.Change {
	return operator.Change{ID: id, Team: "shop", Author: author, Section: "Orders", BaseVersion: base, Text: orderDesk}
}

func takeReply(result *ring.Ring[saveReply]) saveReply {
	GinkgoHelper()
	Expect(result.Depth()).To(Equal(1), "the save has no answer")
	s, _ := result.Get()
	return s
}

var _ = Describe("Save", func() {
	var s *site
	BeforeEach(func() { s = newSite() })

	hostsWithService := func() []string {
		var found []string
		for _, h := range s.hosts {
			if _, ok := h.apply.state.Service("order-desk"); ok {
				found = append(found, h.apply.operatorURLs[h.id])
			}
		}
		return found
	}

	// Guards against reporting a change as saved before all failure domains have applied it.
	It("answers once the change is in force in every failure domain", func() {
		result := s.startSave(s.leader(), ordersChange("c1", "ann", 0))
		s.advance(time.Second)
		got := takeReply(result)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.result.InForce).To(Equal(domains))
		Expect(hostsWithService()).To(HaveLen(3))
	})

	// Guards against a change that is in force in some failure domains only.
	It("refuses a change that a failure domain does not confirm", func() {
		s.silent["b"] = true
		result := s.startSave(s.leader(), ordersChange("c1", "ann", 0))
		s.advance(4 * time.Second)
		Expect(result.Depth()).To(BeZero())
		Expect(hostsWithService()).To(BeEmpty())
		s.advance(2 * time.Second)
		var refused *operator.RefusedError
		Expect(takeReply(result).err).To(BeAssignableToTypeOf(refused))
		s.silent["b"] = false
		s.advance(5 * time.Second)
		Expect(hostsWithService()).To(BeEmpty())
	})

	// Guards against accepting both of two changes that were made to the same version.
	It("accepts one of two changes with the same base version and returns it to the other", func() {
		leader := s.leader()
		first, second := s.startSave(leader, ordersChange("c1", "ann", 0)), s.startSave(leader, ordersChange("c2", "bob", 0))
		s.advance(time.Second)
		Expect(takeReply(first).err).NotTo(HaveOccurred())
		lost := takeReply(second).err
		Expect(lost).To(BeAssignableToTypeOf(&operator.ConflictError{}))
		Expect(lost).To(HaveField("Author", "ann"))
		Expect(lost).To(HaveField("Text", orderDesk))
	})

	// Guards against a resend that saves the change a second time after its answer
	// was lost, also if another leader receives it.
	It("returns the first answer to a resend, also after a change of leader", func() {
		old := s.leader()
		first := s.startSave(old, ordersChange("c1", "ann", 0))
		s.advance(time.Second)
		version := takeReply(first).result.Version
		old.isolated = true
		s.advance(2 * time.Second)
		Expect(s.leader()).NotTo(Equal(old))
		again := s.startSave(s.leader(), ordersChange("c1", "ann", 0))
		s.advance(time.Second)
		got := takeReply(again)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.result.Version).To(Equal(version))
	})

	// Guards against an isolated leader that still accepts changes, or that refuses
	// one that its successor may put in force.
	It("reports the outcome of a pending save as unknown when the leader is isolated, and refuses new saves", func() {
		old := s.leader()
		old.isolated = true
		pending := s.startSave(old, ordersChange("c1", "ann", 0))
		s.advance(saveTimeout + time.Second)
		Expect(takeReply(pending).err).To(BeAssignableToTypeOf(&operator.OutcomeUnknownError{}))
		late := s.startSave(old, ordersChange("c2", "ann", 0))
		Expect(takeReply(late).err).To(BeAssignableToTypeOf(&operator.NoQuorumError{}))
	})

	// Guards against a reconnected control host that restores a change that was
	// never accepted.
	It("keeps accepted changes when an isolated control host reconnects", func() {
		old := s.leader()
		old.isolated = true
		s.startSave(old, ordersChange("never", "eve", 0))
		s.advance(3 * time.Second)
		result := s.startSave(s.leader(), ordersChange("c1", "ann", 0))
		s.advance(time.Second)
		Expect(takeReply(result).err).NotTo(HaveOccurred())
		leader := s.leader()
		old.isolated = false
		s.advance(5 * time.Second)
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
			result := s.startSave(s.leader(), ordersChange(id, "ann", uint64(i)))
			s.advance(time.Second)
			Expect(takeReply(result).err).NotTo(HaveOccurred())
		}
		data, err := wire.EncodeDirectoryState(s.leader().apply.state.Snapshot())
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
		s.advance(2 * time.Second)
		var durations []time.Duration
		resent := 0
		for i := range 200 {
			start := s.now
			for s.saveOnce(ordersChange(fmt.Sprint("c", i), "ann", uint64(i))) != nil {
				resent++
			}
			durations = append(durations, s.now-start)
			s.advance(50 * time.Millisecond)
		}
		slices.Sort(durations)
		AddReportEntry("in force after", fmt.Sprintf("median %v, 99th percentile %v, longest %v, resent %d",
			durations[100], durations[198], durations[199], resent))
		Expect(durations[100]).To(BeNumerically("<", time.Second))
		Expect(durations[198]).To(BeNumerically("<", 3*time.Second))
	})

	// Guards against a control host that keeps or drops a save that only the leader can
	// answer.
	It("returns the address of the leader when another control host receives a save", func() {
		for _, h := range s.hosts {
			if h != s.leader() {
				Expect(takeReply(s.startSave(h, ordersChange("c1", "ann", 0))).err).To(Equal(&operator.NotLeaderError{Leader: s.leader().apply.operatorURLs[s.leader().id]}))
			}
		}
	})
})
