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
	// ProbeNoFault means no fault.
	ProbeNoFault ProbeFault = iota
	// ProbeFrozen makes the endpoints repeat the report from when the fault began.
	ProbeFrozen
	// ProbeOutdated makes the endpoints return an older report.
	ProbeOutdated
	// ProbeFalselyReady makes the endpoints report a ready and idle backend server.
	ProbeFalselyReady
	// ProbeHangs makes the endpoints give no response until the prober gives up.
	ProbeHangs
	// ProbeFails makes the endpoints respond with status 500.
	ProbeFails
)

const (
	// probeSampleInterval is the interval between two samples of the load.
	probeSampleInterval = 50 * time.Millisecond
	// maxProbeLag bounds the age of the samples that are kept.
	maxProbeLag = 10 * time.Second
	// probeHeaderTimeout is the time after which the connection of a prober that
	// sends no request is closed.
	probeHeaderTimeout = 5 * time.Second
)

// loadReport is the response body of the load endpoint. The health endpoint returns
// the same body, with status 200 if the state is "ready" and 503 otherwise.
type loadReport struct {
	State       string `json:"state"`
	Slots       int    `json:"slots"`
	Busy        int    `json:"busy"`
	Queued      int    `json:"queued"`
	Connections int    `json:"connections"`
}

// loadHistory keeps earlier load reports for the faults that return them.
type loadHistory struct {
	frozen  loadReport
	samples []loadSample // oldest first
}

// loadSample is a load report with the time at which it was taken.
type loadSample struct {
	at   time.Duration
	load loadReport
}

func (p *loadHistory) freeze(l loadReport) { p.frozen = l }

// record adds a sample unless the last one is too recent, and drops the oldest one
// when it is too old.
func (p *loadHistory) record(now time.Duration, l loadReport) {
	if n := len(p.samples); n > 0 && now-p.samples[n-1].at < probeSampleInterval {
		return
	}
	p.samples = append(p.samples, loadSample{now, l})
	if now-p.samples[0].at > maxProbeLag {
		p.samples = p.samples[1:]
	}
}

// loadAt returns the last sample up to the given time, or else the oldest one that is kept.
func (p *loadHistory) loadAt(at time.Duration) loadReport {
	var found loadReport
	for i, sample := range p.samples {
		if i > 0 && sample.at > at {
			break
		}
		found = sample.load
	}
	return found
}

// probeAnswer is the serving duty's reply to the HTTP handler.
type probeAnswer struct {
	load  loadReport
	fault ProbeFault
}

// answerProbe returns the report for a probe, altered by the fault in effect.
func (s *backendState) answerProbe() probeAnswer {
	answer := probeAnswer{load: s.currentLoad(), fault: s.faults.Probe}
	switch s.faults.Probe {
	case ProbeFrozen:
		answer.load = s.history.frozen
	case ProbeOutdated:
		answer.load = s.history.loadAt(s.backend.now() - s.faults.ProbeLag)
	case ProbeFalselyReady:
		answer.load = loadReport{State: stateReady, Slots: s.worker.slots}
	}
	return answer
}

// probeServer serves the health and load endpoints. A handler queries the serving
// duty through its inbox and a reply ring of capacity 1.
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
	_ = json.NewEncoder(w).Encode(answer.load) // fails only if the prober has closed the connection
}
