package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends desired states and reads them back.
type operator struct {
	site         *site
	client       *http.Client
	hosts        []string // the control hosts that it picks from
	next         int
	acknowledged int    // highest acknowledged version
	lastHost     string // that acknowledged last
}

func newOperator(s *site) *operator {
	return &operator{site: s, client: newHTTPClient(time.Second, nil), hosts: s.controlHosts()}
}

// document returns the desired state with the version.
func (o *operator) document(version int) []byte { return desiredBody(version, o.site.routes) }

// call sends a request to one host, follows a 307 twice and returns the status, or 0 without an answer, the
// body, and the host that answered.
func (o *operator) call(method, host string, body []byte) (int, []byte, string) {
	url := fmt.Sprintf("http://%s/cassiawood/config", host)
	for range 3 {
		request, err := http.NewRequestWithContext(o.site.ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, ""
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := o.client.Do(request)
		if err != nil {
			return 0, nil, ""
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, nil, ""
		}
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, text, strings.Split(strings.TrimPrefix(url, "http://"), "/")[0]
		}
		url = response.Header.Get("Location")
	}
	return 0, nil, ""
}

// putUntilAcknowledged sends a desired state, to one host after the other, until it is acknowledged.
func (o *operator) putUntilAcknowledged(version int, limit time.Duration) error {
	wait := 50 * time.Millisecond
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		host := o.hosts[o.next%len(o.hosts)]
		status, _, by := o.call(http.MethodPut, host, o.document(version))
		o.site.record.line("operator puts version %d at %s: status %d", version, host, status)
		if status == http.StatusOK {
			o.acknowledged, o.lastHost = version, by
			return nil
		}
		o.next++
		time.Sleep(wait)
		wait = min(2*wait, 500*time.Millisecond)
	}
	return fmt.Errorf("version %d was not acknowledged within %v", version, limit)
}

// read asks all hosts once and returns the version of the first answer with status 200.
func (o *operator) read() (int, bool) {
	for _, host := range o.hosts {
		status, text, by := o.call(http.MethodGet, host, nil)
		o.site.record.line("operator reads at %s: status %d", host, status)
		var body struct {
			Version int `json:"version"`
		}
		if status == http.StatusOK && json.Unmarshal(text, &body) == nil {
			o.site.record.line("operator has read version %d from %s", body.Version, by)
			return body.Version, true
		}
	}
	return 0, false
}
