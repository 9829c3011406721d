package wal_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiawood/internal/changelog"
	"cassiawood/internal/changelog/wal"
)

// unsynced says what a crash leaves of the operations that were not synced.
type unsynced struct {
	names bool    // created, renamed and removed names are kept
	data  float64 // share of the written bytes that is kept
}

var unsyncedKinds = []unsynced{{false, 0}, {false, 0.5}, {false, 1}, {true, 0}, {true, 0.5}, {true, 1}}

// crashKeeping crashes like crash, but keeps what u says.
func (f *fakeFS) crashKeeping(u unsynced) {
	if !u.names {
		f.current = maps.Clone(f.durable)
	}
	for _, node := range f.current {
		kept := len(node.synced) + int(u.data*float64(len(node.data)-len(node.synced)))
		node.data = slices.Clone(node.data[:kept])
		node.synced = node.data[:kept:kept]
	}
	f.durable, f.beforeOp = maps.Clone(f.current), nil
}

// countOps returns the number of operations that f does on the disk, and stops it before the operation with the
// number stopAt, counted from 1. 0 stops none.
func countOps(disk *fakeFS, stopAt int, f func() error) (count int, err error) {
	disk.beforeOp = func(string, string) error {
		if count++; count == stopAt {
			return errInjected
		}
		return nil
	}
	err = f()
	disk.beforeOp = nil
	return count, err
}

// storedLog is what a member has stored: the model against which the files are checked.
type storedLog struct {
	hardState changelog.HardState
	snapshot  changelog.Snapshot
	entries   []changelog.Entry // after the snapshot
}

func (l storedLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

// after returns what is stored after a Ready.
func (l storedLog) after(r changelog.Ready) storedLog {
	entries := slices.Clone(l.entries)
	if r.Snapshot != nil {
		if covered := r.Snapshot.Index - l.snapshot.Index; r.InstallSnapshot || covered > uint64(len(entries)) {
			entries = nil
		} else {
			entries = entries[covered:]
		}
		l.snapshot = *r.Snapshot
	}
	for _, e := range r.Entries {
		if e.Index > l.snapshot.Index {
			entries = append(entries[:e.Index-l.snapshot.Index-1], e)
		}
	}
	l.entries = entries
	if r.HardState != nil {
		l.hardState = *r.HardState
	}
	return l
}

// shapes are the kinds of Ready that the log hands over, as functions of what is stored.
var shapes = []struct {
	name string
	make func(l storedLog) changelog.Ready
}{
	{"hard state", func(l storedLog) changelog.Ready { return l.ready(1, 0) }},
	{"entries", func(l storedLog) changelog.Ready { return l.ready(0, 2) }},
	{"entries of a new term", func(l storedLog) changelog.Ready { return l.ready(1, 2) }},
	{"entries that replace uncommitted ones", func(l storedLog) changelog.Ready {
		return l.replacing(l.ready(1, 3))
	}},
	{"own snapshot", func(l storedLog) changelog.Ready { return l.withSnapshot(changelog.Ready{}) }},
	{"own snapshot and hard state", func(l storedLog) changelog.Ready { return l.withSnapshot(l.ready(1, 0)) }},
	{"own snapshot and entries", func(l storedLog) changelog.Ready { return l.withSnapshot(l.ready(0, 2)) }},
	{"own snapshot and entries that replace uncommitted ones", func(l storedLog) changelog.Ready {
		return l.withSnapshot(l.replacing(l.ready(1, 3)))
	}},
	{"installed snapshot", func(l storedLog) changelog.Ready { return l.withInstalled(0) }},
	{"installed snapshot and entries", func(l storedLog) changelog.Ready { return l.withInstalled(2) }},
}

// ready returns a Ready with count entries after the stored ones, in a term that is higher by terms. All entries but
// the last one are committed.
func (l storedLog) ready(terms uint64, count int) changelog.Ready {
	hs := l.hardState
	if hs.Term += terms; terms > 0 {
		hs.Vote = hs.Term%3 + 1
	}
	r := changelog.Ready{HardState: &hs}
	for i := range uint64(count) {
		r.Entries = append(r.Entries, entry(l.last()+i+1, hs.Term))
	}
	if last := l.last() + uint64(count); last > 0 {
		hs.Commit = max(hs.Commit, last-1)
	}
	return r
}

// replacing returns the Ready with entries that begin at the first uncommitted entry.
func (l storedLog) replacing(r changelog.Ready) changelog.Ready {
	for i := range r.Entries {
		r.Entries[i] = entry(l.hardState.Commit+uint64(i)+1, r.HardState.Term)
	}
	r.HardState.Commit = l.hardState.Commit + uint64(len(r.Entries)) - 1
	return r
}

// withSnapshot adds a snapshot as of the last entry that was committed before.
func (l storedLog) withSnapshot(r changelog.Ready) changelog.Ready {
	index := l.hardState.Commit
	if index <= l.snapshot.Index {
		return r
	}
	term := l.entries[index-l.snapshot.Index-1].Term
	r.Snapshot = &changelog.Snapshot{Index: index, Term: term, At: 5, State: fmt.Appendf(nil, "state %d", index)}
	if r.HardState == nil {
		hs := l.hardState
		r.HardState = &hs // the log adds it to each Ready with a snapshot
	}
	return r
}

// withInstalled returns a Ready with a snapshot of the leader that lies after the stored log, and count entries after
// it, all but the last one committed.
func (l storedLog) withInstalled(count int) changelog.Ready {
	hs := l.hardState
	hs.Term, hs.Vote = hs.Term+1, 0
	index := l.last() + 3
	r := changelog.Ready{
		HardState: &hs, InstallSnapshot: true,
		Snapshot: &changelog.Snapshot{Index: index, Term: hs.Term, At: 5, State: fmt.Appendf(nil, "state %d", index)},
	}
	for i := range uint64(count) {
		r.Entries = append(r.Entries, entry(index+i+1, hs.Term))
	}
	hs.Commit = index + max(uint64(count), 1) - 1
	return r
}

// checkRecovered returns an error unless the recovered state is sound and holds what was stored before a Ready that
// was being stored at the crash.
func checkRecovered(rec wal.Recovered, stored storedLog, next changelog.Ready) error {
	node, err := changelog.New(changelog.Config{ID: 1, Members: []uint64{1, 2, 3}}, rec.HardState, rec.Snapshot, rec.Entries)
	if err != nil {
		return err
	}
	after := stored.after(next)
	status := node.Status()
	hs := rec.HardState
	switch {
	case hs.Term < stored.hardState.Term || hs.Term == stored.hardState.Term && hs.Vote != stored.hardState.Vote && hs.Vote != after.hardState.Vote:
		return fmt.Errorf("term %d and vote %d, stored were %+v", hs.Term, hs.Vote, stored.hardState)
	case status.Commit > status.LastIndex:
		return fmt.Errorf("commit index %d is after the last entry %d", status.Commit, status.LastIndex)
	case rec.Snapshot.Index < stored.snapshot.Index:
		return fmt.Errorf("snapshot %d, stored was %d", rec.Snapshot.Index, stored.snapshot.Index)
	}
	recovered := storedLog{snapshot: rec.Snapshot, entries: rec.Entries}
	for _, want := range stored.entries {
		if want.Index <= recovered.snapshot.Index {
			continue
		}
		replaced := want.Index > stored.hardState.Commit && len(next.Entries) > 0 && want.Index >= next.Entries[0].Index
		if want.Index > recovered.last() || !replaced && recovered.entries[want.Index-recovered.snapshot.Index-1].Term != want.Term {
			return fmt.Errorf("entry %d of term %d is missing", want.Index, want.Term)
		}
	}
	return nil
}

// storeAll stores Readies of the shapes one after the other. It stops the Ready with the number of the last shape before
// the operation stopAt and returns whether there was one, and the state before that Ready.
func storeAll(disk *fakeFS, sequence []int, stopAt int) (stored storedLog, last changelog.Ready, stopped bool, err error) {
	s, _, err := wal.Open(disk)
	if err != nil {
		return stored, last, false, err
	}
	for i, shape := range sequence {
		last = shapes[shape].make(stored)
		if i < len(sequence)-1 {
			if err := s.Save(last); err != nil {
				return stored, last, false, err
			}
			stored = stored.after(last)
			continue
		}
		count, err := countOps(disk, stopAt, func() error { return s.Save(last) })
		if err == nil {
			stored = stored.after(last)
		}
		return stored, last, count >= stopAt, nil
	}
	return stored, last, false, nil
}

// checkCrash crashes the host at each operation of the last Ready of the sequence, opens the files, stores
// the Ready again and opens the files once more.
func checkCrash(t interface {
	Fatalf(format string, args ...any)
}, sequence []int, crash func(disk *fakeFS),
) {
	for stopAt := 1; ; stopAt++ {
		disk := newFakeFS()
		stored, last, stopped, err := storeAll(disk, sequence, stopAt)
		if err != nil {
			t.Fatalf("%v: %v", names(sequence), err)
		}
		crash(disk)
		s, rec, err := wal.Open(disk)
		if err == nil {
			err = checkRecovered(rec, stored, last)
		}
		if err != nil {
			t.Fatalf("%v, crash before operation %d: %v", names(sequence), stopAt, err)
		}
		if !stopped {
			return
		}
		recovered := storedLog{rec.HardState, rec.Snapshot, rec.Entries}
		next := recovered.ready(1, 2)
		if err := s.Save(next); err != nil {
			t.Fatalf("%v, after a crash before operation %d: %v", names(sequence), stopAt, err)
		}
		if _, rec, err = wal.Open(disk); err == nil {
			err = checkRecovered(rec, recovered.after(next), changelog.Ready{})
		}
		if err != nil {
			t.Fatalf("%v, opened again after a crash before operation %d: %v", names(sequence), stopAt, err)
		}
	}
}

func names(sequence []int) []string {
	var list []string
	for _, shape := range sequence {
		list = append(list, shapes[shape].name)
	}
	return list
}

// Guards against files that no host can start from: a host that is killed while it stores a Ready must open
// them after each operation, whatever the crash leaves of the unsynced ones, and have all that it acknowledged.
func TestEveryCrashLeavesSoundFiles(t *testing.T) {
	const entriesShape = 1
	for first := range shapes {
		for second := range shapes {
			for _, u := range unsyncedKinds {
				checkCrash(t, []int{entriesShape, first, second}, func(disk *fakeFS) { disk.crashKeeping(u) })
			}
		}
	}
}

// Guards against the same after longer sequences, with a random part of the unsynced operations kept.
func TestCrashesInSequencesLeaveSoundFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequence := rapid.SliceOfN(rapid.IntRange(0, len(shapes)-1), 1, 8).Draw(t, "shapes")
		seed := rapid.Uint64().Draw(t, "crash")
		checkCrash(t, sequence, func(disk *fakeFS) { disk.crash(rand.New(rand.NewPCG(seed, 0))) })
	})
}

// Guards against a folder of an earlier version, which stored a commit index before the entries: the host tried for
// 20 s to open it, ended, and so on for ever.
func TestOpensFilesWithACommitIndexAfterTheLastEntry(t *testing.T) {
	node, err := changelog.New(changelog.Config{ID: 1, Members: []uint64{1, 2, 3}}, changelog.HardState{Term: 2, Commit: 9},
		changelog.Snapshot{Index: 3, Term: 1, At: time.Second, State: []byte("state")}, []changelog.Entry{{Index: 4, Term: 2, At: time.Second}})
	if err != nil {
		t.Fatal(err)
	}
	if s := node.Status(); s.Commit != 4 || s.LastIndex != 4 || s.Term != 2 {
		t.Fatalf("%+v", s)
	}
}
