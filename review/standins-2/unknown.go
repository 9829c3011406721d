package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

// playUnknownService sends a desired state whose route names a service that is not declared, beside a split over services that are.
// Without the trouble, the route has the split only.
func playUnknownService(r *record, s *site, withTrouble bool) (bool, error) {
	_, op, _, route, err := startSmallSite(r, s)
	if err != nil {
		return false, err
	}
	d := desiredBody{
		Version: 2, Route: route, Service: "order-dsk", Services: []string{"order-desk", "order-desk-new"},
		Split: []share{{"order-desk", 90}, {"order-desk-new", 10}},
	}
	if !withTrouble {
		d.Service = ""
	}
	text := d.encode()
	r.say("operator: sends %s", text)
	status := op.put("version 2", text, 5*time.Second)
	if status != http.StatusOK {
		r.tell("version 2 answered with %d", status)
		if !withTrouble {
			return false, errors.New("a valid desired state was not acknowledged")
		}
		return false, nil
	}
	read, ok := op.read(5 * time.Second)
	if !ok {
		return false, errors.New("the desired state could not be read")
	}
	inForce := strings.Contains(read, `"version":2`)
	r.tell("version 2 answered with %d, in force: %t, route names an unknown service: %t", status, inForce, withTrouble)
	return withTrouble, nil
}
