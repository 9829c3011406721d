package announce

import (
	"context"
	"net/http"
	"time"
)

// probeTimeout bounds one probe. A health endpoint that answers later than this
// is of no use for placing flows.
const probeTimeout = time.Second

// Prober asks health endpoints. Its answers are hints: they never add a backend server.
type Prober struct{ client *http.Client }

// NewProber returns a prober that follows no redirects, so that a health
// endpoint cannot direct it to another host.
func NewProber() *Prober {
	return &Prober{client: &http.Client{
		Timeout:       probeTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Healthy reports whether the endpoint at url answered 2xx in time.
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
