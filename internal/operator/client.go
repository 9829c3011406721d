package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"
)

// Limits of the client's attempts. The rounds outlast an election, which takes
// about a second, and an attempt may take as long as the server's answer.
const (
	maxRounds      = 4
	initialDelay   = 250 * time.Millisecond
	attemptTimeout = answerTimeout + 5*time.Second
	dialTimeout    = 3 * time.Second // limits the delay by a host that is down, which does not refuse connections
	maxReplyBytes  = 64 << 20
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Hosts []string // operator addresses of the control hosts
	Roots *x509.CertPool
	Token string
	// Sleep waits between two rounds of attempts. If it is nil, a timer is used.
	Sleep func(ctx context.Context, d time.Duration) error
}

// Client is a Backend that sends requests to the control hosts over HTTPS. It
// tries every control host, sends a request to the leader if a host names it, and
// resends a request whose answer was lost. The ID of a change keeps a resend from taking
// effect a second time.
type Client struct {
	options ClientOptions
	http    *http.Client
}

var _ Backend = (*Client)(nil)

// NewClient returns a client that accepts only TLS 1.3 and the given roots.
func NewClient(options ClientOptions) *Client {
	if options.Sleep == nil {
		options.Sleep = sleep
	}
	return &Client{options: options, http: &http.Client{
		Timeout: attemptTimeout,
		Transport: &http.Transport{
			TLSClientConfig:     &tls.Config{RootCAs: options.Roots, MinVersion: tls.VersionTLS13},
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			TLSHandshakeTimeout: 5 * time.Second,
			ForceAttemptHTTP2:   true,
		},
		// A redirect could send the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// retriedRequest is one request with all its attempts.
type retriedRequest struct {
	client     *Client
	method     string
	path       string
	body       []byte
	changeID   string   // empty for a request that changes nothing
	maybeSent  bool     // an attempt without an answer may have reached its host
	triedHosts []string // all hosts of all attempts
}

// do sends the request until a control host answers it, and decodes the answer
// into result. It gives up after the last round.
func (c *Client) do(ctx context.Context, method, path, changeID string, body, result any) error {
	r := &retriedRequest{client: c, method: method, path: path, changeID: changeID}
	if body != nil {
		var err error
		if r.body, err = json.Marshal(body); err != nil {
			return err
		}
	}
	delay := initialDelay
	var err error
	for round := range maxRounds {
		if round > 0 {
			if c.options.Sleep(ctx, delay) != nil {
				break
			}
			delay *= 2
		}
		var final bool
		if final, err = r.tryHosts(ctx, result); final {
			return err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return r.finalError(err)
}

// tryHosts tries every host once. If a host names the leader, the leader is tried next.
// It reports whether the outcome is final.
func (r *retriedRequest) tryHosts(ctx context.Context, result any) (bool, error) {
	queue := slices.Clone(r.client.options.Hosts)
	var askedHosts []string
	var lastErr error
	for len(queue) > 0 && ctx.Err() == nil {
		host := queue[0]
		queue = queue[1:]
		if slices.Contains(askedHosts, host) {
			continue
		}
		askedHosts = append(askedHosts, host)
		if !slices.Contains(r.triedHosts, host) {
			r.triedHosts = append(r.triedHosts, host)
		}
		err := r.attempt(ctx, host, result)
		if isFinal(err) {
			return true, err
		}
		lastErr = err
		var notLeader *NotLeaderError
		if errors.As(err, &notLeader) && notLeader.Leader != "" {
			queue = append([]string{notLeader.Leader}, queue...)
		}
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return false, lastErr
}

// isFinal reports whether an outcome is final. Any other outcome may differ at
// another host or after a while.
func isFinal(err error) bool {
	var (
		refused      *RefusedError
		conflict     *ConflictError
		unauthorised *UnauthorisedError
		notFound     *NotFoundError
	)
	return err == nil || errors.As(err, &refused) || errors.As(err, &conflict) ||
		errors.As(err, &unauthorised) || errors.As(err, &notFound)
}

// finalError returns the error after the last attempt. A lost answer takes precedence
// over a later NoQuorumError, because the change may have been proposed before.
func (r *retriedRequest) finalError(lastErr error) error {
	var noQuorum *NoQuorumError
	if errors.As(lastErr, &noQuorum) && !r.maybeSent {
		return lastErr
	}
	if lastErr == nil {
		lastErr = errors.New("no control host is given")
	}
	return &UnreachableError{Hosts: r.triedHosts, Sent: r.maybeSent, ChangeID: r.changeID, LastErr: lastErr}
}

// attempt sends the request to one host.
func (r *retriedRequest) attempt(ctx context.Context, host string, result any) error {
	var headersWritten atomic.Bool // whether the headers were written; set by the transport
	trace := &httptrace.ClientTrace{WroteHeaders: func() { headersWritten.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, r.method, "https://"+host+r.path, bytes.NewReader(r.body))
	if err != nil {
		return fmt.Errorf("host %q: %w", host, err)
	}
	request.Header.Set("Authorization", "Bearer "+r.client.options.Token)
	if r.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := r.client.http.Do(request)
	if err != nil {
		r.maybeSent = r.maybeSent || headersWritten.Load()
		return err
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		r.maybeSent = true
		return fmt.Errorf("host %s: %w", host, err)
	}
	return r.decodeReply(host, response.StatusCode, reply, result)
}

func (r *retriedRequest) decodeReply(host string, status int, reply []byte, result any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(reply, result); err != nil {
			r.maybeSent = true
			return fmt.Errorf("host %s: the answer is not understood: %w", host, err)
		}
		return nil
	}
	var p problem
	if err := json.Unmarshal(reply, &p); err != nil || p.Kind == "" {
		r.maybeSent = true
		return fmt.Errorf("host %s: status %d without a reason", host, status)
	}
	err := p.toError()
	var outcomeUnknown *OutcomeUnknownError
	r.maybeSent = r.maybeSent || errors.As(err, &outcomeUnknown)
	return err
}
