package process

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// caughtSignals holds the signals that a daemon acts on. They are caught from the start of Main on: the default action ends the process, and a
// signal that comes before anything can act on it waits here.
type caughtSignals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
}

// catchSignals starts to catch the signals, once in a process.
var catchSignals = sync.OnceValue(func() caughtSignals {
	c := caughtSignals{stop: make(chan os.Signal, 2), reload: make(chan os.Signal, 1)}
	signal.Notify(c.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(c.reload, syscall.SIGHUP)
	return c
})
