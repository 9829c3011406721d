package flow

import (
	"time"

	"cassiawood/internal/directory"
)

// answers is the youngest flow of an endpoint with a recent response.
type answers struct{ began, at stamp }

// silence collects the evidence of silent flows (5.3).
type silence struct {
	answered map[directory.EndpointID]answers
}

func (s *silence) init() { s.answered = map[directory.EndpointID]answers{} }

func (s *silence) noteAnswer(en *entry, now stamp) {
	a := s.answered[en.endpoint]
	if en.began >= a.began || now.since(a.at) > silentAfter {
		s.answered[en.endpoint] = answers{en.began, now}
	}
}

const silentAfter = 15 * time.Second

func (e *Engine) checkSilent(*entry) {}

func (e *Engine) tickSilence() {}

// Suspects handles evidence of another host.
func (e *Engine) Suspects(now time.Duration, from string, s *Suspects) { e.setNow(now) }
