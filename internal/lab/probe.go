package lab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
)

// ProbeFault is a fault of the health and load endpoints.
type ProbeFault int

const (
	// ProbeHonest is no fault.
	ProbeHonest ProbeFault = iota
	// ProbeFrozen repeats what was true when the fault began.
	ProbeFrozen
	// ProbeLags tells what was true some time ago.
	ProbeLags
	// ProbeLies claims to be ready and idle.
	ProbeLies
	// ProbeHangs gives no answer until the prober gives up.
	ProbeHangs
	// ProbeFails answers with status 500.
	ProbeFails
)

const (
	// probeSample is the interval of the remembered load.
	probeSample = 50 * time.Millisecond
	// maxProbeLag bounds what is remembered.
	maxProbeLag = 10 * time.Second
	// probeHeaderTimeout ends a connection of a prober that sends no request.
	probeHeaderTimeout = 5 * time.Second
)

// loadReport is the answer of the load endpoint; the health endpoint gives the
// same with status 200 if the state is "ready" and 503 otherwise.
type loadReport struct {
	State       string `json:"state"`
	Slots       int    `json:"slots"`
	Busy        int    `json:"busy"`
	Queued      int    `json:"queued"`
	Connections int    `json:"connections"`
}

// probeMemory remembers the load for the faults that tell old news.
type probeMemory struct {
	frozen  loadReport
	history []sampledLoad // oldest first
}

type sampledLoad struct {
	at   time.Duration
	load loadReport
}

func (p *probeMemory) freeze(l loadReport) { p.frozen = l }

func (p *probeMemory) record(now time.Duration, l loadReport) {
	if n := len(p.history); n > 0 && now-p.history[n-1].at < probeSample {
		return
	}
	p.history = append(p.history, sampledLoad{now, l})
	if now-p.history[0].at > maxProbeLag {
		p.history = p.history[1:]
	}
}

// before returns the load at the given time, or the oldest one that is remembered.
func (p *probeMemory) before(at time.Duration) loadReport {
	var found loadReport
	for i, sample := range p.history {
		if i > 0 && sample.at > at {
			break
		}
		found = sample.load
	}
	return found
}

// probeAnswer is what the serving duty tells the HTTP handler.
type probeAnswer struct {
	load  loadReport
	fault ProbeFault
}

func (s *backendState) answerProbe() probeAnswer {
	answer := probeAnswer{load: s.load(), fault: s.faults.Probe}
	switch s.faults.Probe {
	case ProbeFrozen:
		answer.load = s.probe.frozen
	case ProbeLags:
		answer.load = s.probe.before(s.backend.now() - s.faults.ProbeLag)
	case ProbeLies:
		answer.load = loadReport{State: stateReady, Slots: s.worker.slots}
	}
	return answer
}

// probeServer serves the health and load endpoints. A handler asks the serving
// duty through its inbox and a one-place reply ring.
type probeServer struct {
	listener net.Listener
	server   *http.Server
	inbox    *ring.Ring[backendEvent]
}

func newProbeServer(listen string, inbox *ring.Ring[backendEvent], log *slog.Logger) (*probeServer, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("listen for probes: %w", err)
	}
	p := &probeServer{listener: listener, inbox: inbox}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, true) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, false) })
	p.server = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: probeHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
	return p, nil
}

func (p *probeServer) url(path string) string {
	return "http://" + p.listener.Addr().String() + path
}

func (p *probeServer) run(context.Context, *duty.Progress) error {
	if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve probes: %w", err)
	}
	return nil
}

func (p *probeServer) close() { _ = p.server.Close() }

func (p *probeServer) serve(w http.ResponseWriter, r *http.Request, health bool) {
	reply := ring.New[probeAnswer]("probe-reply", 1, ring.DropNewest)
	queued, err := p.inbox.Put(backendEvent{do: func(s *backendState) { _, _ = reply.Put(s.answerProbe()) }})
	if err != nil || !queued {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	answer, err := reply.Get()
	switch {
	case err != nil || answer.fault == ProbeFails:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case answer.fault == ProbeHangs:
		<-r.Context().Done()
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if health && answer.load.State != stateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(answer.load) // a prober that has gone needs no answer
}
