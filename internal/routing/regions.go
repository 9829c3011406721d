package routing

import "slices"

// noDomain stands for a route that no failure domain may serve. No endpoint has it.
const noDomain = ""

// TableFor returns the table with the failure domains that may serve each route, from the regions of the domains.
func (s *State) TableFor(domainRegions map[string]string) Table {
	t := s.Table()
	for i, r := range s.desired.Routes {
		t.Routes[i].Domains = domainsIn(r.Regions, domainRegions)
	}
	return t
}

// domainsIn returns the domains in the regions, or nil if there are no regions. A domain without a known region is in none of them.
func domainsIn(regions []string, domainRegions map[string]string) []string {
	if len(regions) == 0 {
		return nil
	}
	var domains []string
	for domain, region := range domainRegions {
		if slices.Contains(regions, region) {
			domains = append(domains, domain)
		}
	}
	if len(domains) == 0 {
		return []string{noDomain}
	}
	slices.Sort(domains)
	return domains
}
