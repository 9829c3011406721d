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

// maxDatagram is above the longest packet of the fabric, 34 bytes of head and 1,200 of data.
const maxDatagram = 1536

// datagram is a packet on its way through the process. It goes from the reader
// to the engine and the writer and back.
type datagram struct {
	buf      [maxDatagram]byte
	length   int
	packet   affinity.Packet
	verdict  affinity.Verdict
	to       netip.AddrPort // of the endpoint
	endpoint uint64
	token    uint32
	received time.Duration // 0 when the delay of this packet is not measured
}

// delaySample is how many packets come for each one whose delay is measured: reading
// the clock for each would cost as much as the decision.
const delaySample = 32

func (d *datagram) bytes() []byte { return d.buf[:d.length] }

// reader reads datagrams. When none is free it stops reading, and the kernel
// drops what exceeds the buffer of the socket.
type reader struct {
	socket  *net.UDPConn
	fabric  Fabric
	free    *ring.Ring[*datagram]
	engine  *ring.Ring[event]
	clock   func() time.Duration
	metrics *counters
	count   int
}

func (r *reader) run(ctx context.Context, _ *duty.Progress) error {
	stop := context.AfterFunc(ctx, func() { _ = r.socket.Close() })
	defer stop()
	for {
		d, err := r.free.Get()
		if err != nil {
			return nil
		}
		if err := r.read(d); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("read packets: %w", err)
		}
		if _, err := r.engine.Put(arrived{d}); err != nil {
			return nil
		}
	}
}

// read waits for a datagram that is a packet.
func (r *reader) read(d *datagram) error {
	for {
		n, _, err := r.socket.ReadFromUDPAddrPort(d.buf[:])
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			continue // an answer to an earlier send
		case err != nil:
			return err
		}
		d.length, d.received = n, 0
		if r.count++; r.count%delaySample == 0 {
			d.received = r.clock()
		}
		if d.packet, err = r.fabric.Decode(d.bytes()); err == nil {
			return nil
		}
		r.metrics.malformed.Inc(1)
	}
}

// writer sends what the engine has decided about.
type writer struct {
	log     *slog.Logger
	socket  *net.UDPConn
	fabric  Fabric
	free    *ring.Ring[*datagram]
	clock   func() time.Duration
	metrics *counters
	buf     []byte
}

func (w *writer) handle(d *datagram) error {
	to := d.to
	if d.verdict == affinity.Forward {
		w.buf = w.fabric.Forward(w.buf[:0], d.bytes(), d.endpoint, d.token)
	} else {
		w.buf, to = w.fabric.Reset(w.buf[:0], d.packet)
	}
	received := d.received
	w.free.Offer(d)
	// A datagram that cannot be sent now is a lost packet, which the ends repeat.
	if _, err := w.socket.WriteToUDPAddrPort(w.buf, to); err != nil {
		w.metrics.unsent.Inc(1)
		w.log.Debug("packet not sent", "to", to, "error", err)
	}
	if received > 0 {
		w.metrics.delay.Update((w.clock() - received).Microseconds())
	}
	return nil
}
