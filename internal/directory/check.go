package directory

import (
	"fmt"

	"cassiawood/internal/document"
)

// checkChange returns the refusal of a change that conflicts with the document in
// force, or nil.
func (s *State) checkChange(c ChangePrepared) *Answer {
	refusal := &Answer{ChangeID: c.ChangeID}
	section, exists := s.sections[c.Section]
	if exists && section.Team != c.Team {
		refusal.Reason = fmt.Sprintf("section %q belongs to team %s and not to team %s", c.Section, section.Team, c.Team)
		return refusal
	}
	var version uint64
	if exists {
		version = section.Version
	}
	if c.BaseVersion != version {
		refusal.Reason = fmt.Sprintf("section %q is at version %d and the change is based on version %d", c.Section, version, c.BaseVersion)
		if exists {
			refusal.Winner = &Winner{Author: section.Author, Team: section.Team, Version: version, Text: section.Text}
			refusal.Reason += fmt.Sprintf("; %s of team %s wrote version %d", section.Author, section.Team, version)
		}
		return refusal
	}
	if refusal.Reason = s.conflictReason(c); refusal.Reason != "" {
		return refusal
	}
	return nil
}

// conflictReason returns the reason why the services of a change are refused, or
// "".
func (s *State) conflictReason(c ChangePrepared) string {
	names := map[string]bool{}
	announced := map[string]bool{}
	addresses := map[addressKey]bool{}
	for _, service := range c.Services {
		if service.Name == "" || !validAddress(service.Address) {
			return fmt.Sprintf("service %q of section %q lacks a name or address", service.Name, c.Section)
		}
		if names[service.Name] || addresses[serviceKey(service)] || announced[announcedName(service)] {
			return fmt.Sprintf("section %q of team %s uses the name, address or announced name of service %q twice",
				c.Section, c.Team, service.Name)
		}
		names[service.Name], addresses[serviceKey(service)], announced[announcedName(service)] = true, true, true
		if reason := s.serviceConflictReason(c, service); reason != "" {
			return reason
		}
	}
	return ""
}

// serviceConflictReason returns the reason why one service of a change conflicts
// with the services in force or with the quarantine, or "".
func (s *State) serviceConflictReason(c ChangePrepared, service document.Service) string {
	if other, ok := s.services[service.Name]; ok {
		if other.Section != c.Section {
			return s.usedTwiceReason(c, fmt.Sprintf("service %q", service.Name), other)
		}
		// The present endpoints announced the old name and would still get the traffic.
		if len(other.table.endpointIDs) > 0 && announcedName(other.Service) != announcedName(service) {
			return fmt.Sprintf("service %q has backend servers that announce %q; stop them before it is announced as %q",
				service.Name, announcedName(other.Service), announcedName(service))
		}
	}
	if other, ok := s.services[s.servicesByAnnouncedName[announcedName(service)]]; ok && other.Section != c.Section {
		return s.usedTwiceReason(c, fmt.Sprintf("announced name %q", announcedName(service)), other)
	}
	other, ok := s.servicesByAddress.get(serviceKey(service))
	if !ok {
		return ""
	}
	if other.Section != c.Section {
		return s.usedTwiceReason(c, fmt.Sprintf("address %s", service.Address), other)
	}
	// Within a section an address may go to another service only after the
	// quarantine, which begins with the change that releases it.
	if other.Name != service.Name {
		return fmt.Sprintf("address %s of service %q cannot go to service %q: flows of %q may use it for %v after its release",
			service.Address, other.Name, service.Name, other.Name, QuarantineDuration)
	}
	return ""
}

// usedTwiceReason returns a reason that names both sections and teams that use
// the same service name, announced name or address.
func (s *State) usedTwiceReason(c ChangePrepared, usedThing string, other *ServiceState) string {
	team := ""
	if section, ok := s.sections[other.Section]; ok {
		team = section.Team
	}
	reason := fmt.Sprintf("%s is used by section %q of team %s and by section %q of team %s",
		usedThing, other.Section, team, c.Section, c.Team)
	if other.Quarantined {
		reason += fmt.Sprintf("; it was released and stays reserved for %v", QuarantineDuration)
	}
	return reason
}
