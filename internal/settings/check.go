package settings

import (
	"fmt"
	"net/netip"
	"slices"
)

const (
	minFlows            = 1_000
	maxFlows            = 4_000_000
	maxShutdownSeconds  = 600
	minControlHosts     = 1
	maxControlHosts     = 7
	maxNameBytes        = 64
	maxFailureDomains   = 32 // the hand-off option holds the set of domains in 32 bits
	missingProblem      = "is missing"
	loopbackOnlyProblem = "may be left out only when every address is a loopback address"
)

func (s *EntryHost) check(report func(path, problem string)) {
	checkName("host", s.Host, report)
	checkName("failureDomain", s.FailureDomain, report)
	addresses := map[string]netip.AddrPort{
		"packetAddress": s.PacketAddress, "fabricAddress": s.FabricAddress, "peerAddress": s.PeerAddress,
		"announceAddress": s.AnnounceAddress, "telemetryAddress": s.TelemetryAddress,
	}
	for path, address := range addresses {
		checkAddress(path, address, report)
	}
	if len(s.ControlHosts) < minControlHosts {
		report("controlHosts", missingProblem)
	}
	for i, address := range s.ControlHosts {
		checkAddress(fmt.Sprintf("controlHosts[%d]", i), address, report)
	}
	for i, address := range s.PeerHosts {
		checkAddress(fmt.Sprintf("peerHosts[%d]", i), address, report)
	}
	checkRange("maxFlows", float64(s.MaxFlows), minFlows, maxFlows, report)
	checkRange("shutdownLimitSeconds", s.ShutdownLimitSeconds, 1, maxShutdownSeconds, report)
	checkRange("drainSeconds", s.DrainSeconds, 0, s.ShutdownLimitSeconds, report)
	s.TLS.check("tls", slices.Concat(s.ControlHosts, s.PeerHosts, []netip.AddrPort{s.PeerAddress}), report)
	s.Log.check(report)
}

func (s *ControlHost) check(report func(path, problem string)) {
	if len(s.Members) < minControlHosts || len(s.Members) > maxControlHosts {
		report("members", fmt.Sprintf("must list %d to %d control hosts", minControlHosts, maxControlHosts))
	}
	linkAddresses := s.checkMembers(report)
	if s.DataFolder == "" {
		report("dataFolder", missingProblem)
	}
	checkAddress("operatorAddress", s.OperatorAddress, report)
	checkAddress("telemetryAddress", s.TelemetryAddress, report)
	if len(s.FailureDomains) == 0 || len(s.FailureDomains) > maxFailureDomains {
		report("failureDomains", fmt.Sprintf("must list 1 to %d failure domains", maxFailureDomains))
	}
	if s.TokensFile == "" {
		report("tokensFile", missingProblem)
	}
	s.TLS.check("tls", linkAddresses, report)
	if s.OperatorTLS.CertificateFile == "" || s.OperatorTLS.KeyFile == "" {
		report("operatorTls", "needs certificateFile and keyFile")
	}
	s.Log.check(report)
}

// checkMembers checks the members and returns their link addresses.
func (s *ControlHost) checkMembers(report func(path, problem string)) []netip.AddrPort {
	linkAddresses := make([]netip.AddrPort, 0, len(s.Members))
	seenIDs := map[uint64]bool{}
	for i, m := range s.Members {
		path := fmt.Sprintf("members[%d]", i)
		if m.ID == 0 || seenIDs[m.ID] {
			report(path+".id", "must be a number of 1 or more that no other member has")
		}
		seenIDs[m.ID] = true
		checkName(path+".failureDomain", m.FailureDomain, report)
		checkAddress(path+".linkAddress", m.LinkAddress, report)
		linkAddresses = append(linkAddresses, m.LinkAddress)
	}
	if !seenIDs[s.ID] {
		report("id", "is not among the members")
	}
	return linkAddresses
}

func (t TLS) check(path string, addresses []netip.AddrPort, report func(path, problem string)) {
	if t == (TLS{}) {
		for _, a := range addresses {
			if !a.Addr().IsLoopback() {
				report(path, loopbackOnlyProblem)
				return
			}
		}
		return
	}
	if t.CertificateFile == "" || t.KeyFile == "" {
		report(path, "needs certificateFile and keyFile")
	}
}

func (l Log) check(report func(path, problem string)) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		report("log.level", "must be debug, info, warn or error")
	}
	if l.Format != "text" && l.Format != "json" {
		report("log.format", "must be text or json")
	}
}

func checkName(path, name string, report func(path, problem string)) {
	if name == "" {
		report(path, missingProblem)
	} else if len(name) > maxNameBytes {
		report(path, fmt.Sprintf("is longer than %d bytes", maxNameBytes))
	}
}

func checkAddress(path string, address netip.AddrPort, report func(path, problem string)) {
	if !address.IsValid() {
		report(path, `is missing or is not an IP address with a port, such as "10.0.0.1:6081"`)
	}
}

func checkRange(path string, value, low, high float64, report func(path, problem string)) {
	if value < low || value > high {
		report(path, fmt.Sprintf("must be from %g to %g", low, high))
	}
}
