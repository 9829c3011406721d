package settings

import (
	"net/netip"
	"time"
)

// Log holds the settings of the log.
type Log struct {
	Level  string `json:"level"`  // debug, info, warn or error
	Format string `json:"format"` // text or json
}

// TLS holds the paths of the certificate files of a process. If all are empty,
// links use plain TCP, which is allowed only between loopback addresses.
type TLS struct {
	CertificateFile string `json:"certificateFile"`
	KeyFile         string `json:"keyFile"`
	AuthorityFile   string `json:"authorityFile"`
}

// EntryHost holds the settings of cassiawood-entry.
type EntryHost struct {
	Host                 string           `json:"host"`
	FailureDomain        string           `json:"failureDomain"`
	PacketAddress        netip.AddrPort   `json:"packetAddress"` // Geneve over UDP
	FabricAddress        netip.AddrPort   `json:"fabricAddress"` // where the packets of flows are forwarded
	PeerAddress          netip.AddrPort   `json:"peerAddress"`
	AnnounceAddress      netip.AddrPort   `json:"announceAddress"`
	TelemetryAddress     netip.AddrPort   `json:"telemetryAddress"`
	ControlHosts         []netip.AddrPort `json:"controlHosts"`
	PeerHosts            []netip.AddrPort `json:"peerHosts"` // peer addresses of other entry hosts, asked for the directory if no control host answers at startup
	TLS                  TLS              `json:"tls"`
	Log                  Log              `json:"log"`
	MaxFlows             int              `json:"maxFlows"`
	DrainSeconds         float64          `json:"drainSeconds"`         // after the handover of records, longest wait for packets to cease
	ShutdownLimitSeconds float64          `json:"shutdownLimitSeconds"` // longest duration of a graceful stop
}

// ControlMember describes one control host of the site. All control hosts have
// the same list of members.
type ControlMember struct {
	ID            uint64         `json:"id"`
	FailureDomain string         `json:"failureDomain"`
	LinkAddress   netip.AddrPort `json:"linkAddress"`
	OperatorURL   string         `json:"operatorUrl"`
}

// ControlHost holds the settings of cassiawood-control.
type ControlHost struct {
	ID               uint64          `json:"id"`
	Members          []ControlMember `json:"members"`
	DataFolder       string          `json:"dataFolder"`
	Rejoining        bool            `json:"rejoining"` // the data folder was lost, so the host catches up with the log before it votes
	OperatorAddress  netip.AddrPort  `json:"operatorAddress"`
	OperatorTLS      TLS             `json:"operatorTls"`
	TelemetryAddress netip.AddrPort  `json:"telemetryAddress"`
	TokensFile       string          `json:"tokensFile"` // written by "cassiawood keys"
	TLS              TLS             `json:"tls"`
	Log              Log             `json:"log"`
	FailureDomains   []string        `json:"failureDomains"`
}

// Seconds converts a setting in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadEntryHost reads and checks the settings of an entry host.
func LoadEntryHost(file string) (EntryHost, error) {
	s := EntryHost{
		Log: Log{Level: "info", Format: "json"}, MaxFlows: 400_000, DrainSeconds: 5, ShutdownLimitSeconds: 30,
	}
	return s, load(file, &s)
}

// LoadControlHost reads and checks the settings of a control host.
func LoadControlHost(file string) (ControlHost, error) {
	s := ControlHost{Log: Log{Level: "info", Format: "json"}}
	return s, load(file, &s)
}

// Self returns the member with the ID of this control host. Settings that passed
// the check always contain it.
func (s ControlHost) Self() ControlMember {
	for _, m := range s.Members {
		if m.ID == s.ID {
			return m
		}
	}
	return ControlMember{}
}
