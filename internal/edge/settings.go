// Package edge holds the duties of an entry host that keeps flows by tokens: it
// reads packets from the fabric, decides about each by itself and follows a
// control host for routes and endpoints.
package edge

import (
	"net/netip"
	"time"

	"cassiawood/internal/affinity"
)

// Settings of an entry host.
type Settings struct {
	File      string         // that holds the settings
	Host      string         // name in logs
	Domain    string         // failure domain
	Packets   netip.AddrPort // where the fabric sends packets
	Readiness netip.AddrPort // where the fabric asks whether this host takes part
	Telemetry netip.AddrPort
	LinkPort  uint16           // of the links between hosts
	Seeds     []netip.AddrPort // addresses of some control hosts
	StopLimit time.Duration    // from the signal to the end of the process
}

// SeedAddresses returns the seeds as text.
func (s Settings) SeedAddresses() []string {
	var list []string
	for _, seed := range s.Seeds {
		list = append(list, seed.String())
	}
	return list
}

// Fabric translates between datagrams and packets. Its methods keep no
// reference to the buffers and may be called by several duties.
type Fabric interface {
	// Decode reads the head of a datagram from a caller.
	Decode(datagram []byte) (affinity.Packet, error)
	// Forward appends the datagram that takes a caller's packet to an endpoint.
	Forward(buf, datagram []byte, endpoint uint64, token uint32) []byte
	// Reset appends the datagram that tells the caller that its flow has ended, and
	// returns where it goes.
	Reset(buf []byte, p affinity.Packet) ([]byte, netip.AddrPort)
}
