package main

import (
	"slices"
	"sync"
	"time"
)

const (
	// darkTime is how long the control host is without power.
	darkTime = 600 * time.Millisecond
	// drainAfter is the time from the loss of power until the endpoint begins to drain.
	drainAfter = 150 * time.Millisecond
	// drainLength is how long the endpoint goes on serving.
	drainLength = 14 * time.Second
	// slack allows for the time that the stand-ins take.
	slack = 200 * time.Millisecond
)

// drainJudge judges the rule DRAIN for one endpoint.
type drainJudge struct {
	site     *site
	endpoint *endpoint

	mu       sync.Mutex
	stableAt time.Time // from when on all machines are in touch
	ackedAt  time.Time // first acknowledgement by a machine in touch that the endpoint drains
	host     string
}

func (j *drainJudge) acknowledged(host string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now := time.Now(); j.ackedAt.IsZero() && !j.stableAt.IsZero() && now.After(j.stableAt) {
		j.ackedAt, j.host = now, host
		j.site.record.line("%s, in touch, has acknowledged that %s drains", host, j.endpoint.name)
	}
}

// opened judges an opening packet that an endpoint took.
func (j *drainJudge) opened(by *endpoint, p *packet) {
	if by != j.endpoint {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	zone := "?"
	for _, c := range j.site.clients {
		if c.ip == p.from.Addr() {
			zone = c.zone
		}
	}
	since := time.Since(j.ackedAt)
	if j.ackedAt.IsZero() || since <= drainTime+slack {
		return
	}
	j.site.record.breakRule("DRAIN", "%s got the opening packet of %s in %s %.1f s after %s, in touch, had acknowledged that it drains",
		j.endpoint.name, p.from, zone, since.Seconds(), j.host)
}

// runMissedDrain lets the control host that leads lose power for less than a second. Meanwhile an endpoint of another
// zone begins to drain; it goes on serving for many seconds.
func runMissedDrain(s *site) error {
	network, err := s.startLinkProxies()
	if err != nil {
		return err
	}
	if err := s.start(siteLayout{entriesPerZone: 2, desk: zones, linkProxies: true}); err != nil {
		return err
	}
	host := slices.Index(s.controlHosts(), s.operator.lastHost)
	zone := zones[host]
	others := slices.DeleteFunc(slices.Clone(zones), func(z string) bool { return z == zone })
	judge := &drainJudge{site: s}
	for _, z := range slices.Concat(others, others) {
		e, err := s.newEndpoint(serviceSheet, z)
		if err != nil {
			return err
		}
		judge.endpoint = e // the last one leaves
		e.prepare = func(i *incarnation) {
			i.drainAck, i.onOpen = judge.acknowledged, func(p *packet) { judge.opened(e, p) }
		}
		if err := e.start(); err != nil {
			return err
		}
	}
	time.Sleep(heartbeatInterval)
	pause := func() time.Duration { return 200 * time.Millisecond }
	for _, z := range zones {
		if err := s.startClients(z, clientLoad{count: 10, route: s.routes[1], oneShot: true, pause: pause, flowAge: time.Minute}); err != nil {
			return err
		}
	}
	time.Sleep(2*stableWindow + time.Second)
	leaving := judge.endpoint.running()
	if s.trouble {
		network.powerOff(host)
		time.AfterFunc(drainAfter, leaving.drain)
		time.Sleep(darkTime)
		if err := network.powerOn(host); err != nil {
			return err
		}
	} else {
		leaving.drain()
	}
	judge.mu.Lock()
	judge.stableAt = time.Now().Add(stableWindow + slack)
	judge.mu.Unlock()
	time.Sleep(drainLength)
	leaving.sendRemoval()
	leaving.stop()
	return nil
}
