// Package affinity routes the packets of flows on a fabric that carries a token.
//
// The token is a 32-bit value that both ends of a flow echo in their packets. The
// engine writes the token of the chosen endpoint into the first packet of a flow and
// routes later packets by the token alone. Any entry host can do so, because the token
// is a function of the endpoint's ID. Remembered flows only improve choices; no flow depends on them.
package affinity

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Flag is a bit set of TCP flags.
type Flag uint8

// Flags of a packet.
const (
	SYN Flag = 1 << iota
	ACK
	FIN
	RST
)

// Packet is the header of a packet from a caller.
type Packet struct {
	Caller      netip.AddrPort // source
	Service     netip.AddrPort // destination, the address of a route
	Flags       Flag
	Token       uint32 // echoed by the caller; 0 in the first packet of a flow
	Seq         uint32
	Ack         uint32
	Retransmits uint32 // of a first packet: number of earlier transmissions
	Length      int    // of the data in bytes
}

// Verdict is what happens to a packet.
type Verdict uint8

// Verdicts.
const (
	Drop    Verdict = iota // silently
	Forward                // to Decision.Endpoint
	Reset                  // the caller gets a reset
)

// Reason is the cause of a verdict. Its name appears in logs and counters.
type Reason uint8

// Reasons.
const (
	Placed       Reason = iota // a new flow
	Unanswered                 // a retransmitted first packet whose caller is to open another flow, at another endpoint
	NotPlaced                  // a retransmitted first packet of which this host has not placed an earlier transmission
	Repeated                   // a retransmitted first packet, sent to the endpoint of the flow
	ByToken                    // a later packet, routed by its token
	NoState                    // no routes have been installed yet
	NoRoute                    // no route has the address
	NoEndpoint                 // the service has no endpoint
	UnknownToken               // no known endpoint has the token
	ForeignToken               // the token is that of an endpoint whose service the route never allowed
	EndpointGone               // the endpoint of the flow has ended
	Stalled                    // the endpoint acknowledges nothing, and the caller may repeat the request elsewhere
	CallerReset                // a reset by the caller without an endpoint to forward it to
	OldState                   // a first packet while the state may be older than a pause of this host
	LateCopy                   // a retransmitted first packet of an open flow whose endpoint gets no first packets
	ColdLimit                  // a retransmitted first packet for an endpoint whose limit during the slow start is used up
	LinkFull                   // the link of this host is full, and the caller may come through another one
	Waited                     // the packet may have waited during a pause of this host, and an answer would have an old number
	reasonCount
)

var reasonNames = [reasonCount]string{
	"placed", "unanswered", "not placed", "repeated", "by token", "no state", "no route", "no endpoint", "unknown token", "foreign token",
	"endpoint gone", "stalled", "caller reset", "old state", "late copy", "cold limit", "link full", "waited",
}

// String returns the name of the reason in logs and counters.
func (r Reason) String() string { return reasonNames[r%reasonCount] }

// Reasons returns all reasons, so that each can have a counter.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Endpoint is one incarnation of a backend server.
type Endpoint struct {
	ID           uint64
	Name         string
	StartedAtMs  int64 // start of the incarnation, in milliseconds since the Unix epoch
	Service      string
	Address      netip.AddrPort
	Domain       string
	Slots        uint32
	AcceptsFlows bool          // takes new flows
	Gone         bool          // has ended
	Silent       bool          // has sent no report for some time
	ColdUntil    time.Duration // end of its slow phase after the start, by the clock of this host
	ColdSeq      uint64        // sequence number of the report that changed ColdUntil, see registry.Endpoint
}

// Decision is what the engine decided for one packet.
type Decision struct {
	Verdict         Verdict
	Reason          Reason
	Endpoint        *Endpoint     // of the flow, if it has one; valid until the next call
	Token           uint32        // to write into the packet
	Age             time.Duration // of a retransmitted first packet: since its first transmission; of a stalled flow: since that of the data
	DataRetransmits int           // how often the caller has retransmitted the data of this packet
	Working         int           // of a placed flow: flows of the endpoint with work in progress, this one included
	OpenFlows       int           // of a placed flow: flows of the endpoint that this host remembers, this one included
}

// FlowReset is a reset to send to the caller of an idle flow whose endpoint has ended or answers nothing.
type FlowReset struct {
	Caller, Service netip.AddrPort
	Ack             uint32        // acknowledgment number of the last packet of the caller that came through this host
	Idle            time.Duration // since that packet
	Endpoint        string        // name of the endpoint
	EndpointEnded   bool          // it has ended; if not, it answers nothing
}

// Suspicion reports that this host has started or stopped to suspect an endpoint of failure.
type Suspicion struct {
	Endpoint string // its name
	Suspect  bool   // it gets no new flows while others can take them
	Failures int    // packets without an answer since the endpoint's last answer
}

// Token returns the token of the endpoint with the ID. It is never 0, the value in first packets.
func Token(id uint64) uint32 {
	var b [8]byte
	for i := range b {
		b[i] = byte(id >> (8 * i))
	}
	h := xxhash.Sum64(b[:])
	if t := uint32(h) ^ uint32(h>>32); t != 0 {
		return t
	}
	return 1
}
