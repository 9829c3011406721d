package replica_test

import (
	"errors"
	"fmt"
	"log/slog"
	"syscall"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

// failingStore is a store whose first saves fail.
type failingStore struct {
	err          error
	failuresLeft *int
	saved        *int
}

func (s failingStore) Save(changelog.Ready) error {
	if *s.failuresLeft > 0 {
		*s.failuresLeft--
		return fmt.Errorf("write: %w", s.err)
	}
	*s.saved++
	return nil
}

func (failingStore) Close() error { return nil }

var _ = Describe("StorageDuty", func() {
	var (
		failures, saved, opened int
		logInbox                *ring.Ring[replica.Event]
	)
	storage := func(err error) *replica.StorageDuty {
		store := failingStore{err, &failures, &saved}
		return replica.NewStorageDuty(slog.New(slog.DiscardHandler), store, func() (replica.Store, error) { opened++; return store, nil }, logInbox)
	}
	BeforeEach(func() {
		failures, saved, opened = 2, 0, 0
		logInbox = ring.New[replica.Event]("log", 4, ring.Block)
	})

	// Guards against a control host that exits, and exits again after each start, while its disk is full.
	It("waits for room on a full disk and reports the Ready only after it is saved", func() {
		Expect(storage(syscall.ENOSPC).Handle(changelog.Ready{})).To(Succeed())
		Expect(saved).To(Equal(1))
		Expect(opened).To(Equal(2))
		got, _ := logInbox.Get()
		Expect(got).To(Equal(replica.Stored{}))
	})

	// Guards against a process that continues after a failed sync, which leaves the state of the disk unknown.
	It("fails on any other error", func() {
		broken := errors.New("input/output error")
		Expect(storage(broken).Handle(changelog.Ready{})).To(MatchError(broken))
		Expect(saved).To(BeZero())
	})
})
