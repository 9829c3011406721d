package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/routing"
	"cassiawood/internal/wire/wirepb"
)

// EncodeDesiredState returns the data of the log entry that puts a desired state in force.
func EncodeDesiredState(d routing.Desired) ([]byte, error) {
	p, err := desiredToProto(d)
	if err != nil {
		return nil, fmt.Errorf("encode desired state %d: %w", d.Version, err)
	}
	data, err := proto.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode desired state %d: %w", d.Version, err)
	}
	return data, nil
}

// DecodeRoutingEntry decodes the data of a log entry: a desired state, or an order to evacuate, which is nil otherwise.
func DecodeRoutingEntry(data []byte) (routing.Desired, *routing.EvacuationOrder, error) {
	p := &wirepb.DesiredState{}
	if err := proto.Unmarshal(data, p); err != nil {
		return routing.Desired{}, nil, fmt.Errorf("decode desired state: %w", err)
	}
	desired, err := desiredFromProto(p)
	return desired, evacuationOrderFromProto(p.GetEvacuation()), err
}

// EncodeRoutingState returns the content of a snapshot of the routing state.
func EncodeRoutingState(s *routing.State) ([]byte, error) {
	desired, err := desiredToProto(s.Desired())
	if err != nil {
		return nil, fmt.Errorf("encode routing state: %w", err)
	}
	p := &wirepb.RoutingState{Desired: desired, Evacuation: EvacuationsToProto(s.Evacuations())}
	for address, services := range s.FormerServices() {
		p.Former = append(p.Former, &wirepb.FormerServices{Address: address.String(), Services: services})
	}
	data, err := proto.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode routing state: %w", err)
	}
	return data, nil
}

// DecodeRoutingState decodes the content of a snapshot of the routing state.
func DecodeRoutingState(data []byte) (*routing.State, error) {
	p := &wirepb.RoutingState{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, fmt.Errorf("decode routing state: %w", err)
	}
	desired, err := desiredFromProto(p.GetDesired())
	if err != nil {
		return nil, err
	}
	former := map[netip.AddrPort][]string{}
	for _, f := range p.GetFormer() {
		address, err := netip.ParseAddrPort(f.GetAddress())
		if err != nil {
			return nil, fmt.Errorf("decode routing state: %w", err)
		}
		former[address] = f.GetServices()
	}
	return routing.Restore(desired, former, EvacuationsFromProto(p.GetEvacuation())), nil
}

func desiredToProto(d routing.Desired) (*wirepb.DesiredState, error) {
	p := &wirepb.DesiredState{
		Version: d.Version, IdleTimeoutMs: d.IdleTimeout.Milliseconds(), Services: d.Services, Document: d.Document,
		ColdStarts: coldStartsToProto(d.ColdStarts, d.Services),
	}
	for _, r := range d.Routes {
		shares, err := sharesToProto(r.Shares, d.Services)
		if err != nil {
			return nil, fmt.Errorf("route %s: %w", r.Name, err)
		}
		p.Routes = append(p.Routes, &wirepb.Route{
			Name: r.Name, Address: r.Address.String(), TimeoutMs: r.Timeout.Milliseconds(), Share: shares, Idempotent: r.Idempotent, Regions: r.Regions,
		})
	}
	return p, nil
}

func desiredFromProto(p *wirepb.DesiredState) (routing.Desired, error) {
	d := routing.Desired{
		Version: p.GetVersion(), IdleTimeout: milliseconds(p.GetIdleTimeoutMs()), Services: p.GetServices(), Document: p.GetDocument(),
	}
	var errs []error
	var err error
	d.ColdStarts, err = coldStartsFromProto(p.GetColdStarts(), d.Services)
	errs = append(errs, err)
	for _, r := range p.GetRoutes() {
		address, err := netip.ParseAddrPort(r.GetAddress())
		shares, errShares := sharesFromProto(r.GetShare(), d.Services)
		errs = append(errs, err, errShares)
		d.Routes = append(d.Routes, routing.Route{
			Name: r.GetName(), Address: address, Timeout: milliseconds(r.GetTimeoutMs()), Shares: shares, Idempotent: r.GetIdempotent(), Regions: r.GetRegions(),
		})
	}
	if err := errors.Join(errs...); err != nil {
		return routing.Desired{}, fmt.Errorf("decode desired state: %w", err)
	}
	return d, nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// sharesToProto returns two values for each share: the position of its service in
// names, and its weight. It returns an error if names lacks the service.
func sharesToProto(shares []routing.Share, names []string) ([]uint32, error) {
	var list []uint32
	for _, s := range shares {
		position := slices.Index(names, s.Service)
		if position < 0 {
			return nil, fmt.Errorf("no service has the name %q", s.Service)
		}
		list = append(list, uint32(position), s.Weight)
	}
	return list, nil
}

func sharesFromProto(list []uint32, names []string) ([]routing.Share, error) {
	if len(list)%2 != 0 {
		return nil, fmt.Errorf("share list has %d values, not pairs of service and weight", len(list))
	}
	var shares []routing.Share
	for i := 0; i < len(list); i += 2 {
		if int(list[i]) >= len(names) {
			return nil, fmt.Errorf("share refers to service %d of a list of %d", list[i], len(names))
		}
		shares = append(shares, routing.Share{Service: names[list[i]], Weight: list[i+1]})
	}
	return shares, nil
}

// TableToProto converts the routes for entry hosts to a compact form, because 1,400
// routes must reach every entry host over a 2 Mbit/s link within seconds.
func TableToProto(t routing.Table) *wirepb.RouteTable {
	p := &wirepb.RouteTable{Version: t.Version, IdleTimeoutMs: t.IdleTimeout.Milliseconds()}
	position := map[string]uint32{}
	intern := func(name string) uint32 {
		i, ok := position[name]
		if !ok {
			i = uint32(len(p.Services))
			position[name] = i
			p.Services = append(p.Services, name)
		}
		return i
	}
	for _, r := range t.Routes {
		route := &wirepb.TableRoute{Address: addressToBigEndian(r.Address), Idempotent: r.Idempotent}
		for _, s := range r.Shares {
			route.Share = append(route.Share, intern(s.Service), s.Weight)
		}
		for _, name := range r.FormerServices {
			route.Former = append(route.Former, intern(name))
		}
		route.Domains = internDomains(p, r.Domains)
		p.Routes = append(p.Routes, route)
	}
	for _, c := range t.ColdStarts {
		intern(c.Service)
	}
	p.ColdStarts = coldStartsToProto(t.ColdStarts, p.Services)
	return p
}

// TableFromProto converts the routes from a control host.
func TableFromProto(p *wirepb.RouteTable) (routing.Table, error) {
	t := routing.Table{Version: p.GetVersion(), IdleTimeout: milliseconds(p.GetIdleTimeoutMs())}
	names := p.GetServices()
	for i, r := range p.GetRoutes() {
		address, err := addressFromBigEndian(r.GetAddress())
		shares, errShares := sharesFromProto(r.GetShare(), names)
		route := routing.TableRoute{Address: address, Shares: shares, Idempotent: r.GetIdempotent()}
		for _, f := range r.GetFormer() {
			if int(f) >= len(names) {
				return t, fmt.Errorf("route %d refers to former service %d of a list of %d", i, f, len(names))
			}
			route.FormerServices = append(route.FormerServices, names[f])
		}
		if err := errors.Join(err, errShares); err != nil {
			return t, fmt.Errorf("route %d: %w", i, err)
		}
		if route.Domains, err = domainsAt(r.GetDomains(), p.GetDomains()); err != nil {
			return t, fmt.Errorf("route %d: %w", i, err)
		}
		if len(shares) == 0 {
			return t, fmt.Errorf("route %d has no service", i)
		}
		t.Routes = append(t.Routes, route)
	}
	var err error
	t.ColdStarts, err = coldStartsFromProto(p.GetColdStarts(), names)
	return t, err
}

// addressToBigEndian returns the bytes of the IP address, then the port in big-endian order.
func addressToBigEndian(a netip.AddrPort) []byte {
	return binary.BigEndian.AppendUint16(a.Addr().AsSlice(), a.Port())
}

func addressFromBigEndian(b []byte) (netip.AddrPort, error) {
	if len(b) < 2 {
		return netip.AddrPort{}, fmt.Errorf("address of %d bytes is too short for a port", len(b))
	}
	portOffset := len(b) - 2
	addr, ok := netip.AddrFromSlice(b[:portOffset])
	if !ok {
		return netip.AddrPort{}, fmt.Errorf("IP address has %d bytes, not 4 or 16", portOffset)
	}
	return netip.AddrPortFrom(addr, binary.BigEndian.Uint16(b[portOffset:])), nil
}
