package directory

import (
	"slices"

	"cassiawood/internal/document"
)

// quarantineAddress puts the address of a service into quarantine. Unless the
// service gets another address, its name leads to the quarantined state until
// the quarantine ends.
func (s *State) quarantineAddress(service document.Service) {
	state, ok := s.services[service.Name]
	if !ok {
		return
	}
	quarantined := &ServiceState{
		Service:     service,
		Section:     state.Section,
		Quarantined: true,
		ReleasedAt:  s.now,
		table:       state.table,
	}
	s.servicesByAddress.set(serviceKey(service), quarantined)
	s.quarantine = append(s.quarantine, quarantined)
	s.services[service.Name] = quarantined // setService replaces it if the service has a new address
}

// endQuarantine ends the quarantine of an address that its service uses again.
func (s *State) endQuarantine(key addressKey) {
	s.quarantine = slices.DeleteFunc(s.quarantine, func(q *ServiceState) bool { return serviceKey(q.Service) == key })
}

// expireQuarantine frees the addresses whose quarantine is over, and removes the
// services that have no other address.
func (s *State) expireQuarantine() {
	for len(s.quarantine) > 0 {
		state := s.quarantine[0]
		if s.now-state.ReleasedAt < QuarantineDuration {
			return
		}
		s.quarantine = s.quarantine[1:]
		s.servicesByAddress.remove(serviceKey(state.Service))
		if s.services[state.Name] == state {
			s.removeService(state)
		}
	}
}

// removeService removes a service whose quarantine is over, with its endpoints.
func (s *State) removeService(state *ServiceState) {
	delete(s.services, state.Name)
	for _, id := range sortedKeys(s.endpoints) {
		if e := s.endpoints[id]; e.Service == state.Name {
			s.deleteEndpoint(e)
		}
	}
	s.tombstones = slices.DeleteFunc(s.tombstones, func(id EndpointID) bool { return s.endpoints[id] == nil })
}
