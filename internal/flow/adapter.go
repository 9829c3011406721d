package flow

import (
	"net/netip"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
)

// directoryTable implements Table on the replicated directory.
type directoryTable struct{ *directory.State }

// TableOf returns a directory as a Table.
func TableOf(s *directory.State) Table { return directoryTable{s} }

func serviceOf(s *directory.ServiceState) Service {
	return Service{
		Name: s.Name, Address: s.Address, Protocol: uint8(s.Protocol), BucketCount: s.BucketCount(),
		BalanceFirst: s.Priority == document.BalanceFirst, Quarantined: s.Quarantined, Buckets: s,
	}
}

// Service implements Table.
func (t directoryTable) Service(address netip.AddrPort, protocol uint8) (Service, bool) {
	s, ok := t.ServiceByAddress(address, document.Protocol(protocol))
	if !ok {
		return Service{}, false
	}
	return serviceOf(s), true
}

// ServiceNamed implements Table.
func (t directoryTable) ServiceNamed(name string) (Service, bool) {
	s, ok := t.State.Service(name)
	if !ok {
		return Service{}, false
	}
	return serviceOf(s), true
}

// EndpointIDsAt implements Table.
func (t directoryTable) EndpointIDsAt(address netip.AddrPort) []directory.EndpointID {
	return t.EndpointIDsByAddress(address)
}

// EndpointIDsOf implements Table.
func (t directoryTable) EndpointIDsOf(service string) []directory.EndpointID {
	s, ok := t.State.Service(service)
	if !ok {
		return nil
	}
	return s.EndpointIDs()
}
