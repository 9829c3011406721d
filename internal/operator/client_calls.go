package operator

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"cassiawood/internal/document"
)

// Save implements Backend. The team of the change comes from the token.
func (c *Client) Save(ctx context.Context, change Change) (SaveResult, error) {
	var result SaveResult
	err := c.do(ctx, http.MethodPut, "/v1/section", change.ID, change, &result)
	return result, err
}

// Sections implements Backend.
func (c *Client) Sections(ctx context.Context) ([]document.Section, error) {
	received, err := get[[]sectionJSON](ctx, c, "/v1/sections")
	sections := make([]document.Section, 0, len(received))
	for _, s := range received {
		sections = append(sections, s.section())
	}
	return sections, err
}

// Section implements Backend.
func (c *Client) Section(ctx context.Context, heading string, version uint64) (document.Section, error) {
	query := url.Values{"heading": {heading}, "version": {strconv.FormatUint(version, 10)}}
	received, err := get[sectionJSON](ctx, c, "/v1/section?"+query.Encode())
	return received.section(), err
}

// History implements Backend.
func (c *Client) History(ctx context.Context, heading string) ([]Revision, error) {
	return get[[]Revision](ctx, c, "/v1/history?"+url.Values{"heading": {heading}}.Encode())
}

// Services implements Backend.
func (c *Client) Services(ctx context.Context) ([]Service, error) {
	return get[[]Service](ctx, c, "/v1/services")
}

// BackendServers implements Backend.
func (c *Client) BackendServers(ctx context.Context) ([]BackendServer, error) {
	return get[[]BackendServer](ctx, c, "/v1/backends")
}

// Hosts implements Backend.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	return get[[]Host](ctx, c, "/v1/hosts")
}

// FailureDomains implements Backend.
func (c *Client) FailureDomains(ctx context.Context) ([]FailureDomain, error) {
	return get[[]FailureDomain](ctx, c, "/v1/domains")
}

// DeclareOutOfService implements Backend.
func (c *Client) DeclareOutOfService(ctx context.Context, change DomainChange) error {
	return c.do(ctx, http.MethodPost, "/v1/out-of-service", change.ID, change, &struct{}{})
}

// DrainHost implements Backend.
func (c *Client) DrainHost(ctx context.Context, drain HostDrain) error {
	return c.do(ctx, http.MethodPost, "/v1/drain", drain.ID, drain, &struct{}{})
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var result T
	err := c.do(ctx, http.MethodGet, path, "", nil, &result)
	return result, err
}
