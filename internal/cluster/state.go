package cluster

import (
	"fmt"
	"log/slog"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/registry"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/routing"
	"cassiawood/internal/voters"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// snapshotEvery is the number of entries between snapshots. Each entry holds a
	// whole desired state, so a short log saves memory and disk.
	snapshotEvery = 32
	// contactAge is the age of the last contact with a majority up to which this
	// host counts as in contact: the longest election timeout.
	contactAge = electionMax
	// joinInterval is the time between requests to be added to the log.
	joinInterval = 500 * time.Millisecond
	// joinMemory is how long the leader remembers a request to join.
	joinMemory = 2 * time.Second
	// proposeInterval covers the commit of a change of the membership.
	proposeInterval = 300 * time.Millisecond
)

// stateDuty owns the desired state, the registry of endpoints and, on the leader, the
// membership. It waits for no other duty.
type stateDuty struct {
	log      *slog.Logger
	settings Settings
	self     changelog.Member
	policy   voters.Policy
	clock    func() time.Duration
	logInbox *ring.Ring[replica.Event]
	links    *ring.Ring[linkEvent]
	files    *ring.Ring[[]byte] // snapshots of the registry
	metrics  *counters

	now       time.Duration
	routes    *routing.State
	index     uint64 // of the last applied entry
	compacted uint64
	registry  *registry.Registry
	status    changelog.Status
	seeds     []string

	followers   map[*ring.Ring[[]byte]]*follower
	unpublished map[uint64]bool // endpoints that changed since the last update to followers
	puts        []waitingPut
	gets        map[uint64]waitingGet // by context
	lastContext uint64

	joining    map[uint64]join
	domains    map[uint64]string // failure domain by identity, as the hosts have told
	proposedAt time.Duration
	joinAt     time.Duration
	alive      []*wirepb.SignOfLife // heard here since the last update to the others
	spreadAt   time.Duration
	peerDemand map[string]demandReport // by address of the control host
	demandAt   time.Duration           // when the demand was spread last
	changed    bool                    // the registry, since it was saved
	savedAt    time.Duration
	contact    bool // last state that was logged
}

type join struct {
	member changelog.Member
	at     time.Duration
}

type waitingPut struct {
	version uint64
	since   time.Duration
	reply   *ring.Ring[answer]
}

type waitingGet struct {
	since time.Duration
	reply *ring.Ring[answer]
}

func (d *stateDuty) handle(e event) error {
	d.now = d.clock()
	switch e := e.(type) {
	case tick:
		d.tick()
	case committed:
		return d.committed(e.Committed)
	case statusChanged:
		d.statusChanged(e.status)
	case readRefused:
		d.answerGet(e.context, answer{err: ErrUnavailable})
	case reported:
		d.reported(e)
	case putDesired:
		return d.put(e)
	case getDesired:
		d.get(e)
	case follow:
		d.follow(e)
	case unfollow:
		d.unfollow(e)
	case demandReported:
		if f, ok := d.followers[e.out]; ok {
			f.demand = demandReport{at: d.now, list: e.demand}
		}
	case peerUpdate:
		d.peerUpdate(e.update)
	case joinRequest:
		d.joinRequested(e)
	case seedsChanged:
		d.seeds = e.seeds
		d.log.Info("seeds changed", "seeds", e.seeds)
	}
	return nil
}

func (d *stateDuty) tick() {
	silent, forgotten := d.registry.Tick(d.now)
	for _, e := range silent {
		d.log.Info("endpoint is silent", "endpoint", e.Name, "service", e.Service, "ageMs", (d.now - e.LastReportAt).Milliseconds())
		d.changed, d.unpublished[e.ID] = true, true
	}
	d.publishEndpoints(forgotten)
	d.expire()
	d.changeMembership()
	d.askToJoin()
	d.spreadAlive()
	d.spreadDemand()
	d.saveRegistry()
	d.heartbeat()
	if contact := d.inContact(); contact != d.contact {
		d.contact = contact
		d.log.Info("contact with a majority", "contact", contact, "role", d.status.Role.String(), "leader", d.leaderAddress())
	}
}

func (d *stateDuty) isLeader() bool { return d.status.Role == changelog.Leader }

// inContact reports whether a majority was in contact lately, as the leader by its
// answers, else by the leader, which steps down without them, and whether this
// host has what the leader has committed.
func (d *stateDuty) inContact() bool {
	return d.status.Leader != 0 && d.status.Commit >= d.status.LeaderCommit && d.status.LastContact >= 0 && d.now-d.status.LastContact <= contactAge
}

func (d *stateDuty) leaderAddress() string {
	if m, ok := d.status.Members.Find(d.status.Leader); ok {
		return m.Address
	}
	return ""
}

func (d *stateDuty) statusChanged(s changelog.Status) {
	was := d.status
	d.status = s
	if membershipDiffers(was.Members, s.Members) {
		d.log.Info("membership", "members", fmt.Sprint(s.Members), "committed", !s.MembershipChanging)
		d.links.Offer(setMembers{members: s.Members})
		d.publishControlHosts()
	}
	if was.Role == changelog.Leader && s.Role != changelog.Leader {
		d.leadershipLost()
	}
}

func membershipDiffers(a, b changelog.Membership) bool { return fmt.Sprint(a) != fmt.Sprint(b) }

// committed applies entries in order and answers those who waited for them.
func (d *stateDuty) committed(c replica.Committed) error {
	if s := c.Snapshot; s != nil {
		routes, err := wire.DecodeRoutingState(s.State)
		if err != nil {
			return fmt.Errorf("install snapshot %d: %w", s.Index, err)
		}
		d.routes, d.index, d.compacted = routes, s.Index, s.Index
		d.log.Info("desired state installed from a snapshot", "index", s.Index, "version", routes.Desired().Version)
		d.publishTable()
	}
	applied := false
	for _, entry := range c.Entries {
		d.index = entry.Index
		if len(entry.Data) == 0 {
			continue
		}
		desired, err := wire.DecodeDesiredState(entry.Data)
		if err != nil {
			return fmt.Errorf("apply entry %d: %w", entry.Index, err)
		}
		took := d.routes.Apply(desired)
		applied = applied || took
		d.log.Info("desired state", "version", desired.Version, "inForce", d.routes.Desired().Version, "took", took,
			"index", entry.Index, "term", entry.Term, "routes", len(desired.Routes))
	}
	if applied {
		d.publishTable()
	}
	d.answerPuts()
	for _, context := range c.ConfirmedReads {
		d.answerGet(context, answer{desired: d.routes.Desired()})
	}
	return d.compact()
}

func (d *stateDuty) compact() error {
	if d.index < d.compacted+snapshotEvery {
		return nil
	}
	data, err := wire.EncodeRoutingState(d.routes)
	if err != nil {
		return err
	}
	if d.logInbox.Offer(replica.Compact{Index: d.index, State: data}) {
		d.compacted = d.index
	}
	return nil
}

// askToJoin asks the known control hosts to add this one, as long as no leader
// sends it entries.
func (d *stateDuty) askToJoin() {
	if d.status.Leader != 0 || d.now < d.joinAt {
		return
	}
	d.joinAt = d.now + joinInterval
	request := joinEnvelope(d.self, false)
	asked := map[string]bool{d.self.Address: true}
	ask := func(address string) {
		if !asked[address] {
			asked[address] = true
			d.links.Offer(sendTo{address: address, envelope: request})
		}
	}
	for _, m := range d.status.Members {
		ask(m.Address)
	}
	for _, seed := range d.seeds {
		ask(seed)
	}
}

func joinEnvelope(m changelog.Member, forwarded bool) *wirepb.Envelope {
	return &wirepb.Envelope{Body: &wirepb.Envelope_JoinRequest{
		JoinRequest: &wirepb.JoinRequest{Id: m.ID, Address: m.Address, Domain: m.Domain, Forwarded: forwarded},
	}}
}

// joinRequested remembers a host that asks to join. A host that does not lead hands the request
// on to the leader, which the asking host may not know.
func (d *stateDuty) joinRequested(e joinRequest) {
	if d.isLeader() {
		d.joining[e.member.ID] = join{e.member, d.now}
		d.changeMembership()
		return
	}
	if leader := d.leaderAddress(); leader != "" && !e.forwarded {
		d.log.Info("request to join handed on", "host", e.member.Address, "id", e.member.ID, "leader", leader)
		d.links.Offer(sendTo{address: leader, envelope: joinEnvelope(e.member, true)})
	}
}

// changeMembership proposes the next change of the membership, one at a time.
func (d *stateDuty) changeMembership() {
	if !d.isLeader() || d.status.MembershipChanging || d.now-d.proposedAt < proposeInterval {
		return
	}
	view := voters.View{
		Self: d.self.ID, Members: d.status.Members, MatchIndex: d.status.MatchIndex, CommitIndex: d.status.Commit,
		SinceContact: map[uint64]time.Duration{}, Domains: d.domains,
	}
	for id, contact := range d.status.MemberContact {
		view.SinceContact[id] = d.now - contact
	}
	for id, j := range d.joining {
		if d.now-j.at > joinMemory {
			delete(d.joining, id)
			continue
		}
		view.Joining = append(view.Joining, j.member)
	}
	next, reason, ok := d.policy.Next(view)
	if !ok {
		return
	}
	d.proposedAt = d.now
	d.log.Info("membership changes", "reason", reason, "from", fmt.Sprint(d.status.Members), "to", fmt.Sprint(next))
	d.logInbox.Offer(replica.ProposeMembers{Members: next})
}
