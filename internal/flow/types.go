// Package flow implements the decision engine of an entry host, which resolves each packet
// to the backend server of its flow. The engine does no I/O and reads no clock: its inputs
// are packets, peer events and the time, its outputs are verdicts and messages to peers.
// Sections 5.1 to 5.4 of docs/design.md state the rules.
package flow

import (
	"net/netip"
	"time"

	"cassiawood/internal/directory"
)

// Service holds the properties of a service that the engine uses.
type Service struct {
	Name         string
	Address      netip.AddrPort
	Protocol     uint8
	BucketCount  int  // a power of two
	BalanceFirst bool // every flow has a record and is placed by load
	Quarantined  bool // the address was released: old flows continue, new ones are refused
	Buckets      BucketTable
}

// BucketTable gives access to the buckets of one service.
type BucketTable interface {
	Bucket(number int) directory.Bucket
}

// Table is the engine's view of the directory at one index of the log. All hosts at the
// same index have equal tables. The engine caches what the methods return until the next
// call of SetTable, which must follow each change.
type Table interface {
	// Index returns the index of the last applied entry.
	Index() uint64
	// ServiceNames returns the names of all services, including quarantined ones.
	ServiceNames() []string
	// Service finds a service by its address, even in quarantine.
	Service(address netip.AddrPort, protocol uint8) (Service, bool)
	// ServiceNamed finds a service by its name.
	ServiceNamed(name string) (Service, bool)
	// Endpoint finds an endpoint, which may be a tombstone.
	Endpoint(id directory.EndpointID) (*directory.Endpoint, bool)
	// Accepts reports whether new flows may be placed on an endpoint.
	Accepts(id directory.EndpointID) bool
	// EndpointIDsAt returns the endpoints at an address, including tombstones.
	EndpointIDsAt(address netip.AddrPort) []directory.EndpointID
	// EndpointIDsOf returns the endpoints of a service that are not removed.
	EndpointIDsOf(service string) []directory.EndpointID
	// Holders returns the first and second holder of a bucket's records in the endpoint's
	// failure domain. second is empty if there is only one host.
	Holders(service string, bucket int, endpoint directory.EndpointID) (first, second string, ok bool)
	// Hosts returns the entry hosts.
	Hosts() []directory.Host
}

// Config holds the fixed parameters of an engine.
type Config struct {
	Host        string
	Incarnation uint64
	Domain      string
	Seed        uint64 // varies the hash slots of the flow table
	Capacity    int    // maximum number of flows; 0 means the default

	// ChooseEndpoint returns the endpoint for a new flow of a balance-first service, or 0 if none
	// may take it. If it is nil, the bucket's current endpoint is used.
	ChooseEndpoint func(service string, candidates []directory.EndpointID) directory.EndpointID
	// OnFlowClosed, if not nil, is called with the age of a flow when this host, as the first
	// holder of its record, sees the flow end.
	OnFlowClosed func(id directory.EndpointID, age time.Duration)
}

// Direction tells which side sent a packet.
type Direction uint8

// Packets go from a caller to a service, or from a backend server to a caller.
const (
	FromCaller Direction = iota
	FromBackend
)

// TCP flags as in RFC 9293, section 3.1.
const (
	FIN uint8 = 1 << iota
	SYN
	RST
	PSH
	ACK
)

// Protocol numbers of the inner packet.
const (
	ProtocolTCP uint8 = 6
	ProtocolUDP uint8 = 17
)

// Packet holds the fields of an inner packet that the verdict depends on.
type Packet struct {
	Direction  Direction
	Protocol   uint8
	Flags      uint8
	Caller     netip.AddrPort
	Service    netip.AddrPort // destination of a packet from a caller
	Backend    netip.AddrPort // source of a packet from a backend server
	Sequence   uint32
	Ack        uint32
	PayloadLen int
	Handoff    Handoff
}

// DomainID is the hash of a failure domain's name. It has 32 bits to fit the hand-off option.
type DomainID uint32

// MaxAskedDomains is the maximum number of failure domains queried for one packet.
const MaxAskedDomains = 8

// Handoff is the content of the hand-off option between entry hosts.
type Handoff struct {
	Present        bool
	HasRecord      bool
	Hops           uint8
	AskedCount     uint8
	Bucket         uint32
	PassedToSecond DomainID                  // domain whose first holder had no complete copy and passed the packet on; 0 if none
	Asked          [MaxAskedDomains]DomainID // failure domains whose holders reported no record
	Service        string
	Ingress        string        // host that received the packet from the fabric
	AskedAt        time.Duration // time at the ingress host, returned to it in the hint
	Record         Record        // set with HasRecord, on the first packet of a flow
}

// RecordState tells whether a backend server may have seen the flow.
type RecordState uint8

// A record is RecordPlaced until a packet of its flow may have been sent to the endpoint,
// then RecordSent.
const (
	RecordPlaced RecordState = iota + 1
	RecordSent
)

// Record assigns a flow to its endpoint.
type Record struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Protocol uint8
	State    RecordState
	Endpoint directory.EndpointID
	Sequence uint32   // initial sequence number of the caller
	Home     DomainID // failure domain whose holders keep the record
}

// Action is what is done with a packet.
type Action uint8

// The zero value is Drop.
const (
	Drop Action = iota
	ForwardToBackend
	ForwardToCaller
	HandOff
	Reset
)

// Outcome tells whether a backend server may have processed the flow that a reset ends.
type Outcome uint8

// NotRun is used only if no packet of the flow was sent to a backend server.
const (
	Unknown Outcome = iota
	NotRun
)

// Reason tells why a packet was dropped or reset.
type Reason uint8

// The reasons, which metrics count per host.
const (
	NoReason Reason = iota
	ReasonMalformed
	ReasonNoTable
	ReasonNoService
	ReasonNoEndpoint
	ReasonNotAccepting   // the endpoint takes no new flows and no move is committed yet
	ReasonQuarantined    // new flow to a released address
	ReasonWrongEndpoint  // response from an endpoint that is not the flow's
	ReasonEndpointGone   // the flow's endpoint was removed
	ReasonNoRecord       // no record, and the bucket has no base endpoint
	ReasonNoHolder       // no holder with a complete copy is reachable
	ReasonTooManyHops    // the packet reached the limit of hand-offs
	ReasonFenced         // the host's table is too old to resolve the packet
	ReasonCutOff         // this host's failure domain is cut off from a current table, so it may not resolve the packet
	ReasonFull           // the flow table has no space for a record
	ReasonServiceChanged // the hand-off names another service than the packet
	reasonCount
)

// ReasonCount is the number of reasons, for arrays of counters.
const ReasonCount = int(reasonCount)

var reasonNames = [reasonCount]string{
	"none", "malformed", "no-table", "no-service", "no-endpoint", "not-accepting", "quarantined", "wrong-endpoint",
	"endpoint-gone", "no-record", "no-holder", "too-many-hops", "fenced", "cut-off", "full", "service-changed",
}

// String returns the name of the reason in metrics.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "invalid"
}

// Verdict is the engine's decision about one packet.
type Verdict struct {
	Action   Action
	Outcome  Outcome
	Reason   Reason
	Endpoint directory.EndpointID // the flow's endpoint
	Address  netip.AddrPort       // new destination, or new source of a packet to the caller
	Host     string               // target of a hand-off
	Handoff  Handoff              // hand-off option to send along
}
