package wal_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"cassiawood/internal/changelog"
	"cassiawood/internal/changelog/wal"
)

const millisecond = time.Millisecond

// cluster runs members with virtual time, a lossy network and storage that may lose
// unsynced data in a crash. It checks the safety properties of the log throughout.
type cluster struct {
	rng             *rand.Rand
	now             time.Duration
	members         []*member
	inTransit       map[time.Duration][]changelog.Message // messages in transit, by time of arrival
	isolated        map[uint64]bool                       // members that are cut off from the others
	lossRate        float64
	compactInterval uint64 // entries between snapshots

	leaders       map[uint64]uint64          // by term
	committed     map[uint64]changelog.Entry // by index
	states        map[uint64]string          // state of the application after the entry, by index
	acknowledged  map[uint64]changelog.Entry // proposals whose commit was confirmed to the proposer, by index
	proposalCount int
}

type member struct {
	cluster         *cluster
	id              uint64
	node            *changelog.Node
	disk            *fakeFS
	storage         *wal.Storage
	state           string
	starts          uint64
	restartAt       time.Duration          // time of its restart; 0 while it runs
	frozenUntil     time.Duration          // handles nothing until this time; 0 while it is not frozen
	resume          func()                 // continues the Ready that a freeze interrupted
	duplicatesUntil time.Duration          // sends each message twice until this time
	delaysUntil     time.Duration          // delays its messages until this time
	proposedTerms   map[uint64]uint64      // term of the member's proposals, by index
	onStep          func(step string) bool // reports whether to interrupt the processing of the Ready
}

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		rng: rand.New(rand.NewPCG(seed, uint64(size))), now: time.Hour, lossRate: 0.01, compactInterval: []uint64{20, 90}[seed/2%2],
		inTransit: map[time.Duration][]changelog.Message{}, isolated: map[uint64]bool{}, leaders: map[uint64]uint64{}, committed: map[uint64]changelog.Entry{},
		states: map[uint64]string{}, acknowledged: map[uint64]changelog.Entry{},
	}
	for id := range uint64(size) {
		c.members = append(c.members, &member{cluster: c, id: id + 1, disk: newFakeFS()})
	}
	for _, m := range c.members {
		m.start(false)
	}
	return c
}

func (m *member) start(rejoining bool) {
	storage, rec, err := wal.Open(m.disk)
	Expect(err).NotTo(HaveOccurred(), "member %d", m.id)
	m.starts++
	cfg := changelog.Config{ID: m.id, Seed: m.cluster.rng.Uint64(), Rejoining: rejoining, MaxBatchBytes: 100, KeepEntries: 5}
	for _, other := range m.cluster.members {
		cfg.Members = append(cfg.Members, other.id)
	}
	m.node, err = changelog.New(cfg, rec.HardState, rec.Snapshot, rec.Entries)
	Expect(err).NotTo(HaveOccurred(), "member %d", m.id)
	m.storage, m.state, m.proposedTerms = storage, string(rec.Snapshot.State), map[uint64]uint64{}
	m.restartAt, m.frozenUntil, m.resume = 0, 0, nil
	m.node.Tick(m.cluster.now)
}

func (m *member) crash(lostDisk bool) {
	m.node, m.restartAt, m.onStep = nil, m.cluster.now+400*millisecond, nil
	m.disk.crash(m.cluster.rng)
	if lostDisk {
		m.disk = newFakeFS()
	}
}

func (m *member) interruptAt(name string) bool { return m.onStep != nil && m.onStep(name) }

// processReady processes Readies until there are none: stores, sends, applies.
func (m *member) processReady() {
	for m.node != nil && m.frozenUntil == 0 && m.node.HasReady() {
		r := m.node.Ready()
		if m.interruptAt("before write") {
			m.resume = func() { m.store(r) }
			return
		}
		m.store(r)
	}
}

func (m *member) store(r changelog.Ready) {
	if r.NeedsStorage() {
		if r.InstallSnapshot && m.interruptAt("during install") {
			m.resume = func() { m.store(r) }
			return
		}
		if err := m.storage.Save(r); err != nil {
			Expect(err).To(MatchError(errInjected))
			if m.restartAt == 0 {
				m.crash(false)
			}
			return
		}
	}
	if m.interruptAt("after sync") {
		m.resume = func() { m.sendMessages(r) }
		return
	}
	m.sendMessages(r)
}

func (m *member) sendMessages(r changelog.Ready) {
	for _, msg := range r.Messages {
		m.cluster.send(m, msg)
	}
	if len(r.Messages) > 0 && m.interruptAt("after answer") {
		m.resume = func() { m.apply(r) }
		return
	}
	m.apply(r)
}

func (m *member) apply(r changelog.Ready) {
	if r.InstallSnapshot {
		m.state = string(r.Snapshot.State)
		m.cluster.checkState(r.Snapshot.Index, m.state)
	}
	for _, e := range r.Committed {
		hash := fnv.New64a()
		fmt.Fprint(hash, m.state, e.Index, e.Term, e.At, string(e.Data))
		m.state = fmt.Sprintf("%x", hash.Sum64())
		m.cluster.checkCommitted(e)
		m.cluster.checkState(e.Index, m.state)
		if term, ok := m.proposedTerms[e.Index]; ok && term == e.Term {
			m.cluster.acknowledged[e.Index] = e
		}
	}
	m.node.Advance()
	if applied := m.node.Status().Applied; applied > 0 && len(r.Committed) > 0 && applied%m.cluster.compactInterval == 0 {
		Expect(m.node.Compact(applied, []byte(m.state))).To(Succeed())
	}
}

func (c *cluster) checkCommitted(e changelog.Entry) {
	known, ok := c.committed[e.Index]
	if ok && (known.Term != e.Term || known.At != e.At || string(known.Data) != string(e.Data)) {
		Expect(e).To(Equal(known), "a committed entry changed")
	}
	c.committed[e.Index] = e
}

func (c *cluster) checkState(index uint64, state string) {
	if known, ok := c.states[index]; ok && known != state {
		Expect(state).To(Equal(known), "states differ after entry %d", index)
	}
	c.states[index] = state
}

func (c *cluster) send(from *member, m changelog.Message) {
	copies := 1
	if c.now < from.duplicatesUntil || c.rng.Float64() < 0.01 {
		copies = 2
	}
	for range copies {
		delay := time.Duration(1+c.rng.IntN(9)) * millisecond
		if c.now < from.delaysUntil {
			delay += time.Duration(c.rng.IntN(1000)) * millisecond
		}
		if c.rng.Float64() >= c.lossRate {
			c.inTransit[c.now+delay] = append(c.inTransit[c.now+delay], m)
		}
	}
}

func (c *cluster) member(id uint64) *member { return c.members[id-1] }

func (c *cluster) deliver() {
	for _, m := range c.inTransit[c.now] {
		switch to := c.member(m.To); {
		case to.frozenUntil != 0:
			c.inTransit[to.frozenUntil] = append(c.inTransit[to.frozenUntil], m)
		case to.node != nil && !c.isolated[m.From] && !c.isolated[m.To]:
			to.node.Step(m)
		}
	}
	delete(c.inTransit, c.now)
}

// run advances virtual time by d, with a proposal on each member every 20 ms.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += millisecond
		for _, m := range c.members {
			c.resumeDue(m)
		}
		c.deliver()
		for _, m := range c.members {
			if m.node == nil || m.frozenUntil != 0 {
				continue
			}
			if c.now%(10*millisecond) == 0 {
				m.node.Tick(c.now)
			}
			if c.now%(20*millisecond) == 0 {
				m.propose()
			}
			if m.node.HasReady() {
				m.processReady()
				c.checkLeader(m)
			}
		}
	}
}

func (c *cluster) resumeDue(m *member) {
	if m.restartAt != 0 && c.now >= m.restartAt {
		m.start(true)
	}
	if m.frozenUntil != 0 && c.now >= m.frozenUntil {
		resume := m.resume
		m.frozenUntil, m.resume = 0, nil
		if resume != nil {
			resume()
		}
	}
}

func (m *member) propose() {
	m.cluster.proposalCount++
	if index, term, err := m.node.Propose(fmt.Appendf(nil, "proposal %d", m.cluster.proposalCount)); err == nil {
		m.proposedTerms[index] = term
	}
}

func (c *cluster) checkLeader(m *member) {
	if m.node == nil {
		return
	}
	if s := m.node.Status(); s.Role == changelog.Leader {
		if known, ok := c.leaders[s.Term]; ok && known != s.ID {
			Expect(s.ID).To(Equal(known), "two leaders in term %d", s.Term)
		}
		c.leaders[s.Term] = s.ID
	}
}

// allDisksIntact reports whether all members run and none is rejoining after the loss of
// its disk.
func (c *cluster) allDisksIntact() bool {
	return !slices.ContainsFunc(c.members, func(m *member) bool { return m.node == nil || m.node.Status().Rejoining })
}

// leader returns the leader of the highest term.
func (c *cluster) leader() *member {
	var found *member
	for _, m := range c.members {
		if m.node != nil && m.node.Status().Role == changelog.Leader &&
			(found == nil || m.node.Status().Term > found.node.Status().Term) {
			found = m
		}
	}
	Expect(found).NotTo(BeNil(), "the cluster has no leader at %v", c.now)
	return found
}

func (c *cluster) follower() *member {
	leader := c.leader()
	return c.members[leader.id%uint64(len(c.members))]
}

// checkRecovered expects that all members run as voters with the same log, that the
// log contains all acknowledged proposals, and that new proposals are acknowledged.
func (c *cluster) checkRecovered() {
	before := len(c.acknowledged)
	c.run(500 * millisecond)
	Expect(len(c.acknowledged)).To(BeNumerically(">", before), "no new proposal was acknowledged in 500 ms")
	c.lossRate = 0
	for range 20 { // followers receive the last commit index with the next heartbeat
		c.run(100 * millisecond)
	}
	c.lossRate = 0.01
	leader := c.leader().node.Status()
	for _, m := range c.members {
		Expect(m.node).NotTo(BeNil(), "member %d is down", m.id)
		s := m.node.Status()
		Expect(s.Rejoining).To(BeFalse(), "member %d has not rejoined", m.id)
		Expect(s.Commit).To(BeNumerically(">=", leader.Commit-5), "member %d lags behind", m.id)
	}
	for index, e := range c.acknowledged {
		c.checkCommitted(e)
		if index > leader.Commit {
			Expect(index).To(BeNumerically("<=", leader.Commit), "acknowledged entry %d is lost", index)
		}
	}
	c.checkLogsMatch()
}

// checkLogsMatch checks the log matching property on the synced logs: if two logs
// contain an entry with the same index and term, it and all earlier entries are
// equal.
func (c *cluster) checkLogsMatch() {
	type key struct{ index, term uint64 }
	type value struct{ entry, before changelog.Entry }
	seen := map[key]value{}
	for _, m := range c.members {
		disk := newFakeFS()
		for name, node := range m.disk.current {
			disk.current[name] = &inode{data: slices.Clone(node.synced)}
		}
		_, rec, err := wal.Open(disk)
		Expect(err).NotTo(HaveOccurred())
		for i, e := range rec.Entries {
			v, k := value{entry: e}, key{e.Index, e.Term}
			if i > 0 {
				v.before = rec.Entries[i-1]
			}
			if known, ok := seen[k]; ok {
				if i == 0 || known.before.Index == 0 {
					v.before = known.before
				}
				if fmt.Sprint(v) != fmt.Sprint(known) {
					Expect(v).To(Equal(known), "logs differ up to entry %d", e.Index)
				}
			}
			seen[k] = v
		}
	}
}
