package cluster

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/changelog"
	"cassiawood/internal/registry"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// signOfLifeInterval is the time between updates that carry only signs of life.
	signOfLifeInterval = 400 * time.Millisecond
	// registrySaveInterval is the minimum time between writes of the registry to disk.
	registrySaveInterval = 700 * time.Millisecond
	// leaveSaveInterval replaces it when an endpoint leaves, so that a restart of all control hosts does
	// not bring it back.
	leaveSaveInterval = 100 * time.Millisecond
)

// handleReport merges a report of a backend server and sends it to the other control hosts before
// acknowledging it.
func (d *stateDuty) handleReport(e endpointReported) {
	if d.isStopping {
		// The endpoint calls another host. A report that is merged here might not be sent on any more.
		e.reply.Offer(answer{err: errStopping})
		return
	}
	reported := e.endpoint
	if desired := d.routes.Desired(); reported.State != registry.Gone && desired.Version > 0 && !slices.Contains(desired.Services, reported.Service) {
		e.reply.Offer(answer{err: RejectedError{Reason: fmt.Sprintf("no service has the name %q", reported.Service)}})
		return
	}
	reported.LastReportAt, reported.ColdUntil = d.now, d.now+e.coldFor
	if d.registry.MergeReport(reported) {
		merged, _ := d.registry.Get(reported.ID)
		d.endpointChanged(merged, "report")
		d.broadcast(&wirepb.EndpointUpdate{Reports: []*wirepb.EndpointReport{wire.EndpointReportToProto(merged, d.now)}})
	} else if reported.State != registry.Gone {
		d.signsOfLife = append(d.signsOfLife, &wirepb.SignOfLife{Id: reported.ID, BornMs: reported.StartedAtMs, Seq: reported.Seq})
	}
	d.metrics.reports.Inc(1)
	e.reply.Offer(answer{reportTo: d.reportAddress(reported)})
}

func (d *stateDuty) endpointChanged(e registry.Endpoint, source string) {
	d.registryChanged, d.unpublishedEndpoints[e.ID], d.lastFullState.frames = true, true, nil
	d.endpointLeft = d.endpointLeft || !e.AcceptsFlows()
	d.log.Info("endpoint changed", "endpoint", e.Name, "service", e.Service, "state", e.State.String(), "removalReported", e.RemovalReported(),
		"address", e.Address, "domain", e.Domain, "born", e.StartedAtMs, "seq", e.Seq, "slots", e.Slots, "coldMs", max(0, e.ColdUntil-d.now).Milliseconds(), "source", source)
}

func (d *stateDuty) broadcast(u *wirepb.EndpointUpdate) {
	d.linksInbox.Offer(broadcast{envelope: &wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{EndpointUpdate: u}}})
}

// broadcastSignsOfLife sends the other control hosts the endpoints that have reported to this one. It is
// this host's own sign of life as well, so it is sent without endpoints too. What it says of this host is
// repeated each time, since any message may be lost.
func (d *stateDuty) broadcastSignsOfLife() {
	if d.now-d.signsOfLifeSentAt < signOfLifeInterval {
		return
	}
	d.signsOfLifeSentAt = d.now
	d.linksInbox.Offer(membersChanged{members: d.status.Members})
	d.broadcast(&wirepb.EndpointUpdate{
		From: d.self.Address, FromId: d.self.ID, FromDomain: d.self.Domain, Stopping: d.isStopping, Alive: d.signsOfLife,
		Digests: wire.DigestsToProto(d.registry.Digests()), Evacuation: wire.EvacuationsToProto(d.routes.Evacuations()),
	})
	d.signsOfLife = nil
}

// mergePeerUpdate merges the update of another control host and sends it all endpoints if it asks.
func (d *stateDuty) mergePeerUpdate(u *wirepb.EndpointUpdate) {
	if u.GetFromId() != 0 {
		d.memberDomains[u.GetFromId()] = u.GetFromDomain()
	}
	if u.GetFrom() != "" {
		d.steering.heardAt[u.GetFrom()] = d.now
	}
	if u.GetStopping() {
		d.recordLeaving(u.GetFromId(), u.GetFrom())
	}
	for _, report := range u.GetReports() {
		e, err := wire.EndpointReportFromProto(report, d.now)
		if err != nil {
			d.log.Warn("invalid endpoint report from another control host", "from", u.GetFrom(), "error", err)
			continue
		}
		if d.registry.Merge(e) {
			merged, _ := d.registry.Get(e.ID)
			d.endpointChanged(merged, "control host")
		}
	}
	for _, s := range u.GetAlive() {
		if d.registry.RecordSignOfLife(s.GetId(), s.GetBornMs(), s.GetSeq(), d.now) {
			e, _ := d.registry.Get(s.GetId())
			d.endpointChanged(e, "sign of life")
		}
	}
	d.comparePeer(u)
	d.compareEvacuations(u)
	if len(u.GetDemand()) > 0 {
		d.peerDemand[u.GetFrom()] = demandReport{receivedAt: d.now, demand: u.GetDemand()}
	}
	d.mergePeerDelays(u)
	d.handlePeerRotation(u)
	if u.GetRequestAll() {
		d.sendReports(u.GetFrom(), d.allEndpoints())
	}
}

// comparePeer compares the endpoints of another control host with those of this one and sends it what differs. An
// update is lost with its connection, which may be dead for seconds before its sender notices, and the endpoint
// does not report the same change again.
func (d *stateDuty) comparePeer(u *wirepb.EndpointUpdate) {
	digests, ok := wire.DigestsFromProto(u.GetDigests())
	isMember := slices.ContainsFunc(d.status.Members, func(m changelog.Member) bool { return m.Address == u.GetFrom() })
	if !ok || !isMember {
		return
	}
	groups := d.comparison.Compare(u.GetFrom(), digests, d.registry.Digests())
	if len(groups) == 0 {
		return
	}
	var reports []*wirepb.EndpointReport
	for _, report := range d.allEndpoints() {
		if slices.ContainsFunc(groups, func(group int) bool { return registry.InGroup(report.GetId(), group) }) {
			reports = append(reports, report)
		}
	}
	d.log.Info("endpoints differ from those of another control host", "peer", u.GetFrom(), "groups", len(groups), "sent", len(reports))
	d.sendReports(u.GetFrom(), reports)
}

// sendReports sends endpoints to one other control host.
func (d *stateDuty) sendReports(address string, reports []*wirepb.EndpointReport) {
	u := &wirepb.EndpointUpdate{Reports: reports, From: d.self.Address}
	d.linksInbox.Offer(sendTo{address: address, envelope: &wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{EndpointUpdate: u}}})
}

func (d *stateDuty) allEndpoints() []*wirepb.EndpointReport {
	var reports []*wirepb.EndpointReport
	for _, e := range d.registry.All() {
		reports = append(reports, wire.EndpointReportToProto(e, d.now))
	}
	return reports
}

// saveRegistry hands the registry to the duty that writes it to disk. The file only shortens the
// time without known endpoints after all hosts were down, so its loss is harmless.
func (d *stateDuty) saveRegistry() {
	interval := registrySaveInterval
	if d.endpointLeft {
		interval = leaveSaveInterval
	}
	if !d.registryChanged || d.now-d.registrySavedAt < interval {
		return
	}
	data, err := proto.Marshal(&wirepb.EndpointUpdate{Reports: d.allEndpoints()})
	if err != nil {
		d.log.Error("cannot encode registry", "error", err)
		return
	}
	d.registryChanged, d.endpointLeft, d.registrySavedAt = false, false, d.now
	d.registrySnapshots.Offer(data)
}

// loadRegistry merges a saved registry into r. It is unknown how long the process was down, so
// endpoints that were not silent count as having reported now. Invalid entries, which an earlier
// build may have saved, are left out and joined to the error.
func loadRegistry(r *registry.Registry, data []byte, now, silentAfter time.Duration) error {
	r.Tick(now)
	u := &wirepb.EndpointUpdate{}
	if err := proto.Unmarshal(data, u); err != nil {
		return err
	}
	var invalid []error
	for _, report := range u.GetReports() {
		e, err := wire.EndpointReportFromProto(report, now)
		if err != nil {
			invalid = append(invalid, err)
			continue
		}
		if e.LastReportAt = now; e.Silent {
			e.LastReportAt = now - silentAfter
		}
		r.Merge(e)
	}
	return errors.Join(invalid...)
}
