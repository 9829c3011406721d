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

// stopTime bounds how long requests in progress may take after a stop signal.
// It is longer than answerTime, so that a save in progress gets its answer.
const stopTime = answerTime + time.Second

// maxConnections bounds the connections of operators; others wait to be accepted.
const maxConnections = 256

// ServerOptions are the parts of a server.
type ServerOptions struct {
	Address     string // such as 10.0.0.1:8443
	Certificate *Certificate
	Guard       *Guard
	Backend     Backend
	Log         *slog.Logger
}

// Server is the HTTPS server for operators.
type Server struct {
	options  ServerOptions
	listener net.Listener
	http     *http.Server
}

// NewServer listens at the address. It returns an error at once if the address
// cannot be used, so that a wrong setting is noticed at the start.
func NewServer(options ServerOptions) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("operator address: %w", err)
	}
	return &Server{
		options:  options,
		listener: tls.NewListener(netutil.LimitListener(listener, maxConnections), options.Certificate.TLS()),
		http: &http.Server{
			Handler:           NewHandler(options.Backend, options.Guard, options.Log),
			ReadHeaderTimeout: 5 * time.Second,
			ReadTimeout:       30 * time.Second,
			WriteTimeout:      30*time.Second + answerTime,
			IdleTimeout:       time.Minute,
			MaxHeaderBytes:    16 << 10,
			ErrorLog:          slog.NewLogLogger(options.Log.Handler(), slog.LevelDebug),
		},
	}, nil
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Duties returns the duties of the server: serving, stopping as planned, and
// following the certificate files.
func (s *Server) Duties() []duty.Duty {
	return []duty.Duty{
		{Name: "operator server", Run: s.serve},
		{Name: "operator stop", Run: s.stop},
		s.options.Certificate.Duty(),
	}
}

func (s *Server) serve(ctx context.Context, _ *duty.Progress) error {
	s.options.Log.Info("operator server listens", "address", s.Address())
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) && ctx.Err() != nil {
		return nil
	}
	return err
}

// stop waits for the end of the process and lets requests in progress finish.
func (s *Server) stop(ctx context.Context, _ *duty.Progress) error {
	<-ctx.Done()
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	if err := s.http.Shutdown(bounded); err != nil {
		s.options.Log.Warn("operator requests were cut off", "error", err)
		return s.http.Close()
	}
	return nil
}
