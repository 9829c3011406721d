package lab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
)

// States that a backend server announces (docs/design.md, section 6.3).
const (
	stateStarting = "starting"
	stateReady    = "ready"
	stateDraining = "draining"
	stateLeaving  = "leaving"
)

const (
	// maxConnections bounds the open connections of one backend server, about
	// four times the 2000 that the design assumes.
	maxConnections = 8192
	// backendInboxCapacity leaves room for one event of every connection, and for
	// commands, probes and ticks.
	backendInboxCapacity = maxConnections + 1024
	// backendTick bounds the timing error of requests.
	backendTick = 2 * time.Millisecond
	// newFlowGracePeriod is the time after which a draining or leaving backend server
	// must not get a new flow (docs/design.md, section 1.1, P6).
	newFlowGracePeriod = 3 * time.Second
	// leaveTimeout is the time after which a leaving backend server aborts the
	// connections that callers keep open.
	leaveTimeout = 30 * time.Second
	// firstPacketTimeout is longer than the stack takes to create the connection of a first
	// packet that it has received.
	firstPacketTimeout = time.Second
	// maxAccepted bounds the list of accepted connections.
	maxAccepted = 1 << 20
)

// BackendConfig describes one instance of a backend server.
type BackendConfig struct {
	Instance     string
	Service      string // name under which it announces itself
	Domain       string
	Address      netip.AddrPort
	Slots        int
	QueueLimit   int
	ColdStart    time.Duration // time in state "starting"
	Lease        time.Duration
	AnnounceURLs []string // tried in turn; if empty, nothing is announced
	Token        string   // sent as bearer token if not empty
	ProbeListen  string   // listening address of the health and load endpoints, such as 127.0.0.1:0
}

// BackendFaults are faults in what a backend server reports about itself.
type BackendFaults struct {
	Probe          ProbeFault
	ProbeLag       time.Duration // with ProbeOutdated; at most maxProbeLag
	StopAnnouncing bool
	ClaimReady     bool // announces "ready" after it has announced "draining" or "leaving"
}

// Accepted is a connection that a backend server accepted.
type Accepted struct {
	Caller netip.AddrPort
	At     time.Duration // since the start of the instance
}

// BackendReport holds the counters of one instance.
type BackendReport struct {
	Instance, Service, State   string
	Slots                      int
	Work                       WorkStats
	Open                       int
	LateFlows                  uint64 // connections accepted, and first packets dropped, more than 3 s after it began to drain or leave
	Aborted                    uint64 // connections that callers kept open longer than a leaving instance waits
	Malformed                  uint64 // connections on which a malformed request arrived
	Announced, AnnounceRefused uint64
	Accepted                   []Accepted
	Executions                 map[uint64]Execution
}

// Backend is a running instance of a backend server.
type Backend struct {
	config     BackendConfig
	fabric     *Fabric
	stack      *tcpStack
	attachment *attachment
	listener   *socket
	inbox      *ring.Ring[backendEvent]
	announce   *ring.Ring[announcement]
	probes     *probeServer
	group      *duty.Group
	now        func() time.Duration
	tickQueued atomic.Bool
	state      *backendState // owned by the serving duty
	log        *slog.Logger
}

// backendEvent is an event for the serving duty: of a connection, of the listener,
// a function to call, or a tick if all fields are zero.
type backendEvent struct {
	conn   *backendConn
	accept bool
	do     func(s *backendState)
}

// StartBackend attaches a new instance to the fabric and starts it.
func StartBackend(f *Fabric, config BackendConfig, log *slog.Logger, onFatal func(error)) (*Backend, error) {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	b := &Backend{
		config:   config,
		fabric:   f,
		inbox:    ring.New[backendEvent](config.Instance, backendInboxCapacity, ring.DropNewest),
		announce: ring.New[announcement](config.Instance+"-announce", 1, ring.DropOldest),
		group:    duty.NewGroup(log, watchdogTimeout, onFatal),
		now:      now,
		log:      log.With("instance", config.Instance),
	}
	var err error
	if b.stack, b.attachment, err = f.newStack(config.Domain, []netip.Addr{config.Address.Addr()}); err != nil {
		return nil, fmt.Errorf("backend server %s: %w", config.Instance, err)
	}
	if b.listener, err = b.stack.listen(config.Address, func() { _, _ = b.inbox.Put(backendEvent{accept: true}) }); err != nil {
		return nil, fmt.Errorf("backend server %s: %w", config.Instance, err)
	}
	if b.probes, err = newProbeServer(config.ProbeListen, b.inbox, log); err != nil {
		return nil, fmt.Errorf("backend server %s: %w", config.Instance, err)
	}
	b.state = newBackendState(b)
	b.addDuties()
	b.group.Start()
	return b, nil
}

func (b *Backend) addDuties() {
	b.group.Add(duty.FromRing(b.config.Instance+"-serve", b.inbox, b.handle))
	b.group.Add(duty.FromRing(b.config.Instance+"-announce", b.announce, newAnnouncer(b).send))
	b.group.Add(duty.Duty{Name: b.config.Instance + "-probes", Run: b.probes.run})
	b.group.Add(tickDuty(b.config.Instance+"-clock", backendTick, &b.tickQueued, func() { _, _ = b.inbox.Put(backendEvent{}) }))
	b.group.Add(closeDuty(b.config.Instance+"-closer", b.inbox.Close, b.announce.Close, b.probes.close))
}

// Drain makes the backend server announce that it takes no new flows; it finishes
// those that it has.
func (b *Backend) Drain() error {
	return b.do(func(s *backendState) { s.retire(stateDraining) })
}

// Leave makes the backend server ask its callers to close their connections.
// The owner calls Stop once HasLeft reports true.
func (b *Backend) Leave() error {
	return b.do(func(s *backendState) { s.retire(stateLeaving) })
}

// HasLeft reports whether a leaving backend server has finished.
func (b *Backend) HasLeft() (bool, error) {
	return askBackend(b, func(s *backendState) bool { return s.hasLeft })
}

// SetFaults replaces the faults in what the backend server reports about itself.
func (b *Backend) SetFaults(faults BackendFaults) error {
	return b.do(func(s *backendState) { s.setFaults(faults) })
}

// SilenceOldestConnection makes the fabric drop all packets of the oldest open connection, in
// both directions and permanently, and returns the connection's caller.
func (b *Backend) SilenceOldestConnection() (netip.AddrPort, error) {
	caller, err := askBackend(b, func(s *backendState) netip.AddrPort { return s.oldestCaller() })
	if err != nil {
		return caller, err
	}
	if !caller.IsValid() {
		return caller, fmt.Errorf("backend server %s has no open connection", b.config.Instance)
	}
	return caller, b.fabric.Apply(SilenceFlow{Backend: b.config.Address, Caller: caller, Silent: true})
}

// Report returns the counters of the instance so far.
func (b *Backend) Report() (BackendReport, error) {
	return askBackend(b, func(s *backendState) BackendReport { return s.report() })
}

// Stop ends the instance. It sends nothing on connections that are still open, as
// when a machine loses power. After Leave and HasLeft none is open.
func (b *Backend) Stop(ctx context.Context) error {
	err := b.fabric.detach(b.attachment)
	err = errors.Join(err, b.group.Stop(ctx))
	b.listener.close()
	b.stack.gvisor.Close()
	return err
}

// do runs what on the serving duty.
func (b *Backend) do(do func(s *backendState)) error {
	_, err := askBackend(b, func(s *backendState) bool { do(s); return true })
	return err
}

// askBackend runs do on the serving duty and returns its result.
func askBackend[T any](b *Backend, do func(s *backendState) T) (T, error) {
	reply := ring.New[T](b.config.Instance+"-reply", 1, ring.DropNewest)
	event := backendEvent{do: func(s *backendState) { _, _ = reply.Put(do(s)) }}
	if err := putWithRetry(b.inbox, event); err != nil {
		var zero T
		return zero, fmt.Errorf("backend server %s: %w", b.config.Instance, err)
	}
	return reply.Get()
}

func (b *Backend) handle(e backendEvent) error {
	now := b.now()
	switch {
	case e.do != nil:
		e.do(b.state)
	case e.accept:
		b.state.acceptAll(now)
	case e.conn != nil:
		b.state.handleConn(e.conn, now)
	default:
		b.tickQueued.Store(false)
		b.state.tick(now)
	}
	return nil
}
