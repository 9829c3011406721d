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
	// snapshotEvery is the number of entries between two snapshots. Replaying that
	// many entries takes well under a second.
	snapshotEvery = 1000
	// windowEntries is the number of recent entries kept for followers, here and in
	// the log. A follower that is further behind gets a snapshot.
	windowEntries = 4096
	// contactAge is the maximum age of the quorum's last answer at which a leader
	// still confirms contact. It equals the shortest election timeout, because a
	// leader whose quorum has been silent for longer may have been replaced.
	contactAge = electionMin
	// declareInterval is the minimum time between two rounds of proposals by
	// declareDomains. It is long enough for a proposal to be committed.
	declareInterval = time.Second
)

// applyEvent is an event in the inbox of the apply duty.
type applyEvent interface{ isApplyEvent() }

type (
	applyTick      struct{ now time.Duration }
	applyCommitted struct {
		entries  []changelog.Entry
		snapshot *changelog.Snapshot // replaces the state when set
	}
	applyStatus struct{ status changelog.Status }
	applyFollow struct {
		from         uint64
		host, domain string
		incarnation  uint64
		out          *ring.Ring[*wirepb.Envelope]
	}
	applyUnfollow     struct{ out *ring.Ring[*wirepb.Envelope] }
	applyAcknowledged struct {
		host        string
		incarnation uint64
		index       uint64
		sentNs      int64
		out         *ring.Ring[*wirepb.Envelope]
	}
	applyPropose struct {
		request *wirepb.ProposeRequest
		out     *ring.Ring[*wirepb.Envelope]
	}
	// applyQuery runs a function of the operator API or the status page in the apply duty.
	applyQuery struct{ run func(*applyDuty) }
)

func (applyTick) isApplyEvent()         {}
func (applyCommitted) isApplyEvent()    {}
func (applyStatus) isApplyEvent()       {}
func (applyFollow) isApplyEvent()       {}
func (applyUnfollow) isApplyEvent()     {}
func (applyAcknowledged) isApplyEvent() {}
func (applyPropose) isApplyEvent()      {}
func (applyQuery) isApplyEvent()        {}

// follower is an entry host that receives the committed entries from this control host.
type follower struct {
	host, domain string
	incarnation  uint64
	next         uint64 // index of the entry to send next
}

// applyDuty applies committed entries to the directory and, on the leader, runs
// the leases. It never waits for the other duties except for the audit trail,
// which must not lose a record.
type applyDuty struct {
	log            *slog.Logger
	logInbox       *ring.Ring[replica.Event]
	audit          *ring.Ring[audit.Record]
	addresses      map[uint64]string // link address of each control host, by ID
	operators      map[uint64]string // URL of each control host's operator API, by ID
	controlDomains map[uint64]string // failure domain of each control host, by ID
	domains        []string          // failure domains in the settings
	clock          func() time.Duration

	state     *directory.State
	leases    *member.Leases
	replies   map[uint64]replyTo // targets of pending replies, by the request ID passed to the leases
	nextReply uint64
	status    changelog.Status
	window    []*wirepb.Entry // the most recent entries, for followers
	compacted uint64          // index of the last snapshot
	followers map[*ring.Ring[*wirepb.Envelope]]*follower
	confirmed map[string]confirmation  // by name of the entry host
	waiting   map[string][]waiter      // saves without an answer yet, by change ID
	declared  time.Duration            // when a failure domain of the settings was last proposed
	changes   []telemetry.ChangeStatus // newest first, for the status page
	now       time.Duration
}

func (d *applyDuty) handle(e applyEvent) error {
	d.now = d.clock()
	var err error
	switch e := e.(type) {
	case applyTick:
		d.tick()
	case applyCommitted:
		err = d.committed(e)
	case applyStatus:
		d.statusChanged(e.status)
	case applyFollow:
		err = d.follow(e)
	case applyUnfollow:
		delete(d.followers, e.out)
	case applyAcknowledged:
		d.acknowledged(e)
	case applyPropose:
		d.proposeFor(e)
	case applyQuery:
		e.run(d)
	}
	return err
}

func (d *applyDuty) tick() {
	d.step(member.Tick{})
	d.declareDomains()
	for out, f := range d.followers {
		d.serve(out, f)
	}
	d.repropose()
	d.expireWaiting()
}

// declareDomains proposes the failure domains of the settings that the directory
// does not have, so that a change also waits for a domain whose hosts have not
// joined yet.
func (d *applyDuty) declareDomains() {
	if !d.leases.Leading() || d.now-d.declared < declareInterval {
		return
	}
	for _, domain := range d.undeclared() {
		d.declared = d.now
		d.propose(directory.DomainService{Domain: domain, Author: "settings"})
	}
}

// undeclared returns the failure domains of the settings that the directory
// does not have.
func (d *applyDuty) undeclared() []string {
	known := d.state.DomainsInService()
	return slices.DeleteFunc(slices.Clone(d.domains), func(domain string) bool {
		return slices.Contains(known, domain) || d.state.DomainOutOfService(domain)
	})
}

// committed installs the snapshot, if there is one, and applies the entries in order.
func (d *applyDuty) committed(e applyCommitted) error {
	if e.snapshot != nil {
		if err := d.install(e.snapshot); err != nil {
			return err
		}
	}
	for _, entry := range e.entries {
		decoded, err := wire.EntryFromData(entry.Index, entry.At, entry.Data)
		if err != nil {
			return fmt.Errorf("decode log entry %d: %w", entry.Index, err)
		}
		decided := decidedChange(d.state, decoded.Command)
		outcome := d.state.Apply(decoded)
		d.window = append(d.window, wire.EntryToProto(entry.Index, entry.At, entry.Data))
		if record, ok := auditRecord(decoded, outcome, decided); ok {
			d.record(record)
			d.noteChange(record)
		}
		d.step(member.Committed{Command: decoded.Command, Outcome: outcome})
	}
	if excess := len(d.window) - windowEntries; excess > 0 {
		d.window = append([]*wirepb.Entry(nil), d.window[excess:]...)
	}
	d.answerWaiting()
	return d.compact()
}

func (d *applyDuty) install(s *changelog.Snapshot) error {
	state, err := decodeState(s.State)
	if err != nil {
		return fmt.Errorf("install snapshot %d: %w", s.Index, err)
	}
	d.state, d.window, d.compacted = state, nil, s.Index
	d.leases = member.New(state)
	d.log.Info("directory installed from a snapshot", "index", s.Index)
	return nil
}

func decodeState(data []byte) (*directory.State, error) {
	snapshot, err := wire.DecodeState(data)
	if err != nil {
		return nil, err
	}
	return directory.FromSnapshot(snapshot)
}

func (d *applyDuty) compact() error {
	if d.state.Index() < d.compacted+snapshotEvery {
		return nil
	}
	data, err := wire.EncodeState(d.state.Snapshot())
	if err != nil {
		return fmt.Errorf("encode snapshot: %w", err)
	}
	if d.logInbox.Offer(replica.Compact{Index: d.state.Index(), State: data}) {
		d.compacted = d.state.Index()
	}
	return nil
}

func (d *applyDuty) statusChanged(s changelog.Status) {
	d.status = s
	switch leads := s.Role == changelog.Leader; {
	case leads && !d.leases.Leading():
		d.step(member.BecameLeader{})
	case !leads && d.leases.Leading():
		d.step(member.LostLeadership{})
		d.leadershipLost()
	}
}

// follow registers an entry host as a follower. If it needs an entry outside the
// window, it gets a snapshot first.
func (d *applyDuty) follow(e applyFollow) error {
	f := &follower{host: e.host, domain: e.domain, incarnation: e.incarnation, next: e.from}
	d.followers[e.out] = f
	if f.next < d.windowStart() || f.next > d.state.Index()+1 {
		data, err := wire.EncodeState(d.state.Snapshot())
		if err != nil {
			return fmt.Errorf("encode snapshot: %w", err)
		}
		snapshot := &wirepb.Snapshot{Index: d.state.Index(), State: data}
		e.out.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_Snapshot{Snapshot: snapshot}})
		f.next = d.state.Index() + 1
	}
	d.serve(e.out, f)
	return nil
}

// windowStart returns the index of the first entry that followers can still get.
func (d *applyDuty) windowStart() uint64 { return d.state.Index() + 1 - uint64(len(d.window)) }

// serve sends a follower the entries that it does not have yet.
func (d *applyDuty) serve(out *ring.Ring[*wirepb.Envelope], f *follower) {
	if f.next > d.state.Index() {
		return
	}
	d.sendBatch(out, f, 0)
}

func (d *applyDuty) sendBatch(out *ring.Ring[*wirepb.Envelope], f *follower, echoNs int64) {
	batch := &wirepb.EntryBatch{Committed: d.state.Index(), EchoNs: echoNs, LeaderContact: d.hasQuorum()}
	if !d.leases.Leading() {
		batch.Leader = d.addresses[d.status.Leader]
	}
	if f.next >= d.windowStart() && f.next <= d.state.Index() {
		batch.Entries = d.window[f.next-d.windowStart():]
	}
	if out.Offer(&wirepb.Envelope{Body: &wirepb.Envelope_EntryBatch{EntryBatch: batch}}) {
		f.next = d.state.Index() + 1
	}
}

// hasQuorum reports whether this host is the leader and a quorum answered it
// recently enough that no other leader can have been elected.
func (d *applyDuty) hasQuorum() bool {
	return d.leases.Leading() && d.now-d.status.LastContact <= contactAge
}

func (d *applyDuty) domainOf(e applyAcknowledged) string {
	if f, ok := d.followers[e.out]; ok {
		return f.domain
	}
	return ""
}

func (d *applyDuty) acknowledged(e applyAcknowledged) {
	d.confirmed[e.host] = confirmation{
		incarnation: e.incarnation, domain: d.domainOf(e), index: e.index, at: d.now,
	}
	d.step(member.HostApplied{Name: e.host, Incarnation: e.incarnation, Index: e.index})
	if f, ok := d.followers[e.out]; ok {
		d.sendBatch(e.out, f, e.sentNs)
	}
	d.answerWaiting()
}
