package duty

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/ring"
)

func TestDuty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

var _ = Describe("Group", func() {
	var (
		failures chan error
		group    *Group
		inbox    *ring.Ring[int]
	)
	BeforeEach(func() {
		failures = make(chan error, 1)
		group = NewGroup(slog.New(slog.DiscardHandler), 4*time.Millisecond, func(err error) { failures <- err })
		inbox = ring.New[int]("inbox", 1, ring.Block)
	})

	// Guards against a hung handler in a process that keeps running without doing its work.
	It("reports a handler that makes no progress", func() {
		entered, release := make(chan struct{}), make(chan struct{})
		group.Add(FromRing("stuck", inbox, func(int) error {
			close(entered)
			<-release
			return nil
		}))
		group.Start()
		_, _ = inbox.Put(1)
		<-entered
		Expect((<-failures).Error()).To(ContainSubstring("stuck"))
		close(release)
		inbox.Close()
		Expect(group.Stop(context.Background())).To(Succeed())
	})

	// Guards against a watchdog that ends a process because its host was suspended:
	// successive ticks saw the same handler, but the duty had no time to make progress.
	It("does not report the duties of a suspended process as hung", func() {
		p := &Progress{}
		group.duties, group.progress = []Duty{{Name: "steady"}}, []*Progress{p}
		w := watchdog{lastHandler: make([]uint64, 1), ticks: make([]int, 1)}
		p.Begin()
		Expect(group.checkHandlers(&w)).To(BeEmpty())
		Expect(group.checkHandlers(&w)).To(BeEmpty())
		p.End()
		for range 2 * ticksPerLimit {
			p.Begin()
			Expect(group.checkHandlers(&w)).To(BeEmpty())
			p.End()
		}
	})

	// Guards against a failed duty whose error is ignored.
	It("reports a duty that fails", func() {
		failure := errors.New("disk is gone")
		group.Add(FromRing("writer", inbox, func(int) error { return failure }))
		group.Start()
		_, _ = inbox.Put(1)
		Expect(<-failures).To(MatchError(failure))
		Expect(group.Stop(context.Background())).To(Succeed())
	})
})
