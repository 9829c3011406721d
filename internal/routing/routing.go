// Package routing is the desired state of a site as a whole: which address is
// served by which services, under one version of which the highest wins.
package routing

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Desired is a complete desired state. It is not changed after Check.
type Desired struct {
	Version  uint64
	Routes   []Route
	Services []string
	// IdleTimeout is the time after which a flow without packets may be forgotten.
	IdleTimeout time.Duration
	// Document is the text as the operator sent it, which reads return.
	Document []byte
}

// Route is an address that callers reach and the services that answer there.
type Route struct {
	Name    string
	Address netip.AddrPort
	Timeout time.Duration // of one request
	Shares  []Share
	// Idempotent says that all requests of the route may run more than once, so callers repeat them.
	Idempotent bool
}

// Share is the part of a route's new flows that a service gets.
type Share struct {
	Service string
	Weight  uint32
}

// Finding is one problem of a desired state.
type Finding struct {
	Place string // path in the document
	Text  string
}

func (f Finding) String() string { return f.Place + ": " + f.Text }

// Check returns all problems that keep a desired state from being put in force.
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
		total := uint64(0)
		for _, s := range r.Shares {
			total += uint64(s.Weight)
			if !slices.Contains(d.Services, s.Service) {
				add(i, "names the service %q, which is not declared", s.Service)
			}
		}
		if total == 0 {
			add(i, "gives no service a weight above 0")
		}
	}
	return findings
}

// Table is what entry hosts need of the desired state.
type Table struct {
	Version     uint64
	IdleTimeout time.Duration
	Routes      []TableRoute
}

// TableRoute is a route with the services that new flows go to and those that
// an earlier version allowed, whose open flows stay where they are.
type TableRoute struct {
	Address    netip.AddrPort
	Shares     []Share
	Former     []string
	Idempotent bool
}

// State is the replicated state machine: the desired state of the highest version.
type State struct {
	desired Desired
	former  map[netip.AddrPort][]string
}

// NewState returns the state before the first version.
func NewState() *State { return &State{former: map[netip.AddrPort][]string{}} }

// Restore returns the state with the content of a snapshot.
func Restore(desired Desired, former map[netip.AddrPort][]string) *State {
	if former == nil {
		former = map[netip.AddrPort][]string{}
	}
	return &State{desired: desired, former: former}
}

// Desired returns the desired state in force. Its version is 0 before the first one.
func (s *State) Desired() Desired { return s.desired }

// Former returns the services that earlier versions allowed, by address.
func (s *State) Former() map[netip.AddrPort][]string { return s.former }

// Apply puts a checked desired state in force if its version is the highest,
// and reports whether it did.
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

// formerServices returns the services of earlier versions that now are not among
// the route's own.
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

// Table returns what entry hosts need.
func (s *State) Table() Table {
	t := Table{Version: s.desired.Version, IdleTimeout: s.desired.IdleTimeout, Routes: make([]TableRoute, 0, len(s.desired.Routes))}
	for _, r := range s.desired.Routes {
		t.Routes = append(t.Routes, TableRoute{Address: r.Address, Shares: r.Shares, Former: s.former[r.Address], Idempotent: r.Idempotent})
	}
	return t
}
