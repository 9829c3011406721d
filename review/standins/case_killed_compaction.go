package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	ordersInProgress = 8 // of the operator, at most
	// ordersPerTry exceeds the number of changes between two snapshots of a control host.
	ordersPerTry = 80
	maxTries     = 9
	// orderPause is the pause of one sender between two changes.
	orderPause = 50 * time.Millisecond
	// slowSync is added to each sync of a slow disk. A sync takes 2 ms in the site file, and disk_slow makes that 30 times as long.
	slowSync = "slow 50ms"
	// killDelay is the time from the creation of a log file until the kill. It is within the first sync of that file.
	killDelay = 30 * time.Millisecond
	// startLimit is how long a control host may take to answer calls after its start.
	startLimit = 10 * time.Second
)

// runKilledCompaction slows the disk of a control host that does not lead while changes come in quick succession, kills its
// process as it begins a new log file, and starts it again with a sound disk. It repeats this until the host does not come
// back. Then another machine loses its disk. The operator must be able to read the desired state recoveryS after all
// machines are back.
func runKilledCompaction(s *site) error {
	if err := s.start(siteLayout{entriesPerZone: 1, desk: zones, sheet: zones}); err != nil {
		return err
	}
	o, version := s.operator, int64(1)
	for try := 1; try <= maxTries; try++ {
		time.Sleep(catchUp)
		p, err := s.findFollower()
		if err != nil {
			return err
		}
		if !s.trouble {
			s.sendStorm(&version)
			continue
		}
		created, err := watchNewLogFile(filepath.Join(p.dataFolder(), "log"))
		if err != nil {
			return err
		}
		if err := p.slowDisk(true); err != nil {
			return err
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.sendStorm(&version)
		}()
		select {
		case <-created:
			time.Sleep(killDelay)
			p.end(syscall.SIGKILL)
		case <-done:
			s.record.line("no new log file at %s in this storm", p.name)
		}
		if err := p.slowDisk(false); err != nil {
			return err
		}
		<-done
		if p.isRunning() {
			continue
		}
		time.Sleep(restartTime)
		if err := p.start(); err != nil {
			return err
		}
		if s.answersCalls(p) {
			s.record.line("try %d: %s is back", try, p.name)
			continue
		}
		s.record.line("try %d: %s answers no call for %v after its start", try, p.name, startLimit)
		break
	}
	version++
	if err := o.putUntilAcknowledged(int(version), 10*time.Second); err != nil {
		return err
	}
	if s.trouble {
		if err := s.loseDisk(o.lastHost, time.Second); err != nil {
			return err
		}
	}
	return s.judgeReadBack()
}

// findFollower returns a control host that does not lead.
func (s *site) findFollower() (*program, error) {
	for _, p := range s.controls {
		if status, _, by := s.operator.call(http.MethodGet, p.control, nil); status == http.StatusOK && by != p.control {
			return p, nil
		}
	}
	return nil, errors.New("no control host that follows another one")
}

// answersCalls reports whether a control host that has just been started answers calls in time.
func (s *site) answersCalls(p *program) bool {
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if status, _, _ := s.operator.call(http.MethodGet, p.control, nil); status != 0 {
			return true
		}
	}
	return false
}

// sendStorm sends changes in quick succession, up to ordersInProgress at a time.
func (s *site) sendStorm(version *int64) {
	var workers sync.WaitGroup
	var sent, acknowledged atomic.Int64
	for range ordersInProgress {
		workers.Add(1)
		go func() {
			defer workers.Done()
			client := *s.operator
			for ; sent.Add(1) <= ordersPerTry; time.Sleep(orderPause) {
				v := atomic.AddInt64(version, 1)
				for _, host := range slices.Concat([]string{s.operator.lastHost}, client.hosts) {
					if status, _, _ := client.call(http.MethodPut, host, client.document(int(v))); status == http.StatusOK {
						acknowledged.Add(1)
						break
					}
				}
			}
		}()
	}
	workers.Wait()
	s.record.line("operator has sent changes up to version %d, %d of %d were acknowledged", *version, acknowledged.Load(), ordersPerTry)
}

// slowDisk makes the disk of a control host slow, or sound again, by the switch that its settings name.
func (p *program) slowDisk(slow bool) error {
	if !slow {
		return os.Remove(p.diskSwitch())
	}
	p.site.record.line("the disk of %s turns slow", p.name)
	return os.WriteFile(p.diskSwitch(), []byte(slowSync), 0o600)
}

// watchNewLogFile returns a channel that gets a value when a file is created in the folder.
func watchNewLogFile(folder string) (<-chan struct{}, error) {
	fd, err := syscall.InotifyInit1(syscall.IN_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("watch %s: %w", folder, err)
	}
	if _, err := syscall.InotifyAddWatch(fd, folder, syscall.IN_CREATE); err != nil {
		return nil, fmt.Errorf("watch %s: %w", folder, err)
	}
	created := make(chan struct{}, 1)
	go func() {
		defer func() { _ = syscall.Close(fd) }()
		buf := make([]byte, 4096)
		for {
			n, err := syscall.Read(fd, buf)
			if err != nil || n <= syscall.SizeofInotifyEvent {
				return
			}
			// The name follows the fixed part of the event. The snapshot is created first, then the log file.
			if string(buf[syscall.SizeofInotifyEvent:syscall.SizeofInotifyEvent+4]) == "log-" {
				created <- struct{}{}
				return
			}
		}
	}()
	return created, nil
}
