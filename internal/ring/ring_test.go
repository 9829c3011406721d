package ring_test

import (
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/ring"
)

func put(r *ring.Ring[int], values ...int) {
	GinkgoHelper()
	for _, v := range values {
		_, err := r.Put(v)
		Expect(err).NotTo(HaveOccurred())
	}
}

func drain(r *ring.Ring[int]) []int {
	var got []int
	for {
		v, err := r.Get()
		if err != nil {
			return got
		}
		got = append(got, v)
	}
}

var _ = Describe("Ring", func() {
	// Guards against a queue that grows under overload, or that drops the wrong value.
	DescribeTable("drops a value according to its overflow policy when full",
		func(overflow ring.OverflowPolicy, want []int, wantDrops int) {
			r := ring.New[int]("test", 2, overflow)
			put(r, 1, 2, 3)
			r.Close()
			Expect(drain(r)).To(Equal(want))
			Expect(r.Drops()).To(BeEquivalentTo(wantDrops))
		},
		Entry("drop newest", ring.DropNewest, []int{1, 2}, 1),
		Entry("drop oldest", ring.DropOldest, []int{2, 3}, 1),
	)

	// Guards against a blocked producer whose value is lost or that is never woken.
	It("wakes a producer that waits for a free slot", func() {
		r := ring.New[int]("test", 1, ring.Block)
		var producer sync.WaitGroup
		producer.Go(func() {
			defer r.Close()
			for i := range 100 {
				_, _ = r.Put(i)
			}
		})
		Expect(drain(r)).To(HaveLen(100))
		producer.Wait()
	})

	// Guards against a shutdown that loses queued values or leaves a producer blocked.
	It("returns the queued values after Close and rejects new ones", func() {
		r := ring.New[int]("test", 4, ring.Block)
		put(r, 1, 2)
		r.Close()
		_, err := r.Put(3)
		Expect(err).To(MatchError(ring.ErrClosed))
		Expect(drain(r)).To(Equal([]int{1, 2}))
	})

	// Guards against a deadlock of two duties that wait for each other's full ring.
	It("rejects an offered value instead of waiting when full", func() {
		r := ring.New[int]("test", 1, ring.Block)
		Expect(r.Offer(1)).To(BeTrue())
		Expect(r.Offer(2)).To(BeFalse())
		Expect(r.Drops()).To(BeEquivalentTo(1))
	})

	It("moves queued values to a batch, up to its length", func() {
		r := ring.New[int]("test", 4, ring.Block)
		put(r, 1, 2, 3)
		batch := make([]int, 2)
		n, err := r.GetBatch(batch)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch[:n]).To(Equal([]int{1, 2}))
		Expect(r.Depth()).To(Equal(1))
	})
})
