// Package process contains the code that the main functions of the daemons share:
// flags, logging, reloading of settings, and running an fx application until a signal
// arrives.
package process

import (
	"context"
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"cassiawood/internal/settings"
	"cassiawood/internal/wire"
)

// Exit codes of the daemons.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitBadUsage = 2
	ExitAborted  = 3 // a second signal interrupted the graceful stop
)

// startTimeout bounds the start, which opens sockets and reads the data folder.
const startTimeout = 30 * time.Second

// lossTimeout bounds the wait for the description of what a second signal loses.
const lossTimeout = 500 * time.Millisecond

// Flags holds the parsed command line of a daemon.
type Flags struct {
	SettingsFile string
	CheckOnly    bool
}

// ParseFlags parses the command line of a daemon. It returns flag.ErrHelp for -h.
func ParseFlags(name, purpose string, args []string, output io.Writer) (Flags, error) {
	var f Flags
	flagSet := flag.NewFlagSet(name, flag.ContinueOnError)
	flagSet.SetOutput(output)
	flagSet.StringVar(&f.SettingsFile, "settings", "", "settings `file`, JSON with comments")
	flagSet.BoolVar(&f.CheckOnly, "check", false, "check the settings and exit")
	flagSet.Usage = func() {
		_, _ = fmt.Fprintf(output, "%s: %s\n\nUsage: %s -settings FILE [-check]\n\n", name, purpose, name)
		flagSet.PrintDefaults()
		_, _ = fmt.Fprintf(output, "\nExit codes: 0 done, 1 failed, 2 bad usage or settings, 3 stop ended by a second signal.\n")
	}
	if err := flagSet.Parse(args); err != nil {
		return f, err
	}
	if f.SettingsFile == "" || flagSet.NArg() > 0 {
		flagSet.Usage()
		return f, errors.New("want -settings FILE and no further arguments")
	}
	return f, nil
}

// Daemon describes a daemon for Main.
type Daemon[S any] struct {
	Name, Purpose string
	Load          func(file string) (S, error) // reads and checks the settings
	TLS           func(S) settings.TLS         // if nil, links between processes use plain TCP
	Log           func(S) settings.Log
	Check         func(S) error // checks the files named in the settings; may be nil
	Run           func(s S, log *slog.Logger, config *tls.Config) int

	SettingsVariable string // environment variable that names the settings file if there are no arguments
	LogToStdout      bool   // writes the log to standard output through an Output, not to standard error
}

// Main runs a daemon with the arguments of the command line and returns its exit code.
func Main[S any](d Daemon[S], args []string) int {
	catchSignals()
	if file := os.Getenv(d.SettingsVariable); d.SettingsVariable != "" && file != "" && len(args) == 0 {
		args = []string{"-settings", file}
	}
	flags, err := ParseFlags(d.Name, d.Purpose, args, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return ExitDone
	}
	if err != nil {
		return ExitBadUsage
	}
	noteSettings(flags.SettingsFile)
	s, config, err := loadSettings(d, flags.SettingsFile)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return ExitBadUsage
	}
	if flags.CheckOnly {
		fmt.Println("The settings are in order.")
		return ExitDone
	}
	if !d.LogToStdout {
		return d.Run(s, NewLogger(d.Log(s), os.Stderr), config)
	}
	output := NewOutput(os.Stdout)
	defer output.Close(closeTimeout)
	return d.Run(s, NewLogger(d.Log(s), output), config)
}

// loadSettings loads and checks the settings and the files that they name.
func loadSettings[S any](d Daemon[S], file string) (S, *tls.Config, error) {
	s, err := d.Load(file)
	if err != nil {
		return s, nil, err
	}
	var config *tls.Config
	if d.TLS != nil {
		config, err = NewTLS(d.TLS(s))
	}
	if err == nil && d.Check != nil {
		err = d.Check(s)
	}
	return s, config, err
}

// CommonDependencies provides the dependencies that the modules of all daemons share.
func CommonDependencies(log *slog.Logger, config *tls.Config) fx.Option {
	return fx.Provide(
		func() *slog.Logger { return log },
		func() *tls.Config { return config },
		func() metrics.Registry { return metrics.NewRegistry() },
	)
}

// NewLogger returns a logger that writes to w. The settings must have been checked.
func NewLogger(s settings.Log, w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.Level))
	options := &slog.HandlerOptions{Level: level}
	if s.Format == "text" {
		return slog.New(slog.NewTextHandler(w, options))
	}
	return slog.New(slog.NewJSONHandler(w, options))
}

// NewTLS returns the TLS configuration for sessions between processes, or nil if the
// settings name no files, which is allowed on loopback only.
func NewTLS(s settings.TLS) (*tls.Config, error) {
	if s == (settings.TLS{}) {
		return nil, nil
	}
	credentials, err := wire.NewCredentials(s.CertificateFile, s.KeyFile, s.AuthorityFile)
	if err != nil {
		return nil, err
	}
	return credentials.MutualTLSConfig(), nil
}

// Run starts the application, waits for a signal or a shutdown by the application,
// such as after a failed duty, and stops it within limit. It returns the exit code. A
// second signal interrupts the stop; describeLoss then says what is lost. A signal that arrives
// during the start ends the context.Context that the application may take as a dependency, and
// the process as soon as the start returns.
func Run(log *slog.Logger, limit time.Duration, describeLoss func() string, options ...fx.Option) int {
	signals := catchSignals().stop
	logSignal := func(s os.Signal) { log.Info("signal received, stopping", "signal", s.String(), "limit", limit) }
	building, cancelBuilding := context.WithCancel(context.Background())
	defer cancelBuilding()
	built := make(chan *fx.App, 1)
	go func() {
		built <- fx.New(append(options, fx.StopTimeout(limit), fx.StartTimeout(startTimeout), fx.Provide(func() context.Context { return building }),
			fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }))...)
	}()
	var app *fx.App
	select {
	case app = <-built:
	case s := <-signals:
		logSignal(s)
		cancelBuilding()
		return endBuilding(log, built, signals, limit)
	}
	if err := app.Err(); err != nil {
		log.Error("start failed", "error", dig.RootCause(err))
		return ExitFailed
	}
	startContext, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(startContext); err != nil {
		log.Error("start failed", "error", err)
		return ExitFailed
	}
	exitCode := ExitDone
	select {
	case s := <-signals:
		logSignal(s)
	case s := <-app.Wait():
		if exitCode = s.ExitCode; exitCode == ExitDone {
			takeRelayedSignal(signals, logSignal)
		}
	}
	return stop(log, app, limit, exitCode, signals, describeLoss)
}

// endBuilding waits, at most for limit, until an application that is still being built has given up. It has accepted nothing yet, so nothing is lost.
// It returns the exit code.
func endBuilding(log *slog.Logger, built <-chan *fx.App, signals <-chan os.Signal, limit time.Duration) int {
	select {
	case <-built:
	case <-time.After(limit):
	case s := <-signals:
		log.Error("second signal received, exiting without graceful stop", "signal", s.String(), "lost", "nothing, the process has not started")
		return ExitAborted
	}
	log.Info("stopped during the start", "exitCode", ExitDone)
	return ExitDone
}

// takeRelayedSignal takes the signal that fx has passed on to Wait out of signals, if it was one: left there it
// would count as a second signal and cut the graceful stop off. fx handles signals until the application has
// stopped, so none ends the process meanwhile.
func takeRelayedSignal(signals chan os.Signal, received func(os.Signal)) {
	signal.Stop(signals) // waits until signals that have arrived are in the channel
	select {
	case s := <-signals:
		received(s)
	default: // the application has ended itself
	}
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
}

// stop stops the application and returns the exit code.
func stop(log *slog.Logger, app *fx.App, limit time.Duration, exitCode int, signals <-chan os.Signal,
	describeLoss func() string,
) int {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- app.Stop(ctx) }()
	select {
	case err := <-stopped:
		if err != nil {
			log.Error("graceful stop failed", "error", err)
			return max(exitCode, ExitFailed)
		}
		log.Info("stopped", "exitCode", exitCode)
		return exitCode
	case s := <-signals:
		log.Error("second signal received, exiting without graceful stop",
			"signal", s.String(), "lost", queryLoss(describeLoss))
		return ExitAborted
	}
}

// queryLoss calls describeLoss and waits at most lossTimeout for the answer, since the
// duty that it queries may hang.
func queryLoss(describeLoss func() string) string {
	answer := make(chan string, 1)
	go func() { answer <- describeLoss() }()
	select {
	case text := <-answer:
		return text
	case <-time.After(lossTimeout):
		return "unknown: the process did not answer in time"
	}
}
