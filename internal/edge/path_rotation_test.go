package edge

import (
	"time"

	"cassiawood/internal/ring"
	"cassiawood/internal/rotation"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	simControlDelay = 5 * time.Millisecond // one way between an entry host and the control host
	simRoundTimeout = 400 * time.Millisecond
)

// pathRound is a question of an entry host about the rotation, at the control host.
type pathRound struct {
	*rotation.Round
	asker    *pathHost
	process  int
	question uint64
}

func (h *pathHost) entryProcess() rotation.Process {
	return rotation.Process{Host: uint64(h.number), ID: uint64(h.process)}
}

// loseAfter lets the control host notice the end of the connection after a time, if the entry host has not come back over another one.
func (h *pathHost) loseAfter(d time.Duration) {
	p, connection := h.entryProcess(), h.connection
	h.s.after(d, func() {
		if isBack := h.duty != nil && !h.frozen && !h.cut && h.connection != connection; !isBack || h.entryProcess() != p {
			h.s.roster.Lose(h.s.now, p)
		}
	})
}

// isReady answers a probe of the fabric.
func (h *pathHost) isReady() bool {
	if h.duty == nil || h.frozen {
		return false
	}
	reply := ring.New[bool]("ready", 1, ring.DropNewest)
	h.handle(readyQuery{reply})
	ready, err := reply.Get()
	return err == nil && ready
}

// sendRotation does what the control host does with a message about the rotation.
func (h *pathHost) sendRotation(m rotationMessage) {
	p := h.entryProcess()
	h.s.after(simControlDelay, func() {
		if h.cut || h.entryProcess() != p {
			return
		}
		if m.stopping {
			h.s.roster.Stopping(p)
		}
		if m.question != 0 {
			h.s.startRound(&pathRound{asker: h, process: h.process, question: m.question})
		}
		if r := h.s.rounds[m.statement.GetRound()]; m.statement != nil && r != nil {
			r.State(p, wire.UnchangedFromProto(m.statement.GetUnchangedMs()))
			h.s.finishRound(m.statement.GetRound())
		}
	})
}

func (s *pathSite) startRound(r *pathRound) {
	s.lastRound++
	number := s.lastRound
	view := s.roster.View(s.now, "a")
	r.Round = rotation.NewRound(s.now, view, nil)
	s.rounds[number] = r
	for _, h := range s.hosts {
		for _, p := range view.Following {
			if p == h.entryProcess() {
				h.update(&wirepb.EdgeUpdate{RotationRound: number}, 0)
			}
		}
	}
	s.finishRound(number)
	s.after(simRoundTimeout, func() {
		if s.rounds[number] == r {
			delete(s.rounds, number)
			r.answer(rotation.DomainReport{}, false)
		}
	})
}

func (s *pathSite) finishRound(number uint64) {
	r := s.rounds[number]
	if report, isDone := r.Result(); isDone {
		delete(s.rounds, number)
		r.answer(report, report.IsComplete())
	}
}

func (r *pathRound) answer(report rotation.DomainReport, isComplete bool) {
	if r.asker.process == r.process {
		r.asker.update(&wirepb.EdgeUpdate{RotationResult: &wirepb.RotationResult{Question: r.question, Complete: isComplete, UnchangedMs: uint64(report.Unchanged.Milliseconds())}}, 0)
	}
}
