package duty_test

import (
	"context"
	"errors"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/duty"
)

var _ = Describe("a panic", func() {
	// Guards against a process that ends without a line in its log.
	It("of a duty is reported as its failure", func() {
		reasons := make(chan error, 1)
		g := duty.NewGroup(slog.New(slog.DiscardHandler), time.Minute, func(reason error) { reasons <- reason })
		g.Add(duty.Duty{Name: "broken", Run: func(context.Context, *duty.Progress) error { panic("odd input") }})
		g.Start()
		reason := <-reasons
		Expect(g.HasFailed()).To(BeTrue())
		var panicked *duty.PanicError
		Expect(errors.As(reason, &panicked)).To(BeTrue())
		Expect(panicked.Value).To(Equal("odd input"))
		Expect(reason.Error()).To(And(ContainSubstring("duty broken"), ContainSubstring("contain_test.go")))
		Expect(g.Stop(context.Background())).To(Succeed())
	})

	// Guards against a containment that hides errors or reports some where there are none.
	It("is the only thing that Contain changes", func() {
		failure := errors.New("failure")
		Expect(duty.Contain(func() error { return nil })).To(Succeed())
		Expect(duty.Contain(func() error { return failure })).To(BeIdenticalTo(failure))
	})
})
