package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/rcrowley/go-metrics"

	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// proposalTimeout bounds the wait for the leader's answer to a proposal.
	proposalTimeout = 3 * time.Second
	// maxPendingProposals bounds the proposals that wait for an answer.
	maxPendingProposals = 1024
	// appliedInterval is the time between Applied messages, which renew the host
	// lease of 2 s. Two lost answers in a row do not let the lease expire.
	appliedInterval = 500 * time.Millisecond
	// hostStateInterval is the time between two proposals of the host's state; the leader
	// ignores duplicates.
	hostStateInterval = time.Second
	// redialDelay is how long redirects to an address are ignored after a failed dial.
	redialDelay = 5 * time.Second
)

// errNoLeader is the result of a proposal that no leader answered in time.
var errNoLeader = errors.New("no leader among the control hosts answered")

// controlEvent is a value in the inbox of the control link duty.
type controlEvent interface{ isControlEvent() }

type (
	controlTick struct{ now time.Duration }
	// controlApplied reports the log index up to which the engine has applied entries and
	// the one up to which it may acknowledge them.
	controlApplied struct {
		appliedIndex, acknowledgedIndex uint64
		listed                          bool // the directory lists this incarnation of the host
	}
	// controlProposal sends a proposal to the leader; result receives exactly one value.
	controlProposal struct {
		request *wirepb.ProposeRequest
		result  *ring.Ring[proposalResult]
	}
	// controlRedirect carries the leader's address, received from a control host that is not the leader.
	controlRedirect struct{ leader string }
	// controlGap reports a gap in the followed log; the link reconnects and follows from the applied index.
	controlGap struct{}
	// controlHostComplete reports that all record copies that this host must hold are confirmed.
	controlHostComplete struct{}
	// controlProbe reports the result of a health probe of a backend server.
	controlProbe struct {
		instance string
		healthy  bool
	}
	// controlStop asks the leader to remove this host from the directory.
	controlStop  struct{}
	controlReply struct{ reply *wirepb.ProposeReply }
	// controlSessionEnded reports that a session has ended.
	controlSessionEnded struct {
		session *wire.Session
		err     error
	}
)

func (controlTick) isControlEvent()         {}
func (controlApplied) isControlEvent()      {}
func (controlProposal) isControlEvent()     {}
func (controlRedirect) isControlEvent()     {}
func (controlGap) isControlEvent()          {}
func (controlHostComplete) isControlEvent() {}
func (controlProbe) isControlEvent()        {}
func (controlStop) isControlEvent()         {}
func (controlReply) isControlEvent()        {}
func (controlSessionEnded) isControlEvent() {}

// proposalResult is the leader's answer to a proposal.
type proposalResult struct {
	accepted bool
	reason   string
	err      error
}

// pendingProposal is a proposal that waits for the leader's answer.
type pendingProposal struct {
	request    *wirepb.ProposeRequest
	result     *ring.Ring[proposalResult]
	proposedAt time.Duration
}

// controlLink maintains one session with a control host, preferably the leader.
// It follows the log, acknowledges applied entries and sends proposals.
type controlLink struct {
	log       *slog.Logger
	addresses []string
	tls       *tls.Config
	self      *wirepb.Host
	inbox     *ring.Ring[controlEvent]
	engine    *ring.Ring[engineEvent]
	sentBytes metrics.Counter

	now               time.Duration
	session           *wire.Session
	stream            *wire.Stream
	nextAddress       int // index of the address to dial next
	stopping          bool
	listed            bool
	lastHostStateAt   time.Duration // when the host's state was last proposed
	failedDialAddress string        // address of the last failed dial
	failedDialAt      time.Duration // time of that dial
	leaderAddress     string        // address received in a redirect; dialed first
	appliedIndex      uint64
	acknowledgedIndex uint64
	lastAppliedAt     time.Duration // when the last Applied message was sent
	lastProposalID    uint64
	pending           map[uint64]pendingProposal
}

func (l *controlLink) run(ctx context.Context, progress *duty.Progress) error {
	defer l.disconnect()
	for {
		e, err := l.inbox.Get()
		if err != nil {
			return nil
		}
		progress.Begin()
		l.handle(ctx, e)
		progress.End()
	}
}

func (l *controlLink) handle(ctx context.Context, e controlEvent) {
	switch e := e.(type) {
	case controlTick:
		l.now = e.now
		l.expireProposals()
		if l.session == nil {
			l.connect(ctx)
			return
		}
		if l.now-l.lastAppliedAt >= appliedInterval {
			l.sendApplied()
		}
		if (!l.listed || l.stopping) && l.now-l.lastHostStateAt >= hostStateInterval {
			l.proposeHostState()
		}
	case controlApplied:
		l.appliedIndex, l.listed = max(l.appliedIndex, e.appliedIndex), e.listed
		if e.acknowledgedIndex > l.acknowledgedIndex {
			l.acknowledgedIndex = e.acknowledgedIndex
			l.sendApplied()
		}
	case controlProposal:
		l.propose(e)
	case controlRedirect:
		l.redirect(e.leader)
	case controlGap:
		l.disconnect()
	case controlHostComplete:
		l.proposeIgnoringResult(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_HostComplete{HostComplete: l.hostRef()}})
	case controlProbe:
		report := &wirepb.ProbeReport{Instance: e.instance, Healthy: e.healthy}
		l.proposeIgnoringResult(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_Probe{Probe: report}})
	case controlStop:
		l.stopping = true
		l.proposeIgnoringResult(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_HostStopping{HostStopping: l.hostRef()}})
	case controlReply:
		l.handleReply(e.reply)
	case controlSessionEnded:
		if e.session == l.session {
			l.log.Warn("session with control host ended", "error", e.err)
			l.disconnect()
		}
	}
}

// connect dials one address: the leader's if known, else the next configured one.
// If it fails, the next tick dials the next configured one.
func (l *controlLink) connect(ctx context.Context) {
	address := l.leaderAddress
	if address == "" {
		address = l.addresses[l.nextAddress%len(l.addresses)]
		l.nextAddress++
	}
	l.leaderAddress = ""
	session, err := wire.Dial(ctx, address, l.tls, wire.DefaultTimeouts)
	if err != nil {
		l.failedDialAddress, l.failedDialAt = address, l.now
		l.log.Warn("control host not reached", "address", address, "error", err)
		return
	}
	stream, err := session.Open()
	if err != nil {
		_ = session.Close()
		return
	}
	l.session, l.stream = session, stream
	l.log.Info("following control host", "address", address, "from", l.appliedIndex+1)
	go l.receive(session, stream)
	l.send(&wirepb.Envelope{Body: &wirepb.Envelope_FollowRequest{FollowRequest: &wirepb.FollowRequest{
		FromIndex: l.appliedIndex + 1,
		Host:      l.self.GetName(), Domain: l.self.GetDomain(), Incarnation: l.self.GetIncarnation(),
	}}})
	l.sendApplied()
	l.proposeHostState()
	for id, p := range l.pending {
		l.sendProposal(id, p.request)
	}
}

// redirect reconnects to the leader unless a dial to it has failed within
// redialDelay: a host that cannot reach the leader keeps following another
// control host.
func (l *controlLink) redirect(leader string) {
	if leader == l.failedDialAddress && l.now-l.failedDialAt < redialDelay {
		return
	}
	l.leaderAddress = leader
	l.disconnect()
}

// proposeHostState proposes to add this incarnation of the host to the directory or, on a
// stopping host, to remove it. The leader ignores duplicates.
func (l *controlLink) proposeHostState() {
	l.lastHostStateAt = l.now
	if l.stopping {
		l.proposeIgnoringResult(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_HostStopping{HostStopping: l.hostRef()}})
		return
	}
	l.proposeIgnoringResult(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_Host{Host: l.self}})
}

// proposeIgnoringResult sends a proposal and ignores its result.
func (l *controlLink) proposeIgnoringResult(request *wirepb.ProposeRequest) {
	l.propose(controlProposal{request: request, result: ring.New[proposalResult]("told", 1, ring.DropNewest)})
}

func (l *controlLink) hostRef() *wirepb.HostRef {
	return &wirepb.HostRef{Name: l.self.GetName(), Incarnation: l.self.GetIncarnation()}
}

func (l *controlLink) disconnect() {
	if l.session != nil {
		_ = l.session.Close()
	}
	l.session, l.stream = nil, nil
}

func (l *controlLink) send(e *wirepb.Envelope) {
	if l.stream == nil {
		return
	}
	l.sentBytes.Inc(wire.FrameBytes(e))
	if err := l.stream.Send(e); err != nil {
		l.log.Warn("session with control host lost", "error", err)
		l.disconnect()
	}
}

func (l *controlLink) sendApplied() {
	l.lastAppliedAt = l.now
	l.send(&wirepb.Envelope{Body: &wirepb.Envelope_Applied{Applied: &wirepb.Applied{
		Index: l.acknowledgedIndex, Host: l.self.GetName(), Incarnation: l.self.GetIncarnation(), SentNs: int64(l.now),
	}}})
}

func (l *controlLink) propose(e controlProposal) {
	if len(l.pending) >= maxPendingProposals {
		e.result.Offer(proposalResult{err: fmt.Errorf("%d proposals are pending: %w", len(l.pending), errNoLeader)})
		return
	}
	l.lastProposalID++
	l.pending[l.lastProposalID] = pendingProposal{request: e.request, result: e.result, proposedAt: l.now}
	l.sendProposal(l.lastProposalID, e.request)
}

func (l *controlLink) sendProposal(id uint64, request *wirepb.ProposeRequest) {
	request.Id = id
	l.send(&wirepb.Envelope{Body: &wirepb.Envelope_ProposeRequest{ProposeRequest: request}})
}

func (l *controlLink) handleReply(reply *wirepb.ProposeReply) {
	p, ok := l.pending[reply.GetId()]
	if !ok {
		return
	}
	if leader := reply.GetLeader(); leader != "" {
		// The proposal stays pending and is sent again on the new session.
		l.redirect(leader)
		return
	}
	delete(l.pending, reply.GetId())
	p.result.Offer(proposalResult{accepted: reply.GetAccepted(), reason: reply.GetReason()})
}

func (l *controlLink) expireProposals() {
	for id, p := range l.pending {
		if l.now-p.proposedAt > proposalTimeout {
			delete(l.pending, id)
			p.result.Offer(proposalResult{err: errNoLeader})
		}
	}
}

// receive reads messages of one session until it ends and converts them into
// events. It blocks while the engine's inbox is full, which slows the sender down.
func (l *controlLink) receive(session *wire.Session, stream *wire.Stream) {
	var err error
	for err == nil {
		var e *wirepb.Envelope
		if e, err = stream.Receive(); err == nil {
			err = l.dispatch(e)
		}
	}
	_, _ = l.inbox.Put(controlSessionEnded{session: session, err: err})
}

// leaderContactTime returns the time at which this host sent the request that the batch
// answers, or 0 if the batch does not prove contact with the leader. Using the time
// of the request keeps the delay of the answer from extending the host lease.
func leaderContactTime(b *wirepb.EntryBatch) time.Duration {
	if !b.GetLeaderContact() {
		return 0
	}
	return time.Duration(b.GetEchoNs())
}

func (l *controlLink) dispatch(e *wirepb.Envelope) error {
	switch body := e.GetBody().(type) {
	case *wirepb.Envelope_EntryBatch:
		if leader := body.EntryBatch.GetLeader(); leader != "" {
			if _, err := l.inbox.Put(controlRedirect{leader: leader}); err != nil {
				return err
			}
		}
		entries, err := wire.EntriesFromProto(body.EntryBatch.GetEntries())
		if err != nil {
			return err
		}
		_, err = l.engine.Put(engineEntries{
			entries: entries, contactTime: leaderContactTime(body.EntryBatch),
			committedIndex: body.EntryBatch.GetCommitted(),
		})
		return err
	case *wirepb.Envelope_Snapshot:
		state, err := stateFromProto(body.Snapshot)
		if err != nil {
			return err
		}
		_, err = l.engine.Put(engineSnapshot{state: state})
		return err
	case *wirepb.Envelope_ProposeReply:
		_, err := l.inbox.Put(controlReply{reply: body.ProposeReply})
		return err
	default:
		return fmt.Errorf("unexpected message %T from a control host", body)
	}
}
