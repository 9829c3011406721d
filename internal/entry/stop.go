package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cassiawood/internal/settings"
)

// stopPoll is how often a stopping host looks whether it may end.
const stopPoll = 100 * time.Millisecond

// errHandoverIncomplete ends a stop that ran out of time.
var errHandoverIncomplete = errors.New("records were not handed over in time")

// stop is the graceful stop (docs/design.md, 5.2, rule 10): leave the directory,
// hand over the records, go on passing packets until the fabric sends no more, end.
func (h *Host) stop(ctx context.Context) error {
	h.log.Info("stopping: handing over records")
	_ = h.server.Shutdown(ctx)
	_, _ = h.rings.engine.Put(engineStop{})
	err := h.awaitHandover(ctx)
	h.group.BeginStop()
	h.cancel()
	h.peers.close()
	h.rings.close()
	return errors.Join(err, h.group.Stop(ctx))
}

// quietTime without a packet means that the fabric sends to this host no more.
const quietTime = time.Second

// awaitHandover waits until the records are confirmed elsewhere, and then until
// the fabric is quiet or drainSeconds have passed. A fabric that still sends
// afterwards loses those packets, which TCP repeats through other hosts.
func (h *Host) awaitHandover(ctx context.Context) error {
	drain := settings.Seconds(h.settings.DrainSeconds)
	var complete time.Time
	for {
		status, err := h.Status()
		if err != nil {
			return err
		}
		if status.HandoverComplete && complete.IsZero() {
			complete = time.Now()
			h.log.Info("records handed over", "records", status.Records, "flowsLost", status.FlowsLost)
		}
		if !complete.IsZero() && (status.LastPacket >= quietTime || time.Since(complete) >= drain) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %d records here, handover complete: %t", errHandoverIncomplete, status.Records,
				status.HandoverComplete)
		}
		sleep(ctx, stopPoll)
	}
}

// Status asks the engine duty for its status.
func (h *Host) Status() (Status, error) { return askStatus(h.rings.engine) }

// Lost says what an immediate end of the process loses.
func (h *Host) Lost() string {
	status, err := h.Status()
	if err != nil {
		return "nothing: the records were handed over"
	}
	if status.HandoverComplete {
		return "nothing: the records were handed over"
	}
	return fmt.Sprintf("up to %d records whose copies were not confirmed", status.Records)
}
