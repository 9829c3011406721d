package entry

import (
	"context"
	"fmt"
	"net"
	"time"

	"golang.org/x/net/ipv4"

	"cassiawood/internal/announce"
	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
)

// readerDuty reads batches of datagrams from the fabric. While no batch is free it
// does not read, and the kernel drops datagrams that exceed the socket buffer.
type readerDuty struct {
	socket *net.UDPConn
	free   *ring.Ring[*batch]
	engine *ring.Ring[engineEvent]
}

func (d *readerDuty) run(ctx context.Context, _ *duty.Progress) error {
	stop := context.AfterFunc(ctx, func() { _ = d.socket.Close() })
	defer stop()
	conn := ipv4.NewPacketConn(d.socket)
	for {
		b, err := d.free.Get()
		if err != nil {
			return nil
		}
		if err := b.read(conn); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if _, err := d.engine.Put(enginePackets{batch: b}); err != nil {
			return nil
		}
	}
}

// writerDuty sends batches and returns them to the ring of free batches.
type writerDuty struct {
	conn *ipv4.PacketConn
	free *ring.Ring[*batch]
}

func (d *writerDuty) handle(b *batch) error {
	err := b.write(d.conn)
	d.free.Offer(b)
	if err != nil {
		return fmt.Errorf("send packets: %w", err)
	}
	return nil
}

// probeTarget holds the URLs to probe on a backend server; either may be empty.
type probeTarget struct{ instance, healthURL, loadURL string }

// proberDuty probes the health and load URLs of the backend servers in its failure
// domain and reports the results to the engine.
type proberDuty struct {
	prober  *announce.Prober
	targets *ring.Ring[[]probeTarget]
	engine  *ring.Ring[engineEvent]
	clock   func() time.Duration
}

const (
	// probeInterval is the time between two rounds of probes. Three rounds fit into
	// the 3 s within which a leaving backend server must stop receiving new flows.
	probeInterval = time.Second
	// probeWorkers is the number of concurrent probes, so that a few unresponsive
	// backend servers do not delay the round.
	probeWorkers = 8
)

func (d *proberDuty) run(ctx context.Context, _ *duty.Progress) error {
	current, err := d.targets.Get()
	if err != nil {
		return nil
	}
	work := ring.New[probeTarget]("probe-work", probeWorkers, ring.Block)
	defer work.Close()
	for range probeWorkers {
		go d.runWorker(ctx, work)
	}
	for ctx.Err() == nil {
		for _, t := range current {
			if _, err := work.Put(t); err != nil {
				return nil
			}
		}
		sleep(ctx, probeInterval)
		for d.targets.Depth() > 0 {
			if current, err = d.targets.Get(); err != nil {
				return nil
			}
		}
	}
	return nil
}

func (d *proberDuty) runWorker(ctx context.Context, work *ring.Ring[probeTarget]) {
	for {
		t, err := work.Get()
		if err != nil {
			return
		}
		if t.healthURL != "" {
			healthy := d.prober.Healthy(ctx, t.healthURL)
			d.engine.Offer(engineProbe{instance: t.instance, accepts: healthy})
		}
		if t.loadURL != "" {
			requestedAt := d.clock()
			if inFlight, ok := d.prober.Load(ctx, t.loadURL); ok {
				d.engine.Offer(engineLoad{instance: t.instance, inFlight: inFlight, requestedAt: requestedAt})
			}
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// tickInterval is the resolution of all timers. helloInterval is a multiple of it.
const tickInterval = 100 * time.Millisecond

// newClock returns the duty that sends ticks to the engine and the control link. A
// tick is dropped if an inbox is full; the next one carries a later time.
func newClock(r *rings, clock func() time.Duration) duty.Duty {
	return duty.Every("clock", tickInterval, func() {
		now := clock()
		r.engine.Offer(engineTick{now: now})
		r.control.Offer(controlTick{now: now})
	})
}

// submitter proposes announcements to the leader through the control link.
type submitter struct{ control *ring.Ring[controlEvent] }

// Submit proposes an announcement and waits for the result, which the control link
// delivers within proposalTimeout.
func (s submitter) Submit(_ context.Context, a announce.Announcement) error {
	request, err := wire.AnnouncementToProto(a)
	if err != nil {
		return err
	}
	result := ring.New[proposalResult]("announcement", 1, ring.DropNewest)
	if !s.control.Offer(controlProposal{request: request, result: result}) {
		return errNoLeader
	}
	answer, err := result.Get()
	switch {
	case err != nil:
		return err
	case answer.err != nil:
		return answer.err
	case !answer.accepted:
		return &announce.RefusedError{Reason: answer.reason}
	}
	return nil
}
