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
	// snapshotEvery is the number of log entries between snapshots. Each entry holds a
	// complete desired state, so a short log saves memory and disk space.
	snapshotEvery = 32
	// contactAge is the maximum age of the last contact with a majority for this host
	// to count as in contact: the longest election timeout.
	contactAge = electionMax
	// joinInterval is the time between requests of this host to join the membership.
	joinInterval = 500 * time.Millisecond
	// joinMemory is how long the leader keeps a join request.
	joinMemory = 2 * time.Second
	// proposeInterval is the minimum time between proposed membership changes. It is long
	// enough for one to be committed.
	proposeInterval = 300 * time.Millisecond
)

// stateDuty owns the desired state, the registry of endpoints and, on the leader, the
// membership changes. It never waits for another duty.
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
	index     uint64 // of the last applied log entry
	compacted uint64 // index of the last snapshot
	registry  *registry.Registry
	status    changelog.Status
	seeds     []string

	followers   map[*ring.Ring[[]byte]]*follower
	unpublished map[uint64]bool // IDs of endpoints that changed since the last update to entry hosts
	puts        []waitingPut
	gets        map[uint64]waitingGet // by read context
	lastContext uint64

	joining    map[uint64]join         // by member ID
	domains    map[uint64]string       // failure domain by member ID, as reported by the hosts
	proposedAt time.Duration           // last proposed membership change
	joinAt     time.Duration           // next join request
	alive      []*wirepb.SignOfLife    // received since the last update to the other control hosts
	spreadAt   time.Duration           // last broadcast of alive
	peerDemand map[string]demandReport // by address of the control host
	demandAt   time.Duration           // last broadcast of the demand
	changed    bool                    // the registry has changed since it was saved
	savedAt    time.Duration           // last save of the registry
	contact    bool                    // last logged result of inContact
}

// join is a request to join the membership.
type join struct {
	member changelog.Member
	at     time.Duration
}

// waitingPut is a write that waits for the commit of its version.
type waitingPut struct {
	version uint64
	since   time.Duration
	reply   *ring.Ring[answer]
}

// waitingGet is a read that waits for confirmation by a majority.
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

// inContact reports whether this host is in contact with a majority and has everything that
// the leader has committed. The leader is in contact through the replies of the members, and a
// follower through the leader, which steps down when it loses its majority.
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

// committed applies log entries in order and answers the requests that waited for them.
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
		desired, err := wire.DecodeDesired(entry.Data)
		if err != nil {
			return fmt.Errorf("apply entry %d: %w", entry.Index, err)
		}
		took := d.routes.Apply(desired)
		applied = applied || took
		d.log.Info("desired state committed", "version", desired.Version, "inForce", d.routes.Desired().Version, "took", took,
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

// compact hands a snapshot to the log duty after every snapshotEvery entries. If the inbox is
// full, it tries again with the next entry.
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

// askToJoin sends a join request to all known control hosts while this host has no leader.
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

// joinRequested stores a join request on the leader. Other hosts forward it to the leader, whose
// address the joining host may not know.
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

// changeMembership proposes the next membership change, one at a time.
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
