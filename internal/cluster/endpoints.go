package cluster

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/registry"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// spreadInterval is the time between updates that carry only signs of life.
	spreadInterval = 400 * time.Millisecond
	// saveInterval is the minimum time between writes of the registry to disk.
	saveInterval = 700 * time.Millisecond
)

// reported merges a report of a backend server and sends it to the other control hosts before
// acknowledging it.
func (d *stateDuty) reported(e reported) {
	s := e.endpoint
	if desired := d.routes.Desired(); s.State != registry.Gone && desired.Version > 0 && !slices.Contains(desired.Services, s.Service) {
		e.reply.Offer(answer{err: RefusedError{Reason: fmt.Sprintf("no service has the name %q", s.Service)}})
		return
	}
	s.LastReportAt, s.ColdUntil = d.now, d.now+e.coldFor
	if d.registry.Merge(s) {
		merged, _ := d.registry.Get(s.ID)
		d.endpointChanged(merged, "report")
		d.broadcast(&wirepb.EndpointUpdate{Reports: []*wirepb.EndpointReport{wire.EndpointToProto(merged, d.now)}})
	} else if s.State != registry.Gone {
		d.alive = append(d.alive, &wirepb.SignOfLife{Id: s.ID, Seq: s.Seq})
	}
	d.metrics.reports.Inc(1)
	e.reply.Offer(answer{})
}

func (d *stateDuty) endpointChanged(e registry.Endpoint, source string) {
	d.changed, d.unpublished[e.ID] = true, true
	d.log.Info("endpoint changed", "endpoint", e.Name, "service", e.Service, "state", e.State.String(), "address", e.Address, "domain", e.Domain,
		"born", e.StartedAtMs, "seq", e.Seq, "slots", e.Slots, "coldMs", max(0, e.ColdUntil-d.now).Milliseconds(), "source", source)
}

func (d *stateDuty) broadcast(u *wirepb.EndpointUpdate) {
	d.links.Offer(broadcast{envelope: &wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{EndpointUpdate: u}}})
}

// spreadAlive sends the other control hosts the endpoints that have reported to this one.
func (d *stateDuty) spreadAlive() {
	if len(d.alive) == 0 || d.now-d.spreadAt < spreadInterval {
		return
	}
	d.spreadAt = d.now
	d.broadcast(&wirepb.EndpointUpdate{Alive: d.alive})
	d.alive = nil
}

// peerUpdate merges the update of another control host and sends it all endpoints if it asks.
func (d *stateDuty) peerUpdate(u *wirepb.EndpointUpdate) {
	if u.GetFromId() != 0 {
		d.domains[u.GetFromId()] = u.GetFromDomain()
	}
	for _, report := range u.GetReports() {
		e, err := wire.EndpointFromProto(report, d.now)
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
		if d.registry.RecordSignOfLife(s.GetId(), s.GetSeq(), d.now) {
			e, _ := d.registry.Get(s.GetId())
			d.endpointChanged(e, "sign of life")
		}
	}
	if len(u.GetDemand()) > 0 {
		d.peerDemand[u.GetFrom()] = demandReport{at: d.now, list: u.GetDemand()}
	}
	if u.GetRequestAll() {
		all := &wirepb.EndpointUpdate{Reports: d.allEndpoints(), From: d.self.Address}
		d.links.Offer(sendTo{address: u.GetFrom(), envelope: &wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{EndpointUpdate: all}}})
	}
}

func (d *stateDuty) allEndpoints() []*wirepb.EndpointReport {
	var reports []*wirepb.EndpointReport
	for _, e := range d.registry.All() {
		reports = append(reports, wire.EndpointToProto(e, d.now))
	}
	return reports
}

// saveRegistry hands the registry to the duty that writes it to disk. The file only shortens the
// time without known endpoints after all hosts were down, so its loss is harmless.
func (d *stateDuty) saveRegistry() {
	if !d.changed || d.now-d.savedAt < saveInterval {
		return
	}
	data, err := proto.Marshal(&wirepb.EndpointUpdate{Reports: d.allEndpoints()})
	if err != nil {
		d.log.Error("cannot encode registry", "error", err)
		return
	}
	d.changed, d.savedAt = false, d.now
	d.files.Offer(data)
}

// loadRegistry merges a saved registry into r. It is unknown how long the process was down, so
// endpoints that were not silent count as having reported now.
func loadRegistry(r *registry.Registry, data []byte, now, silent time.Duration) error {
	r.Tick(now)
	u := &wirepb.EndpointUpdate{}
	if err := proto.Unmarshal(data, u); err != nil {
		return err
	}
	for _, report := range u.GetReports() {
		e, err := wire.EndpointFromProto(report, now)
		if err != nil {
			return err
		}
		if e.LastReportAt = now; e.Silent {
			e.LastReportAt = now - silent
		}
		r.Merge(e)
	}
	return nil
}
