// Package operator is the operators' way into the control process: an HTTPS API
// that translates requests to a Backend, and the client that the command line uses.
package operator

import (
	"context"
	"time"

	"cassiawood/internal/document"
)

// Backend answers operators. The control process implements it; Client
// implements it over HTTPS. The errors that have a meaning to an operator are
// the types in this package.
//
// Every method may be called by several goroutines at once.
type Backend interface {
	// Save puts a new text of one section in force. It returns after the change
	// is in force or refused. A second call with the same Change.ID returns the
	// first answer. It fails with Refused, Race, NoQuorum, NotLeader, NotFound
	// (a base version of a section that does not exist), Unauthorised (another
	// team's section) or Unanswered.
	Save(ctx context.Context, change Change) (Answer, error)
	// Sections returns the sections in force, in a stable order.
	Sections(ctx context.Context) ([]document.Section, error)
	// Section returns one section at a version; version 0 means the one in force.
	// It fails with NotFound.
	Section(ctx context.Context, heading string, version uint64) (document.Section, error)
	// History returns the accepted versions of a section, newest first.
	History(ctx context.Context, heading string) ([]Revision, error)
	// Services returns the services in force.
	Services(ctx context.Context) ([]Service, error)
	// BackendServers returns the backend servers that have announced themselves.
	BackendServers(ctx context.Context) ([]BackendServer, error)
	// Hosts returns the entry hosts and the control hosts.
	Hosts(ctx context.Context) ([]Host, error)
	// FailureDomains returns the failure domains.
	FailureDomains(ctx context.Context) ([]FailureDomain, error)
	// DeclareOutOfService takes a failure domain out of service, so that changes
	// no longer wait for it, or back into service. A repeated call has no effect.
	DeclareOutOfService(ctx context.Context, change DomainChange) error
	// DrainHost asks an entry host to hand over its records and stop. A repeated
	// call has no effect.
	DrainHost(ctx context.Context, drain HostDrain) error
}

// Change is a new text of one section.
type Change struct {
	ID      string `json:"change_id"` // chosen by the client; a resend carries the same one
	Team    string `json:"-"`         // from the token, never from the request
	Author  string `json:"author"`    // what the operator calls themselves; not checked
	Section string `json:"section"`   // the heading
	Base    uint64 `json:"base_version"`
	Text    string `json:"text"`
}

// Answer says where an accepted change is in force.
type Answer struct {
	ChangeID     string   `json:"change_id"`
	Section      string   `json:"section"`
	Version      uint64   `json:"version"`
	InForce      []string `json:"in_force"`                 // failure domains that have confirmed the change
	OutOfService []string `json:"out_of_service,omitempty"` // failure domains that were not asked
}

// Revision is one accepted version of a section.
type Revision struct {
	Version  uint64    `json:"version"`
	At       time.Time `json:"at"`
	Team     string    `json:"team"`
	Author   string    `json:"author"`
	ChangeID string    `json:"change_id"`
}

// NotKnown stands for a number that the control hosts do not know.
const NotKnown = -1

// Service is a service in force, with its load.
type Service struct {
	Name           string `json:"name"`
	Section        string `json:"section"`
	Team           string `json:"team"`
	Address        string `json:"address"`
	Protocol       string `json:"protocol"` // TCP or UDP
	Priority       string `json:"priority"` // "unbroken" or "balance"
	AnnouncedAs    string `json:"announced_as"`
	BackendServers int    `json:"backend_servers"` // all that are present
	Ready          int    `json:"ready"`           // those that take new connections
	Connections    int    `json:"connections"`     // NotKnown if it is not
}

// BackendServer is one instance of a backend server.
type BackendServer struct {
	Instance    string `json:"instance"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	Domain      string `json:"failure_domain"`
	State       string `json:"state"` // "starting", "ready", "draining" or "leaving"
	Suspected   bool   `json:"suspected"`
	Slots       int    `json:"slots"`
	InUse       int    `json:"slots_in_use"` // NotKnown if it is not
	Connections int    `json:"connections"`  // NotKnown if it is not
}

// Host is an entry host or a control host.
type Host struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"` // "entry" or "control"
	Domain      string `json:"failure_domain"`
	State       string `json:"state"`          // "joined", "active", "draining", "silent"; "leader", "voter", "catching up"
	Connections int    `json:"connections"`    // NotKnown if it is not
	Behind      uint64 `json:"entries_behind"` // log entries that it has yet to apply
}

// FailureDomain is a failure domain and what is in it.
type FailureDomain struct {
	Name           string `json:"name"`
	OutOfService   bool   `json:"out_of_service"`
	DeclaredBy     string `json:"declared_by,omitempty"` // who declared it out of service
	Hosts          int    `json:"hosts"`
	HostsInContact int    `json:"hosts_in_contact"`
	BackendServers int    `json:"backend_servers"`
}

// DomainChange declares a failure domain out of service or in service.
type DomainChange struct {
	ID     string `json:"change_id"`
	Team   string `json:"-"`
	Author string `json:"author"`
	Domain string `json:"failure_domain"`
	Out    bool   `json:"out_of_service"`
}

// HostDrain asks an entry host to stop as planned.
type HostDrain struct {
	ID     string `json:"change_id"`
	Team   string `json:"-"`
	Author string `json:"author"`
	Host   string `json:"host"`
}
