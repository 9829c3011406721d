// Package duty runs each duty of a process, a loop with its own inbox and state,
// on a separate goroutine. It reports a duty that fails or hangs, so that the
// process can exit.
package duty

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cassiawood/internal/ring"
)

// Duty is one loop of the process. Run returns when ctx ends or its inbox is
// closed. It calls Begin and End around each handler, so that the watchdog can
// distinguish a handler that hangs from a duty that waits for work.
type Duty struct {
	Name string
	Run  func(ctx context.Context, progress *Progress) error
}

// Progress records whether a duty is in a handler, and in which one. The duty
// writes it through Begin and End, the watchdog reads it.
type Progress struct {
	handlerCount   uint64        // number of handlers begun so far; used by the duty only
	currentHandler atomic.Uint64 // number of the handler that is running; 0 while the duty waits
}

// Begin marks the start of a handler.
func (p *Progress) Begin() {
	p.handlerCount++
	p.currentHandler.Store(p.handlerCount)
}

// End marks the end of a handler.
func (p *Progress) End() { p.currentHandler.Store(0) }

// FromRing returns a duty that calls handle for each value of inbox, in order,
// until the ring is closed and empty.
func FromRing[T any](name string, inbox *ring.Ring[T], handle func(T) error) Duty {
	return Duty{Name: name, Run: func(_ context.Context, progress *Progress) error {
		for {
			v, err := inbox.Get()
			if errors.Is(err, ring.ErrClosed) {
				return nil
			}
			progress.Begin()
			err = handle(v)
			progress.End()
			if err != nil {
				return err
			}
		}
	}}
}

// Every returns a duty that calls handle once per interval until the process
// stops. If a call takes longer than the interval, ticks are skipped.
func Every(name string, interval time.Duration, handle func()) Duty {
	return Duty{Name: name, Run: func(ctx context.Context, progress *Progress) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				progress.Begin()
				handle()
				progress.End()
			}
		}
	}}
}

// Group starts, watches and stops the duties of a process.
type Group struct {
	logger       *slog.Logger
	handlerLimit time.Duration
	onFatal      func(reason error)
	duties       []Duty
	progress     []*Progress
	cancel       context.CancelFunc
	running      sync.WaitGroup
	stopping     atomic.Bool
	failed       atomic.Bool
	failOnce     sync.Once
}

// NewGroup returns a group whose watchdog reports a handler that runs longer
// than limit. onFatal is called once with the reason when a duty fails or
// hangs, and should make the process exit.
func NewGroup(logger *slog.Logger, handlerLimit time.Duration, onFatal func(error)) *Group {
	return &Group{logger: logger, handlerLimit: handlerLimit, onFatal: onFatal}
}

// Add registers a duty. It must be called before Start.
func (g *Group) Add(d Duty) { g.duties = append(g.duties, d) }

// Start starts every registered duty and the watchdog.
func (g *Group) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for _, d := range g.duties {
		p := &Progress{}
		g.progress = append(g.progress, p)
		g.running.Add(1)
		go g.run(ctx, d, p)
	}
	g.running.Add(1)
	go g.runWatchdog(ctx)
}

// BeginStop cancels the duties without waiting for them. After it, a duty that
// returns because its ring or socket was closed does not count as failed.
func (g *Group) BeginStop() {
	g.stopping.Store(true)
	g.cancel()
}

// HasFailed reports whether a duty has failed or hangs. A stop must not wait for answers of the duties then.
func (g *Group) HasFailed() bool { return g.failed.Load() }

// Stop cancels the duties and waits until they have returned or ctx ends. If ctx
// ends first, the error names the duties that are still in a handler.
func (g *Group) Stop(ctx context.Context) error {
	g.BeginStop()
	finished := make(chan struct{})
	go func() {
		g.running.Wait()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("duties did not stop in time, still in a handler: %v: %w", g.busy(), ctx.Err())
	}
}

// busy returns the names of the duties that are in a handler.
func (g *Group) busy() []string {
	var names []string
	for i, p := range g.progress {
		if p.currentHandler.Load() != 0 {
			names = append(names, g.duties[i].Name)
		}
	}
	return names
}

func (g *Group) run(ctx context.Context, d Duty, p *Progress) {
	defer g.running.Done()
	g.logger.Debug("duty started", "duty", d.Name)
	err := Contain(func() error { return d.Run(ctx, p) })
	if g.stopping.Load() || ctx.Err() != nil {
		return
	}
	if err == nil {
		err = errors.New("returned before the process was asked to stop")
	}
	g.fail(fmt.Errorf("duty %s: %w", d.Name, err))
}

// ticksPerLimit is the number of watchdog ticks in the time limit of a handler.
const ticksPerLimit = 4

// watchdog counts the ticks that each duty has spent in one handler. It counts
// ticks instead of elapsed time, because after a suspension of the host much time
// has elapsed in which no duty could make progress.
type watchdog struct {
	lastHandler []uint64 // by duty: number of the handler that was running at the last tick
	ticks       []int    // by duty: ticks spent in that handler
}

func (g *Group) runWatchdog(ctx context.Context) {
	defer g.running.Done()
	ticker := time.NewTicker(max(g.handlerLimit/ticksPerLimit, time.Millisecond))
	defer ticker.Stop()
	w := watchdog{lastHandler: make([]uint64, len(g.progress)), ticks: make([]int, len(g.progress))}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if hung := g.checkHandlers(&w); len(hung) > 0 {
				g.fail(fmt.Errorf("watchdog: no progress for %s in the handlers of %v", g.handlerLimit, hung))
				return
			}
		}
	}
}

// checkHandlers performs one tick of the watchdog. It returns the names of the duties
// that have been in the same handler for more than ticksPerLimit ticks.
func (g *Group) checkHandlers(w *watchdog) []string {
	var hung []string
	for i, p := range g.progress {
		handler := p.currentHandler.Load()
		if handler == 0 || handler != w.lastHandler[i] {
			w.lastHandler[i], w.ticks[i] = handler, 0
			continue
		}
		if w.ticks[i]++; w.ticks[i] > ticksPerLimit {
			hung = append(hung, g.duties[i].Name)
		}
	}
	return hung
}

func (g *Group) fail(reason error) {
	g.failOnce.Do(func() {
		g.failed.Store(true)
		g.logger.Error("duty failed", "reason", reason)
		g.onFatal(reason)
	})
}
