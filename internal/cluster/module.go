// Package cluster implements a control host of a cluster that manages its own membership. Its
// duties run the replicated log, the desired state, the registry of backend servers and the
// links to other hosts.
package cluster

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"cassiawood/internal/changelog"
	"cassiawood/internal/changelog/wal"
	"cassiawood/internal/duty"
	"cassiawood/internal/registry"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
	"cassiawood/internal/telemetry"
	"cassiawood/internal/voters"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	logInboxCapacity   = 4096
	stateInboxCapacity = 4096
	linksInboxCapacity = 4096
	// tickInterval is a quarter of the heartbeat interval of the log.
	tickInterval = 25 * time.Millisecond
	// clockTicksPerStateTick is the number of clock ticks per tick of the state duty. The resulting
	// 50 ms bound how long an endpoint change is held back to be sent in one update with others.
	clockTicksPerStateTick = 2
	// The election timeouts exceed the 200 ms for which TCP delays a link after a packet loss.
	electionTimeoutMin   = 500 * time.Millisecond
	electionTimeoutMax   = time.Second
	logHeartbeatInterval = 100 * time.Millisecond
	// firstElectionTimeoutMax is the maximum timeout of the first election. It shortens the time
	// without a leader after all hosts were down.
	firstElectionTimeoutMax = 300 * time.Millisecond
	// keptLogEntries is small because each entry holds a complete desired state.
	keptLogEntries = 16
	// handlerTimeout exceeds the longest stall from which a disk recovers.
	handlerTimeout = time.Minute
	// drainLimit is the time for a commit or a confirmation, well below the time that a process has to stop.
	drainLimit = time.Second
	// handOverLimit is the time for the two membership changes that give the vote of a stopping host to a standby.
	// A standby that does not answer cannot take it.
	handOverLimit = 2 * time.Second
	// openRetryInterval is the pause between attempts to open the data folder.
	openRetryInterval = 250 * time.Millisecond
	// openTimeout bounds these attempts; a full or stalled disk recovers within seconds.
	openTimeout = 20 * time.Second

	// A backend server counts as silent, and gets no new flows, after silentAfterReports
	// report intervals plus silentSlack. The slack covers a report that is retried at a second host.
	silentAfterReports = 2
	silentSlack        = 200 * time.Millisecond

	endpointsFile     = "endpoints"
	endpointsTempFile = "endpoints.tmp"
)

// Parameters of the membership policy, see voters.Policy. replaceVoterAfter leaves time to change the
// membership before a host that was added for one without notice counts as caught up, 4 s after its start.
const (
	replaceVoterAfter    = 2 * time.Second
	removeStandbyAfter   = time.Minute
	maxStandbyLagEntries = 16
)

// Host is a running control host: its duties and the rings between them.
type Host struct {
	log               *slog.Logger
	settings          Settings
	group             *duty.Group
	store             *wal.Storage
	storageDuty       *replica.StorageDuty
	logInbox          *ring.Ring[replica.Event]
	storageInbox      *ring.Ring[changelog.Ready]
	stateInbox        *ring.Ring[event]
	linksInbox        *ring.Ring[linkEvent]
	registrySnapshots *ring.Ring[[]byte]
	grantFiles        *ring.Ring[grantSnapshot]
	linksDuty         *linksDuty
	listener          net.Listener
	stopLinks         context.CancelFunc
	clock             func() time.Duration
	metrics           *counters
}

// Module provides a *Host for fx. It needs Settings, *slog.Logger and metrics.Registry.
var Module = fx.Module("cluster", fx.Provide(newHost), fx.Invoke(register))

type counters struct {
	reports        metrics.Counter
	unevenServices metrics.Gauge // services whose endpoints differ in speed
	// Latencies in microseconds.
	commitLatency metrics.Histogram // from an operator's change to its acknowledgement
	readLatency   metrics.Histogram // from an operator's read to its answer
	reportLatency metrics.Histogram // from a backend server's report to its acknowledgement

	evacuationLatency metrics.Histogram // from an order to evacuate to its acknowledgement, in microseconds
	evacuations       metrics.Gauge     // failure domains that are evacuated
	interruptedStart  metrics.Gauge     // seeds without the identity of a first voter while no majority can form
}

// newHost opens the data folder of a host and adds its duties. The context ends when the process is to be stopped before it has started.
func newHost(ctx context.Context, s Settings, log *slog.Logger, registry metrics.Registry, shutdown fx.Shutdowner) (*Host, error) {
	h := &Host{
		log: log, settings: s,
		logInbox:          ring.New[replica.Event]("log-in", logInboxCapacity, ring.Block),
		storageInbox:      ring.New[changelog.Ready]("storage-in", 1, ring.Block),
		stateInbox:        ring.New[event]("state-in", stateInboxCapacity, ring.Block),
		linksInbox:        ring.New[linkEvent]("links-in", linksInboxCapacity, ring.DropOldest),
		registrySnapshots: ring.New[[]byte]("files-in", 1, ring.DropOldest),
		grantFiles:        newGrantFiles(),
	}
	telemetry.RegisterRing(registry, h.logInbox)
	telemetry.RegisterRing(registry, h.storageInbox)
	telemetry.RegisterRing(registry, h.stateInbox)
	telemetry.RegisterRing(registry, h.linksInbox)
	h.group = duty.NewGroup(log, handlerTimeout, func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) })
	h.clock, h.metrics = duty.SteadyClock(), newCounters(registry)
	id, node, routes, err := h.openData(ctx, h.clock)
	if err != nil {
		return nil, err
	}
	if h.listener, err = net.Listen("tcp", netip.AddrPortFrom(s.LinkIP, s.LinkPort).String()); err != nil {
		return nil, fmt.Errorf("link address: %w", err)
	}
	h.addDuties(id, node, routes, h.clock, h.metrics)
	telemetryServer, err := telemetry.NewServer(s.TelemetryAddress.String(), registry, nil)
	if err != nil {
		return nil, err
	}
	h.group.Add(telemetryServer.Duty())
	return h, nil
}

func newCounters(registry metrics.Registry) *counters {
	return &counters{
		reports:           metrics.NewRegisteredCounter("endpoint.reports", registry),
		unevenServices:    metrics.NewRegisteredGauge("services.uneven", registry),
		commitLatency:     telemetry.NewHistogram("desired.commit.microseconds", registry),
		readLatency:       telemetry.NewHistogram("desired.read.microseconds", registry),
		reportLatency:     telemetry.NewHistogram("endpoint.report.microseconds", registry),
		evacuationLatency: telemetry.NewHistogram("evacuation.commit.microseconds", registry),
		evacuations:       metrics.NewRegisteredGauge("evacuations.inForce", registry),
		interruptedStart:  metrics.NewRegisteredGauge("seeds.without.identity", registry),
	}
}

// API returns the interface for front ends.
func (h *Host) API() API { return API{inbox: h.stateInbox, clock: h.clock, metrics: h.metrics} }

// Add adds a duty of a front end. It must be called before the host starts.
func (h *Host) Add(d duty.Duty) { h.group.Add(d) }

// SetSeeds replaces the seeds.
func (h *Host) SetSeeds(seeds []string) { h.stateInbox.Offer(seedsChanged{seeds: seeds}) }

// SetDomainRegions replaces the regions of the failure domains.
func (h *Host) SetDomainRegions(regions map[string]string) {
	h.stateInbox.Offer(domainRegionsChanged{regions: regions})
}

// openData reads the data folder. It retries for up to openTimeout, since a full or stalled disk
// may refuse writes for a while. It gives up when the context ends.
func (h *Host) openData(ctx context.Context, clock func() time.Duration) (identity, *changelog.Node, *routing.State, error) {
	deadline := clock() + openTimeout
	for {
		id, node, routes, err := h.tryOpenData(clock)
		var unreadable *unreadableStateError
		if err == nil || clock() >= deadline || errors.As(err, &unreadable) || ctx.Err() != nil {
			return id, node, routes, err
		}
		h.log.Warn("data folder cannot be opened yet", "error", err)
		select {
		case <-ctx.Done():
		case <-time.After(openRetryInterval):
		}
	}
}

// unreadableStateError reports a snapshot that is undamaged but cannot be decoded: another version has written it, or this one
// has a fault. The data is kept. All hosts would fail alike, so their disks must not count as lost.
type unreadableStateError struct {
	index uint64 // last entry that the snapshot covers
	cause error
}

func (e *unreadableStateError) Error() string {
	return fmt.Sprintf("the snapshot up to entry %d is undamaged, but this version cannot read it; start the version that wrote it: %v", e.index, e.cause)
}

func (e *unreadableStateError) Unwrap() error { return e.cause }

func (h *Host) tryOpenData(clock func() time.Duration) (identity, *changelog.Node, *routing.State, error) {
	fail := func(err error) (identity, *changelog.Node, *routing.State, error) { return identity{}, nil, nil, err }
	id, err := loadIdentity(h.settings, h.log)
	if err != nil {
		return fail(err)
	}
	folder, err := h.openLogFolder()
	if err != nil {
		return fail(err)
	}
	store, recovered, err := wal.Open(folder)
	var corrupt *wal.CorruptError
	if errors.As(err, &corrupt) {
		h.log.Error("log is corrupt, the disk counts as lost", "error", err)
		if err := os.Remove(filepath.Join(h.settings.DataFolder, identityFile)); err != nil {
			return fail(err)
		}
		return fail(corrupt)
	}
	if err != nil {
		return fail(fmt.Errorf("open the log: %w", err))
	}
	if recovered.TornBytes > 0 {
		h.log.Warn("torn record removed", "file", recovered.TornFile, "bytes", recovered.TornBytes)
	}
	routes := routing.NewState()
	if recovered.Snapshot.Index > 0 {
		if routes, err = wire.DecodeRoutingState(recovered.Snapshot.State); err != nil {
			return fail(errors.Join(&unreadableStateError{index: recovered.Snapshot.Index, cause: err}, store.Close()))
		}
	}
	node, err := changelog.New(changelog.Config{
		ID: id.ID, Dynamic: true, Address: h.settings.Address.String(), InitialMembers: id.InitialVoters, Seed: id.ID ^ uint64(clock()), KeepEntries: keptLogEntries,
		ElectionTimeoutMin: electionTimeoutMin, ElectionTimeoutMax: electionTimeoutMax, HeartbeatInterval: logHeartbeatInterval, FirstElectionTimeoutMax: firstElectionTimeoutMax,
	}, recovered.HardState, recovered.Snapshot, recovered.Entries)
	if err != nil {
		return fail(errors.Join(fmt.Errorf("start the log: %w", err), store.Close()))
	}
	h.store = store
	if h.settings.DiskFaults != "" {
		h.log.Warn("disk faults can be switched on, for tests only", "switch", h.settings.DiskFaults)
	}
	h.log.Info("data folder opened", "id", id.ID, "lastIndex", node.Status().LastIndex, "term", node.Status().Term,
		"snapshotVersion", routes.Desired().Version, "members", fmt.Sprint(node.Status().Members))
	return id, node, routes, nil
}

func (h *Host) addDuties(id identity, node *changelog.Node, routes *routing.State, clock func() time.Duration, m *counters) {
	s := h.settings
	self := changelog.Member{ID: id.ID, Address: s.Address.String(), Domain: s.Domain}
	state := &stateDuty{
		log: h.log, settings: s, self: self, clock: clock, logInbox: h.logInbox, linksInbox: h.linksInbox, registrySnapshots: h.registrySnapshots, metrics: m,
		policy: voters.Policy{
			TargetVoters: 2*s.ToleratedFailures + 1, ReplaceAfter: replaceVoterAfter, RemoveAfter: removeStandbyAfter, MaxContactAge: maxContactAge, MaxLag: maxStandbyLagEntries,
		},
		routes: routes, appliedIndex: node.Status().Applied, snapshotIndex: node.Status().Applied, registry: h.openRegistry(clock()), seeds: s.SeedAddresses(),
		subscribers: map[*ring.Ring[[]byte]]*subscriber{}, unpublishedEndpoints: map[uint64]bool{}, pendingGets: map[uint64]pendingGet{}, joinRequests: map[uint64]pendingJoin{}, peerDemand: map[string]demandReport{}, memberDomains: map[uint64]string{id.ID: s.Domain}, earlierDomains: map[string]bool{}, leavingSaidAt: map[uint64]time.Duration{}, steering: newSteering(), rotation: newRotationRounds(clock()),
		status: changelog.Status{LastContact: -1}, evacuation: evacuationState{supporters: map[string]bool{}}, startedAt: clock(),
	}
	m.evacuations.Update(int64(len(routes.Evacuations().Domains)))
	ctx, cancel := context.WithCancel(context.Background())
	h.stopLinks = cancel
	state.coldGrants = h.openColdGrants()
	h.linksDuty = &linksDuty{
		log: h.log, settings: s, selfID: id.ID, outboxes: map[string]*ring.Ring[*wirepb.Envelope]{}, peerAddresses: map[uint64]string{}, ctx: ctx,
	}
	server := &linkServer{log: h.log, listener: h.listener, logInbox: h.logInbox, stateInbox: h.stateInbox, linksInbox: h.linksInbox}
	h.group.Add(duty.FromRing("log", h.logInbox, replica.NewLogDuty(h.log, node, h.storageInbox, logOutput{stateInbox: h.stateInbox, linksInbox: h.linksInbox}).Handle))
	h.storageDuty = replica.NewStorageDuty(h.log, h.store, h.reopenLog, h.logInbox)
	h.group.Add(duty.FromRing("storage", h.storageInbox, h.storageDuty.Handle))
	h.group.Add(duty.FromRing("state", h.stateInbox, state.handle))
	h.group.Add(duty.FromRing("links", h.linksInbox, h.linksDuty.handle))
	h.group.Add(duty.FromRing("endpoint file", h.registrySnapshots, h.writeEndpoints))
	h.group.Add(duty.FromRing("grant file", h.grantFiles, h.writeGrants))
	h.group.Add(duty.Duty{Name: "link server", Run: server.run})
	ticks := 0
	h.group.Add(duty.Every("clock", tickInterval, func() {
		h.logInbox.Offer(replica.Tick{Now: clock()})
		if ticks++; ticks%clockTicksPerStateTick == 0 {
			h.stateInbox.Offer(tick{})
		}
	}))
}

// openLogFolder returns the folder of the log.
func (h *Host) openLogFolder() (wal.FS, error) {
	folder, err := wal.NewDir(filepath.Join(h.settings.DataFolder, logFolder))
	if err != nil {
		return nil, fmt.Errorf("dataFolder: %w", err)
	}
	if h.settings.DiskFaults == "" {
		return folder, nil
	}
	return wal.FaultyFS{FS: folder, SwitchFile: h.settings.DiskFaults, Sleep: time.Sleep}, nil
}

// reopenLog opens the log files again after a failed write.
func (h *Host) reopenLog() (replica.Store, error) {
	folder, err := h.openLogFolder()
	if err != nil {
		return nil, err
	}
	store, _, err := wal.Open(folder)
	return store, err
}

// openRegistry reads the saved registry. What is missing or damaged in the file is filled in by the
// other hosts and the reports of backend servers.
func (h *Host) openRegistry(now time.Duration) *registry.Registry {
	s := h.settings
	silentAfter := silentAfterReports*s.ReportInterval + silentSlack
	r := registry.New(registry.Limits{SilentAfter: silentAfter, ForgetAfter: s.MaxFlowAge})
	data, err := os.ReadFile(filepath.Join(s.DataFolder, endpointsFile))
	if errors.Is(err, os.ErrNotExist) {
		return r
	}
	if err == nil {
		err = loadRegistry(r, data, now, silentAfter)
	}
	if err != nil {
		h.log.Warn("saved endpoints cannot be read in full", "error", err)
	}
	h.log.Info("saved endpoints read", "endpoints", r.Len())
	return r
}

// writeEndpoints replaces the saved registry. A write error is logged and otherwise ignored,
// since its only cost is a slower start.
func (h *Host) writeEndpoints(data []byte) error {
	if err := replaceFile(h.settings.DataFolder, endpointsFile, endpointsTempFile, data); err != nil {
		h.log.Warn("endpoints not saved", "error", err)
	}
	return nil
}

func register(lifecycle fx.Lifecycle, h *Host) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			h.group.Start()
			// The clock's first tick comes later; until then the stored entries are not applied.
			h.logInbox.Offer(replica.Tick{Now: h.clock()})
			h.log.Info("control host started", "host", h.settings.Host, "domain", h.settings.Domain, "address", h.settings.Address,
				"newSystem", h.settings.FirstStart, "seeds", fmt.Sprint(h.settings.Seeds))
			return nil
		},
		OnStop: h.stop,
	})
}

// stop ends the host after the requests that it has accepted.
func (h *Host) stop(ctx context.Context) error {
	if !h.group.HasFailed() {
		h.drain()
	}
	h.group.BeginStop()
	h.stopLinks()
	h.stateInbox.Close()
	h.logInbox.Close()
	h.storageInbox.Close()
	h.linksInbox.Close()
	h.registrySnapshots.Close()
	h.grantFiles.Close()
	err := h.group.Stop(ctx)
	h.linksDuty.close()
	return errors.Join(err, h.storageDuty.Close())
}

// drain has new requests refused, so that callers turn to another host, and waits until those in progress
// are answered, at most drainLimit; the rest are then answered with ErrUnavailable. It also waits until the vote of this
// host has been handed over, at most handOverLimit.
func (h *Host) drain() {
	for begin := h.clock(); ; time.Sleep(tickInterval) {
		elapsed := h.clock() - begin
		reply := ring.New[int]("work in progress", 1, ring.DropNewest)
		if _, err := h.stateInbox.Put(stopping{final: elapsed >= drainLimit, reply: reply}); err != nil {
			return
		}
		if waitsFor, err := reply.Get(); err != nil || waitsFor == 0 || elapsed >= handOverLimit {
			return
		}
	}
}
