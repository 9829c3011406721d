package entry

import (
	"github.com/rcrowley/go-metrics"

	"cassiawood/internal/flow"
)

// counters count packets by what was decided. Only the engine duty adds to them.
type counters struct {
	malformed metrics.Counter
	silent    metrics.Counter // flows ended because their backend server lost track of them
	actions   [flow.Reset + 1]metrics.Counter
	reasons   [flow.ReasonCount]metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	c := &counters{
		malformed: metrics.NewRegisteredCounter("packets.malformed", registry),
		silent:    metrics.NewRegisteredCounter("flows.silent-ended", registry),
	}
	for i, name := range [...]string{"dropped", "to-backend", "to-caller", "handed-off", "reset"} {
		c.actions[i] = metrics.NewRegisteredCounter("packets."+name, registry)
	}
	for i := range c.reasons {
		c.reasons[i] = metrics.NewRegisteredCounter("packets.reason."+flow.Reason(i).String(), registry)
	}
	return c
}

func (c *counters) count(v *flow.Verdict) {
	c.actions[v.Action].Inc(1)
	if v.Reason != flow.NoReason {
		c.reasons[v.Reason].Inc(1)
	}
}
