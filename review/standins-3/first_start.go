package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	playTime = 80 * time.Second // for rounds; the last one takes up to judgeTime more
	// judgeTime is how long a round waits for the first acknowledgement: the core is stable after stableWindow, and ackLimit is
	// the bound for an order then. The rest shows that it does not come later either.
	judgeTime = stableWindow + ackLimit + 6*time.Second
	// maxDelay is the range from which the moment of the disruption is drawn, from the start of the last process.
	maxDelay = 25 * time.Millisecond
	// restartDelay is the pause before a process that has ended is started again. All are back within a second.
	restartDelay  = 300 * time.Millisecond
	quietRounds   = 30 // without the disruption
	frontCount    = 7  // entry machines of a deployment like kp-lb
	firstVersion  = 7
	startVariance = 2 * time.Millisecond // between the starts of two machines
)

// playFirstStart starts a new system in each round, and kills all processes of the core at the same moment, at a random time in the first
// maxDelay. They are back within a second, with their disks.
func playFirstStart(s *site) (bool, error) {
	return s.playRounds(0, func(controls []*process, delay time.Duration) {
		for _, p := range controls {
			p.signal(syscall.SIGKILL)
		}
		s.note("%v after the last start: all processes of the core killed", delay)
	})
}

// playFirstHup is playFirstStart with a change of the settings files of two machines, told by SIGHUP, and no kill. The entry machines run too: two
// of ten machines are signalled. A process that ends itself is started again.
func playFirstHup(s *site) (bool, error) {
	return s.playRounds(frontCount, func(controls []*process, delay time.Duration) {
		for _, p := range controls[1:] {
			if _, err := p.writeSettings(); err != nil {
				s.note("%v", err)
			}
			p.signal(syscall.SIGHUP)
		}
		s.note("%v after the last start: settings files of two machines written again, SIGHUP", delay)
	})
}

func (s *site) playRounds(fronts int, disturb func(controls []*process, delay time.Duration)) (bool, error) {
	for round := 1; time.Since(s.begin) < playTime && (s.trouble || round <= quietRounds); round++ {
		s.note("round %d: a new system with empty disks starts", round)
		broken, err := s.playFirstRound(round, fronts, disturb)
		if broken || err != nil {
			return broken, err
		}
	}
	return false, nil
}

func (s *site) playFirstRound(round, fronts int, disturb func(controls []*process, delay time.Duration)) (bool, error) {
	folder := filepath.Join(s.folder, fmt.Sprint("round-", round))
	var controls, entries []*process
	defer func() {
		for _, p := range append(controls, entries...) {
			p.end(syscall.SIGKILL)
		}
		_ = os.RemoveAll(folder)
	}()
	s.processes = nil
	for i := range fronts {
		p := s.newEntry(i, i%controlCount)
		if err := p.start(true); err != nil {
			return false, err
		}
		entries = append(entries, p)
	}
	for i := range controlCount {
		p := s.newControl(i, folder)
		if err := p.start(true); err != nil {
			return false, err
		}
		controls = append(controls, p)
		if i+1 < controlCount {
			time.Sleep(time.Duration(s.random.Int64N(int64(startVariance))))
		}
	}
	if s.trouble {
		delay := time.Duration(s.random.Int64N(int64(maxDelay)))
		time.Sleep(delay)
		disturb(controls, delay)
	}
	time.Sleep(restartDelay)
	for _, p := range controls {
		ended, how := p.hasEnded()
		if !ended {
			continue
		}
		s.note("%s has ended (%s) and is started again, firstStart is false, its disk is kept", p.machine.Name, how)
		if err := p.start(false); err != nil {
			return false, err
		}
	}
	begin := time.Now()
	_, ok := s.newOperator().put(firstVersion, begin.Add(judgeTime))
	if !ok {
		s.note("the first desired state was sent for %v after the last start of a process and never acknowledged; the core was undisturbed", judgeTime)
		for _, p := range controls {
			if ended, how := p.hasEnded(); ended {
				s.note("%s has ended: %s", p.machine.Name, how)
			}
		}
	}
	return !ok, nil
}
