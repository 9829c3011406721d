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
	maxProposals    = 1024
	// appliedInterval renews the host lease of 2 s, with room for two lost answers.
	appliedInterval = 500 * time.Millisecond
	// joinInterval is when joining is tried again; the leader ignores a repetition.
	joinInterval = time.Second
	// redialAfter is how long an address that was not reached is left alone.
	redialAfter = 5 * time.Second
)

// errNoLeader is the answer to a proposal that no leader took in time.
var errNoLeader = errors.New("no leader among the control hosts answered")

// controlEvent is a value in the inbox of the control link duty.
type controlEvent interface{ isControlEvent() }

type (
	controlTick struct{ now time.Duration }
	// controlApplied tells what the engine has applied and what it may acknowledge.
	controlApplied struct {
		applied, acknowledge uint64
		listed               bool // the directory lists this incarnation of the host
	}
	// controlPropose passes a proposal to the leader; result gets exactly one value.
	controlPropose struct {
		request *wirepb.ProposeRequest
		result  *ring.Ring[proposalResult]
	}
	// controlRedirect names the leader, as told by a control host that is not it.
	controlRedirect struct{ leader string }
	// controlGap asks to be served anew from the applied index.
	controlGap struct{}
	// controlComplete tells that all copies of records that this host should hold are confirmed.
	controlComplete struct{}
	// controlProbe reports a probe of a backend server.
	controlProbe struct {
		instance string
		healthy  bool
	}
	// controlStop asks the leader to take this host out of the directory.
	controlStop  struct{}
	controlReply struct{ reply *wirepb.ProposeReply }
	controlEnded struct {
		session *wire.Session
		err     error
	}
)

func (controlTick) isControlEvent()     {}
func (controlApplied) isControlEvent()  {}
func (controlPropose) isControlEvent()  {}
func (controlRedirect) isControlEvent() {}
func (controlGap) isControlEvent()      {}
func (controlComplete) isControlEvent() {}
func (controlProbe) isControlEvent()    {}
func (controlStop) isControlEvent()     {}
func (controlReply) isControlEvent()    {}
func (controlEnded) isControlEvent()    {}

// proposalResult is the leader's answer to a proposal.
type proposalResult struct {
	accepted bool
	reason   string
	err      error
}

type pendingProposal struct {
	request *wirepb.ProposeRequest
	result  *ring.Ring[proposalResult]
	since   time.Duration
}

// controlLink keeps one session with a control host, the leader where it is
// known. It follows the log, acknowledges what is applied and passes proposals on.
type controlLink struct {
	log       *slog.Logger
	addresses []string
	tls       *tls.Config
	self      *wirepb.Host
	inbox     *ring.Ring[controlEvent]
	engine    *ring.Ring[engineEvent]
	sent      metrics.Counter // bytes

	now          time.Duration
	session      *wire.Session
	stream       *wire.Stream
	next         int // index of the address to dial next
	stopping     bool
	listed       bool
	lastJoin     time.Duration
	unreachable  string // address that was not reached last
	failedAt     time.Duration
	leader       string // address named by a control host; dialled first
	applied      uint64
	acknowledged uint64
	lastApplied  time.Duration
	nextID       uint64
	pending      map[uint64]pendingProposal
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
		l.expire()
		if l.session == nil {
			l.connect(ctx)
			return
		}
		if l.now-l.lastApplied >= appliedInterval {
			l.sendApplied()
		}
		if (!l.listed || l.stopping) && l.now-l.lastJoin >= joinInterval {
			l.join()
		}
	case controlApplied:
		l.applied, l.listed = max(l.applied, e.applied), e.listed
		if e.acknowledge > l.acknowledged {
			l.acknowledged = e.acknowledge
			l.sendApplied()
		}
	case controlPropose:
		l.propose(e)
	case controlRedirect:
		l.redirect(e.leader)
	case controlGap:
		l.disconnect()
	case controlComplete:
		l.tell(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_HostComplete{HostComplete: l.ref()}})
	case controlProbe:
		report := &wirepb.ProbeReport{Instance: e.instance, Healthy: e.healthy}
		l.tell(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_Probe{Probe: report}})
	case controlStop:
		l.stopping = true
		l.tell(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_HostStopping{HostStopping: l.ref()}})
	case controlReply:
		l.replied(e.reply)
	case controlEnded:
		if e.session == l.session {
			l.log.Warn("session with control host ended", "error", e.err)
			l.disconnect()
		}
	}
}

// connect tries one address. The next tick tries the following one.
func (l *controlLink) connect(ctx context.Context) {
	address := l.leader
	if address == "" {
		address = l.addresses[l.next%len(l.addresses)]
		l.next++
	}
	l.leader = ""
	session, err := wire.Dial(ctx, address, l.tls, wire.DefaultTimeouts)
	if err != nil {
		l.unreachable, l.failedAt = address, l.now
		l.log.Warn("control host not reached", "address", address, "error", err)
		return
	}
	stream, err := session.Open()
	if err != nil {
		_ = session.Close()
		return
	}
	l.session, l.stream = session, stream
	l.log.Info("following control host", "address", address, "from", l.applied+1)
	go l.receive(session, stream)
	l.send(&wirepb.Envelope{Body: &wirepb.Envelope_FollowRequest{FollowRequest: &wirepb.FollowRequest{
		FromIndex: l.applied + 1, Host: l.self.GetName(), Domain: l.self.GetDomain(), Incarnation: l.self.GetIncarnation(),
	}}})
	l.sendApplied()
	l.join()
	for id, p := range l.pending {
		l.sendProposal(id, p.request)
	}
}

// redirect moves to the leader, unless it was not reached a moment ago: a host
// that is cut off from the leader alone follows another control host meanwhile.
func (l *controlLink) redirect(leader string) {
	if leader == l.unreachable && l.now-l.failedAt < redialAfter {
		return
	}
	l.leader = leader
	l.disconnect()
}

// join announces this incarnation of the host, or repeats that it stops; the
// leader ignores a repetition.
func (l *controlLink) join() {
	l.lastJoin = l.now
	if l.stopping {
		l.tell(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_HostStopping{HostStopping: l.ref()}})
		return
	}
	l.tell(&wirepb.ProposeRequest{Body: &wirepb.ProposeRequest_Host{Host: l.self}})
}

// tell proposes something whose answer nobody waits for.
func (l *controlLink) tell(request *wirepb.ProposeRequest) {
	l.propose(controlPropose{request: request, result: ring.New[proposalResult]("told", 1, ring.DropNewest)})
}

func (l *controlLink) ref() *wirepb.HostRef {
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
	l.sent.Inc(wire.Bytes(e))
	if err := l.stream.Send(e); err != nil {
		l.log.Warn("session with control host lost", "error", err)
		l.disconnect()
	}
}

func (l *controlLink) sendApplied() {
	l.lastApplied = l.now
	l.send(&wirepb.Envelope{Body: &wirepb.Envelope_Applied{Applied: &wirepb.Applied{
		Index: l.acknowledged, Host: l.self.GetName(), Incarnation: l.self.GetIncarnation(), SentNs: int64(l.now),
	}}})
}

func (l *controlLink) propose(e controlPropose) {
	if len(l.pending) >= maxProposals {
		e.result.Offer(proposalResult{err: fmt.Errorf("%d proposals wait: %w", len(l.pending), errNoLeader)})
		return
	}
	l.nextID++
	l.pending[l.nextID] = pendingProposal{request: e.request, result: e.result, since: l.now}
	l.sendProposal(l.nextID, e.request)
}

func (l *controlLink) sendProposal(id uint64, request *wirepb.ProposeRequest) {
	request.Id = id
	l.send(&wirepb.Envelope{Body: &wirepb.Envelope_ProposeRequest{ProposeRequest: request}})
}

func (l *controlLink) replied(reply *wirepb.ProposeReply) {
	p, ok := l.pending[reply.GetId()]
	if !ok {
		return
	}
	if leader := reply.GetLeader(); leader != "" {
		// The proposal stays pending and goes out again with the new session.
		l.redirect(leader)
		return
	}
	delete(l.pending, reply.GetId())
	p.result.Offer(proposalResult{accepted: reply.GetAccepted(), reason: reply.GetReason()})
}

func (l *controlLink) expire() {
	for id, p := range l.pending {
		if l.now-p.since > proposalTimeout {
			delete(l.pending, id)
			p.result.Offer(proposalResult{err: errNoLeader})
		}
	}
}

// receive reads one session until it ends. It translates what the control host
// sends into events; the engine's inbox may make it wait, which slows the sender.
func (l *controlLink) receive(session *wire.Session, stream *wire.Stream) {
	var err error
	for err == nil {
		var e *wirepb.Envelope
		if e, err = stream.Receive(); err == nil {
			err = l.dispatch(e)
		}
	}
	_, _ = l.inbox.Put(controlEnded{session: session, err: err})
}

// contactOf returns the time at which this host sent what the leader answers, or
// 0 when the batch proves no contact. Counting from the request keeps the
// delay of the answer out of the host lease.
func contactOf(b *wirepb.EntryBatch) time.Duration {
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
		_, err = l.engine.Put(engineEntries{entries: entries, contact: contactOf(body.EntryBatch), committed: body.EntryBatch.GetCommitted()})
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
		return fmt.Errorf("unexpected envelope %T from a control host", body)
	}
}
