// Command cassiawood-entry runs the load balancer on an entry host.
package main

import (
	"crypto/tls"
	"log/slog"
	"os"

	"go.uber.org/fx"

	"cassiawood/internal/entry"
	"cassiawood/internal/process"
	"cassiawood/internal/settings"
)

func main() {
	os.Exit(process.Main(process.Daemon[settings.EntryHost]{
		Name: "cassiawood-entry", Purpose: "balances packets on an entry host",
		Load: settings.LoadEntryHost,
		TLS:  func(s settings.EntryHost) settings.TLS { return s.TLS },
		Log:  func(s settings.EntryHost) settings.Log { return s.Log },
		Run:  run,
	}, os.Args[1:]))
}

func run(s settings.EntryHost, log *slog.Logger, config *tls.Config) int {
	var host *entry.Host
	return process.Run(log, settings.Seconds(s.ShutdownLimitSeconds), func() string { return host.DescribeLoss() },
		fx.Supply(s), process.CommonDependencies(log, config), entry.Module, fx.Populate(&host))
}
