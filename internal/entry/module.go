// Package entry implements the process of an entry host. Its duties read, forward
// and write packets, follow the log of the control hosts, exchange flow records with
// peer entry hosts, accept announcements and probe backend servers.
package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"golang.org/x/net/ipv4"

	"cassiawood/internal/announce"
	"cassiawood/internal/directory"
	"cassiawood/internal/duty"
	"cassiawood/internal/flow"
	"cassiawood/internal/ring"
	"cassiawood/internal/settings"
	"cassiawood/internal/telemetry"
	"cassiawood/internal/wire/wirepb"
)

const (
	engineInboxCapacity  = 4096
	controlInboxCapacity = 4096
	peersInboxCapacity   = 8192
	// handlerLimit is the longest time that a handler may run before the watchdog
	// ends the process. A dial to an unresponsive control host takes 2 s.
	handlerLimit = 10 * time.Second
	// socketBufferBytes is the receive buffer, which absorbs bursts while the engine is busy.
	socketBufferBytes = 4 << 20
)

// rings connect the duties of the process.
type rings struct {
	free    *ring.Ring[*batch]
	out     *ring.Ring[*batch]
	engine  *ring.Ring[engineEvent]
	control *ring.Ring[controlEvent]
	peers   *ring.Ring[peerCommand]
	probes  *ring.Ring[[]probeTarget]
}

func newRings(registry metrics.Registry) *rings {
	r := &rings{
		free:    newBatches(),
		out:     ring.New[*batch]("packet-out", batchCount+1, ring.Block),
		engine:  ring.New[engineEvent]("engine-in", engineInboxCapacity, ring.Block),
		control: ring.New[controlEvent]("control-in", controlInboxCapacity, ring.Block),
		peers:   ring.New[peerCommand]("peers-in", peersInboxCapacity, ring.Block),
		probes:  ring.New[[]probeTarget]("probe-targets", 1, ring.DropOldest),
	}
	telemetry.RegisterRing(registry, r.free)
	telemetry.RegisterRing(registry, r.out)
	telemetry.RegisterRing(registry, r.engine)
	telemetry.RegisterRing(registry, r.control)
	telemetry.RegisterRing(registry, r.peers)
	telemetry.RegisterRing(registry, r.probes)
	return r
}

func (r *rings) close() {
	r.free.Close()
	r.out.Close()
	r.engine.Close()
	r.control.Close()
	r.peers.Close()
	r.probes.Close()
}

// sockets are opened before any duty starts, so that an unusable address makes the start fail.
type sockets struct {
	packets  *net.UDPConn
	peers    net.Listener
	announce net.Listener
}

func openSockets(s settings.EntryHost) (*sockets, error) {
	packets, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.PacketAddress))
	if err != nil {
		return nil, fmt.Errorf("packetAddress: %w", err)
	}
	// The kernel may grant a smaller buffer; that only reduces the burst it can absorb.
	_ = packets.SetReadBuffer(socketBufferBytes)
	peers, errPeers := net.Listen("tcp", s.PeerAddress.String())
	announcements, errAnnounce := net.Listen("tcp", s.AnnounceAddress.String())
	if err := errors.Join(errPeers, errAnnounce); err != nil {
		return nil, fmt.Errorf("open sockets: %w", err)
	}
	return &sockets{packets: packets, peers: peers, announce: announcements}, nil
}

// Module provides the process of an entry host to fx. It requires settings.EntryHost,
// *slog.Logger, *tls.Config (nil on loopback) and metrics.Registry.
var Module = fx.Module("entry", fx.Provide(newRings, openSockets, newHost), fx.Invoke(register))

// Host is the running process of an entry host.
type Host struct {
	log            *slog.Logger
	settings       settings.EntryHost
	group          *duty.Group
	rings          *rings
	sockets        *sockets
	peers          *peerLinks
	announceServer *http.Server
	cancel         context.CancelFunc
}

func newHost(s settings.EntryHost, log *slog.Logger, config *tls.Config, registry metrics.Registry, r *rings,
	opened *sockets, shutdown fx.Shutdowner,
) (*Host, error) {
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }
	self := &wirepb.Host{
		Name: s.Host, Incarnation: uint64(start.UnixNano()), Domain: s.FailureDomain,
		PacketAddr: s.PacketAddress.String(), PeerAddr: s.PeerAddress.String(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &Host{log: log, settings: s, rings: r, sockets: opened, cancel: cancel}
	sent := newSentByteCounters(registry)
	h.peers = &peerLinks{log: log, tls: config, sentBytes: sent.peers, links: map[string]*peerLink{}, ctx: ctx}
	h.group = duty.NewGroup(log, handlerLimit, func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) })
	flowBalancer := newBalancer(self.GetName(), self.GetIncarnation())
	engine := &engineDuty{
		log: log, self: self, state: directory.New(), fabric: s.FabricAddress,
		out: r.out, control: r.control, peers: r.peers, probes: r.probes,
		counters: newCounters(registry), clock: clock, balancer: flowBalancer,
		requestShutdown: func() { _ = shutdown.Shutdown(fx.ExitCode(0)) },
		peerContacts:    map[string]peerContact{}, reportedFailed: map[string]bool{},
		flow: flow.New(flow.Config{
			Host: self.GetName(), Incarnation: self.GetIncarnation(), Domain: self.GetDomain(),
			Seed: self.GetIncarnation(), Capacity: s.MaxFlows, ChooseEndpoint: flowBalancer.choose, OnFlowClosed: flowBalancer.closed,
		}),
	}
	h.addDuties(engine, config, clock, sent.control)
	telemetryServer, err := telemetry.NewServer(s.TelemetryAddress.String(), registry, nil)
	if err != nil {
		return nil, err
	}
	h.group.Add(telemetryServer.Duty())
	h.announceServer = &http.Server{Handler: announce.NewHandler(submitter{control: r.control}), ReadTimeout: handlerLimit}
	h.group.Add(duty.Duty{Name: "announcement server", Run: h.serveAnnouncements})
	return h, nil
}

func (h *Host) addDuties(engine *engineDuty, config *tls.Config, clock func() time.Duration,
	sent metrics.Counter,
) {
	r, opened := h.rings, h.sockets
	addresses := make([]string, 0, len(h.settings.ControlHosts))
	for _, a := range h.settings.ControlHosts {
		addresses = append(addresses, a.String())
	}
	link := &controlLink{
		log: h.log, addresses: addresses, tls: config, self: engine.self, inbox: r.control, engine: r.engine,
		pending: map[uint64]pendingProposal{}, sentBytes: sent,
	}
	reader := &readerDuty{socket: opened.packets, free: r.free, engine: r.engine}
	writer := &writerDuty{conn: ipv4.NewPacketConn(opened.packets), free: r.free}
	peerServer := &peerServer{log: h.log, listener: opened.peers, tls: config, engine: r.engine}
	prober := &proberDuty{prober: announce.NewProber(), targets: r.probes, engine: r.engine, clock: clock}
	bootstrap := &bootstrapDuty{log: h.log, tls: config, engine: r.engine}
	for _, a := range h.settings.PeerHosts {
		bootstrap.peers = append(bootstrap.peers, a.String())
	}
	h.group.Add(duty.Duty{Name: "fabric reader", Run: reader.run})
	h.group.Add(duty.FromRing("flow engine", r.engine, engine.handle))
	h.group.Add(duty.FromRing("fabric writer", r.out, writer.handle))
	h.group.Add(duty.Duty{Name: "control link", Run: link.run})
	h.group.Add(duty.FromRing("peer links", r.peers, h.peers.handle))
	h.group.Add(duty.Duty{Name: "peer server", Run: peerServer.run})
	h.group.Add(duty.Duty{Name: "prober", Run: prober.run})
	h.group.Add(duty.Duty{Name: "bootstrap", Run: bootstrap.run})
	h.group.Add(newClock(r, clock))
}

func register(lifecycle fx.Lifecycle, h *Host) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			h.group.Start()
			h.log.Info("entry host started", "host", h.settings.Host, "failureDomain", h.settings.FailureDomain,
				"packets", h.settings.PacketAddress)
			return nil
		},
		OnStop: h.stop,
	})
}

// serveAnnouncements serves HTTP announcements until the server is shut down. A
// graceful stop shuts it down before the other duties, so it then waits for ctx:
// a duty that returns earlier counts as failed.
func (h *Host) serveAnnouncements(ctx context.Context, _ *duty.Progress) error {
	if err := h.announceServer.Serve(h.sockets.announce); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve announcements: %w", err)
	}
	<-ctx.Done()
	return nil
}
