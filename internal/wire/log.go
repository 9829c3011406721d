package wire

import (
	"fmt"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/wire/wirepb"
)

// LogMessageToProto converts a log replication message for another control host.
func LogMessageToProto(m changelog.Message) *wirepb.LogMessage {
	p := &wirepb.LogMessage{
		Kind: uint32(m.Kind), From: m.From, To: m.To, Term: m.Term, LogIndex: m.Index, LogTerm: m.LogTerm,
		Commit: m.Commit, Reject: m.Reject, RejectHint: m.RejectHint, Context: m.Context, Address: m.Address,
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, &wirepb.Entry{Index: e.Index, Term: e.Term, AtNs: int64(e.At), Command: e.Data, Members: MembersToProto(e.Members)})
	}
	if s := m.Snapshot; s != nil {
		p.Snapshot = &wirepb.Snapshot{Index: s.Index, Term: s.Term, AtNs: int64(s.At), State: s.State, Members: MembersToProto(s.Members)}
	}
	return p
}

// maxTerm bounds the terms that are taken from other members, far above any number of elections. The
// term after the highest number would be 0, so a message with it would end all elections.
const maxTerm = 1 << 62

// LogMessageFromProto converts a log replication message from another control host.
func LogMessageFromProto(p *wirepb.LogMessage) (changelog.Message, error) {
	kind := changelog.Kind(p.GetKind())
	if p.GetKind() == 0 || p.GetKind() > uint32(changelog.KindLostDisk) {
		return changelog.Message{}, fmt.Errorf("log message has unknown kind %d", p.GetKind())
	}
	if p.GetTerm() > maxTerm {
		return changelog.Message{}, fmt.Errorf("log message has term %d, above %d", p.GetTerm(), uint64(maxTerm))
	}
	m := changelog.Message{
		Kind: kind, From: p.GetFrom(), To: p.GetTo(), Term: p.GetTerm(), Index: p.GetLogIndex(), LogTerm: p.GetLogTerm(),
		Commit: p.GetCommit(), Reject: p.GetReject(), RejectHint: p.GetRejectHint(), Context: p.GetContext(), Address: p.GetAddress(),
	}
	for _, e := range p.GetEntries() {
		m.Entries = append(m.Entries, changelog.Entry{
			Index: e.GetIndex(), Term: e.GetTerm(), At: time.Duration(e.GetAtNs()), Data: e.GetCommand(), Members: MembersFromProto(e.GetMembers()),
		})
	}
	if s := p.GetSnapshot(); s != nil {
		m.Snapshot = &changelog.Snapshot{
			Index: s.GetIndex(), Term: s.GetTerm(), At: time.Duration(s.GetAtNs()), State: s.GetState(), Members: MembersFromProto(s.GetMembers()),
		}
	}
	return m, nil
}

// MembersToProto converts a membership of the log.
func MembersToProto(membership changelog.Membership) []*wirepb.Member {
	var list []*wirepb.Member
	for _, m := range membership {
		list = append(list, &wirepb.Member{Id: m.ID, Address: m.Address, Domain: m.Domain, Voter: m.Voter})
	}
	return list
}

// MembersFromProto converts a membership of the log from another host.
func MembersFromProto(list []*wirepb.Member) changelog.Membership {
	var membership changelog.Membership
	for _, m := range list {
		membership = append(membership, changelog.Member{ID: m.GetId(), Address: m.GetAddress(), Domain: m.GetDomain(), Voter: m.GetVoter()})
	}
	return membership
}
