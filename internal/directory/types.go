// Package directory is the replicated state machine of cassiawood: the
// document, the endpoints, the entry hosts and the bucket tables. It is a pure
// function of the log, so that every host at the same index has the same tables.
package directory

import (
	"net/netip"
	"time"

	"cassiawood/internal/document"
)

// EndpointID identifies one instance of a backend server. The log assigns it
// in order and never uses it again, so a restarted backend server on the same
// address is a new endpoint. 0 means none.
type EndpointID uint32

// EndpointState is the state that a backend server announces for itself.
type EndpointState uint8

// States in the order in which an instance passes through them. An instance
// never returns to an earlier state.
const (
	Starting EndpointState = iota
	Ready
	Draining // finishes its flows and takes no new ones
	Leaving  // about to stop, takes no new flows
	Removed  // tombstone: its flows have ended
)

// AcceptsFlows reports whether new flows may be placed on an endpoint in state s.
func (s EndpointState) AcceptsFlows() bool { return s == Ready }

// Endpoint is one instance of a backend server.
type Endpoint struct {
	ID        EndpointID
	Instance  string // chosen by the backend server at its start
	Service   string
	Address   netip.AddrPort
	Domain    string
	Slots     int
	State     EndpointState
	HealthURL string
	LoadURL   string
	Suspected bool          // its probes fail; it keeps its flows and gets no new ones
	RemovedAt time.Duration // log time of the removal; 0 while present
}

// HostState tells whether an entry host holds records of flows.
type HostState uint8

// A joined host forwards packets; an active one also holds records.
const (
	HostJoined HostState = iota
	HostActive
)

// Host is one incarnation of an entry host.
type Host struct {
	Name        string
	Incarnation uint64 // increases with each start of the process
	Domain      string
	PacketAddr  netip.AddrPort // Geneve
	PeerAddr    netip.AddrPort // yamux
	State       HostState
}

// Bucket lists the endpoints that serve the flows of one bucket of a service's
// table; see docs/design.md, section 5.1.
type Bucket struct {
	Current EndpointID   // gets the new flows
	Base    EndpointID   // serves the flows that have no record; a removed endpoint represents all removed ones; 0 means none
	Since   []EndpointID // endpoints of flows that have records, newest first
	Next    EndpointID   // target of the prepared move; 0 means that none is prepared
}

// Settled reports whether all flows of the bucket are on Current, so that none
// of them needs a record.
func (b *Bucket) Settled() bool {
	return b.Base == b.Current && len(b.Since) == 0 && b.Next == 0
}

// Entry is one entry of the log. At is the leader's clock in time since the
// Unix epoch; the directory reads no other clock.
type Entry struct {
	Index   uint64
	At      time.Duration
	Command Command
}

// Command is the operation that a log entry performs on the directory.
type Command interface{ isCommand() }

// ChangePrepared records a change of one section that waits for every failure
// domain in service to confirm it.
type ChangePrepared struct {
	ChangeID    string
	Team        string
	Author      string
	Section     string
	BaseVersion uint64
	Text        string
	Services    []document.Service // parsed from Text and checked, so that Apply needs no parser
}

// ChangeDecided ends a prepared change.
type ChangeDecided struct {
	ChangeID string
	Accepted bool
	Reason   string // why it was refused
}

// EndpointAdded adds an instance, to which the directory assigns an ID.
type EndpointAdded struct{ Endpoint Endpoint }

// EndpointStateChanged moves an instance forward through its states.
type EndpointStateChanged struct {
	Instance string
	State    EndpointState
}

// EndpointRemoved turns an instance into a tombstone.
type EndpointRemoved struct{ Instance string }

// EndpointSuspected sets or clears the suspicion that an instance is unhealthy.
type EndpointSuspected struct {
	Instance  string
	Suspected bool
}

// HostAdded adds an incarnation of an entry host, replacing an earlier one.
type HostAdded struct{ Host Host }

// HostActivated makes a joined incarnation of an entry host active, so that it
// holds records.
type HostActivated struct {
	Name        string
	Incarnation uint64
}

// HostRemoved removes an incarnation of an entry host. With Drain set, an
// operator asks the host to hand over its records and stop; without it, the
// host may join again.
type HostRemoved struct {
	Name        string
	Incarnation uint64
	Drain       bool
}

// DomainService declares a failure domain out of service, or in service again.
type DomainService struct {
	Domain string
	Out    bool
	Author string
}

// MovesCommitted commits the moves that were prepared by entries up to index UpTo.
type MovesCommitted struct{ UpTo uint64 }

// BucketsMoved moves Count buckets of a service from one endpoint to another to
// balance their load.
type BucketsMoved struct {
	Service string
	From    EndpointID
	To      EndpointID
	Count   int
}

func (ChangePrepared) isCommand()       {}
func (ChangeDecided) isCommand()        {}
func (EndpointAdded) isCommand()        {}
func (EndpointStateChanged) isCommand() {}
func (EndpointRemoved) isCommand()      {}
func (EndpointSuspected) isCommand()    {}
func (HostAdded) isCommand()            {}
func (HostActivated) isCommand()        {}
func (HostRemoved) isCommand()          {}
func (DomainService) isCommand()        {}
func (MovesCommitted) isCommand()       {}
func (BucketsMoved) isCommand()         {}
