package main

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	gvisorlog "gvisor.dev/gvisor/pkg/log"
)

// stackLog writes the log of the user-space TCP stacks at debug level. The stacks
// warn of each duplicated or late segment, which the fabric causes on purpose.
type stackLog struct{ log *slog.Logger }

// Emit implements the Emitter interface of the stacks' log package.
func (s stackLog) Emit(_ int, _ gvisorlog.Level, _ time.Time, format string, v ...any) {
	if s.log.Enabled(context.Background(), slog.LevelDebug) {
		s.log.Debug("user-space stack", "message", fmt.Sprintf(format, v...))
	}
}
