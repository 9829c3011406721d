package cluster

import (
	"fmt"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/replica"
	"cassiawood/internal/voters"
	"cassiawood/internal/wire/wirepb"
)

// requestJoin sends a join request to all known control hosts while this host hears no leader. A leader that has
// removed this host sends it nothing, so a leader that is only known counts as none.
func (d *stateDuty) requestJoin() {
	hearsLeader := d.status.Leader != 0 && d.status.LastContact >= 0 && d.now-d.status.LastContact <= maxContactAge
	if hearsLeader || d.now < d.nextJoinAt {
		return
	}
	d.nextJoinAt = d.now + joinInterval
	request := joinEnvelope(d.self, false)
	asked := map[string]bool{d.self.Address: true}
	sendOnce := func(address string) {
		if !asked[address] {
			asked[address] = true
			d.linksInbox.Offer(sendTo{address: address, envelope: request})
		}
	}
	for _, m := range d.status.Members {
		sendOnce(m.Address)
	}
	for _, seed := range d.seeds {
		sendOnce(seed)
	}
	// All seeds may have been replaced for good. A host that sends to this one has it among the members, by the identity
	// that was lost with the disk.
	for address := range d.steering.heardAt {
		sendOnce(address)
	}
}

func joinEnvelope(m changelog.Member, forwarded bool) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_JoinRequest{
		JoinRequest: &wirepb.JoinRequest{Id: m.ID, Address: m.Address, Domain: m.Domain, Forwarded: forwarded},
	}}
}

// handleJoinRequest stores a join request on the leader. Other hosts forward it to the leader,
// whose address the joining host may not know.
func (d *stateDuty) handleJoinRequest(e joinRequest) {
	d.firstStart.recordJoining(d.now, e.member.Address, e.member.ID)
	if d.isLeader() {
		d.joinRequests[e.member.ID] = pendingJoin{e.member, d.now}
		d.changeMembership()
		return
	}
	if leader := d.leaderAddress(); leader != "" && !e.forwarded {
		d.log.Info("request to join handed on", "host", e.member.Address, "id", e.member.ID, "leader", leader)
		d.linksInbox.Offer(sendTo{address: leader, envelope: joinEnvelope(e.member, true)})
	}
}

// changeMembership proposes the next membership change, one at a time.
func (d *stateDuty) changeMembership() {
	for id, at := range d.leavingSaidAt {
		if d.now-at > leavingLifetime {
			delete(d.leavingSaidAt, id)
		}
	}
	if !d.isLeader() || d.status.MembershipChanging || d.awaitsProposal() {
		return
	}
	view := voters.View{
		Self: d.self.ID, Members: d.status.Members, MatchIndex: d.status.MatchIndex, CommitIndex: d.status.Commit,
		SinceContact: map[uint64]time.Duration{}, Domains: d.memberDomains, Leaving: map[uint64]bool{},
	}
	for id := range d.leavingSaidAt {
		view.Leaving[id] = true
	}
	for id, contact := range d.status.MemberContact {
		view.SinceContact[id] = d.now - contact
	}
	for id, j := range d.joinRequests {
		if d.now-j.requestedAt > joinRequestLifetime {
			delete(d.joinRequests, id)
			continue
		}
		view.Joining = append(view.Joining, j.member)
	}
	next, reason, ok := d.policy.Next(view)
	if !ok {
		return
	}
	d.proposedMembers, d.membershipProposedAt = next, d.now
	d.log.Info("membership changes", "reason", reason, "from", fmt.Sprint(d.status.Members), "to", fmt.Sprint(next))
	d.logInbox.Offer(replica.ProposeMembers{Members: next})
}

// awaitsProposal reports whether the last proposed membership change may still get into the log.
func (d *stateDuty) awaitsProposal() bool {
	return d.now-d.membershipProposedAt < proposalTimeout && membershipDiffers(d.status.Members, d.proposedMembers)
}
