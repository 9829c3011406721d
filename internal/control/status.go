package control

import (
	"fmt"
	"time"

	"cassiawood/internal/audit"
	"cassiawood/internal/directory"
	"cassiawood/internal/operator"
	"cassiawood/internal/telemetry"
)

// maxShownChanges is the maximum number of changes on the status page.
const maxShownChanges = 20

// Status returns the content of the status page.
func (b operatorBackend) Status() (telemetry.Status, error) {
	return runQuery(b, func(d *applyDuty) (telemetry.Status, error) { return d.statusPage(), nil })
}

func (d *applyDuty) statusPage() telemetry.Status {
	page := telemetry.Status{
		Title: "cassiawood", Now: time.Unix(0, int64(d.now)).UTC(), Summary: d.summary(), Changes: d.recentChanges,
	}
	for _, name := range d.state.ServiceNames() {
		if s, _ := d.state.Service(name); !s.Quarantined {
			page.Services = append(page.Services, d.serviceStatus(s))
		}
	}
	for _, h := range d.hostViews() {
		page.Hosts = append(page.Hosts, telemetry.HostStatus{
			Name: h.Name, FailureDomain: h.Domain, State: hostStateText(h),
		})
	}
	return page
}

func (d *applyDuty) summary() string {
	switch {
	case d.leases.Leading() && d.hasQuorum():
		return "The control hosts agree, and changes are accepted here."
	case d.status.Leader != 0:
		return "The control hosts agree. Changes are accepted by another control host; this page may be a moment behind."
	default:
		return "This control host is cut off from the others. What it shows may be old. Traffic goes on; changes are refused."
	}
}

func (d *applyDuty) serviceStatus(s *directory.ServiceState) telemetry.ServiceStatus {
	view := d.serviceView(s)
	status := telemetry.ServiceStatus{Name: view.Name, Address: view.Address}
	switch {
	case view.BackendServers == 0:
		status.State = "No backend server has announced itself, so callers are refused."
	case view.Ready == 0:
		status.State = "None of its backend servers takes new work."
	default:
		status.State = fmt.Sprintf("%d of %d backend servers take new work.", view.Ready, view.BackendServers)
	}
	for _, id := range s.EndpointIDs() {
		e, _ := d.state.Endpoint(id)
		status.Backends = append(status.Backends, telemetry.BackendStatus{
			Address: e.Address.String(), FailureDomain: e.Domain, State: endpointStateText(e),
		})
	}
	return status
}

func endpointStateText(e *directory.Endpoint) string {
	switch {
	case e.State == directory.Ready && e.Suspected:
		return "does not answer its health check; gets no new work"
	case e.State == directory.Ready:
		return "takes new work"
	case e.State == directory.Starting:
		return "is starting"
	case e.State == directory.Draining:
		return "finishes its work and takes no new work"
	default:
		return "is leaving"
	}
}

func hostStateText(h operator.Host) string {
	switch h.State {
	case "active":
		return "works"
	case "joined":
		return "has joined and gets its records"
	case "silent":
		return "has not been heard for a while"
	case "leader":
		return "control host, accepts changes"
	default:
		return "control host"
	}
}

// addRecentChange adds a decided change by an operator to those on the status page.
func (d *applyDuty) addRecentChange(record audit.Record) {
	undecided := record.Action == "prepare change" && record.Outcome == "accepted"
	if record.Author == "system" || undecided {
		return
	}
	result := record.Outcome
	if record.Reason != "" {
		result += ": " + record.Reason
	}
	change := telemetry.ChangeStatus{
		When: record.At.Format("2 January 15:04"), Who: record.Author, Section: record.Section, Outcome: result,
	}
	d.recentChanges = append([]telemetry.ChangeStatus{change}, d.recentChanges[:min(len(d.recentChanges), maxShownChanges-1)]...)
}
