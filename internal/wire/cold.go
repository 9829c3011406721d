package wire

import (
	"fmt"
	"slices"

	"cassiawood/internal/routing"
	"cassiawood/internal/wire/wirepb"
)

// coldStartsToProto converts slow starts. Those of services that names lacks are left out.
func coldStartsToProto(list []routing.ColdStart, names []string) []*wirepb.ServiceColdStart {
	var result []*wirepb.ServiceColdStart
	for _, c := range list {
		if position := slices.Index(names, c.Service); position >= 0 {
			result = append(result, &wirepb.ServiceColdStart{
				Service: uint32(position), DurationMs: c.Duration.Milliseconds(), RequestsPerSecond: c.PerSecond,
			})
		}
	}
	return result
}

func coldStartsFromProto(list []*wirepb.ServiceColdStart, names []string) ([]routing.ColdStart, error) {
	var result []routing.ColdStart
	for _, c := range list {
		if int(c.GetService()) >= len(names) {
			return nil, fmt.Errorf("slow start refers to service %d of a list of %d", c.GetService(), len(names))
		}
		result = append(result, routing.ColdStart{
			Service: names[c.GetService()], Duration: milliseconds(c.GetDurationMs()), PerSecond: c.GetRequestsPerSecond(),
		})
	}
	return result, nil
}

// internDomains returns the positions of the domains in the table, which it adds where they are missing.
func internDomains(p *wirepb.RouteTable, domains []string) []uint32 {
	var positions []uint32
	for _, domain := range domains {
		at := slices.Index(p.Domains, domain)
		if at < 0 {
			at = len(p.Domains)
			p.Domains = append(p.Domains, domain)
		}
		positions = append(positions, uint32(at))
	}
	return positions
}

func domainsAt(positions []uint32, names []string) ([]string, error) {
	var domains []string
	for _, at := range positions {
		if int(at) >= len(names) {
			return nil, fmt.Errorf("refers to failure domain %d of a list of %d", at, len(names))
		}
		domains = append(domains, names[at])
	}
	return domains, nil
}
