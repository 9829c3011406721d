package wire

import (
	"fmt"
	"net/netip"
	"time"

	"cassiawood/internal/registry"
	"cassiawood/internal/wire/wirepb"
)

// EndpointReportToProto converts an endpoint of the registry. Times are sent as durations
// relative to now, because the clocks of hosts differ.
func EndpointReportToProto(e registry.Endpoint, now time.Duration) *wirepb.EndpointReport {
	p := &wirepb.EndpointReport{
		Id: e.ID, Name: e.Name, BornMs: e.StartedAtMs, Seq: e.Seq, Service: e.Service, Domain: e.Domain, Slots: e.Slots,
		State: uint32(e.State), ColdForMs: max(0, e.ColdUntil-now).Milliseconds(), AgeMs: (now - e.LastReportAt).Milliseconds(), Silent: e.Silent,
	}
	if e.Address.IsValid() {
		p.Address = e.Address.String()
	}
	return p
}

// EndpointReportFromProto converts an endpoint from another host. Durations in the message
// become times of this host's clock, relative to now.
func EndpointReportFromProto(p *wirepb.EndpointReport, now time.Duration) (registry.Endpoint, error) {
	e := registry.Endpoint{
		ID: p.GetId(), Name: p.GetName(), StartedAtMs: p.GetBornMs(), Seq: p.GetSeq(), Service: p.GetService(), Domain: p.GetDomain(),
		Slots: p.GetSlots(), State: registry.State(p.GetState()), ColdUntil: now + milliseconds(p.GetColdForMs()),
		LastReportAt: now - milliseconds(p.GetAgeMs()), Silent: p.GetSilent(),
	}
	if p.GetState() < uint32(registry.Ready) || p.GetState() > uint32(registry.Gone) {
		return e, fmt.Errorf("endpoint %s: unknown state %d", e.Name, p.GetState())
	}
	if p.GetAddress() == "" {
		return e, nil
	}
	address, err := netip.ParseAddrPort(p.GetAddress())
	if err != nil {
		return e, fmt.Errorf("endpoint %s: %w", e.Name, err)
	}
	e.Address = address
	return e, nil
}
