package edge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"cassiawood/internal/affinity"
	"cassiawood/internal/duty"
	"cassiawood/internal/explain"
	"cassiawood/internal/ring"
)

// maxExplanationsPerSecond keeps queries from delaying packets, which wait in the same duty.
const maxExplanationsPerSecond = 20

// explainQuery asks where a first packet would go.
type explainQuery struct {
	query affinity.Query
	reply *ring.Ring[explainReply]
}

func (explainQuery) isEvent() {}

type explainReply struct {
	explanation affinity.Explanation
	ready       bool
	updateAge   time.Duration // since the last update of a control host; -1 without one
	err         error
}

var (
	errTooManyQueries = errors.New("too many queries in this second")
	errExplainFailed  = errors.New("the explanation failed, see the log of the host")
)

// explain answers a query. A panic ends the query, not the process.
func (d *engineDuty) explain(q affinity.Query) explainReply {
	if d.explanations++; d.explanations > maxExplanationsPerSecond {
		return explainReply{err: errTooManyQueries}
	}
	r := explainReply{ready: d.mayServe(), updateAge: -1}
	if d.updatedAt > 0 {
		r.updateAge = d.now - d.updatedAt
	}
	err := duty.Contain(func() error {
		r.explanation = d.engine.Explain(d.now, q)
		return nil
	})
	if err != nil {
		d.metrics.failed.Inc(1)
		d.logFailure("query failed", err, "route", q.Route, "flow", q.Caller)
		r.err = errExplainFailed
	}
	return r
}

// serveExplain answers with an explain.Report as JSON.
func (h *Host) serveExplain(w http.ResponseWriter, request *http.Request) {
	q, err := parseExplainQuery(request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply, ok := query(h.engineInbox, func(reply *ring.Ring[explainReply]) event { return explainQuery{query: q, reply: reply} })
	if !ok {
		http.Error(w, "the host is stopping", http.StatusServiceUnavailable)
		return
	}
	if reply.err != nil {
		http.Error(w, reply.err.Error(), http.StatusServiceUnavailable)
		return
	}
	report := explain.FromEngine(reply.explanation)
	report.Host, report.Domain, report.Route, report.Ready, report.UpdateAgeMs = h.settings.Host, h.settings.Domain, q.Route, reply.ready, -1
	if reply.updateAge >= 0 {
		report.UpdateAgeMs = reply.updateAge.Milliseconds()
	}
	body, err := json.Marshal(report)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only if the client has closed the connection
}

// parseExplainQuery reads the parameters route, caller and seq; the latter two are optional.
func parseExplainQuery(request *http.Request) (q affinity.Query, err error) {
	values := request.URL.Query()
	if q.Route, err = netip.ParseAddrPort(values.Get("route")); err != nil {
		return q, fmt.Errorf("route: %w", err)
	}
	if text := values.Get("caller"); text != "" {
		if q.Caller, err = netip.ParseAddrPort(text); err != nil {
			return q, fmt.Errorf("caller: %w", err)
		}
	}
	if text := values.Get("seq"); text != "" {
		seq, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return q, fmt.Errorf("seq: %w", err)
		}
		q.Seq, q.HasSeq = uint32(seq), true
	}
	return q, nil
}
