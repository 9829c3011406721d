package process

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cassiawood/internal/duty"
)

// closeTimeout bounds the wait for requests in progress and queued log lines when a process stops.
const closeTimeout = 500 * time.Millisecond

// ServeHTTP returns a duty that serves HTTP until the process stops and then waits
// for requests in progress.
func ServeHTTP(name string, listener net.Listener, server *http.Server) duty.Duty {
	return duty.Duty{Name: name, Run: func(ctx context.Context, _ *duty.Progress) error {
		stop := context.AfterFunc(ctx, func() {
			limit, cancel := context.WithTimeout(context.Background(), closeTimeout)
			defer cancel()
			_ = server.Shutdown(limit) // connections still open end with the process
		})
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}}
}
