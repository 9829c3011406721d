// Package control runs the process of a control host. Its duties are the
// replicated log and its storage, the directory and its leases, the audit trail,
// the links to other hosts, and the operator API.
package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"cassiawood/internal/audit"
	"cassiawood/internal/changelog"
	"cassiawood/internal/changelog/wal"
	"cassiawood/internal/directory"
	"cassiawood/internal/duty"
	"cassiawood/internal/member"
	"cassiawood/internal/operator"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/settings"
	"cassiawood/internal/telemetry"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	logInboxCapacity     = 8192
	applyInboxCapacity   = 8192
	memberOutboxCapacity = 1024
	streamOutboxCapacity = 256
	auditInboxCapacity   = 1024
	// tickInterval is a tenth of the log's heartbeat interval.
	tickInterval = 10 * time.Millisecond
	// ticksPerApplyTick is the number of clock ticks for each tick of the apply duty,
	// which therefore ticks every 100 ms.
	ticksPerApplyTick = 10
	// The election timeouts exceed the 200 ms for which TCP delays a link after a
	// lost packet. With 150 to 300 ms, members started elections after such a loss.
	electionTimeoutMin = 500 * time.Millisecond
	electionTimeoutMax = time.Second
	heartbeatInterval  = 100 * time.Millisecond
	// handlerLimit is the time after which a duty's handler counts as hung. It is
	// longer than the longest sync of a working disk.
	handlerLimit = 10 * time.Second
)

// Host is the process of a control host: its duties and the rings between them.
type Host struct {
	log            *slog.Logger
	settings       settings.ControlHost
	group          *duty.Group
	store          *wal.Storage
	auditTrail     *audit.Trail
	logInbox       *ring.Ring[replica.Event]
	storageInbox   *ring.Ring[changelog.Ready]
	applyInbox     *ring.Ring[applyEvent]
	auditInbox     *ring.Ring[audit.Record]
	memberOutboxes map[uint64]*ring.Ring[changelog.Message]
	listener       net.Listener
}

// Module provides the control host's process for fx. It needs
// settings.ControlHost, *slog.Logger, *tls.Config (nil on loopback) and
// metrics.Registry.
var Module = fx.Module("control", fx.Provide(newHost), fx.Invoke(register))

func newHost(s settings.ControlHost, log *slog.Logger, config *tls.Config, registry metrics.Registry,
	shutdown fx.Shutdowner,
) (*Host, error) {
	h := &Host{
		log: log, settings: s,
		logInbox:       ring.New[replica.Event]("log-in", logInboxCapacity, ring.Block),
		storageInbox:   ring.New[changelog.Ready]("storage-in", 1, ring.Block),
		applyInbox:     ring.New[applyEvent]("apply-in", applyInboxCapacity, ring.Block),
		auditInbox:     ring.New[audit.Record]("audit-in", auditInboxCapacity, ring.Block),
		memberOutboxes: map[uint64]*ring.Ring[changelog.Message]{},
	}
	telemetry.RegisterRing(registry, h.logInbox)
	telemetry.RegisterRing(registry, h.storageInbox)
	telemetry.RegisterRing(registry, h.applyInbox)
	telemetry.RegisterRing(registry, h.auditInbox)
	clock := duty.SteadyClock()
	h.group = duty.NewGroup(log, handlerLimit, func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) })
	node, state, err := h.openDataFolder(clock)
	if err != nil {
		return nil, err
	}
	self := s.Self()
	if h.listener, err = net.Listen("tcp", self.LinkAddress.String()); err != nil {
		return nil, fmt.Errorf("linkAddress: %w", err)
	}
	h.addDuties(node, state, config, clock)
	for _, outbox := range h.memberOutboxes {
		telemetry.RegisterRing(registry, outbox)
	}
	statusServer, err := telemetry.NewServer(s.TelemetryAddress.String(), registry, operatorBackend{applyInbox: h.applyInbox}.Status)
	if err != nil {
		return nil, err
	}
	h.group.Add(statusServer.Duty())
	return h, h.addOperatorServer()
}

// addOperatorServer adds the duties of the operator API.
func (h *Host) addOperatorServer() error {
	s := h.settings
	certificate, err := operator.LoadCertificate(s.OperatorTLS.CertificateFile, s.OperatorTLS.KeyFile, h.log)
	if err != nil {
		return fmt.Errorf("operatorTls: %w", err)
	}
	tokens, err := operator.OpenTokensFile(s.TokensFile, h.log)
	if err != nil {
		return err
	}
	server, err := operator.NewServer(operator.ServerOptions{
		Address: s.OperatorAddress.String(), Certificate: certificate, Authenticator: tokens.Authenticator(),
		Backend: operatorBackend{applyInbox: h.applyInbox}, Log: h.log,
	})
	if err != nil {
		return err
	}
	for _, d := range server.Duties() {
		h.group.Add(d)
	}
	h.group.Add(tokens.Duty())
	return nil
}

// openDataFolder opens the data folder and returns the log and the directory as of the
// latest snapshot.
func (h *Host) openDataFolder(clock func() time.Duration) (*changelog.Node, *directory.State, error) {
	if err := os.MkdirAll(h.settings.DataFolder, 0o750); err != nil {
		return nil, nil, fmt.Errorf("dataFolder: %w", err)
	}
	logDir, err := wal.NewDir(filepath.Join(h.settings.DataFolder, "log"))
	if err != nil {
		return nil, nil, fmt.Errorf("dataFolder: %w", err)
	}
	store, recovered, err := wal.Open(logDir)
	if err != nil {
		return nil, nil, fmt.Errorf("open the log: %w", err)
	}
	if recovered.TornBytes > 0 {
		h.log.Warn("torn record removed", "file", recovered.TornFile, "bytes", recovered.TornBytes)
	}
	h.store = store
	if h.auditTrail, err = audit.Open(filepath.Join(h.settings.DataFolder, "audit.jsonl")); err != nil {
		return nil, nil, err
	}
	state := directory.New()
	if recovered.Snapshot.Index > 0 {
		if state, err = decodeState(recovered.Snapshot.State); err != nil {
			return nil, nil, fmt.Errorf("decode snapshot %d: %w", recovered.Snapshot.Index, err)
		}
	}
	node, err := changelog.New(h.logConfig(clock), recovered.HardState, recovered.Snapshot, recovered.Entries)
	if err != nil {
		return nil, nil, fmt.Errorf("start the log: %w", err)
	}
	return node, state, nil
}

func (h *Host) logConfig(clock func() time.Duration) changelog.Config {
	config := changelog.Config{
		ID: h.settings.ID, Seed: h.settings.ID ^ uint64(clock()), Rejoining: h.settings.Rejoining,
		KeepEntries: maxWindowEntries, ElectionTimeoutMin: electionTimeoutMin, ElectionTimeoutMax: electionTimeoutMax, HeartbeatInterval: heartbeatInterval,
	}
	for _, m := range h.settings.Members {
		config.Members = append(config.Members, m.ID)
	}
	return config
}

func (h *Host) addDuties(node *changelog.Node, state *directory.State, config *tls.Config, clock func() time.Duration) {
	linkAddresses, operatorURLs, controlDomains := map[uint64]string{}, map[uint64]string{}, map[uint64]string{}
	for _, m := range h.settings.Members {
		linkAddresses[m.ID], operatorURLs[m.ID] = m.LinkAddress.String(), m.OperatorURL
		controlDomains[m.ID] = m.FailureDomain
		if m.ID == h.settings.ID {
			continue
		}
		outbox := ring.New[changelog.Message](fmt.Sprintf("member-%d-out", m.ID), memberOutboxCapacity, ring.DropOldest)
		h.memberOutboxes[m.ID] = outbox
		link := &memberLink{log: h.log, link: wire.NewLink(m.LinkAddress.String(), config, wire.DefaultTimeouts), outbox: outbox}
		h.group.Add(duty.Duty{Name: "link to " + link.link.Address(), Run: link.run})
	}
	logDuty := replica.NewLogDuty(h.log, node, h.storageInbox, logOutput{applyInbox: h.applyInbox, memberOutboxes: h.memberOutboxes})
	storageDuty := replica.NewStorageDuty(h.log, h.store, nil, h.logInbox)
	apply := &applyDuty{
		log: h.log, logInbox: h.logInbox, auditInbox: h.auditInbox, linkAddresses: linkAddresses, operatorURLs: operatorURLs,
		controlDomains: controlDomains, settingsDomains: h.settings.FailureDomains, clock: clock,
		state: state, leases: member.New(state), pendingReplies: map[uint64]replyTarget{}, snapshotIndex: state.Index(),
		acknowledgements: map[string]acknowledgement{}, waitingSaves: map[string][]waitingSave{}, followers: map[*ring.Ring[*wirepb.Envelope]]*follower{},
	}
	server := &linkServer{log: h.log, listener: h.listener, tls: config, logInbox: h.logInbox, applyInbox: h.applyInbox}
	h.group.Add(duty.FromRing("log", h.logInbox, logDuty.Handle))
	h.group.Add(duty.FromRing("storage", h.storageInbox, storageDuty.Handle))
	h.group.Add(duty.FromRing("directory", h.applyInbox, apply.handle))
	h.group.Add(duty.FromRing("audit trail", h.auditInbox, h.auditTrail.Append))
	h.group.Add(duty.Duty{Name: "link server", Run: server.run})
	h.group.Add(h.clockDuty(clock))
}

func register(lifecycle fx.Lifecycle, h *Host) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			h.group.Start()
			h.log.Info("control host started", "id", h.settings.ID, "link", h.listener.Addr())
			return nil
		},
		OnStop: h.stop,
	})
}

func (h *Host) stop(ctx context.Context) error {
	h.group.BeginStop()
	h.applyInbox.Close()
	h.logInbox.Close()
	h.storageInbox.Close()
	h.auditInbox.Close()
	for _, outbox := range h.memberOutboxes {
		outbox.Close()
	}
	err := h.group.Stop(ctx)
	return errors.Join(err, h.store.Close(), h.auditTrail.Close())
}

// clockDuty returns the duty that puts ticks into the inboxes. A full inbox may drop a
// tick, because the next one carries the later time.
func (h *Host) clockDuty(clock func() time.Duration) duty.Duty {
	ticks := 0
	return duty.Every("clock", tickInterval, func() {
		now := clock()
		h.logInbox.Offer(replica.Tick{Now: now})
		if ticks++; ticks%ticksPerApplyTick == 0 {
			h.applyInbox.Offer(tickEvent{now: now})
		}
	})
}
