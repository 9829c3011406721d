package main

import (
	"bytes"
	"embed"
	"net/netip"
	"slices"
	"text/template"
)

// The bodies of the calls and the settings files are templates, in the words of the platform.
//
//go:embed *.tmpl
var bodyFiles embed.FS

var bodies = template.Must(template.ParseFS(bodyFiles, "*.tmpl"))

func body(name string, values any) []byte {
	var b bytes.Buffer
	if err := bodies.ExecuteTemplate(&b, name, values); err != nil {
		panic(err) // the templates and their values are fixed
	}
	return bytes.TrimSpace(b.Bytes())
}

// reportBody are the values of a report of an endpoint. Without a Version the field is left out.
type reportBody struct {
	Service, Zone, Version, State string
	Address                       netip.AddrPort
	ColdMs, Born                  int64
	Seq                           int
}

func (r reportBody) encode() []byte { return body("report.json.tmpl", r) }

// desiredBody returns a desired state with the routes.
func desiredBody(version int, routes []route) []byte {
	var services []string
	for _, r := range routes {
		if !slices.Contains(services, r.Service) {
			services = append(services, r.Service)
		}
	}
	return body("desired.json.tmpl", struct {
		Version, TimeoutMs int
		IdleTimeoutMs      int64
		Routes             []route
		Services           []string
	}{version, 2000 + version, idleTimeout.Milliseconds(), routes, services})
}
