package telemetry

import (
	"fmt"
	"html/template"
	"net/http"
	"time"
)

// Status is the content of the status page. Its texts are shown as they are.
type Status struct {
	Title    string
	Summary  string
	Now      time.Time
	Services []ServiceStatus
	Hosts    []HostStatus
	Changes  []ChangeStatus
}

// ServiceStatus describes a service and its backend servers on the status page.
type ServiceStatus struct {
	Name     string
	Address  string
	State    string
	Backends []BackendStatus
}

// BackendStatus describes a backend server on the status page.
type BackendStatus struct {
	Address       string
	FailureDomain string
	State         string
}

// HostStatus describes a host on the status page.
type HostStatus struct {
	Name          string
	FailureDomain string
	State         string
}

// ChangeStatus describes a change of the document on the status page.
type ChangeStatus struct {
	When    string
	Who     string
	Section string
	Outcome string
}

// StatusHandler serves the status page. read requests the status from the duty that owns
// the state and returns an error if that duty does not answer.
func StatusHandler(read func() (Status, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		status, err := read()
		if err != nil {
			http.Error(w, fmt.Sprintf("The status is not available: %v", err), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		w.Header().Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		// The HTTP status is already sent, so an error can only truncate the page.
		_ = statusPage.Execute(w, status)
	})
}

var statusPage = template.Must(template.New("status").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<meta http-equiv="refresh" content="10"><title>{{.Title}}</title>
<style>
body{font:18px/1.5 system-ui,sans-serif;max-width:46rem;margin:0 auto;padding:1rem;color:#1b1b1b;background:#fff}
h1{font-size:1.5rem}h2{font-size:1.2rem;margin-top:2rem;border-bottom:2px solid #ccc}h3{margin-bottom:.2rem}
table{border-collapse:collapse;width:100%}td,th{text-align:left;padding:.4rem .5rem .4rem 0;border-bottom:1px solid #ddd;vertical-align:top}
th{font-size:.9rem;color:#444}.wide{overflow-x:auto}
</style></head><body>
<h1>{{.Title}}</h1><p>{{.Summary}}</p><p>As of {{.Now.Format "2 January 2006, 15:04:05 MST"}}. This page renews itself every 10 seconds.</p>
<h2>Services</h2>
{{range .Services}}<h3>{{.Name}}</h3><p>Callers reach it at {{.Address}}. {{.State}}</p>
{{if .Backends}}<div class="wide"><table><tr><th>Backend server</th><th>Failure domain</th><th>State</th></tr>
{{range .Backends}}<tr><td>{{.Address}}</td><td>{{.FailureDomain}}</td><td>{{.State}}</td></tr>{{end}}</table></div>{{end}}
{{else}}<p>There is no service yet.</p>{{end}}
<h2>Hosts</h2>
{{if .Hosts}}<div class="wide"><table><tr><th>Host</th><th>Failure domain</th><th>State</th></tr>
{{range .Hosts}}<tr><td>{{.Name}}</td><td>{{.FailureDomain}}</td><td>{{.State}}</td></tr>{{end}}</table></div>
{{else}}<p>No host has joined yet.</p>{{end}}
<h2>Last changes</h2>
{{if .Changes}}<div class="wide"><table><tr><th>When</th><th>Who</th><th>Section</th><th>Outcome</th></tr>
{{range .Changes}}<tr><td>{{.When}}</td><td>{{.Who}}</td><td>{{.Section}}</td><td>{{.Outcome}}</td></tr>{{end}}</table></div>
{{else}}<p>Nothing was changed yet.</p>{{end}}
</body></html>
`))
