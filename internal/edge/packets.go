package edge

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"time"

	"cassiawood/internal/affinity"
	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
)

// maxDatagramBytes exceeds the longest packet of the fabric: 34 bytes of header and 1,200 of data.
const maxDatagramBytes = 1536

// datagram is a reusable packet buffer. It passes from the reader to the engine and the writer,
// which returns it to the ring of free datagrams.
type datagram struct {
	buf             [maxDatagramBytes]byte
	length          int
	packet          affinity.Packet
	verdict         affinity.Verdict
	endpointAddress netip.AddrPort
	endpoint        uint64 // ID
	token           uint32
	receivedAt      time.Duration // 0 if the delay of this packet is not measured
}

// packetsPerDelaySample is the number of packets per measured delay. Reading the clock for every
// packet would cost as much as the decision.
const packetsPerDelaySample = 32

func (d *datagram) bytes() []byte { return d.buf[:d.length] }

// packetReader reads datagrams. While no buffer is free it stops reading, and the kernel
// drops the datagrams that exceed the socket buffer.
type packetReader struct {
	socket        *net.UDPConn
	codec         PacketCodec
	freeDatagrams *ring.Ring[*datagram]
	engineInbox   *ring.Ring[event]
	clock         func() time.Duration
	metrics       *counters
	packetCount   int
}

func (r *packetReader) run(ctx context.Context, _ *duty.Progress) error {
	stop := context.AfterFunc(ctx, func() { _ = r.socket.Close() })
	defer stop()
	for {
		d, err := r.freeDatagrams.Get()
		if err != nil {
			return nil
		}
		if err := r.read(d); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("read packets: %w", err)
		}
		if _, err := r.engineInbox.Put(packetArrived{d}); err != nil {
			return nil
		}
	}
}

// read waits for a datagram that is a valid packet.
func (r *packetReader) read(d *datagram) error {
	for {
		n, _, err := r.socket.ReadFromUDPAddrPort(d.buf[:])
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			continue // the result of an earlier send
		case err != nil:
			return err
		}
		d.length, d.receivedAt = n, 0
		if r.packetCount++; r.packetCount%packetsPerDelaySample == 0 {
			d.receivedAt = r.clock()
		}
		if d.packet, err = r.codec.Decode(d.bytes()); err == nil {
			return nil
		}
		r.metrics.malformed.Inc(1)
	}
}

// packetWriter sends forwarded packets and resets.
type packetWriter struct {
	log           *slog.Logger
	socket        *net.UDPConn
	codec         PacketCodec
	freeDatagrams *ring.Ring[*datagram]
	clock         func() time.Duration
	metrics       *counters
	buf           []byte
}

func (w *packetWriter) handle(d *datagram) error {
	to := d.endpointAddress
	if d.verdict == affinity.Forward {
		w.buf = w.codec.AppendForward(w.buf[:0], d.bytes(), d.endpoint, d.token)
	} else {
		w.buf, to = w.codec.AppendReset(w.buf[:0], d.packet)
	}
	received := d.receivedAt
	w.freeDatagrams.Offer(d)
	// A datagram that cannot be sent counts as a lost packet, which the ends resend.
	if _, err := w.socket.WriteToUDPAddrPort(w.buf, to); err != nil {
		w.metrics.unsent.Inc(1)
		w.log.Debug("packet not sent", "to", to, "error", err)
	}
	if received > 0 {
		w.metrics.delay.Update((w.clock() - received).Microseconds())
	}
	return nil
}
