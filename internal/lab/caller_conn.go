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
	state      *callersState
	address    netip.Addr
	phase      phase
	generation uint64 // changes with each new timer, so that an older one is ignored
	request    message
	retries    int           // of request so far
	repeat     bool          // request is sent again on the next connection
	done       int           // requests completed on this connection
	goAway     bool          // the server has asked for the connection to be closed
	since      time.Duration // start of the phase
}

// wakeAt sets the connection's timer and invalidates an earlier one.
func (c *callerConn) wakeAt(at time.Duration) {
	c.generation++
	heap.Push(&c.state.timers, timer{at: at, conn: c, generation: c.generation})
}

func (c *callerConn) enter(p phase, now time.Duration) { c.phase, c.since = p, now }

func (c *callerConn) onTimer(now time.Duration) {
	switch c.phase {
	case phaseClosed:
		c.open(now)
	case phaseIdle:
		c.sendNext(now)
	case phaseWaiting:
		c.state.report.TimedOut++
		c.outcomeUnknown()
		c.abort()
		c.reopenLater(now)
	}
}

func (c *callerConn) open(now time.Duration) {
	if c.state.finishing {
		return
	}
	callers := c.state.callers
	c.done, c.goAway = 0, false
	s, err := callers.host.connect(c.address, callers.config.Target, func(s *socket) {
		_, _ = callers.inbox.Put(callersEvent{conn: c, socket: s})
	})
	if err != nil {
		c.fail(now)
		return
	}
	c.socket = s
	c.enter(phaseOpening, now)
}

// onEvent handles a notification of the connection's socket.
func (c *callerConn) onEvent(now time.Duration) {
	c.handled()
	switch c.phase {
	case phaseOpening:
		c.onOpening(now)
	case phaseIdle, phaseWaiting:
		c.onBytes(now)
	}
}

// onOpening checks whether the connection is established or has failed.
func (c *callerConn) onOpening(now time.Duration) {
	switch c.socket.state() {
	case tcp.StateEstablished, tcp.StateCloseWait:
		r := &c.state.report
		r.Opened++
		r.SlowestOpened = max(r.SlowestOpened, now-c.since)
		c.enter(phaseIdle, now)
		if c.repeat {
			c.sendNext(now)
		} else {
			c.wakeAt(now + c.state.exponential(c.state.callers.config.Pause))
		}
	case tcp.StateError, tcp.StateClose:
		c.close()
		c.fail(now)
	}
}

func (c *callerConn) fail(now time.Duration) {
	c.state.report.ConnectFailed++
	c.reopenLater(now)
}

func (c *callerConn) reopenLater(now time.Duration) {
	c.enter(phaseClosed, now)
	if !c.state.finishing {
		c.wakeAt(now + c.state.exponential(reopenPause))
	}
}

// sendNext sends a new request, or repeats the one whose outcome is unknown.
func (c *callerConn) sendNext(now time.Duration) {
	if c.state.finishing {
		c.closeForGood()
		return
	}
	if c.repeat {
		c.repeat = false
		c.state.report.Retried++
	} else {
		c.request, c.retries = c.state.newRequest(), 0
		c.state.report.Sent++
	}
	c.enter(phaseWaiting, now)
	if err := c.send(c.request.append(nil)); err != nil {
		c.onEnd(err, now)
		return
	}
	if timeout := c.state.callers.config.RequestTimeout; timeout > 0 {
		c.wakeAt(now + timeout)
	}
}

func (c *callerConn) onBytes(now time.Duration) {
	ended := errors.Join(c.receive(maxMessage), c.flush())
	for c.phase != phaseClosed {
		response, length, err := parseMessage(c.in)
		if err != nil {
			c.state.report.Corrupt++
			c.onEnd(err, now)
			return
		}
		if length == 0 {
			break
		}
		c.in = c.in[length:]
		c.onResponse(response, now)
	}
	if ended != nil && c.phase != phaseClosed {
		c.onEnd(ended, now)
	}
}

// onResponse checks that a response belongs to the request of this connection.
func (c *callerConn) onResponse(response message, now time.Duration) {
	r := &c.state.report
	if response.Service != c.state.callers.config.Service {
		r.Misrouted++
	}
	if response.Verb == verbGoAway {
		c.goAway = true
		if c.phase == phaseIdle {
			c.closeAndReopen(now)
		}
		return
	}
	if c.phase != phaseWaiting || response.ID != c.request.ID {
		r.Foreign++
		return
	}
	switch {
	case response.Verb == verbAnswer && response.Size == c.request.Size:
		r.Answered++
		r.SlowestAnswer = max(r.SlowestAnswer, now-c.since)
	case response.Verb == verbRefusal:
		r.Refused++
		if len(r.RefusedIDs) < maxRefusedIDs {
			r.RefusedIDs = append(r.RefusedIDs, response.ID)
		}
	default:
		r.Foreign++
		return
	}
	c.afterResponse(now)
}

func (c *callerConn) afterResponse(now time.Duration) {
	c.done++
	c.generation++ // ends the timeout
	c.enter(phaseIdle, now)
	limit := c.state.callers.config.RequestsPerConnection
	switch {
	case c.state.finishing:
		c.closeForGood()
	case c.goAway || limit > 0 && c.done >= limit:
		c.closeAndReopen(now)
	default:
		c.wakeAt(now + c.state.exponential(c.state.callers.config.Pause))
	}
}

func (c *callerConn) closeAndReopen(now time.Duration) {
	c.close()
	c.reopenLater(now)
}

// onEnd counts a connection that has ended on the server's side or has failed.
func (c *callerConn) onEnd(err error, now time.Duration) {
	r := &c.state.report
	switch {
	case c.phase == phaseWaiting:
		r.Broken++
		c.outcomeUnknown()
	case errors.Is(err, io.EOF):
		r.ClosedByServer++
	default:
		r.Broken++
	}
	c.closeAndReopen(now)
}

// outcomeUnknown counts a request that may or may not have run. Only an
// idempotent request is sent again.
func (c *callerConn) outcomeUnknown() {
	c.state.report.Unknown++
	if c.request.Idempotent && c.retries < c.state.callers.config.Retries {
		c.retries++
		c.repeat = true
	}
}

// closeForGood closes the connection and does not reopen it.
func (c *callerConn) closeForGood() {
	c.generation++
	if c.socket != nil {
		c.close()
	}
	c.phase = phaseClosed
}
