package process

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cassiawood/internal/duty"
)

// reloadInterval is the time between checks of the settings file, which may change without a signal.
const reloadInterval = time.Second

// Reload returns a duty that calls load when the settings file has changed or a
// SIGHUP arrives. If load fails, the error is logged and the duty continues.
func Reload(file string, log *slog.Logger, load func() error) duty.Duty {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return duty.Duty{Name: "settings", Run: func(ctx context.Context, progress *duty.Progress) error {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		lastVersion := fileVersion(file)
		for {
			cause := "the file has changed"
			select {
			case <-ctx.Done():
				return nil
			case <-signals:
				cause = "signal"
			case <-ticker.C:
				if fileVersion(file) == lastVersion {
					continue
				}
			}
			lastVersion = fileVersion(file)
			progress.Begin()
			if err := load(); err != nil {
				log.Error("settings not reloaded", "cause", cause, "error", err)
			} else {
				log.Info("settings reloaded", "cause", cause)
			}
			progress.End()
		}
	}}
}

// fileVersion returns the modification time and size of a file, which identify its
// content, or zeros if the file cannot be read.
func fileVersion(file string) [2]int64 {
	info, err := os.Stat(file)
	if err != nil {
		return [2]int64{}
	}
	return [2]int64{info.ModTime().UnixNano(), info.Size()}
}
