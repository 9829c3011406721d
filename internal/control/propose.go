package control

import (
	"fmt"
	"net/netip"

	"cassiawood/internal/announce"
	"cassiawood/internal/audit"
	"cassiawood/internal/directory"
	"cassiawood/internal/member"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// replyTarget is the destination of the reply to a proposal.
type replyTarget struct {
	out       *ring.Ring[*wirepb.Envelope]
	requestID uint64 // of the request on its stream
}

func (r replyTarget) send(reply *wirepb.ProposeReply) {
	reply.Id = r.requestID
	r.out.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_ProposeReply{ProposeReply: reply}})
}

// handlePropose passes a proposal of an entry host to the leases. A host that is not
// the leader replies with the leader's address. While there is no known leader it
// does not reply, and the entry host repeats the proposal.
func (d *applyDuty) handlePropose(e proposeEvent) {
	to := replyTarget{out: e.out, requestID: e.request.GetId()}
	if !d.leases.Leading() {
		if leader, ok := d.linkAddresses[d.status.Leader]; ok && d.status.Leader != d.status.ID {
			to.send(&wirepb.ProposeReply{Leader: leader})
		}
		return
	}
	d.lastReplyID++
	event, err := d.eventFromProposal(e.request, d.lastReplyID)
	if err != nil {
		to.send(&wirepb.ProposeReply{Reason: err.Error()})
		return
	}
	d.pendingReplies[d.lastReplyID] = to
	d.stepLeases(event)
	if probed, ok := event.(member.Probed); ok {
		d.log.Debug("probe", "instance", probed.Instance, "healthy", probed.Healthy)
		delete(d.pendingReplies, d.lastReplyID)
		to.send(&wirepb.ProposeReply{Accepted: true})
	}
}

func (d *applyDuty) eventFromProposal(request *wirepb.ProposeRequest, id uint64) (member.Event, error) {
	switch body := request.GetBody().(type) {
	case *wirepb.ProposeRequest_Announcement:
		a, err := wire.AnnouncementFromProto(body.Announcement)
		if err != nil {
			return nil, err
		}
		if err := d.checkSource(a); err != nil {
			return nil, err
		}
		return member.Announced{ID: id, Endpoint: a.Endpoint, Lease: a.Lease, Token: a.Token}, nil
	case *wirepb.ProposeRequest_Host:
		host, err := wire.HostFromProto(body.Host)
		return member.HostHello{ID: id, Host: host}, err
	case *wirepb.ProposeRequest_HostStopping:
		ref := body.HostStopping
		return member.HostStopping{ID: id, Name: ref.GetName(), Incarnation: ref.GetIncarnation()}, nil
	case *wirepb.ProposeRequest_HostComplete:
		ref := body.HostComplete
		return member.HostComplete{ID: id, Name: ref.GetName(), Incarnation: ref.GetIncarnation()}, nil
	case *wirepb.ProposeRequest_Probe:
		return member.Probed{Instance: body.Probe.GetInstance(), Healthy: body.Probe.GetHealthy()}, nil
	default:
		return nil, fmt.Errorf("unknown proposal %T", body)
	}
}

// checkSource checks that the service accepts a backend server at the announced address.
func (d *applyDuty) checkSource(a announce.Announcement) error {
	service, ok := d.state.ServiceAnnouncedAs(a.Endpoint.Service)
	if ok && !sourceAllowed(service.AllowedSources, a.Endpoint.Address.Addr()) {
		return fmt.Errorf("the service %q does not accept backend servers at %s", service.Name, a.Endpoint.Address.Addr())
	}
	return nil
}

// sourceAllowed reports whether the address is in one of the allowed prefixes. An
// empty list allows every address.
func sourceAllowed(allowed []netip.Prefix, source netip.Addr) bool {
	for _, prefix := range allowed {
		if prefix.Contains(source.Unmap()) {
			return true
		}
	}
	return len(allowed) == 0
}

// stepLeases passes an event to the leases and carries out their effects.
func (d *applyDuty) stepLeases(event member.Event) {
	for _, effect := range d.leases.Step(d.now, event) {
		switch e := effect.(type) {
		case member.Propose:
			d.propose(e.Command)
		case member.Reply:
			if to, ok := d.pendingReplies[e.ID]; ok {
				delete(d.pendingReplies, e.ID)
				to.send(&wirepb.ProposeReply{Accepted: e.Accepted, Reason: e.Reason})
			}
		}
	}
}

// propose passes a command to the log and reports whether the log's inbox took
// it. The proposer repeats a lost proposal: the leases and waiting saves after a
// time, operators by resending the same change ID.
func (d *applyDuty) propose(command directory.Command) bool {
	data, err := wire.EncodeCommand(command)
	if err != nil {
		d.log.Error("cannot encode command", "command", fmt.Sprintf("%T", command), "error", err)
		return false
	}
	return d.logInbox.Offer(replica.Propose{Data: data})
}

// appendAudit passes a record to the audit duty.
func (d *applyDuty) appendAudit(record audit.Record) {
	if _, err := d.auditInbox.Put(record); err != nil {
		d.log.Warn("audit record dropped", "index", record.Index, "error", err)
	}
}
