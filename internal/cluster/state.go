package cluster

import (
	"fmt"
	"log/slog"
	"slices"
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
	// entriesPerSnapshot is the number of log entries between snapshots. Each entry holds a
	// complete desired state, so a short log saves memory and disk space.
	entriesPerSnapshot = 32
	// maxContactAge is the maximum age of the last contact with a majority for this host
	// to count as in contact: the longest election timeout.
	maxContactAge = electionTimeoutMax
	// joinInterval is the time between requests of this host to join the membership.
	joinInterval = 500 * time.Millisecond
	// joinRequestLifetime is how long the leader keeps a join request.
	joinRequestLifetime = 2 * time.Second
	// leavingLifetime is how long a member counts as being stopped after it has said so. It is longer than
	// maxContactAge, so that the member is not in contact any more when it ends.
	leavingLifetime = 2 * time.Second
	// proposalTimeout is how long the leader waits until a membership change that it has proposed is in its
	// log. The proposal may have been rejected.
	proposalTimeout = 300 * time.Millisecond
)

// stateDuty owns the desired state, the registry of endpoints and, on the leader, the
// membership changes. It never waits for another duty.
type stateDuty struct {
	log               *slog.Logger
	settings          Settings
	self              changelog.Member
	policy            voters.Policy
	clock             func() time.Duration
	logInbox          *ring.Ring[replica.Event]
	linksInbox        *ring.Ring[linkEvent]
	registrySnapshots *ring.Ring[[]byte] // snapshots of the registry
	metrics           *counters

	now           time.Duration
	routes        *routing.State
	appliedIndex  uint64 // of the last applied log entry
	snapshotIndex uint64 // index of the last snapshot
	registry      *registry.Registry
	comparison    registry.Comparison // of the registry with those of other control hosts
	evacuation    evacuationState
	startedAt     time.Duration
	status        changelog.Status
	lag           applyLag
	seeds         []string

	subscribers          map[*ring.Ring[[]byte]]*subscriber
	lastFullState        encodedFullState
	unpublishedEndpoints map[uint64]bool // IDs of endpoints that changed since the last update to entry hosts
	pendingPuts          []pendingPut
	pendingGets          map[uint64]pendingGet // by read context
	lastReadContext      uint64

	joinRequests         map[uint64]pendingJoin   // by member ID
	memberDomains        map[uint64]string        // failure domain by member ID, as reported by the hosts
	earlierDomains       map[string]bool          // failure domains of hosts that have left the membership since the start
	leavingSaidAt        map[uint64]time.Duration // by member ID, when the host last said that it is being stopped
	proposedMembers      changelog.Membership     // last proposed membership change
	membershipProposedAt time.Duration
	nextJoinAt           time.Duration           // next join request
	signsOfLife          []*wirepb.SignOfLife    // received since the last update to the other control hosts
	signsOfLifeSentAt    time.Duration           // last broadcast of signsOfLife
	peerDemand           map[string]demandReport // by address of the control host
	demandSentAt         time.Duration           // last broadcast of the demand
	delays               sharedDelays
	steering             steering
	coldGrants           coldGrants
	rotation             rotationRounds
	firstStart           firstStart
	registryChanged      bool          // the registry has changed since it was saved
	endpointLeft         bool          // so has an endpoint's state, to draining or gone
	registrySavedAt      time.Duration // last save of the registry
	isStopping           bool          // new requests are refused
	loggedContact        bool          // last logged result of hasMajorityContact
}

// pendingJoin is a request to join the membership.
type pendingJoin struct {
	member      changelog.Member
	requestedAt time.Duration
}

// pendingPut is a write that waits for the commit of its version.
type pendingPut struct {
	version uint64
	since   time.Duration
	reply   *ring.Ring[answer]
}

// pendingGet is a read that waits for confirmation by a majority.
type pendingGet struct {
	since time.Duration
	reply *ring.Ring[answer]
}

func (d *stateDuty) handle(e event) error {
	d.now = d.clock()
	switch e := e.(type) {
	case tick:
		d.tick()
		return d.retryOrders()
	case committed:
		return d.applyCommitted(e.Committed)
	case statusChanged:
		d.updateStatus(e.status)
		return d.retryOrders()
	case readRefused:
		d.answerGet(e.context, answer{err: ErrUnavailable})
	case endpointReported:
		d.handleReport(e)
	case putDesired:
		return d.handlePut(e)
	case getDesired:
		d.handleGet(e)
	case orderEvacuation:
		return d.handleOrder(pendingOrder{orderEvacuation: e, since: d.now})
	case subscribe:
		d.addSubscriber(e)
	case unsubscribe:
		d.removeSubscriber(e)
	case demandReported:
		d.handleDemand(e)
	case peerUpdate:
		d.mergePeerUpdate(e.update)
	case joinRequest:
		d.handleJoinRequest(e)
	case stopping:
		d.handleStopping(e)
	case grantsSaved:
		d.coldGrants.savedRevision = max(d.coldGrants.savedRevision, e.revision)
	case seedsChanged:
		d.seeds = e.seeds
		d.log.Info("seeds changed", "seeds", e.seeds)
	case domainRegionsChanged:
		d.settings.DomainRegions = e.regions
	}
	return nil
}

func (d *stateDuty) tick() {
	silent, forgotten := d.registry.Tick(d.now)
	for _, e := range silent {
		d.log.Info("endpoint is silent", "endpoint", e.Name, "service", e.Service, "ageMs", (d.now - e.LastReportAt).Milliseconds(), "left", e.HasLeft())
		d.registryChanged, d.unpublishedEndpoints[e.ID], d.lastFullState.frames = true, true, nil
	}
	d.publishEndpoints(forgotten)
	d.issueColdGrants() // after the endpoints, which the grants refer to
	d.expirePending()
	d.expireOrders()
	d.changeMembership()
	d.requestJoin()
	d.observeFirstStart()
	d.broadcastSignsOfLife()
	d.steering.expire(d.now)
	d.expireRounds()
	d.broadcastDemand()
	d.shareDelays()
	d.saveRegistry()
	d.observeLag()
	d.sendHeartbeats()
	if contact := d.hasMajorityContact(); contact != d.loggedContact {
		d.loggedContact = contact
		d.log.Info("contact with a majority", "contact", contact, "role", d.status.Role.String(), "leader", d.leaderAddress())
	}
}

func (d *stateDuty) isLeader() bool { return d.status.Role == changelog.Leader }

// hasMajorityContact reports whether this host is in contact with a majority and has everything
// that the leader has committed. The leader is in contact through the replies of the members, and a
// follower through the leader, which steps down when it loses its majority.
func (d *stateDuty) hasMajorityContact() bool {
	return d.status.Leader != 0 && d.status.Commit >= d.status.LeaderCommit && d.status.LastContact >= 0 && d.now-d.status.LastContact <= maxContactAge
}

// isCurrent reports whether entry hosts may rely on this host: it is in contact with a majority, knows what that has committed and applies it
// in time.
func (d *stateDuty) isCurrent() bool {
	return d.hasMajorityContact() && !d.status.CommitIsUncertain && !d.lag.isBehind
}

// observeLag tells the entry hosts when this host begins or ceases to be behind.
func (d *stateDuty) observeLag() {
	if !d.lag.observe(d.now, d.appliedIndex, d.status.Commit) {
		return
	}
	d.log.Warn("behind the majority", "behind", d.lag.isBehind, "applied", d.appliedIndex, "committed", d.status.Commit, "maxApplyMs", maxApplyTime.Milliseconds())
	d.publish(&wirepb.EdgeUpdate{})
}

func (d *stateDuty) leaderAddress() string {
	if m, ok := d.status.Members.Find(d.status.Leader); ok {
		return m.Address
	}
	return ""
}

func (d *stateDuty) updateStatus(s changelog.Status) {
	previous := d.status
	d.status = s
	if membershipDiffers(previous.Members, s.Members) {
		d.log.Info("membership", "members", fmt.Sprint(s.Members), "committed", !s.MembershipChanging)
		d.linksInbox.Offer(membersChanged{members: s.Members})
		for _, m := range previous.Members {
			for _, domain := range []string{m.Domain, d.memberDomains[m.ID]} {
				if _, isMember := s.Members.Find(m.ID); !isMember && domain != "" {
					d.earlierDomains[domain] = true
				}
			}
			if !slices.ContainsFunc(s.Members, func(o changelog.Member) bool { return o.Address == m.Address }) {
				d.comparison.Forget(m.Address)
				delete(d.evacuation.supporters, m.Address)
			}
		}
		d.pruneMemberDomains()
		d.publishControlHosts()
	}
	if previous.Role == changelog.Leader && s.Role != changelog.Leader {
		d.failPending()
	}
	if previous.Term != s.Term || s.Role != changelog.Leader {
		d.failOrders()
	}
	if !s.MembershipChanging && previous.MembershipChanging {
		d.changeMembership()
	}
}

// pruneMemberDomains removes the failure domains of hosts that have left the membership.
func (d *stateDuty) pruneMemberDomains() {
	for id := range d.memberDomains {
		_, isMember := d.status.Members.Find(id)
		if _, isJoining := d.joinRequests[id]; !isMember && !isJoining && id != d.self.ID {
			delete(d.memberDomains, id)
		}
	}
}

func membershipDiffers(a, b changelog.Membership) bool { return fmt.Sprint(a) != fmt.Sprint(b) }

// handleStopping refuses requests from now on, has the leader give the vote of this host to a standby, and
// reports for how many requests and votes the host waits.
func (d *stateDuty) handleStopping(e stopping) {
	if !d.isStopping {
		d.isStopping = true
		d.log.Info("stopping", "role", d.status.Role.String(), "writesInProgress", len(d.pendingPuts), "readsInProgress", len(d.pendingGets), "ordersInProgress", len(d.evacuation.proposed),
			"voteToHandOver", d.hasVoteToHandOver())
		d.signsOfLifeSentAt = d.now - signOfLifeInterval
		d.broadcastSignsOfLife()
	}
	d.recordLeaving(d.self.ID, d.self.Address)
	if e.final {
		d.failPending()
		d.failOrders()
	}
	waitsFor := len(d.pendingPuts) + len(d.pendingGets) + len(d.evacuation.proposed)
	if d.hasVoteToHandOver() {
		waitsFor++
	}
	e.reply.Offer(waitsFor)
}

// recordLeaving records that a member is being stopped. The leader replaces it while it still answers: after
// its end, the loss of one more host would end the majority until another one has its vote.
func (d *stateDuty) recordLeaving(id uint64, address string) {
	if _, known := d.leavingSaidAt[id]; !known {
		d.log.Info("control host is being stopped", "host", address, "id", id)
	}
	d.leavingSaidAt[id] = d.now
	d.changeMembership()
}

// hasVoteToHandOver reports whether this host is a voter, or may still count as one, while its vote can be taken from it.
func (d *stateDuty) hasVoteToHandOver() bool {
	self, ok := d.status.Members.Find(d.self.ID)
	if !ok || !self.Voter && !d.status.MembershipChanging {
		return false
	}
	leaving := map[uint64]bool{}
	for id := range d.leavingSaidAt {
		leaving[id] = true
	}
	return d.status.MembershipChanging || d.policy.CanRelieve(d.status.Members, leaving, d.self.ID)
}

// applyCommitted applies log entries in order and answers the requests that waited for them.
func (d *stateDuty) applyCommitted(c replica.Committed) error {
	if s := c.Snapshot; s != nil {
		routes, err := wire.DecodeRoutingState(s.State)
		if err != nil {
			return fmt.Errorf("install snapshot %d: %w", s.Index, err)
		}
		d.routes, d.appliedIndex, d.snapshotIndex = routes, s.Index, s.Index
		d.log.Info("desired state installed from a snapshot", "index", s.Index, "version", routes.Desired().Version)
		d.publishTable()
		d.publishEvacuations()
	}
	applied := false
	for _, entry := range c.Entries {
		d.appliedIndex = entry.Index
		if len(entry.Data) == 0 {
			continue
		}
		desired, order, err := wire.DecodeRoutingEntry(entry.Data)
		if err != nil {
			return fmt.Errorf("apply entry %d: %w", entry.Index, err)
		}
		if order != nil {
			d.applyEvacuation(*order, entry)
			continue
		}
		accepted := d.routes.Apply(desired)
		applied = applied || accepted
		d.log.Info("desired state committed", "version", desired.Version, "inForce", d.routes.Desired().Version, "took", accepted,
			"index", entry.Index, "term", entry.Term, "routes", len(desired.Routes))
	}
	if applied {
		d.publishTable()
	}
	d.answerPuts()
	for _, context := range c.ConfirmedReads {
		d.answerGet(context, answer{desired: d.routes.Desired()})
	}
	return d.offerSnapshot()
}

// offerSnapshot hands a snapshot to the log duty after every entriesPerSnapshot entries. If the
// inbox is full, it tries again with the next entry.
func (d *stateDuty) offerSnapshot() error {
	if d.appliedIndex < d.snapshotIndex+entriesPerSnapshot {
		return nil
	}
	data, err := wire.EncodeRoutingState(d.routes)
	if err != nil {
		return err
	}
	if d.logInbox.Offer(replica.Compact{Index: d.appliedIndex, State: data}) {
		d.snapshotIndex = d.appliedIndex
	}
	return nil
}
