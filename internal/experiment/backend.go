package experiment

import (
	"time"

	"cassiawood/internal/directory"
	"cassiawood/internal/request"
)

// job is one attempt at a backend server.
type job struct {
	placedBy *host
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

	coldFrom       time.Duration
	cold           bool
	slow           bool
	frozen         bool          // its load endpoint always reports no requests
	refusing       bool          // refuses all requests, although its health endpoint reports that it is healthy
	shedding       bool          // refuses each request with probability 0.5
	inService      bool          // gets requests, and counts for the imbalance
	inServiceSince time.Duration // when it came into service

	// requestSeconds is the integral of the requests in progress over time, in request seconds.
	requestSeconds  float64
	integratedUntil time.Duration
	// overfilled counts requests that reached the backend server while it was cold and
	// had no free slot.
	overfilled int
}

// inSystem returns the number of waiting and running requests.
func (b *backend) inSystem() int { return len(b.queue) + len(b.running) }

// integrate updates requestSeconds to the given time and returns it.
func (b *backend) integrate(now time.Duration) float64 {
	b.requestSeconds += float64(b.inSystem()) * (now - b.integratedUntil).Seconds()
	b.integratedUntil = now
	return b.requestSeconds
}

func (b *backend) isCold(now time.Duration) bool { return b.cold && now < b.coldFrom+coldDuration }

// receive queues or refuses one attempt.
func (r *run) receive(b *backend, j *job) {
	r.recordAttempt(j)
	if b.isCold(r.now) && b.inSystem() >= slotsPerBackend {
		b.overfilled++
	}
	if b.refusing || (b.shedding && r.random.Float64() < 0.5) || len(b.queue) >= backendQueueLimit {
		r.send(b.domain, j.placedBy.domain, func() {
			j.placedBy.step(request.Refused{ID: j.id, Attempt: j.attempt, Endpoint: b.id})
		})
		return
	}
	b.integrate(r.now)
	b.queue = append(b.queue, j)
	r.serve(b)
}

// serve starts waiting jobs on free slots.
func (r *run) serve(b *backend) {
	for len(b.queue) > 0 && len(b.running) < slotsPerBackend {
		j := b.queue[0]
		b.queue = b.queue[1:]
		if j.deadline > 0 && r.now >= j.deadline {
			continue // the caller has given up, so a propagated deadline saves the work
		}
		b.running = append(b.running, j)
		r.recordStart(j)
		r.after(r.serviceTime(b), func() { r.finish(b, j) })
	}
}

// serviceTime returns a random service time. Its mean falls linearly while a backend
// server is cold.
func (r *run) serviceTime(b *backend) time.Duration {
	factor := 1.0
	if b.isCold(r.now) {
		left := 1 - (r.now-b.coldFrom).Seconds()/coldDuration.Seconds()
		factor += (coldFactor - 1) * left
	}
	if b.slow {
		factor = slowFactor
	}
	return time.Duration(r.random.ExpFloat64() * factor * float64(meanServiceTime))
}

// finish answers a job and starts the next one.
func (r *run) finish(b *backend, j *job) {
	if j.done {
		return
	}
	b.integrate(r.now)
	r.drop(b, j)
	r.send(b.domain, j.placedBy.domain, func() {
		j.placedBy.step(request.Answer{ID: j.id, Attempt: j.attempt, Endpoint: b.id})
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
	b.queue = removeJob(b.queue, j)
	b.running = removeJob(b.running, j)
}

func removeJob(jobs []*job, removed *job) []*job {
	for i, j := range jobs {
		if j == removed {
			return append(jobs[:i:i], jobs[i+1:]...)
		}
	}
	return jobs
}
