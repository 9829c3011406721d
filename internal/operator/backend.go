// Package operator is the HTTPS API that operators use to read and change a site:
// the server, which passes requests to a Backend, and the client of the command
// line. It also holds the API's tokens and certificates.
package operator

import (
	"context"
	"time"

	"cassiawood/internal/document"
)

// Backend handles the requests of operators. Control hosts implement it, and
// Client implements it over HTTPS. Errors that an operator can act on have a type
// in this package; all others are internal errors.
//
// All methods are safe for concurrent use.
type Backend interface {
	// Save puts a new text of one section in force. It returns once the change is
	// in force or refused. A second call with the same Change.ID returns the
	// first result. It fails with RefusedError, ConflictError, NoQuorumError,
	// NotLeaderError, NotFoundError (a base version of a section that does not
	// exist), UnauthorisedError (another team's section) or OutcomeUnknownError.
	Save(ctx context.Context, change Change) (SaveResult, error)
	// Sections returns the sections in force, in a stable order.
	Sections(ctx context.Context) ([]document.Section, error)
	// Section returns one section at a version; version 0 means the one in force.
	// It fails with NotFoundError.
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
	ID          string `json:"change_id"` // chosen by the client; a resend has the same ID
	Team        string `json:"-"`         // from the token, never from the request
	Author      string `json:"author"`    // name that the operator gives; not verified
	Section     string `json:"section"`   // heading of the section
	BaseVersion uint64 `json:"base_version"`
	Text        string `json:"text"`
}

// SaveResult is the result of an accepted change.
type SaveResult struct {
	ChangeID     string   `json:"change_id"`
	Section      string   `json:"section"`
	Version      uint64   `json:"version"`
	InForce      []string `json:"in_force"`                 // failure domains that have confirmed the change
	OutOfService []string `json:"out_of_service,omitempty"` // failure domains out of service, which need not confirm
}

// Revision is one accepted version of a section.
type Revision struct {
	Version  uint64    `json:"version"`
	At       time.Time `json:"at"`
	Team     string    `json:"team"`
	Author   string    `json:"author"`
	ChangeID string    `json:"change_id"`
}

// UnknownCount is the value of a count that the control hosts do not have.
const UnknownCount = -1

// Service is a service in force, with its load.
type Service struct {
	Name           string `json:"name"`
	Section        string `json:"section"`
	Team           string `json:"team"`
	Address        string `json:"address"`
	Protocol       string `json:"protocol"` // TCP or UDP
	Priority       string `json:"priority"` // "unbroken" or "balance"
	AnnouncedAs    string `json:"announced_as"`
	BackendServers int    `json:"backend_servers"` // number of announced backend servers
	Ready          int    `json:"ready"`           // number of backend servers that take new connections
	Connections    int    `json:"connections"`     // or UnknownCount
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
	SlotsInUse  int    `json:"slots_in_use"` // or UnknownCount
	Connections int    `json:"connections"`  // or UnknownCount
}

// Host is an entry host or a control host.
type Host struct {
	Name          string `json:"name"`
	Kind          string `json:"kind"` // "entry" or "control"
	Domain        string `json:"failure_domain"`
	State         string `json:"state"`          // entry: "joined", "active", "draining", "silent"; control: "leader", "voter", "catching up"
	Connections   int    `json:"connections"`    // or UnknownCount
	EntriesBehind uint64 `json:"entries_behind"` // number of log entries that it has not applied yet
}

// FailureDomain is a failure domain with the numbers of its hosts and backend servers.
type FailureDomain struct {
	Name           string `json:"name"`
	OutOfService   bool   `json:"out_of_service"`
	DeclaredBy     string `json:"declared_by,omitempty"` // who declared it out of service
	Hosts          int    `json:"hosts"`
	HostsInContact int    `json:"hosts_in_contact"`
	BackendServers int    `json:"backend_servers"`
}

// DomainChange is a request to declare a failure domain out of service or in service.
type DomainChange struct {
	ID           string `json:"change_id"`
	Team         string `json:"-"`
	Author       string `json:"author"`
	Domain       string `json:"failure_domain"`
	OutOfService bool   `json:"out_of_service"`
}

// HostDrain is a request to drain an entry host: it hands over its records and stops.
type HostDrain struct {
	ID     string `json:"change_id"`
	Team   string `json:"-"`
	Author string `json:"author"`
	Host   string `json:"host"`
}
