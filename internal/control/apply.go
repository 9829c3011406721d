package control

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"cassiawood/internal/audit"
	"cassiawood/internal/changelog"
	"cassiawood/internal/directory"
	"cassiawood/internal/member"
	"cassiawood/internal/replica"
	"cassiawood/internal/ring"
	"cassiawood/internal/telemetry"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// entriesPerSnapshot is the number of entries between two snapshots. Replaying that
	// many entries takes well under a second.
	entriesPerSnapshot = 1000
	// maxWindowEntries is the number of recent entries kept for followers, here and in
	// the log. A follower that is further behind gets a snapshot.
	maxWindowEntries = 4096
	// maxContactAge is the maximum age of the quorum's last answer at which a leader
	// still confirms contact. It equals the shortest election timeout, because a
	// leader whose quorum has been silent for longer may have been replaced.
	maxContactAge = electionTimeoutMin
	// declareInterval is the minimum time between two rounds of proposals by
	// declareDomains. It is long enough for a proposal to be committed.
	declareInterval = time.Second
)

// applyEvent is an event in the inbox of the apply duty.
type applyEvent interface{ isApplyEvent() }

type (
	tickEvent      struct{ now time.Duration }
	committedEvent struct {
		entries  []changelog.Entry
		snapshot *changelog.Snapshot // replaces the state when set
	}
	statusEvent struct{ status changelog.Status }
	followEvent struct {
		fromIndex    uint64
		host, domain string
		incarnation  uint64
		out          *ring.Ring[*wirepb.Envelope]
	}
	unfollowEvent     struct{ out *ring.Ring[*wirepb.Envelope] }
	acknowledgedEvent struct {
		host        string
		incarnation uint64
		index       uint64
		sentNs      int64
		out         *ring.Ring[*wirepb.Envelope]
	}
	proposeEvent struct {
		request *wirepb.ProposeRequest
		out     *ring.Ring[*wirepb.Envelope]
	}
	// queryEvent runs a function of the operator API or the status page in the apply duty.
	queryEvent struct{ run func(*applyDuty) }
)

func (tickEvent) isApplyEvent()         {}
func (committedEvent) isApplyEvent()    {}
func (statusEvent) isApplyEvent()       {}
func (followEvent) isApplyEvent()       {}
func (unfollowEvent) isApplyEvent()     {}
func (acknowledgedEvent) isApplyEvent() {}
func (proposeEvent) isApplyEvent()      {}
func (queryEvent) isApplyEvent()        {}

// follower is an entry host that receives the committed entries from this control host.
type follower struct {
	host, domain string
	incarnation  uint64
	nextIndex    uint64 // index of the entry to send next
}

// applyDuty applies committed entries to the directory and, on the leader, runs
// the leases. It never waits for the other duties except for the audit trail,
// which must not lose a record.
type applyDuty struct {
	log             *slog.Logger
	logInbox        *ring.Ring[replica.Event]
	auditInbox      *ring.Ring[audit.Record]
	linkAddresses   map[uint64]string // link address of each control host, by ID
	operatorURLs    map[uint64]string // URL of each control host's operator API, by ID
	controlDomains  map[uint64]string // failure domain of each control host, by ID
	settingsDomains []string          // failure domains in the settings
	clock           func() time.Duration

	state            *directory.State
	leases           *member.Leases
	pendingReplies   map[uint64]replyTarget // targets of pending replies, by reply ID
	lastReplyID      uint64
	status           changelog.Status
	window           []*wirepb.Entry // the most recent entries, for followers
	snapshotIndex    uint64          // index of the last snapshot
	followers        map[*ring.Ring[*wirepb.Envelope]]*follower
	acknowledgements map[string]acknowledgement // by name of the entry host
	waitingSaves     map[string][]waitingSave   // saves without an answer yet, by change ID
	lastDeclaredAt   time.Duration              // when a failure domain of the settings was last proposed
	recentChanges    []telemetry.ChangeStatus   // newest first, for the status page
	now              time.Duration
}

func (d *applyDuty) handle(e applyEvent) error {
	d.now = d.clock()
	var err error
	switch e := e.(type) {
	case tickEvent:
		d.handleTick()
	case committedEvent:
		err = d.handleCommitted(e)
	case statusEvent:
		d.handleStatus(e.status)
	case followEvent:
		err = d.handleFollow(e)
	case unfollowEvent:
		delete(d.followers, e.out)
	case acknowledgedEvent:
		d.handleAcknowledged(e)
	case proposeEvent:
		d.handlePropose(e)
	case queryEvent:
		e.run(d)
	}
	return err
}

func (d *applyDuty) handleTick() {
	d.stepLeases(member.Tick{})
	d.declareDomains()
	for out, f := range d.followers {
		d.sendNewEntries(out, f)
	}
	d.reproposeSaves()
	d.expireWaitingSaves()
}

// declareDomains proposes the failure domains of the settings that the directory
// does not have, so that a change also waits for a domain whose hosts have not
// joined yet.
func (d *applyDuty) declareDomains() {
	if !d.leases.Leading() || d.now-d.lastDeclaredAt < declareInterval {
		return
	}
	for _, domain := range d.undeclaredDomains() {
		d.lastDeclaredAt = d.now
		d.propose(directory.DomainService{Domain: domain, Author: "settings"})
	}
}

// undeclaredDomains returns the failure domains of the settings that the directory
// does not have.
func (d *applyDuty) undeclaredDomains() []string {
	known := d.state.DomainsInService()
	return slices.DeleteFunc(slices.Clone(d.settingsDomains), func(domain string) bool {
		return slices.Contains(known, domain) || d.state.DomainOutOfService(domain)
	})
}

// handleCommitted installs the snapshot, if there is one, and applies the entries in order.
func (d *applyDuty) handleCommitted(e committedEvent) error {
	if e.snapshot != nil {
		if err := d.installSnapshot(e.snapshot); err != nil {
			return err
		}
	}
	for _, entry := range e.entries {
		decoded, err := wire.DecodeEntry(entry.Index, entry.At, entry.Data)
		if err != nil {
			return fmt.Errorf("decode log entry %d: %w", entry.Index, err)
		}
		decided := decidedChange(d.state, decoded.Command)
		outcome := d.state.Apply(decoded)
		d.window = append(d.window, wire.EntryToProto(entry.Index, entry.At, entry.Data))
		if record, ok := auditRecord(decoded, outcome, decided); ok {
			d.appendAudit(record)
			d.addRecentChange(record)
		}
		d.stepLeases(member.Committed{Command: decoded.Command, Outcome: outcome})
	}
	if excess := len(d.window) - maxWindowEntries; excess > 0 {
		d.window = append([]*wirepb.Entry(nil), d.window[excess:]...)
	}
	d.answerDecidedSaves()
	return d.compactLog()
}

func (d *applyDuty) installSnapshot(s *changelog.Snapshot) error {
	state, err := decodeState(s.State)
	if err != nil {
		return fmt.Errorf("install snapshot %d: %w", s.Index, err)
	}
	d.state, d.window, d.snapshotIndex = state, nil, s.Index
	d.leases = member.New(state)
	d.log.Info("directory installed from a snapshot", "index", s.Index)
	return nil
}

func decodeState(data []byte) (*directory.State, error) {
	snapshot, err := wire.DecodeDirectoryState(data)
	if err != nil {
		return nil, err
	}
	return directory.FromSnapshot(snapshot)
}

func (d *applyDuty) compactLog() error {
	if d.state.Index() < d.snapshotIndex+entriesPerSnapshot {
		return nil
	}
	data, err := wire.EncodeDirectoryState(d.state.Snapshot())
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if d.logInbox.Offer(replica.Compact{Index: d.state.Index(), State: data}) {
		d.snapshotIndex = d.state.Index()
	}
	return nil
}

func (d *applyDuty) handleStatus(s changelog.Status) {
	d.status = s
	switch isLeader := s.Role == changelog.Leader; {
	case isLeader && !d.leases.Leading():
		d.stepLeases(member.BecameLeader{})
	case !isLeader && d.leases.Leading():
		d.stepLeases(member.LostLeadership{})
		d.failWaitingSaves()
	}
}

// handleFollow registers an entry host as a follower. If it needs an entry outside the
// window, it gets a snapshot first.
func (d *applyDuty) handleFollow(e followEvent) error {
	f := &follower{host: e.host, domain: e.domain, incarnation: e.incarnation, nextIndex: e.fromIndex}
	d.followers[e.out] = f
	if f.nextIndex < d.windowStart() || f.nextIndex > d.state.Index()+1 {
		data, err := wire.EncodeDirectoryState(d.state.Snapshot())
		if err != nil {
			return fmt.Errorf("encode snapshot: %w", err)
		}
		snapshot := &wirepb.Snapshot{Index: d.state.Index(), State: data}
		e.out.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_Snapshot{Snapshot: snapshot}})
		f.nextIndex = d.state.Index() + 1
	}
	d.sendNewEntries(e.out, f)
	return nil
}

// windowStart returns the index of the first entry that followers can still get.
func (d *applyDuty) windowStart() uint64 { return d.state.Index() + 1 - uint64(len(d.window)) }

// sendNewEntries sends a follower the entries that it does not have yet.
func (d *applyDuty) sendNewEntries(out *ring.Ring[*wirepb.Envelope], f *follower) {
	if f.nextIndex > d.state.Index() {
		return
	}
	d.sendBatch(out, f, 0)
}

func (d *applyDuty) sendBatch(out *ring.Ring[*wirepb.Envelope], f *follower, echoNs int64) {
	batch := &wirepb.EntryBatch{Committed: d.state.Index(), EchoNs: echoNs, LeaderContact: d.hasQuorum()}
	if !d.leases.Leading() {
		batch.Leader = d.linkAddresses[d.status.Leader]
	}
	if f.nextIndex >= d.windowStart() && f.nextIndex <= d.state.Index() {
		batch.Entries = d.window[f.nextIndex-d.windowStart():]
	}
	if out.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_EntryBatch{EntryBatch: batch}}) {
		f.nextIndex = d.state.Index() + 1
	}
}

// hasQuorum reports whether this host is the leader and a quorum answered it
// recently enough that no other leader can have been elected.
func (d *applyDuty) hasQuorum() bool {
	return d.leases.Leading() && d.now-d.status.LastContact <= maxContactAge
}

func (d *applyDuty) followerDomain(e acknowledgedEvent) string {
	if f, ok := d.followers[e.out]; ok {
		return f.domain
	}
	return ""
}

func (d *applyDuty) handleAcknowledged(e acknowledgedEvent) {
	d.acknowledgements[e.host] = acknowledgement{
		incarnation: e.incarnation, domain: d.followerDomain(e), index: e.index, at: d.now,
	}
	d.stepLeases(member.HostApplied{Name: e.host, Incarnation: e.incarnation, Index: e.index})
	if f, ok := d.followers[e.out]; ok {
		d.sendBatch(e.out, f, e.sentNs)
	}
	d.answerDecidedSaves()
}
