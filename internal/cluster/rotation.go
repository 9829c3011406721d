package cluster

import (
	"slices"
	"time"

	"cassiawood/internal/changelog"
	"cassiawood/internal/ring"
	"cassiawood/internal/rotation"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// roundTimeout is how long entry hosts and other control hosts are given to answer.
	roundTimeout = 400 * time.Millisecond
	// maxRounds bounds the rounds in progress, of which each failure domain and control host needs one.
	maxRounds = 256
)

// rotationRounds holds the entry hosts of this control host and the questions about the rotation that are in progress.
type rotationRounds struct {
	roster     *rotation.Roster
	lastNumber uint64
	rounds     map[uint64]*rotationRound // by number
	waiting    map[string][]rotationAsker
}

func newRotationRounds(now time.Duration) rotationRounds {
	return rotationRounds{roster: rotation.NewRoster(now), rounds: map[uint64]*rotationRound{}, waiting: map[string][]rotationAsker{}}
}

// rotationRound asks the entry hosts of a failure domain for entry hosts of this control host, or for another control host.
type rotationRound struct {
	*rotation.Round
	domain    string
	askers    []rotationAsker
	peer      string // address of the control host that has asked; empty if entry hosts have
	peerRound uint64
}

// rotationAsker is an entry host with a question.
type rotationAsker struct {
	out      *ring.Ring[[]byte]
	question uint64
}

// handleRotation takes what an entry host says about its place in the rotation, and its question about that of others.
func (d *stateDuty) handleRotation(out *ring.Ring[[]byte], s *subscriber, m *wirepb.EdgeDemand) {
	if m.GetStopping() {
		d.rotation.roster.Stopping(s.process)
	}
	if statement := m.GetRotationStatement(); statement != nil {
		if r := d.rotation.rounds[statement.GetRound()]; r != nil {
			r.State(s.process, wire.UnchangedFromProto(statement.GetUnchangedMs()))
			d.finishRound(statement.GetRound(), r)
		}
	}
	if m.GetRotationQuestion() != 0 && s.wantsState {
		d.rotation.waiting[s.domain] = append(d.rotation.waiting[s.domain], rotationAsker{out: out, question: m.GetRotationQuestion()})
		d.startWaitingRound(s.domain)
	}
}

// startWaitingRound starts a round for the entry hosts of a failure domain that wait for one. A round in progress would not do: some have
// made their statements before the question.
func (d *stateDuty) startWaitingRound(domain string) {
	askers := d.rotation.waiting[domain]
	if len(askers) == 0 {
		return
	}
	for _, r := range d.rotation.rounds {
		if r.domain == domain && r.peer == "" {
			return
		}
	}
	delete(d.rotation.waiting, domain)
	if !d.isCurrent() {
		d.answerAskers(askers, rotation.DomainReport{}, false) // its list of control hosts may be old
		return
	}
	var peers []string
	for _, m := range d.status.Members {
		if m.ID != d.self.ID {
			peers = append(peers, m.Address)
		}
	}
	number := d.startRound(&rotationRound{domain: domain, askers: askers}, peers)
	if number == 0 {
		return // the askers ask again
	}
	d.broadcast(&wirepb.EndpointUpdate{From: d.self.Address, RotationQuestion: &wirepb.RotationQuestion{Round: number, Domain: domain}})
	d.finishRound(number, d.rotation.rounds[number])
}

// startRound asks the entry hosts of this control host and returns the number of the round, 0 if there are too many.
func (d *stateDuty) startRound(r *rotationRound, peers []string) uint64 {
	if len(d.rotation.rounds) >= maxRounds {
		return 0
	}
	d.rotation.lastNumber++
	number := d.rotation.lastNumber
	r.Round = rotation.NewRound(d.now, d.rotation.roster.View(d.now, r.domain), peers)
	d.rotation.rounds[number] = r
	f := d.newFrame(&wirepb.EdgeUpdate{RotationRound: number})
	for out, s := range d.subscribers {
		if s.wantsState && s.domain == r.domain {
			out.Offer(f.encoded(s.compressed)) // a host that does not get it is one that does not answer
		}
	}
	return number
}

// handlePeerRotation answers the question of another control host, or takes its answer.
func (d *stateDuty) handlePeerRotation(u *wirepb.EndpointUpdate) {
	from := u.GetFrom()
	if !slices.ContainsFunc(d.status.Members, func(m changelog.Member) bool { return m.Address == from }) || from == d.self.Address {
		return
	}
	if q := u.GetRotationQuestion(); q != nil {
		if number := d.startRound(&rotationRound{domain: q.GetDomain(), peer: from, peerRound: q.GetRound()}, nil); number != 0 {
			d.finishRound(number, d.rotation.rounds[number])
		}
	}
	if p := u.GetRotationReport(); p != nil {
		if r := d.rotation.rounds[p.GetRound()]; r != nil && r.peer == "" {
			r.Merge(from, wire.RotationReportFromProto(p))
			d.finishRound(p.GetRound(), r)
		}
	}
}

// finishRound ends a round in which all have answered.
func (d *stateDuty) finishRound(number uint64, r *rotationRound) {
	report, isDone := r.Result()
	if !isDone {
		return
	}
	delete(d.rotation.rounds, number)
	if r.peer == "" {
		d.answerAskers(r.askers, report, report.IsComplete())
		d.startWaitingRound(r.domain)
		return
	}
	u := &wirepb.EndpointUpdate{From: d.self.Address, RotationReport: wire.RotationReportToProto(r.peerRound, report)}
	d.linksInbox.Offer(sendTo{address: r.peer, envelope: &wirepb.Envelope{Body: &wirepb.Envelope_EndpointUpdate{EndpointUpdate: u}}})
}

// answerAskers answers the questions of entry hosts. Each answer is for one of them, since questions have numbers of their own.
func (d *stateDuty) answerAskers(askers []rotationAsker, report rotation.DomainReport, isComplete bool) {
	for _, a := range askers {
		if s, ok := d.subscribers[a.out]; ok {
			result := &wirepb.RotationResult{Question: a.question, Complete: isComplete, UnchangedMs: uint64(report.Unchanged.Milliseconds())}
			a.out.Offer(d.newFrame(&wirepb.EdgeUpdate{RotationResult: result}).encoded(s.compressed))
		}
	}
}

// expireRounds ends the rounds in which not all have answered in time.
func (d *stateDuty) expireRounds() {
	d.rotation.roster.Expire(d.now)
	for number, r := range d.rotation.rounds {
		if d.now-r.StartedAt < roundTimeout {
			continue
		}
		delete(d.rotation.rounds, number)
		if r.peer != "" {
			continue // the control host that has asked does not wait longer
		}
		report, _ := r.Result()
		d.log.Info("rotation not known, not all have answered", "domain", r.domain, "answered", len(report.Present), "missing", len(report.Missing),
			"silentHosts", r.Silent(), "silentControlHosts", r.SilentPeers())
		d.answerAskers(r.askers, rotation.DomainReport{}, false)
		d.startWaitingRound(r.domain)
	}
}

// loseEntryHost records that an entry host follows this control host no more, unless it does so over another stream.
func (d *stateDuty) loseEntryHost(s *subscriber) {
	for _, other := range d.subscribers {
		if other.wantsState && other.process == s.process {
			return
		}
	}
	d.rotation.roster.Lose(d.now, s.process)
}
