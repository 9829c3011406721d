package lab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"time"

	"golang.org/x/net/ipv4"

	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
)

// Relay returns each UDP datagram to its sender without looking at it. Its time
// per packet is the baseline for that of an entry process.
type Relay struct {
	conn  *net.UDPConn
	group *duty.Group
}

// StartRelay starts a relay at a loopback address.
func StartRelay(listen netip.AddrPort, log *slog.Logger, onFatal func(error)) (*Relay, error) {
	conn, err := listenUDP(listen)
	if err != nil {
		return nil, err
	}
	r := &Relay{conn: conn, group: duty.NewGroup(log, watchdogTimeout, onFatal)}
	r.group.Add(duty.Duty{Name: "relay", Run: r.run})
	r.group.Add(closeDuty("relay-closer", func() { _ = conn.Close() }))
	r.group.Start()
	return r, nil
}

// Addr returns the address of the relay.
func (r *Relay) Addr() netip.AddrPort { return unmapped(r.conn.LocalAddr()) }

// Stop ends the relay.
func (r *Relay) Stop(ctx context.Context) error { return r.group.Stop(ctx) }

func (r *Relay) run(context.Context, *duty.Progress) error {
	packets := ipv4.NewPacketConn(r.conn)
	messages := newMessages(batchSize)
	for {
		n, err := packets.ReadBatch(messages, 0)
		if err == nil {
			for i := range n {
				messages[i].Buffers[0] = messages[i].Buffers[0][:messages[i].N]
			}
			err = writeAll(packets, messages[:n])
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		for i := range n {
			messages[i].Buffers[0] = messages[i].Buffers[0][:maxDatagramBytes]
		}
	}
}

// listenUDP opens a UDP socket with enlarged buffers, which hold a full window of
// PacketLoad.
func listenUDP(listen netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("open UDP socket: %w", err)
	}
	if err := errors.Join(conn.SetReadBuffer(udpBufferBytes), conn.SetWriteBuffer(udpBufferBytes)); err != nil {
		return nil, errors.Join(fmt.Errorf("set size of UDP socket buffers: %w", err), conn.Close())
	}
	return conn, nil
}

const (
	// loadWindow is the number of datagrams in flight. It keeps a relay busy and
	// overflows no socket buffer of the usual limit of 208 KiB.
	loadWindow = 128
	// lossTimeout is the time without a returned datagram after which those in flight
	// count as lost.
	lossTimeout = 250 * time.Millisecond
)

// PacketLoad generates load for a relay or an entry process. One duty sends
// datagrams and another receives those that return, so that the target is the
// bottleneck.
type PacketLoad struct {
	Listen    netip.AddrPort // where the target sends to, such as the fabric's address
	Target    netip.AddrPort
	Datagrams [][]byte // sent in rotation
	Count     int      // of datagrams to send
}

// LoadResult is what PacketLoad measured.
type LoadResult struct {
	Returned, Lost int
	PerPacket      time.Duration // elapsed time divided by the number of returned datagrams
}

// packetLoadRun is the state of one call of PacketLoad.Run.
type packetLoadRun struct {
	load    *PacketLoad
	conn    *net.UDPConn
	packets *ipv4.PacketConn
	credits *ring.Ring[int] // number of further datagrams that may be sent
	result  *ring.Ring[LoadResult]
}

// Run sends Count datagrams and returns when each has returned or is lost.
func (l *PacketLoad) Run(log *slog.Logger) (LoadResult, error) {
	conn, err := listenUDP(l.Listen)
	if err != nil {
		return LoadResult{}, err
	}
	run := &packetLoadRun{
		load: l, conn: conn, packets: ipv4.NewPacketConn(conn),
		credits: ring.New[int]("load-credits", loadWindow+1, ring.Block),
		result:  ring.New[LoadResult]("load-result", 1, ring.DropNewest),
	}
	var failure error
	group := duty.NewGroup(log, watchdogTimeout, func(err error) {
		failure = err
		run.result.Close()
	})
	group.Add(duty.FromRing("load-sender", run.credits, run.sender()))
	group.Add(duty.Duty{Name: "load-receiver", Run: run.receive})
	group.Add(closeDuty("load-closer", run.credits.Close, func() { _ = conn.Close() }))
	group.Start()
	result, err := run.result.Get()
	if errors.Is(err, ring.ErrClosed) {
		err = failure
	}
	return result, errors.Join(err, group.Stop(context.Background()))
}

// sender returns a handler that sends one datagram for each credit.
func (r *packetLoadRun) sender() func(credit int) error {
	messages := make([]ipv4.Message, loadWindow)
	to := net.UDPAddrFromAddrPort(r.load.Target)
	for i := range messages {
		messages[i] = ipv4.Message{Buffers: make([][]byte, 1), Addr: to}
	}
	next := 0
	return func(credit int) error {
		for i := range credit {
			messages[i].Buffers[0] = r.load.Datagrams[next]
			next = (next + 1) % len(r.load.Datagrams)
		}
		err := writeAll(r.packets, messages[:credit])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		return err
	}
}

// receive counts the datagrams that return and issues a credit for each.
func (r *packetLoadRun) receive(ctx context.Context, _ *duty.Progress) error {
	var result LoadResult
	start, last := time.Now(), time.Now()
	outstanding, issued := 0, 0
	issue := func(n int) {
		n = min(n, r.load.Count-issued)
		if n > 0 {
			issued += n
			outstanding += n
			_, _ = r.credits.Put(n)
		}
	}
	issue(loadWindow)
	messages := newMessages(batchSize)
	for outstanding > 0 {
		if err := r.conn.SetReadDeadline(time.Now().Add(lossTimeout)); err != nil {
			return err
		}
		n, err := r.packets.ReadBatch(messages, 0)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			result.Lost += outstanding
			n, outstanding = outstanding, 0
		case err != nil:
			return fmt.Errorf("receive load datagrams: %w", err)
		default:
			n = min(n, outstanding) // late datagrams have already been counted as lost
			result.Returned += n
			outstanding -= n
			last = time.Now()
		}
		issue(n)
	}
	if result.Returned > 0 {
		result.PerPacket = last.Sub(start) / time.Duration(result.Returned)
	}
	_, _ = r.result.Put(result)
	<-ctx.Done()
	return nil
}
