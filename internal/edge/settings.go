// Package edge implements an entry host that routes the packets of a flow by the token in them.
// It reads packets from the fabric, decides about each one locally and follows a control host,
// from which it receives routes and endpoints.
package edge

import (
	"net/netip"
	"time"

	"cassiawood/internal/affinity"
)

// Settings are the settings of an entry host.
type Settings struct {
	File             string           // path of the settings file
	Host             string           // host name in logs
	Domain           string           // failure domain
	PacketAddress    netip.AddrPort   // receives packets from the fabric here
	ReadinessAddress netip.AddrPort   // serves the fabric's readiness checks here
	TelemetryAddress netip.AddrPort   // serves metrics here
	LinkPort         uint16           // port of the links between hosts
	Seeds            []netip.AddrPort // addresses of some control hosts
	StopLimit        time.Duration    // from the stop signal to the end of the process
	// LinkBytesPerSecond is the capacity of this host's link; 0 if it is not known.
	LinkBytesPerSecond float64
}

// SeedAddresses returns the seeds as strings.
func (s Settings) SeedAddresses() []string {
	var list []string
	for _, seed := range s.Seeds {
		list = append(list, seed.String())
	}
	return list
}

// PacketCodec decodes and encodes the datagrams of the fabric. Its methods keep no
// reference to the buffers and may be called concurrently.
type PacketCodec interface {
	// Decode decodes the header of a datagram from a caller.
	Decode(datagram []byte) (affinity.Packet, error)
	// AppendForward appends to buf the datagram that forwards a caller's packet to an endpoint.
	AppendForward(buf, datagram []byte, endpoint uint64, token uint32) []byte
	// AppendReset appends to buf the datagram that resets the caller's flow, and returns the
	// destination.
	AppendReset(buf []byte, p affinity.Packet) ([]byte, netip.AddrPort)
}
