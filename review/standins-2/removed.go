package main

import (
	"errors"
	"syscall"
	"time"
)

const (
	catchUpTime  = 4 * time.Second  // catchUpS of kp-lb
	recoveryTime = 12 * time.Second // recoveryS of kp-lb
	readTime     = 15 * time.Second // for which the operator reads at the end; more than stableWindowMs
)

// playRemoved adds a control host, removes another one for good after the new one has had catchUpS, and then takes the disk of a third.
// At the end the operator reads the desired state that was acknowledged, and sends another one.
func playRemoved(r *record, s *site, withTrouble bool) (bool, error) {
	_, op, _, route, err := startSmallSite(r, s)
	if err != nil {
		return false, err
	}
	successor := s.addMachine(controlKind, 3, zoneName(2))
	if err := successor.start(); err != nil {
		return false, err
	}
	time.Sleep(catchUpTime + time.Second)
	op.hosts = append(op.hosts, s.controlAddress(3))
	if status := op.put("version 2", oneService(2, route), 5*time.Second); status != 200 {
		return false, errors.New("version 2 was not acknowledged")
	}
	removed, wiped := s.machines[2], s.machines[1]
	removed.end(syscall.SIGKILL)
	time.Sleep(time.Second)
	if withTrouble {
		wiped.end(syscall.SIGKILL)
		if err := wiped.loseDisk(); err != nil {
			return false, err
		}
		if err := wiped.start(); err != nil {
			return false, err
		}
	}
	op.hosts = []string{s.controlAddress(0), s.controlAddress(1), s.controlAddress(3)}
	time.Sleep(catchUpTime + recoveryTime)
	_, readable := op.read(readTime)
	status := op.put("version 3", oneService(3, route), readTime)
	r.tell("desired state readable: %t; version 3 answered with %d", readable, status)
	if !readable {
		r.tell("CONFIG broken: version 2 was acknowledged, and it doesn't come when it is read at the end")
	}
	return !readable, nil
}
