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
	// announceRetryPause is the pause after all entry hosts have failed or refused.
	announceRetryPause = 500 * time.Millisecond
	// announcementsPerLease is chosen so that two announcements may be lost before the
	// lease expires.
	announcementsPerLease = 3
	// maxReasonBytes bounds how much of the body of a refusal is logged.
	maxReasonBytes = 1024
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
	s.nextAnnounceAt = now + config.Lease/announcementsPerLease
	if len(config.AnnounceURLs) == 0 || s.faults.StopAnnouncing {
		return
	}
	state := s.state
	if s.faults.ClaimReady && s.stateAnnounced {
		state = stateReady
	}
	_, _ = s.backend.announce.Put(announcement{
		Instance: config.Instance, Service: config.Service,
		Address: config.Address.Addr().String(), Port: config.Address.Port(),
		FailureDomain: config.Domain, Slots: config.Slots, State: state, LeaseSeconds: config.Lease.Seconds(),
		HealthURL: s.backend.probes.url("/health"), LoadURL: s.backend.probes.url("/load"),
	})
}

// handleAnnounceResult handles the result of an announcement.
func (s *backendState) handleAnnounceResult(state string, err error) {
	if err != nil {
		s.counters.AnnounceRefused++
		s.nextAnnounceAt = min(s.nextAnnounceAt, s.backend.now()+announceRetryPause)
		return
	}
	s.counters.Announced++
	s.stateAnnounced = s.stateAnnounced || state == s.state
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
func (a *announcer) send(current announcement) error {
	body, err := json.Marshal(current)
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
		a.backend.log.Warn("announcement failed", "state", current.State, "reason", failures)
	}
	_, _ = a.backend.inbox.Put(backendEvent{do: func(s *backendState) { s.handleAnnounceResult(current.State, failures) }})
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
	reason, err := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
	err = errors.Join(err, response.Body.Close())
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s responded with status %s: %s", url, response.Status, bytes.TrimSpace(reason))
	}
	return err
}
