package lab

import (
	"container/heap"
	"time"
)

// job is a request that a backend server has accepted.
type job struct {
	request message
	conn    *backendConn
	end     time.Duration // when it finishes; 0 while it waits
}

// worker simulates the work of one backend server: slots, a queue, and a record of
// the requests that ran. It does no I/O and reads no clock; the serving duty calls it.
type worker struct {
	slots           int
	queueLimit      int
	running         jobs
	waiting         []job
	executions      map[uint64]Execution // by request id
	stats           WorkStats
	integratedUntil time.Duration
}

// maxExecutions bounds the number of requests that one instance records; it is far
// above the number of requests in the longest run.
const maxExecutions = 4 << 20

// Execution records how often a request ran.
type Execution struct {
	Runs       int
	Idempotent bool
}

// WorkStats counts the requests of one backend server.
type WorkStats struct {
	Ran, Refused, Misrouted uint64 // Misrouted: not a request for this service
	// InSystemTime is the number of running and waiting requests, integrated over time.
	InSystemTime time.Duration
	Observed     time.Duration // time over which InSystemTime was integrated
}

func newWorker(slots, queueLimit int) *worker {
	return &worker{slots: slots, queueLimit: queueLimit, executions: map[uint64]Execution{}}
}

// accept runs or queues a request. It returns false, without running the request,
// if the queue is full or maxExecutions is reached.
func (w *worker) accept(j job, now time.Duration) bool {
	w.integrate(now)
	switch {
	case len(w.executions)+len(w.waiting) >= maxExecutions:
	case len(w.running) < w.slots:
		w.start(j, now)
		return true
	case len(w.waiting) < w.queueLimit:
		w.waiting = append(w.waiting, j)
		return true
	}
	w.stats.Refused++
	return false
}

// start starts a job and records the execution.
func (w *worker) start(j job, now time.Duration) {
	j.end = now + j.request.Work
	heap.Push(&w.running, j)
	execution := w.executions[j.request.ID]
	execution.Runs++
	execution.Idempotent = j.request.Idempotent
	w.executions[j.request.ID] = execution
	w.stats.Ran++
}

// popFinished removes and returns the next job that has finished by now, and starts
// a waiting job in its slot.
func (w *worker) popFinished(now time.Duration) (job, bool) {
	w.integrate(now)
	if len(w.running) == 0 || w.running[0].end > now {
		return job{}, false
	}
	done := heap.Pop(&w.running).(job)
	if len(w.waiting) > 0 {
		next := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.start(next, now)
	}
	return done, true
}

// integrate adds the work in progress since the last call to the statistics.
func (w *worker) integrate(now time.Duration) {
	elapsed := now - w.integratedUntil
	w.stats.InSystemTime += elapsed * time.Duration(len(w.running)+len(w.waiting))
	w.stats.Observed += elapsed
	w.integratedUntil = now
}

// jobs is a heap ordered by end.
type jobs []job

func (j jobs) Len() int           { return len(j) }
func (j jobs) Less(a, b int) bool { return j[a].end < j[b].end }
func (j jobs) Swap(a, b int)      { j[a], j[b] = j[b], j[a] }

// Push implements heap.Interface.
func (j *jobs) Push(x any) { *j = append(*j, x.(job)) }

// Pop implements heap.Interface.
func (j *jobs) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	(*j)[last] = job{}
	*j = (*j)[:last]
	return x
}
