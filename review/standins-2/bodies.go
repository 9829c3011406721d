package main

import (
	"bytes"
	"embed"
	"net/netip"
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

// reportBody holds the values of a report of an endpoint.
type reportBody struct {
	Service, Zone, State string
	Address              netip.AddrPort
	Seq                  int
	Born                 int64
}

// desiredBody holds the values of a desired state with one route, to a service or to the shares of a split.
type desiredBody struct {
	Version  int
	Route    netip.AddrPort
	Service  string
	Split    []share
	Services []string
}

// share is a part of a split.
type share struct {
	Service string
	Weight  int
}

func (d desiredBody) encode() []byte { return body("desired.json.tmpl", d) }
