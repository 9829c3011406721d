package telemetry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"cassiawood/internal/duty"
)

// requestTimeout limits the time to read a request and the time to write its response.
const requestTimeout = 10 * time.Second

// Server serves the metrics of a process and, optionally, its status page.
type Server struct {
	listener   net.Listener
	mux        *http.ServeMux
	httpServer *http.Server
}

// NewServer returns a server that listens on address. If status is nil, it serves only
// the metrics.
func NewServer(address string, registry metrics.Registry, status func() (Status, error)) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("telemetryAddress: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("/", MetricsHandler(registry))
	if status != nil {
		mux.Handle("GET /{$}", StatusHandler(status))
	}
	return &Server{
		listener:   listener,
		mux:        mux,
		httpServer: &http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout},
	}, nil
}

// Handle adds a handler. It must be called before the duty starts.
func (s *Server) Handle(pattern string, handler http.Handler) { s.mux.Handle(pattern, handler) }

// Duty returns the duty that serves requests until the process stops.
func (s *Server) Duty() duty.Duty {
	return duty.Duty{Name: "telemetry server", Run: func(ctx context.Context, _ *duty.Progress) error {
		stop := context.AfterFunc(ctx, func() { _ = s.httpServer.Close() })
		defer stop()
		err := s.httpServer.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}}
}
