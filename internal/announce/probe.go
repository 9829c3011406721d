package announce

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// probeTimeout is the timeout of one probe. A later answer is too old for placing
// flows.
const probeTimeout = time.Second

// Prober queries health and load endpoints. Its results are only hints: they never
// add a backend server.
type Prober struct{ client *http.Client }

// NewProber returns a prober that follows no redirects, so that a health
// endpoint cannot direct it to another host.
func NewProber() *Prober {
	return &Prober{client: &http.Client{
		Timeout:       probeTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Load queries a load endpoint and returns the number of requests that its backend
// server is processing or has queued. ok is false if there was no valid answer in time.
func (p *Prober) Load(ctx context.Context, url string) (inFlight int, ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var load struct {
		Busy   int `json:"busy"`
		Queued int `json:"queued"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&load)
	if err != nil || response.StatusCode != http.StatusOK || load.Busy < 0 || load.Queued < 0 {
		return 0, false
	}
	return load.Busy + load.Queued, true
}

// Healthy reports whether the endpoint at url answered with a 2xx status in time.
func (p *Prober) Healthy(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode >= 200 && response.StatusCode < 300
}
