package experiment

import (
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/request"
)

// job is one attempt at a backend server.
type job struct {
	from     *host
	id       request.ID
	attempt  request.Attempt
	deadline time.Duration
	key      string
	done     bool
}

// backend is a backend server: a queue and slots.
type backend struct {
	id      directory.EndpointID
	domain  int
	queue   []*job
	running []*job

	coldFrom  time.Duration
	cold      bool
	slow      bool
	frozen    bool          // its load endpoint always reports no requests
	refusing  bool          // refuses all requests, although its health endpoint reports that it is healthy
	shedding  bool          // refuses each request with probability 0.5
	inService bool          // gets requests, and counts for the imbalance
	since     time.Duration // when it came into service

	// busy is the integral of the requests in progress over time, in request seconds.
	busy   float64
	busyAt time.Duration
	// overfilled counts requests that reached the backend server while it was cold and
	// had no free slot.
	overfilled int
}

// inSystem returns the number of waiting and running requests.
func (b *backend) inSystem() int { return len(b.queue) + len(b.running) }

// integrate updates busy to the given time and returns it.
func (b *backend) integrate(now time.Duration) float64 {
	b.busy += float64(b.inSystem()) * (now - b.busyAt).Seconds()
	b.busyAt = now
	return b.busy
}

func (b *backend) isCold(now time.Duration) bool { return b.cold && now < b.coldFrom+coldTime }

// receive queues or refuses one attempt.
func (r *run) receive(b *backend, j *job) {
	r.arrivedAtBackend(j)
	if b.isCold(r.now) && b.inSystem() >= slots {
		b.overfilled++
	}
	if b.refusing || (b.shedding && r.random.Float64() < 0.5) || len(b.queue) >= backendQueue {
		r.send(b.domain, j.from.domain, func() {
			j.from.step(request.Refused{ID: j.id, Attempt: j.attempt, Endpoint: b.id})
		})
		return
	}
	b.integrate(r.now)
	b.queue = append(b.queue, j)
	r.serve(b)
}

// serve starts waiting jobs on free slots.
func (r *run) serve(b *backend) {
	for len(b.queue) > 0 && len(b.running) < slots {
		j := b.queue[0]
		b.queue = b.queue[1:]
		if j.deadline > 0 && r.now >= j.deadline {
			continue // the caller has given up, so a propagated deadline saves the work
		}
		b.running = append(b.running, j)
		r.started(j)
		r.after(r.serviceTime(b), func() { r.finish(b, j) })
	}
}

// serviceTime returns a random service time. Its mean falls linearly while a backend
// server is cold.
func (r *run) serviceTime(b *backend) time.Duration {
	factor := 1.0
	if b.isCold(r.now) {
		left := 1 - (r.now-b.coldFrom).Seconds()/coldTime.Seconds()
		factor += (coldFactor - 1) * left
	}
	if b.slow {
		factor = slowFactor
	}
	return time.Duration(r.random.ExpFloat64() * factor * float64(meanService))
}

// finish answers a job and starts the next one.
func (r *run) finish(b *backend, j *job) {
	if j.done {
		return
	}
	b.integrate(r.now)
	r.drop(b, j)
	r.send(b.domain, j.from.domain, func() {
		j.from.step(request.Answer{ID: j.id, Attempt: j.attempt, Endpoint: b.id})
	})
	r.serve(b)
}

// cancel removes a job whose result is no longer wanted.
func (r *run) cancel(b *backend, id request.ID, a request.Attempt) {
	for _, jobs := range [][]*job{b.queue, b.running} {
		for _, j := range jobs {
			if j.id == id && j.attempt == a {
				b.integrate(r.now)
				r.drop(b, j)
				r.serve(b)
				return
			}
		}
	}
}

// drop removes a job from the backend server.
func (r *run) drop(b *backend, j *job) {
	j.done = true
	b.queue = without(b.queue, j)
	b.running = without(b.running, j)
}

func without(jobs []*job, gone *job) []*job {
	for i, j := range jobs {
		if j == gone {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}
