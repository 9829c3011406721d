package operator

import (
	"cmp"
	"context"
	"errors"
	"net/http"

	"cassiawood/internal/document"
)

// problem is the JSON form of an error.
type problem struct {
	Kind     string        `json:"kind"`
	Message  string        `json:"message"`
	Reason   string        `json:"reason,omitempty"`
	Findings []findingJSON `json:"findings,omitempty"`
	Winner   *winnerJSON   `json:"winner,omitempty"`
	Leader   string        `json:"leader,omitempty"`
	// Sent and ChangeID are set only in the output of the command line.
	Sent     bool   `json:"sent,omitempty"`
	ChangeID string `json:"change_id,omitempty"`
}

// findingJSON is a document.Finding in JSON.
type findingJSON struct {
	Section    string `json:"section"`
	Line       int    `json:"line"`
	Column     int    `json:"column"`
	Words      string `json:"words"`
	Problem    string `json:"problem"`
	Suggestion string `json:"suggestion,omitempty"`
}

func toFindingsJSON(findings []document.Finding) []findingJSON {
	var out []findingJSON
	for _, f := range findings {
		out = append(out, findingJSON(f))
	}
	return out
}

func fromFindingsJSON(findings []findingJSON) []document.Finding {
	var out []document.Finding
	for _, f := range findings {
		out = append(out, document.Finding(f))
	}
	return out
}

// winnerJSON is a ConflictError in JSON: the change that was accepted first.
type winnerJSON struct {
	Section string `json:"section"`
	Version uint64 `json:"version"`
	Team    string `json:"team"`
	Author  string `json:"author"`
	Text    string `json:"text"`
}

// errInternal replaces an internal error, whose details must not leave the host.
var errInternal = errors.New("the control host failed to handle the request; its log has the details")

// badRequest means that the request is malformed.
type badRequest struct{ reason string }

func (e *badRequest) Error() string { return e.reason }

// toProblem returns the HTTP status and the JSON form of err. known is false if err
// is an internal error.
func toProblem(err error) (status int, p problem, known bool) {
	var (
		refused        *RefusedError
		conflict       *ConflictError
		noQuorum       *NoQuorumError
		notLeader      *NotLeaderError
		unauthorised   *UnauthorisedError
		notFound       *NotFoundError
		outcomeUnknown *OutcomeUnknownError
		bad            *badRequest
	)
	p = problem{Message: err.Error()}
	switch {
	case errors.As(err, &refused):
		p.Kind, p.Reason, p.Findings = "refused", refused.Reason, toFindingsJSON(refused.Findings)
		return http.StatusUnprocessableEntity, p, true
	case errors.As(err, &conflict):
		w := winnerJSON(*conflict)
		p.Kind, p.Winner = "race", &w
		return http.StatusConflict, p, true
	case errors.As(err, &noQuorum):
		p.Kind, p.Reason = "no quorum", noQuorum.Reason
		return http.StatusServiceUnavailable, p, true
	case errors.As(err, &notLeader):
		p.Kind, p.Leader = "not leader", notLeader.Leader
		return http.StatusMisdirectedRequest, p, true
	case errors.As(err, &unauthorised):
		p.Kind, p.Reason = "unauthorised", unauthorised.Reason
		return http.StatusForbidden, p, true
	case errors.As(err, &notFound):
		p.Kind, p.Reason = "not found", notFound.Subject
		return http.StatusNotFound, p, true
	case errors.As(err, &bad):
		p.Kind, p.Reason = "bad request", bad.reason
		return http.StatusBadRequest, p, true
	case errors.As(err, &outcomeUnknown):
		p.Kind, p.Reason = "unanswered", outcomeUnknown.Reason
		return http.StatusGatewayTimeout, p, true
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		p.Kind, p.Reason = "unanswered", "the control hosts did not decide in time"
		p.Message = (&OutcomeUnknownError{p.Reason}).Error()
		return http.StatusGatewayTimeout, p, true
	default:
		p = problem{Kind: "internal", Message: errInternal.Error()}
		return http.StatusInternalServerError, p, false
	}
}

// ErrorJSON returns err in the JSON form of the API, for the output of the command
// line.
func ErrorJSON(err error) any {
	_, p, known := toProblem(err)
	if !known {
		p.Kind, p.Message = "other", err.Error()
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		p = problem{Kind: "cannot reach", Message: err.Error(), Sent: unreachable.Sent, ChangeID: unreachable.ChangeID}
	}
	return map[string]problem{"error": p}
}

// toError returns the error that p represents.
func (p problem) toError() error {
	reason := cmp.Or(p.Reason, p.Message, "the control host gave no reason")
	switch p.Kind {
	case "refused":
		return &RefusedError{Reason: reason, Findings: fromFindingsJSON(p.Findings)}
	case "race":
		if p.Winner == nil {
			return &OutcomeUnknownError{"the control host gave no winner of the race"}
		}
		conflict := ConflictError(*p.Winner)
		return &conflict
	case "no quorum":
		return &NoQuorumError{reason}
	case "not leader":
		return &NotLeaderError{p.Leader}
	case "unauthorised":
		return &UnauthorisedError{reason}
	case "not found":
		return &NotFoundError{reason}
	case "bad request":
		return &RefusedError{Reason: "the control host does not understand the request: " + reason}
	case "unanswered":
		return &OutcomeUnknownError{reason}
	default:
		return &OutcomeUnknownError{cmp.Or(p.Message, reason)}
	}
}
