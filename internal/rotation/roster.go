package rotation

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// returnTime is how long after the start of a control host entry hosts may still be about to follow it again.
	returnTime = 5 * time.Second
	// missingLifetime is how long an entry host that has ended without a word counts as one that may run. It may be cut off from the control
	// hosts and still forward packets. One that was lost for good would keep its failure domain without evidence for ever.
	missingLifetime = 10 * time.Minute
	// departedLifetime is how long the planned end of an entry host is remembered. Entry hosts forget idle flows sooner.
	departedLifetime = 2 * time.Minute
)

// Process is a process of an entry host.
type Process struct {
	Host uint64 // hash of its name
	ID   uint64 // random; 0 if the host runs an earlier build
}

// ProcessOf returns the process of the host with the name.
func ProcessOf(host string, id uint64) Process {
	return Process{Host: xxhash.Sum64String(host), ID: id}
}

// state tells what a control host knows of an entry host.
type state uint8

const (
	following state = iota
	missing         // its stream has ended without a word
	departed        // its stream has ended after it had said that it stops
)

type entryHost struct {
	domain     string
	process    Process
	state      state
	isStopping bool
	endedAt    time.Duration // end of its stream
}

// Roster holds the entry hosts that follow a control host or have followed it lately.
type Roster struct {
	startedAt time.Duration
	hosts     map[uint64]*entryHost // by hash of the name
}

// NewRoster returns the roster of a control host that starts now.
func NewRoster(now time.Duration) *Roster {
	return &Roster{startedAt: now, hosts: map[uint64]*entryHost{}}
}

// Follow records that an entry host follows this control host.
func (r *Roster) Follow(domain string, p Process) {
	r.hosts[p.Host] = &entryHost{domain: domain, process: p}
}

// Stopping records that an entry host is being stopped.
func (r *Roster) Stopping(p Process) {
	if h := r.hosts[p.Host]; h != nil && h.process == p {
		h.isStopping = true
	}
}

// Lose records that an entry host follows this control host no more.
func (r *Roster) Lose(now time.Duration, p Process) {
	h := r.hosts[p.Host]
	if h == nil || h.process != p {
		return // a later process of the host follows
	}
	h.state, h.endedAt = missing, now
	if h.isStopping {
		h.state = departed
	}
}

// Expire forgets hosts that have ended long ago.
func (r *Roster) Expire(now time.Duration) {
	for name, h := range r.hosts {
		if h.state == missing && now-h.endedAt > missingLifetime || h.state == departed && now-h.endedAt > departedLifetime {
			delete(r.hosts, name)
		}
	}
}

// View is what a control host knows by itself of the entry hosts of a failure domain.
type View struct {
	Following []Process
	Missing   []Process
	Departed  []Process
	// Unchanged is the time since the latest planned end of a host, or since which this control host knows its entry hosts.
	Unchanged time.Duration
}

// View returns what is known of the entry hosts of a failure domain.
func (r *Roster) View(now time.Duration, domain string) View {
	v := View{Unchanged: max(0, now-r.startedAt-returnTime)}
	for _, h := range r.hosts {
		if h.domain != domain {
			continue
		}
		switch h.state {
		case following:
			v.Following = append(v.Following, h.process)
		case missing:
			v.Missing = append(v.Missing, h.process)
		case departed:
			v.Departed = append(v.Departed, h.process)
			v.Unchanged = min(v.Unchanged, now-h.endedAt)
		}
	}
	return v
}
