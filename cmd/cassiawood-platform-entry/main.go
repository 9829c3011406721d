// Command cassiawood-platform-entry runs an entry host on the users' platform. It
// forwards the packets of flows to backend servers.
package main

import (
	"crypto/tls"
	"log/slog"
	"os"

	"go.uber.org/fx"

	"cassiawood/internal/edge"
	"cassiawood/internal/process"
	"cassiawood/internal/settings"
	"cassiawood/platform"
)

func main() {
	os.Exit(process.Main(process.Daemon[edge.Settings]{
		Name: "cassiawood-platform-entry", Purpose: "forwards packets of flows to backend servers on the users' platform",
		SettingsVariable: platform.SettingsVariable, LogToStdout: true,
		Load: platform.LoadEntry, Log: func(edge.Settings) settings.Log { return platform.LogSettings }, Run: run,
	}, os.Args[1:]))
}

func run(s edge.Settings, log *slog.Logger, config *tls.Config) int {
	return process.Run(log, s.StopLimit, func() string { return "packets of open flows" },
		fx.Supply(s), process.CommonDependencies(log, config), edge.Module,
		fx.Provide(func() edge.PacketCodec { return platform.PacketCodec{CallerPort: s.PacketAddress.Port()} }),
		fx.Invoke(func(h *edge.Host) error {
			ready, err := platform.ReadinessDuty(s.ReadinessAddress, h)
			if err != nil {
				return err
			}
			h.Add(ready)
			h.Add(process.Reload(s.File, log, func() error {
				changed, err := platform.LoadEntry(s.File)
				if err == nil {
					h.SetSeeds(changed.SeedAddresses())
				}
				return err
			}))
			return nil
		}))
}
