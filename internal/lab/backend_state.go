package lab

import (
	"net/netip"
	"time"
)

// backendConn is an accepted connection.
type backendConn struct {
	*socket
	caller     netip.AddrPort
	acceptedAt time.Duration // when it was accepted
	pending    int           // requests that are not answered yet
}

// backendState is the state that the serving duty of a backend server owns.
type backendState struct {
	backend        *Backend
	worker         *worker
	conns          map[*backendConn]struct{}
	state          string
	retiringSince  time.Duration // when it began to drain or leave
	nextAnnounceAt time.Duration
	stateAnnounced bool          // state has been announced
	closedSince    time.Duration // when a leaving instance stopped taking connections; 0 before
	hasLeft        bool          // no connection is open or can open any more; the instance may be stopped
	faults         BackendFaults
	history        loadHistory
	counters       BackendReport // only the counters that backendState updates
}

func newBackendState(b *Backend) *backendState {
	return &backendState{
		backend: b,
		worker:  newWorker(b.config.Slots, b.config.QueueLimit),
		conns:   map[*backendConn]struct{}{},
		state:   stateStarting,
	}
}

// acceptAll accepts the connections that wait at the listener.
func (s *backendState) acceptAll(now time.Duration) {
	s.backend.listener.allowNotify()
	for {
		accepted := s.backend.listener.accept()
		if accepted == nil {
			return
		}
		c := &backendConn{socket: accepted, caller: accepted.remote(), acceptedAt: now}
		if len(s.conns) >= maxConnections {
			accepted.abort()
			continue
		}
		if s.isRetiring() && now-s.retiringSince > newFlowGracePeriod {
			s.counters.LateFlows++
		}
		if len(s.counters.Accepted) < maxAccepted {
			s.counters.Accepted = append(s.counters.Accepted, Accepted{Caller: c.caller, At: now})
		}
		s.conns[c] = struct{}{}
		c.watch(func() { _, _ = s.backend.inbox.Put(backendEvent{conn: c}) })
		if s.state == stateLeaving {
			s.sendGoAway(c)
		}
		s.handleConn(c, now) // bytes may have arrived before watch
	}
}

// handleConn handles an event of one connection.
func (s *backendState) handleConn(c *backendConn, now time.Duration) {
	c.allowNotify()
	if c.closed {
		return
	}
	ended := c.receive(maxMessageBytes)
	for {
		request, length, err := parseMessage(c.received)
		if err != nil {
			s.counters.Malformed++
			s.endConn(c, c.abort)
			return
		}
		if length == 0 {
			break
		}
		c.received = c.received[length:]
		s.handleRequest(c, request, now)
	}
	if err := c.flush(); ended != nil || err != nil {
		s.endConn(c, c.close)
	}
}

// handleRequest runs, queues or refuses one request.
func (s *backendState) handleRequest(c *backendConn, request message, now time.Duration) {
	if request.Verb != verbRequest || request.Service != s.backend.config.Service {
		s.worker.stats.Misrouted++
		s.reply(c, request, verbRefusal)
		return
	}
	if !s.worker.accept(job{request: request, conn: c}, now) {
		s.reply(c, request, verbRefusal)
		return
	}
	c.pending++
}

// reply answers a request; only an answer carries a body.
func (s *backendState) reply(c *backendConn, request message, verb string) {
	answer := request
	answer.Verb, answer.Service, answer.Sender = verb, s.backend.config.Service, s.backend.config.Instance
	if verb != verbAnswer {
		answer.BodyBytes = 0
	}
	if !c.closed && c.send(answer.append(nil)) != nil {
		s.endConn(c, c.close)
	}
}

// sendGoAway asks a caller to close its connection.
func (s *backendState) sendGoAway(c *backendConn) {
	s.reply(c, message{}, verbGoAway)
}

// endConn ends a connection with the given function and forgets it.
func (s *backendState) endConn(c *backendConn, closeSocket func()) {
	closeSocket()
	delete(s.conns, c)
}

// tick answers the requests that have finished, samples the load, and announces
// or leaves when that is due.
func (s *backendState) tick(now time.Duration) {
	for {
		done, ok := s.worker.popFinished(now)
		if !ok {
			break
		}
		done.conn.pending--
		s.reply(done.conn, done.request, verbAnswer)
	}
	if s.state == stateStarting && now >= s.backend.config.ColdStart {
		s.setState(stateReady)
	}
	s.history.record(now, s.currentLoad())
	if now >= s.nextAnnounceAt {
		s.sendAnnouncement(now)
	}
	if s.state == stateLeaving {
		s.leaveIfIdle(now)
	}
}

// leaveIfIdle stops taking connections when none is open, and marks the instance as having
// left when no handshake is in progress either. A connection that opened between the last
// look and the stop would break.
func (s *backendState) leaveIfIdle(now time.Duration) {
	leaving := now - s.retiringSince
	if leaving > leaveTimeout {
		for c := range s.conns {
			s.counters.Aborted++
			s.endConn(c, c.abort)
		}
	}
	// Until the limit, entry hosts that do not know its state yet may still send
	// new connections.
	if len(s.conns) > 0 || leaving <= newFlowGracePeriod {
		return
	}
	stack := s.backend.stack
	switch {
	case s.closedSince == 0:
		s.closedSince = now
		stack.link.dropNewFlows.Store(true)
	case now-s.closedSince > firstPacketTimeout:
		s.hasLeft = leaving > leaveTimeout || !stack.hasOpenConnection()
	}
}

// isRetiring reports whether the instance is draining or leaving.
func (s *backendState) isRetiring() bool { return s.state == stateDraining || s.state == stateLeaving }

// retire changes the state to draining or leaving. A leaving instance does not
// return to draining.
func (s *backendState) retire(state string) {
	if s.state == stateLeaving {
		return
	}
	if !s.isRetiring() {
		s.retiringSince = s.backend.now()
	}
	s.setState(state)
	if state == stateLeaving {
		for c := range s.conns {
			s.sendGoAway(c)
		}
	}
}

// setState changes the state and makes the next tick announce it.
func (s *backendState) setState(state string) {
	s.state, s.stateAnnounced, s.nextAnnounceAt = state, false, 0
}

func (s *backendState) setFaults(faults BackendFaults) {
	s.faults = faults
	s.history.freeze(s.currentLoad())
}

func (s *backendState) oldestCaller() netip.AddrPort {
	var oldest *backendConn
	for c := range s.conns {
		if oldest == nil || c.acceptedAt < oldest.acceptedAt {
			oldest = c
		}
	}
	if oldest == nil {
		return netip.AddrPort{}
	}
	return oldest.caller
}

func (s *backendState) currentLoad() loadReport {
	return loadReport{
		State: s.state, Slots: s.worker.slots, Busy: len(s.worker.running),
		Queued: len(s.worker.waiting), Connections: len(s.conns),
	}
}

// report returns a copy of the counters, so that the receiver shares no memory with the duty.
func (s *backendState) report() BackendReport {
	s.worker.integrate(s.backend.now())
	r := s.counters
	r.Instance, r.Service, r.State = s.backend.config.Instance, s.backend.config.Service, s.state
	r.Slots, r.Work, r.Open = s.worker.slots, s.worker.stats, len(s.conns)
	r.LateFlows += s.backend.stack.link.droppedNewFlows.Load()
	r.Accepted = append([]Accepted(nil), s.counters.Accepted...)
	r.Executions = make(map[uint64]Execution, len(s.worker.executions))
	for id, execution := range s.worker.executions {
		r.Executions[id] = execution
	}
	return r
}
