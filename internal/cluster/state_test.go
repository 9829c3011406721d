package cluster

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"google.golang.org/protobuf/encoding/protodelim"

	"cassiawood/internal/changelog"
	"cassiawood/internal/registry"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
	"cassiawood/internal/voters"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// stateHarness is a state duty whose output to the log and the links stays in rings for the test
// to read.
type stateHarness struct {
	*stateDuty
	time time.Duration
}

func newStateHarness() *stateHarness {
	h := &stateHarness{time: time.Hour}
	h.stateDuty = &stateDuty{
		log: slog.New(slog.DiscardHandler), self: changelog.Member{ID: 1, Address: "127.0.0.1:1", Domain: "a"},
		policy: voters.Policy{TargetVoters: 3, ReplaceAfter: replaceVoterAfter, RemoveAfter: removeStandbyAfter, MaxContactAge: maxContactAge, MaxLag: maxStandbyLagEntries},
		clock:  func() time.Duration { return h.time }, logInbox: ring.New[replica.Event]("log", 1024, ring.Block),
		linksInbox: ring.New[linkEvent]("links", 4096, ring.Block), registrySnapshots: ring.New[[]byte]("files", 1, ring.DropOldest),
		metrics: newCounters(metrics.NewRegistry()), routes: routing.NewState(),
		registry:    registry.New(registry.Limits{SilentAfter: 2600 * time.Millisecond, ForgetAfter: time.Minute}),
		subscribers: map[*ring.Ring[[]byte]]*subscriber{}, unpublishedEndpoints: map[uint64]bool{}, pendingGets: map[uint64]pendingGet{},
		joinRequests: map[uint64]pendingJoin{}, peerDemand: map[string]demandReport{}, memberDomains: map[uint64]string{}, earlierDomains: map[string]bool{}, leavingSaidAt: map[uint64]time.Duration{}, steering: newSteering(), rotation: newRotationRounds(0), status: changelog.Status{LastContact: -1},
		evacuation: evacuationState{supporters: map[string]bool{}},
	}
	return h
}

// becomeLeader makes the host the leader, in contact with a majority.
func (h *stateHarness) becomeLeader() *stateHarness {
	members := changelog.Membership{{ID: 1, Address: "127.0.0.1:1", Domain: "a", Voter: true}, {ID: 2, Address: "127.0.0.1:2", Domain: "b", Voter: true}}
	h.handleEvent(statusChanged{changelog.Status{ID: 1, Role: changelog.Leader, Leader: 1, Term: 1, LastContact: h.time, Members: members}})
	return h
}

func (h *stateHarness) handleEvent(e event) {
	GinkgoHelper()
	Expect(h.handle(e)).To(Succeed())
}

// advance advances the clock by d, with a tick every 50 ms.
func (h *stateHarness) advance(d time.Duration) {
	GinkgoHelper()
	for end := h.time + d; h.time < end; {
		h.time += 50 * time.Millisecond
		h.handleEvent(tick{})
	}
}

func (h *stateHarness) commit(d routing.Desired) {
	GinkgoHelper()
	data, err := wire.EncodeDesiredState(d)
	Expect(err).NotTo(HaveOccurred())
	h.handleEvent(committed{replica.Committed{Entries: []changelog.Entry{{Index: h.appliedIndex + 1, Term: 1, Data: data}}}})
}

func desired(version uint64) routing.Desired {
	return routing.Desired{
		Version: version, Services: []string{"desk"}, Document: fmt.Append(nil, "document ", version),
		Routes: []routing.Route{{
			Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:443"), Timeout: time.Second,
			Shares: []routing.Share{{Service: "desk", Weight: 1}},
		}},
	}
}

func endpoint(id uint64) registry.Endpoint {
	return registry.Endpoint{
		ID: id, Name: fmt.Sprint("i-", id), StartedAtMs: 1, Seq: 1, Service: "desk", Domain: "a", Slots: 2, State: registry.Ready,
		Address: netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

func newReply() *ring.Ring[answer] { return ring.New[answer]("answer", 1, ring.DropNewest) }

// singleAnswer returns the answer in r and fails if there is none.
func singleAnswer(r *ring.Ring[answer]) answer {
	GinkgoHelper()
	Expect(r.Depth()).To(Equal(1), "there is no answer")
	a, _ := r.Get()
	return a
}

var _ = Describe("desired state", func() {
	// Guards against the loss of an acknowledged change, and against outdated state returned by a
	// host that no longer leads.
	It("is acknowledged once it is committed, and read back unchanged", func() {
		h := newStateHarness().becomeLeader()
		put := newReply()
		h.handleEvent(putDesired{desired(7), put})
		Expect(put.Depth()).To(BeZero(), "nothing is acknowledged before a majority has stored it")
		h.commit(desired(7))
		Expect(singleAnswer(put).err).NotTo(HaveOccurred())
		get := newReply()
		h.handleEvent(getDesired{get})
		Expect(get.Depth()).To(BeZero(), "nothing is read before a majority confirms the leader")
		h.handleEvent(committed{replica.Committed{ConfirmedReads: []uint64{h.lastReadContext}}})
		Expect(string(singleAnswer(get).desired.Document)).To(Equal("document 7"))
	})

	// Guards against rejecting a change that is sent again after its acknowledgement was lost, and
	// against replacing the content of a version that is already in force.
	It("acknowledges versions that are not newer and changes nothing", func() {
		h := newStateHarness().becomeLeader()
		h.commit(desired(7))
		for h.logInbox.Depth() > 0 {
			_, _ = h.logInbox.Get()
		}
		for _, version := range []uint64{7, 6} {
			put := newReply()
			other := desired(version)
			other.Document = []byte("other")
			h.handleEvent(putDesired{other, put})
			Expect(singleAnswer(put).err).NotTo(HaveOccurred())
		}
		Expect(h.logInbox.Depth()).To(BeZero())
		Expect(string(h.routes.Desired().Document)).To(Equal("document 7"))
	})

	// Guards against reporting a change as rejected although it may still come into force.
	It("reports an unknown outcome when the leadership is lost or a change is not committed in time", func() {
		h := newStateHarness().becomeLeader()
		lost, late := newReply(), newReply()
		h.handleEvent(putDesired{desired(7), lost})
		h.handleEvent(statusChanged{changelog.Status{ID: 1, Role: changelog.Follower, LastContact: h.time}})
		Expect(singleAnswer(lost).err).To(MatchError(ErrUnavailable))
		h.becomeLeader()
		h.handleEvent(putDesired{desired(8), late})
		h.advance(answerTimeout + 100*time.Millisecond)
		Expect(singleAnswer(late).err).To(MatchError(ErrUnavailable))
	})

	// Guards against stale state returned by a host that is cut off.
	It("is not read from a host without contact, and reads on a follower are directed to the leader", func() {
		h := newStateHarness()
		get := newReply()
		h.handleEvent(getDesired{get})
		Expect(singleAnswer(get).err).To(MatchError(ErrUnavailable))
		members := changelog.Membership{{ID: 2, Address: "127.0.0.1:2", Voter: true}}
		h.handleEvent(statusChanged{changelog.Status{ID: 1, Leader: 2, LastContact: h.time, Members: members}})
		h.handleEvent(getDesired{get})
		var notLeader NotLeaderError
		Expect(errors.As(singleAnswer(get).err, &notLeader)).To(BeTrue())
		Expect(notLeader.Address).To(Equal("127.0.0.1:2"))
		h.advance(maxContactAge + time.Second)
		h.handleEvent(getDesired{get})
		Expect(singleAnswer(get).err).To(MatchError(ErrUnavailable))
	})
})

var _ = Describe("contact", func() {
	// Guards against entry hosts following a control host that has joined but still lacks entries.
	It("requires all entries that the leader has committed", func() {
		h := newStateHarness()
		status := changelog.Status{ID: 1, Leader: 2, LastContact: h.time, Commit: 3, LeaderCommit: 5}
		h.handleEvent(statusChanged{status})
		Expect(h.hasMajorityContact()).To(BeFalse())
		status.Commit = 5
		h.handleEvent(statusChanged{status})
		Expect(h.hasMajorityContact()).To(BeTrue())
	})
})

var _ = Describe("a request to join", func() {
	// newFollower returns a host that is a follower of host 2.
	newFollower := func() *stateHarness {
		h := newStateHarness()
		members := changelog.Membership{{ID: 1, Address: "127.0.0.1:1", Voter: true}, {ID: 2, Address: "127.0.0.1:2", Voter: true}}
		h.handleEvent(statusChanged{changelog.Status{ID: 1, Leader: 2, LastContact: h.time, Members: members}})
		for h.linksInbox.Depth() > 0 {
			_, _ = h.linksInbox.Get()
		}
		return h
	}
	joiner := changelog.Member{ID: 9, Address: "127.0.0.1:9", Domain: "b"}

	// Guards against a control host with an empty disk that never joins, so that the loss of two
	// more disks leaves no majority. It knows only the seeds, and the leader may not be one of them.
	It("is forwarded to the leader", func() {
		h := newFollower()
		h.handleEvent(joinRequest{member: joiner})
		Expect(h.linksInbox.Depth()).To(Equal(1))
		e, err := h.linksInbox.Get()
		Expect(err).NotTo(HaveOccurred())
		Expect(e.(sendTo).address).To(Equal("127.0.0.1:2"))
		request := e.(sendTo).envelope.GetJoinRequest()
		Expect(request.GetId()).To(Equal(joiner.ID))
		Expect(request.GetAddress()).To(Equal(joiner.Address))
		Expect(request.GetDomain()).To(Equal(joiner.Domain))
		Expect(request.GetForwarded()).To(BeTrue())
	})

	// Guards against requests that circulate forever between two hosts that each consider the other
	// the leader.
	It("is forwarded only once", func() {
		h := newFollower()
		h.handleEvent(joinRequest{member: joiner, forwarded: true})
		Expect(h.linksInbox.Depth()).To(BeZero())
	})

	// Guards against a forwarded request that the leader ignores.
	It("is stored by the leader", func() {
		h := newStateHarness().becomeLeader()
		h.time += proposalTimeout
		h.handleEvent(joinRequest{member: joiner, forwarded: true})
		Expect(h.joinRequests).To(HaveKey(joiner.ID))
	})
})

var _ = Describe("subscribers", func() {
	// Guards against a control host that is busy for seconds when all entry hosts of a large site
	// come back at once, because each endpoint change is sent to each of them separately.
	It("get the changes of many endpoints in few updates", func() {
		h := newStateHarness().becomeLeader()
		h.commit(desired(1))
		outs := map[int]*ring.Ring[[]byte]{}
		for i := range 100 {
			outs[i] = ring.New[[]byte]("out", subscriberOutboxCapacity, ring.DropNewest)
			h.handleEvent(subscribe{host: fmt.Sprint("host ", i), domain: "a", wantsState: true, out: outs[i]})
		}
		u := &wirepb.EndpointUpdate{}
		for id := range uint64(150) {
			u.Reports = append(u.Reports, wire.EndpointReportToProto(endpoint(id+1), 0))
		}
		h.handleEvent(peerUpdate{u})
		h.advance(100 * time.Millisecond)
		for _, out := range outs {
			Expect(out.Depth()).To(BeNumerically("<=", 3))
		}
	})

	// Guards against an entry host that misses a change because it reads too slowly.
	It("get the full state again after an update was lost", func() {
		h := newStateHarness().becomeLeader()
		out := ring.New[[]byte]("out", 3, ring.DropNewest)
		h.handleEvent(subscribe{host: "h", domain: "a", wantsState: true, out: out})
		for version := range uint64(3) {
			h.commit(desired(version + 1))
		}
		Expect(h.subscribers[out].needsFullState).To(BeTrue())
		for out.Depth() > 0 {
			_, _ = out.Get()
		}
		h.advance(100 * time.Millisecond)
		Expect(h.subscribers[out].needsFullState).To(BeFalse())
		Expect(out.Depth()).To(Equal(2), "the full state in two parts")
	})

	// Guards against overloading a slow link with the full state of every control host that an entry
	// host asks before it chooses one.
	It("get only the first part before they choose", func() {
		h := newStateHarness().becomeLeader()
		h.commit(desired(1))
		out := ring.New[[]byte]("out", subscriberOutboxCapacity, ring.DropNewest)
		h.handleEvent(subscribe{host: "h", domain: "a", out: out})
		h.commit(desired(2))
		Expect(out.Depth()).To(Equal(1))
		h.handleEvent(subscribe{host: "h", domain: "a", wantsState: true, out: out})
		for out.Depth() > 0 {
			_, _ = out.Get()
		}
		h.handleEvent(tick{})
		Expect(out.Depth()).To(Equal(2), "the full state in two parts")
	})

	// Guards against an entry host on a slow link that disconnects before a large state has arrived
	// and then asks for it again.
	It("get a large state in parts, and no second copy while the first one is being sent", func() {
		h := newStateHarness().becomeLeader()
		h.commit(desired(1))
		for id := range uint64(3000) {
			h.registry.Merge(endpoint(id + 1))
		}
		out := ring.New[[]byte]("out", subscriberOutboxCapacity, ring.DropNewest)
		h.handleEvent(subscribe{host: "h", domain: "a", wantsState: true, out: out})
		parts := out.Depth()
		h.subscribers[out].needsFullState = true
		h.handleEvent(tick{})
		Expect(out.Depth()).To(Equal(parts))
		for range parts {
			frame, err := out.Get()
			Expect(err).NotTo(HaveOccurred())
			Expect(len(frame)).To(BeNumerically("<", 64<<10))
		}
	})

	// subscribeAll returns the frames that an entry host gets when it subscribes.
	subscribeAll := func(h *stateHarness, compressed bool) [][]byte {
		GinkgoHelper()
		out := ring.New[[]byte]("out", subscriberOutboxCapacity, ring.DropNewest)
		h.handleEvent(subscribe{host: "h", domain: "a", wantsState: true, acceptsCompressed: compressed, out: out})
		var frames [][]byte
		for out.Depth() > 0 {
			frame, err := out.Get()
			Expect(err).NotTo(HaveOccurred())
			frames = append(frames, frame)
		}
		return frames
	}
	// endpointsIn returns the IDs of the endpoints in frames, and the total size of the frames in bytes.
	endpointsIn := func(frames [][]byte) (ids []uint64, size int) {
		GinkgoHelper()
		for _, frame := range frames {
			size += len(frame)
			e := &wirepb.Envelope{}
			Expect(protodelim.UnmarshalFrom(bytes.NewReader(frame), e)).To(Succeed())
			e, err := wire.Decompress(e)
			Expect(err).NotTo(HaveOccurred())
			for _, report := range e.GetEdgeUpdate().GetEndpoints() {
				ids = append(ids, report.GetId())
			}
		}
		return ids, size
	}

	// Guards against a control host that encodes the full state for each of the hundreds of entry hosts that
	// come back one after the other after a loss of power.
	It("share one encoded full state until something changes", func() {
		h := newStateHarness().becomeLeader()
		h.commit(desired(1))
		h.registry.Merge(endpoint(1))
		first := subscribeAll(h, true)
		h.time += fullStateMaxAge / 2
		second := subscribeAll(h, true)
		Expect(&second[1][0]).To(BeIdenticalTo(&first[1][0]), "the same bytes")

		h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{Reports: []*wirepb.EndpointReport{wire.EndpointReportToProto(endpoint(2), 0)}}})
		ids, _ := endpointsIn(subscribeAll(h, true))
		Expect(ids).To(ConsistOf(uint64(1), uint64(2)))

		h.time += 2 * fullStateMaxAge
		third := subscribeAll(h, true)
		h.time += 2 * fullStateMaxAge
		Expect(&subscribeAll(h, true)[1][0]).NotTo(BeIdenticalTo(&third[1][0]), "the ages in it would be wrong")
	})

	// Guards against a slow return after a loss of power: the full state took 140 ms on a link of 2 Mbit/s.
	// Entry hosts of an earlier build get it as before.
	It("get it compressed if they can read that", func() {
		h := newStateHarness().becomeLeader()
		h.commit(desired(1))
		for id := range uint64(450) {
			e := endpoint(id + 1)
			e.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(id >> 8), byte(id)}), 80)
			h.registry.Merge(e)
		}
		plainIDs, plainBytes := endpointsIn(subscribeAll(h, false))
		ids, size := endpointsIn(subscribeAll(h, true))
		Expect(ids).To(Equal(plainIDs))
		Expect(ids).To(HaveLen(450))
		Expect(size).To(BeNumerically("<", plainBytes/2))
	})
})

var _ = Describe("demand", func() {
	demandOf := func(domain string, flows uint32) []*wirepb.Demand {
		return []*wirepb.Demand{{Service: "desk", Domain: domain, Flows: flows}}
	}
	// latestDemand returns the flows by failure domain in the latest demand sent to an entry host.
	latestDemand := func(out *ring.Ring[[]byte]) map[string]uint32 {
		GinkgoHelper()
		flows := map[string]uint32{}
		for out.Depth() > 0 {
			frame, err := out.Get()
			Expect(err).NotTo(HaveOccurred())
			e := &wirepb.Envelope{}
			Expect(protodelim.UnmarshalFrom(bytes.NewReader(frame), e)).To(Succeed())
			if list := e.GetEdgeUpdate().GetDemand(); len(list) > 0 {
				clear(flows)
				for _, x := range list {
					flows[x.GetDomain()] += x.GetFlows()
				}
			}
		}
		return flows
	}

	// Guards against a failure domain that sends its excess flows to others that are just as busy,
	// because their demand is not counted.
	It("reaches entry hosts as the sum over all control hosts", func() {
		h := newStateHarness().becomeLeader()
		h.commit(desired(1))
		one := ring.New[[]byte]("one", subscriberOutboxCapacity, ring.DropNewest)
		two := ring.New[[]byte]("two", subscriberOutboxCapacity, ring.DropNewest)
		h.handleEvent(subscribe{host: "h1", domain: "a", wantsState: true, out: one})
		h.handleEvent(subscribe{host: "h2", domain: "a", wantsState: true, out: two})
		h.advance(time.Second)
		h.handleEvent(demandReported{out: one, report: &wirepb.EdgeDemand{Demand: demandOf("a", 5)}})
		h.handleEvent(demandReported{out: two, report: &wirepb.EdgeDemand{Demand: demandOf("a", 7)}})
		h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{From: "127.0.0.1:2", Demand: demandOf("b", 30)}})
		h.advance(demandInterval)
		Expect(latestDemand(one)).To(Equal(map[string]uint32{"a": 12, "b": 30}))
	})

	// Guards against a failure domain that is cut off but looks idle, and so attracts flows that
	// then fail.
	It("is left out when it is not renewed", func() {
		h := newStateHarness().becomeLeader()
		h.commit(desired(1))
		out := ring.New[[]byte]("out", subscriberOutboxCapacity, ring.DropNewest)
		h.handleEvent(subscribe{host: "h1", domain: "a", wantsState: true, out: out})
		h.handleEvent(peerUpdate{&wirepb.EndpointUpdate{From: "127.0.0.1:2", Demand: demandOf("b", 30)}})
		h.advance(demandLifetime + time.Second)
		latestDemand(out)
		h.handleEvent(demandReported{out: out, report: &wirepb.EdgeDemand{Demand: demandOf("a", 5)}})
		h.advance(demandInterval)
		Expect(latestDemand(out)).To(Equal(map[string]uint32{"a": 5}))
	})
})

var _ = Describe("reports", func() {
	// Guards against a backend server that registers under a service name that does not exist and
	// is told that it is in service.
	It("of an unknown service are rejected once there is a desired state", func() {
		h := newStateHarness().becomeLeader()
		h.commit(desired(1))
		r, foreign := newReply(), endpoint(5)
		foreign.Service = "nobody"
		h.handleEvent(endpointReported{endpoint: foreign, reply: r})
		Expect(singleAnswer(r).err).To(BeAssignableToTypeOf(RejectedError{}))
		Expect(h.registry.Len()).To(BeZero())
	})

	// Guards against an acknowledged drain or deregistration that only one control host has.
	It("are sent to the other control hosts before they are acknowledged", func() {
		h := newStateHarness().becomeLeader()
		for h.linksInbox.Depth() > 0 {
			_, _ = h.linksInbox.Get()
		}
		r, leaving := newReply(), endpoint(5)
		leaving.State = registry.Draining
		h.handleEvent(endpointReported{endpoint: leaving, reply: r})
		Expect(singleAnswer(r).err).NotTo(HaveOccurred())
		Expect(h.linksInbox.Depth()).To(Equal(1))
	})
})
