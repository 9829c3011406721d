package main

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// runReplacedVoter replaces a core machine as planned: the new one starts first, and the old one stops after
// the new one had more than the time to catch up. Then one machine loses its disk. The operator must be able to read
// the desired state recoveryS after all machines are back.
func runReplacedVoter(s *site) error {
	if err := s.start(siteLayout{entriesPerZone: 1, desk: zones, sheet: zones}); err != nil {
		return err
	}
	o := s.operator
	for version := 2; version <= 4; version++ {
		if err := o.putUntilAcknowledged(version, 5*time.Second); err != nil {
			return err
		}
	}
	old := s.controls[0]
	successor := s.newControl(3, old.zone, false)
	s.controls = append(s.controls, successor)
	if err := successor.start(); err != nil {
		return err
	}
	time.Sleep(catchUp + 6*time.Second)
	old.end(syscall.SIGTERM)
	s.record.line("%s is removed for good, its successor has run for more than catchUpS", old.name)
	o.hosts = []string{s.controlAddress(1), s.controlAddress(2), s.controlAddress(3)}
	s.setControlHosts(o.hosts)
	time.Sleep(500 * time.Millisecond)
	if err := o.putUntilAcknowledged(5, 5*time.Second); err != nil {
		return err
	}
	if s.trouble {
		if err := s.loseDisk(o.lastHost, time.Second); err != nil {
			return err
		}
	}
	return s.judgeReadBack()
}

// judgeReadBack judges whether the operator can read the newest acknowledged version, from recoveryS after all
// machines are back.
func (s *site) judgeReadBack() error {
	o := s.operator
	s.record.line("all machines are back")
	time.Sleep(recoveryTime)
	s.record.line("recoveryS is over")
	for end := time.Now().Add(5 * stableWindow); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		version, ok := o.read()
		switch {
		case ok && version < o.acknowledged:
			s.record.breakRule("CONFIG", "version %d was acknowledged, version %d is read back", o.acknowledged, version)
			return nil
		case ok:
			return nil
		}
	}
	s.record.breakRule("CONFIG", "version %d was acknowledged; read back for %v, from %v after all machines were back, the desired state does not come",
		o.acknowledged, 5*stableWindow, recoveryTime)
	return nil
}

// loseDisk takes the disk of the control host at the address, which is down meanwhile.
func (s *site) loseDisk(address string, down time.Duration) error {
	for _, p := range s.controls {
		if p.control == address {
			s.record.line("%s loses its disk", p.name)
			p.end(syscall.SIGKILL)
			if err := os.RemoveAll(p.dataFolder()); err != nil {
				return err
			}
			time.Sleep(down)
			return p.start()
		}
	}
	return errors.New("no control host at " + address)
}
