package wal_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cassiawood/internal/changelog"
	"cassiawood/internal/changelog/wal"
)

func ready(term uint64, entries ...changelog.Entry) changelog.Ready {
	return changelog.Ready{HardState: &changelog.HardState{Term: term, Vote: 2}, Entries: entries}
}

func entry(index, term uint64) changelog.Entry {
	return changelog.Entry{Index: index, Term: term, At: 5, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

// newWrittenDisk returns a disk with five records of entries and the offset of each.
func newWrittenDisk() (*fakeFS, []int) {
	GinkgoHelper()
	disk := newFakeFS()
	s, _, err := wal.Open(disk)
	Expect(err).NotTo(HaveOccurred())
	var offsets []int
	for i := range uint64(5) {
		log := disk.current["log-0000000000000001"].data
		offsets = append(offsets, len(log))
		e := entry(i+1, 1)
		e.Data = slices.Clone(log) // complete records inside the data of another record
		Expect(s.Save(ready(1, e))).To(Succeed())
	}
	return disk, offsets
}

// copyDamaged returns a copy of the disk in which change has modified the log files.
func copyDamaged(disk *fakeFS, change func(log []byte) []byte) *fakeFS {
	result := newFakeFS()
	for name, node := range disk.current {
		data := slices.Clone(node.data)
		if strings.HasPrefix(name, "log-") {
			data = change(data)
		}
		result.current[name] = &inode{data: data}
	}
	return result
}

var _ = Describe("storage", func() {
	// Guards against a record that is skipped, or cut off with all later ones, because
	// a byte of its data or header has changed.
	It("reports a corrupt record before the end with file and offset", func() {
		disk, offsets := newWrittenDisk()
		for at := range offsets[4] {
			flipped := copyDamaged(disk, func(log []byte) []byte { log[at] ^= 0x40; return log })
			record := 0
			for _, offset := range offsets {
				if offset <= at {
					record = offset
				}
			}
			if at < offsets[0] {
				record = 0
			}
			_, _, err := wal.Open(flipped)
			var corrupt *wal.CorruptError
			Expect(errors.As(err, &corrupt)).To(BeTrue(), "byte %d: %v", at, err)
			Expect(corrupt.File).To(Equal("log-0000000000000001"))
			Expect(corrupt.Offset).To(BeEquivalentTo(record), "byte %d", at)
		}
	})

	// Guards against a member that cannot start, or starts with a partial record,
	// after a crash during a write, and against remains of that record after the next one.
	It("cuts off a torn last record and continues", func() {
		disk, offsets := newWrittenDisk()
		for size := offsets[4]; size < len(disk.current["log-0000000000000001"].data); size++ {
			torn := copyDamaged(disk, func(log []byte) []byte { return log[:size] })
			s, rec, err := wal.Open(torn)
			Expect(err).NotTo(HaveOccurred())
			Expect(rec.Entries).To(HaveLen(4))
			Expect(rec.TornBytes).To(Equal(size - offsets[4]))
			Expect(s.Save(ready(2, entry(5, 2)))).To(Succeed())
			_, rec, err = wal.Open(torn)
			Expect(err).NotTo(HaveOccurred())
			Expect(rec.Entries[4]).To(Equal(entry(5, 2)))
		}
	})

	// Guards against a corrupt or missing snapshot that is treated as an empty one,
	// and against a missing log file that goes unnoticed.
	It("reports missing files and a corrupt snapshot", func() {
		disk, _ := newWrittenDisk()
		s, _, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		snapshot := &changelog.Snapshot{Index: 9, Term: 3, State: []byte("state")}
		Expect(s.Save(changelog.Ready{Snapshot: snapshot, InstallSnapshot: true})).To(Succeed())
		corrupt := copyDamaged(disk, func(log []byte) []byte { return log })
		corrupt.current["snapshot"].data[12] ^= 1
		noSnapshot := copyDamaged(disk, func(log []byte) []byte { return log })
		delete(noSnapshot.current, "snapshot")
		noLog := newFakeFS()
		noLog.current["snapshot"] = disk.current["snapshot"]
		gap := copyDamaged(disk, func(log []byte) []byte { return log })
		gap.current["log-0000000000000004"] = &inode{}
		for name, fs := range map[string]*fakeFS{"corrupt": corrupt, "no snapshot": noSnapshot, "no log": noLog, "gap": gap} {
			_, _, err := wal.Open(fs)
			Expect(err).To(BeAssignableToTypeOf(&wal.CorruptError{}), name)
		}
	})

	// Guards against a start that fails because a later record of the oldest remaining
	// file replaces the log from an entry that precedes the first entry of the file.
	It("reads a file with a later record that replaces entries before its first one", func() {
		disk := newFakeFS()
		s, _, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		for _, r := range []changelog.Ready{
			ready(1, entry(1, 1), entry(2, 1)),
			{Snapshot: &changelog.Snapshot{Index: 1, Term: 1}},
			ready(2, entry(3, 2)), ready(3, entry(2, 3)),
			{Snapshot: &changelog.Snapshot{Index: 2, Term: 3}},
			ready(4, entry(3, 4)),
		} {
			Expect(s.Save(r)).To(Succeed())
		}
		_, rec, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.Entries).To(Equal([]changelog.Entry{entry(3, 4)}))
	})

	// Guards against differences between a folder of the operating system and fakeFS.
	It("continues in a real folder after a restart and a torn record", func() {
		path := GinkgoT().TempDir() + "/data"
		dir, err := wal.NewDir(path)
		Expect(err).NotTo(HaveOccurred())
		snapshot := changelog.Snapshot{Index: 1, Term: 1, State: []byte("state")}
		for i := range uint64(3) {
			s, rec, err := wal.Open(dir)
			Expect(err).NotTo(HaveOccurred())
			Expect(rec.Entries).To(HaveLen(int(i)))
			Expect(rec.TornBytes).To(Equal(5 * min(1, int(i))))
			Expect(s.Save(changelog.Ready{Snapshot: &snapshot, Entries: []changelog.Entry{entry(i+2, 1)}})).To(Succeed())
			Expect(s.Close()).To(Succeed())
			log, err := os.OpenFile(fmt.Sprintf("%s/log-%016d", path, i+2), os.O_WRONLY|os.O_APPEND, 0)
			Expect(err).NotTo(HaveOccurred())
			_, err = log.WriteString("torn!")
			Expect(errors.Join(err, log.Close())).To(Succeed())
		}
	})

	// Guards against a start that fails because the process crashed while it removed
	// the log files that an installed snapshot has replaced.
	It("reads the remaining files after an interrupted removal of replaced ones", func() {
		disk := newFakeFS()
		s, _, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		for _, r := range []changelog.Ready{
			ready(1, entry(1, 1), entry(2, 1), entry(3, 1)),
			{Snapshot: &changelog.Snapshot{Index: 1, Term: 1}},
			ready(1, entry(4, 1)),
		} {
			Expect(s.Save(r)).To(Succeed())
		}
		disk.beforeOp = func(op, name string) error {
			if op == "remove" && name == "log-0000000000000002" {
				return errInjected
			}
			return nil
		}
		installed := changelog.Snapshot{Index: 2, Term: 2}
		Expect(s.Save(changelog.Ready{Snapshot: &installed, InstallSnapshot: true})).To(MatchError(errInjected))
		disk.current["log-0000000000000002"] = disk.durable["log-0000000000000002"]
		_, rec, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		Expect(rec.Snapshot).To(Equal(installed))
		Expect(rec.Entries).To(BeEmpty())
	})

	// Guards against a sync that is repeated after a failure: the operating system may
	// have dropped the data, and the second sync would report success.
	It("accepts no writes after a failed sync", func() {
		disk, _ := newWrittenDisk()
		s, _, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		disk.beforeOp = func(op, _ string) error {
			if op == "sync" {
				return errInjected
			}
			return nil
		}
		Expect(s.Save(ready(2))).To(MatchError(errInjected))
		disk.beforeOp = func(string, string) error { Fail("the storage was used after a failed sync"); return nil }
		err = s.Save(ready(3))
		Expect(err).To(BeAssignableToTypeOf(&wal.StoppedError{}))
		Expect(err).To(MatchError(errInjected))
	})
})

// Guards against a sequence of entries, truncations, snapshots and crashes after
// which Open returns another state than the one that was saved.
func TestStorageReturnsWhatWasSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		disk, model := newFakeFS(), wal.Recovered{}
		s, _, err := wal.Open(disk)
		if err != nil {
			t.Fatal(err)
		}
		for step := range rapid.IntRange(1, 20).Draw(t, "steps") {
			before := model
			model.HardState = changelog.HardState{Term: uint64(step + 1), Vote: 1, Rejoining: step%2 == 0}
			hs := model.HardState
			r := changelog.Ready{HardState: &hs}
			last := model.Snapshot.Index + uint64(len(model.Entries))
			switch rapid.SampledFrom([]string{"entries", "snapshot", "install", "crash"}).Draw(t, "step") {
			case "entries":
				from := rapid.Uint64Range(model.Snapshot.Index+1, last+1).Draw(t, "from")
				for i := range rapid.Uint64Range(1, 5).Draw(t, "count") {
					r.Entries = append(r.Entries, entry(from+i, hs.Term))
				}
				model.Entries = append(slices.Clone(model.Entries[:from-model.Snapshot.Index-1]), r.Entries...)
			case "snapshot":
				if len(model.Entries) > 0 {
					i := rapid.IntRange(0, len(model.Entries)-1).Draw(t, "at")
					model.Snapshot = changelog.Snapshot{Index: model.Entries[i].Index, Term: model.Entries[i].Term, State: []byte("s")}
					model.Entries = model.Entries[i+1:]
					r.Snapshot = &model.Snapshot
				}
			case "install":
				index := rapid.Uint64Range(model.Snapshot.Index+1, last+9).Draw(t, "index")
				model.Snapshot = changelog.Snapshot{Index: index, Term: hs.Term, At: 4, State: []byte("i")}
				model.Entries, r.Snapshot, r.InstallSnapshot = nil, &model.Snapshot, true
			}
			operations := rapid.IntRange(0, 12).Draw(t, "operations before the crash")
			disk.beforeOp = func(string, string) error {
				if operations--; operations < 0 {
					return errInjected
				}
				return nil
			}
			allowed := []wal.Recovered{model}
			if err = s.Save(r); err != nil {
				mixed := model // the snapshot is stored before the hard state
				mixed.HardState = before.HardState
				allowed = append(allowed, before, mixed)
			}
			disk.crash(rand.New(rand.NewPCG(uint64(step), uint64(operations))))
			if s, model, err = wal.Open(disk); err != nil {
				t.Fatal(err)
			}
			if !slices.ContainsFunc(allowed, func(want wal.Recovered) bool { return sameRecovered(model, want) }) {
				t.Fatalf("got %+v, saved %+v, files %v", model, allowed, slices.Sorted(maps.Keys(disk.current)))
			}
		}
	})
}

func sameRecovered(a, b wal.Recovered) bool {
	return a.HardState == b.HardState && reflect.DeepEqual(a.Snapshot, b.Snapshot) &&
		slices.EqualFunc(a.Entries, b.Entries, func(x, y changelog.Entry) bool { return reflect.DeepEqual(x, y) })
}

// FuzzOpen guards against file contents that crash the process, or that two
// successive calls of Open read differently.
func FuzzOpen(f *testing.F) {
	f.Add([]byte{}, []byte{})
	f.Add([]byte("\x05\x00\x00\x00\x00\x00\x00\x00\x01\x01\x02\x00\x00\x00"), []byte{0})
	disk := newFakeFS()
	s, _, err := wal.Open(disk)
	if err == nil {
		err = s.Save(ready(1, entry(1, 1), entry(2, 1)))
	}
	if err == nil {
		err = s.Save(changelog.Ready{Snapshot: &changelog.Snapshot{Index: 1, Term: 1}, Entries: []changelog.Entry{entry(3, 2)}})
	}
	if err != nil {
		f.Fatal(err)
	}
	f.Add(disk.current["log-0000000000000001"].data, disk.current["snapshot"].data)
	f.Add(disk.current["log-0000000000000002"].data, disk.current["snapshot"].data)
	f.Fuzz(func(t *testing.T, log, snapshot []byte) {
		disk := newFakeFS()
		disk.current["log-0000000000000001"] = &inode{data: log}
		if len(snapshot) > 0 {
			disk.current["snapshot"] = &inode{data: snapshot}
		}
		_, first, err := wal.Open(disk)
		if err != nil {
			return
		}
		_, second, err := wal.Open(disk)
		first.TornFile, first.TornBytes = "", 0
		if err != nil || fmt.Sprint(first) != fmt.Sprint(second) {
			t.Fatalf("first %+v, second %+v, %v", first, second, err)
		}
	})
}

// BenchmarkSave measures the time of a synced append on a real disk and the bytes
// that each entry occupies.
func BenchmarkSave(b *testing.B) {
	for _, count := range []int{1, 16} {
		b.Run(fmt.Sprintf("entries=%d", count), func(b *testing.B) {
			dir, err := wal.NewDir(b.TempDir() + "/log")
			if err != nil {
				b.Fatal(err)
			}
			s, _, err := wal.Open(dir)
			if err != nil {
				b.Fatal(err)
			}
			index := uint64(0)
			for b.Loop() {
				r := changelog.Ready{HardState: &changelog.HardState{Term: 1, Vote: 1, Commit: index}}
				for range count {
					index++
					r.Entries = append(r.Entries, changelog.Entry{Index: index, Term: 1, At: 1 << 60, Data: make([]byte, 200)})
				}
				if err := s.Save(r); err != nil {
					b.Fatal(err)
				}
			}
			log, err := dir.ReadFile("log-0000000000000001")
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(log))/float64(index), "B/entry")
			if _, rec, err := wal.Open(dir); err != nil || len(rec.Entries) != int(index) {
				b.Fatalf("%d entries, %v", len(rec.Entries), err)
			}
		})
	}
}
