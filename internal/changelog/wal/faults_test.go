package wal_test

import (
	"os"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog/wal"
)

var _ = Describe("FaultyFS", func() {
	var disk wal.FaultyFS
	var sleeps []time.Duration
	var onSleep func()
	setFault := func(text string) {
		GinkgoHelper()
		Expect(os.WriteFile(disk.SwitchFile, []byte(text), 0o600)).To(Succeed())
	}
	BeforeEach(func() {
		folder := GinkgoT().TempDir()
		dir, err := wal.NewDir(filepath.Join(folder, "log"))
		Expect(err).NotTo(HaveOccurred())
		sleeps, onSleep = nil, func() {}
		disk = wal.FaultyFS{FS: dir, SwitchFile: filepath.Join(folder, "disk"), Sleep: func(d time.Duration) {
			sleeps = append(sleeps, d)
			onSleep()
		}}
	})

	// Guards against a soak test whose disk faults have no effect.
	It("rejects writes while the disk is full and keeps the saved entries", func() {
		s, _, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Save(ready(1, entry(1, 1)))).To(Succeed())
		setFault("full")
		Expect(s.Save(ready(1, entry(2, 1)))).To(MatchError(syscall.ENOSPC))
		setFault("")
		_, recovered, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(recovered.Entries).To(HaveLen(1))
	})

	// Guards against a stalled or slow disk that delays no sync in a soak test.
	It("blocks syncs until the stall ends", func() {
		s, _, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		setFault("stall")
		onSleep = func() {
			if len(sleeps) == 3 {
				setFault("slow 7ms")
			}
		}
		Expect(s.Save(ready(1, entry(1, 1)))).To(Succeed())
		Expect(sleeps).To(HaveLen(4))
		Expect(sleeps[3]).To(Equal(7 * time.Millisecond))
	})

	// Guards against a soak test that runs without its fault because of a typing error in the switch file.
	It("reports an invalid argument in the switch file", func() {
		s, _, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		setFault("slow down")
		Expect(s.Save(ready(1, entry(1, 1)))).To(MatchError(ContainSubstring("switch of disk faults")))
	})
})
