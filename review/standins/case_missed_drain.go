package main

import (
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// darkTime is how long the control host is without power, on top of the time that powerOff takes.
	darkTime = 300 * time.Millisecond
	// drainAfter is the time from the loss of power until the endpoint begins to drain.
	drainAfter = 50 * time.Millisecond
	// drainLength is how long the endpoint goes on serving.
	drainLength = 13 * time.Second
	// slack allows for the time that the stand-ins take.
	slack = 200 * time.Millisecond
	// maxPowerLosses bounds the losses of power. The next one comes only if the rule has held so far.
	maxPowerLosses = 3
)

// drainJudge judges the rule DRAIN for one endpoint at a time.
type drainJudge struct {
	site *site

	mu       sync.Mutex
	endpoint *endpoint // the one that leaves
	stableAt time.Time // from when on all machines are in touch; zero before that is known
	ackedAt  time.Time // first acknowledgement by a machine in touch that the endpoint drains
	host     string
	broken   bool
}

// prepare makes an incarnation tell the judge what it sees.
func (j *drainJudge) prepare(i *incarnation) {
	i.drainAck = func(host string) { j.acknowledged(i.endpoint, host) }
	i.onOpen = func(p *packet) { j.opened(i.endpoint, p) }
}

func (j *drainJudge) begin(e *endpoint) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.endpoint, j.stableAt, j.ackedAt = e, time.Time{}, time.Time{}
}

func (j *drainJudge) setStableAt(at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.stableAt = at
}

func (j *drainJudge) isBroken() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.broken
}

func (j *drainJudge) acknowledged(e *endpoint, host string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if now := time.Now(); e == j.endpoint && j.ackedAt.IsZero() && !j.stableAt.IsZero() && now.After(j.stableAt) {
		j.ackedAt, j.host = now, host
		j.site.record.line("%s, in touch, has acknowledged that %s drains", host, e.name)
	}
}

// opened judges an opening packet that an endpoint took.
func (j *drainJudge) opened(e *endpoint, p *packet) {
	j.mu.Lock()
	defer j.mu.Unlock()
	since := time.Since(j.ackedAt)
	if e != j.endpoint || j.ackedAt.IsZero() || since <= drainTime+slack {
		return
	}
	j.broken = true
	j.site.record.breakRule("DRAIN", "%s got the opening packet of %s in %s %.1f s after %s, in touch, had acknowledged that it drains",
		e.name, p.from, j.site.zoneOfClient(p.from.Addr()), since.Seconds(), j.host)
}

func (s *site) zoneOfClient(ip netip.Addr) string {
	for _, c := range s.clients {
		if c.ip == ip {
			return c.zone
		}
	}
	return "no zone"
}

// runMissedDrain lets the control host that leads lose power for less than a second. Meanwhile an endpoint of another
// zone begins to drain; it goes on serving for many seconds. The clients of each zone use a service whose
// endpoints are in the other zones.
func runMissedDrain(s *site) error {
	network, err := s.startLinkProxies()
	if err != nil {
		return err
	}
	s.routes = nil
	for i, zone := range zones {
		s.routes = append(s.routes, route{"r-" + zone, "unsafe", serviceSheet + "-" + zone, s.routeAddress(i)})
	}
	judge := &drainJudge{site: s}
	if err := s.start(siteLayout{entriesPerZone: 2, linkProxies: true, started: func() error { return s.startSheetEndpoints(judge) }}); err != nil {
		return err
	}
	time.Sleep(heartbeatInterval)
	pause := func() time.Duration { return 200 * time.Millisecond }
	for i, zone := range zones {
		if err := s.startClients(zone, clientLoad{count: 10, route: s.routes[i], oneShot: true, pause: pause, flowAge: time.Minute}); err != nil {
			return err
		}
	}
	for version := 2; version < 2+maxPowerLosses && !judge.isBroken(); version++ {
		time.Sleep(2*stableWindow + time.Second)
		if err := s.operator.putUntilAcknowledged(version, 5*time.Second); err != nil {
			return err
		}
		if err := s.drainDuringPowerLoss(network, judge, slices.Index(s.controlHosts(), s.operator.lastHost)); err != nil {
			return err
		}
	}
	return nil
}

// startSheetEndpoints starts two endpoints in each zone for the service of each other zone.
func (s *site) startSheetEndpoints(judge *drainJudge) error {
	for i, r := range s.routes {
		for _, zone := range slices.Concat(zones, zones) {
			if zone == zones[i] {
				continue
			}
			e, err := s.newEndpoint(r.Service, zone)
			if err != nil {
				return err
			}
			e.prepare = judge.prepare
			if err := e.start(); err != nil {
				return err
			}
		}
	}
	return nil
}

// drainDuringPowerLoss lets the control host lose power and an endpoint drain that serves the host's zone.
func (s *site) drainDuringPowerLoss(network *linkProxies, judge *drainJudge, host int) error {
	var leaving *incarnation
	for _, e := range s.endpoints {
		if i := e.running(); i != nil && e.service == s.routes[host].Service {
			leaving = i
		}
	}
	if leaving == nil {
		return errors.New("no endpoint is left")
	}
	judge.begin(leaving.endpoint)
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
	judge.setStableAt(time.Now().Add(stableWindow + slack))
	time.Sleep(drainLength)
	leaving.sendRemoval()
	leaving.stop()
	return nil
}
