package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// runOddReport lets another writer leave one report in which a field is missing, at the address of a running
// endpoint. The endpoint's flows must go on.
func runOddReport(s *site) error {
	if err := s.start(siteLayout{entriesPerZone: 2, desk: []string{"fs-a", "fs-a", "fs-b", "fs-b", "fs-c", "fs-c"}, sheet: zones}); err != nil {
		return err
	}
	time.Sleep(2 * heartbeatInterval) // until each endpoint has reported, also if its first report found no host
	for _, zone := range zones {
		pause := func() time.Duration { return 300 * time.Millisecond }
		if err := s.startClients(zone, clientLoad{count: 8, route: s.routes[0], pause: pause, flowAge: 45 * time.Second}); err != nil {
			return err
		}
	}
	time.Sleep(2*stableWindow + time.Second)
	if s.trouble {
		if err := s.sendOddReport(s.endpoints[0], s.controlHosts()[0]); err != nil {
			return err
		}
	}
	time.Sleep(8 * time.Second)
	return nil
}

// sendOddReport sends a report without the field version, under another id, at the address of the endpoint.
func (s *site) sendOddReport(at *endpoint, host string) error {
	report := reportBody{Service: at.service, Zone: at.zone, State: "ready", Address: at.address, Born: time.Now().UnixMilli(), Seq: 1}
	url := fmt.Sprintf("http://%s/cassiawood/instances/i-00000dd0", host)
	request, err := http.NewRequestWithContext(s.ctx, http.MethodPut, url, bytes.NewReader(report.encode()))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := newHTTPClient(callTimeout, nil).Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	s.record.line("another writer sends %s to %s, where %s runs: status %d", report.encode(), host, at.name, response.StatusCode)
	return nil
}
