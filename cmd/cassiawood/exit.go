package main

import (
	"errors"
	"fmt"

	"cassiawood/internal/operator"
)

// Exit codes. Scripts rely on them, and exitCodesHelp documents them.
const (
	exitOK          = 0
	exitRefused     = 1
	exitUsage       = 2
	exitRace        = 3
	exitUnreachable = 4
)

const exitCodesHelp = `Exit codes:
  0  done
  1  refused: the text has problems, the token does not allow it, a failure domain did not
     confirm, or there is no such section or version
  2  bad usage: the command line or the settings file is wrong
  3  race: someone else has changed the section since you read it
  4  cannot reach enough control hosts, or the outcome is unknown
`

// usageError reports an invalid command line or local file.
type usageError struct{ reason string }

func (e *usageError) Error() string { return e.reason }

func exitCode(err error) int {
	var (
		usage       *usageError
		race        *operator.ConflictError
		cannotReach *operator.UnreachableError
		noQuorum    *operator.NoQuorumError
		notLeader   *operator.NotLeaderError
		unanswered  *operator.OutcomeUnknownError
		unreachable = errors.As(err, &cannotReach) || errors.As(err, &noQuorum) || errors.As(err, &notLeader) || errors.As(err, &unanswered)
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &race):
		return exitRace
	case unreachable:
		return exitUnreachable
	default:
		return exitRefused
	}
}

// describeError returns the text of err, with advice on what to do next after a race.
func describeError(err error) string {
	var race *operator.ConflictError
	if errors.As(err, &race) {
		return fmt.Sprintf("%v.\nThe text in force is:\n\n%s\n\n"+
			"Work your change into it: cassiawood show -section %q -o FILE writes it to a file that you can change and save.",
			err, race.Text, race.Section)
	}
	return err.Error()
}
