// Command cassiawood-platform-control runs a control host on the users' platform.
// It stores the desired state and the backend servers that have announced
// themselves.
package main

import (
	"crypto/tls"
	"log/slog"
	"os"
	"time"

	"go.uber.org/fx"

	"cassiawood/internal/cluster"
	"cassiawood/internal/process"
	"cassiawood/internal/settings"
	"cassiawood/platform"
)

// stopLimit is long enough to finish the requests in progress, and below the
// platform's shortest grace period.
const stopLimit = 3 * time.Second

func main() {
	os.Exit(process.Main(process.Daemon[cluster.Settings]{
		Name: "cassiawood-platform-control", Purpose: "stores desired state and backend servers on the users' platform",
		SettingsVariable: platform.SettingsVariable, LogToStdout: true,
		Load: platform.LoadControl, Log: func(cluster.Settings) settings.Log { return platform.LogSettings }, Run: run,
	}, os.Args[1:]))
}

func run(s cluster.Settings, log *slog.Logger, config *tls.Config) int {
	return process.Run(log, stopLimit, func() string { return "answers in progress" },
		fx.Supply(s), process.CommonDependencies(log, config), cluster.Module,
		fx.Invoke(func(h *cluster.Host) error {
			calls, err := platform.ControlDuty(s.Address, h.API(), log)
			if err != nil {
				return err
			}
			h.Add(calls)
			h.Add(process.Reload(s.File, log, func() error {
				changed, err := platform.LoadControl(s.File)
				if err == nil {
					h.SetSeeds(changed.SeedAddresses())
					h.SetDomainRegions(changed.DomainRegions)
				}
				return err
			}))
			return nil
		}))
}
