package wire_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cassiawood/internal/changelog"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

func drawEntry(t *rapid.T) changelog.Entry {
	return changelog.Entry{
		Index: rapid.Uint64().Draw(t, "index"), Term: rapid.Uint64().Draw(t, "term"),
		At: time.Duration(rapid.Int64().Draw(t, "at")), Data: rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(t, "data"),
	}
}

func drawMessage(t *rapid.T) changelog.Message {
	uint64s := rapid.Uint64Max(1 << 62)
	m := changelog.Message{
		Kind: changelog.Kind(rapid.IntRange(1, 10).Draw(t, "kind")), From: uint64s.Draw(t, "from"), To: uint64s.Draw(t, "to"),
		Term: uint64s.Draw(t, "term"), Index: uint64s.Draw(t, "index"), LogTerm: uint64s.Draw(t, "logTerm"),
		Commit: uint64s.Draw(t, "commit"), Reject: rapid.Bool().Draw(t, "reject"), RejectHint: uint64s.Draw(t, "hint"),
		Context: uint64s.Draw(t, "context"),
	}
	switch m.Kind {
	case changelog.KindAppend:
		for range rapid.IntRange(0, 3).Draw(t, "entries") {
			m.Entries = append(m.Entries, drawEntry(t))
		}
	case changelog.KindSnapshot:
		e := drawEntry(t)
		m.Snapshot = &changelog.Snapshot{Index: e.Index, Term: e.Term, At: e.At, State: e.Data}
	}
	return m
}

// TestLogMessageRoundTrip guards against a field that is lost between two members of
// the log, such as the term of a snapshot.
func TestLogMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t)
		data, err := proto.Marshal(wire.LogMessageToProto(m))
		if err != nil {
			t.Fatal(err)
		}
		var p wirepb.LogMessage
		if err := proto.Unmarshal(data, &p); err != nil {
			t.Fatal(err)
		}
		if got, err := wire.LogMessageFromProto(&p); err != nil || !reflect.DeepEqual(got, m) {
			t.Fatalf("got %+v, %v; sent %+v", got, err, m)
		}
	})
}

// TestHighestTerm guards against a message with the highest term, which would end all elections: the term
// of the next one would be 0, below that of all members.
func TestHighestTerm(t *testing.T) {
	members := map[uint64]*changelog.Node{}
	for id := uint64(1); id <= 3; id++ {
		n, err := changelog.New(changelog.Config{ID: id, Members: []uint64{1, 2, 3}, Seed: id}, changelog.HardState{}, changelog.Snapshot{}, nil)
		if err != nil {
			t.Fatal(err)
		}
		members[id] = n
	}
	for _, kind := range []changelog.Kind{changelog.KindAppend, changelog.KindVote, changelog.KindVoteReply, changelog.KindSnapshot} {
		p := wire.LogMessageToProto(changelog.Message{Kind: kind, From: 2, To: 1, Term: math.MaxUint64, Snapshot: &changelog.Snapshot{}})
		if m, err := wire.LogMessageFromProto(p); err == nil {
			members[1].Step(m)
		}
	}
	for now := time.Hour; now < time.Hour+time.Minute; now += 50 * time.Millisecond {
		var messages []changelog.Message
		for _, n := range members {
			n.Tick(now)
			for n.HasReady() {
				messages = append(messages, n.Ready().Messages...)
				n.Advance()
			}
		}
		for _, m := range messages {
			members[m.To].Step(m)
		}
	}
	for _, n := range members {
		if n.Status().Role == changelog.Leader {
			return
		}
	}
	t.Fatalf("no leader after a minute, term %d", members[1].Status().Term)
}

// FuzzLogMessage guards against a received message that crashes the process, either in the
// conversion or in the member of the log that handles it.
func FuzzLogMessage(f *testing.F) {
	for _, m := range []changelog.Message{
		{Kind: changelog.KindVote, From: 2, To: 1, Term: 1, Context: 1},
		{Kind: changelog.KindAppend, From: 2, To: 1, Term: 1, Entries: []changelog.Entry{{Index: 1, Term: 1, Data: []byte("a")}}},
		{Kind: changelog.KindSnapshot, From: 2, To: 1, Term: 2, Snapshot: &changelog.Snapshot{Index: 9, Term: 1}},
		{Kind: changelog.KindAppendReply, From: 2, To: 1, Term: 1, Index: 1, Context: 1},
	} {
		data, err := proto.Marshal(wire.LogMessageToProto(m))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, true)
		f.Add(data, false)
	}
	f.Fuzz(func(t *testing.T, data []byte, leader bool) {
		var p wirepb.LogMessage
		if proto.Unmarshal(data, &p) != nil {
			return
		}
		m, err := wire.LogMessageFromProto(&p)
		if err != nil {
			return
		}
		n := startMember(t, leader)
		for range 2 {
			n.Step(m)
			for n.HasReady() {
				n.Ready()
				n.Advance()
			}
			n.Tick(time.Hour + 10*time.Minute)
		}
	})
}

// startMember returns member 1 of 3 with three log entries, as leader if leader is true.
func startMember(t *testing.T, leader bool) *changelog.Node {
	entries := []changelog.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 1}, {Index: 3, Term: 2}}
	n, err := changelog.New(changelog.Config{ID: 1, Members: []uint64{1, 2, 3}}, changelog.HardState{Term: 2, Commit: 1},
		changelog.Snapshot{}, entries)
	if err != nil {
		t.Fatal(err)
	}
	n.Tick(time.Hour)
	if !leader {
		return n
	}
	n.Tick(time.Hour + time.Second)
	for _, reply := range []changelog.Kind{changelog.KindPreVoteReply, changelog.KindVoteReply} {
		n.Step(changelog.Message{Kind: reply, From: 2, To: 1, Term: 3, Context: n.Ready().Messages[0].Context})
		n.Advance()
	}
	if n.Status().Role != changelog.Leader {
		t.Fatal("member 1 is not the leader")
	}
	return n
}
