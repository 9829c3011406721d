package edge

import (
	"cassiawood/internal/affinity"
	"cassiawood/internal/wire/wirepb"
)

// setColdGrants takes the grants of an update, which are for this host only.
func (d *engineDuty) setColdGrants(u *wirepb.EdgeUpdate) {
	if len(u.GetGrants()) == 0 {
		return
	}
	var list []affinity.ColdGrant
	for _, g := range u.GetGrants() {
		list = append(list, affinity.ColdGrant{Endpoint: g.GetId(), StartedAtMs: g.GetBornMs(), PerSecond: g.GetPerSecond()})
	}
	d.engine.SetColdGrants(d.now, list)
	d.log.Info("slow-start grants received", "count", len(list), "firstEndpoint", list[0].Endpoint, "firstPerSecond", list[0].PerSecond)
}
