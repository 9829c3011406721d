// Command cassiawood-entry is the load balancer process of an entry host.
package main

import (
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"cassiawood/internal/entry"
	"cassiawood/internal/process"
	"cassiawood/internal/settings"
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	flags, err := process.ParseFlags("cassiawood-entry", "balances packets on an entry host", args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return process.ExitDone
	}
	if err != nil {
		return process.ExitBadUsage
	}
	s, err := settings.LoadEntryHost(flags.SettingsFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitBadUsage
	}
	config, err := process.NewTLS(s.TLS)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitBadUsage
	}
	if flags.CheckOnly {
		fmt.Println("The settings are in order.")
		return process.ExitDone
	}
	log := process.NewLogger(s.Log, os.Stderr)
	var host *entry.Host
	return process.Run(log, settings.Seconds(s.ShutdownLimitSeconds), func() string { return host.Lost() },
		fx.Supply(s), fx.Provide(
			func() *slog.Logger { return log },
			func() *tls.Config { return config },
			func() metrics.Registry { return metrics.NewRegistry() },
		),
		entry.Module, fx.Populate(&host))
}
