package edge

import (
	"errors"

	"cassiawood/internal/affinity"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

var errImplausible = errors.New("the values are implausible")

// applyDelays passes the relative delays in an update to the engine. It also does so without any, since an update shows that
// the known ones are still valid. A last part lists all that differ from 1, so the others return to 1: they may come from
// another control host.
func (d *engineDuty) applyDelays(u *wirepb.EdgeUpdate) {
	received, invalid := wire.RelativeDelaysFromProto(u.GetDelays())
	if invalid > 0 {
		d.logFailure("relative delays left out", errImplausible, "count", invalid)
	}
	if !u.GetLastPart() {
		d.engine.SetRelativeDelays(d.now, received)
		return
	}
	list := make([]affinity.RelativeDelay, 0, len(d.endpoints)+len(received))
	for id := range d.endpoints {
		list = append(list, affinity.RelativeDelay{Endpoint: id, Factor: 1})
	}
	d.engine.SetRelativeDelays(d.now, append(list, received...))
}
