package process

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"cassiawood/internal/duty"
)

// reloadInterval is the time between checks of the settings file, which may change without a signal.
const reloadInterval = time.Second

// notedSettings is the version of the settings file before Main read it.
var notedSettings struct {
	sync.Mutex
	file    string
	version [2]int64
}

// noteSettings records the version of the settings file that is about to be read, so that Reload notices a change during the start.
func noteSettings(file string) {
	notedSettings.Lock()
	defer notedSettings.Unlock()
	notedSettings.file, notedSettings.version = file, fileVersion(file)
}

// firstVersion returns the noted version of the file, or its present one if none is noted.
func firstVersion(file string) [2]int64 {
	notedSettings.Lock()
	defer notedSettings.Unlock()
	if notedSettings.file == file {
		return notedSettings.version
	}
	return fileVersion(file)
}

// Reload returns a duty that calls load when the settings file has changed since Main read it, or a
// SIGHUP has arrived since the process started. If load fails, the error is logged and the duty continues.
func Reload(file string, log *slog.Logger, load func() error) duty.Duty {
	signals := catchSignals().reload
	return duty.Duty{Name: "settings", Run: func(ctx context.Context, progress *duty.Progress) error {
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		lastVersion := firstVersion(file)
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
