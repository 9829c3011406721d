package wire

import (
	"math"

	"cassiawood/internal/affinity"
	"cassiawood/internal/delay"
	"cassiawood/internal/wire/wirepb"
)

// DelaysToProto converts reports about endpoints.
func DelaysToProto(list []delay.Report) []*wirepb.EndpointDelay {
	out := make([]*wirepb.EndpointDelay, 0, len(list))
	for _, r := range list {
		out = append(out, &wirepb.EndpointDelay{Id: r.Endpoint, Samples: float32(r.Samples), MeanLog: float32(r.MeanLog), Refusals: float32(r.Refusals)})
	}
	return out
}

// DelaysFromProto converts reports from another host. It leaves out those with implausible values and returns their number.
func DelaysFromProto(list []*wirepb.EndpointDelay) (reports []delay.Report, invalid int) {
	for _, p := range list {
		r := delay.Report{Endpoint: p.GetId(), Samples: float64(p.GetSamples()), MeanLog: float64(p.GetMeanLog()), Refusals: float64(p.GetRefusals())}
		if !r.IsValid() {
			invalid++
			continue
		}
		reports = append(reports, r)
	}
	return reports, invalid
}

// RelativeDelaysToProto converts relative delays, which are sent as logarithms.
func RelativeDelaysToProto(list []delay.Relative) []*wirepb.EndpointDelay {
	out := make([]*wirepb.EndpointDelay, 0, len(list))
	for _, r := range list {
		out = append(out, &wirepb.EndpointDelay{Id: r.Endpoint, MeanLog: float32(math.Log(r.Factor))})
	}
	return out
}

// RelativeDelaysFromProto converts relative delays from a control host. It leaves out those with implausible values and
// returns their number.
func RelativeDelaysFromProto(list []*wirepb.EndpointDelay) (delays []affinity.RelativeDelay, invalid int) {
	for _, p := range list {
		r := delay.Relative{Endpoint: p.GetId(), Factor: math.Exp(float64(p.GetMeanLog()))}
		if !r.IsValid() {
			invalid++
			continue
		}
		delays = append(delays, affinity.RelativeDelay(r))
	}
	return delays, invalid
}
