// Package explain holds the JSON message in which an entry host explains where the first packet of a new flow would go,
// and its form as a table.
package explain

import (
	"net/netip"
	"time"

	"cassiawood/internal/affinity"
)

// Path is the path of the message at the telemetry address of an entry host.
const Path = "/explain"

// Outcomes of a first packet.
const (
	Placed  = "placed"
	Refused = "refused"
	Dropped = "dropped"
)

// Report is the explanation of an entry host.
type Report struct {
	Host          string         `json:"host"`
	Domain        string         `json:"domain"` // its failure domain
	Route         netip.AddrPort `json:"route"`
	Ready         bool           `json:"ready"`         // the fabric may send packets to the host
	UpdateAgeMs   int64          `json:"updateAgeMs"`   // age of the last update of a control host; -1 without one
	RoutesVersion uint64         `json:"routesVersion"` // 0 without routes
	// EvacuationsRevision is the log index of the last order about evacuations, 0 before the first one.
	EvacuationsRevision uint64    `json:"evacuationsRevision"`
	Outcome             string    `json:"outcome"`
	Reason              string    `json:"reason"`       // one of the reasons in the logs
	Selected            string    `json:"selected"`     // service of the caller; empty if the query does not determine it
	RefusedShare        float64   `json:"refusedShare"` // share of new flows that are refused because the link of the host is full
	Services            []Service `json:"services"`
}

// Service is a service of the route.
type Service struct {
	Name       string      `json:"name"`
	Weight     uint32      `json:"weight"`
	Uneven     bool        `json:"uneven"` // the endpoints differ in speed
	Candidates []Candidate `json:"candidates"`
}

// Candidate is an endpoint of a service.
type Candidate struct {
	Endpoint      string         `json:"endpoint"`
	Address       netip.AddrPort `json:"address"`
	Domain        string         `json:"domain"`
	Chosen        bool           `json:"chosen"` // gets the next flow
	Usable        bool           `json:"usable"` // may get new flows
	States        []string       `json:"states"`
	OpenFlows     int            `json:"openFlows"`
	Working       int            `json:"working"`
	Slots         uint32         `json:"slots"`
	DelayMs       float64        `json:"delayMs"`       // typical delay of an answer; 0 if unknown
	RelativeDelay float64        `json:"relativeDelay"` // 1 is the mean of the service
	Cost          Cost           `json:"cost"`
	InTurn        float64        `json:"inTurn,omitempty"` // of an uneven service: the cost by which its endpoints take turns
}

// Cost is the cost of a candidate and its parts.
type Cost struct {
	Total   float64 `json:"total"`
	Work    float64 `json:"work"`
	Open    float64 `json:"open"`
	Cold    float64 `json:"cold"`
	Overdue float64 `json:"overdue"`
	Suspect float64 `json:"suspect"`
	Refused float64 `json:"refused"`
	Silent  float64 `json:"silent"`
}

// FromEngine returns the report of an engine's explanation, without what the engine does not know.
func FromEngine(x affinity.Explanation) Report {
	r := Report{
		RoutesVersion: x.Version, EvacuationsRevision: x.Revision, Outcome: Dropped, Reason: x.Reason.String(), Selected: x.Selected,
		RefusedShare: x.RefusedShare, Services: []Service{},
	}
	switch x.Verdict {
	case affinity.Forward:
		r.Outcome = Placed
	case affinity.Reset:
		r.Outcome = Refused
	}
	for _, s := range x.Services {
		service := Service{Name: s.Service, Weight: s.Weight, Uneven: s.Uneven, Candidates: []Candidate{}}
		for _, c := range s.Candidates {
			candidate := candidateFrom(c)
			candidate.Chosen = s.HasChoice && s.Choice == c.Endpoint.ID
			if s.Uneven {
				candidate.InTurn = c.InTurn
			}
			service.Candidates = append(service.Candidates, candidate)
		}
		r.Services = append(r.Services, service)
	}
	return r
}

func candidateFrom(c affinity.Candidate) Candidate {
	r := Candidate{
		Endpoint: c.Endpoint.Name, Address: c.Endpoint.Address, Domain: c.Endpoint.Domain, Usable: c.Usable, States: []string{},
		OpenFlows: c.OpenFlows, Working: c.Working, Slots: c.Endpoint.Slots,
		DelayMs: float64(c.Delay) / float64(time.Millisecond), RelativeDelay: c.Slowness,
		Cost: Cost{
			Total: c.Cost.Total, Work: c.Cost.Work, Open: c.Cost.Open, Cold: c.Cost.Cold, Suspect: c.Cost.Suspect,
			Overdue: c.Cost.Overdue, Refused: c.Cost.Full, Silent: c.Cost.Silent,
		},
	}
	for _, s := range c.States {
		r.States = append(r.States, string(s))
	}
	return r
}
