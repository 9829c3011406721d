package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// announceTimeout bounds one request, so that an entry host that does not respond
	// delays the attempt at the next one only briefly.
	announceTimeout = time.Second
	// announceRetry is the pause after all entry hosts have failed or refused.
	announceRetry = 500 * time.Millisecond
	// renewShare is the number of announcements per lease, so that two of them may
	// be lost before the lease expires.
	renewShare = 3
	// maxReason bounds how much of the body of a refusal is logged.
	maxReason = 1024
)

// announcement is the body of POST /v1/announce (docs/design.md, section 6.3).
type announcement struct {
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

// sendAnnouncement passes the current state to the announcing duty and schedules
// the next announcement.
func (s *backendState) sendAnnouncement(now time.Duration) {
	config := &s.backend.config
	s.nextAnnounce = now + config.Lease/renewShare
	if len(config.AnnounceURLs) == 0 || s.faults.StopAnnouncing {
		return
	}
	state := s.state
	if s.faults.ClaimReady && s.stateSent {
		state = stateReady
	}
	_, _ = s.backend.announce.Put(announcement{
		Instance: config.Instance, Service: config.Service,
		Address: config.Address.Addr().String(), Port: config.Address.Port(),
		FailureDomain: config.Domain, Slots: config.Slots, State: state, LeaseSeconds: config.Lease.Seconds(),
		HealthURL: s.backend.probes.url("/health"), LoadURL: s.backend.probes.url("/load"),
	})
}

// announced handles the result of an announcement.
func (s *backendState) announced(state string, err error) {
	if err != nil {
		s.report0.AnnounceRefused++
		s.nextAnnounce = min(s.nextAnnounce, s.backend.now()+announceRetry)
		return
	}
	s.report0.Announced++
	s.stateSent = s.stateSent || state == s.state
}

// announcer is the announcing duty of a backend server.
type announcer struct {
	backend *Backend
	client  http.Client
	next    int // index of the URL to try first
}

func newAnnouncer(b *Backend) *announcer {
	return &announcer{backend: b, client: http.Client{Timeout: announceTimeout}}
}

// send tries each entry host at most once, starting with the last one that accepted.
func (a *announcer) send(what announcement) error {
	body, err := json.Marshal(what)
	if err != nil {
		return fmt.Errorf("encode announcement: %w", err)
	}
	var failures error
	for range a.backend.config.AnnounceURLs {
		if err = a.post(a.backend.config.AnnounceURLs[a.next], body); err == nil {
			failures = nil
			break
		}
		failures = errors.Join(failures, err)
		a.next = (a.next + 1) % len(a.backend.config.AnnounceURLs)
	}
	if failures != nil {
		a.backend.log.Warn("announcement failed", "state", what.State, "reason", failures)
	}
	_, _ = a.backend.inbox.Put(backendEvent{do: func(s *backendState) { s.announced(what.State, failures) }})
	return nil
}

// post sends an announcement to one entry host.
func (a *announcer) post(url string, body []byte) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	if a.backend.config.Token != "" {
		request.Header.Set("Authorization", "Bearer "+a.backend.config.Token)
	}
	response, err := a.client.Do(request)
	if err != nil {
		return err
	}
	reason, err := io.ReadAll(io.LimitReader(response.Body, maxReason))
	err = errors.Join(err, response.Body.Close())
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s responded with status %s: %s", url, response.Status, bytes.TrimSpace(reason))
	}
	return err
}
