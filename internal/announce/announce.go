// Package announce is the HTTP front end for backend servers. It receives their
// announcements and probes their health and load endpoints.
package announce

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"cassiawood/internal/directory"
)

const (
	// maxBodyBytes is the maximum length of an announcement, which is many times the
	// length of a normal one, and of a reply from a load endpoint.
	maxBodyBytes = 8 << 10
	// minLease and maxLease limit the lease that a backend server may request.
	minLease     = 2 * time.Second
	maxLease     = 60 * time.Second
	defaultLease = 6 * time.Second
	maxSlots     = 100_000
	maxNameBytes = 128
)

// Announcement is a valid announcement of a backend server.
type Announcement struct {
	Endpoint directory.Endpoint // without ID; Service is the announced name
	Lease    time.Duration
	Token    string     // from the Authorization header; empty without one
	Source   netip.Addr // of the HTTP request
}

// RefusedError is the leader's refusal of an announcement.
type RefusedError struct{ Reason string }

// Error returns the reason.
func (e *RefusedError) Error() string { return e.Reason }

// Submitter passes an announcement to the leader. Submit returns a RefusedError
// if the leader refuses the announcement and another error if no leader answers.
type Submitter interface {
	Submit(ctx context.Context, a Announcement) error
}

// announcementBody is the JSON form of an announcement.
type announcementBody struct {
	Instance      string  `json:"instance"`
	Service       string  `json:"service"`
	Address       string  `json:"address"`
	Port          uint16  `json:"port"`
	FailureDomain string  `json:"failure_domain"`
	Slots         int     `json:"slots"`
	State         string  `json:"state"`
	LeaseSeconds  float64 `json:"lease_seconds"`
	HealthURL     string  `json:"health_url"`
	LoadURL       string  `json:"load_url"`
}

var endpointStates = map[string]directory.EndpointState{
	"starting": directory.Starting, "ready": directory.Ready, "draining": directory.Draining, "leaving": directory.Leaving,
}

// NewHandler returns a handler for POST /v1/announce. It answers 204 if the leader
// accepted the announcement, 400 with all problems of an invalid one, 403 with the
// reason of a refusal, and 503 if no leader answered.
func NewHandler(submitter Submitter) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		a, err := decodeAnnouncement(w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		err = submitter.Submit(r.Context(), a)
		var refused *RefusedError
		switch {
		case err == nil:
			w.WriteHeader(http.StatusNoContent)
		case errors.As(err, &refused):
			http.Error(w, refused.Reason, http.StatusForbidden)
		default:
			w.Header().Set("Retry-After", "1")
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	return mux
}

func decodeAnnouncement(w http.ResponseWriter, r *http.Request) (Announcement, error) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	var b announcementBody
	if err := decoder.Decode(&b); err != nil {
		return Announcement{}, fmt.Errorf("announcement is not valid JSON: %w", err)
	}
	a, err := b.toAnnouncement()
	if err != nil {
		return a, err
	}
	source, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return a, fmt.Errorf("source address %q: %w", r.RemoteAddr, err)
	}
	a.Source = source.Addr()
	if _, token, ok := cutBearerToken(r.Header.Get("Authorization")); ok {
		a.Token = token
	}
	return a, nil
}

func cutBearerToken(header string) (scheme, token string, ok bool) {
	const bearer = "Bearer "
	if len(header) <= len(bearer) || header[:len(bearer)] != bearer {
		return "", "", false
	}
	return bearer, header[len(bearer):], true
}

// toAnnouncement converts the body to an Announcement. The error lists every invalid field.
func (b announcementBody) toAnnouncement() (Announcement, error) {
	var findings []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			findings = append(findings, fmt.Errorf(format, args...))
		}
	}
	address, err := netip.ParseAddr(b.Address)
	require(err == nil && address.Is4(), "address: %q is not an IPv4 address", b.Address)
	state, known := endpointStates[b.State]
	require(known, "state: %q is not one of starting, ready, draining, leaving", b.State)
	lease := time.Duration(b.LeaseSeconds * float64(time.Second))
	if b.LeaseSeconds == 0 {
		lease = defaultLease
	}
	require(lease >= minLease && lease <= maxLease, "lease_seconds: %g is not between %g and %g",
		b.LeaseSeconds, minLease.Seconds(), maxLease.Seconds())
	require(b.Port != 0, "port: is missing")
	require(b.Slots > 0 && b.Slots <= maxSlots, "slots: %d is not between 1 and %d", b.Slots, maxSlots)
	for name, value := range map[string]string{
		"instance": b.Instance, "service": b.Service, "failure_domain": b.FailureDomain,
	} {
		require(value != "" && len(value) <= maxNameBytes, "%s: must have 1 to %d bytes", name, maxNameBytes)
	}
	for name, value := range map[string]string{"health_url": b.HealthURL, "load_url": b.LoadURL} {
		require(value == "" || isHTTPURL(value), "%s: %q is not an HTTP URL", name, value)
	}
	endpoint := directory.Endpoint{
		Instance: b.Instance, Service: b.Service, Address: netip.AddrPortFrom(address, b.Port), Domain: b.FailureDomain,
		Slots: b.Slots, State: state, HealthURL: b.HealthURL, LoadURL: b.LoadURL,
	}
	return Announcement{Endpoint: endpoint, Lease: lease}, errors.Join(findings...)
}

func isHTTPURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}
