package explain

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"cassiawood/internal/affinity"
)

// Err returns an error if the host could not look for an endpoint: it has no state or does not know the route.
func (r Report) Err() error {
	switch r.Reason {
	case affinity.NoRoute.String():
		return fmt.Errorf("host %s does not know route %s in version %d of the routes: a first packet to it is refused (%s)",
			r.Host, r.Route, r.RoutesVersion, r.Reason)
	case affinity.NoState.String():
		return fmt.Errorf("host %s has no routes yet: a first packet is dropped (%s)", r.Host, r.Reason)
	case affinity.OldState.String():
		return fmt.Errorf("host %s was paused and waits for the present state: a first packet is dropped (%s)", r.Host, r.Reason)
	}
	return nil
}

// WriteTable writes the report as tables, one for each service.
func (r Report) WriteTable(w io.Writer) error {
	var b strings.Builder
	age := "no update of a control host"
	if r.UpdateAgeMs >= 0 {
		age = fmt.Sprintf("last update of a control host %d ms ago", r.UpdateAgeMs)
	}
	fmt.Fprintf(&b, "host %s in failure domain %s, ready: %s\n%s, routes of version %d, evacuations of revision %d\n",
		r.Host, r.Domain, yesNo(r.Ready), age, r.RoutesVersion, r.EvacuationsRevision)
	fmt.Fprintf(&b, "route %s\nrefused for a full link: %.0f %% of new flows\n", r.Route, 100*r.RefusedShare)
	if r.Reason == affinity.LinkFull.String() {
		fmt.Fprintf(&b, "refused (%s): the flow of this caller and sequence number is among them\n", r.Reason)
	}
	if r.Selected == "" {
		b.WriteString("the service depends on the caller and the sequence number of the first packet; all services are shown\n")
	}
	var failures error
	for _, s := range r.Services {
		failures = errors.Join(failures, s.writeTable(&b))
	}
	_, err := io.WriteString(w, b.String())
	return errors.Join(failures, err)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// writeTable writes the candidates, the chosen one first and then those that may get flows, by cost.
func (s Service) writeTable(b *strings.Builder) error {
	fmt.Fprintf(b, "\nservice %s, weight %d, %s\n", s.Name, s.Weight, map[bool]string{true: "uneven speeds", false: "even speeds"}[s.Uneven])
	list := slices.Clone(s.Candidates)
	slices.SortStableFunc(list, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(y.rank(), x.rank()), cmp.Compare(x.Cost.Total, y.Cost.Total))
	})
	t := tabwriter.NewWriter(b, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintln(t, "\tendpoint\tdomain\tstate\topen\tworking\tslots\tdelay ms\trel. delay\tin turn\tcost\tparts")
	for _, c := range list {
		_, failure := fmt.Fprintln(t, c.row(s.Uneven))
		err = errors.Join(err, failure)
	}
	if err := errors.Join(err, t.Flush()); err != nil {
		return err
	}
	if len(list) > 0 && list[0].Chosen {
		fmt.Fprintf(b, "choice: %s at %s in failure domain %s\n", list[0].Endpoint, list[0].Address, list[0].Domain)
	} else {
		fmt.Fprintf(b, "refused (%s): none of %d endpoints may get new flows\n", affinity.NoEndpoint, len(list))
	}
	return nil
}

// rank orders the chosen candidate before the usable ones and these before the others.
func (c Candidate) rank() int {
	switch {
	case c.Chosen:
		return 2
	case c.Usable:
		return 1
	}
	return 0
}

func (c Candidate) row(uneven bool) string {
	mark, delay, inTurn := "", "-", "-"
	if c.Chosen {
		mark = "*"
	}
	if c.DelayMs > 0 {
		delay = fmt.Sprintf("%.1f", c.DelayMs)
	}
	if uneven {
		inTurn = fmt.Sprintf("%.3f", c.InTurn)
	}
	return strings.Join([]string{
		mark, c.Endpoint, c.Domain, strings.Join(c.States, ", "), fmt.Sprint(c.OpenFlows), fmt.Sprint(c.Working), fmt.Sprint(c.Slots),
		delay, fmt.Sprintf("%.2f", c.RelativeDelay), inTurn, fmt.Sprintf("%.3f", c.Cost.Total), c.Cost.parts(),
	}, "\t")
}

// parts names the parts that are not 0.
func (c Cost) parts() string {
	var list []string
	for _, p := range []struct {
		name  string
		value float64
	}{
		{"work", c.Work},
		{"open", c.Open},
		{"cold", c.Cold},
		{"overdue", c.Overdue},
		{"suspect", c.Suspect},
		{"refused", c.Refused},
		{"silent", c.Silent},
	} {
		if p.value != 0 {
			list = append(list, fmt.Sprintf("%s %.3f", p.name, p.value))
		}
	}
	return strings.Join(list, " + ")
}
