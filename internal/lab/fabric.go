// Package lab simulates the environment of cassiawood for tests and demonstrations:
// the network fabric, the backend servers and the callers, with load generation and
// fault injection. Each duty has one goroutine; duties are joined by bounded rings.
package lab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"golang.org/x/net/ipv4"

	"cassiawood/internal/duty"
	"cassiawood/internal/packet"
	"cassiawood/internal/ring"
)

const (
	// batchSize is the number of packets per system call.
	batchSize = 64
	// packetRingCapacity is the capacity of the packet rings, about 40 ms of traffic at
	// 100,000 packets/s; a full ring drops packets as a switch would.
	packetRingCapacity = 4096
	// maxDatagramBytes is the longest UDP payload that the fabric reads.
	maxDatagramBytes = 2048
	// tickInterval bounds the error of delays in the fabric.
	tickInterval = time.Millisecond
	// watchdogTimeout is the time after which the watchdog treats a duty as hung.
	watchdogTimeout = 30 * time.Second
	// vni is the virtual network identifier of the fabric's Geneve packets; entry
	// hosts need not read it.
	vni = 1
	// udpBufferBytes is the size of the socket buffers, large enough for the packets
	// of one full ring.
	udpBufferBytes = 4 << 20
)

// FabricConfig describes a fabric.
type FabricConfig struct {
	Listen     netip.AddrPort // loopback address that entry hosts send to; port 0 picks a free one
	EntryHosts []EntryHost
	Inside     Link // within a failure domain
	Between    Link // between failure domains
	Seed       uint64
}

// fabricEvent is an event for the scheduling duty: a packet, a function to call, or
// a tick if all fields are zero.
type fabricEvent struct {
	inner  []byte
	stack  *attachment    // the packet's sender, if it is a stack
	source netip.AddrPort // the packet's sender, if it is an entry host
	target netip.AddrPort // the entry host whose forwarding address received the packet, if any
	do     func(n *network)
}

// Fabric carries the packets between stacks and entry hosts.
type Fabric struct {
	conn         *net.UDPConn
	forwardConns []*net.UDPConn
	packets      *ipv4.PacketConn
	inbox        *ring.Ring[fabricEvent]
	toEntry      *ring.Ring[delivery]
	toStack      *ring.Ring[delivery]
	tickQueued   atomic.Bool // a tick is in the inbox
	network      *network    // owned by the scheduling duty
	links        atomic.Pointer[linkTable]
	group        *duty.Group
	now          func() time.Duration
	malformed    atomic.Uint64 // datagrams that were not Geneve packets
	geneveHeader []byte
}

// NewFabric opens the fabric's socket. Start starts its duties.
func NewFabric(config FabricConfig, log *slog.Logger, onFatal func(error)) (*Fabric, error) {
	conn, err := listenUDP(config.Listen)
	if err != nil {
		return nil, fmt.Errorf("fabric: %w", err)
	}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	f := &Fabric{
		conn:         conn,
		packets:      ipv4.NewPacketConn(conn),
		inbox:        ring.New[fabricEvent]("fabric-inbox", packetRingCapacity, ring.DropNewest),
		toEntry:      ring.New[delivery]("fabric-to-entry", packetRingCapacity, ring.DropNewest),
		toStack:      ring.New[delivery]("fabric-to-stack", packetRingCapacity, ring.DropNewest),
		network:      newNetwork(config.Seed, config.EntryHosts, config.Inside, config.Between),
		group:        duty.NewGroup(log, watchdogTimeout, onFatal),
		now:          now,
		geneveHeader: packet.AppendGeneve(nil, vni, nil),
	}
	f.publishLinks()
	f.group.Add(duty.Duty{Name: "fabric-reader", Run: f.reader(f.packets, f.handleGeneve)})
	f.group.Add(duty.FromRing("fabric-scheduler", f.inbox, f.schedule))
	f.group.Add(duty.Duty{Name: "fabric-writer", Run: f.write})
	f.group.Add(duty.FromRing("fabric-injector", f.toStack, f.deliverToStack))
	f.group.Add(tickDuty("fabric-clock", tickInterval, &f.tickQueued, func() { _, _ = f.inbox.Put(fabricEvent{}) }))
	f.group.Add(closeDuty("fabric-closer", f.inbox.Close, f.toEntry.Close, f.toStack.Close, func() { _ = f.closeSockets() }))
	for _, e := range config.EntryHosts {
		if !e.ForwardAddr.IsValid() {
			continue
		}
		if err := f.addForward(e); err != nil {
			return nil, errors.Join(err, f.closeSockets())
		}
	}
	return f, nil
}

// closeDuty calls the closers when the group stops, so that duties blocked on a
// ring or a socket return. A ring or socket that closes earlier would be reported
// as a failed duty.
func closeDuty(name string, closers ...func()) duty.Duty {
	return duty.Duty{Name: name, Run: func(ctx context.Context, _ *duty.Progress) error {
		<-ctx.Done()
		for _, c := range closers {
			c()
		}
		return nil
	}}
}

// tickDuty calls put every interval unless the previous tick is still queued.
func tickDuty(name string, interval time.Duration, queued *atomic.Bool, put func()) duty.Duty {
	return duty.Every(name, interval, func() {
		if queued.CompareAndSwap(false, true) {
			put()
		}
	})
}

// Addr returns the address that entry hosts send to.
func (f *Fabric) Addr() netip.AddrPort {
	return unmapped(f.conn.LocalAddr())
}

// unmapped returns a UDP address as plain IPv4. Package net may return the
// IPv4-mapped IPv6 form, which does not compare equal to it.
func unmapped(a net.Addr) netip.AddrPort {
	addr := a.(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// Start starts the duties.
func (f *Fabric) Start() { f.group.Start() }

// Stop ends the duties and closes the sockets.
func (f *Fabric) Stop(ctx context.Context) error { return f.group.Stop(ctx) }

// Apply applies a fault; packets that are already in transit are not affected.
func (f *Fabric) Apply(fault Fault) error {
	result, err := ask(f, func(n *network) error {
		err := fault.apply(n)
		f.publishLinks()
		return err
	})
	return errors.Join(err, result)
}

// Stats returns the packet counters.
func (f *Fabric) Stats() (FabricStats, error) {
	stats, err := ask(f, func(n *network) FabricStats { return n.stats })
	stats.Malformed += f.malformed.Load()
	stats.Overflow = f.inbox.Drops() + f.toEntry.Drops() + f.toStack.Drops()
	return stats, err
}

// publishLinks publishes a copy of the links for the proxies, which run in other duties.
func (f *Fabric) publishLinks() {
	table := f.network.linkTable
	table.links = maps.Clone(table.links)
	f.links.Store(&table)
}

// link returns the current link from one failure domain to another; any duty may call it.
func (f *Fabric) link(key linkKey) Link { return f.links.Load().linkFor(key) }

func (f *Fabric) attach(a *attachment) error {
	_, err := ask(f, func(n *network) bool { n.attach(a); return true })
	return err
}

func (f *Fabric) detach(a *attachment) error {
	_, err := ask(f, func(n *network) bool { n.detach(a); return true })
	return err
}

// ask runs do on the scheduling duty and returns its result.
func ask[T any](f *Fabric, do func(n *network) T) (T, error) {
	reply := ring.New[T]("fabric-reply", 1, ring.DropNewest)
	event := fabricEvent{do: func(n *network) {
		_, _ = reply.Put(do(n))
	}}
	if err := putWithRetry(f.inbox, event); err != nil {
		var zero T
		return zero, fmt.Errorf("fabric: %w", err)
	}
	return reply.Get()
}

// putWithRetry puts a value that must not be lost into a ring that drops values
// when it is full, and retries until the ring has room.
func putWithRetry[T any](r *ring.Ring[T], v T) error {
	for {
		queued, err := r.Put(v)
		if err != nil || queued {
			return err
		}
		time.Sleep(tickInterval)
	}
}

// newStack creates a user-space TCP stack in a failure domain and attaches it to the fabric.
func (f *Fabric) newStack(domain string, addresses []netip.Addr) (*tcpStack, *attachment, error) {
	a := &attachment{domain: domain, addresses: addresses}
	s, err := newTCPStack(addresses, func(inner []byte) {
		_, _ = f.inbox.Put(fabricEvent{inner: inner, stack: a})
	})
	if err != nil {
		return nil, nil, err
	}
	a.inject = s.link.inject
	return s, a, f.attach(a)
}

// schedule handles one event of the scheduling duty.
func (f *Fabric) schedule(e fabricEvent) error {
	now := f.now()
	switch {
	case e.do != nil:
		e.do(f.network)
	case e.stack != nil:
		f.network.routeFromStack(e.stack, e.inner, now)
	case e.target.IsValid():
		f.network.routeBetweenEntries(e.source, e.target, e.inner, now)
	case e.source.IsValid():
		f.network.routeFromEntry(e.source, e.inner, now)
	default:
		f.tickQueued.Store(false)
	}
	for {
		d, ok := f.network.popDue(now)
		if !ok {
			return nil
		}
		if d.toStack != nil {
			f.network.stats.ToStacks++
			_, _ = f.toStack.Put(d)
		} else {
			f.network.stats.ToEntryHosts++
			_, _ = f.toEntry.Put(d)
		}
	}
}

func (f *Fabric) deliverToStack(d delivery) error {
	d.toStack.inject(d.inner)
	return nil
}

// reader returns a duty that reads the entry hosts' datagrams from a socket and
// passes each to handle.
func (f *Fabric) reader(packets *ipv4.PacketConn, handle func(datagram []byte, source netip.AddrPort)) func(context.Context, *duty.Progress) error {
	return func(ctx context.Context, progress *duty.Progress) error {
		messages := newMessages(batchSize)
		for {
			n, err := packets.ReadBatch(messages, 0)
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					return nil
				}
				return fmt.Errorf("read from fabric socket: %w", err)
			}
			progress.Begin()
			for i := range n {
				handle(messages[i].Buffers[0][:messages[i].N], unmapped(messages[i].Addr))
			}
			progress.End()
		}
	}
}

// handleGeneve passes the inner packet of a Geneve datagram to the scheduling duty.
func (f *Fabric) handleGeneve(datagram []byte, source netip.AddrPort) {
	var g packet.Geneve
	if packet.DecodeGeneve(datagram, &g) != nil {
		f.malformed.Add(1)
		return
	}
	_, _ = f.inbox.Put(fabricEvent{inner: append([]byte(nil), g.Inner...), source: source})
}

// addForward opens a socket at the forwarding address of an entry host and adds
// the duty that reads it.
func (f *Fabric) addForward(e EntryHost) error {
	conn, err := listenUDP(e.ForwardAddr)
	if err != nil {
		return fmt.Errorf("forwarding address of entry host %s: %w", e.Name, err)
	}
	f.forwardConns = append(f.forwardConns, conn)
	f.group.Add(duty.Duty{Name: "fabric-forward-" + e.Name, Run: f.reader(ipv4.NewPacketConn(conn), func(datagram []byte, source netip.AddrPort) {
		_, _ = f.inbox.Put(fabricEvent{inner: append([]byte(nil), datagram...), source: source, target: e.Addr})
	})})
	return nil
}

// closeSockets closes all sockets, which ends the duties that read from them.
func (f *Fabric) closeSockets() error {
	failures := f.conn.Close()
	for _, forward := range f.forwardConns {
		failures = errors.Join(failures, forward.Close())
	}
	return failures
}

// write sends the scheduled packets to the entry hosts, in batches.
func (f *Fabric) write(_ context.Context, progress *duty.Progress) error {
	batch := make([]delivery, batchSize)
	messages := make([]ipv4.Message, batchSize)
	for {
		n, err := f.toEntry.GetBatch(batch)
		if err != nil {
			return nil // the ring is closed
		}
		progress.Begin()
		for i, d := range batch[:n] {
			messages[i].Buffers = [][]byte{f.geneveHeader, d.inner}
			if d.raw {
				messages[i].Buffers = [][]byte{d.inner}
			}
			messages[i].Addr = net.UDPAddrFromAddrPort(d.toEntry)
		}
		err = writeAll(f.packets, messages[:n])
		progress.End()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("write to fabric socket: %w", err)
		}
	}
}

func newMessages(n int) []ipv4.Message {
	messages := make([]ipv4.Message, n)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, maxDatagramBytes)}
	}
	return messages
}

func writeAll(conn *ipv4.PacketConn, messages []ipv4.Message) error {
	for len(messages) > 0 {
		n, err := conn.WriteBatch(messages, 0)
		if err != nil {
			return err
		}
		messages = messages[n:]
	}
	return nil
}
