// Package wire is the internal protocol: the generated code in wirepb and the
// conversion between its messages and the typed ones of the pure packages.
package wire

import (
	"fmt"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/wire/wirepb"
)

// LogMessageToProto converts a message of the replicated log.
//
// wirepb.Snapshot has no fields for the term and time of the snapshot's last
// entry, so a message with a snapshot carries an entry of that index without a command.
func LogMessageToProto(m changelog.Message) *wirepb.LogMessage {
	p := &wirepb.LogMessage{
		Kind: uint32(m.Kind), From: m.From, To: m.To, Term: m.Term, LogIndex: m.Index, LogTerm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, RejectHint: m.Hint, Context: m.Context,
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, EntryToProto(e))
	}
	if s := m.Snapshot; s != nil {
		p.Snapshot = &wirepb.Snapshot{Index: s.Index, State: s.State}
		p.Entries = []*wirepb.Entry{EntryToProto(changelog.Entry{Index: s.Index, Term: s.Term, At: s.At})}
	}
	return p
}

// LogMessageFromProto converts a received message and refuses one that no
// member sends.
func LogMessageFromProto(p *wirepb.LogMessage) (changelog.Message, error) {
	kind := p.GetKind()
	if kind == 0 || kind > uint32(changelog.KindLearnerReply) {
		return changelog.Message{}, fmt.Errorf("wire: unknown kind %d of log message", kind)
	}
	m := changelog.Message{
		Kind: changelog.Kind(kind), From: p.GetFrom(), To: p.GetTo(), Term: p.GetTerm(), Index: p.GetLogIndex(),
		LogTerm: p.GetLogTerm(), Commit: p.GetCommit(), Reject: p.GetReject(), Hint: p.GetRejectHint(), Context: p.GetContext(),
	}
	isSnapshot := m.Kind == changelog.KindSnapshot
	if isSnapshot != (p.GetSnapshot() != nil) || len(p.GetEntries()) > 0 && !isSnapshot && m.Kind != changelog.KindAppend {
		return changelog.Message{}, fmt.Errorf("wire: log message of kind %d has the wrong content", kind)
	}
	if isSnapshot {
		var err error
		m.Snapshot, err = snapshotFromProto(p)
		return m, err
	}
	for _, e := range p.GetEntries() {
		m.Entries = append(m.Entries, EntryFromProto(e))
	}
	return m, nil
}

func snapshotFromProto(p *wirepb.LogMessage) (*changelog.Snapshot, error) {
	s := p.GetSnapshot()
	if len(p.GetEntries()) != 1 || p.GetEntries()[0].GetIndex() != s.GetIndex() {
		return nil, fmt.Errorf("wire: the snapshot at entry %d lacks the term of that entry", s.GetIndex())
	}
	last := EntryFromProto(p.GetEntries()[0])
	return &changelog.Snapshot{Index: last.Index, Term: last.Term, At: last.At, State: s.GetState()}, nil
}

// EntryToProto converts an entry of the log; the data is not copied.
func EntryToProto(e changelog.Entry) *wirepb.Entry {
	return &wirepb.Entry{Index: e.Index, Term: e.Term, AtNs: int64(e.At), Command: e.Data}
}

// EntryFromProto converts a received entry; the data is not copied.
func EntryFromProto(p *wirepb.Entry) changelog.Entry {
	return changelog.Entry{Index: p.GetIndex(), Term: p.GetTerm(), At: time.Duration(p.GetAtNs()), Data: p.GetCommand()}
}
