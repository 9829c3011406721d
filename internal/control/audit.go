package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"cassiawood/internal/audit"
	"cassiawood/internal/directory"
)

// auditRecord returns the record of an entry, or false for entries that are
// neither a change by a person nor one of the set of endpoints or hosts.
func auditRecord(e directory.Entry, outcome directory.Outcome) (audit.Record, bool) {
	r := audit.Record{Index: e.Index, At: time.Unix(0, int64(e.At)).UTC(), Author: "system", Outcome: "accepted"}
	if !outcome.Applied {
		r.Outcome, r.Reason = "refused", outcome.Reason
	}
	switch c := e.Command.(type) {
	case directory.ChangePrepared:
		sum := sha256.Sum256([]byte(c.Text))
		r.Action, r.Author, r.Team, r.Section = "prepare change", c.Author, c.Team, c.Section
		r.ChangeID, r.BaseVersion, r.TextSHA256 = c.ChangeID, c.BaseVersion, hex.EncodeToString(sum[:])
	case directory.ChangeDecided:
		r.Action, r.ChangeID = "decide change", c.ChangeID
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
