package changelog_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiawood/internal/changelog"
)

// schedule runs three members in an order that rapid chooses and shrinks. Each
// member has its own clock; storage keeps what a Ready asked to store.
type schedule struct {
	t         *rapid.T
	nodes     map[uint64]*changelog.Node
	disks     map[uint64]*disk
	now       map[uint64]time.Duration
	net       []changelog.Message
	leaders   map[uint64]uint64
	committed []changelog.Entry
	lost      uint64 // member that has lost its disk and is not repaired yet
}

type disk struct {
	hs       changelog.HardState
	snapshot changelog.Snapshot
	entries  []changelog.Entry
}

func (s *schedule) start(id uint64, rejoining bool) {
	d := s.disks[id]
	cfg := changelog.Config{ID: id, Members: []uint64{1, 2, 3}, Rejoining: rejoining, MaxBatchBytes: 2, MaxInflight: 2}
	n, err := changelog.New(cfg, d.hs, d.snapshot, slices.Clone(d.entries))
	if err != nil {
		s.t.Fatal(err)
	}
	s.nodes[id] = n
	s.tick(id, 1)
}

func (s *schedule) tick(id uint64, d time.Duration) {
	s.now[id] += d
	s.nodes[id].Tick(s.now[id])
	s.work(id)
}

func (s *schedule) work(id uint64) {
	n, d := s.nodes[id], s.disks[id]
	for n.HasReady() {
		r := n.Ready()
		d.store(r)
		s.net = append(s.net, r.Messages...)
		for _, e := range r.Committed {
			s.check(e)
		}
		n.Advance()
	}
	status := n.Status()
	if status.Role == changelog.Leader {
		if known, ok := s.leaders[status.Term]; ok && known != id {
			s.t.Fatalf("members %d and %d lead in term %d", known, id, status.Term)
		}
		s.leaders[status.Term] = id
	}
	if id == s.lost && !status.Rejoining {
		s.lost = 0
	}
}

func (d *disk) store(r changelog.Ready) {
	if r.Snapshot != nil {
		d.snapshot = *r.Snapshot
		if r.Install {
			d.entries = nil
		}
	}
	for _, e := range r.Entries {
		d.entries = append(slices.DeleteFunc(d.entries, func(old changelog.Entry) bool { return old.Index >= e.Index }), e)
	}
	if r.HardState != nil {
		d.hs = *r.HardState
	}
}

func (s *schedule) check(e changelog.Entry) {
	known := len(s.committed)
	switch {
	case int(e.Index) == known+1:
		s.committed = append(s.committed, e)
	case int(e.Index) > known:
		s.t.Fatalf("entry %d is committed before entry %d", e.Index, known+1)
	case s.committed[e.Index-1].Term != e.Term || s.committed[e.Index-1].At != e.At:
		s.t.Fatalf("committed entry %+v changed to %+v", s.committed[e.Index-1], e)
	}
	if e.Index > 1 && e.At < s.committed[e.Index-2].At {
		s.t.Fatalf("the time of entry %d goes back", e.Index)
	}
}

func (s *schedule) deliver(i int) {
	m := s.net[i]
	s.nodes[m.To].Step(m)
	s.work(m.To)
}

func (s *schedule) actions() map[string]func(*rapid.T) {
	member := rapid.Uint64Range(1, 3)
	message := func(t *rapid.T) int {
		if len(s.net) == 0 {
			t.Skip("no message")
		}
		return rapid.IntRange(0, len(s.net)-1).Draw(t, "message")
	}
	return map[string]func(*rapid.T){
		"":        func(*rapid.T) {},
		"tick":    func(t *rapid.T) { s.tick(member.Draw(t, "member"), 100*time.Millisecond) },
		"deliver": func(t *rapid.T) { i := message(t); s.deliver(i); s.net = slices.Delete(s.net, i, i+1) },
		"double":  func(t *rapid.T) { s.deliver(message(t)) },
		"lose":    func(t *rapid.T) { i := message(t); s.net = slices.Delete(s.net, i, i+1) },
		"rounds": func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "rounds") {
				for id := range s.nodes {
					s.now[id] = max(s.now[1], s.now[2], s.now[3])
				}
				for id := uint64(1); id <= 3; id++ {
					s.tick(id, 50*time.Millisecond)
				}
				for i := 0; i < len(s.net) && i < 100; i++ {
					s.deliver(i)
				}
				s.net = nil
			}
		},
		"propose": func(t *rapid.T) {
			id := member.Draw(t, "member")
			_, _, _ = s.nodes[id].Propose([]byte("xy"))
			s.work(id)
		},
		"compact": func(t *rapid.T) {
			id := member.Draw(t, "member")
			_ = s.nodes[id].Compact(s.nodes[id].Status().Applied, []byte("state"))
			s.work(id)
		},
		"restart": func(t *rapid.T) { s.start(member.Draw(t, "member"), true) },
		"loseDisk": func(t *rapid.T) {
			if s.lost != 0 || len(s.committed) == 0 {
				t.Skip("one disk at a time")
			}
			s.lost = member.Draw(t, "member")
			s.disks[s.lost] = &disk{}
			s.start(s.lost, true)
		},
	}
}

// Guards against an order of messages, restarts and one lost disk at a time
// that gives a term two leaders or changes a committed entry.
func TestAnyScheduleIsSafe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &schedule{
			t: t, nodes: map[uint64]*changelog.Node{}, disks: map[uint64]*disk{}, leaders: map[uint64]uint64{},
			now: map[uint64]time.Duration{1: time.Hour, 2: time.Hour, 3: time.Hour},
		}
		for id := uint64(1); id <= 3; id++ {
			s.disks[id] = &disk{}
			s.start(id, false)
		}
		t.Repeat(s.actions())
	})
}
