package wire

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/wire/wirepb"
)

// EncodeDirectoryState encodes a directory snapshot. Equal snapshots have equal encodings.
func EncodeDirectoryState(snap directory.Snapshot) ([]byte, error) {
	pb := &wirepb.DirectoryState{
		Index: snap.Index, NowNs: int64(snap.Now), Buckets: uint32(snap.Buckets), LastEndpointId: uint32(snap.LastID),
		Tombstones: idsToProto(snap.Tombstones),
	}
	err := errors.Join(documentToProto(pb, snap), endpointsAndHostsToProto(pb, snap))
	if err != nil {
		return nil, fmt.Errorf("encode directory state at index %d: %w", snap.Index, err)
	}
	for _, t := range snap.Tables {
		pb.Tables = append(pb.Tables, tableStateToProto(t))
	}
	for _, d := range snap.Domains {
		pb.Domains = append(pb.Domains, &wirepb.FailureDomain{Name: d.Name, Out: d.Out})
	}
	for _, m := range snap.Moves {
		pb.Moves = append(pb.Moves, &wirepb.PreparedMove{Index: m.Index, Service: m.Service})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(pb)
	if err != nil {
		return nil, fmt.Errorf("encode directory state at index %d: %w", snap.Index, err)
	}
	return data, nil
}

// DecodeDirectoryState decodes a directory snapshot. Like DecodeCommand, it rejects fields that
// are unknown to this version.
func DecodeDirectoryState(data []byte) (directory.Snapshot, error) {
	var pb wirepb.DirectoryState
	if err := proto.Unmarshal(data, &pb); err != nil {
		return directory.Snapshot{}, fmt.Errorf("decode directory state: %w", err)
	}
	if err := rejectUnknownFields(pb.ProtoReflect()); err != nil {
		return directory.Snapshot{}, fmt.Errorf("decode directory state: %w", err)
	}
	snap := directory.Snapshot{
		Index: pb.GetIndex(), Now: time.Duration(pb.GetNowNs()), Buckets: int(pb.GetBuckets()),
		LastID: directory.EndpointID(pb.GetLastEndpointId()), Tombstones: idsFromProto(pb.GetTombstones()),
	}
	if err := errors.Join(documentFromProto(&snap, &pb), endpointsAndHostsFromProto(&snap, &pb)); err != nil {
		return directory.Snapshot{}, fmt.Errorf("decode directory state at index %d: %w", snap.Index, err)
	}
	for _, t := range pb.GetTables() {
		snap.Tables = append(snap.Tables, tableStateFromProto(t))
	}
	for _, d := range pb.GetDomains() {
		snap.Domains = append(snap.Domains, directory.DomainSnapshot{Name: d.GetName(), Out: d.GetOut()})
	}
	for _, m := range pb.GetMoves() {
		snap.Moves = append(snap.Moves, directory.MoveSnapshot{Index: m.GetIndex(), Service: m.GetService()})
	}
	return snap, nil
}

// documentToProto copies the sections, quarantined services, pending changes and answers
// of snap to pb.
func documentToProto(pb *wirepb.DirectoryState, snap directory.Snapshot) error {
	for _, s := range snap.Sections {
		services, err := servicesToProto(s.Services)
		if err != nil {
			return err
		}
		pb.Sections = append(pb.Sections, &wirepb.SectionState{
			Heading: s.Heading, Team: s.Team, Author: s.Author, Text: s.Text, Version: s.Version,
			ChangeId: s.ChangeID, Services: services, AtNs: int64(s.At), Earlier: revisionsToProto(s.Earlier),
		})
	}
	for _, q := range snap.Quarantine {
		service, err := serviceToProto(q.Service)
		if err != nil {
			return err
		}
		pb.Quarantine = append(pb.Quarantine, &wirepb.QuarantinedService{
			Service: service, Section: q.Section, ReleasedAtNs: int64(q.ReleasedAt),
		})
	}
	for _, p := range snap.Pending {
		change, err := changeToProto(p.ChangePrepared)
		if err != nil {
			return err
		}
		pb.Pending = append(pb.Pending, &wirepb.PendingChange{Change: change, Index: p.Index, AtNs: int64(p.At)})
	}
	for _, a := range snap.Answers {
		pb.Answers = append(pb.Answers, answerToProto(a))
	}
	return nil
}

func revisionsToProto(revisions []directory.Revision) []*wirepb.SectionRevision {
	var list []*wirepb.SectionRevision
	for _, r := range revisions {
		list = append(list, &wirepb.SectionRevision{
			Version: r.Version, AtNs: int64(r.At), Team: r.Team, Author: r.Author, ChangeId: r.ChangeID, Text: r.Text,
		})
	}
	return list
}

func revisionsFromProto(list []*wirepb.SectionRevision) []directory.Revision {
	var revisions []directory.Revision
	for _, r := range list {
		revisions = append(revisions, directory.Revision{
			Version: r.GetVersion(), At: time.Duration(r.GetAtNs()), Team: r.GetTeam(), Author: r.GetAuthor(),
			ChangeID: r.GetChangeId(), Text: r.GetText(),
		})
	}
	return revisions
}

// documentFromProto is the inverse of documentToProto.
func documentFromProto(snap *directory.Snapshot, pb *wirepb.DirectoryState) error {
	for _, s := range pb.GetSections() {
		services, err := servicesFromProto(s.GetServices())
		if err != nil {
			return err
		}
		snap.Sections = append(snap.Sections, directory.Section{
			Section: document.Section{Heading: s.GetHeading(), Team: s.GetTeam(), Text: s.GetText(), Version: s.GetVersion()},
			Author:  s.GetAuthor(), ChangeID: s.GetChangeId(), Services: services,
			At: time.Duration(s.GetAtNs()), Earlier: revisionsFromProto(s.GetEarlier()),
		})
	}
	for _, q := range pb.GetQuarantine() {
		service, err := serviceFromProto(q.GetService())
		if err != nil {
			return err
		}
		snap.Quarantine = append(snap.Quarantine, directory.QuarantinedService{
			Service: service, Section: q.GetSection(), ReleasedAt: time.Duration(q.GetReleasedAtNs()),
		})
	}
	for _, p := range pb.GetPending() {
		change, err := changeFromProto(p.GetChange())
		if err != nil {
			return err
		}
		snap.Pending = append(snap.Pending, directory.PendingChange{
			ChangePrepared: change, Index: p.GetIndex(), At: time.Duration(p.GetAtNs()),
		})
	}
	for _, a := range pb.GetAnswers() {
		snap.Answers = append(snap.Answers, answerFromProto(a))
	}
	return nil
}

func answerToProto(a directory.Answer) *wirepb.ChangeAnswer {
	pb := &wirepb.ChangeAnswer{ChangeId: a.ChangeID, Accepted: a.Accepted, Version: a.Version, Reason: a.Reason}
	if w := a.Winner; w != nil {
		pb.Winner = &wirepb.ChangeWinner{Author: w.Author, Team: w.Team, Version: w.Version, Text: w.Text}
	}
	return pb
}

func answerFromProto(pb *wirepb.ChangeAnswer) directory.Answer {
	a := directory.Answer{
		ChangeID: pb.GetChangeId(), Accepted: pb.GetAccepted(), Version: pb.GetVersion(), Reason: pb.GetReason(),
	}
	if w := pb.GetWinner(); w != nil {
		a.Winner = &directory.Winner{Author: w.GetAuthor(), Team: w.GetTeam(), Version: w.GetVersion(), Text: w.GetText()}
	}
	return a
}

// endpointsAndHostsToProto copies the endpoints and hosts of snap to pb.
func endpointsAndHostsToProto(pb *wirepb.DirectoryState, snap directory.Snapshot) error {
	for _, e := range snap.Endpoints {
		endpoint, err := DirectoryEndpointToProto(e)
		if err != nil {
			return err
		}
		pb.Endpoints = append(pb.Endpoints, endpoint)
		if e.Suspected {
			pb.Suspected = append(pb.Suspected, uint32(e.ID))
		}
	}
	for _, h := range snap.Hosts {
		pb.Hosts = append(pb.Hosts, HostToProto(h))
	}
	return nil
}

// endpointsAndHostsFromProto is the inverse of endpointsAndHostsToProto.
func endpointsAndHostsFromProto(snap *directory.Snapshot, pb *wirepb.DirectoryState) error {
	suspected := map[directory.EndpointID]bool{}
	for _, id := range pb.GetSuspected() {
		suspected[directory.EndpointID(id)] = true
	}
	for _, e := range pb.GetEndpoints() {
		endpoint, err := DirectoryEndpointFromProto(e)
		if err != nil {
			return err
		}
		endpoint.Suspected = suspected[endpoint.ID]
		snap.Endpoints = append(snap.Endpoints, endpoint)
	}
	for _, h := range pb.GetHosts() {
		host, err := HostFromProto(h)
		if err != nil {
			return err
		}
		snap.Hosts = append(snap.Hosts, host)
	}
	return nil
}

func tableStateToProto(t directory.TableSnapshot) *wirepb.TableState {
	pb := &wirepb.TableState{Service: t.Service, Current: idsToProto(t.Current), TrailOf: t.MoveStateOf}
	for _, moveState := range t.MoveStates {
		pb.Trails = append(pb.Trails, &wirepb.Trail{
			Base: uint32(moveState.Base), Next: uint32(moveState.Next), Since: idsToProto(moveState.Since), Prepared: moveState.Prepared,
		})
	}
	return pb
}

func tableStateFromProto(pb *wirepb.TableState) directory.TableSnapshot {
	t := directory.TableSnapshot{Service: pb.GetService(), Current: idsFromProto(pb.GetCurrent()), MoveStateOf: pb.GetTrailOf()}
	for _, trail := range pb.GetTrails() {
		t.MoveStates = append(t.MoveStates, directory.MoveState{
			Base: directory.EndpointID(trail.GetBase()), Next: directory.EndpointID(trail.GetNext()),
			Since: idsFromProto(trail.GetSince()), Prepared: trail.GetPrepared(),
		})
	}
	return t
}

func idsToProto(ids []directory.EndpointID) []uint32 {
	all := make([]uint32, len(ids))
	for i, id := range ids {
		all[i] = uint32(id)
	}
	return all
}

func idsFromProto(ids []uint32) []directory.EndpointID {
	all := make([]directory.EndpointID, len(ids))
	for i, id := range ids {
		all[i] = directory.EndpointID(id)
	}
	return all
}
