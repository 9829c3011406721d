package control

import (
	"cmp"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cassiawood/internal/audit"
	"cassiawood/internal/changelog"
	"cassiawood/internal/directory"
	"cassiawood/internal/member"
	"cassiawood/internal/operator"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire/wirepb"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

var domains = []string{"a", "b", "c"}

// discardStore is a log storage that discards all writes and never fails.
type discardStore struct{}

func (discardStore) Save(changelog.Ready) error { return nil }
func (discardStore) Close() error               { return nil }

// controlHost is a control host whose duties the test runs step by step.
type controlHost struct {
	id           uint64
	log          *replica.LogDuty
	storage      *replica.StorageDuty
	apply        *applyDuty
	logInbox     *ring.Ring[replica.Event]
	storageInbox *ring.Ring[changelog.Ready]
	applyInbox   *ring.Ring[applyEvent]
	auditInbox   *ring.Ring[audit.Record]
	outboxes     map[uint64]*ring.Ring[changelog.Message]
	isolated     bool // it neither sends nor receives messages
}

// site simulates three control hosts and one entry host in each failure domain in
// virtual time.
type site struct {
	now        time.Duration
	hosts      []*controlHost
	silent     map[string]bool // failure domains whose entry host does not answer
	entryHosts map[string]*entryHost

	delay       time.Duration               // one-way delay between hosts
	loss        float64                     // share of messages that TCP has to retransmit
	lossRandom  map[[2]string]*rand.Rand    // decides on losses; one source per link, so that map order does not matter
	inFlight    []inFlightMessage           // messages in transit, unordered
	lastArrival map[[2]string]time.Duration // arrival of the last message on each link
}

// retransmissionTimeout is the minimum retransmission timeout of common TCP stacks.
const retransmissionTimeout = 200 * time.Millisecond

// inFlightMessage is a message in transit.
type inFlightMessage struct {
	arrivesAt time.Duration
	link      [2]string
	deliver   func()
}

// send sends a message that arrives after the delay of its link, in order. A lost
// message arrives after TCP has retransmitted it and delays those behind it.
func (s *site) send(from, to string, deliver func()) {
	if s.delay == 0 {
		deliver()
		return
	}
	link := [2]string{from, to}
	if s.lossRandom[link] == nil {
		s.lossRandom[link] = rand.New(rand.NewPCG(1, xxhash.Sum64String(from+">"+to)))
	}
	at := s.now + s.delay
	if s.lossRandom[link].Float64() < s.loss {
		at += retransmissionTimeout
	}
	at = max(at, s.lastArrival[link])
	s.lastArrival[link] = at
	s.inFlight = append(s.inFlight, inFlightMessage{at, link, deliver})
}

// deliverDue delivers the messages whose arrival time has come.
func (s *site) deliverDue() {
	messages := s.inFlight
	s.inFlight = nil
	slices.SortStableFunc(messages, func(a, b inFlightMessage) int {
		return cmp.Or(cmp.Compare(a.arrivesAt, b.arrivesAt), slices.Compare(a.link[:], b.link[:]))
	})
	for _, m := range messages {
		if m.arrivesAt <= s.now {
			m.deliver()
		} else {
			s.inFlight = append(s.inFlight, m)
		}
	}
}

// entryHost follows the leader and acknowledges the entries that it receives.
type entryHost struct {
	out          *ring.Ring[*wirepb.Envelope]
	leader       *controlHost
	appliedIndex uint64
}

func newSite() *site {
	s := &site{
		now: time.Hour, silent: map[string]bool{}, entryHosts: map[string]*entryHost{}, lossRandom: map[[2]string]*rand.Rand{},
		lastArrival: map[[2]string]time.Duration{},
	}
	for id := uint64(1); id <= 3; id++ {
		s.hosts = append(s.hosts, s.newControlHost(id))
	}
	for _, d := range domains {
		s.entryHosts[d] = &entryHost{}
	}
	s.advance(2 * time.Second)
	return s
}

func (s *site) newControlHost(id uint64) *controlHost {
	node, err := changelog.New(changelog.Config{
		ID: id, Members: []uint64{1, 2, 3}, Seed: id, ElectionTimeoutMin: electionTimeoutMin, ElectionTimeoutMax: electionTimeoutMax, HeartbeatInterval: heartbeatInterval,
	},
		changelog.HardState{}, changelog.Snapshot{}, nil)
	Expect(err).NotTo(HaveOccurred())
	log := slog.New(slog.DiscardHandler)
	h := &controlHost{
		id: id, logInbox: ring.New[replica.Event]("log", 4096, ring.Block), storageInbox: ring.New[changelog.Ready]("storage", 1, ring.Block),
		applyInbox: ring.New[applyEvent]("apply", 4096, ring.Block), auditInbox: ring.New[audit.Record]("audit", 4096, ring.Block),
	}
	outboxes := map[uint64]*ring.Ring[changelog.Message]{}
	for other := uint64(1); other <= 3; other++ {
		if other != id {
			outboxes[other] = ring.New[changelog.Message]("link", 1024, ring.DropOldest)
		}
	}
	state := directory.New()
	h.outboxes = outboxes
	h.log = replica.NewLogDuty(log, node, h.storageInbox, logOutput{applyInbox: h.applyInbox, memberOutboxes: outboxes})
	h.storage = replica.NewStorageDuty(log, discardStore{}, nil, h.logInbox)
	h.apply = &applyDuty{
		log: log, logInbox: h.logInbox, auditInbox: h.auditInbox, clock: func() time.Duration { return s.now },
		operatorURLs: map[uint64]string{1: "https://1", 2: "https://2", 3: "https://3"}, settingsDomains: domains,
		state: state, leases: member.New(state), pendingReplies: map[uint64]replyTarget{},
		followers: map[*ring.Ring[*wirepb.Envelope]]*follower{}, acknowledgements: map[string]acknowledgement{},
		waitingSaves: map[string][]waitingSave{},
	}
	return h
}

// advance moves the virtual time forward by d, in steps of the clock duty's interval.
func (s *site) advance(d time.Duration) {
	GinkgoHelper()
	for end := s.now + d; s.now < end; {
		s.now += tickInterval
		s.deliverDue()
		for _, h := range s.hosts {
			h.logInbox.Offer(replica.Tick{Now: s.now})
			if s.now%(ticksPerApplyTick*tickInterval) == 0 {
				h.applyInbox.Offer(tickEvent{now: s.now})
			}
		}
		if s.now%(500*time.Millisecond) == 0 {
			s.reportEntryHosts()
		}
		s.runUntilIdle()
	}
}

// runUntilIdle runs the duties until all inboxes are empty.
func (s *site) runUntilIdle() {
	GinkgoHelper()
	for busy := true; busy; {
		busy = false
		for _, h := range s.hosts {
			busy = s.stepHost(h) || busy
		}
		for domain, e := range s.entryHosts {
			busy = s.receiveEnvelopes(domain, e) || busy
		}
	}
}

func (s *site) stepHost(h *controlHost) bool {
	GinkgoHelper()
	busy := false
	for h.logInbox.Depth()+h.storageInbox.Depth()+h.applyInbox.Depth() > 0 {
		busy = true
		stepRing(h.logInbox, h.log.Handle)
		stepRing(h.storageInbox, h.storage.Handle)
		stepRing(h.applyInbox, h.apply.handle)
	}
	for to, outbox := range h.outboxes {
		for outbox.Depth() > 0 {
			m, _ := outbox.Get()
			if target := s.hosts[to-1]; !h.isolated && !target.isolated {
				s.send(fmt.Sprint(h.id), fmt.Sprint(to), func() { target.logInbox.Offer(replica.Received{Message: m}) })
				busy = true
			}
		}
	}
	return busy
}

func stepRing[T any](r *ring.Ring[T], handle func(T) error) {
	GinkgoHelper()
	for range r.Depth() {
		v, err := r.Get()
		Expect(err).NotTo(HaveOccurred())
		Expect(handle(v)).To(Succeed())
	}
}

func (s *site) leader() *controlHost {
	for _, h := range s.hosts {
		if !h.isolated && h.apply.leases.Leading() {
			return h
		}
	}
	return nil
}

// reportEntryHosts connects each entry host to the leader and sends its acknowledgement.
func (s *site) reportEntryHosts() {
	leader := s.leader()
	if leader == nil {
		return
	}
	for domain, e := range s.entryHosts {
		if s.silent[domain] {
			continue
		}
		if e.leader != leader {
			e.leader, e.out = leader, ring.New[*wirepb.Envelope]("out", 4096, ring.DropNewest)
			leader.applyInbox.Offer(followEvent{fromIndex: e.appliedIndex + 1, host: "entry-" + domain, domain: domain, incarnation: 1, out: e.out})
			host := &wirepb.Host{Name: "entry-" + domain, Domain: domain, Incarnation: 1, PacketAddr: "10.0.0.1:6081", PeerAddr: "10.0.0.1:7000"}
			leader.applyInbox.Offer(proposeEvent{request: &wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_Host{Host: host}}, out: e.out})
		}
		s.acknowledge(domain, e)
	}
}

func (s *site) acknowledge(domain string, e *entryHost) {
	leader := e.leader
	acknowledged := acknowledgedEvent{
		host: "entry-" + domain, incarnation: 1, index: e.appliedIndex, sentNs: int64(s.now), out: e.out,
	}
	s.send(domain, fmt.Sprint(leader.id), func() { leader.applyInbox.Offer(acknowledged) })
}

func (s *site) receiveEnvelopes(domain string, e *entryHost) bool {
	if e.out == nil || s.silent[domain] || e.leader.isolated {
		return false
	}
	busy := e.out.Depth() > 0
	for e.out.Depth() > 0 {
		envelope, _ := e.out.Get()
		s.send(fmt.Sprint(e.leader.id), domain, func() { s.applyEnvelope(domain, e, envelope) })
	}
	return busy
}

// applyEnvelope applies an envelope on an entry host and acknowledges new entries.
func (s *site) applyEnvelope(domain string, e *entryHost, envelope *wirepb.Envelope) {
	before := e.appliedIndex
	for _, entry := range envelope.GetEntryBatch().GetEntries() {
		e.appliedIndex = max(e.appliedIndex, entry.GetIndex())
	}
	e.appliedIndex = max(e.appliedIndex, envelope.GetSnapshot().GetIndex())
	if e.appliedIndex > before {
		s.acknowledge(domain, e)
	}
}

// startSave starts a save and returns the ring that receives its result.
func (s *site) startSave(h *controlHost, change operator.Change) *ring.Ring[saveReply] {
	reply := ring.New[saveReply]("save", 1, ring.DropNewest)
	h.applyInbox.Offer(queryEvent{run: func(d *applyDuty) {
		if err := d.startSave(change, reply); err != nil {
			reply.Offer(saveReply{err: err})
		}
	}})
	s.runUntilIdle()
	return reply
}

// saveOnce sends a change to the current leader and waits for the answer.
func (s *site) saveOnce(change operator.Change) error {
	GinkgoHelper()
	leader := s.leader()
	if leader == nil {
		s.advance(tickInterval)
		return &operator.NoQuorumError{}
	}
	reply := s.startSave(leader, change)
	for reply.Depth() == 0 {
		s.advance(tickInterval)
	}
	got, _ := reply.Get()
	if got.err != nil {
		s.advance(tickInterval)
	}
	return got.err
}
