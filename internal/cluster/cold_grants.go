package cluster

import (
	"time"

	"cassiawood/internal/coldstart"
	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
	"cassiawood/internal/wire/wirepb"
)

const (
	// grantMargin is the time between the start of this host and that of an endpoint from which an earlier process of this host
	// cannot have issued a grant for the endpoint. It exceeds the delay of reports.
	grantMargin = time.Second
	// grantContactWait is how long a slow start waits for the contact with a majority. It covers an election after a loss of power. A host that
	// decided much later could go by a newer membership than the issuer.
	grantContactWait = 4 * time.Second
	// grantPause is how long an endpoint must have been warm before a new slow start gets a new grant. By then the entry host has dropped
	// the earlier one.
	grantPause = time.Second
)

// coldGrants tells for which slow starts this host still has to decide about a grant.
type coldGrants struct {
	startedAt   time.Duration // first tick of this process; 0 before
	periods     map[uint64]*coldPeriod
	evacuations routing.Evacuations            // as last seen in contact with a majority
	issued      map[coldstart.Incarnation]bool // grants that earlier processes have issued
	lacksIssued bool                           // issued could not be read

	files         *ring.Ring[grantSnapshot]
	hasNew        bool // the last snapshot lacks a grant
	revision      uint64
	savedRevision uint64
	offeredAt     time.Duration // last snapshot handed to the writing duty
}

// coldPeriod is one slow start of an incarnation. It gets one grant at most.
type coldPeriod struct {
	startedAtMs int64
	noticedAt   time.Duration
	coldUntil   time.Duration
	isDecided   bool   // a grant was issued, or this host is not the issuer
	isChosen    bool   // this host is the issuer
	revision    uint64 // of the first snapshot with the grant; 0 before
}

// issueColdGrants issues the grants of endpoints that are cold, if this host is the issuer.
func (d *stateDuty) issueColdGrants() {
	g := &d.coldGrants
	if g.startedAt == 0 {
		g.startedAt = d.now
	}
	limited := map[string]routing.ColdStart{}
	for _, c := range d.routes.Desired().ColdStarts {
		if c.IsLimited() {
			limited[c.Service] = c
		}
	}
	if len(limited) == 0 && len(g.periods) == 0 {
		return
	}
	ended := g.takeEnded(d.routes.Evacuations(), d.hasMajorityContact())
	grants := map[*ring.Ring[[]byte]][]*wirepb.ColdGrant{}
	known := make(map[uint64]*coldPeriod, len(g.periods))
	for _, e := range d.registry.All() {
		c, ok := limited[e.Service]
		if !ok {
			continue
		}
		p := g.periodOf(d.now, e, c, ended[e.Domain])
		known[e.ID] = p
		d.chooseIssuer(e, p)
		if out := d.granteeOf(e, p); out != nil {
			grants[out] = append(grants[out], &wirepb.ColdGrant{Id: e.ID, BornMs: e.StartedAtMs, PerSecond: d.settings.ColdStart.Share(c.PerSecond)})
		}
	}
	// An endpoint that is unknown for a while, or whose service has no limit for a while, gets no second grant for the same slow start.
	for id, p := range g.periods {
		if _, ok := known[id]; !ok && d.now < p.coldUntil+grantPause {
			known[id] = p
		}
	}
	g.periods = known
	g.save(d.now)
	d.sendColdGrants(grants)
}

// takeEnded returns the domains whose evacuation has ended since the last call. Without contact the state may be replayed from the log, so
// that an earlier process may have seen the end.
func (g *coldGrants) takeEnded(now routing.Evacuations, inContact bool) map[string]bool {
	ended := map[string]bool{}
	if !inContact {
		return ended
	}
	for _, domain := range g.evacuations.Domains {
		ended[domain] = !now.Contains(domain)
	}
	g.evacuations = now
	return ended
}

// periodOf returns the present slow start of an endpoint. One for which an earlier process may have issued the grant is decided.
func (g *coldGrants) periodOf(now time.Duration, e registry.Endpoint, c routing.ColdStart, returns bool) *coldPeriod {
	p := g.periods[e.ID]
	next := &coldPeriod{startedAtMs: e.StartedAtMs, noticedAt: now, coldUntil: e.ColdUntil}
	switch {
	case p == nil || p.startedAtMs != e.StartedAtMs:
		startedBefore := c.Duration <= 0 || e.ColdUntil-c.Duration < g.startedAt+grantMargin
		isIssued := g.issued[coldstart.Incarnation{ID: e.ID, StartedAtMs: e.StartedAtMs}]
		next.isDecided = isIssued || g.lacksIssued && startedBefore
		g.hasNew = g.hasNew || isIssued && now < e.ColdUntil // the file may have been written without it
		return next
	case returns:
		next.coldUntil = max(e.ColdUntil, now+c.Duration)
		return next
	case e.ColdUntil > now && now >= p.coldUntil+grantPause:
		return next
	}
	p.coldUntil = max(p.coldUntil, e.ColdUntil)
	return p
}

// chooseIssuer decides once whether this host issues the grant for a slow start.
func (d *stateDuty) chooseIssuer(e registry.Endpoint, p *coldPeriod) {
	switch {
	case p.isDecided || p.isChosen || d.now >= p.coldUntil || !e.AcceptsFlows() || d.routes.Evacuations().Contains(e.Domain):
		return
	case !d.hasMajorityContact():
		p.isDecided = d.now-p.noticedAt > grantContactWait
		return
	}
	var members []uint64
	for _, m := range d.status.Members {
		members = append(members, m.ID)
	}
	p.isChosen = coldstart.Issuer(coldstart.Incarnation{ID: e.ID, StartedAtMs: e.StartedAtMs}, members) == d.self.ID
	p.isDecided, d.coldGrants.hasNew = !p.isChosen, d.coldGrants.hasNew || p.isChosen
}

// granteeOf returns the outbox of the entry host that gets the grant for a slow start now, nil if none does.
func (d *stateDuty) granteeOf(e registry.Endpoint, p *coldPeriod) *ring.Ring[[]byte] {
	isSaved := p.revision > 0 && p.revision <= d.coldGrants.savedRevision
	if p.isDecided || !isSaved || d.now >= p.coldUntil || !e.AcceptsFlows() || e.Silent || !d.hasMajorityContact() {
		return nil
	}
	var hosts []coldstart.Host
	var outs []*ring.Ring[[]byte]
	for out, s := range d.subscribers {
		if s.wantsState && !s.needsFullState {
			hosts, outs = append(hosts, coldstart.Host{Name: s.host, Domain: s.domain}), append(outs, out)
		}
	}
	at := coldstart.Grantee(coldstart.Incarnation{ID: e.ID, StartedAtMs: e.StartedAtMs}, e.Domain, hosts)
	if at < 0 {
		return nil
	}
	p.isDecided = true
	return outs[at]
}

// sendColdGrants sends each grant to its host. A grant that cannot be sent is lost: the endpoint then warms up without flows.
func (d *stateDuty) sendColdGrants(grants map[*ring.Ring[[]byte]][]*wirepb.ColdGrant) {
	for out, list := range grants {
		s := d.subscribers[out]
		isSent := out.Offer(d.newFrame(&wirepb.EdgeUpdate{Grants: list}).encoded(s.compressed))
		d.log.Info("slow-start grants issued", "host", s.host, "domain", s.domain, "count", len(list), "firstEndpoint", list[0].GetId(),
			"firstPerSecond", list[0].GetPerSecond(), "sent", isSent, "term", d.status.Term)
	}
}
