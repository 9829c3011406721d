package edge

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"cassiawood/internal/affinity"
	"cassiawood/internal/changelog"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// silenceLimit ends the connection to a control host, which sends something
	// every 300 ms.
	silenceLimit = time.Second
	// quietLimit is the silence after which a host whose state is not complete looks for another
	// control host. A host with a state waits longer: at many entry hosts, each turn costs a
	// copy of everything.
	quietLimit = 500 * time.Millisecond
	// contactLimit is how long a control host may be without contact to a majority
	// before another one is tried beside it.
	contactLimit = time.Second
	// nearInterval is the time between tries to return to a control host of the own failure domain.
	nearInterval = 5 * time.Second
	// dialLimit bounds one try to connect. A first packet that is lost is repeated by TCP only
	// after a second, so a further try finds a host that comes back sooner.
	dialLimit = 200 * time.Millisecond
	// retryPause is the time between connections to the same control host, and eagerPause that
	// in the first time without one: after a fault of the whole site the control hosts come back
	// within a fraction of a second of the entry hosts.
	retryPause = 200 * time.Millisecond
	eagerPause = 50 * time.Millisecond
	// eagerFor is the time without a control host after which the pause is the longer one.
	eagerFor = 2 * time.Second
	// maxConnections bounds the connections at a time.
	maxConnections = 4
)

// followEvent is a value in the inbox of the follow duty.
type followEvent interface{ isFollowEvent() }

type (
	followTick struct{}
	received   struct {
		from   *connection
		update *wirepb.EdgeUpdate
	}
	ended struct {
		from *connection
		err  error
	}
	seedsChanged struct{ seeds []string }
	// measured is the demand at this host, for the control host that is followed.
	measured struct{ demand []affinity.Demand }
)

func (followTick) isFollowEvent()   {}
func (received) isFollowEvent()     {}
func (ended) isFollowEvent()        {}
func (seedsChanged) isFollowEvent() {}
func (measured) isFollowEvent()     {}

// connection follows one control host on a goroutine of its own.
type connection struct {
	address string
	cancel  context.CancelFunc
	since   time.Duration
	contact time.Duration // when the control host last was in contact with a majority; -1 before
	version uint64        // of the desired state that the control host has, 0 when it has none
	heard   time.Duration // when the control host has sent something last; -1 before
	whole   bool          // it has sent everything that it knows
	out     *ring.Ring[*wirepb.Envelope]
}

// requestCapacity bounds what waits to be sent to a control host. Demand that finds no room
// is measured again a second later.
const requestCapacity = 8

// followDuty decides which control host to follow: one of the own failure
// domain that is in contact with a majority, else any in contact, else any.
type followDuty struct {
	log      *slog.Logger
	settings Settings
	inbox    *ring.Ring[followEvent]
	engine   *ring.Ring[event]
	clock    func() time.Duration
	ctx      context.Context

	now         time.Duration
	seeds       []string
	hosts       changelog.Membership // as the control hosts name themselves
	domains     map[string]string    // failure domain by address of a control host
	current     *connection
	connections []*connection
	tried       map[string]time.Duration // when each address was tried last
	nearAt      time.Duration
	lostAt      time.Duration // when there was a current control host last, at first the start
}

func (d *followDuty) handle(e followEvent) error {
	d.now = d.clock()
	switch e := e.(type) {
	case followTick:
		d.tick()
	case received:
		return d.received(e)
	case ended:
		d.ended(e)
	case seedsChanged:
		d.seeds = e.seeds
	case measured:
		if d.current != nil {
			d.current.out.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeDemand{EdgeDemand: wire.DemandToProto(e.demand)}})
		}
	}
	return nil
}

// tick opens a further connection where the present ones do not serve.
func (d *followDuty) tick() {
	switch {
	case len(d.connections) >= maxConnections:
	case d.current == nil || d.current.version == 0 || d.isStalled():
		// Several at once, since a host that is down or has lost its disk takes long to show it.
		d.connect(false)
		d.connect(false)
	case len(d.connections) > 1:
	case d.now-d.current.contact > contactLimit && d.now-d.current.since > contactLimit:
		if d.now-d.lastTry() > contactLimit {
			d.connect(false)
		}
	case !d.isNear(d.current.address) && d.now-d.nearAt > nearInterval:
		d.nearAt = d.now
		d.connect(true)
	}
}

// isStalled reports whether the control host that is followed has sent a part of its state
// and then nothing more.
func (d *followDuty) isStalled() bool {
	return !d.current.whole && d.now-d.current.heard > quietLimit
}

// pause is the time between connections to the same control host.
func (d *followDuty) pause() time.Duration {
	if d.current == nil && d.now-d.lostAt < eagerFor {
		return eagerPause
	}
	return retryPause
}

func (d *followDuty) lastTry() time.Duration {
	last := time.Duration(0)
	for _, at := range d.tried {
		last = max(last, at)
	}
	return last
}

// isNear reports whether a control host is in the own failure domain, as far as known.
func (d *followDuty) isNear(address string) bool {
	return d.domains[address] == d.settings.Domain
}

// connect follows the candidate that was tried longest ago, near ones first.
func (d *followDuty) connect(nearOnly bool) {
	best, found := "", false
	for _, address := range d.candidates() {
		if at, ok := d.tried[address]; nearOnly && !d.isNear(address) || ok && d.now-at < d.pause() {
			continue
		}
		if !found || d.before(address, best) {
			best, found = address, true
		}
	}
	if !found {
		return
	}
	d.tried[best] = d.now
	ctx, cancel := context.WithCancel(d.ctx)
	c := &connection{
		address: best, cancel: cancel, since: d.now, contact: -1, heard: -1, out: ring.New[*wirepb.Envelope]("requests", requestCapacity, ring.DropNewest),
	}
	d.connections = append(d.connections, c)
	go d.run(ctx, c)
}

// retryNear is how long ago a near control host must have been tried to be
// preferred to others again.
const retryNear = 3 * time.Second

func (d *followDuty) before(a, b string) bool {
	fresh := func(address string) bool {
		at, ok := d.tried[address]
		return d.isNear(address) && (!ok || d.now-at > retryNear)
	}
	if fresh(a) != fresh(b) {
		return fresh(a)
	}
	return d.tried[a] < d.tried[b]
}

// candidates returns the known control hosts that are not followed.
func (d *followDuty) candidates() []string {
	var list []string
	add := func(address string) {
		connected := slices.ContainsFunc(d.connections, func(c *connection) bool { return c.address == address })
		if !connected && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	for _, m := range d.hosts {
		add(m.Address)
	}
	for _, seed := range d.seeds {
		add(seed)
	}
	return list
}

// run follows a control host until it is silent or the context ends.
func (d *followDuty) run(ctx context.Context, c *connection) {
	err := d.follow(ctx, c)
	_, _ = d.inbox.Put(ended{from: c, err: err}) // fails only while the process stops
}

func (d *followDuty) follow(ctx context.Context, c *connection) error {
	address, err := netip.ParseAddrPort(c.address)
	if err != nil {
		return err
	}
	dialling, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	session, err := wire.Dial(dialling, netip.AddrPortFrom(address.Addr(), d.settings.LinkPort).String(), nil, wire.ShortTimeouts)
	if err != nil {
		return err
	}
	defer func() { _ = session.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	stream, err := session.Open()
	if err != nil {
		return err
	}
	defer c.out.Close()
	go wire.SendAll(c.out, stream)
	d.ask(c, false)
	for {
		envelope, err := stream.ReceiveWithin(silenceLimit)
		if err != nil {
			return err
		}
		if _, err := d.inbox.Put(received{from: c, update: envelope.GetEdgeUpdate()}); err != nil {
			return nil
		}
	}
}

// received hands an update on if it comes from the best control host so far.
func (d *followDuty) received(e received) error {
	if !slices.Contains(d.connections, e.from) {
		return nil
	}
	if e.update.GetContact() {
		e.from.contact = d.now
	}
	e.from.version = e.update.GetVersion()
	if e.update.GetDomain() != "" {
		d.domains[e.from.address] = e.update.GetDomain()
	}
	e.from.heard = d.now
	e.from.whole = e.from.whole || e.update.GetLastPart()
	if d.current != e.from && !d.isBetter(e) {
		d.close(e.from)
		return nil
	}
	if d.current != e.from {
		d.choose(e)
	}
	if hosts := wire.MembersFromProto(e.update.GetControlHosts()); len(hosts) > 0 {
		d.hosts = hosts
		for _, m := range hosts {
			if m.Domain != "" {
				d.domains[m.Address] = m.Domain
			}
		}
	}
	_, err := d.engine.Put(updated{update: e.update})
	return err
}

// choose makes a connection the current one. Others that have not been heard may still turn
// out to be better, unless this one is as good as any.
func (d *followDuty) choose(e received) {
	d.log.Info("follows control host", "address", e.from.address, "contact", e.update.GetContact(), "version", e.update.GetVersion())
	best := e.update.GetContact() && e.update.GetVersion() > 0 && d.isNear(e.from.address)
	for _, other := range slices.Clone(d.connections) {
		if other != e.from && (best || other.heard >= 0) {
			d.close(other)
		}
	}
	d.current = e.from
	d.ask(e.from, true)
}

// ask asks a control host for its state, or only for what it has.
func (d *followDuty) ask(c *connection, chosen bool) {
	request := &wirepb.EdgeFollow{Host: d.settings.Host, Domain: d.settings.Domain, Chosen: chosen}
	c.out.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeFollow{EdgeFollow: request}})
}

// isBetter reports whether a new connection replaces the current one.
func (d *followDuty) isBetter(e received) bool {
	if d.current == nil || d.isStalled() {
		return true
	}
	if has, had := e.update.GetVersion() > 0, d.current.version > 0; has != had {
		return has
	}
	lost := d.now-d.current.contact > contactLimit
	if e.update.GetContact() != !lost {
		return e.update.GetContact()
	}
	return d.isNear(e.from.address) && !d.isNear(d.current.address)
}

func (d *followDuty) close(c *connection) {
	c.cancel()
	d.connections = slices.DeleteFunc(d.connections, func(o *connection) bool { return o == c })
	if d.current == c {
		d.current, d.lostAt = nil, d.now
	}
}

func (d *followDuty) ended(e ended) {
	if !slices.Contains(d.connections, e.from) {
		return
	}
	if d.current == e.from {
		d.log.Warn("control host lost", "address", e.from.address, "error", e.err)
	} else {
		d.log.Info("control host not reached", "address", e.from.address, "error", e.err)
	}
	d.close(e.from)
	d.tick()
	if d.current == nil {
		time.AfterFunc(d.pause(), func() { d.inbox.Offer(followTick{}) })
	}
}
