package process

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"cassiawood/internal/ring"
)

// outputCapacity bounds the log lines queued while the output is slow.
const outputCapacity = 1024

// Output writes log lines on a separate goroutine. Lines that exceed the queue are
// dropped and counted, so that logging never blocks a duty.
type Output struct {
	lines   *ring.Ring[[]byte]
	done    chan struct{}
	dropped atomic.Uint64
}

// NewOutput starts the goroutine that writes to w.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: ring.New[[]byte]("log-lines", outputCapacity, ring.DropNewest), done: make(chan struct{})}
	go o.run(w)
	return o
}

// Write queues a copy of one line. It never returns an error.
func (o *Output) Write(line []byte) (int, error) {
	if queued, err := o.lines.Put(append([]byte(nil), line...)); err != nil || !queued {
		o.dropped.Add(1)
	}
	return len(line), nil
}

func (o *Output) run(w io.Writer) {
	defer close(o.done)
	for {
		line, err := o.lines.Get()
		if err != nil {
			return
		}
		if n := o.dropped.Swap(0); n > 0 {
			line = append(line, `{"level":"WARN","msg":"log lines dropped","count":`+strconv.FormatUint(n, 10)+"}\n"...)
		}
		// The error is ignored because there is no other place to report it.
		_, _ = w.Write(line)
	}
}

// Close stops accepting lines and waits, at most limit, until the queued ones are written.
func (o *Output) Close(limit time.Duration) {
	o.lines.Close()
	select {
	case <-o.done:
	case <-time.After(limit):
	}
}
