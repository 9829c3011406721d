// Command cassiawood-control runs a control host: a replica of the log of changes,
// the directory and the operators' HTTP interface.
package main

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"os"
	"time"

	"go.uber.org/fx"

	"cassiawood/internal/control"
	"cassiawood/internal/operator"
	"cassiawood/internal/process"
	"cassiawood/internal/settings"
)

// stopLimit is long enough to finish an operator's request that is in progress.
const stopLimit = 30 * time.Second

func main() {
	os.Exit(process.Main(process.Daemon[settings.ControlHost]{
		Name: "cassiawood-control", Purpose: "keeps the log of changes on a control host",
		Load: settings.LoadControlHost,
		TLS:  func(s settings.ControlHost) settings.TLS { return s.TLS },
		Log:  func(s settings.ControlHost) settings.Log { return s.Log },
		Check: func(s settings.ControlHost) error {
			_, errTokens := operator.LoadTokens(s.TokensFile)
			_, errTLS := tls.LoadX509KeyPair(s.OperatorTLS.CertificateFile, s.OperatorTLS.KeyFile)
			return errors.Join(errTokens, errTLS)
		},
		Run: run,
	}, os.Args[1:]))
}

func run(s settings.ControlHost, log *slog.Logger, config *tls.Config) int {
	return process.Run(log, stopLimit, func() string { return "answers to operators in progress" },
		fx.Supply(s), process.CommonDependencies(log, config), control.Module)
}
