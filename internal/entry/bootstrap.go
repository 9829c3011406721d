package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// bootstrapInterval is how long a starting host waits for a control host before it
// asks its peers for the directory, and the time between further attempts.
const bootstrapInterval = 2 * time.Second

// bootstrapDuty fetches the directory from a peer if the host starts while it
// cannot reach the control hosts. Entry hosts keep no state on disk, so without it a
// failure domain could not serve after a restart during a partition.
type bootstrapDuty struct {
	log    *slog.Logger
	peers  []string
	tls    *tls.Config
	engine *ring.Ring[engineEvent]
}

func (d *bootstrapDuty) run(ctx context.Context, _ *duty.Progress) error {
	for {
		sleep(ctx, bootstrapInterval)
		if ctx.Err() != nil {
			return nil
		}
		status, err := requestStatus(d.engine)
		if err != nil {
			return nil
		}
		if status.AppliedIndex > 0 {
			<-ctx.Done()
			return nil
		}
		d.installNewestDirectory(ctx)
	}
}

// installNewestDirectory installs the newest directory among those of the peers.
func (d *bootstrapDuty) installNewestDirectory(ctx context.Context) {
	var newest *directory.State
	for _, address := range d.peers {
		state, err := d.fetchDirectory(ctx, address)
		if err != nil {
			d.log.Debug("directory not fetched from peer", "address", address, "error", err)
			continue
		}
		if newest == nil || state.Index() > newest.Index() {
			newest = state
		}
	}
	if newest != nil {
		_, _ = d.engine.Put(engineSnapshot{state: newest})
	}
}

// fetchDirectory fetches the directory from one peer.
func (d *bootstrapDuty) fetchDirectory(ctx context.Context, address string) (*directory.State, error) {
	session, err := wire.Dial(ctx, address, d.tls, wire.DefaultTimeouts)
	if err != nil {
		return nil, err
	}
	defer func() { _ = session.Close() }()
	stream, err := session.Open()
	if err != nil {
		return nil, err
	}
	request := &wirepb.Envelope{Body: &wirepb.Envelope_SnapshotRequest{SnapshotRequest: &wirepb.SnapshotRequest{}}}
	if err := stream.Send(request); err != nil {
		return nil, err
	}
	envelope, err := stream.Receive()
	if err != nil {
		return nil, err
	}
	if envelope.GetSnapshot() == nil {
		return nil, errors.New("the peer has no directory")
	}
	return stateFromProto(envelope.GetSnapshot())
}

func stateFromProto(p *wirepb.Snapshot) (*directory.State, error) {
	snapshot, err := wire.DecodeDirectoryState(p.GetState())
	if err != nil {
		return nil, fmt.Errorf("decode directory snapshot: %w", err)
	}
	return directory.FromSnapshot(snapshot)
}

// requestStatus requests the status from the engine duty and waits for it.
func requestStatus(engine *ring.Ring[engineEvent]) (Status, error) {
	result := ring.New[Status]("status", 1, ring.DropNewest)
	if _, err := engine.Put(engineStatus{result: result}); err != nil {
		return Status{}, fmt.Errorf("request engine status: %w", err)
	}
	return result.Get()
}
