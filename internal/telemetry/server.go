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

// requestTimeout bounds one request to the telemetry server.
const requestTimeout = 10 * time.Second

// Server serves the metrics, and the status page if there is one.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// NewServer listens at the address. A nil status serves metrics only.
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
		listener: listener,
		http:     &http.Server{Handler: mux, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout},
	}, nil
}

// Duty returns the duty that serves until the process stops.
func (s *Server) Duty() duty.Duty {
	return duty.Duty{Name: "telemetry server", Run: func(ctx context.Context, _ *duty.Progress) error {
		stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
		defer stop()
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}}
}
