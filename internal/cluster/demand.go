package cluster

import (
	"time"

	"cassiawood/internal/wire/wirepb"
)

const (
	// demandInterval is the time between reports of the demand.
	demandInterval = time.Second
	// demandLifetime is the age after which a report no longer counts. Two reports may be missing.
	demandLifetime = 3 * demandInterval
)

// demandReport is the latest demand reported by an entry host or another control host.
type demandReport struct {
	receivedAt time.Duration
	demand     []*wirepb.Demand
}

type serviceDomain struct{ service, domain string }

// handleDemand takes what an entry host says of itself.
func (d *stateDuty) handleDemand(e demandReported) {
	s, ok := d.subscribers[e.out]
	if !ok {
		return
	}
	if !e.report.GetWithoutDemand() {
		s.demand = demandReport{receivedAt: d.now, demand: e.report.GetDemand()}
		s.delays.add(d.delays.validReports(e.report.GetDelays()))
	}
	d.handleRotation(e.out, s, e.report)
}

// demandSum is the sum of several reports, in flows.
type demandSum map[serviceDomain]uint32

func (s demandSum) add(r demandReport, now time.Duration) {
	if now-r.receivedAt > demandLifetime {
		return
	}
	for _, d := range r.demand {
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

// broadcastDemand sends the demand of this host's entry hosts to the other control hosts, and the
// demand of the whole site to its entry hosts.
func (d *stateDuty) broadcastDemand() {
	if d.now-d.demandSentAt < demandInterval {
		return
	}
	d.demandSentAt = d.now
	sum := demandSum{}
	for _, s := range d.subscribers {
		sum.add(s.demand, d.now)
	}
	if len(sum) > 0 {
		d.broadcast(&wirepb.EndpointUpdate{From: d.self.Address, Demand: sum.list()})
	}
	for address, report := range d.peerDemand {
		if d.now-report.receivedAt > demandLifetime {
			delete(d.peerDemand, address)
			continue
		}
		sum.add(report, d.now)
	}
	if len(sum) > 0 {
		d.publish(&wirepb.EdgeUpdate{Demand: sum.list()})
	}
}
