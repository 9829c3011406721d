package directory

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"cassiawood/internal/document"
)

const (
	// DefaultBuckets is the number of buckets of a service.
	DefaultBuckets = 1024
	// TombstoneDuration is how long a removed endpoint is kept as a tombstone, in log
	// time. Packets of a flow that lasts a whole working day must not reach a later
	// instance on the same address.
	TombstoneDuration = 24 * time.Hour
	// QuarantineDuration is how long an address that a service released cannot be
	// given to another service, in log time.
	QuarantineDuration = 24 * time.Hour
	// maxAnswers bounds the stored answers to changes; at 4,200 changes a day
	// they cover more than two days.
	maxAnswers = 10_000
	// maxPending bounds the changes that wait for a decision. The leader decides
	// each within 5 s, so only a faulty client reaches it.
	maxPending = 256
)

// Outcome is the result of applying one entry.
type Outcome struct {
	Index    uint64
	Ignored  bool       // the entry was applied before
	Applied  bool       // the command is valid and in force
	Reason   string     // why the command was refused
	Endpoint EndpointID // of EndpointAdded
	Answer   *Answer    // to a change that is decided
}

// State is the directory at one index of the log. It is not safe for
// concurrent use; in each process only one duty uses it.
type State struct {
	index   uint64
	now     time.Duration // highest log time of the applied entries
	buckets int

	sections                map[string]*Section
	sectionList             []Section // sections by heading; replaced and never modified
	services                map[string]*ServiceState
	servicesByAddress       addressMap[*ServiceState] // includes quarantined addresses
	servicesByAnnouncedName map[string]string         // announced name to service name

	quarantine []*ServiceState // released addresses, in the order of their release

	pending     []PendingChange // in the order of their entries
	answers     map[string]*Answer
	answerOrder []string // change IDs of answers, oldest first

	endpoints     map[EndpointID]*Endpoint
	idsByInstance map[string]EndpointID
	idsByAddress  addressMap[[]EndpointID] // newest first, without protocol
	tombstones    []EndpointID             // in the order of their removal
	lastID        EndpointID

	hosts          map[string]*Host
	hostList       []Host       // sorted by name; replaced and never modified
	activeHosts    []activeHost // sorted by name
	activeByDomain map[string][]activeHost
	outOfService   map[string]bool // true for a domain that is declared out of service

	pendingMoves []pendingMove // in the order of their entries
}

// New returns an empty directory with DefaultBuckets buckets for each service.
func New() *State { return NewWithBuckets(DefaultBuckets) }

// NewWithBuckets returns an empty directory whose services have the given
// number of buckets, a power of two. All hosts must use the same number.
func NewWithBuckets(buckets int) *State {
	return &State{
		buckets:                 buckets,
		sections:                map[string]*Section{},
		services:                map[string]*ServiceState{},
		servicesByAddress:       newAddressMap[*ServiceState](),
		servicesByAnnouncedName: map[string]string{},
		answers:                 map[string]*Answer{},
		endpoints:               map[EndpointID]*Endpoint{},
		idsByInstance:           map[string]EndpointID{},
		idsByAddress:            newAddressMap[[]EndpointID](),
		hosts:                   map[string]*Host{},
		activeByDomain:          map[string][]activeHost{},
		outOfService:            map[string]bool{},
	}
}

// Apply applies the next entry. It ignores an entry at or below the applied
// index. A nil command advances only the index and the log time.
func (s *State) Apply(e Entry) Outcome {
	if e.Index <= s.index {
		return Outcome{Index: e.Index, Ignored: true}
	}
	s.index = e.Index
	// A new leader's clock may be behind; log time never goes back.
	s.now = max(s.now, e.At)
	s.expire()
	out := s.applyCommand(e.Command)
	out.Index = e.Index
	return out
}

func (s *State) applyCommand(c Command) Outcome {
	switch c := c.(type) {
	case nil:
		return Outcome{Applied: true}
	case ChangePrepared:
		return s.prepareChange(c)
	case ChangeDecided:
		return s.decideChange(c)
	case EndpointAdded:
		return s.addEndpoint(c.Endpoint)
	case EndpointStateChanged:
		return s.changeEndpointState(c)
	case EndpointRemoved:
		return s.removeInstance(c.Instance)
	case EndpointSuspected:
		return s.setSuspicion(c)
	case HostAdded:
		return s.addHost(c.Host)
	case HostActivated:
		return s.activateHost(c)
	case HostRemoved:
		return s.removeHost(c)
	case DomainService:
		return s.setDomainService(c)
	case MovesCommitted:
		return s.commitMoves(c.UpTo)
	case BucketsMoved:
		return s.moveBuckets(c)
	default:
		return refuse("unknown command %T", c)
	}
}

func refuse(format string, args ...any) Outcome {
	return Outcome{Reason: fmt.Sprintf(format, args...)}
}

// expire removes the tombstones and quarantined addresses whose time is over.
func (s *State) expire() {
	s.expireTombstones()
	s.expireQuarantine()
}

// Index returns the index of the last applied entry.
func (s *State) Index() uint64 { return s.index }

// Now returns the log time.
func (s *State) Now() time.Duration { return s.now }

// ServiceByAddress returns the service that callers reach at an address. The
// state of an address in quarantine has Quarantined set.
func (s *State) ServiceByAddress(address netip.AddrPort, protocol document.Protocol) (*ServiceState, bool) {
	return s.servicesByAddress.get(addressKey{address, protocol})
}

// Service returns a service by its name. A service that the document no longer
// has is returned with Quarantined set until the quarantine of its last address
// ends.
func (s *State) Service(name string) (*ServiceState, bool) {
	service, ok := s.services[name]
	return service, ok
}

// ServiceNames returns the names of all services in order, including quarantined ones.
func (s *State) ServiceNames() []string { return sortedKeys(s.services) }

// ServiceAnnouncedAs returns the service whose backend servers announce a name.
func (s *State) ServiceAnnouncedAs(announced string) (*ServiceState, bool) {
	service, ok := s.services[s.servicesByAnnouncedName[announced]]
	return service, ok
}

// Endpoint returns an endpoint or tombstone.
func (s *State) Endpoint(id EndpointID) (*Endpoint, bool) {
	endpoint, ok := s.endpoints[id]
	return endpoint, ok
}

// EndpointByInstance returns an endpoint or tombstone by its instance.
func (s *State) EndpointByInstance(instance string) (*Endpoint, bool) {
	return s.Endpoint(s.idsByInstance[instance])
}

// EndpointByAddress returns the newest instance at an address, which may be a
// tombstone.
func (s *State) EndpointByAddress(address netip.AddrPort) (*Endpoint, bool) {
	ids := s.EndpointIDsByAddress(address)
	if len(ids) == 0 {
		return nil, false
	}
	return s.Endpoint(ids[0])
}

// EndpointIDsByAddress returns all instances at an address, newest first; only
// the first can be present. The caller must not modify the slice.
func (s *State) EndpointIDsByAddress(address netip.AddrPort) []EndpointID {
	ids, _ := s.idsByAddress.get(addressKey{address: address})
	return ids
}

// indexEndpoint adds a new endpoint to the indexes by instance and by address.
func (s *State) indexEndpoint(e *Endpoint) {
	s.idsByInstance[e.Instance] = e.ID
	s.idsByAddress.set(addressKey{address: e.Address}, slices.Insert(slices.Clone(s.EndpointIDsByAddress(e.Address)), 0, e.ID))
}

// EndpointIDs returns the IDs of all endpoints and tombstones in order.
func (s *State) EndpointIDs() []EndpointID { return sortedKeys(s.endpoints) }

// sortedKeys returns the keys of m in ascending order. Iterating in this order
// makes every host compute the same state and the same snapshot.
func sortedKeys[K ~string | ~uint32, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
