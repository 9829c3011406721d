package cluster

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/routing"
	"cassiawood/internal/wire"
)

const (
	simCallTimeout  = time.Second            // after which a caller turns to another host
	simCallPause    = 100 * time.Millisecond // before it does after a refusal
	simOrderTimeout = 6 * time.Second        // after which a caller gives up an order
)

// simOrders gives orders for one failure domain, one after another, as an operator on the platform does.
type simOrders struct {
	s          *simulation
	order      routing.EvacuationOrder
	begunAt    time.Duration
	call       *simCall
	nextCallAt time.Duration

	acked   bool // the latest order was acknowledged
	ackedAt time.Duration
	took    time.Duration
}

// simCall is one call of an operator to a host.
type simCall struct {
	host     *simHost
	at       time.Duration
	event    orderEvacuation
	canceled bool
}

// give begins an order. The one before it must have ended.
func (o *simOrders) give(begins bool) {
	o.order.Begins, o.begunAt, o.acked, o.nextCallAt = begins, o.s.now, false, o.s.now
	o.s.note("%s: begins %v", o.order.Domain, begins)
}

func (o *simOrders) inProgress() bool { return !o.acked && o.s.now-o.begunAt < simOrderTimeout }

// callHost sends the order to a host. It waits at a frozen one.
func (o *simOrders) callHost(h *simHost) error {
	c := &simCall{host: h, at: o.s.now}
	c.event = orderEvacuation{order: o.order, reply: newReply(), canceled: func() bool { return c.canceled }}
	o.call = c
	if h.frozen {
		h.waiting = append(h.waiting, c.event)
		return nil
	}
	return h.handle(c.event)
}

func (o *simOrders) step() error {
	if c := o.call; c != nil {
		if c.event.reply.Depth() > 0 {
			o.call = nil
			a, _ := c.event.reply.Get()
			return o.answered(c, a.err)
		}
		died := c.host.state == nil
		if died || o.s.now-c.at >= simCallTimeout {
			c.canceled, o.call, o.nextCallAt = true, nil, o.s.now
		}
	}
	if o.begunAt == 0 || o.call != nil || !o.inProgress() || o.s.now < o.nextCallAt {
		return nil
	}
	hosts := slices.DeleteFunc(slices.Clone(o.s.hosts), func(h *simHost) bool { return h.state == nil || h.removed })
	if len(hosts) == 0 {
		return nil
	}
	return o.callHost(hosts[o.s.orderRNG.IntN(len(hosts))])
}

func (o *simOrders) answered(c *simCall, err error) error {
	var notLeader NotLeaderError
	switch {
	case c.host.cut && err == nil:
		return fmt.Errorf("%s has acknowledged an order without a majority", c.host.address)
	case err == nil:
		o.acked, o.ackedAt, o.took = true, o.s.now, o.s.now-o.begunAt
		o.s.note("%s: begins %v is acknowledged by %s after %v", o.order.Domain, o.order.Begins, c.host.address, o.took)
	case errors.As(err, &notLeader):
		i := slices.IndexFunc(o.s.hosts, func(h *simHost) bool { return h.address == notLeader.Address && h.state != nil })
		if i >= 0 && !c.host.cut {
			return o.callHost(o.s.hosts[i])
		}
		o.nextCallAt = o.s.now + simCallPause
	case errors.Is(err, ErrUnavailable):
		o.nextCallAt = o.s.now + simCallPause
	default:
		return fmt.Errorf("order for %s was refused: %w", o.order.Domain, err)
	}
	return nil
}

// check returns an error if a host that is in contact with a majority does not have the acknowledged order.
func (o *simOrders) check(hosts []*simHost, settle time.Duration) error {
	for _, h := range hosts {
		if h.state == nil || h.frozen || h.cut || h.hung || h.removed || !o.acked || o.s.now-max(o.ackedAt, h.startedAt) < settle || !h.state.hasMajorityContact() || h.state.status.CommitIsUncertain {
			continue
		}
		if state := h.state.routes.Evacuations(); state.Contains(o.order.Domain) != o.order.Begins {
			return fmt.Errorf("%s has evacuations %+v, but %+v was acknowledged at %v", h.address, state, o.order, o.ackedAt-time.Hour)
		}
	}
	return nil
}

// dropEvacuations makes the disk that of a host that ran an earlier build for a time: it has written a snapshot without evacuations.
func (d *simDisk) dropEvacuations() error {
	routes, members, snapshot := routing.NewState(), d.initial, d.snapshot
	if snapshot.Index > 0 {
		stored, err := wire.DecodeRoutingState(snapshot.State)
		if err != nil {
			return err
		}
		routes, members = routing.Restore(stored.Desired(), stored.FormerServices(), routing.Evacuations{}), snapshot.Members
	}
	for _, e := range d.entries {
		if e.Index <= snapshot.Index || e.Index > d.hardState.Commit {
			continue
		}
		snapshot.Index, snapshot.Term, snapshot.At = e.Index, e.Term, e.At
		if e.Members != nil {
			members = e.Members
		}
		if len(e.Data) > 0 {
			desired, _, err := wire.DecodeRoutingEntry(e.Data)
			if err != nil {
				return err
			}
			routes.Apply(desired)
		}
	}
	if snapshot.Index == 0 {
		return nil
	}
	var err error
	snapshot.State, err = wire.EncodeRoutingState(routes)
	snapshot.Members = members
	d.snapshot = snapshot
	d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e changelog.Entry) bool { return e.Index <= snapshot.Index })
	return err
}
