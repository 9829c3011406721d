// Command standins runs the cases of the review: it starts the system's programs for the users' platform on
// loopback addresses, with stand-ins for clients, endpoints, routers and the operator, and judges a rule by
// what these see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// timeLimit bounds a case.
const timeLimit = 115 * time.Second

// cases holds the function of each case. It returns an error if the case could not run.
var cases = map[string]func(*site) error{
	"replaced-voter":    runReplacedVoter,
	"killed-compaction": runKilledCompaction,
	"odd-report":        runOddReport,
	"late-removal":      runLateRemoval,
	"missed-drain":      runMissedDrain,
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeoutCause(ctx, timeLimit, errors.New("the time limit is over"))
	defer cancel()
	r, err := newRecord(*path)
	if err != nil || cases[*name] == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name, err)
		return exitNotRun
	}
	s, err := newSite(ctx, r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.line("case %s, trouble: %t", *name, s.trouble)
	ended := make(chan error, 1)
	go func() { ended <- cases[*name](s) }()
	select {
	case err = <-ended:
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	cancel()
	s.stop()
	if err != nil {
		r.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	return r.result()
}
