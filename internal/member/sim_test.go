package member_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	. "github.com/onsi/gomega"

	"cassiawood/internal/directory"
	"cassiawood/internal/document"
	"cassiawood/internal/member"
)

const step = 20 * time.Millisecond

// simHost is an entry host that follows the log.
type simHost struct {
	directory.Host
	applied         uint64
	tableCompleteAt time.Duration // last time at which its table was complete
	listed          bool          // its table lists its incarnation
	failed          bool          // neither places flows nor reports
	cutOff          bool          // places flows but reaches no control host
	stalled         bool          // reports but applies no entries
}

// proposal is a proposed command that is committed at due.
type proposal struct {
	command directory.Command
	due     time.Duration
}

// sim simulates a leader, entry hosts and backend servers in virtual time.
type sim struct {
	now           time.Duration
	random        *rand.Rand
	state         *directory.State
	leases        *member.Leases
	proposals     []proposal
	hosts         []*simHost
	endpoints     []*directory.Endpoint // announced every second
	replies       map[uint64]member.Reply
	committedUpTo []uint64      // UpTo of each MovesCommitted
	logTimeOffset time.Duration // added to the log time
	onApply       func()
}

func newSim(seed uint64, domains, endpoints int) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 1)), state: directory.NewWithBuckets(64), replies: map[uint64]member.Reply{}}
	s.apply(directory.ChangePrepared{ChangeID: "start", Team: "t", Section: "Desk", Services: []document.Service{
		{Name: "desk", AnnouncedAs: "order-desk", Address: netip.MustParseAddrPort("10.0.0.1:80"), Protocol: document.TCP},
	}})
	s.apply(directory.ChangeDecided{ChangeID: "start", Accepted: true})
	s.changeLeader()
	for i := range domains * 2 {
		s.hosts = append(s.hosts, &simHost{Host: directory.Host{Name: fmt.Sprint("host", i), Incarnation: 1, Domain: fmt.Sprint("zone", i%domains)}})
		s.send(member.HostHello{Host: s.hosts[i].Host})
	}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, s.endpoint(i, domains))
	}
	s.advance(4 * time.Second)
	return s
}

func (s *sim) endpoint(i, domains int) *directory.Endpoint {
	return &directory.Endpoint{
		Instance: fmt.Sprint("desk", i), Service: "order-desk", Domain: fmt.Sprint("zone", i%domains), Slots: 2, State: directory.Ready,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 8080),
	}
}

// changeLeader replaces the leader. Uncommitted commands are lost.
func (s *sim) changeLeader() {
	s.proposals = nil
	s.leases = member.New(s.state)
	s.send(member.BecameLeader{})
}

func (s *sim) send(e member.Event) {
	for _, effect := range s.leases.Step(s.now, e) {
		switch effect := effect.(type) {
		case member.Propose:
			s.proposals = append(s.proposals, proposal{effect.Command, s.now + 2*step})
		case member.Reply:
			s.replies[effect.ID] = effect
		}
	}
}

func (s *sim) apply(c directory.Command) directory.Outcome {
	if commit, ok := c.(directory.MovesCommitted); ok {
		s.checkCommit(commit.UpTo)
		s.committedUpTo = append(s.committedUpTo, commit.UpTo)
	}
	out := s.state.Apply(directory.Entry{Index: s.state.Index() + 1, At: s.now + s.logTimeOffset, Command: c})
	if s.onApply != nil {
		s.onApply()
	}
	if s.leases != nil {
		s.send(member.Committed{Command: c, Outcome: out})
	}
	return out
}

// placesFlows reports whether a host places flows by its own table: its
// table lists it and was complete within HostLease, so that it is not fenced.
func (s *sim) placesFlows(h *simHost) bool {
	return !h.failed && h.listed && s.now-h.tableCompleteAt < member.HostLease
}

// checkCommit fails the test when a host that still places flows has not applied
// the log up to the committed index.
func (s *sim) checkCommit(upTo uint64) {
	for _, h := range s.hosts {
		if s.placesFlows(h) {
			Expect(h.applied).To(BeNumerically(">=", upTo), "host %s at %v", h.Name, s.now)
		}
	}
}

// advance advances the time by d in steps, with commits, with reports of each
// host about every 200 ms, and with announcements every second.
func (s *sim) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += step
		for len(s.proposals) > 0 && s.proposals[0].due <= s.now {
			next := s.proposals[0]
			s.proposals = s.proposals[1:]
			s.apply(next.command)
		}
		for _, h := range s.hosts {
			if s.random.IntN(10) == 0 {
				s.sendReport(h)
			}
		}
		if s.now%time.Second == 0 {
			for _, e := range slices.Clone(s.endpoints) {
				s.send(member.Announced{Endpoint: *e})
			}
		}
		if s.now%(100*time.Millisecond) == 0 {
			s.send(member.Tick{})
		}
	}
}

func (s *sim) sendReport(h *simHost) {
	if h.failed || h.cutOff {
		return
	}
	if !h.stalled {
		h.applied, h.tableCompleteAt = s.state.Index(), s.now
		_, h.listed = s.state.Host(h.Name)
	}
	if !h.listed {
		s.send(member.HostHello{Host: h.Host})
	}
	s.send(member.HostApplied{Name: h.Name, Incarnation: h.Incarnation, Index: h.applied})
	if listed, ok := s.state.Host(h.Name); ok && listed.State == directory.HostJoined {
		s.send(member.HostComplete{Name: h.Name, Incarnation: h.Incarnation})
	}
}

// currentBuckets counts the buckets by the instance of their current endpoint.
func (s *sim) currentBuckets() map[string]int {
	counts := map[string]int{}
	service, _ := s.state.Service("desk")
	for i := range service.BucketCount() {
		if e, ok := s.state.Endpoint(service.Bucket(i).Current); ok {
			counts[e.Instance]++
		}
	}
	return counts
}

// stopAnnouncing ends the periodic announcements of a backend server.
func (s *sim) stopAnnouncing(instance string) {
	s.endpoints = slices.DeleteFunc(s.endpoints, func(e *directory.Endpoint) bool { return e.Instance == instance })
}

func (s *sim) stateOf(instance string) directory.EndpointState {
	e, ok := s.state.EndpointByInstance(instance)
	Expect(ok).To(BeTrue(), instance)
	return e.State
}
