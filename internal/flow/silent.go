package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

const (
	// A flow is silent if the caller sent at least silentPackets over at least silentAfter
	// without a response (docs/design.md, section 5.3). Three packets in 15 s rule out a
	// single lost response.
	silentAfter   = 15 * time.Second
	silentPackets = 3
	// answerFresh bounds the age of the response that shows that the endpoint works. If the
	// endpoint answers no flow at all, that is not evidence against a single flow.
	answerFresh = 5 * time.Second
	// callerGap is the pause after which the count of caller packets starts anew. It exceeds
	// the interval between retransmissions within silentAfter, even at a host that sees only
	// some of them.
	callerGap = 2 * silentAfter
	// reportInterval is the time between a host's reports about the same flow.
	reportInterval = 10 * time.Second
	// caseLife is how long the examining host waits for the evidence of the others.
	caseLife = 3 * time.Second
	// suspectLimit bounds the flows reported per tick, and so the control traffic when an
	// endpoint stops answering altogether.
	suspectLimit = 64
	// caseLimit bounds the flows that a host examines at once.
	caseLimit = 1024
)

// answers holds the start of an endpoint's youngest flow with a recent response, and the
// time of that response.
type answers struct{ began, at stamp }

// silence detects flows whose endpoint no longer responds.
type silence struct {
	answered map[directory.EndpointID]answers
	found    []flowKey // suspects to report at the next tick
	cases    map[flowKey]*silentCase
}

// silentCase is a suspected flow for which this host collects the evidence of all hosts.
type silentCase struct {
	until    time.Duration
	asked    bool     // the other hosts were queried
	waiting  []string // hosts whose evidence is missing
	record   Record
	evidence []Suspect
}

func (s *silence) init() {
	s.answered = map[directory.EndpointID]answers{}
	s.cases = map[flowKey]*silentCase{}
}

// noteAnswer notes a response to a flow.
func (s *silence) noteAnswer(en *entry, now stamp) {
	a := s.answered[en.endpoint]
	if en.began >= a.began || now.since(a.at) > answerFresh {
		s.answered[en.endpoint] = answers{en.began, now}
	}
}

// checkSilent adds a flow to the suspects if its caller has sent packets for silentAfter
// without a response. An idle flow has no recent caller packets and is never a suspect.
func (e *Engine) checkSilent(en *entry) {
	s := &e.silent
	if en.callerPackets == 0 || e.clock.since(en.callerSince) < silentAfter ||
		e.clock.since(en.fromCaller) > callerGap || len(s.found) >= suspectLimit {
		return
	}
	if en.suspected != 0 && e.clock.since(en.suspected) < reportInterval {
		return
	}
	en.suspected = e.clock
	s.found = append(s.found, en.key)
}

// tickSilence reports the suspects found since the last tick to their examining hosts
// and decides the cases whose evidence is complete.
func (e *Engine) tickSilence() {
	s := &e.silent
	reports := map[string][]Suspect{}
	for i := range s.found {
		suspect, examiner, ok := e.evidence(&s.found[i])
		if !ok {
			continue
		}
		if examiner == e.cfg.Host {
			e.openCase(&suspect, "")
			continue
		}
		reports[examiner] = append(reports[examiner], suspect)
	}
	s.found = s.found[:0]
	for to, list := range reports {
		e.send(Message{To: to, Suspects: &Suspects{Suspects: list}})
	}
	e.queryCases()
	for key, c := range s.cases {
		switch {
		case len(c.waiting) == 0:
			delete(s.cases, key)
			e.decideCase(&key, c)
		case e.now >= c.until:
			delete(s.cases, key) // a flow is terminated only on the evidence of all hosts
		}
	}
}

// evidence returns this host's observations of a flow, and the host that examines it.
func (e *Engine) evidence(key *flowKey) (s Suspect, examiner string, ok bool) {
	if e.table == nil {
		return s, "", false
	}
	s.Record = Record{Caller: key.caller(), Service: key.service(), Protocol: key[12]}
	s.BackendAgo, s.LaterAnswered = -1, -1
	_, en := e.flows.find(key, key.hash())
	if en == nil {
		return s, "", false
	}
	s.Record.Endpoint, s.Record.Sequence, s.Record.State = en.endpoint, en.sequence, Sent
	s.CallerPackets, s.Acknowledgment = uint32(en.callerPackets), en.ack
	if en.callerPackets > 0 {
		s.CallerFor = e.clock.since(en.callerSince)
	}
	if en.fromBackend != 0 {
		s.BackendAgo = e.clock.since(en.fromBackend)
	}
	s.Age = e.clock.since(en.began)
	if a, known := e.silent.answered[en.endpoint]; known && e.clock.since(a.at) <= answerFresh {
		s.LaterAnswered = e.clock.since(a.began)
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
	first, second, _ := e.table.Holders(svc.Name, int(key.hash()&uint64(svc.Buckets-1)), id)
	if first != e.cfg.Host && !e.reachable(first) {
		return second
	}
	return first
}

// openCase starts the examination of a suspected flow. from is the reporting host, empty
// for this one.
func (e *Engine) openCase(s *Suspect, from string) {
	key, ok := makeKey(s.Record.Caller, s.Record.Service, s.Record.Protocol)
	if !ok || len(e.silent.cases) >= caseLimit {
		return
	}
	if e.silent.cases[key] != nil {
		return
	}
	c := &silentCase{until: e.now + caseLife, record: s.Record, evidence: []Suspect{*s}}
	if from != "" {
		if own, _, known := e.evidence(&key); known {
			c.evidence = append(c.evidence, own)
		}
	}
	for name, p := range e.peers {
		if p.up && name != from {
			c.waiting = append(c.waiting, name)
		}
	}
	e.silent.cases[key] = c
}

// queryCases requests evidence about newly opened cases from the other hosts.
func (e *Engine) queryCases() {
	queries := map[string][]Suspect{}
	for _, c := range e.silent.cases {
		if c.asked {
			continue
		}
		c.asked = true
		for _, to := range c.waiting {
			queries[to] = append(queries[to], Suspect{Record: c.record})
		}
	}
	for to, list := range queries {
		e.send(Message{To: to, Suspects: &Suspects{Query: true, Suspects: list}})
	}
}

// Suspects handles evidence from another host, or its query for evidence.
func (e *Engine) Suspects(now time.Duration, from string, s *Suspects) {
	e.setNow(now)
	if s.Query {
		e.answerQuery(from, s.Suspects)
		return
	}
	for i := range s.Suspects {
		one := &s.Suspects[i]
		key, ok := makeKey(one.Record.Caller, one.Record.Service, one.Record.Protocol)
		if !ok {
			continue
		}
		c := e.silent.cases[key]
		if c == nil {
			e.openCase(one, from)
			continue
		}
		if at := slices.Index(c.waiting, from); at >= 0 {
			c.waiting = slices.Delete(c.waiting, at, at+1)
			c.evidence = append(c.evidence, *one)
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
		own, _, known := e.evidence(&key)
		if !known {
			own = Suspect{Record: *r, BackendAgo: -1, LaterAnswered: -1}
		}
		reply = append(reply, own)
	}
	e.send(Message{To: from, Suspects: &Suspects{Suspects: reply}})
}

// isSilent reports whether the evidence of all hosts shows a silent flow. A host's caller
// packets count only if all of them came after the last response that any host saw.
func isSilent(evidence []Suspect) bool {
	backendAgo, later := time.Duration(-1), time.Duration(-1)
	var age time.Duration
	for i := range evidence {
		s := &evidence[i]
		age = max(age, s.Age)
		if s.BackendAgo >= 0 && (backendAgo < 0 || s.BackendAgo < backendAgo) {
			backendAgo = s.BackendAgo
		}
		if s.LaterAnswered >= 0 && (later < 0 || s.LaterAnswered < later) {
			later = s.LaterAnswered
		}
	}
	if (backendAgo >= 0 && backendAgo < silentAfter) || later < 0 || later >= age {
		return false
	}
	packets, lasting := uint32(0), time.Duration(0)
	for i := range evidence {
		s := &evidence[i]
		if s.CallerPackets > 0 && (backendAgo < 0 || s.CallerFor < backendAgo) {
			packets += s.CallerPackets
			lasting = max(lasting, s.CallerFor)
		}
	}
	return packets >= silentPackets && lasting >= silentAfter
}

// decideCase resets a flow towards its caller if the evidence shows that it is silent.
func (e *Engine) decideCase(key *flowKey, c *silentCase) {
	if !isSilent(c.evidence) {
		return
	}
	t := Termination{Caller: c.record.Caller, Service: c.record.Service, Endpoint: c.record.Endpoint}
	for i := range c.evidence {
		// The caller's acknowledgment number stays the same while it gets no response.
		if a := c.evidence[i].Acknowledgment; a != 0 && (t.Sequence == 0 || int32(a-t.Sequence) > 0) {
			t.Sequence = a
		}
	}
	e.out.Resets = append(e.out.Resets, t)
	if _, en := e.flows.find(key, key.hash()); en != nil {
		en.flags |= flagReset
		if en.kind == entryRecord && en.mark == 0 {
			en.mark = e.clock
		}
	}
}
