package lab

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"time"

	"cassiawood/internal/duty"
	"cassiawood/internal/ring"
)

const (
	// runnerTick bounds the timing error of actions.
	runnerTick = 20 * time.Millisecond
	// runnerInboxCapacity is the number of actions and queries that may wait.
	runnerInboxCapacity = 256
	// stopTimeout bounds the shutdown of one backend server, whose duties run no long
	// operations.
	stopTimeout = 10 * time.Second
)

// Config describes a lab.
type Config struct {
	Fabric   FabricConfig
	Backends []BackendConfig // actions refer to them by Instance
	Callers  []CallersConfig
	Proxies  []ProxyConfig
	Timeline []TimedAction
}

// TimedAction is an action with its time since the start of the lab.
type TimedAction struct {
	At     time.Duration
	Action Action
}

// Lab runs a fabric with backend servers and callers, and applies actions to them.
type Lab struct {
	config     Config
	log        *slog.Logger
	onFatal    func(error)
	fabric     *Fabric
	callers    []*Callers
	proxies    []*Proxy
	inbox      *ring.Ring[runnerEvent]
	group      *duty.Group
	now        func() time.Duration
	tickQueued atomic.Bool
	state      *runner // owned by the runner duty once it has started
}

// runnerEvent is a function for the runner duty to call, or a tick if do is nil.
type runnerEvent struct {
	do func(c *runner)
}

// managedBackend is one configured backend server, of which at most one instance runs at a time.
type managedBackend struct {
	config           BackendConfig
	instance         *Backend // nil while none runs
	instancesStarted int      // instances started so far
	restarting       bool     // the next instance starts when the current one has left
}

// runner is the state that the runner duty owns.
type runner struct {
	lab          *Lab
	backends     map[string]*managedBackend
	timeline     []TimedAction   // actions still to run, in order of time
	endedReports []BackendReport // of instances that have ended
	failures     []error         // of timed actions
	// expectedBreaks counts, by service, the connections broken by crashed or silenced
	// backend servers, which no load balancer can preserve.
	expectedBreaks map[string]int
}

// Start opens the fabric and starts the backend servers and callers.
func Start(config Config, log *slog.Logger, onFatal func(error)) (*Lab, error) {
	fabric, err := NewFabric(config.Fabric, log, onFatal)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	l := &Lab{
		config: config, log: log, onFatal: onFatal, fabric: fabric,
		inbox: ring.New[runnerEvent]("runner", runnerInboxCapacity, ring.DropNewest),
		now:   func() time.Duration { return time.Since(start) },
	}
	l.group = duty.NewGroup(log, watchdogTimeout, onFatal)
	l.state = &runner{lab: l, backends: map[string]*managedBackend{}, expectedBreaks: map[string]int{}, timeline: sortedByTime(config.Timeline)}
	fabric.Start()
	if err := l.startAll(); err != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		return nil, errors.Join(err, l.stopAll(ctx))
	}
	l.group.Add(duty.FromRing("runner", l.inbox, l.handle))
	l.group.Add(tickDuty("runner-clock", runnerTick, &l.tickQueued, func() { _, _ = l.inbox.Put(runnerEvent{}) }))
	l.group.Add(closeDuty("runner-closer", l.inbox.Close))
	l.group.Start()
	return l, nil
}

func (l *Lab) startAll() error {
	for i, config := range l.config.Proxies {
		proxy, err := StartProxy(l.fabric, config, l.config.domainsByAddr(), l.config.Fabric.Seed+uint64(i), l.log, l.onFatal)
		if err != nil {
			return err
		}
		l.proxies = append(l.proxies, proxy)
	}
	for _, config := range l.config.Backends {
		b := &managedBackend{config: config}
		l.state.backends[config.Instance] = b
		if err := l.state.startInstance(b); err != nil {
			return err
		}
	}
	for _, config := range l.config.Callers {
		c, err := StartCallers(l.fabric, config, l.log, l.onFatal)
		if err != nil {
			return err
		}
		l.callers = append(l.callers, c)
	}
	return nil
}

// domainsByAddr returns the failure domain of each address from which a process may
// dial: the addresses of entry hosts and of the processes behind proxies.
func (c *Config) domainsByAddr() map[netip.Addr]string {
	domains := map[netip.Addr]string{}
	for _, e := range c.Fabric.EntryHosts {
		domains[e.Addr.Addr()] = e.Domain
	}
	for _, p := range c.Proxies {
		domains[p.Target.Addr()] = p.Domain
	}
	return domains
}

// Fabric returns the fabric of the lab.
func (l *Lab) Fabric() *Fabric { return l.fabric }

// Do runs an action now.
func (l *Lab) Do(a Action) error {
	result, err := askRunner(l, func(c *runner) error { return a.do(c) })
	return errors.Join(err, result)
}

// Finish makes the callers stop sending requests and close their connections
// once their requests are answered. It returns when no request is outstanding or
// ctx ends.
func (l *Lab) Finish(ctx context.Context) error {
	for _, c := range l.callers {
		if err := c.Finish(); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(runnerTick)
	defer ticker.Stop()
	for {
		waiting, err := l.waitingRequests()
		if err != nil || waiting == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return nil // the report counts the outstanding requests as lost
		case <-ticker.C:
		}
	}
}

// waitingRequests returns the number of outstanding requests.
func (l *Lab) waitingRequests() (int, error) {
	waiting := 0
	for _, c := range l.callers {
		r, err := c.Report()
		if err != nil {
			return 0, err
		}
		waiting += r.Waiting
	}
	return waiting, nil
}

// Stop ends the runner, the callers, the backend servers, the proxies and the fabric.
func (l *Lab) Stop(ctx context.Context) error {
	return errors.Join(l.group.Stop(ctx), l.stopAll(ctx))
}

func (l *Lab) stopAll(ctx context.Context) error {
	var failures error
	for _, c := range l.callers {
		failures = errors.Join(failures, c.Stop(ctx))
	}
	for _, b := range l.state.backends {
		if b.instance != nil {
			failures = errors.Join(failures, b.instance.Stop(ctx))
		}
	}
	for _, p := range l.proxies {
		failures = errors.Join(failures, p.Stop(ctx))
	}
	return errors.Join(failures, l.fabric.Stop(ctx))
}

// askRunner runs do on the runner duty and returns its result.
func askRunner[T any](l *Lab, do func(c *runner) T) (T, error) {
	reply := ring.New[T]("runner-reply", 1, ring.DropNewest)
	if err := putWithRetry(l.inbox, runnerEvent{do: func(c *runner) { _, _ = reply.Put(do(c)) }}); err != nil {
		var zero T
		return zero, fmt.Errorf("lab: %w", err)
	}
	return reply.Get()
}

func (l *Lab) handle(e runnerEvent) error {
	if e.do != nil {
		e.do(l.state)
		return nil
	}
	l.tickQueued.Store(false)
	return l.state.tick(l.now())
}

// tick runs the actions that are due, stops instances that have left and starts
// their successors.
func (c *runner) tick(now time.Duration) error {
	for len(c.timeline) > 0 && c.timeline[0].At <= now {
		next := c.timeline[0]
		c.timeline = c.timeline[1:]
		c.lab.log.Info("action", "at", next.At, "action", next.Action.String())
		if err := next.Action.do(c); err != nil {
			c.failures = append(c.failures, fmt.Errorf("%s: %w", next.Action, err))
		}
	}
	for _, b := range c.backends {
		if b.instance == nil {
			continue
		}
		left, err := b.instance.HasLeft()
		if err != nil {
			return err
		}
		if left {
			if err := c.replaceInstance(b); err != nil {
				return err
			}
		}
	}
	return nil
}

// replaceInstance stops an instance that has left and, if a restart was requested,
// starts the next one.
func (c *runner) replaceInstance(b *managedBackend) error {
	if err := c.stopInstance(b); err != nil {
		return err
	}
	if !b.restarting {
		return nil
	}
	b.restarting = false
	return c.startInstance(b)
}

// startInstance starts the next instance of a backend server. Each instance gets a new
// name, since the directory treats a restarted backend server as a new one.
func (c *runner) startInstance(b *managedBackend) error {
	if b.instance != nil {
		return fmt.Errorf("backend server %s is already running", b.config.Instance)
	}
	b.instancesStarted++
	config := b.config
	config.Instance = fmt.Sprintf("%s.%d", b.config.Instance, b.instancesStarted)
	instance, err := StartBackend(c.lab.fabric, config, c.lab.log, c.lab.onFatal)
	if err != nil {
		return err
	}
	b.instance = instance
	return nil
}

// crashInstance stops the running instance without sending its callers a FIN or a reset.
func (c *runner) crashInstance(b *managedBackend) error {
	if err := c.stopInstance(b); err != nil {
		return err
	}
	c.expectedBreaks[b.config.Service] += c.endedReports[len(c.endedReports)-1].Open
	return nil
}

// stopInstance stops the running instance and keeps its report.
func (c *runner) stopInstance(b *managedBackend) error {
	report, err := b.instance.Report()
	if err != nil {
		return err
	}
	c.endedReports = append(c.endedReports, report)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err = b.instance.Stop(ctx)
	b.instance = nil
	return err
}
