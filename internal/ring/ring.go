// Package ring provides the bounded queues that connect the duties of a process.
package ring

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
)

// ErrClosed is returned by Put after Close, and by Get and GetBatch once a closed
// ring is empty.
var ErrClosed = errors.New("ring closed")

// OverflowPolicy determines what Put does when the ring is full.
type OverflowPolicy int

const (
	// Block makes Put wait for a free place.
	Block OverflowPolicy = iota
	// DropNewest makes Put discard the new value.
	DropNewest
	// DropOldest makes Put discard the oldest value in the ring.
	DropOldest
)

// String returns the name of the policy.
func (r OverflowPolicy) String() string {
	switch r {
	case Block:
		return "block"
	case DropNewest:
		return "drop-newest"
	case DropOldest:
		return "drop-oldest"
	default:
		return fmt.Sprintf("OverflowPolicy(%d)", int(r))
	}
}

// Ring is a first-in first-out queue of fixed capacity. Any number of
// goroutines may put and get. Goroutines that wait block on a condition variable.
type Ring[T any] struct {
	name     string
	overflow OverflowPolicy

	mu       sync.Mutex
	notEmpty sync.Cond
	notFull  sync.Cond
	slots    []T
	head     int // index of the oldest value
	depth    int
	closed   bool

	drops atomic.Uint64
}

// New returns an empty ring. It panics if capacity is less than 1, because that
// is a programming error and does not depend on input.
func New[T any](name string, capacity int, overflow OverflowPolicy) *Ring[T] {
	if capacity < 1 {
		panic(fmt.Sprintf("ring %s: capacity %d is less than 1", name, capacity))
	}
	r := &Ring[T]{name: name, overflow: overflow, slots: make([]T, capacity)}
	r.notEmpty.L = &r.mu
	r.notFull.L = &r.mu
	return r
}

// Name returns the name given to New, which labels the metrics of the ring.
func (r *Ring[T]) Name() string { return r.name }

// Capacity returns the number of values that the ring can hold.
func (r *Ring[T]) Capacity() int { return len(r.slots) }

// Depth returns the number of values in the ring.
func (r *Ring[T]) Depth() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.depth
}

// Drops returns the number of values discarded because the ring was full.
func (r *Ring[T]) Drops() uint64 { return r.drops.Load() }

// Put appends v. It reports whether v was queued: a full ring that drops the
// newest value returns false with a nil error. After Close it returns ErrClosed.
func (r *Ring[T]) Put(v T) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.depth == len(r.slots) && !r.closed {
		switch r.overflow {
		case DropNewest:
			r.drops.Add(1)
			return false, nil
		case DropOldest:
			r.pop()
			r.drops.Add(1)
		default:
			r.notFull.Wait()
		}
	}
	if r.closed {
		return false, ErrClosed
	}
	r.push(v)
	return true, nil
}

// Offer appends v without waiting, whatever the overflow policy of the ring. It reports
// whether v was queued; a value that is not queued counts as a drop. Where two
// duties put into each other's ring, one of them uses Offer, so that they cannot
// deadlock when both rings are full.
func (r *Ring[T]) Offer(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.depth == len(r.slots) {
		r.drops.Add(1)
		return false
	}
	r.push(v)
	return true
}

// Get removes and returns the oldest value, waiting for one if the ring is
// empty. A closed ring returns its remaining values first and then ErrClosed.
func (r *Ring[T]) Get() (T, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.waitNotEmpty(); err != nil {
		var zero T
		return zero, err
	}
	v := r.pop()
	r.notFull.Signal()
	return v, nil
}

// GetBatch waits like Get, then moves as many values as possible to dst and
// returns their number, which is at least 1 unless dst is empty.
func (r *Ring[T]) GetBatch(dst []T) (int, error) {
	if len(dst) == 0 {
		return 0, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.waitNotEmpty(); err != nil {
		return 0, err
	}
	n := min(len(dst), r.depth)
	for i := range n {
		dst[i] = r.pop()
	}
	r.notFull.Broadcast()
	return n, nil
}

// Close closes the ring. Waiting Puts return ErrClosed; waiting Gets return the
// remaining values and then ErrClosed. Close may be called more than once.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.notEmpty.Broadcast()
	r.notFull.Broadcast()
}

func (r *Ring[T]) waitNotEmpty() error {
	for r.depth == 0 {
		if r.closed {
			return ErrClosed
		}
		r.notEmpty.Wait()
	}
	return nil
}

func (r *Ring[T]) push(v T) {
	r.slots[(r.head+r.depth)%len(r.slots)] = v
	r.depth++
	r.notEmpty.Signal()
}

// pop removes and returns the oldest value. It clears the slot, so that the ring
// keeps no reference to a value that it has returned.
func (r *Ring[T]) pop() T {
	var zero T
	v := r.slots[r.head]
	r.slots[r.head] = zero
	r.head = (r.head + 1) % len(r.slots)
	r.depth--
	return v
}
