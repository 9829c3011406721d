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

// output is an output of the log duty that takes everything.
type output struct{}

func (output) Committed(replica.Committed) error { return nil }
func (output) Status(changelog.Status) error     { return nil }
func (output) ReadRefused(uint64) error          { return nil }
func (output) Send(changelog.Message)            {}

var _ = Describe("LogDuty", func() {
	// Guards against a control host that ends because a snapshot of the leader has replaced its log while its own compaction was on its way.
	It("ignores a compaction that an installed snapshot has overtaken", func() {
		members := changelog.Membership{{ID: 1, Voter: true}, {ID: 2, Voter: true}}
		node, err := changelog.New(changelog.Config{ID: 1, Dynamic: true, InitialMembers: members}, changelog.HardState{}, changelog.Snapshot{}, nil)
		Expect(err).NotTo(HaveOccurred())
		storage := ring.New[changelog.Ready]("storage", 1, ring.Block)
		d := replica.NewLogDuty(slog.New(slog.DiscardHandler), node, storage, output{})
		receive := func(m changelog.Message) {
			m.From, m.To, m.Term = 2, 1, 1
			Expect(d.Handle(replica.Received{Message: m})).To(Succeed())
			for storage.Depth() > 0 {
				_, err := storage.Get()
				Expect(err).NotTo(HaveOccurred())
				Expect(d.Handle(replica.Stored{})).To(Succeed())
			}
		}
		receive(changelog.Message{Kind: changelog.KindAppend, Commit: 2, Entries: []changelog.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}}})
		Expect(node.Status().Applied).To(BeEquivalentTo(2))
		receive(changelog.Message{Kind: changelog.KindSnapshot, Snapshot: &changelog.Snapshot{Index: 9, Term: 1, State: []byte("of the leader"), Members: members}})
		Expect(d.Handle(replica.Compact{Index: 2, State: []byte("of this host")})).To(Succeed())
		Expect(node.Status().Applied).To(BeEquivalentTo(9))
		receive(changelog.Message{Kind: changelog.KindAppend, Index: 9, LogTerm: 1, Commit: 10, Entries: []changelog.Entry{{Index: 10, Term: 1}}})
		Expect(node.Status().Applied).To(BeEquivalentTo(10))
	})
})

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
