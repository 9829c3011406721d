package edge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/fx"

	"cassiawood/internal/affinity"
	"cassiawood/internal/duty"
	"cassiawood/internal/registry"
	"cassiawood/internal/ring"
	"cassiawood/internal/telemetry"
)

const (
	engineInboxCapacity = 1024
	followInboxCapacity = 64
	// datagrams is the number of datagrams that can be in the process at a time; more wait in the
	// socket.
	datagrams = 256
	// socketBuffer, in bytes, holds the packets of some tenths of a second on a busy host.
	socketBuffer = 1 << 20
	tickInterval = 100 * time.Millisecond
	// handlerLimit is far above the duration of any handler.
	handlerLimit = 10 * time.Second

	// outOfRotation is the time that the fabric needs to take a host that is not ready out of
	// rotation.
	outOfRotation = 1600 * time.Millisecond
	// quietTime is the time without packets after which a draining host stops.
	quietTime = 700 * time.Millisecond
	// stopReserve is the part of the stop time kept for ending the duties.
	stopReserve = time.Second
)

// Host is a running entry host: its duties, the rings between them and the packet socket.
type Host struct {
	log      *slog.Logger
	settings Settings
	group    *duty.Group
	engine   *ring.Ring[event]
	out      *ring.Ring[*datagram]
	free     *ring.Ring[*datagram]
	follow   *ring.Ring[followEvent]
	socket   *net.UDPConn
	unfollow context.CancelFunc
}

type counters struct {
	decisions []metrics.Counter // by reason
	malformed metrics.Counter
	unsent    metrics.Counter
	flows     metrics.Gauge
	version   metrics.Gauge
	endpoints metrics.Gauge
	delay     metrics.Histogram // microseconds from receiving to sending, of one in delaySample packets
}

func newCounters(r metrics.Registry) *counters {
	c := &counters{
		malformed: metrics.NewRegisteredCounter("packets.malformed", r),
		unsent:    metrics.NewRegisteredCounter("packets.unsent", r),
		flows:     metrics.NewRegisteredGauge("flows.remembered", r),
		version:   metrics.NewRegisteredGauge("desired.version", r),
		endpoints: metrics.NewRegisteredGauge("endpoints.known", r),
		delay:     telemetry.NewHistogram("packets.delay.microseconds", r),
	}
	for _, reason := range affinity.Reasons() {
		c.decisions = append(c.decisions, metrics.NewRegisteredCounter("packets."+reason.String(), r))
	}
	return c
}

// Module provides a *Host for fx. It needs Settings, Fabric, *slog.Logger and metrics.Registry.
var Module = fx.Module("edge", fx.Provide(newHost), fx.Invoke(register))

func newHost(s Settings, fabric Fabric, log *slog.Logger, r metrics.Registry, shutdown fx.Shutdowner) (*Host, error) {
	h := &Host{
		log: log, settings: s,
		engine: ring.New[event]("engine-in", engineInboxCapacity, ring.Block),
		out:    ring.New[*datagram]("packets-out", datagrams, ring.DropNewest),
		free:   ring.New[*datagram]("packets-free", datagrams, ring.DropNewest),
		follow: ring.New[followEvent]("follow-in", followInboxCapacity, ring.Block),
	}
	telemetry.RegisterRing(r, h.engine)
	telemetry.RegisterRing(r, h.out)
	telemetry.RegisterRing(r, h.free)
	for range datagrams {
		h.free.Offer(&datagram{})
	}
	h.group = duty.NewGroup(log, handlerLimit, func(error) { _ = shutdown.Shutdown(fx.ExitCode(1)) })
	var err error
	if h.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Packets)); err != nil {
		return nil, fmt.Errorf("packet address: %w", err)
	}
	if err := h.socket.SetReadBuffer(socketBuffer); err != nil {
		log.Warn("receive buffer not set", "bytes", socketBuffer, "error", err)
	}
	pages, err := telemetry.NewServer(s.Telemetry.String(), r, nil)
	if err != nil {
		return nil, err
	}
	h.group.Add(pages.Duty())
	h.addDuties(fabric, newCounters(r))
	return h, nil
}

func (h *Host) addDuties(fabric Fabric, m *counters) {
	clock := duty.SteadyClock()
	ctx, cancel := context.WithCancel(context.Background())
	h.unfollow = cancel
	engine := &engineDuty{
		log: h.log, engine: affinity.New(affinity.Config{Domain: h.settings.Domain}), out: h.out, free: h.free, follow: h.follow,
		clock: clock, metrics: m, known: map[uint64]registry.Endpoint{}, listed: map[uint64]bool{}, stateSince: -1,
	}
	follow := &followDuty{
		log: h.log, settings: h.settings, inbox: h.follow, engine: h.engine, clock: clock, ctx: ctx,
		seeds: h.settings.SeedAddresses(), tried: map[string]time.Duration{}, domains: map[string]string{},
		lostAt: clock(),
	}
	in := &reader{socket: h.socket, fabric: fabric, free: h.free, engine: h.engine, clock: clock, metrics: m}
	out := &writer{log: h.log, socket: h.socket, fabric: fabric, free: h.free, clock: clock, metrics: m}
	h.group.Add(duty.Duty{Name: "packet reader", Run: in.run})
	h.group.Add(duty.FromRing("engine", h.engine, engine.handle))
	h.group.Add(duty.FromRing("packet writer", h.out, out.handle))
	h.group.Add(duty.FromRing("follow", h.follow, follow.handle))
	h.group.Add(duty.Every("clock", tickInterval, func() {
		h.engine.Offer(tick{})
		h.follow.Offer(followTick{})
	}))
}

// Add adds a duty of a front end. It must be called before the host starts.
func (h *Host) Add(d duty.Duty) { h.group.Add(d) }

// SetSeeds replaces the seeds.
func (h *Host) SetSeeds(seeds []string) { h.follow.Offer(seedsChanged{seeds: seeds}) }

// ServeHTTP answers with status 200 while the fabric may send packets to this host, else 503.
func (h *Host) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if ready, ok := ask(h.engine, func(reply *ring.Ring[bool]) event { return isReady{reply: reply} }); !ok || !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ask sends a query to the engine duty and waits for its answer.
func ask[T any](inbox *ring.Ring[event], question func(*ring.Ring[T]) event) (T, bool) {
	reply := ring.New[T]("answer", 1, ring.DropNewest)
	if _, err := inbox.Put(question(reply)); err != nil {
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
			h.follow.Offer(followTick{}) // the clock's first tick comes later
			h.log.Info("entry host started", "host", h.settings.Host, "domain", h.settings.Domain, "packets", h.settings.Packets,
				"seeds", fmt.Sprint(h.settings.Seeds))
			return nil
		},
		OnStop: h.stop,
	})
}

// stop ends the host after drain.
func (h *Host) stop(ctx context.Context) error {
	h.drain()
	h.group.BeginStop()
	h.unfollow()
	h.engine.Close()
	h.out.Close()
	h.free.Close()
	h.follow.Close()
	return errors.Join(h.group.Stop(ctx))
}

// drain reports the host as not ready and keeps forwarding packets until the fabric has taken it
// out of rotation and no more packets come, or the stop time is nearly used up.
func (h *Host) drain() {
	start := time.Now()
	if _, err := h.engine.Put(stopping{}); err != nil {
		return
	}
	for time.Since(start) < h.settings.StopLimit-stopReserve {
		time.Sleep(tickInterval)
		quiet, ok := ask(h.engine, func(reply *ring.Ring[time.Duration]) event { return isQuiet{reply: reply} })
		if !ok || time.Since(start) >= outOfRotation && quiet >= quietTime {
			break
		}
	}
	h.log.Info("packets have ended", "afterMs", time.Since(start).Milliseconds())
}
