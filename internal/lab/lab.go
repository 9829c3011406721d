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
	// conductorTick bounds the error of the times of actions.
	conductorTick = 20 * time.Millisecond
	// conductorRing holds the actions and questions that wait.
	conductorRing = 256
	// stopLimit bounds the end of one backend server, whose duties do nothing long.
	stopLimit = 10 * time.Second
)

// Config describes a lab.
type Config struct {
	Fabric   FabricConfig
	Backends []BackendConfig // Instance is also the name in actions
	Callers  []CallersConfig
	Gates    []GateConfig
	Timeline []Timed
}

// Timed is an action at a time since the start of the lab.
type Timed struct {
	At     time.Duration
	Action Action
}

// Lab runs a fabric with backend servers and callers, and changes them as told.
type Lab struct {
	config  Config
	log     *slog.Logger
	onFatal func(error)
	fabric  *Fabric
	callers []*Callers
	gates   []*Gate
	inbox   *ring.Ring[conductorEvent]
	group   *duty.Group
	now     func() time.Duration
	ticking atomic.Bool
	state   *conductor // belongs to the conducting duty once it has started
}

type conductorEvent struct {
	do func(c *conductor)
}

// place is where one backend server runs; its instances follow each other.
type place struct {
	config     BackendConfig
	instance   *Backend // nil while none runs
	started    int      // instances so far
	restarting bool     // the next instance starts when the present one has left
}

// conductor is what the conducting duty owns.
type conductor struct {
	lab      *Lab
	places   map[string]*place
	timeline []Timed // that is not done yet, by time
	past     []BackendReport
	failures []error // of timed actions
	// excused counts, by service, the connections that crashed or silenced backend
	// servers have broken, which no load balancer can save.
	excused map[string]int
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
		inbox: ring.New[conductorEvent]("conductor", conductorRing, ring.DropNewest),
		now:   func() time.Duration { return time.Since(start) },
	}
	l.group = duty.NewGroup(log, handlerLimit, l.now, onFatal)
	l.state = &conductor{lab: l, places: map[string]*place{}, excused: map[string]int{}, timeline: sortedByTime(config.Timeline)}
	fabric.Start()
	if err := l.startAll(); err != nil {
		ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
		defer cancel()
		return nil, errors.Join(err, l.stopAll(ctx))
	}
	l.group.Add(duty.FromRing("conductor", l.inbox, l.handle))
	l.group.Add(tickDuty("conductor-clock", conductorTick, &l.ticking, func() { _, _ = l.inbox.Put(conductorEvent{}) }))
	l.group.Add(closeDuty("conductor-closer", l.inbox.Close))
	l.group.Start()
	return l, nil
}

func (l *Lab) startAll() error {
	for i, config := range l.config.Gates {
		gate, err := StartGate(l.fabric, config, l.config.sources(), l.config.Fabric.Seed+uint64(i), l.log, l.onFatal)
		if err != nil {
			return err
		}
		l.gates = append(l.gates, gate)
	}
	for _, config := range l.config.Backends {
		p := &place{config: config}
		l.state.places[config.Instance] = p
		if err := l.state.start(p); err != nil {
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

// sources returns the failure domain of each address from which a process may
// dial: those of entry hosts and of the processes behind gates.
func (c *Config) sources() map[netip.Addr]string {
	domains := map[netip.Addr]string{}
	for _, e := range c.Fabric.EntryHosts {
		domains[e.Addr.Addr()] = e.Domain
	}
	for _, g := range c.Gates {
		domains[g.Target.Addr()] = g.Domain
	}
	return domains
}

// Fabric returns the fabric of the lab.
func (l *Lab) Fabric() *Fabric { return l.fabric }

// Do carries out an action now.
func (l *Lab) Do(a Action) error {
	result, err := askConductor(l, func(c *conductor) error { return a.do(c) })
	return errors.Join(err, result)
}

// Finish makes the callers send no more requests and close their connections
// once their requests are answered. It waits until none waits or ctx ends.
func (l *Lab) Finish(ctx context.Context) error {
	for _, c := range l.callers {
		if err := c.Finish(); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(conductorTick)
	defer ticker.Stop()
	for {
		waiting, err := l.waiting()
		if err != nil || waiting == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return nil // the report counts the requests that still wait as lost
		case <-ticker.C:
		}
	}
}

func (l *Lab) waiting() (int, error) {
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

// Stop ends everything.
func (l *Lab) Stop(ctx context.Context) error {
	return errors.Join(l.group.Stop(ctx), l.stopAll(ctx))
}

func (l *Lab) stopAll(ctx context.Context) error {
	var failures error
	for _, c := range l.callers {
		failures = errors.Join(failures, c.Stop(ctx))
	}
	for _, p := range l.state.places {
		if p.instance != nil {
			failures = errors.Join(failures, p.instance.Stop(ctx))
		}
	}
	for _, g := range l.gates {
		failures = errors.Join(failures, g.Stop(ctx))
	}
	return errors.Join(failures, l.fabric.Stop(ctx))
}

func askConductor[T any](l *Lab, do func(c *conductor) T) (T, error) {
	reply := ring.New[T]("conductor-reply", 1, ring.DropNewest)
	if err := putPatiently(l.inbox, conductorEvent{do: func(c *conductor) { _, _ = reply.Put(do(c)) }}); err != nil {
		var zero T
		return zero, fmt.Errorf("lab: %w", err)
	}
	return reply.Get()
}

func (l *Lab) handle(e conductorEvent) error {
	if e.do != nil {
		e.do(l.state)
		return nil
	}
	l.ticking.Store(false)
	return l.state.tick(l.now())
}

// tick carries out the actions that are due and replaces instances that have left.
func (c *conductor) tick(now time.Duration) error {
	for len(c.timeline) > 0 && c.timeline[0].At <= now {
		next := c.timeline[0]
		c.timeline = c.timeline[1:]
		c.lab.log.Info("action", "at", next.At, "action", next.Action.String())
		if err := next.Action.do(c); err != nil {
			c.failures = append(c.failures, fmt.Errorf("%s: %w", next.Action, err))
		}
	}
	for _, p := range c.places {
		if p.instance == nil {
			continue
		}
		left, err := p.instance.HasLeft()
		if err != nil {
			return err
		}
		if left {
			if err := c.replace(p); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *conductor) replace(p *place) error {
	if err := c.end(p); err != nil {
		return err
	}
	if !p.restarting {
		return nil
	}
	p.restarting = false
	return c.start(p)
}

// start starts the next instance of a place. Each instance has a name of its
// own, since the directory treats a restarted backend server as a new one.
func (c *conductor) start(p *place) error {
	if p.instance != nil {
		return fmt.Errorf("backend server %s runs already", p.config.Instance)
	}
	p.started++
	config := p.config
	config.Instance = fmt.Sprintf("%s.%d", p.config.Instance, p.started)
	instance, err := StartBackend(c.lab.fabric, config, c.lab.log, c.lab.onFatal)
	if err != nil {
		return err
	}
	p.instance = instance
	return nil
}

// crash ends the instance of a place without a packet to its callers.
func (c *conductor) crash(p *place) error {
	if err := c.end(p); err != nil {
		return err
	}
	c.excused[p.config.Service] += c.past[len(c.past)-1].Open
	return nil
}

// end stops the instance of a place and keeps its account.
func (c *conductor) end(p *place) error {
	report, err := p.instance.Report()
	if err != nil {
		return err
	}
	c.past = append(c.past, report)
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	err = p.instance.Stop(ctx)
	p.instance = nil
	return err
}
