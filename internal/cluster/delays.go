package cluster

import (
	"cmp"
	"slices"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/delay"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// delaysInterval is the time between evaluations of the delays, and between the messages with their sum to the other
	// control hosts.
	delaysInterval = time.Second
	// maxDelayReports is the number of reports of one sender that count in each delaysInterval, the latest ones. Senders
	// report once in it, so more have waited behind a stalled link or a pause of this process and are old.
	maxDelayReports = 2
)

// recentDelays are the latest reports of an entry host or another control host since the last evaluation.
type recentDelays [][]delay.Report

func (r *recentDelays) add(reports []delay.Report) {
	if *r = append(*r, reports); len(*r) > maxDelayReports {
		*r = slices.Delete(*r, 0, 1)
	}
}

// sharedDelays holds what a control host knows of the delays of endpoints.
type sharedDelays struct {
	shared      delay.Shared
	fromPeers   map[string]recentDelays // by address of the control host
	evaluatedAt time.Duration
	invalid     int // reports with implausible values since the last evaluation
}

func (s *sharedDelays) validReports(list []*wirepb.EndpointDelay) []delay.Report {
	reports, invalid := wire.DelaysFromProto(list)
	s.invalid += invalid
	return reports
}

// mergePeerDelays takes the delays that the entry hosts of another member have measured. They are not sent on, because that
// host sends them to all members itself.
func (d *stateDuty) mergePeerDelays(u *wirepb.EndpointUpdate) {
	from := u.GetFrom()
	if len(u.GetDelays()) == 0 || from == d.self.Address || !slices.ContainsFunc(d.status.Members, func(m changelog.Member) bool { return m.Address == from }) {
		return
	}
	if d.delays.fromPeers == nil {
		d.delays.fromPeers = map[string]recentDelays{}
	}
	recent := d.delays.fromPeers[from]
	recent.add(d.delays.validReports(u.GetDelays()))
	d.delays.fromPeers[from] = recent
}

// incarnation returns the incarnation of an endpoint, and false if it is not known or has left.
func (d *stateDuty) incarnation(id uint64) (delay.Incarnation, bool) {
	e, ok := d.registry.Get(id)
	return delay.Incarnation{Service: e.Service, StartedAtMs: e.StartedAtMs}, ok && !e.HasLeft()
}

// shareDelays sends the sum of what the entry hosts of this host have measured to the other control hosts, and relative
// delays that have changed to the entry hosts, once in each delaysInterval.
func (d *stateDuty) shareDelays() {
	if d.now-d.delays.evaluatedAt < delaysInterval {
		return
	}
	d.delays.evaluatedAt = d.now
	s := &d.delays.shared
	s.Retain(d.incarnation)
	own := d.takeOwnDelays()
	if len(own) > 0 {
		d.broadcast(&wirepb.EndpointUpdate{From: d.self.Address, Delays: wire.DelaysToProto(own)})
	}
	d.addDelays(own)
	for _, recent := range d.delays.fromPeers {
		for _, reports := range recent {
			d.addDelays(reports)
		}
	}
	clear(d.delays.fromPeers)
	relative, changes := s.Evaluate(d.now)
	d.logDelays(changes)
	if len(relative) > 0 {
		d.publish(&wirepb.EdgeUpdate{Delays: wire.RelativeDelaysToProto(relative)})
	}
}

// takeOwnDelays returns the sum of the reports of this host's entry hosts since the last call, ordered by endpoint.
func (d *stateDuty) takeOwnDelays() []delay.Report {
	sum := map[uint64]delay.Report{}
	for _, s := range d.subscribers {
		for _, reports := range s.delays {
			for _, r := range reports {
				total := sum[r.Endpoint]
				total.Endpoint = r.Endpoint
				total.Merge(r)
				sum[r.Endpoint] = total
			}
		}
		s.delays = nil
	}
	list := make([]delay.Report, 0, len(sum))
	for id, r := range sum {
		if _, ok := d.incarnation(id); ok {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b delay.Report) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

func (d *stateDuty) addDelays(reports []delay.Report) {
	for _, r := range reports {
		if of, ok := d.incarnation(r.Endpoint); ok {
			d.delays.shared.Add(d.now, of, r)
		}
	}
}

func (d *stateDuty) logDelays(changes []delay.Change) {
	for _, c := range changes {
		d.log.Info("endpoints of a service differ in speed", "service", c.Service, "uneven", c.Uneven, "endpoints", c.Endpoints,
			"smallestFactor", c.Smallest, "largestFactor", c.Largest)
	}
	if d.delays.invalid > 0 {
		d.log.Warn("implausible delays of endpoints left out", "count", d.delays.invalid)
		d.delays.invalid = 0
	}
	d.metrics.unevenServices.Update(int64(d.delays.shared.Uneven()))
}
