package duty_test

import (
	"context"
	"errors"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
)

func TestDuty(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "duty")
}

var _ = Describe("Group", func() {
	var (
		clock  atomic.Int64
		reason chan error
		group  *duty.Group
		inbox  *ring.Ring[int]
	)
	BeforeEach(func() {
		clock.Store(0)
		reason = make(chan error, 1)
		now := func() time.Duration { return time.Duration(clock.Load()) }
		group = duty.NewGroup(slog.New(slog.DiscardHandler), 4*time.Millisecond, now, func(err error) { reason <- err })
		inbox = ring.New[int]("inbox", 1, ring.Block)
	})

	// Guards against a hung handler that leaves the process alive but useless.
	It("reports a handler that makes no progress", func() {
		entered, release := make(chan struct{}), make(chan struct{})
		group.Add(duty.FromRing("stuck", inbox, func(int) error {
			close(entered)
			<-release
			return nil
		}))
		group.Start()
		_, _ = inbox.Put(1)
		<-entered
		clock.Store(int64(time.Second))
		Expect((<-reason).Error()).To(ContainSubstring("stuck"))
		close(release)
		inbox.Close()
		Expect(group.Stop(context.Background())).To(Succeed())
	})

	// Guards against a failed duty whose error is swallowed.
	It("reports a duty that fails", func() {
		failure := errors.New("disk is gone")
		group.Add(duty.FromRing("writer", inbox, func(int) error { return failure }))
		group.Start()
		_, _ = inbox.Put(1)
		Expect(<-reason).To(MatchError(failure))
		Expect(group.Stop(context.Background())).To(Succeed())
	})
})
