// Package flow is the decision engine of an entry host: it resolves each packet
// to the backend server of its flow. It does no I/O and reads no clock; packets,
// peer events and the time go in, verdicts and messages for peers come out.
// The rules are those of docs/design.md, sections 5.1 to 5.4.
package flow

import (
	"net/netip"
	"time"

	"cassiawood/internal/directory"
)

// Service is what the engine needs to know of a service.
type Service struct {
	Name         string
	Address      netip.AddrPort
	Protocol     uint8
	Buckets      int  // a power of two
	BalanceFirst bool // every flow gets a record and is placed by load
	Quarantined  bool // released: old flows continue, new ones are refused
	Table        Buckets
}

// Buckets reads the buckets of one service.
type Buckets interface {
	Bucket(number int) directory.Bucket
}

// Table is the engine's view of the directory at one index of the log. All
// hosts at the same index have equal tables. The engine keeps what the methods
// return until the next call of SetTable, which must follow each change.
type Table interface {
	// Index is the index of the last applied entry.
	Index() uint64
	// Services lists the names of all services, quarantined ones included.
	Services() []string
	// Service finds a service by its address, also while it is in quarantine.
	Service(address netip.AddrPort, protocol uint8) (Service, bool)
	// ServiceNamed finds a service by its name, with its present address.
	ServiceNamed(name string) (Service, bool)
	// Endpoint finds an endpoint, tombstones included.
	Endpoint(id directory.EndpointID) (*directory.Endpoint, bool)
	// Accepts says whether new flows may be placed on an endpoint.
	Accepts(id directory.EndpointID) bool
	// EndpointsAt lists the endpoints at an address, tombstones included.
	EndpointsAt(address netip.AddrPort) []directory.EndpointID
	// EndpointsOf lists the endpoints of a service that are not removed.
	EndpointsOf(service string) []directory.EndpointID
	// Holders names the first and second holder of the records of a bucket in
	// the endpoint's failure domain. second is empty if there is only one host.
	Holders(service string, bucket int, endpoint directory.EndpointID) (first, second string, ok bool)
	// Hosts lists the entry hosts.
	Hosts() []directory.Host
}

// Config holds the fixed parameters of an engine. Zero values of the limits
// stand for the defaults.
type Config struct {
	Host        string
	Incarnation uint64
	Domain      string
	Seed        uint64 // varies the order in which the flow table chains its slots
	Capacity    int    // flows held at most

	// Choose picks the endpoint of a new flow of a balance-first service, or 0
	// if none may take it. Without it the bucket's current endpoint is used.
	Choose func(service string, candidates []directory.EndpointID) directory.EndpointID
	// Closed is told of the end of a flow that this host placed with Choose and
	// saw end, with the flow's age; it may be nil.
	Closed func(id directory.EndpointID, age time.Duration)
}

// Direction is the direction of a packet.
type Direction uint8

// Packets run from a caller to a service, or from a backend server to a caller.
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

// Packet is the part of an inner packet that decisions depend on.
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

// DomainID is the hash of a failure domain's name, short enough for the
// hand-off option.
type DomainID uint32

// MaxAsked bounds the failure domains that one packet may ask.
const MaxAsked = 8

// Handoff is the content of the hand-off option between entry hosts.
type Handoff struct {
	Present   bool
	HasRecord bool
	Hops      uint8
	AskedLen  uint8
	Bucket    uint32
	Passed    DomainID           // the first holder there has no whole copy and asks the second; 0 is none
	Asked     [MaxAsked]DomainID // failure domains whose holders have no record
	Service   string
	Ingress   string        // host that took the packet from the fabric
	AskedAt   time.Duration // clock of the ingress host; returned in its hint
	Record    Record        // travels with the first packet of a flow
}

// RecordState says whether a backend server may have seen the flow.
type RecordState uint8

// A flow is placed before, and sent from the first packet that leaves for its endpoint.
const (
	Placed RecordState = iota + 1
	Sent
)

// Record binds a flow to its endpoint.
type Record struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Protocol uint8
	State    RecordState
	Endpoint directory.EndpointID
	Sequence uint32   // initial sequence number of the caller
	Home     DomainID // failure domain whose holders keep the record
}

// Action is what to do with a packet.
type Action uint8

// The zero action drops.
const (
	Drop Action = iota
	ForwardToBackend
	ForwardToCaller
	HandOff
	Reset
)

// Outcome is what a caller may conclude from a reset.
type Outcome uint8

// NotRun is claimed only if no packet of the flow was sent to a backend server.
const (
	Unknown Outcome = iota
	NotRun
)

// Reason says why a packet was dropped or reset.
type Reason uint8

// Reasons are counted per host.
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
	ReasonNoRecord       // no record, and the bucket has no base
	ReasonNoHolder       // no complete holder is reachable
	ReasonTooManyHops    // hand-offs are bounded
	ReasonFenced         // the host's table is too old to decide
	ReasonCutOff         // the endpoint is in a failure domain that cannot be reached
	ReasonFull           // the flow table has no place for a record
	ReasonServiceChanged // the hand-off names another service than the packet
	reasonCount
)

// ReasonCount is the number of reasons, for arrays of counters.
const ReasonCount = int(reasonCount)

var reasonNames = [reasonCount]string{
	"none", "malformed", "no-table", "no-service", "no-endpoint", "not-accepting", "quarantined", "wrong-endpoint",
	"endpoint-gone", "no-record", "no-holder", "too-many-hops", "fenced", "cut-off", "full", "service-changed",
}

// String returns the name used in metrics.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "invalid"
}

// Verdict is the decision about one packet.
type Verdict struct {
	Action   Action
	Outcome  Outcome
	Reason   Reason
	Endpoint directory.EndpointID // the flow's endpoint
	Address  netip.AddrPort       // new destination, or new source towards the caller
	Host     string               // target of a hand-off
	Handoff  Handoff              // option for the hand-off
}
