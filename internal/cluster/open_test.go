package cluster

import (
	"context"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
	"cassiawood/internal/changelog/wal"
)

var _ = Describe("data folder", func() {
	// newHost returns a host with a data folder in which its log has a snapshot.
	newHost := func(state []byte) *Host {
		GinkgoHelper()
		address := netip.MustParseAddrPort("127.0.0.1:1")
		h := &Host{log: slog.New(slog.DiscardHandler), settings: Settings{
			DataFolder: GinkgoT().TempDir(), Address: address, Seeds: []netip.AddrPort{address}, FirstStart: true,
		}}
		_, err := loadIdentity(h.settings, h.log)
		Expect(err).NotTo(HaveOccurred())
		folder, err := h.openLogFolder()
		Expect(err).NotTo(HaveOccurred())
		store, _, err := wal.Open(folder)
		Expect(err).NotTo(HaveOccurred())
		snapshot := &changelog.Snapshot{Index: 9, Term: 1, State: state}
		Expect(store.Save(changelog.Ready{HardState: &changelog.HardState{Term: 1, Commit: 9}, Snapshot: snapshot, InstallSnapshot: true})).To(Succeed())
		Expect(store.Close()).To(Succeed())
		return h
	}
	// clock returns a clock that advances at each call, and stays well below openTimeout.
	clock := func() func() time.Duration {
		now := time.Hour
		return func() time.Duration {
			now += time.Millisecond
			return now
		}
	}

	// Guards against the loss of the desired state at all hosts at once, when a new version cannot read what the
	// earlier one has written, and against an error that says nothing of what to do.
	It("is kept when the snapshot is undamaged but cannot be decoded, and the host ends at once", func() {
		h := newHost([]byte{0xff})
		identityPath := filepath.Join(h.settings.DataFolder, identityFile)
		before, err := os.ReadFile(identityPath)
		Expect(err).NotTo(HaveOccurred())
		_, _, _, err = h.openData(context.Background(), clock())
		Expect(err).To(MatchError(ContainSubstring("start the version that wrote it")))
		after, err := os.ReadFile(identityPath)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(Equal(before))
		_, err = os.Stat(filepath.Join(h.settings.DataFolder, logFolder, "snapshot"))
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a host that never starts again because one of its files is damaged. It must not keep its
	// identity, since it does not know any more what it has promised.
	It("counts as lost when the snapshot is damaged", func() {
		h := newHost(nil)
		before, err := loadIdentity(h.settings, h.log)
		Expect(err).NotTo(HaveOccurred())
		path := filepath.Join(h.settings.DataFolder, logFolder, "snapshot")
		content, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		content[len(content)-1] ^= 1
		Expect(os.WriteFile(path, content, 0o600)).To(Succeed())
		h.settings.FirstStart = false
		id, node, _, err := h.openData(context.Background(), clock())
		Expect(err).NotTo(HaveOccurred())
		Expect(id.ID).NotTo(Equal(before.ID))
		Expect(node.Status().LastIndex).To(BeZero())
		Expect(h.store.Close()).To(Succeed())
	})
})
