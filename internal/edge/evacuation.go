package edge

import (
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// setEvacuations takes the evacuations of an update. Control hosts of earlier builds send none, and the known ones stay in force.
func (d *engineDuty) setEvacuations(u *wirepb.EdgeUpdate) {
	if u.GetEvacuation() == nil {
		return
	}
	before, next := d.engine.Evacuations(), wire.EvacuationsFromProto(u.GetEvacuation())
	if !d.engine.SetEvacuations(d.now, next) {
		if next.Revision < before.Revision {
			d.log.Debug("older evacuations ignored", "revision", next.Revision, "known", before.Revision, "domains", next.Domains)
		}
		return
	}
	d.log.Info("evacuations in force", "revision", next.Revision, "before", before.Revision, "domains", next.Domains,
		"domainsBefore", before.Domains, "version", d.engine.Version())
}
