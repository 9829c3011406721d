package flow

import (
	"slices"
	"time"

	"cassiawood/internal/directory"
)

const (
	// silentAfter and silentPackets define a silent flow (5.3). Three packets in 15 s
	// exclude a single lost answer.
	silentAfter   = 15 * time.Second
	silentPackets = 3
	// answerFresh bounds the age of the response that shows that the endpoint works. An
	// endpoint that stopped answering altogether is no sign of a silent flow.
	answerFresh = 5 * time.Second
	// callerGap ends a run of caller packets. It exceeds the pause between repetitions
	// within silentAfter, also at a host that sees only some of them.
	callerGap = 2 * silentAfter
	// reportInterval is the time between reports of one host about one flow.
	reportInterval = 10 * time.Second
	// caseLife is how long the first holder waits for the evidence of the others.
	caseLife = 3 * time.Second
	// suspectLimit bounds the flows in one batch, and so the control traffic when an
	// endpoint stops answering altogether.
	suspectLimit = 64
	// caseLimit bounds the flows that a holder examines at once.
	caseLimit = 1024
)

// answers is the youngest flow of an endpoint with a recent response.
type answers struct{ began, at stamp }

// silence collects the evidence of silent flows.
type silence struct {
	answered map[directory.EndpointID]answers
	found    []flowKey // suspects to report at the next tick
	cases    map[flowKey]*silentCase
}

// silentCase is a suspect that this host examines as the flow's first holder.
type silentCase struct {
	until    time.Duration
	asked    bool
	waiting  []string
	record   Record
	evidence []Suspect
}

func (s *silence) init() {
	s.answered = map[directory.EndpointID]answers{}
	s.cases = map[flowKey]*silentCase{}
}

func (s *silence) noteAnswer(en *entry, now stamp) {
	a := s.answered[en.endpoint]
	if en.began >= a.began || now.since(a.at) > answerFresh {
		s.answered[en.endpoint] = answers{en.began, now}
	}
}

// checkSilent looks at one flow under the clock hand. An idle flow has no recent
// caller packets and is never a suspect.
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

// tickSilence reports the suspects found since the last tick to their first holders
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
			delete(s.cases, key) // without all evidence nothing is terminated
		}
	}
}

// evidence returns what this host knows of a flow, and the host that examines it.
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

// examiner returns the host that collects the evidence about a flow: the first
// holder of its bucket, or the second if that cannot be reached.
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

// openCase begins to examine a flow that a host suspects; from is empty for this host.
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

// queryCases asks the other hosts for evidence about newly opened cases.
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

// Suspects handles evidence of another host, or its question for evidence.
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

// isSilent decides on the evidence of all hosts. Packets count only if they were all
// sent after the last response that any host has seen.
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

// decideCase terminates a silent flow towards its caller.
func (e *Engine) decideCase(key *flowKey, c *silentCase) {
	if !isSilent(c.evidence) {
		return
	}
	t := Termination{Caller: c.record.Caller, Service: c.record.Service, Endpoint: c.record.Endpoint}
	for i := range c.evidence {
		// The caller's acknowledgments do not advance while it gets nothing.
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
