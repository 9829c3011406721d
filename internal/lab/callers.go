package lab

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
)

const (
	// callersTick bounds the timing error of requests.
	callersTick = 2 * time.Millisecond
	// meanReopenPause is the mean pause before a caller reopens a connection; it
	// keeps callers whose connections are refused from retrying in a tight loop.
	meanReopenPause = 250 * time.Millisecond
	// maxRefusedIDs bounds the list of refused requests that is checked at the end.
	maxRefusedIDs = 1 << 20
	// requestNumberBits is the number of low bits of a request id that hold the number
	// of the request within its group; the bits above hold the group.
	requestNumberBits = 40
)

// CallersConfig describes a group of callers of one service.
type CallersConfig struct {
	Name      string
	Group     uint64 // distinguishes the request ids of groups
	Domain    string // of the callers' stack; may differ from every failure domain of the entry hosts
	Addresses []netip.Addr
	Service   string         // name that responses must carry
	Target    netip.AddrPort // service address

	Connections           int           // open at the same time
	OpenAfter             time.Duration // from the start to the first connection
	OpenPerSecond         float64       // rate at which connections are opened for the first time
	RequestsPerConnection int           // after which a connection is closed and reopened; 0 keeps it open
	Pause                 time.Duration // mean pause between two requests of a connection
	Work                  time.Duration // mean time that a request occupies a slot
	BodyBytes             int
	IdempotentShare       float64
	Retries               int           // of an idempotent request with unknown outcome
	RequestTimeout        time.Duration // after which a caller abandons a request and aborts its connection; 0 disables it
	Seed                  uint64
}

// CallersReport holds the counters of a group of callers.
type CallersReport struct {
	Service                      string
	Opened, ConnectFailed        uint64
	Broken                       uint64 // ended by a reset, or by the server with a request in progress
	ClosedByServer               uint64 // closed by a FIN without a request in progress
	Sent, Answered, Refused      uint64
	Unknown                      uint64 // requests whose connection broke, or which timed out, before the answer
	TimedOut                     uint64 // requests that got no answer within the timeout
	Retried                      uint64
	Misrouted                    uint64 // responses of another service
	Mismatched                   uint64 // responses that do not belong to the connection's request
	Corrupt                      uint64 // malformed responses
	Open, Waiting                int    // connections open now, and those that wait for a response
	RefusedIDs                   []uint64
	SlowestAnswer, SlowestOpened time.Duration
}

// Callers is a group of callers on one user-space stack.
type Callers struct {
	config     CallersConfig
	fabric     *Fabric
	stack      *tcpStack
	attachment *attachment
	inbox      *ring.Ring[callersEvent]
	group      *duty.Group
	now        func() time.Duration
	tickQueued atomic.Bool
	state      *callersState // owned by the calling duty
}

// callersEvent is an event for the calling duty: of a connection, a function to
// call, or a tick if all fields are zero.
type callersEvent struct {
	conn   *callerConn
	socket *socket // of conn when the event happened
	do     func(s *callersState)
}

// callersState is the state that the calling duty owns.
type callersState struct {
	callers   *Callers
	random    *rand.Rand
	conns     []*callerConn
	timers    timers
	lastID    uint64
	finishing bool
	report    CallersReport
}

// StartCallers attaches a group of callers to the fabric and starts it.
func StartCallers(f *Fabric, config CallersConfig, log *slog.Logger, onFatal func(error)) (*Callers, error) {
	if len(config.Addresses) == 0 {
		return nil, fmt.Errorf("callers %s: no addresses", config.Name)
	}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	c := &Callers{
		config: config,
		fabric: f,
		// Room for one event of every connection, and for commands and ticks.
		inbox: ring.New[callersEvent](config.Name, 2*config.Connections+1024, ring.DropNewest),
		group: duty.NewGroup(log, watchdogTimeout, onFatal),
		now:   now,
	}
	var err error
	if c.stack, c.attachment, err = f.newStack(config.Domain, config.Addresses); err != nil {
		return nil, fmt.Errorf("callers %s: %w", config.Name, err)
	}
	c.state = newCallersState(c)
	c.group.Add(duty.FromRing(config.Name, c.inbox, c.handle))
	c.group.Add(tickDuty(config.Name+"-clock", callersTick, &c.tickQueued, func() { _, _ = c.inbox.Put(callersEvent{}) }))
	c.group.Add(closeDuty(config.Name+"-closer", c.inbox.Close))
	c.group.Start()
	return c, nil
}

func newCallersState(c *Callers) *callersState {
	s := &callersState{callers: c, random: rand.New(rand.NewPCG(c.config.Seed, c.config.Group))}
	s.report.Service = c.config.Service
	for i := range c.config.Connections {
		conn := &callerConn{state: s, address: c.config.Addresses[i%len(c.config.Addresses)]}
		s.conns = append(s.conns, conn)
		at := c.config.OpenAfter
		if c.config.OpenPerSecond > 0 {
			at += time.Duration(float64(i) / c.config.OpenPerSecond * float64(time.Second))
		}
		conn.setTimer(at)
	}
	return s
}

// Report returns the counters so far.
func (c *Callers) Report() (CallersReport, error) {
	return askCallers(c, func(s *callersState) CallersReport { return s.currentReport() })
}

// Finish stops sending requests. Connections are closed once their request is
// answered, so Waiting in the report falls to 0 unless an answer is lost.
func (c *Callers) Finish() error {
	_, err := askCallers(c, func(s *callersState) bool { s.finish(); return true })
	return err
}

// Stop ends the callers; it sends nothing on connections that are still open.
func (c *Callers) Stop(ctx context.Context) error {
	err := c.fabric.detach(c.attachment)
	err = errors.Join(err, c.group.Stop(ctx))
	c.stack.gvisor.Close()
	return err
}

// askCallers runs do on the calling duty and returns its result.
func askCallers[T any](c *Callers, do func(s *callersState) T) (T, error) {
	reply := ring.New[T](c.config.Name+"-reply", 1, ring.DropNewest)
	if err := putWithRetry(c.inbox, callersEvent{do: func(s *callersState) { _, _ = reply.Put(do(s)) }}); err != nil {
		var zero T
		return zero, fmt.Errorf("callers %s: %w", c.config.Name, err)
	}
	return reply.Get()
}

func (c *Callers) handle(e callersEvent) error {
	now := c.now()
	switch {
	case e.do != nil:
		e.do(c.state)
	case e.conn != nil:
		if e.conn.socket == e.socket { // otherwise the connection has been replaced since
			e.conn.onEvent(now)
		}
	default:
		c.tickQueued.Store(false)
		c.state.tick(now)
	}
	return nil
}

func (s *callersState) tick(now time.Duration) {
	for len(s.timers) > 0 && s.timers[0].at <= now {
		t := heap.Pop(&s.timers).(timer)
		if t.conn.timerGeneration == t.generation {
			t.conn.onTimer(now)
		}
	}
}

func (s *callersState) finish() {
	s.finishing = true
	for _, c := range s.conns {
		if c.phase != phaseWaiting {
			c.closePermanently()
		}
	}
}

func (s *callersState) currentReport() CallersReport {
	r := s.report
	r.RefusedIDs = append([]uint64(nil), s.report.RefusedIDs...)
	for _, c := range s.conns {
		switch c.phase {
		case phaseIdle:
			r.Open++
		case phaseWaiting:
			r.Open++
			r.Waiting++
		}
	}
	return r
}

// newRequest returns a request with a new id and random properties.
func (s *callersState) newRequest() message {
	config := &s.callers.config
	s.lastID++
	return message{
		Verb: verbRequest, ID: config.Group<<requestNumberBits | s.lastID, Service: config.Service, Sender: config.Name,
		Idempotent: s.random.Float64() < config.IdempotentShare,
		Work:       s.exponentialDuration(config.Work), BodyBytes: config.BodyBytes,
	}
}

// exponentialDuration returns an exponentially distributed duration.
func (s *callersState) exponentialDuration(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// timer fires for a connection unless the connection's generation has changed.
type timer struct {
	at         time.Duration
	conn       *callerConn
	generation uint64
}

// timers is a heap ordered by time.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(a, b int) bool { return t[a].at < t[b].at }
func (t timers) Swap(a, b int)      { t[a], t[b] = t[b], t[a] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	*t = (*t)[:last]
	return x
}
