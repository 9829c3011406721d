// Command cassiawood-lab runs a simulated fabric with callers and backend servers
// against entry hosts that are already running.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	gvisorlog "gvisor.dev/gvisor/pkg/log"

	"cassiawood/internal/lab"
)

const (
	// finishLimit bounds the wait for answers after the last request. Requests
	// without an answer by then count as lost.
	finishLimit = 20 * time.Second
	// stopLimit bounds the time for the duties to stop.
	stopLimit = 30 * time.Second
)

const usage = `usage: cassiawood-lab demo -entry NAME,DOMAIN,ADDRESS:PORT ... -service NAME,ADDRESS:PORT ... [options]

demo runs callers and backend servers against entry hosts that are already
running, prints a table, and exits 1 if something was broken, lost, doubled or
misrouted. "cassiawood-lab demo -h" lists the options.`

func main() {
	if err := run(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "cassiawood-lab:", err)
		}
		os.Exit(1)
	}
}

func run(args []string, out, diagnostics io.Writer) error {
	if len(args) == 0 || args[0] != "demo" {
		if _, err := fmt.Fprintln(diagnostics, usage); err != nil {
			return fmt.Errorf("write usage: %w", err)
		}
		return errors.New("missing or unknown command; the only command is demo")
	}
	o, err := parseOptions(args[1:], diagnostics)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(diagnostics, &slog.HandlerOptions{Level: o.level}))
	gvisorlog.SetTarget(stackLog{log})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return demo(ctx, o, log, out)
}

// demo starts the lab, runs it for its duration and prints the results.
func demo(ctx context.Context, o *options, log *slog.Logger, out io.Writer) (failure error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var running *lab.Lab
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(o.lab, log),
		fx.StopTimeout(stopLimit),
		fx.Provide(func(config lab.Config, log *slog.Logger, lifecycle fx.Lifecycle) (*lab.Lab, error) {
			l, err := lab.Start(config, log, func(reason error) { cancel(reason) })
			if err == nil {
				lifecycle.Append(fx.StopHook(l.Stop))
			}
			return l, err
		}),
		fx.Populate(&running),
	)
	if err := app.Start(ctx); err != nil {
		return dig.RootCause(err) // without fx's chain of constructors, which does not help a user
	}
	defer func() {
		stopCtx, cancelStop := context.WithTimeout(context.Background(), stopLimit)
		defer cancelStop()
		failure = errors.Join(failure, app.Stop(stopCtx))
	}()
	log.Info("lab started", "fabric", running.Fabric().Addr(), "duration", o.duration)
	wait(ctx, o.duration)
	if reason := context.Cause(ctx); reason != nil && !errors.Is(reason, context.Canceled) {
		return reason
	}
	return finish(running, out)
}

// wait returns after the duration, or when ctx ends because of a signal or a failed duty.
func wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// finish waits for the last requests, prints the table and the violations, and
// returns an error if there are violations.
func finish(running *lab.Lab, out io.Writer) error {
	finishCtx, cancelFinish := context.WithTimeout(context.Background(), finishLimit)
	defer cancelFinish()
	if err := running.Finish(finishCtx); err != nil {
		return err
	}
	results, err := running.Results()
	if err != nil {
		return err
	}
	if err := results.WriteTable(out); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	violations := results.Violations()
	for _, v := range violations {
		if _, err := fmt.Fprintln(out, "violation:", v); err != nil {
			return fmt.Errorf("write violations: %w", err)
		}
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d kinds of violations", len(violations))
	}
	return nil
}
