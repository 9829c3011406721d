package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"cassiawood/internal/duty"
)

// shutdownTimeout is the time that requests in progress have to finish after a stop
// signal. It is longer than answerTimeout, so that a save in progress gets its answer.
const shutdownTimeout = answerTimeout + time.Second

// maxConnections is the maximum number of open connections; others wait to be
// accepted.
const maxConnections = 256

// ServerOptions configures a Server.
type ServerOptions struct {
	Address       string // such as 10.0.0.1:8443
	Certificate   *Certificate
	Authenticator *Authenticator
	Backend       Backend
	Log           *slog.Logger
}

// Server is the HTTPS server for operators.
type Server struct {
	options  ServerOptions
	listener net.Listener
	http     *http.Server
}

// NewServer returns a server that already listens on its address, so that a wrong
// address is reported at startup.
func NewServer(options ServerOptions) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("operatorAddress: %w", err)
	}
	return &Server{
		options:  options,
		listener: tls.NewListener(netutil.LimitListener(listener, maxConnections), options.Certificate.TLS()),
		http: &http.Server{
			Handler:           NewHandler(options.Backend, options.Authenticator, options.Log),
			ReadHeaderTimeout: 5 * time.Second,
			ReadTimeout:       30 * time.Second,
			WriteTimeout:      30*time.Second + answerTimeout,
			IdleTimeout:       time.Minute,
			MaxHeaderBytes:    16 << 10,
			ErrorLog:          slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug),
		},
	}, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Duties returns the duties of the server: serving requests, shutting down, and
// reloading the certificate.
func (s *Server) Duties() []duty.Duty {
	return []duty.Duty{
		{Name: "operator server", Run: s.serve},
		{Name: "operator stop", Run: s.stop},
		s.options.Certificate.Duty(),
	}
}

func (s *Server) serve(ctx context.Context, _ *duty.Progress) error {
	s.options.Log.Info("operator server listening", "address", s.Address())
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) && ctx.Err() != nil {
		return nil
	}
	return err
}

// stop waits for the stop signal, then closes the server after the requests in
// progress have finished or shutdownTimeout has passed.
func (s *Server) stop(ctx context.Context, _ *duty.Progress) error {
	<-ctx.Done()
	shutdownContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := s.http.Shutdown(shutdownContext); err != nil {
		s.options.Log.Warn("operator requests aborted at shutdown", "error", err)
		return s.http.Close()
	}
	return nil
}
