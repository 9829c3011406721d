package wire

import (
	"fmt"
	"slices"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/routing"
	"cassiawood/internal/wire/wirepb"
)

// EvacuationsToProto converts the evacuated failure domains.
func EvacuationsToProto(e routing.Evacuations) *wirepb.EvacuationState {
	return &wirepb.EvacuationState{Revision: e.Revision, Domains: e.Domains}
}

// EvacuationsFromProto converts the evacuated failure domains from another host. It returns revision 0 for nil, which an earlier
// build sends.
func EvacuationsFromProto(p *wirepb.EvacuationState) routing.Evacuations {
	domains := slices.Clone(p.GetDomains())
	slices.Sort(domains)
	return routing.Evacuations{Revision: p.GetRevision(), Domains: slices.Compact(domains)}
}

// EncodeEvacuationOrder returns the data of the log entry for an order. It is a desired state of version 0, which an earlier build
// applies without effect.
func EncodeEvacuationOrder(o routing.EvacuationOrder) ([]byte, error) {
	p := &wirepb.EvacuationOrder{Domain: o.Domain, Begins: o.Begins}
	if o.Restore != nil {
		p.Restore = EvacuationsToProto(*o.Restore)
	}
	data, err := proto.Marshal(&wirepb.DesiredState{Evacuation: p})
	if err != nil {
		return nil, fmt.Errorf("encode evacuation order for %s: %w", o.Domain, err)
	}
	return data, nil
}

func evacuationOrderFromProto(p *wirepb.EvacuationOrder) *routing.EvacuationOrder {
	if p == nil {
		return nil
	}
	o := &routing.EvacuationOrder{Domain: p.GetDomain(), Begins: p.GetBegins()}
	if p.GetRestore() != nil {
		restore := EvacuationsFromProto(p.GetRestore())
		o.Restore = &restore
	}
	return o
}
