package lab

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// ServiceReport holds the results of one service over all its callers and backend servers.
type ServiceReport struct {
	CallersReport
	ExpectedBreaks    int     // connections broken by crashed or silenced backend servers
	Lost              int     // requests without a response on a connection that did not break
	Doubled           int     // non-idempotent requests that ran more than once
	RefusedButRan     int     // requests that ran although the caller got a refusal
	MisroutedRequests uint64  // messages for another service that reached a backend server
	LateFlows         uint64  // connections accepted more than 3 s after a backend server began to drain or leave
	Runs              uint64  // executions of requests; retries count again
	Imbalance         float64 // highest mean work in progress per slot over the average of all instances
}

// Results holds the results of a lab.
type Results struct {
	Services []ServiceReport
	Backends []BackendReport
	Fabric   FabricStats
	Failures []error // of timed actions
}

// Results returns the results so far. Outstanding requests count as lost, so the
// results are final only after Finish.
func (l *Lab) Results() (Results, error) {
	type collected struct {
		backends       []BackendReport
		failures       []error
		expectedBreaks map[string]int
		err            error
	}
	c, err := askRunner(l, func(c *runner) collected {
		backends, err := c.collect()
		return collected{backends, slices.Clone(c.failures), maps.Clone(c.expectedBreaks), err}
	})
	if err = errors.Join(err, c.err); err != nil {
		return Results{}, err
	}
	report := Results{Backends: c.backends, Failures: c.failures}
	if report.Fabric, err = l.fabric.Stats(); err != nil {
		return Results{}, err
	}
	for _, group := range l.callers {
		r, err := group.Report()
		if err != nil {
			return Results{}, err
		}
		report.addCallers(r)
	}
	for i := range report.Services {
		report.Services[i].ExpectedBreaks = c.expectedBreaks[report.Services[i].Service]
		report.Services[i].check(report.Backends)
	}
	return report, nil
}

// collect returns the reports of all instances, past and present, sorted by name.
func (c *runner) collect() ([]BackendReport, error) {
	backends := slices.Clone(c.endedReports)
	for _, b := range c.backends {
		if b.instance == nil {
			continue
		}
		r, err := b.instance.Report()
		if err != nil {
			return nil, err
		}
		backends = append(backends, r)
	}
	slices.SortFunc(backends, func(a, b BackendReport) int {
		if a.Instance < b.Instance {
			return -1
		}
		return 1
	})
	return backends, nil
}

func (r *Results) addCallers(c CallersReport) {
	for i := range r.Services {
		if s := &r.Services[i]; s.Service == c.Service {
			s.CallersReport.add(c)
			return
		}
	}
	r.Services = append(r.Services, ServiceReport{CallersReport: c})
}

func (r *CallersReport) add(o CallersReport) {
	r.Opened += o.Opened
	r.ConnectFailed += o.ConnectFailed
	r.Broken += o.Broken
	r.ClosedByServer += o.ClosedByServer
	r.Sent += o.Sent
	r.Answered += o.Answered
	r.Refused += o.Refused
	r.Unknown += o.Unknown
	r.TimedOut += o.TimedOut
	r.Retried += o.Retried
	r.Misrouted += o.Misrouted
	r.Mismatched += o.Mismatched
	r.Corrupt += o.Corrupt
	r.Open += o.Open
	r.Waiting += o.Waiting
	r.RefusedIDs = append(r.RefusedIDs, o.RefusedIDs...)
	r.SlowestAnswer = max(r.SlowestAnswer, o.SlowestAnswer)
	r.SlowestOpened = max(r.SlowestOpened, o.SlowestOpened)
}

// check compares the outcomes that callers saw with the requests that ran on the
// backend servers.
func (s *ServiceReport) check(backends []BackendReport) {
	s.Lost = s.Waiting
	ran := map[uint64]Execution{}
	for _, b := range backends {
		if b.Service != s.Service {
			continue
		}
		s.MisroutedRequests += b.Work.Misrouted
		s.LateFlows += b.LateFlows
		s.Runs += b.Work.Ran
		for id, execution := range b.Executions {
			execution.Runs += ran[id].Runs
			ran[id] = execution
		}
	}
	for _, execution := range ran {
		if execution.Runs > 1 && !execution.Idempotent {
			s.Doubled++
		}
	}
	for _, id := range s.RefusedIDs {
		if ran[id].Runs > 0 {
			s.RefusedButRan++
		}
	}
	s.Imbalance = imbalance(s.Service, backends)
}

// imbalance returns the highest mean work in progress per slot of an instance over
// the average of all instances. It leaves out instances that ran for less than half
// of the longest time, since their mean says little about the choice of endpoints.
func imbalance(service string, backends []BackendReport) float64 {
	var longest, highest, total float64
	for _, b := range backends {
		if b.Service == service {
			longest = max(longest, b.Work.Observed.Seconds())
		}
	}
	count := 0
	for _, b := range backends {
		if b.Service != service || b.Work.Observed.Seconds() < longest/2 || b.Slots == 0 {
			continue
		}
		perSlot := b.Work.InSystemTime.Seconds() / b.Work.Observed.Seconds() / float64(b.Slots)
		highest = max(highest, perSlot)
		total += perSlot
		count++
	}
	if total == 0 {
		return 1
	}
	return highest / (total / float64(count))
}

// Violations lists the requirements that the run did not meet.
func (r *Results) Violations() []string {
	var found []string
	for i := range r.Services {
		s := &r.Services[i]
		if s.Answered == 0 {
			found = append(found, s.Service+": no request was answered")
		}
		for _, v := range []struct {
			count uint64
			what  string
		}{
			{s.unexpected(), "broken connections and requests without an answer beyond the expected"},
			{uint64(s.Doubled), "doubled requests"},
			{uint64(s.RefusedButRan), "refused requests that ran"},
			{s.Misrouted + s.MisroutedRequests, "misrouted messages"},
			{s.Mismatched + s.Corrupt, "responses that belong to no request"},
			{s.LateFlows, "flows placed on a leaving backend server"},
		} {
			if v.count > 0 {
				found = append(found, fmt.Sprintf("%s: %d %s", s.Service, v.count, v.what))
			}
		}
	}
	for _, err := range r.Failures {
		found = append(found, "action failed: "+err.Error())
	}
	return found
}

// unexpected returns the number of broken connections and of requests without an
// answer that crashed or silenced backend servers do not explain.
func (s *ServiceReport) unexpected() uint64 {
	bad, expected := s.Broken+uint64(s.Lost)+s.TimedOut, uint64(s.ExpectedBreaks)
	return bad - min(bad, expected)
}

// WriteTable writes the results as a table with one line per service.
func (r *Results) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(t, "service\topened\tfailed\tbroken\texpected\tsent\tanswered\trefused\tunknown\tlost\tdoubled\tmisrouted\timbalance\t")
	for i := range r.Services {
		s := &r.Services[i]
		_, e := fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t\n", s.Service, s.Opened, s.ConnectFailed,
			s.Broken, s.ExpectedBreaks, s.Sent, s.Answered, s.Refused, s.Unknown, s.Lost, s.Doubled, s.Misrouted+s.MisroutedRequests, s.Imbalance)
		err = errors.Join(err, e)
	}
	return errors.Join(err, t.Flush())
}
