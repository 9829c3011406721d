package main

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	gvisorlog "gvisor.dev/gvisor/pkg/log"
)

// stackLog passes the log of the user-space TCP stacks on in detail level: they
// warn of each duplicated or late segment, which the fabric's faults cause on purpose.
type stackLog struct{ log *slog.Logger }

// Emit implements the emitter of the stacks' log.
func (s stackLog) Emit(_ int, _ gvisorlog.Level, _ time.Time, format string, v ...any) {
	if s.log.Enabled(context.Background(), slog.LevelDebug) {
		s.log.Debug("user-space stack", "message", fmt.Sprintf(format, v...))
	}
}
