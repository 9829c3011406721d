package cluster

import (
	"slices"

	"cassiawood/internal/replica"
	"cassiawood/internal/routing"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// compareEvacuations compares the evacuations of another control host with those of this one. The leader proposes to restore them where
// one of the two has lost them: an earlier build leaves them out of the snapshots that it writes.
func (d *stateDuty) compareEvacuations(u *wirepb.EndpointUpdate) {
	if _, isMember := d.status.Members.Find(u.GetFromId()); !isMember || len(u.GetDigests()) == 0 {
		return // of a host that has been removed, or not a sign of life
	}
	d.evacuation.supporters[u.GetFrom()] = u.GetEvacuation() != nil
	if u.GetEvacuation() == nil || !d.isLeader() || d.now-d.evacuation.repairedAt < evacuationRepairInterval {
		return
	}
	received, own := wire.EvacuationsFromProto(u.GetEvacuation()), d.routes.Evacuations()
	restored, ok := d.evacuationsToRestore(received, own, u.GetFromId())
	if !ok {
		return
	}
	data, err := wire.EncodeEvacuationOrder(routing.EvacuationOrder{Restore: &restored})
	if err != nil {
		d.log.Error("cannot encode evacuations", "error", err)
		return
	}
	d.evacuation.repairedAt = d.now
	d.log.Warn("evacuations differ from those of another control host", "peer", u.GetFrom(), "revision", own.Revision, "domains", own.Domains,
		"peerRevision", received.Revision, "peerDomains", received.Domains)
	d.logInbox.Offer(replica.Propose{Data: data, Term: d.status.Term})
}

// evacuationsToRestore returns the state that the leader has to propose after it received the state of the member with the given ID.
// A host whose log is behind has lost nothing.
func (d *stateDuty) evacuationsToRestore(received, own routing.Evacuations, from uint64) (routing.Evacuations, bool) {
	switch {
	case received.Revision > own.Revision:
		return received, d.appliedIndex >= received.Revision
	case received.Revision == own.Revision:
		return own.Union(received), !slices.Equal(own.Domains, received.Domains)
	default:
		hasEntries := d.status.MatchIndex[from] >= own.Revision
		return own, hasEntries && d.now-d.evacuation.changedAt >= evacuationRepairInterval
	}
}
