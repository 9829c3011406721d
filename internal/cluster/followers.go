package cluster

import (
	"time"

	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// heartbeatInterval is the time between updates to an entry host when nothing
// changes. An entry host turns to another control host after three missing ones.
const heartbeatInterval = 300 * time.Millisecond

// follower is an entry host that gets routes and endpoints from here.
type follower struct {
	host, domain string
	behind       bool // an update was lost, so it needs everything again
	sent         time.Duration
}

func (d *stateDuty) follow(e follow) {
	d.followers[e.out] = &follower{host: e.host, domain: e.domain, behind: true}
	d.log.Info("entry host follows", "host", e.host, "domain", e.domain, "version", d.routes.Desired().Version, "endpoints", d.registry.Len())
	d.catchUp(e.out)
}

func (d *stateDuty) unfollow(e unfollow) {
	if f, ok := d.followers[e.out]; ok {
		d.log.Info("entry host has left", "host", f.host, "domain", f.domain)
		delete(d.followers, e.out)
	}
}

// catchUp sends everything to a follower.
func (d *stateDuty) catchUp(out *ring.Ring[*wirepb.Envelope]) {
	d.sendTo(out, &wirepb.EdgeUpdate{
		Table: d.table(), Endpoints: d.allEndpoints(), Complete: true, ControlHosts: d.controlHosts(), Domain: d.self.Domain,
	})
}

func (d *stateDuty) table() *wirepb.RouteTable { return wire.TableToProto(d.routes.Table()) }

func (d *stateDuty) controlHosts() []*wirepb.Member { return wire.MembersToProto(d.status.Members) }

// sendTo sends an update. A follower that does not keep up gets everything later.
func (d *stateDuty) sendTo(out *ring.Ring[*wirepb.Envelope], u *wirepb.EdgeUpdate) {
	f := d.followers[out]
	u.Contact, u.Version = d.inContact(), d.routes.Desired().Version
	f.sent = d.now
	f.behind = !out.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeUpdate{EdgeUpdate: u}}) || f.behind && !u.GetComplete()
}

func (d *stateDuty) publish(u func() *wirepb.EdgeUpdate) {
	for out := range d.followers {
		d.sendTo(out, u())
	}
}

func (d *stateDuty) publishTable() {
	table := d.table()
	d.publish(func() *wirepb.EdgeUpdate { return &wirepb.EdgeUpdate{Table: table} })
}

func (d *stateDuty) publishControlHosts() {
	hosts := d.controlHosts()
	d.publish(func() *wirepb.EdgeUpdate { return &wirepb.EdgeUpdate{ControlHosts: hosts} })
}

func (d *stateDuty) publishEndpoint(e registry.Endpoint) {
	report := wire.EndpointToProto(e, d.now)
	d.publish(func() *wirepb.EdgeUpdate { return &wirepb.EdgeUpdate{Endpoints: []*wirepb.EndpointReport{report}} })
}

func (d *stateDuty) heartbeat() {
	for out, f := range d.followers {
		switch {
		case f.behind:
			d.catchUp(out)
		case d.now-f.sent >= heartbeatInterval:
			d.sendTo(out, &wirepb.EdgeUpdate{})
		}
	}
}
