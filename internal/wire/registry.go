package wire

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"cassiawood/internal/registry"
	"cassiawood/internal/wire/wirepb"
)

// EndpointReportToProto converts an endpoint of the registry. Times are sent as durations
// relative to now, because the clocks of hosts differ.
func EndpointReportToProto(e registry.Endpoint, now time.Duration) *wirepb.EndpointReport {
	p := &wirepb.EndpointReport{
		Id: e.ID, Name: e.Name, BornMs: e.StartedAtMs, Seq: e.Seq, RemovalSeq: e.RemovalSeq, Service: e.Service, Domain: e.Domain, Slots: e.Slots,
		State: uint32(e.State), ColdForMs: max(0, e.ColdUntil-now).Milliseconds(), AgeMs: (now - e.LastReportAt).Milliseconds(), Silent: e.Silent, ColdSeq: e.ColdSeq,
	}
	if e.Address.IsValid() {
		p.Address = e.Address.String()
	}
	return p
}

// maxReportAge bounds the age of a report. Endpoints are forgotten after minutes without one.
const maxReportAge = 24 * time.Hour

// EndpointReportFromProto converts an endpoint from another host or from a saved registry. Durations
// in the message become times of this host's clock, relative to now. It returns an error for an
// endpoint that registry.Endpoint.Check rejects.
func EndpointReportFromProto(p *wirepb.EndpointReport, now time.Duration) (registry.Endpoint, error) {
	e := registry.Endpoint{
		ID: p.GetId(), Name: p.GetName(), StartedAtMs: p.GetBornMs(), Seq: p.GetSeq(), RemovalSeq: p.GetRemovalSeq(), Service: p.GetService(), Domain: p.GetDomain(),
		Slots: p.GetSlots(), State: registry.State(p.GetState()), ColdUntil: now + milliseconds(p.GetColdForMs()),
		LastReportAt: now - milliseconds(p.GetAgeMs()), Silent: p.GetSilent(), ColdSeq: p.GetColdSeq(),
	}
	if p.GetState() > math.MaxUint8 {
		return e, fmt.Errorf("endpoint %s: unknown state %d", e.Name, p.GetState())
	}
	if age, limit := p.GetAgeMs(), maxReportAge.Milliseconds(); age < 0 || age > limit || p.GetColdForMs() > limit {
		return e, fmt.Errorf("endpoint %s: an age of %d ms or a slow start of %d ms is out of range", e.Name, age, p.GetColdForMs())
	}
	if p.GetAddress() != "" {
		address, err := netip.ParseAddrPort(p.GetAddress())
		if err != nil {
			return e, fmt.Errorf("endpoint %s: %w", e.Name, err)
		}
		e.Address = address
	}
	if err := e.Check(e.ColdUntil - now); err != nil {
		return e, fmt.Errorf("endpoint %s: %w", e.Name, err)
	}
	return e, nil
}

// DigestsToProto converts the digests of a registry.
func DigestsToProto(d registry.Digests) []uint64 { return d[:] }

// DigestsFromProto converts digests from another host. It returns false if there are none, or those of another number
// of groups.
func DigestsFromProto(list []uint64) (registry.Digests, bool) {
	if len(list) != registry.DigestGroups {
		return registry.Digests{}, false
	}
	return registry.Digests(list), true
}
