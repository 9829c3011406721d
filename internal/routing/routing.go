// Package routing holds the desired state of a site: which services serve which
// address. It is replaced as a whole, and the highest version is in force.
package routing

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"cassiawood/internal/suggest"
)

// Desired is a complete desired state. It must not be changed after Check.
type Desired struct {
	Version  uint64
	Routes   []Route
	Services []string
	// ColdStarts are the slow starts of the services that declare one.
	ColdStarts []ColdStart
	// IdleTimeout is the time after which a flow without packets may be forgotten.
	IdleTimeout time.Duration
	// Document is the text that the operator sent. Reads return it unchanged.
	Document []byte
}

// Route is an address that callers connect to, with the services that serve it.
type Route struct {
	Name    string
	Address netip.AddrPort
	Timeout time.Duration // of one request
	Shares  []Share
	// Unused are services that the route names without giving them flows.
	Unused []string
	// Regions are those whose endpoints may serve the route; empty if all may.
	Regions []string
	// Idempotent is set if all requests of the route may run more than once, so that callers may
	// repeat them.
	Idempotent bool
}

// Share is the part of a route's new flows that a service gets.
type Share struct {
	Service string
	Weight  uint32
}

// Finding is one problem in a desired state.
type Finding struct {
	Place string // path in the document
	Text  string
}

// String returns the place and the text of the finding.
func (f Finding) String() string { return f.Place + ": " + f.Text }

// Check returns all problems that prevent the desired state from being put in force.
func (d *Desired) Check() []Finding {
	var findings []Finding
	add := func(i int, format string, args ...any) {
		findings = append(findings, Finding{fmt.Sprintf("route %d (%s)", i+1, d.Routes[i].Name), fmt.Sprintf(format, args...)})
	}
	addresses := map[netip.AddrPort]int{}
	for i, r := range d.Routes {
		if first, ok := addresses[r.Address]; ok {
			add(i, "has the address %s of route %d", r.Address, first+1)
		} else {
			addresses[r.Address] = i
		}
		if r.Timeout <= 0 {
			add(i, "needs a timeout above 0")
		}
		total, names := uint64(0), slices.Clone(r.Unused)
		for _, s := range r.Shares {
			total += uint64(s.Weight)
			names = append(names, s.Service)
		}
		for _, name := range names {
			if !slices.Contains(d.Services, name) {
				add(i, "names the service %q, which is not declared%s", name, d.suggestService(name))
			}
		}
		if total == 0 {
			add(i, "gives no service a weight above 0")
		}
	}
	return append(findings, d.checkColdStarts()...)
}

// suggestService returns a hint at the declared service that was probably meant, or "".
func (d *Desired) suggestService(name string) string {
	if meant := suggest.Closest(name, d.Services); meant != "" {
		return fmt.Sprintf("; did you mean %q?", meant)
	}
	return ""
}

// Table is the part of the desired state that entry hosts need.
type Table struct {
	Version     uint64
	IdleTimeout time.Duration
	Routes      []TableRoute
	ColdStarts  []ColdStart // of services that declare one
}

// TableRoute is a route with the services for new flows, and the former services of
// earlier versions, whose open flows keep their endpoints.
type TableRoute struct {
	Address        netip.AddrPort
	Shares         []Share
	FormerServices []string
	Domains        []string // failure domains whose endpoints may serve it; empty if all may
	Idempotent     bool
}

// State is the replicated state machine. It holds the desired state with the highest version, and the evacuations.
type State struct {
	desired     Desired
	former      map[netip.AddrPort][]string // former services by address
	evacuations Evacuations
}

// NewState returns a state without a desired state, which has version 0.
func NewState() *State { return &State{former: map[netip.AddrPort][]string{}} }

// Restore returns the state from the content of a snapshot.
func Restore(desired Desired, former map[netip.AddrPort][]string, evacuations Evacuations) *State {
	if former == nil {
		former = map[netip.AddrPort][]string{}
	}
	return &State{desired: desired, former: former, evacuations: evacuations}
}

// Desired returns the desired state in force. Its version is 0 before the first one.
func (s *State) Desired() Desired { return s.desired }

// FormerServices returns the former services, which only earlier versions name, by address.
func (s *State) FormerServices() map[netip.AddrPort][]string { return s.former }

// Evacuations returns the evacuated failure domains. The result must not be changed.
func (s *State) Evacuations() Evacuations { return s.evacuations }

// ApplyEvacuation applies an order from the log entry with the given index, and reports whether it has changed the set of
// evacuated failure domains.
func (s *State) ApplyEvacuation(order EvacuationOrder, index uint64) bool {
	var changed bool
	s.evacuations, changed = s.evacuations.apply(order, index)
	return changed
}

// Apply puts a checked desired state in force if its version is the highest so far, and
// reports whether it did.
func (s *State) Apply(d Desired) bool {
	if d.Version <= s.desired.Version {
		return false
	}
	former := make(map[netip.AddrPort][]string, len(d.Routes))
	before := make(map[netip.AddrPort][]Share, len(s.desired.Routes))
	for _, r := range s.desired.Routes {
		before[r.Address] = r.Shares
	}
	for _, r := range d.Routes {
		if kept := formerServices(s.former[r.Address], before[r.Address], r.Shares); len(kept) > 0 {
			former[r.Address] = kept
		}
	}
	s.desired, s.former = d, former
	return true
}

// formerServices returns the services of earlier versions that are not among the route's
// services now.
func formerServices(former []string, before, now []Share) []string {
	var kept []string
	add := func(service string) {
		current := slices.ContainsFunc(now, func(s Share) bool { return s.Service == service })
		if !current && !slices.Contains(kept, service) {
			kept = append(kept, service)
		}
	}
	for _, service := range former {
		add(service)
	}
	for _, s := range before {
		add(s.Service)
	}
	return kept
}

// Table returns the part of the desired state that entry hosts need.
func (s *State) Table() Table {
	t := Table{Version: s.desired.Version, IdleTimeout: s.desired.IdleTimeout, ColdStarts: s.desired.ColdStarts, Routes: make([]TableRoute, 0, len(s.desired.Routes))}
	for _, r := range s.desired.Routes {
		t.Routes = append(t.Routes, TableRoute{Address: r.Address, Shares: r.Shares, FormerServices: s.former[r.Address], Idempotent: r.Idempotent})
	}
	return t
}
