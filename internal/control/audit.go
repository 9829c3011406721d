package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"cassiawood/internal/audit"
	"cassiawood/internal/directory"
)

// decidedChange returns the pending change that command decides, or nil. It must
// run before the command is applied, which removes the pending change.
func decidedChange(state *directory.State, command directory.Command) *directory.ChangePrepared {
	decided, ok := command.(directory.ChangeDecided)
	if !ok {
		return nil
	}
	for _, pending := range state.PendingChanges() {
		if pending.ChangeID == decided.ChangeID {
			return &pending.ChangePrepared
		}
	}
	return nil
}

// auditRecord returns the audit record of an entry, or false if the entry is
// neither a change by an operator nor a change of the endpoints or hosts. decided
// is the change that the entry decides, or nil.
func auditRecord(e directory.Entry, outcome directory.Outcome, decided *directory.ChangePrepared) (audit.Record, bool) {
	r := audit.Record{Index: e.Index, At: time.Unix(0, int64(e.At)).UTC(), Author: "system", Outcome: "accepted"}
	if !outcome.Applied {
		r.Outcome, r.Reason = "refused", outcome.Reason
	}
	switch c := e.Command.(type) {
	case directory.ChangePrepared:
		r.Action = "prepare change"
		describeChange(&r, &c)
	case directory.ChangeDecided:
		r.Action, r.ChangeID = "decide change", c.ChangeID
		if decided != nil {
			describeChange(&r, decided)
		}
		if !c.Accepted {
			r.Outcome, r.Reason = "refused", c.Reason
		}
	case directory.DomainService:
		r.Action, r.Author, r.Section = "declare failure domain in service", c.Author, c.Domain
		if c.Out {
			r.Action = "declare failure domain out of service"
		}
	case directory.EndpointAdded:
		r.Action = fmt.Sprintf("add backend server %s at %s", c.Endpoint.Instance, c.Endpoint.Address)
	case directory.EndpointStateChanged:
		r.Action = fmt.Sprintf("backend server %s changes state to %d", c.Instance, c.State)
	case directory.EndpointRemoved:
		r.Action = "remove backend server " + c.Instance
	case directory.HostAdded:
		r.Action = "add host " + c.Host.Name
	case directory.HostRemoved:
		r.Action = "remove host " + c.Name
	default:
		return audit.Record{}, false
	}
	return r, true
}

func describeChange(r *audit.Record, c *directory.ChangePrepared) {
	sum := sha256.Sum256([]byte(c.Text))
	r.Author, r.Team, r.Section = c.Author, c.Team, c.Section
	r.ChangeID, r.BaseVersion, r.TextSHA256 = c.ChangeID, c.BaseVersion, hex.EncodeToString(sum[:])
}
