package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cassiawood/internal/settings"
)

// stopPollInterval is the interval at which a stopping host checks whether it can exit.
const stopPollInterval = 100 * time.Millisecond

// errHandoverIncomplete is returned by a graceful stop that timed out.
var errHandoverIncomplete = errors.New("records were not handed over in time")

// stop performs the graceful stop (docs/design.md, section 5.2, rule 10): it leaves
// the directory, hands over the records, forwards packets until the fabric sends no
// more of them, and ends the duties.
func (h *Host) stop(ctx context.Context) error {
	h.log.Info("stopping: handing over records")
	_ = h.announceServer.Shutdown(ctx)
	_, _ = h.rings.engine.Put(engineStop{})
	err := h.awaitHandover(ctx)
	h.group.BeginStop()
	h.cancel()
	h.peers.close()
	h.rings.close()
	return errors.Join(err, h.group.Stop(ctx))
}

// quietPeriod is the time without packets after which the fabric counts as no longer
// sending to this host.
const quietPeriod = time.Second

// awaitHandover waits until other hosts have confirmed the records, and then until
// no packet has arrived for quietPeriod or drainSeconds have passed. Packets that the
// fabric sends later are lost; TCP retransmits them through other hosts.
func (h *Host) awaitHandover(ctx context.Context) error {
	drainLimit := settings.Seconds(h.settings.DrainSeconds)
	var completedAt time.Time
	for {
		status, err := h.Status()
		if err != nil {
			return err
		}
		if status.HandoverComplete && completedAt.IsZero() {
			completedAt = time.Now()
			h.log.Info("records handed over", "records", status.Records, "flowsLost", status.FlowsLost)
		}
		if !completedAt.IsZero() && (status.SinceLastPacket >= quietPeriod || time.Since(completedAt) >= drainLimit) {
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("%w: %d records held, handover complete: %t", errHandoverIncomplete, status.Records,
				status.HandoverComplete)
		}
		sleep(ctx, stopPollInterval)
	}
}

// Status returns the current status of the engine duty.
func (h *Host) Status() (Status, error) { return requestStatus(h.rings.engine) }

// DescribeLoss describes what is lost if the process ends immediately.
func (h *Host) DescribeLoss() string {
	status, err := h.Status()
	if err != nil {
		return "nothing: the records were handed over"
	}
	if status.HandoverComplete {
		return "nothing: the records were handed over"
	}
	return fmt.Sprintf("up to %d records whose copies were not confirmed", status.Records)
}
