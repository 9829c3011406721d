package main

import (
	"fmt"
	"strings"

	"cassiawood/internal/operator"
)

// count returns a number with its noun, such as "1 section" or "2 sections".
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// remainingConnections returns the number of remaining connections as a clause.
func remainingConnections(n int) string {
	if n == 1 {
		return "1 connection remains"
	}
	return count(n, "connection") + " remain"
}

// joinNames joins names with commas and "and".
func joinNames(names []string) string {
	if len(names) < 2 {
		return strings.Join(names, "")
	}
	return strings.Join(names[:len(names)-1], ", ") + " and " + names[len(names)-1]
}

func describeAnswer(a operator.SaveResult) string {
	text := fmt.Sprintf("section %q is now version %d and in force in %s", a.Section, a.Version, joinNames(a.InForce))
	if len(a.InForce) == 0 {
		text = fmt.Sprintf("section %q is now version %d, but no failure domain is in service to follow it", a.Section, a.Version)
	}
	if len(a.OutOfService) > 0 {
		text += fmt.Sprintf("; out of service, so not asked: %s", joinNames(a.OutOfService))
	}
	return text
}

func describeService(s operator.Service) string {
	priority := "unbroken first"
	if s.Priority == "balance" {
		priority = "balance first"
	}
	text := fmt.Sprintf("%s, %d of %s ready", priority, s.Ready, count(s.BackendServers, "backend server"))
	return appendIfKnown(text, s.Connections, count(s.Connections, "connection"))
}

func describeBackendServer(b operator.BackendServer) string {
	switch {
	case b.State == "draining" || b.State == "leaving":
		return appendIfKnown(b.State, b.Connections, remainingConnections(b.Connections))
	case b.State == "starting":
		return "starting, takes no connections yet"
	case b.Suspected:
		return appendIfKnown("suspected to have failed, takes no new connections", b.Connections, remainingConnections(b.Connections))
	case b.SlotsInUse == operator.UnknownCount:
		return appendIfKnown(b.State+", "+count(b.Slots, "place"), b.Connections, count(b.Connections, "connection"))
	default:
		text := fmt.Sprintf("%s, %d of %s in use", b.State, b.SlotsInUse, count(b.Slots, "place"))
		return appendIfKnown(text, b.Connections, count(b.Connections, "connection"))
	}
}

// appendIfKnown appends words, which describe number, unless number is not known.
func appendIfKnown(text string, number int, words string) string {
	if number == operator.UnknownCount {
		return text
	}
	return text + ", " + words
}

func describeHost(h operator.Host) string {
	text := h.State
	if h.Kind == "entry" {
		switch h.State {
		case "joined":
			text = "joined, copies what it will hold"
		case "draining":
			text = appendIfKnown("draining", h.Connections, remainingConnections(h.Connections))
		case "active":
			text = appendIfKnown("active", h.Connections, count(h.Connections, "connection"))
		}
	}
	switch {
	case h.EntriesBehind == 1:
		text += ", 1 entry behind"
	case h.EntriesBehind > 1:
		text += fmt.Sprintf(", %d entries behind", h.EntriesBehind)
	}
	return text
}

func describeFailureDomain(d operator.FailureDomain) string {
	state := "in service"
	if d.OutOfService {
		state = "out of service"
		if d.DeclaredBy != "" {
			state += " (declared by " + d.DeclaredBy + ")"
		}
	}
	return fmt.Sprintf("%s, %d of %s in contact, %s",
		state, d.HostsInContact, count(d.Hosts, "host"), count(d.BackendServers, "backend server"))
}
