// Command review-3 plays the cases review/11 and following: it starts the platform's programs as separate processes on loopback
// addresses, with stand-ins for the platform, operators, clients and servers, and checks one rule each.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*site) (broken bool, err error){
	"first-start":      playFirstStart,
	"first-hup":        playFirstHup,
	"restarted-server": playRestartedServer,
	"odd-report":       playOddReport,
	"moved-flow":       playMovedFlow,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD-FILE, in the root of the repository")
		return exitNotRun
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	broken, err := cases[os.Args[1]](s)
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		s.note("result: the rule was broken")
		return exitBroken
	}
	s.note("result: the rule held")
	return exitHeld
}
