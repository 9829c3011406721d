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
	// silenceLimit is the time without an update after which a connection is closed. Control hosts
	// send one at least every 300 ms.
	silenceLimit = time.Second
	// quietLimit is the time without an update after which a host with an incomplete state tries
	// another control host. A host with a complete state waits until silenceLimit, since each
	// switch costs a transfer of the full state, on every entry host.
	quietLimit = 500 * time.Millisecond
	// contactLimit is how long the current control host may be out of contact with a majority
	// before another one is tried as well.
	contactLimit = time.Second
	// nearInterval is the time between attempts to return to a control host in the local failure
	// domain.
	nearInterval = 5 * time.Second
	// dialLimit bounds one attempt to connect. TCP resends a lost first packet only after a second,
	// so a new attempt finds a recovering host sooner.
	dialLimit = 200 * time.Millisecond
	// retryPause is the minimum time between connections to the same control host. eagerPause
	// replaces it during eagerFor after the loss of the current one: after a failure of the whole
	// site the control hosts come back within a fraction of a second of the entry hosts.
	retryPause = 200 * time.Millisecond
	eagerPause = 50 * time.Millisecond
	// eagerFor is the time without a control host during which eagerPause applies.
	eagerFor = 2 * time.Second
	// maxConnections bounds the number of simultaneous connections.
	maxConnections = 4
)

// followEvent is a value in the inbox of the follow duty.
type followEvent interface{ isFollowEvent() }

type (
	followTick struct{}
	// received is an update from a control host.
	received struct {
		from   *connection
		update *wirepb.EdgeUpdate
	}
	// ended reports the end of a connection.
	ended struct {
		from *connection
		err  error
	}
	seedsChanged struct{ seeds []string }
	// measured is the demand at this host, to be sent to the current control host.
	measured struct{ demand []affinity.Demand }
)

func (followTick) isFollowEvent()   {}
func (received) isFollowEvent()     {}
func (ended) isFollowEvent()        {}
func (seedsChanged) isFollowEvent() {}
func (measured) isFollowEvent()     {}

// connection is the connection to one control host, with its own goroutine.
type connection struct {
	address string
	cancel  context.CancelFunc
	since   time.Duration // start of the connection
	contact time.Duration // last update that said the control host is in contact with a majority; -1 before
	version uint64        // of the desired state that the control host has, 0 if none
	heard   time.Duration // last update from the control host; -1 before
	whole   bool          // the control host has sent its full state
	out     *ring.Ring[*wirepb.Envelope]
}

// requestCapacity bounds the messages queued for a control host. If the queue is full, demand is
// dropped and measured again a second later.
const requestCapacity = 8

// followDuty decides which control host to follow: preferably one in the local failure
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
	hosts       changelog.Membership // control hosts listed by the current one
	domains     map[string]string    // failure domain by address of the control host
	current     *connection          // to the control host that is followed; nil if none
	connections []*connection
	tried       map[string]time.Duration // last attempt by address of the control host
	nearAt      time.Duration            // last attempt to return to the local failure domain
	lostAt      time.Duration            // loss of the last current control host, initially the start
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

// tick opens more connections if the current control host is missing, incomplete, out of contact
// or in another failure domain.
func (d *followDuty) tick() {
	switch {
	case len(d.connections) >= maxConnections:
	case d.current == nil || d.current.version == 0 || d.isStalled():
		// Two at once, since it takes long to find out that a host is down or has lost its disk.
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

// isStalled reports whether the current control host has sent only a part of its state and then
// nothing for quietLimit.
func (d *followDuty) isStalled() bool {
	return !d.current.whole && d.now-d.current.heard > quietLimit
}

// pause returns the minimum time between connections to the same control host.
func (d *followDuty) pause() time.Duration {
	if d.current == nil && d.now-d.lostAt < eagerFor {
		return eagerPause
	}
	return retryPause
}

// lastTry returns the time of the last attempt to connect to any control host.
func (d *followDuty) lastTry() time.Duration {
	last := time.Duration(0)
	for _, at := range d.tried {
		last = max(last, at)
	}
	return last
}

// isNear reports whether a control host is known to be in the local failure domain.
func (d *followDuty) isNear(address string) bool {
	return d.domains[address] == d.settings.Domain
}

// connect opens a connection to the best candidate according to before, if any may be tried now.
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

// retryNear is the time after an attempt during which a control host in the local failure domain
// is not preferred to others.
const retryNear = 3 * time.Second

// before reports whether a is to be tried before b: control hosts in the local failure domain that
// were not tried during retryNear come first, then the one whose last attempt is the oldest.
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

// candidates returns the addresses of the known control hosts without a connection.
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

// run receives updates from a control host until the connection ends, and reports the end.
func (d *followDuty) run(ctx context.Context, c *connection) {
	err := d.follow(ctx, c)
	_, _ = d.inbox.Put(ended{from: c, err: err}) // fails only while the process stops
}

// follow connects to a control host and passes on its updates until one is missing for
// silenceLimit, the connection fails or the context ends.
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
	go wire.Drain(c.out, stream)
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

// received passes an update to the engine if it comes from the current control host or from a
// better one, which becomes the current one. Other connections are closed.
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

// choose makes a connection the current one and closes those that have already sent an update.
// The others may still prove better and stay open, unless this one cannot be improved on: in
// contact, with a desired state and in the local failure domain.
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

// ask subscribes to a control host: to the full state and all changes if chosen, else to the
// first part and heartbeats.
func (d *followDuty) ask(c *connection, chosen bool) {
	request := &wirepb.EdgeFollow{Host: d.settings.Host, Domain: d.settings.Domain, Chosen: chosen}
	c.out.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeFollow{EdgeFollow: request}})
}

// isBetter reports whether the connection that sent the update should replace the current one.
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
