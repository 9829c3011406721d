package process

import (
	"context"
	"log/slog"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"
)

// signalRuns is the number of stops that are tried. The two ways on which a signal arrives race.
const signalRuns = 300

// TestOneSignalStopsGracefully guards against one signal that counts as two and cuts the graceful stop off.
func TestOneSignalStopsGracefully(t *testing.T) {
	for run := range signalRuns {
		stopped := false
		hook := fx.Invoke(func(lifecycle fx.Lifecycle) {
			lifecycle.Append(fx.Hook{
				OnStart: func(context.Context) error { return syscall.Kill(os.Getpid(), syscall.SIGTERM) },
				OnStop: func(context.Context) error {
					time.Sleep(time.Millisecond) // long enough for a second delivery to be seen
					stopped = true
					return nil
				},
			})
		})
		code := Run(slog.New(slog.DiscardHandler), time.Minute, func() string { return "" }, hook)
		if code != ExitDone || !stopped {
			t.Fatalf("run %d: exit code %d, stopped %t", run, code, stopped)
		}
	}
}

// TestFailureStops guards against a failed duty that does not end the process, or ends it with exit code 0.
func TestFailureStops(t *testing.T) {
	fail := fx.Invoke(func(lifecycle fx.Lifecycle, shutdown fx.Shutdowner) {
		lifecycle.Append(fx.StartHook(func() error { return shutdown.Shutdown(fx.ExitCode(ExitFailed)) }))
	})
	if code := Run(slog.New(slog.DiscardHandler), time.Minute, func() string { return "" }, fail); code != ExitFailed {
		t.Fatalf("exit code %d", code)
	}
}
