package edge

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"cassiawood/internal/affinity"
	"cassiawood/internal/changelog"
	"cassiawood/internal/delay"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// receiveTimeout is the time without an update after which a connection is closed. Control hosts
	// send one at least every 300 ms.
	receiveTimeout = time.Second
	// incompleteStateTimeout is the time without an update after which a host with an incomplete
	// state tries another control host. A host with a complete state waits for receiveTimeout,
	// since each switch costs a transfer of the full state, on every entry host.
	incompleteStateTimeout = 500 * time.Millisecond
	// maxContactAge is how long the current control host may be out of contact with a majority
	// before another one is tried as well.
	maxContactAge = time.Second
	// behindRetryInterval is the time between attempts to find a control host that is not behind.
	behindRetryInterval = 500 * time.Millisecond
	// localRetryInterval is the time between attempts to return to a control host in the local
	// failure domain.
	localRetryInterval = 5 * time.Second
	// dialTimeout bounds one attempt to connect. TCP resends a lost first packet only after a second,
	// so a new attempt finds a recovering host sooner.
	dialTimeout = 200 * time.Millisecond
	// retryInterval is the minimum time between connections to the same control host.
	// initialRetryInterval replaces it during initialRetryPeriod after the start and after the loss
	// of the current control host: after a failure of the whole site the control hosts come back
	// within a fraction of a second of the entry hosts.
	retryInterval        = 200 * time.Millisecond
	initialRetryInterval = 50 * time.Millisecond
	// initialRetryPeriod is the time without a control host during which initialRetryInterval
	// applies.
	initialRetryPeriod = 2 * time.Second
	// maxConnections bounds the number of simultaneous connections.
	maxConnections = 4
)

// followEvent is a value in the inbox of the follow duty.
type followEvent interface{ isFollowEvent() }

type (
	followTick struct{}
	// updateReceived is an update from a control host.
	updateReceived struct {
		from   *connection
		update *wirepb.EdgeUpdate
	}
	// connectionEnded reports the end of a connection.
	connectionEnded struct {
		from *connection
		err  error
	}
	seedsChanged struct{ seeds []string }
	// demandMeasured is the demand at this host and the delays that it has measured, to be sent to the current control host.
	demandMeasured struct {
		demand []affinity.Demand
		delays []delay.Report
	}
	// pauseEnded says that the process was paused. Updates that its connections still hold are older
	// than the pause.
	pauseEnded struct{}
)

func (followTick) isFollowEvent()      {}
func (updateReceived) isFollowEvent()  {}
func (connectionEnded) isFollowEvent() {}
func (seedsChanged) isFollowEvent()    {}
func (demandMeasured) isFollowEvent()  {}
func (pauseEnded) isFollowEvent()      {}

// connection is the connection to one control host, with its own goroutine.
type connection struct {
	address       string
	cancel        context.CancelFunc
	startedAt     time.Duration // start of the connection
	lastContact   time.Duration // last update that said the control host is in contact with a majority; -1 before
	version       uint64        // of the desired state that the control host has, 0 if none
	lastUpdate    time.Duration // last update from the control host; -1 before
	stateComplete bool          // the control host has sent its full state
	isBehind      bool          // the control host does not apply in time what a majority has committed
	outbox        *ring.Ring[*wirepb.Envelope]
}

// requestOutboxCapacity bounds the messages queued for a control host. If the queue is full, demand
// is dropped and measured again a second later.
const requestOutboxCapacity = 8

// followDuty decides which control host to follow: preferably one in the local failure
// domain that is in contact with a majority, else any in contact, else any.
type followDuty struct {
	log         *slog.Logger
	settings    Settings
	inbox       *ring.Ring[followEvent]
	engineInbox *ring.Ring[event]
	clock       func() time.Duration
	ctx         context.Context

	now            time.Duration
	seeds          []string
	controlHosts   changelog.Membership // control hosts listed by the current one
	domains        map[string]string    // failure domain by address of the control host
	current        *connection          // to the control host that is followed; nil if none
	connections    []*connection
	lastAttemptAt  map[string]time.Duration // last attempt by address of the control host
	localAttemptAt time.Duration            // last attempt to return to the local failure domain
	currentLostAt  time.Duration            // loss of the last current control host, initially the start
	process        uint64                   // random number of this process
	isStopping     bool                     // the host leaves the rotation and ends
}

func (d *followDuty) handle(e followEvent) error {
	d.now = d.clock()
	switch e := e.(type) {
	case followTick:
		d.tick()
	case updateReceived:
		return d.handleUpdate(e)
	case connectionEnded:
		d.handleEnd(e)
	case seedsChanged:
		d.seeds = e.seeds
	case demandMeasured:
		d.sendDemand(wire.DemandToProto(e.demand, e.delays))
	case rotationMessage:
		d.isStopping = d.isStopping || e.stopping
		d.sendDemand(&wirepb.EdgeDemand{WithoutDemand: true, RotationQuestion: e.question, RotationStatement: e.statement})
	case pauseEnded:
		return d.followAnew()
	}
	return nil
}

// sendDemand sends a message to the current control host.
func (d *followDuty) sendDemand(m *wirepb.EdgeDemand) {
	if d.current == nil {
		return
	}
	m.Stopping = d.isStopping // repeated, since the control host may be another one
	d.current.outbox.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeDemand{EdgeDemand: m}})
}

// followAnew closes all connections and opens others, whose updates are newer than a pause of the process.
func (d *followDuty) followAnew() error {
	for _, c := range slices.Clone(d.connections) {
		d.close(c)
	}
	clear(d.lastAttemptAt)
	d.currentLostAt = d.now
	if _, err := d.engineInbox.Put(followedAnew{}); err != nil {
		return nil // the process stops
	}
	d.tick()
	return nil
}

// tick opens more connections if the current control host is missing, incomplete, behind, out of contact
// or in another failure domain.
func (d *followDuty) tick() {
	switch {
	case len(d.connections) >= maxConnections:
	case d.current == nil || d.current.version == 0 || d.isStalled():
		// Two at once, since it takes long to find out that a host is down or has lost its disk.
		d.connect(false)
		d.connect(false)
	case len(d.connections) > 1:
	case d.current.isBehind:
		if d.now-d.latestAttemptAt() > behindRetryInterval {
			d.connect(false)
			d.connect(false)
		}
	case d.now-d.current.lastContact > maxContactAge && d.now-d.current.startedAt > maxContactAge:
		if d.now-d.latestAttemptAt() > maxContactAge {
			d.connect(false)
		}
	case !d.isLocal(d.current.address) && d.now-d.localAttemptAt > localRetryInterval:
		d.localAttemptAt = d.now
		d.connect(true)
	}
}

// isStalled reports whether the current control host has sent only a part of its state and then
// nothing for incompleteStateTimeout.
func (d *followDuty) isStalled() bool {
	return !d.current.stateComplete && d.now-d.current.lastUpdate > incompleteStateTimeout
}

// retryDelay returns the minimum time between connections to the same control host.
func (d *followDuty) retryDelay() time.Duration {
	if d.current == nil && d.now-d.currentLostAt < initialRetryPeriod {
		return initialRetryInterval
	}
	return retryInterval
}

// latestAttemptAt returns the time of the last attempt to connect to any control host.
func (d *followDuty) latestAttemptAt() time.Duration {
	last := time.Duration(0)
	for _, at := range d.lastAttemptAt {
		last = max(last, at)
	}
	return last
}

// isLocal reports whether a control host is known to be in the local failure domain.
func (d *followDuty) isLocal(address string) bool {
	return d.domains[address] == d.settings.Domain
}

// connect opens a connection to the preferred candidate, if any may be tried now.
func (d *followDuty) connect(localOnly bool) {
	best, found := "", false
	for _, address := range d.candidates() {
		if at, ok := d.lastAttemptAt[address]; localOnly && !d.isLocal(address) || ok && d.now-at < d.retryDelay() {
			continue
		}
		if !found || d.isPreferred(address, best) {
			best, found = address, true
		}
	}
	if !found {
		return
	}
	d.lastAttemptAt[best] = d.now
	ctx, cancel := context.WithCancel(d.ctx)
	c := &connection{
		address: best, cancel: cancel, startedAt: d.now, lastContact: -1, lastUpdate: -1, outbox: ring.New[*wirepb.Envelope]("requests", requestOutboxCapacity, ring.DropNewest),
	}
	d.connections = append(d.connections, c)
	go d.run(ctx, c)
}

// localPreferenceInterval is the time after an attempt during which a control host in the local
// failure domain is not preferred to others.
const localPreferenceInterval = 3 * time.Second

// isPreferred reports whether a is to be tried before b: control hosts in the local failure domain
// that were not tried during localPreferenceInterval come first, then the one whose last attempt is
// the oldest.
func (d *followDuty) isPreferred(a, b string) bool {
	preferLocal := func(address string) bool {
		at, ok := d.lastAttemptAt[address]
		return d.isLocal(address) && (!ok || d.now-at > localPreferenceInterval)
	}
	if preferLocal(a) != preferLocal(b) {
		return preferLocal(a)
	}
	return d.lastAttemptAt[a] < d.lastAttemptAt[b]
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
	for _, m := range d.controlHosts {
		add(m.Address)
	}
	for _, seed := range d.seeds {
		add(seed)
	}
	return list
}

// run receives updates from a control host until the connection ends, and reports the end.
func (d *followDuty) run(ctx context.Context, c *connection) {
	err := d.receiveUpdates(ctx, c)
	_, _ = d.inbox.Put(connectionEnded{from: c, err: err}) // fails only while the process stops
}

// receiveUpdates connects to a control host and passes on its updates until one is missing for
// receiveTimeout, the connection fails or the context ends.
func (d *followDuty) receiveUpdates(ctx context.Context, c *connection) error {
	address, err := netip.ParseAddrPort(c.address)
	if err != nil {
		return err
	}
	dialling, cancel := context.WithTimeout(ctx, dialTimeout)
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
	defer c.outbox.Close()
	go wire.SendAll(c.outbox, stream)
	d.sendFollowRequest(c, false)
	for {
		envelope, err := stream.ReceiveWithin(receiveTimeout)
		if err != nil {
			return err
		}
		if _, err := d.inbox.Put(updateReceived{from: c, update: envelope.GetEdgeUpdate()}); err != nil {
			return nil
		}
	}
}

// handleUpdate passes an update to the engine if it comes from the current control host or from a
// better one, which becomes the current one. Other connections are closed.
func (d *followDuty) handleUpdate(e updateReceived) error {
	if !slices.Contains(d.connections, e.from) {
		return nil
	}
	if e.update.GetContact() {
		e.from.lastContact = d.now
	}
	e.from.version, e.from.isBehind = e.update.GetVersion(), e.update.GetBehind()
	if e.update.GetDomain() != "" {
		d.domains[e.from.address] = e.update.GetDomain()
	}
	e.from.lastUpdate = d.now
	e.from.stateComplete = e.from.stateComplete || e.update.GetLastPart()
	if d.current != e.from && !d.isBetter(e) {
		d.close(e.from)
		return nil
	}
	if d.current != e.from {
		d.makeCurrent(e)
	}
	if hosts := wire.MembersFromProto(e.update.GetControlHosts()); len(hosts) > 0 {
		d.controlHosts = hosts
		for _, m := range hosts {
			if m.Domain != "" {
				d.domains[m.Address] = m.Domain
			}
		}
	}
	if d.current.isBehind {
		d.tick() // looks for another one at once
	}
	_, err := d.engineInbox.Put(stateUpdated{update: e.update})
	return err
}

// makeCurrent makes a connection the current one and closes those that have already sent an update.
// The others may still prove better and stay open, unless this one cannot be improved on: in
// contact, with a desired state and in the local failure domain.
func (d *followDuty) makeCurrent(e updateReceived) {
	d.log.Info("follows control host", "address", e.from.address, "contact", e.update.GetContact(), "version", e.update.GetVersion())
	isOptimal := e.update.GetContact() && e.update.GetVersion() > 0 && d.isLocal(e.from.address)
	for _, other := range slices.Clone(d.connections) {
		if other != e.from && (isOptimal || other.lastUpdate >= 0) {
			d.close(other)
		}
	}
	d.current = e.from
	d.sendFollowRequest(e.from, true)
}

// sendFollowRequest subscribes to a control host: to the full state and all changes if wantsState
// is set, else to the first part and heartbeats.
func (d *followDuty) sendFollowRequest(c *connection, wantsState bool) {
	request := &wirepb.EdgeFollow{Host: d.settings.Host, Domain: d.settings.Domain, Chosen: wantsState, AcceptsCompressed: true, Process: d.process}
	c.outbox.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_EdgeFollow{EdgeFollow: request}})
}

// isBetter reports whether the connection that sent the update should replace the current one.
func (d *followDuty) isBetter(e updateReceived) bool {
	if d.current == nil || d.isStalled() {
		return true
	}
	if has, had := e.update.GetVersion() > 0, d.current.version > 0; has != had {
		return has
	}
	lost := d.current.isBehind || d.now-d.current.lastContact > maxContactAge
	if e.update.GetContact() != !lost {
		return e.update.GetContact()
	}
	return d.isLocal(e.from.address) && !d.isLocal(d.current.address)
}

func (d *followDuty) close(c *connection) {
	c.cancel()
	d.connections = slices.DeleteFunc(d.connections, func(o *connection) bool { return o == c })
	if d.current == c {
		d.current, d.currentLostAt = nil, d.now
	}
}

func (d *followDuty) handleEnd(e connectionEnded) {
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
		time.AfterFunc(d.retryDelay(), func() { d.inbox.Offer(followTick{}) })
	}
}
