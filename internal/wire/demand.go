package wire

import (
	"cassiawood/internal/affinity"
	"cassiawood/internal/delay"
	"cassiawood/internal/wire/wirepb"
)

// DemandToProto converts the demand and the delays measured at an entry host.
func DemandToProto(list []affinity.Demand, delays []delay.Report) *wirepb.EdgeDemand {
	p := &wirepb.EdgeDemand{Delays: DelaysToProto(delays)}
	for _, d := range list {
		p.Demand = append(p.Demand, &wirepb.Demand{Service: d.Service, Domain: d.Domain, Flows: uint32(d.Flows)})
	}
	return p
}

// DemandFromProto converts the demand in a message from another host.
func DemandFromProto(list []*wirepb.Demand) []affinity.Demand {
	demand := make([]affinity.Demand, 0, len(list))
	for _, d := range list {
		demand = append(demand, affinity.Demand{Service: d.GetService(), Domain: d.GetDomain(), Flows: int(d.GetFlows())})
	}
	return demand
}
