package changelog

import (
	"fmt"
	"time"
)

// position is the position of an entry in the log.
type position struct {
	index, term uint64
	at          time.Duration
}

// entryLog holds the log. Slices of entries that it returns stay valid: entries
// are never overwritten in place, because the storage duty may still be writing
// them.
type entryLog struct {
	snapshot  Snapshot
	base      position // entry before the first one in entries
	entries   []Entry  // entries after base
	commit    uint64   // last entry known to be committed
	applied   uint64   // last entry applied, as confirmed by Advance
	submitted uint64   // last entry passed to storage
	stable    uint64   // last entry known to be synced

	memberships []indexedMembership // in the order of the log; the first one is in force at base
}

// CheckStored returns an error unless a member can continue from a snapshot and the entries after it. Entries that the
// snapshot covers are ignored.
func CheckStored(snapshot Snapshot, entries []Entry) error {
	last := position{snapshot.Index, snapshot.Term, snapshot.At}
	for _, e := range entries {
		if e.Index <= snapshot.Index {
			continue
		}
		if e.Index != last.index+1 || e.Term < last.term || e.At < last.at {
			return fmt.Errorf("changelog: stored entry %d of term %d cannot follow entry %d of term %d",
				e.Index, e.Term, last.index, last.term)
		}
		last = position{e.Index, e.Term, e.At}
	}
	return nil
}

// newEntryLog returns the log of a member that continues from its stored state. The stored commit index may be behind the
// last committed entry, since the leader tells it again. It may also be after the last entry: an earlier version
// stored it before the entries.
func newEntryLog(snapshot Snapshot, entries []Entry, commit uint64, initial Membership) (*entryLog, error) {
	if err := CheckStored(snapshot, entries); err != nil {
		return nil, err
	}
	l := &entryLog{snapshot: snapshot, base: position{snapshot.Index, snapshot.Term, snapshot.At}}
	if snapshot.Members != nil {
		initial = snapshot.Members
	}
	l.memberships = []indexedMembership{{snapshot.Index, initial}}
	for _, e := range entries {
		if e.Index > snapshot.Index {
			l.append(e)
		}
	}
	l.commit = min(max(commit, snapshot.Index), l.lastIndex())
	l.applied = snapshot.Index
	l.submitted, l.stable = l.lastIndex(), l.lastIndex()
	return l, nil
}

func (l *entryLog) lastIndex() uint64 { return l.base.index + uint64(len(l.entries)) }

func (l *entryLog) last() position {
	if len(l.entries) == 0 {
		return l.base
	}
	e := &l.entries[len(l.entries)-1]
	return position{e.Index, e.Term, e.At}
}

// term returns the term of an entry, and false if the entry is compacted or absent.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.index:
		return l.base.term, true
	case index < l.base.index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base.index-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns the entries after the index after, up to and including the index to.
func (l *entryLog) slice(after, to uint64) []Entry {
	start, end := after-l.base.index, to-l.base.index
	return l.entries[start:end:end]
}

// batch returns entries after the index after, up to and including the index to, if
// there are any. It returns at least one of them, and further ones as long as their
// data is at most maxBytes in total.
func (l *entryLog) batch(after, to uint64, maxBytes int) []Entry {
	all := l.slice(after, to)
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if size > maxBytes && i > 0 {
			return all[:i:i]
		}
	}
	return all
}

func (l *entryLog) append(entries ...Entry) {
	l.entries = append(l.entries, entries...)
	for i := range entries {
		if e := &entries[i]; e.Members != nil {
			l.memberships = append(l.memberships, indexedMembership{e.Index, e.Members})
		}
	}
}

// membership returns the last membership of the log.
func (l *entryLog) membership() indexedMembership { return l.memberships[len(l.memberships)-1] }

// membershipAsOf returns the membership as of the entry index.
func (l *entryLog) membershipAsOf(index uint64) Membership {
	found := l.memberships[0].members
	for _, m := range l.memberships {
		if m.index <= index {
			found = m.members
		}
	}
	return found
}

// truncateAfter removes all entries after index.
func (l *entryLog) truncateAfter(index uint64) {
	l.entries = append([]Entry(nil), l.slice(l.base.index, index)...)
	l.submitted, l.stable = min(l.submitted, index), min(l.stable, index)
	for len(l.memberships) > 1 && l.membership().index > index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// merge adds entries of the leader that follow a matching entry and replaces
// conflicting ones. Committed entries cannot conflict and are skipped.
func (l *entryLog) merge(entries []Entry) {
	for i, e := range entries {
		if e.Index <= l.commit || l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncateAfter(e.Index - 1)
		}
		l.append(entries[i:]...)
		return
	}
}

// conflict returns the term of the entry index, which does not match that of the
// leader, and the first index of that term. It returns 0 and the index after the
// last entry if the entry is absent.
func (l *entryLog) conflict(index uint64) (term, first uint64) {
	term, ok := l.term(index)
	if !ok {
		return 0, l.lastIndex() + 1
	}
	for first = index; first > l.commit+1 && l.matches(first-1, term); {
		first--
	}
	return term, first
}

// lastOfTerm returns the last index of term at or before index, and false if the
// log contains no such entry.
func (l *entryLog) lastOfTerm(term, index uint64) (uint64, bool) {
	for i := min(index, l.lastIndex()); i >= l.base.index; i-- {
		t, _ := l.term(i)
		if t == term {
			return i, true
		}
		if t < term || i == 0 {
			break
		}
	}
	return 0, false
}

// upToDate reports whether a log whose last entry is (index, term) is at least as
// up to date as this one (Raft paper, section 5.4.1).
func (l *entryLog) upToDate(index, term uint64) bool {
	last := l.last()
	return term > last.term || term == last.term && index >= last.index
}

// compact makes state the snapshot as of the entry index and drops the entries up
// to index, except for the last keep of them.
func (l *entryLog) compact(index uint64, state []byte, keep uint64) error {
	if index <= l.snapshot.Index || index > l.applied {
		return fmt.Errorf("changelog: cannot compact at entry %d: last snapshot %d, last applied entry %d",
			index, l.snapshot.Index, l.applied)
	}
	e := l.entries[index-l.base.index-1]
	l.snapshot = Snapshot{Index: index, Term: e.Term, At: e.At, State: state, Members: l.membershipAsOf(index)}
	if index-l.base.index <= keep {
		return nil
	}
	cut := index - keep - l.base.index
	for len(l.memberships) > 1 && l.memberships[1].index <= index-keep {
		l.memberships = l.memberships[1:]
	}
	e = l.entries[cut-1]
	l.entries = append([]Entry(nil), l.entries[cut:]...)
	l.base = position{e.Index, e.Term, e.At}
	return nil
}

// install replaces the whole log with a snapshot.
func (l *entryLog) install(s Snapshot) {
	*l = entryLog{
		snapshot: s, base: position{s.Index, s.Term, s.At}, commit: s.Index, applied: s.Index, submitted: s.Index, stable: s.Index,
		memberships: []indexedMembership{{s.Index, s.Members}},
	}
}
