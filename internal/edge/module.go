package edge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"cassiawood/internal/affinity"
	"cassiawood/internal/duty"
	"cassiawood/internal/explain"
	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/rotation"
	"cassiawood/internal/telemetry"
)

const (
	engineInboxCapacity = 1024
	followInboxCapacity = 64
	// datagramCount is the number of datagrams that can be in the process at a time; more wait in
	// the socket.
	datagramCount = 256
	// socketBufferBytes holds the packets of some tenths of a second on a busy host.
	socketBufferBytes = 1 << 20
	tickInterval      = 100 * time.Millisecond
	// handlerTimeout is far above the duration of any handler.
	handlerTimeout = 10 * time.Second

	// outOfRotationDelay is the time that the fabric needs to take a host that is not ready out of
	// rotation.
	outOfRotationDelay = 1600 * time.Millisecond
	// idleBeforeStop is the time without packets after which a draining host stops.
	idleBeforeStop = 700 * time.Millisecond
	// stopReserve is the part of the stop time kept for ending the duties.
	stopReserve = time.Second
)

// Host is a running entry host: its duties, the rings between them and the packet socket.
type Host struct {
	log           *slog.Logger
	settings      Settings
	group         *duty.Group
	engineInbox   *ring.Ring[event]
	packetsOut    *ring.Ring[*datagram]
	freeDatagrams *ring.Ring[*datagram]
	followInbox   *ring.Ring[followEvent]
	socket        *net.UDPConn
	stopFollowing context.CancelFunc
}

type counters struct {
	decisions []metrics.Counter // by reason
	malformed metrics.Counter
	failed    metrics.Counter // packets and endpoints whose handling panicked
	unsent    metrics.Counter
	pathLoss  metrics.Gauge // per mille of the packets that are lost on the path through this host, at least 10
	flows     metrics.Gauge
	version   metrics.Gauge
	endpoints metrics.Gauge
	// evacuations is the number of evacuated failure domains.
	evacuations metrics.Gauge
	// idleFlows counts idle flows of endpoints that had ended or answered nothing, by rotation.Verdict. Those that had not moved were reset. A flow
	// about which the hosts did not answer counts once for each question.
	idleFlows []metrics.Counter
	delay     metrics.Histogram // microseconds from receiving to sending, of one in packetsPerDelaySample
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		malformed:   metrics.NewRegisteredCounter("packets.malformed", r),
		failed:      metrics.NewRegisteredCounter("inputs.failed", r),
		unsent:      metrics.NewRegisteredCounter("packets.unsent", r),
		pathLoss:    metrics.NewRegisteredGauge("path.loss.permille", r),
		flows:       metrics.NewRegisteredGauge("flows.remembered", r),
		version:     metrics.NewRegisteredGauge("desired.version", r),
		endpoints:   metrics.NewRegisteredGauge("endpoints.known", r),
		evacuations: metrics.NewRegisteredGauge("evacuations.inForce", r),
		delay:       telemetry.NewHistogram("packets.delay.microseconds", r),
	}
	for _, reason := range affinity.Reasons() {
		c.decisions = append(c.decisions, metrics.NewRegisteredCounter("packets."+reason.String(), r))
	}
	for v := range rotation.VerdictCount {
		c.idleFlows = append(c.idleFlows, metrics.NewRegisteredCounter("flows.idle.ended."+strings.ReplaceAll(v.String(), " ", "_"), r))
	}
	return c
}

// Module provides a *Host for fx. It needs Settings, PacketCodec, *slog.Logger and metrics.Registry.
var Module = fx.Module("edge", fx.Provide(newHost), fx.Invoke(register))

func newHost(s Settings, codec PacketCodec, log *slog.Logger, r metrics.Registry, shutdown fx.Shutdowner) (*Host, error) {
	h := &Host{
		log: log, settings: s,
		engineInbox:   ring.New[event]("engine-in", engineInboxCapacity, ring.Block),
		packetsOut:    ring.New[*datagram]("packets-out", datagramCount, ring.DropNewest),
		freeDatagrams: ring.New[*datagram]("packets-free", datagramCount, ring.DropNewest),
		followInbox:   ring.New[followEvent]("follow-in", followInboxCapacity, ring.Block),
	}
	telemetry.RegisterRing(r, h.engineInbox)
	telemetry.RegisterRing(r, h.packetsOut)
	telemetry.RegisterRing(r, h.freeDatagrams)
	for range datagramCount {
		h.freeDatagrams.Offer(&datagram{})
	}
	h.group = duty.NewGroup(log, handlerTimeout, func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) })
	var err error
	if h.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.PacketAddress)); err != nil {
		return nil, fmt.Errorf("packet address: %w", err)
	}
	if err := h.socket.SetReadBuffer(socketBufferBytes); err != nil {
		log.Warn("receive buffer not set", "bytes", socketBufferBytes, "error", err)
	}
	telemetryServer, err := telemetry.NewServer(s.TelemetryAddress.String(), r, nil)
	if err != nil {
		return nil, err
	}
	telemetryServer.Handle("GET "+explain.Path, http.HandlerFunc(h.serveExplain))
	h.group.Add(telemetryServer.Duty())
	h.addDuties(codec, newCounters(r))
	return h, nil
}

func (h *Host) addDuties(codec PacketCodec, m *counters) {
	clock := duty.SteadyClock()
	ctx, cancel := context.WithCancel(context.Background())
	h.stopFollowing = cancel
	engine := &engineDuty{
		log: h.log, engine: affinity.New(affinity.Config{Domain: h.settings.Domain, Seed: xxhash.Sum64String(h.settings.Host), LinkBytesPerSecond: h.settings.LinkBytesPerSecond}), packetsOut: h.packetsOut, freeDatagrams: h.freeDatagrams, followInbox: h.followInbox,
		clock: clock, bootClock: duty.BootClock(), metrics: m, endpoints: map[uint64]registry.Endpoint{}, listedEndpoints: map[uint64]bool{}, stateSince: -1,
	}
	follow := &followDuty{
		log: h.log, settings: h.settings, inbox: h.followInbox, engineInbox: h.engineInbox, clock: clock, ctx: ctx,
		seeds: h.settings.SeedAddresses(), lastAttemptAt: map[string]time.Duration{}, domains: map[string]string{},
		currentLostAt: clock(), process: rand.Uint64() | 1,
	}
	in := &packetReader{socket: h.socket, codec: codec, freeDatagrams: h.freeDatagrams, engineInbox: h.engineInbox, clock: clock, metrics: m}
	out := &packetWriter{log: h.log, socket: h.socket, codec: codec, freeDatagrams: h.freeDatagrams, clock: clock, metrics: m}
	h.group.Add(duty.Duty{Name: "packet reader", Run: in.run})
	h.group.Add(duty.FromRing("engine", h.engineInbox, engine.handle))
	h.group.Add(duty.FromRing("packet writer", h.packetsOut, out.handle))
	h.group.Add(duty.FromRing("follow", h.followInbox, follow.handle))
	h.group.Add(duty.Every("clock", tickInterval, func() {
		h.engineInbox.Offer(tick{})
		h.followInbox.Offer(followTick{})
	}))
}

// Add adds a duty of a front end. It must be called before the host starts.
func (h *Host) Add(d duty.Duty) { h.group.Add(d) }

// SetSeeds replaces the seeds.
func (h *Host) SetSeeds(seeds []string) { h.followInbox.Offer(seedsChanged{seeds: seeds}) }

// ServeHTTP answers with status 200 while the fabric may send packets to this host, else 503.
func (h *Host) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if ready, ok := query(h.engineInbox, func(reply *ring.Ring[bool]) event { return readyQuery{reply: reply} }); !ok || !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// query sends a query to the engine duty and waits for its answer.
func query[T any](inbox *ring.Ring[event], newEvent func(*ring.Ring[T]) event) (T, bool) {
	reply := ring.New[T]("answer", 1, ring.DropNewest)
	if _, err := inbox.Put(newEvent(reply)); err != nil {
		var none T
		return none, false
	}
	answer, err := reply.Get()
	return answer, err == nil
}

func register(lifecycle fx.Lifecycle, h *Host) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			h.group.Start()
			h.followInbox.Offer(followTick{}) // the clock's first tick comes later
			h.log.Info("entry host started", "host", h.settings.Host, "domain", h.settings.Domain, "packets", h.settings.PacketAddress,
				"seeds", fmt.Sprint(h.settings.Seeds))
			return nil
		},
		OnStop: h.stop,
	})
}

// stop ends the host after drain.
func (h *Host) stop(ctx context.Context) error {
	if !h.group.HasFailed() {
		h.drain()
	}
	h.group.BeginStop()
	h.stopFollowing()
	h.engineInbox.Close()
	h.packetsOut.Close()
	h.freeDatagrams.Close()
	h.followInbox.Close()
	return errors.Join(h.group.Stop(ctx))
}

// drain reports the host as not ready and keeps forwarding packets until the fabric has taken it
// out of rotation and no more packets come, or the stop time is nearly used up.
func (h *Host) drain() {
	start := time.Now()
	if _, err := h.engineInbox.Put(stopping{}); err != nil {
		return
	}
	for time.Since(start) < h.settings.StopLimit-stopReserve {
		time.Sleep(tickInterval)
		idle, ok := query(h.engineInbox, func(reply *ring.Ring[time.Duration]) event { return idleQuery{reply: reply} })
		if !ok || time.Since(start) >= outOfRotationDelay && idle >= idleBeforeStop {
			break
		}
	}
	h.log.Info("packets have ended", "afterMs", time.Since(start).Milliseconds())
}
