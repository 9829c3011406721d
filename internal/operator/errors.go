package operator

import (
	"fmt"
	"strings"

	"cassiawood/internal/document"
)

// Refused means that a change is not in force and why.
type Refused struct {
	Reason   string
	Findings []document.Finding
}

// Error returns the reason and the findings, one on each line.
func (e *Refused) Error() string {
	if len(e.Findings) == 0 {
		return e.Reason
	}
	return e.Reason + "\n" + strings.TrimSuffix(document.FormatFindings(e.Findings), "\n")
}

// Race means that another change of the section was accepted first. It holds
// the text in force, so that the operator can work the change in again.
type Race struct {
	Section string
	Version uint64
	Team    string
	Author  string
	Text    string
}

// Error names the change that was first.
func (e *Race) Error() string {
	return fmt.Sprintf("section %q was changed first by %s of team %q and is now at version %d; your change is not in force",
		e.Section, orUnknown(e.Author), e.Team, e.Version)
}

// NoQuorum means that the control hosts could not agree and that the change was
// not proposed, so it is not in force and will not come into force.
type NoQuorum struct{ Reason string }

// Error returns the reason.
func (e *NoQuorum) Error() string {
	return "too few control hosts are in contact with each other, so nothing was changed: " + e.Reason
}

// NotLeader means that another control host must answer.
type NotLeader struct{ Leader string } // its operator address; empty while there is none

// Error names the leader.
func (e *NotLeader) Error() string {
	if e.Leader == "" {
		return "the control hosts have no leader at the moment"
	}
	return "the leader of the control hosts is " + e.Leader
}

// Unauthorised means that the token does not allow the request.
type Unauthorised struct{ Reason string }

// Error returns the reason.
func (e *Unauthorised) Error() string { return e.Reason }

// NotFound means that there is no such section, version, host or failure domain.
type NotFound struct{ What string }

// Error names what there is not.
func (e *NotFound) Error() string { return "there is no " + e.What }

// Unanswered means that the outcome is unknown: the change may come into force.
// Sending it again with the same change ID is safe.
type Unanswered struct{ Reason string }

// Error returns the reason.
func (e *Unanswered) Error() string {
	return "it is not known whether the change is in force: " + e.Reason
}

// CannotReach means that no control host gave an answer.
type CannotReach struct {
	Hosts    []string
	Sent     bool   // the request may have arrived, so its outcome is unknown
	ChangeID string // for sending the change again
	Last     error
}

// Error says which hosts were tried and whether the change may be in force.
func (e *CannotReach) Error() string {
	text := fmt.Sprintf("no control host answered (%s), last problem: %v", strings.Join(e.Hosts, ", "), e.Last)
	switch {
	case e.ChangeID == "":
		return text
	case e.Sent:
		return text + "; it is not known whether the change is in force, and sending it again with the change ID " + e.ChangeID + " is safe"
	default:
		return text + "; nothing was changed"
	}
}

// Unwrap returns the problem with the last host.
func (e *CannotReach) Unwrap() error { return e.Last }

func orUnknown(name string) string {
	if name == "" {
		return "someone"
	}
	return name
}
