// Command standins-2 plays the cases of the second review: it starts the programs of the system as the deploy file says, plays
// clients, endpoints, routers, the operator and the platform around them, and checks one rule.
//
// It runs in the root of the repository. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit ends a case that hangs.
const caseLimit = 110 * time.Second

// cases maps the name of a case to the function that plays it and returns whether the rule was broken.
var cases = map[string]func(r *record, s *site, trouble bool) (broken bool, err error){
	"two-answers": playTwoAnswers,
	"removed":     playRemoved,
	"unknown":     playUnknownService,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER; TROUBLE=0 leaves out the disruption")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	r, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	s, err := newSite(r)
	if err != nil {
		r.tell("the case could not run: %v", err)
		return exitFailed
	}
	defer s.stop()
	type result struct {
		broken bool
		err    error
	}
	finished := make(chan result, 1)
	go func() {
		broken, err := cases[name](r, s, os.Getenv("TROUBLE") != "0")
		finished <- result{broken, err}
	}()
	select {
	case got := <-finished:
		switch {
		case got.err != nil:
			r.tell("the case could not run: %v", got.err)
			return exitFailed
		case got.broken:
			r.tell("the rule was broken")
			return exitBroken
		}
		r.tell("the rule held")
		return exitHeld
	case <-time.After(caseLimit):
		r.tell("the case could not run: it did not end in time")
		return exitFailed
	}
}
