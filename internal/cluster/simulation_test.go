package cluster

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"cassiawood/internal/changelog"
	"cassiawood/internal/registry"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
	"cassiawood/internal/voters"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// The simulation runs the decisions of control hosts (log, state duty, membership, registry) in virtual time over a network
// with connections and under faults, never more at a time than the site tolerates.

const (
	simStep       = tickInterval
	simLatency    = 2 * simStep
	simMaxFlowAge = time.Minute
)

// simDisk is what a host has stored.
type simDisk struct {
	id        uint64
	initial   changelog.Membership
	hardState changelog.HardState
	snapshot  changelog.Snapshot
	entries   []changelog.Entry
	endpoints []byte // the saved registry
}

func (d *simDisk) save(r changelog.Ready) {
	if r.HardState != nil {
		d.hardState = *r.HardState
	}
	if r.Snapshot != nil {
		d.snapshot = *r.Snapshot
		if r.InstallSnapshot {
			d.entries = nil
		}
	}
	for _, e := range r.Entries {
		d.entries = append(slices.DeleteFunc(d.entries, func(old changelog.Entry) bool { return old.Index >= e.Index }), e)
	}
}

// simHost is a control host. state is nil while its process does not run.
type simHost struct {
	s       *simulation
	address string
	domain  string
	disk    *simDisk
	state   *stateDuty
	log     *replica.LogDuty
	storage *ring.Ring[changelog.Ready]
	stateIn *ring.Ring[event]
	peers   map[uint64]string // addresses by ID, as the links duty keeps them
	steps   int
	waiting []event // calls that arrived while the process was frozen

	frozen, cut, removed bool
	hung                 bool          // its disk stores nothing
	stoppingSince        time.Duration // of a planned stop; 0 if none
	startedAt            time.Duration
}

// simLink is the connection from one host to another.
type simLink struct {
	connected bool
	deadUntil time.Duration // what is sent until then is lost without a notice
}

// simMessage is a message on its way: a log message or an update.
type simMessage struct {
	from, to *simHost
	at       time.Duration
	log      *changelog.Message
	envelope *wirepb.Envelope
}

type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	hosts     []*simHost
	links     map[[2]*simHost]*simLink
	inTransit []simMessage
	endpoints []*simEndpoint
	version   uint64 // of the latest desired state that was sent
	acked     uint64 // highest version that was acknowledged
	pending   map[uint64]*ring.Ring[answer]
	orders    []*simOrders
	orderRNG  *rand.Rand // decides about the orders, so that they do not change the schedule of a seed
	trace     []string
}

func (s *simulation) note(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%7.3f ", (s.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
}

func simAddress(number int) string { return fmt.Sprintf("10.0.0.%d:8784", number+1) }

func newSimulation(seed uint64, hosts int) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), orderRNG: rand.New(rand.NewPCG(seed, 2)), now: time.Hour, links: map[[2]*simHost]*simLink{}, pending: map[uint64]*ring.Ring[answer]{}}
	for i := range hosts {
		s.addHost(i < 3)
	}
	for _, h := range s.hosts {
		h.start()
	}
	for _, domain := range []string{"a", "b", "c"} {
		s.orders = append(s.orders, &simOrders{s: s, order: routing.EvacuationOrder{Domain: domain}})
	}
	return s
}

// addHost adds a host that does not run yet. The first three are the voters of the first start.
func (s *simulation) addHost(isFirst bool) *simHost {
	number := len(s.hosts)
	h := &simHost{s: s, address: simAddress(number), domain: string(rune('a' + number%3)), disk: &simDisk{}}
	h.disk.id = s.rng.Uint64() | 1
	if isFirst {
		for i := range 3 {
			h.disk.initial = h.disk.initial.With(changelog.Member{ID: uint64(i) + 1, Address: simAddress(i), Voter: true})
		}
		h.disk.id = uint64(number) + 1
	}
	s.hosts = append(s.hosts, h)
	return h
}

func (h *simHost) start() {
	node, err := changelog.New(changelog.Config{
		ID: h.disk.id, Dynamic: true, Address: h.address, InitialMembers: h.disk.initial, Seed: h.s.rng.Uint64(), KeepEntries: keptLogEntries,
		ElectionTimeoutMin: electionTimeoutMin, ElectionTimeoutMax: electionTimeoutMax, HeartbeatInterval: logHeartbeatInterval,
		FirstElectionTimeoutMax: firstElectionTimeoutMax,
	}, h.disk.hardState, h.disk.snapshot, slices.Clone(h.disk.entries))
	if err != nil {
		panic(err)
	}
	routes := routing.NewState()
	if h.disk.snapshot.Index > 0 {
		if routes, err = wire.DecodeRoutingState(h.disk.snapshot.State); err != nil {
			panic(err)
		}
	}
	silentAfter := silentAfterReports*simReportTime + silentSlack
	r := registry.New(registry.Limits{SilentAfter: silentAfter, ForgetAfter: simMaxFlowAge})
	if h.disk.endpoints != nil {
		if err := loadRegistry(r, h.disk.endpoints, h.s.now, silentAfter); err != nil {
			panic(err)
		}
	}
	h.stateIn, h.storage = ring.New[event]("state", 4096, ring.Block), ring.New[changelog.Ready]("storage", 1, ring.Block)
	links, logIn := ring.New[linkEvent]("links", 4096, ring.Block), ring.New[replica.Event]("log", 4096, ring.Block)
	h.state = &stateDuty{
		log: slog.New(slog.DiscardHandler), self: changelog.Member{ID: h.disk.id, Address: h.address, Domain: h.domain},
		policy: voters.Policy{TargetVoters: 3, ReplaceAfter: replaceVoterAfter, RemoveAfter: removeStandbyAfter, MaxContactAge: maxContactAge, MaxLag: maxStandbyLagEntries},
		clock:  func() time.Duration { return h.s.now }, logInbox: logIn, linksInbox: links, registrySnapshots: ring.New[[]byte]("files", 1, ring.DropOldest),
		metrics: newCounters(metrics.NewRegistry()), routes: routes, appliedIndex: node.Status().Applied, snapshotIndex: node.Status().Applied, registry: r,
		seeds:       []string{simAddress(0), simAddress(1), simAddress(2)},
		subscribers: map[*ring.Ring[[]byte]]*subscriber{}, unpublishedEndpoints: map[uint64]bool{}, pendingGets: map[uint64]pendingGet{},
		joinRequests: map[uint64]pendingJoin{}, peerDemand: map[string]demandReport{}, memberDomains: map[uint64]string{h.disk.id: h.domain}, earlierDomains: map[string]bool{},
		leavingSaidAt: map[uint64]time.Duration{}, steering: newSteering(), rotation: newRotationRounds(h.s.now), status: changelog.Status{LastContact: -1},
		evacuation: evacuationState{supporters: map[string]bool{}},
	}
	h.log = replica.NewLogDuty(h.state.log, node, h.storage, logOutput{stateInbox: h.stateIn, linksInbox: links})
	h.waiting = nil
	h.peers, h.steps, h.startedAt, h.stoppingSince = map[uint64]string{}, 0, h.s.now, 0
}

// end ends the process. Connections to the host stay open at their other ends for a time if it had no chance to close them.
func (h *simHost) end(closesConnections bool) {
	h.state, h.log = nil, nil
	for ends, l := range h.s.links {
		switch {
		case ends[0] == h || closesConnections && ends[1] == h:
			*l = simLink{}
		case ends[1] == h && l.connected:
			l.deadUntil = h.s.now + time.Duration(h.s.rng.IntN(1500))*time.Millisecond
		}
	}
}

// inTouch reports whether messages between two hosts arrive.
func inTouch(a, b *simHost) bool { return !a.cut && !b.cut }

func (h *simHost) send(address string, log *changelog.Message, envelope *wirepb.Envelope) {
	s := h.s
	i := slices.IndexFunc(s.hosts, func(o *simHost) bool { return o.address == address })
	if i < 0 || s.hosts[i] == h {
		return
	}
	to := s.hosts[i]
	l := s.links[[2]*simHost{h, to}]
	if l == nil {
		l = &simLink{}
		s.links[[2]*simHost{h, to}] = l
	}
	if l.deadUntil > 0 {
		if s.now >= l.deadUntil {
			*l = simLink{} // noticed with this message, which is lost
		}
		return
	}
	if to.state == nil || !inTouch(h, to) {
		l.connected = false
		return
	}
	s.inTransit = append(s.inTransit, simMessage{from: h, to: to, at: s.now + simLatency, log: log, envelope: envelope})
	if !l.connected {
		l.connected = true
		u := &wirepb.EndpointUpdate{RequestAll: true, From: h.address, FromId: h.disk.id, FromDomain: h.domain}
		s.inTransit = append(s.inTransit, simMessage{from: h, to: to, at: s.now + simLatency, envelope: &wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{EndpointUpdate: u}}})
	}
}

func (h *simHost) receive(m simMessage) error {
	if m.log != nil {
		return h.handleLog(replica.Received{Message: *m.log})
	}
	switch body := m.envelope.GetBody().(type) {
	case *wirepb.Envelope_EndpointUpdate:
		if u := body.EndpointUpdate; u.GetFromId() != 0 {
			h.peers[u.GetFromId()] = u.GetFrom()
		}
		// A copy, since the network does not share memory.
		return h.handle(peerUpdate{proto.CloneOf(body.EndpointUpdate)})
	case *wirepb.Envelope_JoinRequest:
		j := body.JoinRequest
		return h.handle(joinRequest{member: changelog.Member{ID: j.GetId(), Address: j.GetAddress(), Domain: j.GetDomain()}, forwarded: j.GetForwarded()})
	}
	return fmt.Errorf("unexpected %T", m.envelope.GetBody())
}

func (h *simHost) handle(e event) error {
	if err := h.state.handle(e); err != nil {
		return err
	}
	return h.drainRings()
}

func (h *simHost) handleLog(e replica.Event) error {
	if err := h.log.Handle(e); err != nil {
		return err
	}
	for h.storage.Depth() > 0 && !h.hung {
		r, err := h.storage.Get()
		if err != nil {
			return err
		}
		h.disk.save(r)
		if err := h.log.Handle(replica.Stored{}); err != nil {
			return err
		}
	}
	return h.drainRings()
}

// drainRings hands on what the duties of the host have said to each other and to other hosts.
func (h *simHost) drainRings() error {
	for h.stateIn.Depth() > 0 {
		e, err := h.stateIn.Get()
		if err == nil {
			err = h.state.handle(e)
		}
		if err != nil {
			return err
		}
	}
	for h.state.registrySnapshots.Depth() > 0 {
		h.disk.endpoints, _ = h.state.registrySnapshots.Get()
	}
	for h.state.linksInbox.Depth() > 0 {
		e, err := h.state.linksInbox.Get()
		if err != nil {
			return err
		}
		switch e := e.(type) {
		case membersChanged:
			for _, m := range e.members {
				h.peers[m.ID] = m.Address
			}
		case sendLogMessage:
			h.send(h.peers[e.message.To], &e.message, nil)
		case sendTo:
			h.send(e.address, nil, e.envelope)
		case broadcast:
			for _, m := range h.state.status.Members {
				if m.ID != h.disk.id {
					h.send(m.Address, nil, e.envelope)
				}
			}
		}
	}
	if h.state.logInbox.Depth() > 0 {
		e, err := h.state.logInbox.Get()
		if err != nil {
			return err
		}
		return h.handleLog(e)
	}
	return nil
}

// run lets time pass.
func (s *simulation) run(d time.Duration) error {
	for end := s.now + d; s.now < end; s.now += simStep {
		var due []simMessage
		s.inTransit = slices.DeleteFunc(s.inTransit, func(m simMessage) bool {
			if m.at <= s.now && !m.to.frozen {
				due = append(due, m)
				return true
			}
			return false
		})
		for _, m := range due {
			if m.to.state != nil && inTouch(m.from, m.to) {
				if err := m.to.receive(m); err != nil {
					return err
				}
			}
		}
		for _, h := range s.hosts {
			if h.state == nil || h.frozen {
				continue
			}
			for len(h.waiting) > 0 {
				e := h.waiting[0]
				h.waiting = h.waiting[1:]
				if err := h.handle(e); err != nil {
					return err
				}
			}
			if err := h.step(); err != nil {
				return err
			}
		}
		for _, e := range s.endpoints {
			if err := e.step(); err != nil {
				return err
			}
		}
		for _, o := range s.orders {
			if err := o.step(); err != nil {
				return err
			}
		}
		if err := s.collectAnswers(); err != nil {
			return err
		}
	}
	return nil
}

func (h *simHost) step() error {
	if h.steps++; h.steps%clockTicksPerStateTick == 0 {
		if err := h.handle(tick{}); err != nil {
			return err
		}
	}
	if err := h.handleLog(replica.Tick{Now: h.s.now}); err != nil || h.stoppingSince == 0 {
		return err
	}
	reply := ring.New[int]("work in progress", 1, ring.DropNewest)
	if err := h.handle(stopping{final: h.s.now-h.stoppingSince >= drainLimit, reply: reply}); err != nil {
		return err
	}
	if waitsFor, err := reply.Get(); err != nil || waitsFor > 0 && h.s.now-h.stoppingSince < handOverLimit {
		return err
	}
	h.s.note("%s ends", h.address)
	h.end(true)
	return nil
}

// put sends the next desired state to a random host that runs.
func (s *simulation) put() error {
	var running []*simHost
	for _, h := range s.hosts {
		if h.state != nil && !h.frozen && !h.cut {
			running = append(running, h)
		}
	}
	if len(running) == 0 {
		return nil
	}
	s.version++
	for _, h := range running {
		reply := newReply()
		if err := h.handle(putDesired{desired(s.version), reply}); err != nil {
			return err
		}
		s.pending[s.version] = reply
		if reply.Depth() == 0 { // the leader has taken it
			return nil
		}
	}
	return nil
}

func (s *simulation) collectAnswers() error {
	for version, reply := range s.pending {
		if reply.Depth() == 0 {
			continue
		}
		a, err := reply.Get()
		if err != nil {
			return err
		}
		if delete(s.pending, version); a.err == nil && version > s.acked {
			s.acked = version
			s.note("version %d is acknowledged", version)
		}
	}
	return nil
}
