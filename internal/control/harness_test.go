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

// memoryStore is a log storage that discards all writes and never fails.
type memoryStore struct{}

func (memoryStore) Save(changelog.Ready) error { return nil }
func (memoryStore) Close() error               { return nil }

// controlHost is a control host whose duties the test runs step by step.
type controlHost struct {
	id      uint64
	log     *replica.LogDuty
	storage *replica.StorageDuty
	apply   *applyDuty
	inbox   *ring.Ring[replica.Event]
	stored  *ring.Ring[changelog.Ready]
	applied *ring.Ring[applyEvent]
	audit   *ring.Ring[audit.Record]
	links   map[uint64]*ring.Ring[changelog.Message]
	cut     bool // isolated: it neither sends nor receives messages
}

// site simulates three control hosts and one entry host in each failure domain in
// virtual time.
type site struct {
	now     time.Duration
	hosts   []*controlHost
	silent  map[string]bool // failure domains whose entry host does not answer
	entries map[string]*entryHost

	delay   time.Duration               // one-way delay between hosts
	loss    float64                     // share of messages that TCP has to retransmit
	random  map[[2]string]*rand.Rand    // decides on losses; one source per link, so that map order does not matter
	flights []flight                    // messages in transit, unordered
	last    map[[2]string]time.Duration // arrival of the last message on each link
}

// retransmission is the minimum retransmission timeout of common TCP stacks.
const retransmission = 200 * time.Millisecond

// flight is a message in transit.
type flight struct {
	at      time.Duration
	link    [2]string
	arrives func()
}

// carry sends a message that arrives after the delay of its link, in order. A lost
// message arrives after TCP has retransmitted it and delays those behind it.
func (s *site) carry(from, to string, arrives func()) {
	if s.delay == 0 {
		arrives()
		return
	}
	link := [2]string{from, to}
	if s.random[link] == nil {
		s.random[link] = rand.New(rand.NewPCG(1, xxhash.Sum64String(from+">"+to)))
	}
	at := s.now + s.delay
	if s.random[link].Float64() < s.loss {
		at += retransmission
	}
	at = max(at, s.last[link])
	s.last[link] = at
	s.flights = append(s.flights, flight{at, link, arrives})
}

// land delivers the messages whose arrival time has come.
func (s *site) land() {
	due := s.flights
	s.flights = nil
	slices.SortStableFunc(due, func(a, b flight) int {
		return cmp.Or(cmp.Compare(a.at, b.at), slices.Compare(a.link[:], b.link[:]))
	})
	for _, f := range due {
		if f.at <= s.now {
			f.arrives()
		} else {
			s.flights = append(s.flights, f)
		}
	}
}

// entryHost follows the leader and acknowledges the entries that it receives.
type entryHost struct {
	out     *ring.Ring[*wirepb.Envelope]
	leader  *controlHost
	applied uint64
}

func newSite() *site {
	s := &site{
		now: time.Hour, silent: map[string]bool{}, entries: map[string]*entryHost{}, random: map[[2]string]*rand.Rand{},
		last: map[[2]string]time.Duration{},
	}
	for id := uint64(1); id <= 3; id++ {
		s.hosts = append(s.hosts, s.newHost(id))
	}
	for _, d := range domains {
		s.entries[d] = &entryHost{}
	}
	s.run(2 * time.Second)
	return s
}

func (s *site) newHost(id uint64) *controlHost {
	node, err := changelog.New(changelog.Config{
		ID: id, Members: []uint64{1, 2, 3}, Seed: id, ElectionTimeoutMin: electionMin, ElectionTimeoutMax: electionMax, HeartbeatInterval: heartbeat,
	},
		changelog.HardState{}, changelog.Snapshot{}, nil)
	Expect(err).NotTo(HaveOccurred())
	log := slog.New(slog.DiscardHandler)
	h := &controlHost{
		id: id, inbox: ring.New[replica.Event]("log", 4096, ring.Block), stored: ring.New[changelog.Ready]("storage", 1, ring.Block),
		applied: ring.New[applyEvent]("apply", 4096, ring.Block), audit: ring.New[audit.Record]("audit", 4096, ring.Block),
	}
	links := map[uint64]*ring.Ring[changelog.Message]{}
	for other := uint64(1); other <= 3; other++ {
		if other != id {
			links[other] = ring.New[changelog.Message]("link", 1024, ring.DropOldest)
		}
	}
	state := directory.New()
	h.links = links
	h.log = replica.NewLogDuty(log, node, h.stored, logOutput{apply: h.applied, members: links})
	h.storage = replica.NewStorageDuty(log, memoryStore{}, nil, h.inbox)
	h.apply = &applyDuty{
		log: log, logInbox: h.inbox, audit: h.audit, clock: func() time.Duration { return s.now },
		operators: map[uint64]string{1: "https://1", 2: "https://2", 3: "https://3"}, domains: domains,
		state: state, leases: member.New(state), replies: map[uint64]replyTo{},
		followers: map[*ring.Ring[*wirepb.Envelope]]*follower{}, confirmed: map[string]confirmation{},
		waiting: map[string][]waiter{},
	}
	return h
}

// run advances the virtual time in steps of the clock duty's interval.
func (s *site) run(d time.Duration) {
	GinkgoHelper()
	for end := s.now + d; s.now < end; {
		s.now += tickInterval
		s.land()
		for _, h := range s.hosts {
			h.inbox.Offer(replica.Tick{Now: s.now})
			if s.now%(applyTickEvery*tickInterval) == 0 {
				h.applied.Offer(applyTick{now: s.now})
			}
		}
		if s.now%(500*time.Millisecond) == 0 {
			s.reportEntries()
		}
		s.settle()
	}
}

// settle runs the duties until all inboxes are empty.
func (s *site) settle() {
	GinkgoHelper()
	for busy := true; busy; {
		busy = false
		for _, h := range s.hosts {
			busy = s.step(h) || busy
		}
		for domain, e := range s.entries {
			busy = s.receive(domain, e) || busy
		}
	}
}

func (s *site) step(h *controlHost) bool {
	GinkgoHelper()
	busy := false
	for h.inbox.Depth()+h.stored.Depth()+h.applied.Depth() > 0 {
		busy = true
		stepRing(h.inbox, h.log.Handle)
		stepRing(h.stored, h.storage.Handle)
		stepRing(h.applied, h.apply.handle)
	}
	for to, link := range h.links {
		for link.Depth() > 0 {
			m, _ := link.Get()
			if target := s.hosts[to-1]; !h.cut && !target.cut {
				s.carry(fmt.Sprint(h.id), fmt.Sprint(to), func() { target.inbox.Offer(replica.Received{Message: m}) })
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
		if !h.cut && h.apply.leases.Leading() {
			return h
		}
	}
	return nil
}

// reportEntries connects each entry host to the leader and sends its acknowledgement.
func (s *site) reportEntries() {
	leader := s.leader()
	if leader == nil {
		return
	}
	for domain, e := range s.entries {
		if s.silent[domain] {
			continue
		}
		if e.leader != leader {
			e.leader, e.out = leader, ring.New[*wirepb.Envelope]("out", 4096, ring.DropNewest)
			leader.applied.Offer(applyFollow{from: e.applied + 1, host: "entry-" + domain, domain: domain, incarnation: 1, out: e.out})
			hello := &wirepb.Host{Name: "entry-" + domain, Domain: domain, Incarnation: 1, PacketAddr: "10.0.0.1:6081", PeerAddr: "10.0.0.1:7000"}
			leader.applied.Offer(applyPropose{request: &wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_Host{Host: hello}}, out: e.out})
		}
		s.acknowledge(domain, e)
	}
}

func (s *site) acknowledge(domain string, e *entryHost) {
	leader := e.leader
	acknowledged := applyAcknowledged{
		host: "entry-" + domain, incarnation: 1, index: e.applied, sentNs: int64(s.now), out: e.out,
	}
	s.carry(domain, fmt.Sprint(leader.id), func() { leader.applied.Offer(acknowledged) })
}

func (s *site) receive(domain string, e *entryHost) bool {
	if e.out == nil || s.silent[domain] || e.leader.cut {
		return false
	}
	busy := e.out.Depth() > 0
	for e.out.Depth() > 0 {
		envelope, _ := e.out.Get()
		s.carry(fmt.Sprint(e.leader.id), domain, func() { s.follow(domain, e, envelope) })
	}
	return busy
}

// follow applies an envelope on an entry host and acknowledges new entries.
func (s *site) follow(domain string, e *entryHost, envelope *wirepb.Envelope) {
	before := e.applied
	for _, entry := range envelope.GetEntryBatch().GetEntries() {
		e.applied = max(e.applied, entry.GetIndex())
	}
	e.applied = max(e.applied, envelope.GetSnapshot().GetIndex())
	if e.applied > before {
		s.acknowledge(domain, e)
	}
}

// save starts a save and returns the ring that receives its result.
func (s *site) save(h *controlHost, change operator.Change) *ring.Ring[saved] {
	result := ring.New[saved]("save", 1, ring.DropNewest)
	h.applied.Offer(applyQuery{run: func(d *applyDuty) {
		if err := d.save(change, result); err != nil {
			result.Offer(saved{err: err})
		}
	}})
	s.settle()
	return result
}

// saveOnce sends a change to the current leader and waits for the answer.
func (s *site) saveOnce(change operator.Change) error {
	GinkgoHelper()
	leader := s.leader()
	if leader == nil {
		s.run(tickInterval)
		return &operator.NoQuorum{}
	}
	result := s.save(leader, change)
	for result.Depth() == 0 {
		s.run(tickInterval)
	}
	got, _ := result.Get()
	if got.err != nil {
		s.run(tickInterval)
	}
	return got.err
}
