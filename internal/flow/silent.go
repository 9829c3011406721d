package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

const (
	// A flow is silent if the caller sent at least minSilentPackets over at least minSilence
	// without a response (docs/design.md, section 5.3). Three packets in 15 s rule out a
	// single lost response.
	minSilence       = 15 * time.Second
	minSilentPackets = 3
	// maxResponseAge bounds the age of the response that shows that the endpoint works. If the
	// endpoint answers no flow at all, that is not evidence against a single flow.
	maxResponseAge = 5 * time.Second
	// maxCallerGap is the pause after which the count of caller packets restarts. It exceeds
	// the interval between retransmissions within minSilence, even at a host that sees only
	// some of them.
	maxCallerGap = 2 * minSilence
	// suspectReportInterval is the time between a host's reports about the same flow.
	suspectReportInterval = 10 * time.Second
	// evidenceTimeout is how long the examining host waits for the evidence of the others.
	evidenceTimeout = 3 * time.Second
	// maxSuspectsPerTick bounds the flows reported per tick, and so the control traffic when an
	// endpoint stops answering altogether.
	maxSuspectsPerTick = 64
	// maxOpenCases bounds the flows that a host examines at once.
	maxOpenCases = 1024
)

// latestResponse holds the start of an endpoint's youngest flow with a recent response, and the
// time of that response.
type latestResponse struct{ flowStart, at timestamp }

// silenceDetector detects flows whose endpoint no longer responds.
type silenceDetector struct {
	responses map[directory.EndpointID]latestResponse
	suspects  []flowKey // suspects to report at the next tick
	cases     map[flowKey]*silentCase
}

// silentCase is a suspected flow for which this host collects the evidence of all hosts.
type silentCase struct {
	deadline     time.Duration
	queried      bool     // the other hosts were queried
	awaitedHosts []string // hosts whose evidence is missing
	record       Record
	evidence     []Suspect
}

func (s *silenceDetector) init() {
	s.responses = map[directory.EndpointID]latestResponse{}
	s.cases = map[flowKey]*silentCase{}
}

// noteResponse notes a response to a flow.
func (s *silenceDetector) noteResponse(en *entry, now timestamp) {
	a := s.responses[en.endpoint]
	if en.createdAt >= a.flowStart || now.since(a.at) > maxResponseAge {
		s.responses[en.endpoint] = latestResponse{en.createdAt, now}
	}
}

// checkSilent adds a flow to the suspects if its caller has sent packets for minSilence
// without a response. An idle flow has no recent caller packets and is never a suspect.
func (e *Engine) checkSilent(en *entry) {
	s := &e.silence
	if en.callerPackets == 0 || e.clock.since(en.callerPacketsSince) < minSilence ||
		e.clock.since(en.lastFromCaller) > maxCallerGap || len(s.suspects) >= maxSuspectsPerTick {
		return
	}
	if en.suspectedAt != 0 && e.clock.since(en.suspectedAt) < suspectReportInterval {
		return
	}
	en.suspectedAt = e.clock
	s.suspects = append(s.suspects, en.key)
}

// tickSilence reports the suspects found since the last tick to their examining hosts
// and decides the cases whose evidence is complete.
func (e *Engine) tickSilence() {
	s := &e.silence
	reports := map[string][]Suspect{}
	for i := range s.suspects {
		suspect, examiner, ok := e.localEvidence(&s.suspects[i])
		if !ok {
			continue
		}
		if examiner == e.cfg.Host {
			e.openCase(&suspect, "")
			continue
		}
		reports[examiner] = append(reports[examiner], suspect)
	}
	s.suspects = s.suspects[:0]
	for to, list := range reports {
		e.send(Message{To: to, Suspects: &Suspects{Suspects: list}})
	}
	e.queryCases()
	for key, c := range s.cases {
		switch {
		case len(c.awaitedHosts) == 0:
			delete(s.cases, key)
			e.decideCase(&key, c)
		case e.now >= c.deadline:
			delete(s.cases, key) // a flow is terminated only on the evidence of all hosts
		}
	}
}

// localEvidence returns this host's observations of a flow, and the host that examines it.
func (e *Engine) localEvidence(key *flowKey) (s Suspect, examiner string, ok bool) {
	if e.table == nil {
		return s, "", false
	}
	s.Record = Record{Caller: key.caller(), Service: key.service(), Protocol: key[12]}
	s.SinceBackendPacket, s.YoungestAnsweredAge = -1, -1
	_, en := e.flows.find(key, key.hash())
	if en == nil {
		return s, "", false
	}
	s.Record.Endpoint, s.Record.Sequence, s.Record.State = en.endpoint, en.sequence, RecordSent
	s.CallerPackets, s.Acknowledgment = uint32(en.callerPackets), en.ack
	if en.callerPackets > 0 {
		s.SinceFirstCallerPacket = e.clock.since(en.callerPacketsSince)
	}
	if en.lastFromBackend != 0 {
		s.SinceBackendPacket = e.clock.since(en.lastFromBackend)
	}
	s.Age = e.clock.since(en.createdAt)
	if a, known := e.silence.responses[en.endpoint]; known && e.clock.since(a.at) <= maxResponseAge {
		s.YoungestAnsweredAge = e.clock.since(a.flowStart)
	}
	return s, e.examiner(key, en.endpoint), true
}

// examiner returns the host that collects the evidence about a flow: the first holder
// of its bucket, or the second if the first is unreachable.
func (e *Engine) examiner(key *flowKey, id directory.EndpointID) string {
	svc, ok := e.table.Service(key.service(), key[12])
	if !ok {
		return ""
	}
	first, second, _ := e.table.Holders(svc.Name, int(key.hash()&uint64(svc.BucketCount-1)), id)
	if first != e.cfg.Host && !e.reachable(first) {
		return second
	}
	return first
}

// openCase starts the examination of a suspected flow. from is the reporting host, empty
// for this one.
func (e *Engine) openCase(s *Suspect, from string) {
	key, ok := makeKey(s.Record.Caller, s.Record.Service, s.Record.Protocol)
	if !ok || len(e.silence.cases) >= maxOpenCases {
		return
	}
	if e.silence.cases[key] != nil {
		return
	}
	c := &silentCase{deadline: e.now + evidenceTimeout, record: s.Record, evidence: []Suspect{*s}}
	if from != "" {
		if own, _, known := e.localEvidence(&key); known {
			c.evidence = append(c.evidence, own)
		}
	}
	for name, p := range e.peers {
		if p.up && name != from {
			c.awaitedHosts = append(c.awaitedHosts, name)
		}
	}
	e.silence.cases[key] = c
}

// queryCases requests evidence about newly opened cases from the other hosts.
func (e *Engine) queryCases() {
	queries := map[string][]Suspect{}
	for _, c := range e.silence.cases {
		if c.queried {
			continue
		}
		c.queried = true
		for _, to := range c.awaitedHosts {
			queries[to] = append(queries[to], Suspect{Record: c.record})
		}
	}
	for to, list := range queries {
		e.send(Message{To: to, Suspects: &Suspects{Query: true, Suspects: list}})
	}
}

// HandleSuspects handles evidence from another host, or its query for evidence.
func (e *Engine) HandleSuspects(now time.Duration, from string, s *Suspects) {
	e.setNow(now)
	if s.Query {
		e.answerQuery(from, s.Suspects)
		return
	}
	for i := range s.Suspects {
		suspect := &s.Suspects[i]
		key, ok := makeKey(suspect.Record.Caller, suspect.Record.Service, suspect.Record.Protocol)
		if !ok {
			continue
		}
		c := e.silence.cases[key]
		if c == nil {
			e.openCase(suspect, from)
			continue
		}
		if at := slices.Index(c.awaitedHosts, from); at >= 0 {
			c.awaitedHosts = slices.Delete(c.awaitedHosts, at, at+1)
			c.evidence = append(c.evidence, *suspect)
		}
	}
	e.queryCases()
}

// answerQuery sends this host's evidence about the queried flows.
func (e *Engine) answerQuery(from string, asked []Suspect) {
	reply := make([]Suspect, 0, len(asked))
	for i := range asked {
		r := &asked[i].Record
		key, ok := makeKey(r.Caller, r.Service, r.Protocol)
		if !ok {
			continue
		}
		own, _, known := e.localEvidence(&key)
		if !known {
			own = Suspect{Record: *r, SinceBackendPacket: -1, YoungestAnsweredAge: -1}
		}
		reply = append(reply, own)
	}
	e.send(Message{To: from, Suspects: &Suspects{Suspects: reply}})
}

// isSilent reports whether the evidence of all hosts shows a silent flow. A host's caller
// packets count only if all of them came after the last response that any host saw.
func isSilent(evidence []Suspect) bool {
	backendAgo, youngestAnswered := time.Duration(-1), time.Duration(-1)
	var age time.Duration
	for i := range evidence {
		s := &evidence[i]
		age = max(age, s.Age)
		if s.SinceBackendPacket >= 0 && (backendAgo < 0 || s.SinceBackendPacket < backendAgo) {
			backendAgo = s.SinceBackendPacket
		}
		if s.YoungestAnsweredAge >= 0 && (youngestAnswered < 0 || s.YoungestAnsweredAge < youngestAnswered) {
			youngestAnswered = s.YoungestAnsweredAge
		}
	}
	if (backendAgo >= 0 && backendAgo < minSilence) || youngestAnswered < 0 || youngestAnswered >= age {
		return false
	}
	packets, duration := uint32(0), time.Duration(0)
	for i := range evidence {
		s := &evidence[i]
		if s.CallerPackets > 0 && (backendAgo < 0 || s.SinceFirstCallerPacket < backendAgo) {
			packets += s.CallerPackets
			duration = max(duration, s.SinceFirstCallerPacket)
		}
	}
	return packets >= minSilentPackets && duration >= minSilence
}

// decideCase resets a flow towards its caller if the evidence shows that it is silent.
func (e *Engine) decideCase(key *flowKey, c *silentCase) {
	if !isSilent(c.evidence) {
		return
	}
	t := CallerReset{Caller: c.record.Caller, Service: c.record.Service, Endpoint: c.record.Endpoint}
	for i := range c.evidence {
		// The caller's acknowledgment number stays the same while it gets no response.
		if a := c.evidence[i].Acknowledgment; a != 0 && (t.Sequence == 0 || int32(a-t.Sequence) > 0) {
			t.Sequence = a
		}
	}
	e.effects.Resets = append(e.effects.Resets, t)
	if _, en := e.flows.find(key, key.hash()); en != nil {
		en.flags |= flagReset
		if en.kind == entryRecord && en.closedOrAskedAt == 0 {
			en.closedOrAskedAt = e.clock
		}
	}
}
