package duty

import (
	"time"

	"golang.org/x/sys/unix"
)

// SteadyClock returns a monotonic clock that returns the time since the Unix
// epoch. It does not jump when the wall clock is set, and stands still while the machine is suspended.
func SteadyClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Duration(start.UnixNano()) + time.Since(start) }
}

// BootClock returns a monotonic clock that returns the time since the machine has started (CLOCK_BOOTTIME of clock_gettime(2)). It goes on
// while the machine is suspended. Where the system has no such clock, it is the steady one.
func BootClock() func() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return SteadyClock()
	}
	return func() time.Duration {
		var t unix.Timespec
		_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) // fails only for a clock that the system does not have
		return time.Duration(t.Nano())
	}
}
