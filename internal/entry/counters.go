package entry

import (
	"errors"
	"strings"

	"github.com/rcrowley/go-metrics"

	"cassiawood/internal/flow"
	"cassiawood/internal/packet"
)

// counters count packets by verdict. Only the engine duty updates them.
type counters struct {
	malformed   [packet.ErrorCount]metrics.Counter // by packet.Error
	silentEnded metrics.Counter                    // flows reset because the backend server no longer has their connection
	actions     [flow.Reset + 1]metrics.Counter    // by flow.Action
	reasons     [flow.ReasonCount]metrics.Counter  // by flow.Reason
}

func newCounters(registry metrics.Registry) *counters {
	c := &counters{
		silentEnded: metrics.NewRegisteredCounter("flows.silent-ended", registry),
	}
	for i := 1; i < packet.ErrorCount; i++ {
		name := strings.ReplaceAll(packet.Error(i).Error(), " ", "-")
		c.malformed[i] = metrics.NewRegisteredCounter("packets.malformed."+name, registry)
	}
	for i, name := range [...]string{"dropped", "to-backend", "to-caller", "handed-off", "reset"} {
		c.actions[i] = metrics.NewRegisteredCounter("packets."+name, registry)
	}
	for i := range c.reasons {
		c.reasons[i] = metrics.NewRegisteredCounter("packets.reason."+flow.Reason(i).String(), registry)
	}
	return c
}

// sentByteCounters counts the bytes of control messages that this host sends.
type sentByteCounters struct {
	control metrics.Counter // to control hosts
	peers   metrics.Counter // to entry hosts
}

func newSentByteCounters(registry metrics.Registry) *sentByteCounters {
	return &sentByteCounters{
		control: metrics.NewRegisteredCounter("control.sent-bytes", registry),
		peers:   metrics.NewRegisteredCounter("peers.sent-bytes", registry),
	}
}

// countMalformed counts a malformed packet by its packet.Error.
func (c *counters) countMalformed(err error) {
	reason := packet.ErrHandoffOption
	errors.As(err, &reason)
	c.malformed[reason].Inc(1)
}

func (c *counters) countVerdict(v *flow.Verdict) {
	c.actions[v.Action].Inc(1)
	if v.Reason != flow.NoReason {
		c.reasons[v.Reason].Inc(1)
	}
}
