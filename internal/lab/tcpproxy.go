package lab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
)

const (
	// proxyChunk is the size of the buffer with which a proxy reads.
	proxyChunk = 4096
	// proxyChunks bounds the chunks queued in one direction of a connection; further
	// bytes wait at the sender, as with a full TCP window.
	proxyChunks = 256
	// proxyRing is the number of new and ended connections that may wait.
	proxyRing = 256
	// proxyDialTimeout bounds a dial to a process on the same machine.
	proxyDialTimeout = time.Second
	// lostSegmentDelay is the delay that a lost segment adds to a TCP stream: the
	// usual minimum of the retransmission timeout.
	lostSegmentDelay = 200 * time.Millisecond
	// cutPoll is the interval at which a stream checks whether its cut link is restored.
	cutPoll = 10 * time.Millisecond
)

// ProxyConfig describes a proxy: an address that forwards TCP connections to a
// process, subject to the link between the failure domains of both ends.
type ProxyConfig struct {
	Listen netip.AddrPort // the process publishes this address as its own
	Target netip.AddrPort // where the process listens
	Domain string         // of the process
}

// Proxy forwards TCP connections. While a link is cut, it holds back their bytes
// and closes no connection, as in a network partition; loss appears as delay. When
// one side closes a connection, even in one direction only, the proxy closes it
// once that side's bytes are sent.
type Proxy struct {
	config   ProxyConfig
	sources  map[netip.Addr]string // failure domain by address of the dialing process
	fabric   *Fabric
	listener net.Listener
	inbox    *ring.Ring[proxyEvent]
	group    *duty.Group
	log      *slog.Logger
	seed     uint64
	streams  map[*stream]struct{} // owned by the managing duty
	accepted uint64               // number of connections; owned by the managing duty
}

// proxyEvent is a new connection or a stream that has ended.
type proxyEvent struct {
	accepted net.Conn
	ended    *stream
}

// stream is one connection through a proxy with its four duties, a reader and a
// writer in each direction.
type stream struct {
	group *duty.Group
}

// chunk is a part of a stream in transit.
type chunk struct {
	due   time.Time
	bytes []byte
}

// StartProxy starts a proxy. sources names the failure domain of each address from
// which processes dial; the links are those of the fabric.
func StartProxy(f *Fabric, config ProxyConfig, sources map[netip.Addr]string, seed uint64, log *slog.Logger, onFatal func(error)) (*Proxy, error) {
	listener, err := net.Listen("tcp4", config.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	g := &Proxy{
		config: config, sources: sources, fabric: f, listener: listener, log: log, seed: seed,
		inbox:   ring.New[proxyEvent]("proxy", proxyRing, ring.DropNewest),
		group:   duty.NewGroup(log, handlerLimit, onFatal),
		streams: map[*stream]struct{}{},
	}
	g.group.Add(duty.Duty{Name: "proxy-acceptor", Run: g.accept})
	g.group.Add(duty.FromRing("proxy-manager", g.inbox, g.handle))
	g.group.Add(closeDuty("proxy-closer", func() { _ = listener.Close() }, g.inbox.Close))
	g.group.Start()
	return g, nil
}

// Addr returns the address of the proxy.
func (g *Proxy) Addr() netip.AddrPort {
	return g.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the proxy and its connections.
func (g *Proxy) Stop(ctx context.Context) error {
	failures := g.group.Stop(ctx)
	for s := range g.streams {
		failures = errors.Join(failures, s.group.Stop(ctx))
	}
	return failures
}

func (g *Proxy) accept(ctx context.Context, _ *duty.Progress) error {
	for {
		conn, err := g.listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("proxy: %w", err)
		}
		if queued, err := g.inbox.Put(proxyEvent{accepted: conn}); err != nil || !queued {
			_ = conn.Close() // the dialing process retries
		}
	}
}

func (g *Proxy) handle(e proxyEvent) error {
	if e.ended != nil {
		delete(g.streams, e.ended)
		return e.ended.group.Stop(context.Background())
	}
	target, err := net.DialTimeout("tcp4", g.config.Target.String(), proxyDialTimeout)
	if err != nil {
		g.log.Debug("proxy target cannot be reached", "target", g.config.Target, "reason", err)
		return e.accepted.Close()
	}
	g.startStream(e.accepted, target)
	return nil
}

func (g *Proxy) startStream(source, target net.Conn) {
	from := g.sources[source.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
	g.accepted++
	s := &stream{}
	// A stream's duties end when either side closes it; that is normal operation, so
	// it is not logged.
	s.group = duty.NewGroup(slog.New(slog.DiscardHandler), handlerLimit,
		func(error) { _ = putRetrying(g.inbox, proxyEvent{ended: s}) })
	forward := &pump{proxy: g, in: source, out: target, link: linkKey{from, g.config.Domain}}
	backward := &pump{proxy: g, in: target, out: source, link: linkKey{g.config.Domain, from}}
	for i, p := range []*pump{forward, backward} {
		p.chunks = ring.New[chunk]("proxy-chunks", proxyChunks, ring.Block)
		p.random = rand.New(rand.NewPCG(g.seed, 2*g.accepted+uint64(i)))
		s.group.Add(duty.Duty{Name: "proxy-read", Run: p.read})
		s.group.Add(duty.Duty{Name: "proxy-write", Run: p.write})
	}
	s.group.Add(closeDuty("proxy-stream-closer", forward.chunks.Close, backward.chunks.Close,
		func() { _ = source.Close() }, func() { _ = target.Close() }))
	g.streams[s] = struct{}{}
	s.group.Start()
}

// pump is one direction of a stream.
type pump struct {
	proxy  *Proxy
	in     net.Conn
	out    net.Conn
	link   linkKey
	random *rand.Rand // owned by the reading duty
	chunks *ring.Ring[chunk]
}

// read reads what one side sends and sets the due time of each chunk. At the end
// of input it closes the ring, so that the writer ends the stream after the last
// chunk.
func (p *pump) read(ctx context.Context, _ *duty.Progress) error {
	buffer := make([]byte, proxyChunk)
	for {
		n, err := p.in.Read(buffer)
		if n > 0 {
			_, _ = p.chunks.Put(chunk{due: time.Now().Add(p.delay()), bytes: append([]byte(nil), buffer[:n]...)})
		}
		if err != nil {
			p.chunks.Close()
			<-ctx.Done()
			return nil
		}
	}
}

// delay returns the time in transit of the next chunk.
func (p *pump) delay() time.Duration {
	l := p.proxy.fabric.link(p.link)
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration(p.random.Int64N(int64(l.Jitter)))
	}
	if l.Loss > 0 && p.random.Float64() < l.Loss {
		d += lostSegmentDelay
	}
	return d
}

// write forwards the chunks in order, each once it is due and the link is not cut.
func (p *pump) write(ctx context.Context, _ *duty.Progress) error {
	for {
		c, err := p.chunks.Get()
		if err != nil {
			return err
		}
		if err := wait(ctx, time.Until(c.due)); err != nil {
			return err
		}
		for p.proxy.fabric.link(p.link).Cut {
			if err := wait(ctx, cutPoll); err != nil {
				return err
			}
		}
		if _, err := p.out.Write(c.bytes); err != nil {
			return err
		}
	}
}

// wait returns after d, or with an error when ctx ends.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
