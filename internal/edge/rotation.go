package edge

import (
	"cmp"
	"slices"
	"time"

	"cassiawood/internal/affinity"
	"cassiawood/internal/rotation"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

const (
	// questionInterval is the minimum time between questions about the rotation.
	questionInterval = 100 * time.Millisecond
	// questionTimeout is how long the control hosts are given to answer. What they state later says too little of the present.
	questionTimeout = 500 * time.Millisecond
	// unansweredInterval is the minimum time between questions while the control hosts do not know all entry hosts.
	unansweredInterval = time.Second
)

// rotationWatch is what the engine duty knows of the rotation, and the question about it that is in progress.
type rotationWatch struct {
	own          rotation.Continuity
	lastQuestion uint64
	isAsking     bool
	askedAt      time.Duration
	nextAt       time.Duration // next question at the earliest
}

// rotationMessage is a message about the rotation for the current control host.
type rotationMessage struct {
	question  uint64
	statement *wirepb.RotationStatement
	stopping  bool
}

func (rotationMessage) isFollowEvent() {}

func (d *engineDuty) instant() rotation.Instant {
	return rotation.Instant{Steady: d.now, Boot: d.bootClock()}
}

// askAboutRotation asks the control hosts about the rotation if idle flows are to be reset, and gives up a question without an answer.
func (d *engineDuty) askAboutRotation() {
	w := &d.rotation
	if w.isAsking && d.now-w.askedAt >= questionTimeout {
		d.resetIdleFlows(rotation.Evidence{})
	}
	if w.isAsking || d.now < w.nextAt || !d.engine.AskEvidence(d.now) {
		return
	}
	w.lastQuestion++
	w.isAsking, w.askedAt, w.nextAt = true, d.now, d.now+questionInterval
	d.followInbox.Offer(rotationMessage{question: w.lastQuestion})
}

// applyRotation answers the question of a control host about this host, and takes the answer to the question of this one.
func (d *engineDuty) applyRotation(u *wirepb.EdgeUpdate) {
	if round := u.GetRotationRound(); round != 0 {
		unchanged := d.rotation.own.Unchanged(d.instant())
		d.followInbox.Offer(rotationMessage{statement: &wirepb.RotationStatement{Round: round, UnchangedMs: uint64(unchanged.Milliseconds())}})
	}
	r, w := u.GetRotationResult(), &d.rotation
	if r == nil || !w.isAsking || r.GetQuestion() != w.lastQuestion {
		return
	}
	// Each statement was made before now, so the change was at least this long ago.
	changedAt := d.now - wire.UnchangedFromProto(r.GetUnchangedMs())
	isFresh := d.now-w.askedAt < questionTimeout // this process may have been paused
	d.resetIdleFlows(rotation.Evidence{IsComplete: r.GetComplete() && isFresh, UnchangedSince: max(changedAt, w.own.Since(d.instant()))})
}

// resetIdleFlows sends the resets that the evidence allows, a bounded number at a time.
func (d *engineDuty) resetIdleFlows(evidence rotation.Evidence) {
	w := &d.rotation
	w.isAsking = false
	result := d.engine.ResetIdleFlows(d.now, evidence, maxResetsAtOnce)
	for _, r := range result.Resets {
		// The buffers of received packets are not used, since the packet reader waits for them.
		d.packetsOut.Offer(&datagram{packet: affinity.Packet{Caller: r.Caller, Service: r.Service, Ack: r.Ack}, verdict: affinity.Reset})
	}
	if result.Flows[rotation.Unknown] > 0 {
		w.nextAt = d.now + unansweredInterval
	}
	for v, count := range result.Flows {
		d.metrics.idleFlows[v].Inc(int64(count))
	}
	if len(result.Resets) == 0 && result.Flows[rotation.MayHaveMoved]+result.Flows[rotation.Unknown] == 0 {
		return
	}
	attributes := []any{
		"reset", len(result.Resets), "mayHaveMoved", result.Flows[rotation.MayHaveMoved], "unknown", result.Flows[rotation.Unknown],
		"complete", evidence.IsComplete, "rotationUnchangedMs", (d.now - evidence.UnchangedSince).Milliseconds(), "evidenceAgeMs", (d.now - w.askedAt).Milliseconds(),
	}
	if len(result.Resets) > 0 {
		first, oldest := result.Resets[0], slices.MaxFunc(result.Resets, func(a, b affinity.FlowReset) int { return cmp.Compare(a.Idle, b.Idle) })
		attributes = append(attributes, "firstFlow", first.Caller, "firstEndpoint", first.Endpoint, "firstEnded", first.EndpointEnded, "firstNumber", first.Ack,
			"firstIdleMs", first.Idle.Milliseconds(), "longestIdleFlow", oldest.Caller, "longestIdleNumber", oldest.Ack, "longestIdleMs", oldest.Idle.Milliseconds())
	}
	d.log.Info("idle flows of endpoints that have ended", attributes...)
}
