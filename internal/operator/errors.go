package operator

import (
	"fmt"
	"strings"

	"cassiawood/internal/document"
)

// RefusedError means that a change was refused and is not in force.
type RefusedError struct {
	Reason   string
	Findings []document.Finding
}

// Error returns the reason and the findings, one on each line.
func (e *RefusedError) Error() string {
	if len(e.Findings) == 0 {
		return e.Reason
	}
	return e.Reason + "\n" + strings.TrimSuffix(document.FormatFindings(e.Findings), "\n")
}

// ConflictError means that another change of the section was accepted first. It
// contains the text in force, so that the operator can apply the change to it again.
type ConflictError struct {
	Section string
	Version uint64
	Team    string
	Author  string
	Text    string
}

// Error returns the section, author, team and version of the accepted change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("section %q was changed first by %s of team %q and is now at version %d; your change is not in force",
		e.Section, authorOrSomeone(e.Author), e.Team, e.Version)
}

// NoQuorumError means that the control hosts cannot accept changes, usually because no
// leader has a quorum. The change was not proposed, so it will not come into force.
type NoQuorumError struct{ Reason string }

// Error returns the reason.
func (e *NoQuorumError) Error() string {
	return "too few control hosts are in contact with each other, so nothing was changed: " + e.Reason
}

// NotLeaderError means that only the leader can answer the request.
type NotLeaderError struct{ Leader string } // address of the leader's operator API; empty if there is no leader

// Error returns the address of the leader, if there is one.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "the control hosts have no leader at the moment"
	}
	return "the leader of the control hosts is " + e.Leader
}

// UnauthorisedError means that the token does not allow the request.
type UnauthorisedError struct{ Reason string }

// Error returns the reason.
func (e *UnauthorisedError) Error() string { return e.Reason }

// NotFoundError means that there is no such section, version, host or failure domain.
type NotFoundError struct{ Subject string }

// Error returns what does not exist.
func (e *NotFoundError) Error() string { return "there is no " + e.Subject }

// OutcomeUnknownError means that the outcome is unknown: the change may come into force.
// Sending it again with the same change ID is safe.
type OutcomeUnknownError struct{ Reason string }

// Error returns the reason.
func (e *OutcomeUnknownError) Error() string {
	return "it is not known whether the change is in force: " + e.Reason
}

// UnreachableError means that no control host gave a final answer.
type UnreachableError struct {
	Hosts    []string
	Sent     bool   // whether a host may have received the request, so that its outcome is unknown
	ChangeID string // for resending the change; empty if the request changes nothing
	LastErr  error
}

// Error returns the hosts that were tried, the last error, and whether the change
// may be in force.
func (e *UnreachableError) Error() string {
	text := fmt.Sprintf("no control host answered (%s), last problem: %v", strings.Join(e.Hosts, ", "), e.LastErr)
	switch {
	case e.ChangeID == "":
		return text
	case e.Sent:
		return text + "; it is not known whether the change is in force, and sending it again with the change ID " + e.ChangeID + " is safe"
	default:
		return text + "; nothing was changed"
	}
}

// Unwrap returns the error of the last attempt.
func (e *UnreachableError) Unwrap() error { return e.LastErr }

func authorOrSomeone(name string) string {
	if name == "" {
		return "someone"
	}
	return name
}
