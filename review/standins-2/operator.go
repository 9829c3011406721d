package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// operator sends desired states.
type operator struct {
	record *record
	hosts  []string
	client *http.Client
}

func newOperator(r *record, hosts []string) *operator {
	return &operator{record: r, hosts: hosts, client: &http.Client{Timeout: time.Second}} // follows a 307 with the same body
}

// call sends a request to one host and returns the status, 0 without an answer, and the body.
func (o *operator) call(method, host string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s/cassiawood/config", host), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := o.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// put sends a desired state to one host after the other until it is acknowledged or refused, or the time has passed.
func (o *operator) put(what string, body []byte, limit time.Duration) int {
	status := 0
	for begin, i := time.Now(), 0; time.Since(begin) < limit; i++ {
		status, _ = o.call(http.MethodPut, o.hosts[i%len(o.hosts)], body)
		switch status {
		case http.StatusOK, http.StatusBadRequest, http.StatusConflict, http.StatusPreconditionFailed, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
			o.record.say("operator: %s sent: answered with %d after %d ms", what, status, time.Since(begin).Milliseconds())
			return status
		}
		time.Sleep(min(time.Duration(i+1)*100*time.Millisecond, time.Second))
	}
	o.record.say("operator: %s sent again for %v: no clear answer, last status %d", what, limit, status)
	return status
}

// read reads the desired state at one host after the other until one answers with 200, or the time has passed.
func (o *operator) read(limit time.Duration) (string, bool) {
	status := 0
	for begin, i := time.Now(), 0; time.Since(begin) < limit; i++ {
		var text []byte
		if status, text = o.call(http.MethodGet, o.hosts[i%len(o.hosts)], nil); status == http.StatusOK {
			o.record.say("operator: reads %s", strings.TrimSpace(string(text)))
			return string(text), true
		}
		time.Sleep(200 * time.Millisecond)
	}
	o.record.say("operator: no desired state could be read for %v, last status %d", limit, status)
	return "", false
}
