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
	// spreadInterval is the time between updates that carry mere signs of life.
	spreadInterval = 400 * time.Millisecond
	// saveInterval bounds how often the registry is written to the disk.
	saveInterval = 700 * time.Millisecond
)

// reported merges a statement of a backend server and spreads it before it is
// acknowledged.
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
		d.broadcast(&wirepb.EndpointUpdate{Reports: []*wirepb.EndpointReport{wire.EndpointReportToProto(merged, d.now)}})
	} else if s.State != registry.Gone {
		d.alive = append(d.alive, &wirepb.SignOfLife{Id: s.ID, Seq: s.Seq})
	}
	d.metrics.reports.Inc(1)
	e.reply.Offer(answer{})
}

func (d *stateDuty) endpointChanged(e registry.Endpoint, source string) {
	d.changed, d.unpublished[e.ID] = true, true
	d.log.Info("endpoint", "endpoint", e.Name, "service", e.Service, "state", e.State.String(), "address", e.Address, "domain", e.Domain,
		"born", e.StartedAtMs, "seq", e.Seq, "slots", e.Slots, "coldMs", max(0, e.ColdUntil-d.now).Milliseconds(), "source", source)
}

func (d *stateDuty) broadcast(u *wirepb.EndpointUpdate) {
	d.links.Offer(broadcast{envelope: &wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{EndpointUpdate: u}}})
}

// spreadAlive tells the other control hosts which endpoints were heard here.
func (d *stateDuty) spreadAlive() {
	if len(d.alive) == 0 || d.now-d.spreadAt < spreadInterval {
		return
	}
	d.spreadAt = d.now
	d.broadcast(&wirepb.EndpointUpdate{Alive: d.alive})
	d.alive = nil
}

// peerUpdate merges what another control host knows.
func (d *stateDuty) peerUpdate(u *wirepb.EndpointUpdate) {
	if u.GetFromId() != 0 {
		d.domains[u.GetFromId()] = u.GetFromDomain()
	}
	for _, report := range u.GetReports() {
		e, err := wire.EndpointReportFromProto(report, d.now)
		if err != nil {
			d.log.Warn("endpoint of another control host not taken", "from", u.GetFrom(), "error", err)
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
		reports = append(reports, wire.EndpointReportToProto(e, d.now))
	}
	return reports
}

// saveRegistry hands the registry to the duty that writes it. It only shortens
// the time without known endpoints after all hosts were down, so a loss of it is borne.
func (d *stateDuty) saveRegistry() {
	if !d.changed || d.now-d.savedAt < saveInterval {
		return
	}
	data, err := proto.Marshal(&wirepb.EndpointUpdate{Reports: d.allEndpoints()})
	if err != nil {
		d.log.Error("registry does not encode", "error", err)
		return
	}
	d.changed, d.savedAt = false, d.now
	d.files.Offer(data)
}

// loadRegistry takes over a saved registry. How long the process was down is not
// known, so endpoints that were not silent count as heard now.
func loadRegistry(r *registry.Registry, data []byte, now, silent time.Duration) error {
	r.Tick(now)
	u := &wirepb.EndpointUpdate{}
	if err := proto.Unmarshal(data, u); err != nil {
		return err
	}
	for _, report := range u.GetReports() {
		e, err := wire.EndpointReportFromProto(report, now)
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
