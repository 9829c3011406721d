package cluster

import (
	"fmt"
	"net/netip"
	"time"
)

// Settings of a control host in a cluster with a changing membership.
type Settings struct {
	File       string         // that holds the settings
	Host       string         // name in logs
	Domain     string         // failure domain
	Address    netip.AddrPort // where operators and backend servers reach this host; names it to the others
	LinkPort   uint16         // of the links between hosts, the same on all of them
	LinkHost   netip.Addr     // where this host accepts links
	Telemetry  netip.AddrPort
	Seeds      []netip.AddrPort // addresses of some control hosts
	DataFolder string
	FirstStart bool // the whole system starts for the first time, with empty disks
	Tolerated  int  // control hosts that may be lost at the same time

	ReportInterval time.Duration // of the reports of backend servers
	FlowMax        time.Duration // age up to which flows are kept

	DiskFaults string // switch file of disk faults for tests, see wal.FaultyFS; empty in production
}

// link returns the address of the links of the control host at address.
func (s Settings) link(address string) (string, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", fmt.Errorf("address of a control host: %w", err)
	}
	return netip.AddrPortFrom(a.Addr(), s.LinkPort).String(), nil
}

// SeedAddresses returns the seeds as text.
func (s Settings) SeedAddresses() []string {
	var list []string
	for _, seed := range s.Seeds {
		list = append(list, seed.String())
	}
	return list
}
