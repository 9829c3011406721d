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

// control is a state duty whose output to the log and the links stays in rings for the test to read.
type control struct {
	*stateDuty
	time time.Duration
}

func newControl() *control {
	c := &control{time: time.Hour}
	c.stateDuty = &stateDuty{
		log: slog.New(slog.DiscardHandler), self: changelog.Member{ID: 1, Address: "127.0.0.1:1", Domain: "a"},
		policy: voters.Policy{TargetVoters: 3, ReplaceAfter: replaceAfter, RemoveAfter: removeAfter, MaxContactAge: contactAge, MaxLag: maxLag},
		clock:  func() time.Duration { return c.time }, logInbox: ring.New[replica.Event]("log", 1024, ring.Block),
		links: ring.New[linkEvent]("links", 4096, ring.Block), files: ring.New[[]byte]("files", 1, ring.DropOldest),
		metrics: newCounters(metrics.NewRegistry()), routes: routing.NewState(),
		registry:  registry.New(registry.Limits{SilentAfter: 2600 * time.Millisecond, ForgetAfter: time.Minute}),
		followers: map[*ring.Ring[[]byte]]*follower{}, unpublished: map[uint64]bool{}, gets: map[uint64]waitingGet{},
		joining: map[uint64]join{}, peerDemand: map[string]demandReport{}, domains: map[uint64]string{}, status: changelog.Status{LastContact: -1},
	}
	return c
}

// leads makes the host the leader, in contact with a majority.
func (c *control) leads() *control {
	members := changelog.Membership{{ID: 1, Address: "127.0.0.1:1", Domain: "a", Voter: true}, {ID: 2, Address: "127.0.0.1:2", Domain: "b", Voter: true}}
	c.give(statusChanged{changelog.Status{ID: 1, Role: changelog.Leader, Leader: 1, Term: 1, LastContact: c.time, Members: members}})
	return c
}

func (c *control) give(e event) {
	GinkgoHelper()
	Expect(c.handle(e)).To(Succeed())
}

// pass advances the clock by d, with a tick every 50 ms.
func (c *control) pass(d time.Duration) {
	GinkgoHelper()
	for end := c.time + d; c.time < end; {
		c.time += 50 * time.Millisecond
		c.give(tick{})
	}
}

func (c *control) commit(d routing.Desired) {
	GinkgoHelper()
	data, err := wire.EncodeDesired(d)
	Expect(err).NotTo(HaveOccurred())
	c.give(committed{replica.Committed{Entries: []changelog.Entry{{Index: c.index + 1, Term: 1, Data: data}}}})
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

func reply() *ring.Ring[answer] { return ring.New[answer]("answer", 1, ring.DropNewest) }

// only returns the answer in r and fails if there is none.
func only(r *ring.Ring[answer]) answer {
	GinkgoHelper()
	Expect(r.Depth()).To(Equal(1), "there is no answer")
	a, _ := r.Get()
	return a
}

var _ = Describe("desired state", func() {
	It("is acknowledged once it is committed, and read back unchanged", func() {
		c := newControl().leads()
		put := reply()
		c.give(putDesired{desired(7), put})
		Expect(put.Depth()).To(BeZero(), "nothing is acknowledged before a majority has stored it")
		c.commit(desired(7))
		Expect(only(put).err).NotTo(HaveOccurred())
		get := reply()
		c.give(getDesired{get})
		Expect(get.Depth()).To(BeZero(), "nothing is read before a majority confirms the leader")
		c.give(committed{replica.Committed{ConfirmedReads: []uint64{c.lastContext}}})
		Expect(string(only(get).desired.Document)).To(Equal("document 7"))
	})

	// Guards against refusing a change that is sent again after its acknowledgement was lost, and
	// against replacing the content of a version that is already in force.
	It("acknowledges versions that are not newer and changes nothing", func() {
		c := newControl().leads()
		c.commit(desired(7))
		for c.logInbox.Depth() > 0 {
			_, _ = c.logInbox.Get()
		}
		for _, version := range []uint64{7, 6} {
			put := reply()
			other := desired(version)
			other.Document = []byte("other")
			c.give(putDesired{other, put})
			Expect(only(put).err).NotTo(HaveOccurred())
		}
		Expect(c.logInbox.Depth()).To(BeZero())
		Expect(string(c.routes.Desired().Document)).To(Equal("document 7"))
	})

	// Guards against reporting a change as refused although it may still come into force.
	It("reports an unknown outcome when the leadership is lost or a change is not committed in time", func() {
		c := newControl().leads()
		lost, late := reply(), reply()
		c.give(putDesired{desired(7), lost})
		c.give(statusChanged{changelog.Status{ID: 1, Role: changelog.Follower, LastContact: c.time}})
		Expect(only(lost).err).To(MatchError(ErrUnavailable))
		c.leads()
		c.give(putDesired{desired(8), late})
		c.pass(answerLimit + 100*time.Millisecond)
		Expect(only(late).err).To(MatchError(ErrUnavailable))
	})

	// Guards against stale state returned by a host that is cut off.
	It("is not read from a host without contact, and reads on a follower are directed to the leader", func() {
		c := newControl()
		get := reply()
		c.give(getDesired{get})
		Expect(only(get).err).To(MatchError(ErrUnavailable))
		members := changelog.Membership{{ID: 2, Address: "127.0.0.1:2", Voter: true}}
		c.give(statusChanged{changelog.Status{ID: 1, Leader: 2, LastContact: c.time, Members: members}})
		c.give(getDesired{get})
		var elsewhere NotLeaderError
		Expect(errors.As(only(get).err, &elsewhere)).To(BeTrue())
		Expect(elsewhere.Address).To(Equal("127.0.0.1:2"))
		c.pass(contactAge + time.Second)
		c.give(getDesired{get})
		Expect(only(get).err).To(MatchError(ErrUnavailable))
	})
})

var _ = Describe("contact", func() {
	// Guards against entry hosts following a control host that has joined but still lacks entries.
	It("requires all entries that the leader has committed", func() {
		c := newControl()
		status := changelog.Status{ID: 1, Leader: 2, LastContact: c.time, Commit: 3, LeaderCommit: 5}
		c.give(statusChanged{status})
		Expect(c.inContact()).To(BeFalse())
		status.Commit = 5
		c.give(statusChanged{status})
		Expect(c.inContact()).To(BeTrue())
	})
})

var _ = Describe("a request to join", func() {
	// follows makes the host a follower of host 2.
	follows := func() *control {
		c := newControl()
		members := changelog.Membership{{ID: 1, Address: "127.0.0.1:1", Voter: true}, {ID: 2, Address: "127.0.0.1:2", Voter: true}}
		c.give(statusChanged{changelog.Status{ID: 1, Leader: 2, LastContact: c.time, Members: members}})
		for c.links.Depth() > 0 {
			_, _ = c.links.Get()
		}
		return c
	}
	joiner := changelog.Member{ID: 9, Address: "127.0.0.1:9", Domain: "b"}

	// Guards against a control host with an empty disk that never joins, so that the loss of two
	// more disks leaves no majority. It knows only the seeds, and the leader may not be one of them.
	It("is forwarded to the leader", func() {
		c := follows()
		c.give(joinRequest{member: joiner})
		Expect(c.links.Depth()).To(Equal(1))
		e, err := c.links.Get()
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
		c := follows()
		c.give(joinRequest{member: joiner, forwarded: true})
		Expect(c.links.Depth()).To(BeZero())
	})

	It("is stored by the leader", func() {
		c := newControl().leads()
		c.time += proposeInterval
		c.give(joinRequest{member: joiner, forwarded: true})
		Expect(c.joining).To(HaveKey(joiner.ID))
	})
})

var _ = Describe("followers", func() {
	// Guards against a control host that is busy for seconds when all entry hosts of a large site
	// come back at once, because each endpoint change is sent to each of them separately.
	It("get the changes of many endpoints in few updates", func() {
		c := newControl().leads()
		c.commit(desired(1))
		outs := map[int]*ring.Ring[[]byte]{}
		for i := range 100 {
			outs[i] = ring.New[[]byte]("out", followerCapacity, ring.DropNewest)
			c.give(follow{host: fmt.Sprint("host ", i), domain: "a", chosen: true, out: outs[i]})
		}
		u := &wirepb.EndpointUpdate{}
		for id := range uint64(150) {
			u.Reports = append(u.Reports, wire.EndpointToProto(endpoint(id+1), 0))
		}
		c.give(peerUpdate{u})
		c.pass(100 * time.Millisecond)
		for _, out := range outs {
			Expect(out.Depth()).To(BeNumerically("<=", 3))
		}
	})

	// Guards against an entry host that misses a change because it reads too slowly.
	It("get the full state again after an update was lost", func() {
		c := newControl().leads()
		out := ring.New[[]byte]("out", 3, ring.DropNewest)
		c.give(follow{host: "h", domain: "a", chosen: true, out: out})
		for version := range uint64(3) {
			c.commit(desired(version + 1))
		}
		Expect(c.followers[out].behind).To(BeTrue())
		for out.Depth() > 0 {
			_, _ = out.Get()
		}
		c.pass(100 * time.Millisecond)
		Expect(c.followers[out].behind).To(BeFalse())
		Expect(out.Depth()).To(Equal(2), "the full state in two parts")
	})

	// Guards against overloading a slow link with the full state of every control host that an entry
	// host asks before it chooses one.
	It("get only the first part before they choose", func() {
		c := newControl().leads()
		c.commit(desired(1))
		out := ring.New[[]byte]("out", followerCapacity, ring.DropNewest)
		c.give(follow{host: "h", domain: "a", out: out})
		c.commit(desired(2))
		Expect(out.Depth()).To(Equal(1))
		c.give(follow{host: "h", domain: "a", chosen: true, out: out})
		for out.Depth() > 0 {
			_, _ = out.Get()
		}
		c.give(tick{})
		Expect(out.Depth()).To(Equal(2), "the full state in two parts")
	})

	// Guards against an entry host on a slow link that disconnects before a large state has arrived
	// and then asks for it again.
	It("get a large state in parts, and no second copy while the first one is being sent", func() {
		c := newControl().leads()
		c.commit(desired(1))
		for id := range uint64(3000) {
			c.registry.Merge(endpoint(id + 1))
		}
		out := ring.New[[]byte]("out", followerCapacity, ring.DropNewest)
		c.give(follow{host: "h", domain: "a", chosen: true, out: out})
		parts := out.Depth()
		c.followers[out].behind = true
		c.give(tick{})
		Expect(out.Depth()).To(Equal(parts))
		for range parts {
			frame, err := out.Get()
			Expect(err).NotTo(HaveOccurred())
			Expect(len(frame)).To(BeNumerically("<", 64<<10))
		}
	})
})

var _ = Describe("demand", func() {
	demandOf := func(domain string, flows uint32) []*wirepb.Demand {
		return []*wirepb.Demand{{Service: "desk", Domain: domain, Flows: flows}}
	}
	// received returns the flows by failure domain in the latest demand sent to an entry host.
	received := func(out *ring.Ring[[]byte]) map[string]uint32 {
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
		c := newControl().leads()
		c.commit(desired(1))
		one := ring.New[[]byte]("one", followerCapacity, ring.DropNewest)
		two := ring.New[[]byte]("two", followerCapacity, ring.DropNewest)
		c.give(follow{host: "h1", domain: "a", chosen: true, out: one})
		c.give(follow{host: "h2", domain: "a", chosen: true, out: two})
		c.pass(time.Second)
		c.give(demandReported{out: one, demand: demandOf("a", 5)})
		c.give(demandReported{out: two, demand: demandOf("a", 7)})
		c.give(peerUpdate{&wirepb.EndpointUpdate{From: "127.0.0.1:2", Demand: demandOf("b", 30)}})
		c.pass(demandInterval)
		Expect(received(one)).To(Equal(map[string]uint32{"a": 12, "b": 30}))
	})

	// Guards against a failure domain that is cut off but looks idle, and so attracts flows that
	// then fail.
	It("is left out when it is not renewed", func() {
		c := newControl().leads()
		c.commit(desired(1))
		out := ring.New[[]byte]("out", followerCapacity, ring.DropNewest)
		c.give(follow{host: "h1", domain: "a", chosen: true, out: out})
		c.give(peerUpdate{&wirepb.EndpointUpdate{From: "127.0.0.1:2", Demand: demandOf("b", 30)}})
		c.pass(demandLife + time.Second)
		received(out)
		c.give(demandReported{out: out, demand: demandOf("a", 5)})
		c.pass(demandInterval)
		Expect(received(out)).To(Equal(map[string]uint32{"a": 5}))
	})
})

var _ = Describe("reports", func() {
	It("of an unknown service are refused once there is a desired state", func() {
		c := newControl().leads()
		c.commit(desired(1))
		r, foreign := reply(), endpoint(5)
		foreign.Service = "nobody"
		c.give(reported{endpoint: foreign, reply: r})
		Expect(only(r).err).To(BeAssignableToTypeOf(RefusedError{}))
		Expect(c.registry.Len()).To(BeZero())
	})

	// Guards against an acknowledged drain or deregistration that only one control host has.
	It("are sent to the other control hosts before they are acknowledged", func() {
		c := newControl().leads()
		for c.links.Depth() > 0 {
			_, _ = c.links.Get()
		}
		r, leaving := reply(), endpoint(5)
		leaving.State = registry.Draining
		c.give(reported{endpoint: leaving, reply: r})
		Expect(only(r).err).NotTo(HaveOccurred())
		Expect(c.links.Depth()).To(Equal(1))
	})
})
