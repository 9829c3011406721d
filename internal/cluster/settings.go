package cluster

import (
	"fmt"
	"net/netip"
	"time"

	"cassiawood/internal/coldstart"
)

// Settings are the settings of a control host.
type Settings struct {
	File   string // path of the settings file
	Host   string // host name in logs
	Domain string // failure domain
	// DomainRegions maps the failure domains of the site to their regions. If it is empty, the domains are those of the known hosts and endpoints.
	DomainRegions     map[string]string
	Address           netip.AddrPort   // listens here for operators and backend servers; also identifies the host to the other control hosts
	LinkPort          uint16           // port of the links between hosts, the same on all hosts
	LinkIP            netip.Addr       // accepts links at this address
	TelemetryAddress  netip.AddrPort   // serves metrics here
	Seeds             []netip.AddrPort // addresses of some control hosts
	DataFolder        string
	FirstStart        bool // the whole system starts for the first time, with empty disks
	ToleratedFailures int  // number of control hosts that may be lost at the same time

	ReportInterval time.Duration // between reports of a backend server
	MaxFlowAge     time.Duration // maximum age of a flow

	ColdStart coldstart.Bounds // of the first packets to an endpoint during its slow start

	DiskFaults string // file that switches on disk faults for tests, see wal.FaultyFS; empty in production
}

// linkAddress returns the link address of the control host at address.
func (s Settings) linkAddress(address string) (string, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return "", fmt.Errorf("address of a control host: %w", err)
	}
	return netip.AddrPortFrom(a.Addr(), s.LinkPort).String(), nil
}

// SeedAddresses returns the seeds as strings.
func (s Settings) SeedAddresses() []string {
	var list []string
	for _, seed := range s.Seeds {
		list = append(list, seed.String())
	}
	return list
}
