// Command cassiawood-control is the control process: the replicated log of
// changes, the directory and the operators' interface.
package main

import (
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"cassiawood/internal/control"
	"cassiawood/internal/process"
	"cassiawood/internal/settings"
)

// stopLimit covers the longest answer to an operator that is in progress.
const stopLimit = 30 * time.Second

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags, err := process.ParseFlags("cassiawood-control", "keeps the log of changes on a control host", args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return process.ExitDone
	}
	if err != nil {
		return process.ExitBadUsage
	}
	s, err := settings.LoadControlHost(flags.SettingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitBadUsage
	}
	config, err := process.NewTLS(s.TLS)
	if err == nil {
		_, err = control.LoadTokens(s.TokensFile)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitBadUsage
	}
	if flags.CheckOnly {
		fmt.Println("The settings are in order.")
		return process.ExitDone
	}
	log := process.NewLogger(s.Log, os.Stderr)
	return process.Run(log, stopLimit, func() string { return "answers to operators in progress" },
		fx.Supply(s), fx.Provide(
			func() *slog.Logger { return log },
			func() *tls.Config { return config },
			func() metrics.Registry { return metrics.NewRegistry() },
		),
		control.Module)
}
