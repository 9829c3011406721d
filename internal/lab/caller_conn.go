package lab

import (
	"container/heap"
	"errors"
	"io"
	"net/netip"
	"time"

	"gvisor.dev/gvisor/pkg/tcpip/transport/tcp"
)

// phase is the state of a caller's connection.
type phase int

const (
	phaseClosed phase = iota
	phaseOpening
	phaseIdle
	phaseWaiting // for a response
)

// callerConn is one connection of a caller; it is reopened when it ends.
type callerConn struct {
	*socket
	state           *callersState
	address         netip.Addr
	phase           phase
	timerGeneration uint64 // changes with each new timer, so that an older one is ignored
	request         message
	retries         int           // of request so far
	resend          bool          // request is sent again on the next connection
	completed       int           // requests completed on this connection
	goAwayReceived  bool          // the server has asked for the connection to be closed
	phaseStart      time.Duration // start of the phase
}

// setTimer sets the connection's timer and invalidates an earlier one.
func (c *callerConn) setTimer(at time.Duration) {
	c.timerGeneration++
	heap.Push(&c.state.timers, timer{at: at, conn: c, generation: c.timerGeneration})
}

func (c *callerConn) setPhase(p phase, now time.Duration) { c.phase, c.phaseStart = p, now }

func (c *callerConn) onTimer(now time.Duration) {
	switch c.phase {
	case phaseClosed:
		c.open(now)
	case phaseIdle:
		c.sendNext(now)
	case phaseWaiting:
		c.state.report.TimedOut++
		c.recordUnknownOutcome()
		c.abort()
		c.reopenLater(now)
	}
}

func (c *callerConn) open(now time.Duration) {
	if c.state.finishing {
		return
	}
	callers := c.state.callers
	c.completed, c.goAwayReceived = 0, false
	s, err := callers.stack.connect(c.address, callers.config.Target, func(s *socket) {
		_, _ = callers.inbox.Put(callersEvent{conn: c, socket: s})
	})
	if err != nil {
		c.connectFailed(now)
		return
	}
	c.socket = s
	c.setPhase(phaseOpening, now)
}

// onEvent handles a notification of the connection's socket.
func (c *callerConn) onEvent(now time.Duration) {
	c.allowNotify()
	switch c.phase {
	case phaseOpening:
		c.onOpening(now)
	case phaseIdle, phaseWaiting:
		c.onData(now)
	}
}

// onOpening checks whether the connection is established or has failed.
func (c *callerConn) onOpening(now time.Duration) {
	switch c.socket.state() {
	case tcp.StateEstablished, tcp.StateCloseWait:
		r := &c.state.report
		r.Opened++
		r.SlowestOpened = max(r.SlowestOpened, now-c.phaseStart)
		c.setPhase(phaseIdle, now)
		if c.resend {
			c.sendNext(now)
		} else {
			c.setTimer(now + c.state.exponentialDuration(c.state.callers.config.Pause))
		}
	case tcp.StateError, tcp.StateClose:
		c.close()
		c.connectFailed(now)
	}
}

// connectFailed counts a connection that could not be opened.
func (c *callerConn) connectFailed(now time.Duration) {
	c.state.report.ConnectFailed++
	c.reopenLater(now)
}

func (c *callerConn) reopenLater(now time.Duration) {
	c.setPhase(phaseClosed, now)
	if !c.state.finishing {
		c.setTimer(now + c.state.exponentialDuration(meanReopenPause))
	}
}

// sendNext sends a new request, or repeats the one whose outcome is unknown.
func (c *callerConn) sendNext(now time.Duration) {
	if c.state.finishing {
		c.closePermanently()
		return
	}
	if c.resend {
		c.resend = false
		c.state.report.Retried++
	} else {
		c.request, c.retries = c.state.newRequest(), 0
		c.state.report.Sent++
	}
	c.setPhase(phaseWaiting, now)
	if err := c.send(c.request.append(nil)); err != nil {
		c.onConnectionEnd(err, now)
		return
	}
	if timeout := c.state.callers.config.RequestTimeout; timeout > 0 {
		c.setTimer(now + timeout)
	}
}

func (c *callerConn) onData(now time.Duration) {
	ended := errors.Join(c.receive(maxMessageBytes), c.flush())
	for c.phase != phaseClosed {
		response, length, err := parseMessage(c.received)
		if err != nil {
			c.state.report.Corrupt++
			c.onConnectionEnd(err, now)
			return
		}
		if length == 0 {
			break
		}
		c.received = c.received[length:]
		c.onResponse(response, now)
	}
	if ended != nil && c.phase != phaseClosed {
		c.onConnectionEnd(ended, now)
	}
}

// onResponse checks that a response belongs to the request of this connection.
func (c *callerConn) onResponse(response message, now time.Duration) {
	r := &c.state.report
	if response.Service != c.state.callers.config.Service {
		r.Misrouted++
	}
	if response.Verb == verbGoAway {
		c.goAwayReceived = true
		if c.phase == phaseIdle {
			c.closeAndReopen(now)
		}
		return
	}
	if c.phase != phaseWaiting || response.ID != c.request.ID {
		r.Mismatched++
		return
	}
	switch {
	case response.Verb == verbAnswer && response.BodyBytes == c.request.BodyBytes:
		r.Answered++
		r.SlowestAnswer = max(r.SlowestAnswer, now-c.phaseStart)
	case response.Verb == verbRefusal:
		r.Refused++
		if len(r.RefusedIDs) < maxRefusedIDs {
			r.RefusedIDs = append(r.RefusedIDs, response.ID)
		}
	default:
		r.Mismatched++
		return
	}
	c.afterResponse(now)
}

func (c *callerConn) afterResponse(now time.Duration) {
	c.completed++
	c.timerGeneration++ // ends the timeout
	c.setPhase(phaseIdle, now)
	limit := c.state.callers.config.RequestsPerConnection
	switch {
	case c.state.finishing:
		c.closePermanently()
	case c.goAwayReceived || limit > 0 && c.completed >= limit:
		c.closeAndReopen(now)
	default:
		c.setTimer(now + c.state.exponentialDuration(c.state.callers.config.Pause))
	}
}

func (c *callerConn) closeAndReopen(now time.Duration) {
	c.close()
	c.reopenLater(now)
}

// onConnectionEnd counts a connection that the server has closed or that has failed.
func (c *callerConn) onConnectionEnd(err error, now time.Duration) {
	r := &c.state.report
	switch {
	case c.phase == phaseWaiting:
		r.Broken++
		c.recordUnknownOutcome()
	case errors.Is(err, io.EOF):
		r.ClosedByServer++
	default:
		r.Broken++
	}
	c.closeAndReopen(now)
}

// recordUnknownOutcome counts a request that may or may not have run. Only an
// idempotent request is sent again.
func (c *callerConn) recordUnknownOutcome() {
	c.state.report.Unknown++
	if c.request.Idempotent && c.retries < c.state.callers.config.Retries {
		c.retries++
		c.resend = true
	}
}

// closePermanently closes the connection and does not reopen it.
func (c *callerConn) closePermanently() {
	c.timerGeneration++
	if c.socket != nil {
		c.close()
	}
	c.phase = phaseClosed
}
