package main

import (
	"errors"
	"math/rand/v2"
	"time"
)

const (
	cutTime = 5500 * time.Millisecond // of a single machine, as in the site file
	// exitDelay is the time from the last call without an answer until the endpoint exits.
	exitDelay = time.Second
	// restartDelay is the time from the end of an endpoint until it starts again under its id.
	restartDelay = 600 * time.Millisecond
)

// runLateRemoval restarts an endpoint as planned while its machine is cut off: it drains, its removal is held up,
// it exits without an acknowledgement and starts again under its id. The late removal must not end the new
// incarnation.
func runLateRemoval(s *site) error {
	if err := s.start(siteLayout{entriesPerZone: 2, desk: zones}); err != nil {
		return err
	}
	var e *endpoint
	network := newPath(s)
	for _, zone := range []string{"fs-a", "fs-b", "fs-a"} {
		var err error
		if e, err = s.newEndpoint(serviceSheet, zone); err != nil {
			return err
		}
		if len(s.endpoints) == len(zones)+3 {
			e.dial, e.prepare = network.dial, func(i *incarnation) { i.isCut = network.isCut }
		}
		if err := e.start(); err != nil {
			return err
		}
	}
	first := e.running()
	time.Sleep(heartbeatInterval)
	s.excuse = func(holder *incarnation, at time.Time) string {
		if holder.endpoint == e && network.wasCut(at, stableWindow) {
			return "the machine of the endpoint was cut off in the last stableWindowMs"
		}
		return ""
	}
	pause := func() time.Duration { return 3500*time.Millisecond + time.Duration(rand.Int64N(int64(time.Second))) }
	for zone, count := range map[string]int{"fs-a": 20, "fs-b": 20, "fs-c": 80} {
		if err := s.startClients(zone, clientLoad{count: count, route: s.routes[1], pause: pause, flowAge: 6 * time.Second}); err != nil {
			return err
		}
	}
	time.Sleep(2*stableWindow + time.Second)
	first.drain()
	time.Sleep(drainTime + 500*time.Millisecond)
	if s.trouble {
		network.setCut(true)
		s.record.line("the machine of %s is cut off", e.name)
		time.AfterFunc(cutTime, func() {
			s.record.line("the machine of %s is reachable again", e.name)
			network.setCut(false)
		})
	}
	if !first.sendRemoval() {
		time.Sleep(exitDelay)
	}
	first.stop()
	time.Sleep(restartDelay)
	if err := e.start(); err != nil {
		return err
	}
	time.Sleep(cutTime + 15*time.Second)
	if e.running() == nil {
		return errors.New("the endpoint has ended")
	}
	return nil
}
