package cluster

import (
	"time"

	"cassiawood/internal/wire/wirepb"
)

const (
	// demandInterval is the time between reports of the demand.
	demandInterval = time.Second
	// demandLife is the age up to which a report counts: two may be missing.
	demandLife = 3 * demandInterval
)

// demandReport is what an entry host, or another control host, said last of the demand.
type demandReport struct {
	at   time.Duration
	list []*wirepb.Demand
}

type serviceDomain struct{ service, domain string }

// demandSum adds reports up.
type demandSum map[serviceDomain]uint32

func (s demandSum) add(r demandReport, now time.Duration) {
	if now-r.at > demandLife {
		return
	}
	for _, d := range r.list {
		s[serviceDomain{d.GetService(), d.GetDomain()}] += d.GetFlows()
	}
}

func (s demandSum) list() []*wirepb.Demand {
	list := make([]*wirepb.Demand, 0, len(s))
	for key, flows := range s {
		list = append(list, &wirepb.Demand{Service: key.service, Domain: key.domain, Flows: flows})
	}
	return list
}

// spreadDemand tells the other control hosts the demand at the entry hosts that follow this
// one, and these entry hosts the demand at all.
func (d *stateDuty) spreadDemand() {
	if d.now-d.demandAt < demandInterval {
		return
	}
	d.demandAt = d.now
	sum := demandSum{}
	for _, f := range d.followers {
		sum.add(f.demand, d.now)
	}
	if len(sum) > 0 {
		d.broadcast(&wirepb.EndpointUpdate{From: d.self.Address, Demand: sum.list()})
	}
	for address, report := range d.peerDemand {
		if d.now-report.at > demandLife {
			delete(d.peerDemand, address)
			continue
		}
		sum.add(report, d.now)
	}
	if len(sum) > 0 {
		d.publish(&wirepb.EdgeUpdate{Demand: sum.list()})
	}
}
