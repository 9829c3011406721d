package main

import (
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/template"
	"time"
)

//go:embed desired.json.tmpl
var desiredText string

var desiredTemplate = template.Must(template.New("desired").Parse(desiredText))

// callTimeout is the time after which a caller turns to another machine.
const callTimeout = time.Second

// operator sends desired states to the control machines in turn. Like each caller it follows redirects.
type operator struct {
	s      *site
	client *http.Client
	next   int
}

func (s *site) newOperator() *operator {
	return &operator{s: s, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends one request to the next machine and returns the status.
func (o *operator) call(method, body string) (status int, machine string, err error) {
	machine = o.s.controlAddress(o.next % controlCount)
	o.next++
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s/cassiawood/config", machine), strings.NewReader(body))
	if err != nil {
		return 0, machine, err
	}
	response, err := o.client.Do(r)
	if err != nil {
		return 0, machine, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, machine, errors.Join(err, response.Body.Close())
}

// put sends a desired state again and again until it is acknowledged or the time is over. It returns the time of the acknowledgement.
func (o *operator) put(version int, until time.Time) (time.Time, bool) {
	var body strings.Builder
	if err := desiredTemplate.Execute(&body, map[string]int{"Version": version}); err != nil {
		o.s.note("%v", err)
		return time.Time{}, false
	}
	last := ""
	for time.Now().Before(until) {
		status, machine, err := o.call(http.MethodPut, body.String())
		if err == nil && status == http.StatusOK {
			o.s.note("version %d acknowledged by %s", version, machine)
			return time.Now(), true
		}
		if outcome := fmt.Sprintf("version %d not acknowledged by %s: status %d, %v", version, machine, status, err); outcome != last {
			last = outcome
			o.s.note("%s", outcome)
		}
		time.Sleep(150 * time.Millisecond)
	}
	return time.Time{}, false
}
