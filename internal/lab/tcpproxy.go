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
	// proxyChunkBytes is the size of the buffer with which a proxy reads.
	proxyChunkBytes = 4096
	// streamRingCapacity bounds the chunks queued in one direction of a connection;
	// further bytes wait at the sender, as with a full TCP window.
	streamRingCapacity = 256
	// proxyInboxCapacity is the number of new and ended connections that may wait.
	proxyInboxCapacity = 256
	// proxyDialTimeout bounds a dial to a process on the same machine.
	proxyDialTimeout = time.Second
	// lostSegmentDelay is the delay that a lost segment adds to a TCP stream: the
	// usual minimum of the retransmission timeout.
	lostSegmentDelay = 200 * time.Millisecond
	// cutPollInterval is the interval at which a stream checks whether its cut link is
	// restored.
	cutPollInterval = 10 * time.Millisecond
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
	config        ProxyConfig
	domainByAddr  map[netip.Addr]string // failure domain by address of the dialing process
	fabric        *Fabric
	listener      net.Listener
	inbox         *ring.Ring[proxyEvent]
	group         *duty.Group
	log           *slog.Logger
	seed          uint64
	streams       map[*stream]struct{} // owned by the managing duty
	acceptedCount uint64               // number of connections; owned by the managing duty
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
func StartProxy(f *Fabric, config ProxyConfig, domainByAddr map[netip.Addr]string, seed uint64, log *slog.Logger, onFatal func(error)) (*Proxy, error) {
	listener, err := net.Listen("tcp4", config.Listen.String())
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	p := &Proxy{
		config: config, domainByAddr: domainByAddr, fabric: f, listener: listener, log: log, seed: seed,
		inbox:   ring.New[proxyEvent]("proxy", proxyInboxCapacity, ring.DropNewest),
		group:   duty.NewGroup(log, watchdogTimeout, onFatal),
		streams: map[*stream]struct{}{},
	}
	p.group.Add(duty.Duty{Name: "proxy-acceptor", Run: p.accept})
	p.group.Add(duty.FromRing("proxy-manager", p.inbox, p.handle))
	p.group.Add(closeDuty("proxy-closer", func() { _ = listener.Close() }, p.inbox.Close))
	p.group.Start()
	return p, nil
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Stop closes the proxy and its connections.
func (p *Proxy) Stop(ctx context.Context) error {
	failures := p.group.Stop(ctx)
	for s := range p.streams {
		failures = errors.Join(failures, s.group.Stop(ctx))
	}
	return failures
}

func (p *Proxy) accept(ctx context.Context, _ *duty.Progress) error {
	for {
		conn, err := p.listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("proxy: %w", err)
		}
		if queued, err := p.inbox.Put(proxyEvent{accepted: conn}); err != nil || !queued {
			_ = conn.Close() // the dialing process retries
		}
	}
}

func (p *Proxy) handle(e proxyEvent) error {
	if e.ended != nil {
		delete(p.streams, e.ended)
		return e.ended.group.Stop(context.Background())
	}
	target, err := net.DialTimeout("tcp4", p.config.Target.String(), proxyDialTimeout)
	if err != nil {
		p.log.Debug("proxy target cannot be reached", "target", p.config.Target, "reason", err)
		return e.accepted.Close()
	}
	p.startStream(e.accepted, target)
	return nil
}

func (p *Proxy) startStream(source, target net.Conn) {
	from := p.domainByAddr[source.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()]
	p.acceptedCount++
	s := &stream{}
	// A stream's duties end when either side closes it; that is normal operation, so
	// it is not logged.
	s.group = duty.NewGroup(slog.New(slog.DiscardHandler), watchdogTimeout,
		func(error) { _ = putWithRetry(p.inbox, proxyEvent{ended: s}) })
	forward := &streamDirection{proxy: p, in: source, out: target, link: linkKey{from, p.config.Domain}}
	backward := &streamDirection{proxy: p, in: target, out: source, link: linkKey{p.config.Domain, from}}
	for i, direction := range []*streamDirection{forward, backward} {
		direction.chunks = ring.New[chunk]("proxy-chunks", streamRingCapacity, ring.Block)
		direction.random = rand.New(rand.NewPCG(p.seed, 2*p.acceptedCount+uint64(i)))
		s.group.Add(duty.Duty{Name: "proxy-read", Run: direction.read})
		s.group.Add(duty.Duty{Name: "proxy-write", Run: direction.write})
	}
	s.group.Add(closeDuty("proxy-stream-closer", forward.chunks.Close, backward.chunks.Close,
		func() { _ = source.Close() }, func() { _ = target.Close() }))
	p.streams[s] = struct{}{}
	s.group.Start()
}

// streamDirection is one direction of a stream.
type streamDirection struct {
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
func (d *streamDirection) read(ctx context.Context, _ *duty.Progress) error {
	buffer := make([]byte, proxyChunkBytes)
	for {
		n, err := d.in.Read(buffer)
		if n > 0 {
			_, _ = d.chunks.Put(chunk{due: time.Now().Add(d.delay()), bytes: append([]byte(nil), buffer[:n]...)})
		}
		if err != nil {
			d.chunks.Close()
			<-ctx.Done()
			return nil
		}
	}
}

// delay returns the time in transit of the next chunk.
func (d *streamDirection) delay() time.Duration {
	l := d.proxy.fabric.link(d.link)
	delay := l.Delay
	if l.Jitter > 0 {
		delay += time.Duration(d.random.Int64N(int64(l.Jitter)))
	}
	if l.Loss > 0 && d.random.Float64() < l.Loss {
		delay += lostSegmentDelay
	}
	return delay
}

// write forwards the chunks in order, each once it is due and the link is not cut.
func (d *streamDirection) write(ctx context.Context, _ *duty.Progress) error {
	for {
		c, err := d.chunks.Get()
		if err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(c.due)); err != nil {
			return err
		}
		for d.proxy.fabric.link(d.link).Cut {
			if err := sleep(ctx, cutPollInterval); err != nil {
				return err
			}
		}
		if _, err := d.out.Write(c.bytes); err != nil {
			return err
		}
	}
}

// sleep returns after d, or with an error when ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
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
