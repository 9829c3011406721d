package changelog_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cassiawood/internal/changelog"
)

// machine is a host with an address. Its disk, and with it its identity, may be lost.
type machine struct {
	address string
	id      uint64
	disk    disk
	node    *changelog.Node // nil while the process does not run
	removed bool            // for good
	frozen  bool            // messages wait
	side    int             // of a cut; machines on different sides do not hear each other
}

type delayed struct {
	at   time.Duration
	from *machine
	to   string
	m    changelog.Message
}

// lossyGroup runs the log of machines whose disks are lost, that are removed without notice, cut off, frozen and restarted, any number at a time, while
// the membership changes at random. A log entry that two members have committed must be the same, whatever happens.
type lossyGroup struct {
	rng       *rand.Rand
	now       time.Duration
	machines  []*machine
	first     changelog.Membership
	addresses map[uint64]string
	inTransit []delayed
	committed map[uint64]string // by index
	leaders   map[uint64]uint64 // by term
	trace     []string
}

func newLossyGroup(seed uint64, voters, machines int) *lossyGroup {
	g := &lossyGroup{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Hour, addresses: map[uint64]string{}, committed: map[uint64]string{}, leaders: map[uint64]uint64{},
	}
	for i := range machines {
		m := &machine{address: fmt.Sprint("host-", i), id: uint64(i + 1)}
		if g.addresses[m.id] = m.address; i < voters {
			g.first = g.first.With(changelog.Member{ID: m.id, Address: m.address, Voter: true})
		}
		g.machines = append(g.machines, m)
	}
	for _, m := range g.machines {
		g.start(m)
	}
	return g
}

func (g *lossyGroup) note(format string, args ...any) {
	g.trace = append(g.trace, fmt.Sprintf("%7.3f ", (g.now-time.Hour).Seconds())+fmt.Sprintf(format, args...))
}

func (g *lossyGroup) start(m *machine) {
	var initial changelog.Membership
	if _, ok := g.first.Find(m.id); ok {
		initial = g.first
	}
	node, err := changelog.New(changelog.Config{ID: m.id, Address: m.address, Dynamic: true, InitialMembers: initial, Seed: g.rng.Uint64(), KeepEntries: 2},
		m.disk.hardState, m.disk.snapshot, slices.Clone(m.disk.entries))
	if err != nil {
		panic(err)
	}
	m.node, m.frozen = node, false
}

// loseDisk ends a machine and starts it with an empty disk, under a new identity at the same address.
func (g *lossyGroup) loseDisk(m *machine) {
	m.disk, m.id = disk{}, g.rng.Uint64()|1<<40
	g.addresses[m.id] = m.address
	g.start(m)
}

func (g *lossyGroup) ready(m *machine) error {
	for m.node.HasReady() {
		r := m.node.Ready()
		if r.HardState != nil {
			m.disk.hardState = *r.HardState
		}
		if r.Snapshot != nil {
			if m.disk.snapshot = *r.Snapshot; r.InstallSnapshot {
				m.disk.entries = nil
			}
		}
		for _, e := range r.Entries {
			m.disk.entries = append(slices.DeleteFunc(m.disk.entries, func(old changelog.Entry) bool { return old.Index >= e.Index }), e)
		}
		for _, message := range r.Messages {
			delay := time.Duration(g.rng.IntN(4)) * 10 * time.Millisecond
			if g.rng.IntN(20) == 0 {
				delay += time.Duration(g.rng.IntN(900)) * time.Millisecond
			}
			g.inTransit = append(g.inTransit, delayed{g.now + delay, m, g.addresses[message.To], message})
		}
		for _, e := range r.Committed {
			text := fmt.Sprint(e.Term, string(e.Data), e.Members)
			if known, ok := g.committed[e.Index]; ok && known != text {
				return fmt.Errorf("%s (%d) has committed entry %d as %q, before it was %q", m.address, m.id, e.Index, text, known)
			}
			g.committed[e.Index] = text
		}
		m.node.Advance()
	}
	if s := m.node.Status(); s.Role == changelog.Leader {
		if other := g.leaders[s.Term]; other != 0 && other != m.id {
			return fmt.Errorf("members %d and %d both lead in term %d", other, m.id, s.Term)
		}
		if g.leaders[s.Term] == 0 {
			g.note("%s leads in term %d, %s", m.address, s.Term, describe(s.Members))
		}
		g.leaders[s.Term] = m.id
	}
	return nil
}

func describe(members changelog.Membership) string {
	text := ""
	for _, m := range members {
		if m.Voter {
			text += fmt.Sprintf(" %s(%d)", m.Address, m.ID)
		}
	}
	return "voters" + text
}

func (g *lossyGroup) run(d time.Duration) error {
	for end := g.now + d; g.now < end; g.now += 10 * time.Millisecond {
		var due []delayed
		g.inTransit = slices.DeleteFunc(g.inTransit, func(p delayed) bool {
			i := slices.IndexFunc(g.machines, func(m *machine) bool { return m.address == p.to })
			isDue := p.at <= g.now && (i < 0 || !g.machines[i].frozen)
			if isDue && i >= 0 && g.machines[i].node != nil && g.machines[i].side == p.from.side {
				due = append(due, p)
			}
			return isDue
		})
		for _, p := range due {
			i := slices.IndexFunc(g.machines, func(m *machine) bool { return m.address == p.to })
			g.machines[i].node.Step(p.m)
		}
		for _, m := range g.machines {
			if m.node == nil || m.frozen {
				continue
			}
			m.node.Tick(g.now)
			if err := g.ready(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// lead calls f with a member that takes itself for the leader, of which there may be several.
func (g *lossyGroup) lead(f func(*machine)) {
	var leaders []*machine
	for _, m := range g.machines {
		if m.node != nil && !m.frozen && m.node.Status().Role == changelog.Leader {
			leaders = append(leaders, m)
		}
	}
	if len(leaders) > 0 {
		f(leaders[g.rng.IntN(len(leaders))])
	}
}

// changeVote adds a machine, removes the identity that a machine had before it lost its disk, or gives or takes a vote.
func (g *lossyGroup) changeVote(m *machine) {
	g.lead(func(leader *machine) {
		members := leader.node.Status().Members
		next := members.With(changelog.Member{ID: m.id, Address: m.address})
		if known, ok := members.Find(m.id); ok {
			known.Voter = !known.Voter
			next = members.With(known)
		}
		for _, old := range members {
			if old.Address == m.address && old.ID != m.id {
				next = members.Without(old.ID)
			}
		}
		if next.VoterCount() < 2 || next.VoterCount() > 6 {
			return
		}
		if _, err := leader.node.ProposeMembers(next); err == nil {
			g.note("%s proposes %s", leader.address, describe(next))
		}
	})
}

// Guards against two majorities, and so against two states that were both acknowledged: half of an even number of voters suffices once
// a lost disk is known in the other half, and the membership changes meanwhile.
func TestLostDisksNeverMakeTwoMajorities(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([]int{4, 4, 3, 6}).Draw(t, "voters")
		g := newLossyGroup(rapid.Uint64Max(1<<20).Draw(t, "seed"), voters, voters+1)
		err := g.run(time.Second)
		for i := range rapid.IntRange(2, 25).Draw(t, "events") {
			if err != nil {
				break
			}
			m := g.machines[rapid.IntRange(0, len(g.machines)-1).Draw(t, "machine")]
			kind := rapid.SampledFrom([]string{"propose", "propose", "propose", "vote", "vote", "vote", "lose", "lose", "restart", "remove", "freeze", "wake", "cut", "heal"}).Draw(t, "event")
			g.note("%s at %s", kind, m.address)
			switch {
			case kind == "propose":
				g.lead(func(leader *machine) { _, _, _ = leader.node.Propose(fmt.Appendf(nil, "%d-%s", i, leader.address)) }) // it may be refused
			case kind == "vote" && !m.removed:
				g.changeVote(m)
			case kind == "lose" && !m.removed:
				g.loseDisk(m)
			case kind == "restart" && !m.removed:
				g.start(m)
			case kind == "remove":
				m.node, m.removed = nil, true
			case kind == "freeze":
				m.frozen = true
			case kind == "wake":
				m.frozen = false
			case kind == "cut":
				sides := rapid.Uint8().Draw(t, "sides")
				for i, m := range g.machines {
					m.side = int(sides>>i) & 1
				}
			case kind == "heal":
				for _, m := range g.machines {
					m.side = 0
				}
			}
			err = g.run(time.Duration(rapid.SampledFrom([]int{0, 10, 30, 100, 300, 1000}).Draw(t, "pause")) * time.Millisecond)
		}
		if err == nil {
			err = g.run(3 * time.Second)
		}
		if err != nil {
			for _, line := range g.trace {
				t.Log(line)
			}
			t.Fatal(err)
		}
	})
}
