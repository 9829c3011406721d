// Package affinity decides where the packets of a flow go when the fabric
// returns a token with each of them.
//
// The fabric carries a 32-bit value that both ends of a flow repeat in their
// packets. The engine writes the token of the chosen endpoint into the first
// packet of a flow and routes every later packet by the token alone. Any entry
// host can do this without asking another one, because the token is a function
// of the endpoint's identity. What an entry host remembers of flows only
// improves its choices; no flow depends on it.
package affinity

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Flag is a bit set of the kinds of a packet.
type Flag uint8

// Flags of a packet.
const (
	SYN Flag = 1 << iota
	ACK
	FIN
	RST
)

// Packet is the head of a packet from a caller.
type Packet struct {
	Caller  netip.AddrPort // source
	Service netip.AddrPort // destination, the address of a route
	Flags   Flag
	Token   uint32 // that the sender repeats; 0 in the first packet of a flow
	Seq     uint32
	Ack     uint32
	Copy    uint32 // of a first packet: number of earlier copies
	Length  int    // of the data in bytes
}

// Verdict is what happens to a packet.
type Verdict uint8

// Verdicts.
const (
	Drop    Verdict = iota // silently
	Forward                // to Decision.Endpoint
	Reset                  // the caller is told that the flow has ended
)

// Reason says why a verdict was taken; it appears in logs and counters.
type Reason uint8

// Reasons.
const (
	Placed       Reason = iota // a new flow
	Moved                      // a copy of a first packet, sent to another endpoint than the ones before
	Repeated                   // a copy of a first packet, sent where the flow was placed
	ByToken                    // a later packet
	NoState                    // there are no routes yet, so nothing is known of the flow
	NoRoute                    // no route has the address
	NoEndpoint                 // the service has no endpoint
	UnknownToken               // the token names no endpoint known here
	ForeignToken               // the token names an endpoint of a service that the route never allowed
	EndpointGone               // the endpoint of the flow has ended
	Stalled                    // the endpoint acknowledges nothing, and the caller may try elsewhere
	CallerReset                // a reset by the caller that has no endpoint to go to
	reasonCount
)

var reasonNames = [reasonCount]string{
	"placed", "moved", "repeated", "by token", "no state", "no route", "no endpoint", "unknown token", "foreign token",
	"endpoint gone", "stalled", "caller reset",
}

func (r Reason) String() string { return reasonNames[r%reasonCount] }

// Reasons returns all reasons, for counters.
func Reasons() []Reason {
	all := make([]Reason, reasonCount)
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}

// Endpoint is a backend server as the engine sees it.
type Endpoint struct {
	ID       uint64
	Name     string
	Born     int64 // start of the incarnation, in milliseconds since the Unix epoch
	Service  string
	Address  netip.AddrPort
	Domain   string
	Slots    uint32
	Accepts  bool          // new flows: neither leaving nor gone
	Gone     bool          // has ended
	Silent   bool          // has not reported for some time
	ColdTill time.Duration // slow until then, by the clock of this host
}

// Decision is the answer to one packet.
type Decision struct {
	Verdict  Verdict
	Reason   Reason
	Endpoint *Endpoint     // of the flow, if it has one; valid until the next call
	Token    uint32        // to write into the packet
	Age      time.Duration // of a copy: since the first packet; of a stalled flow: since the data was sent first
	Repeats  int           // how often the caller has sent the data of this packet again without an answer
}

// Suspicion is a change of what this host believes of an endpoint.
type Suspicion struct {
	Endpoint string // name
	Suspect  bool   // gets no new flows while others can take them
	Failures int    // packets that callers have sent again since the endpoint's last answer
}

// Token returns the token of an endpoint. It is never 0, which a first packet carries.
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
