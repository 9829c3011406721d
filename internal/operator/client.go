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
	rounds      = 4
	firstPause  = 250 * time.Millisecond
	attemptTime = answerTime + 5*time.Second
	dialTime    = 3 * time.Second // a host that is down does not refuse connections, and the next one waits to be tried
	maxReply    = 64 << 20
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Hosts []string // operator addresses of the control hosts
	Roots *x509.CertPool
	Token string
	// Pause waits between two rounds of attempts. If it is nil, a timer is used.
	Pause func(ctx context.Context, d time.Duration) error
}

// Client is a Backend that sends requests to the control hosts over HTTPS. It
// tries every control host, turns to the leader that a host names, and resends a
// request whose answer was lost. The ID of a change keeps a resend from taking
// effect a second time.
type Client struct {
	options ClientOptions
	http    *http.Client
}

var _ Backend = (*Client)(nil)

// NewClient returns a client that accepts only TLS 1.3 and the given roots.
func NewClient(options ClientOptions) *Client {
	if options.Pause == nil {
		options.Pause = pause
	}
	return &Client{options: options, http: &http.Client{
		Timeout: attemptTime,
		Transport: &http.Transport{
			TLSClientConfig:     &tls.Config{RootCAs: options.Roots, MinVersion: tls.VersionTLS13},
			DialContext:         (&net.Dialer{Timeout: dialTime}).DialContext,
			TLSHandshakeTimeout: 5 * time.Second,
			ForceAttemptHTTP2:   true,
		},
		// A redirect could send the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// exchange is one request with all its attempts.
type exchange struct {
	client   *Client
	method   string
	path     string
	body     []byte
	changeID string   // empty for a request that changes nothing
	sent     bool     // an attempt without an answer may have reached its host
	tried    []string // all hosts of all attempts
}

// do sends the request until a control host answers it, and decodes the answer
// into result. It gives up after the last round.
func (c *Client) do(ctx context.Context, method, path, changeID string, body, result any) error {
	e := &exchange{client: c, method: method, path: path, changeID: changeID}
	if body != nil {
		var err error
		if e.body, err = json.Marshal(body); err != nil {
			return err
		}
	}
	wait := firstPause
	var err error
	for round := range rounds {
		if round > 0 {
			if c.options.Pause(ctx, wait) != nil {
				break
			}
			wait *= 2
		}
		var settled bool
		if settled, err = e.round(ctx, result); settled {
			return err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return e.failure(err)
}

// round tries every host once. If a host names the leader, the leader is tried next.
// It reports whether the outcome is final.
func (e *exchange) round(ctx context.Context, result any) (bool, error) {
	queue := slices.Clone(e.client.options.Hosts)
	var asked []string
	var last error
	for len(queue) > 0 && ctx.Err() == nil {
		host := queue[0]
		queue = queue[1:]
		if slices.Contains(asked, host) {
			continue
		}
		asked = append(asked, host)
		if !slices.Contains(e.tried, host) {
			e.tried = append(e.tried, host)
		}
		err := e.attempt(ctx, host, result)
		if settles(err) {
			return true, err
		}
		last = err
		var notLeader *NotLeader
		if errors.As(err, &notLeader) && notLeader.Leader != "" {
			queue = append([]string{notLeader.Leader}, queue...)
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return false, last
}

// settles reports whether an outcome is final. Any other outcome may differ at
// another host or after a while.
func settles(err error) bool {
	var (
		refused      *Refused
		race         *Race
		unauthorised *Unauthorised
		notFound     *NotFound
	)
	return err == nil || errors.As(err, &refused) || errors.As(err, &race) ||
		errors.As(err, &unauthorised) || errors.As(err, &notFound)
}

// failure returns the error after the last attempt. A lost answer takes precedence
// over a later NoQuorum, because the change may have been proposed before.
func (e *exchange) failure(last error) error {
	var noQuorum *NoQuorum
	if errors.As(last, &noQuorum) && !e.sent {
		return last
	}
	if last == nil {
		last = errors.New("no control host is given")
	}
	return &CannotReach{Hosts: e.tried, Sent: e.sent, ChangeID: e.changeID, Last: last}
}

// attempt sends the request to one host.
func (e *exchange) attempt(ctx context.Context, host string, result any) error {
	var arrived atomic.Bool // whether the headers were written; set by the transport
	trace := &httptrace.ClientTrace{WroteHeaders: func() { arrived.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, e.method, "https://"+host+e.path, bytes.NewReader(e.body))
	if err != nil {
		return fmt.Errorf("host %q: %w", host, err)
	}
	request.Header.Set("Authorization", "Bearer "+e.client.options.Token)
	if e.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := e.client.http.Do(request)
	if err != nil {
		e.sent = e.sent || arrived.Load()
		return err
	}
	defer response.Body.Close()
	reply, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		e.sent = true
		return fmt.Errorf("host %s: %w", host, err)
	}
	return e.read(host, response.StatusCode, reply, result)
}

func (e *exchange) read(host string, status int, reply []byte, result any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(reply, result); err != nil {
			e.sent = true
			return fmt.Errorf("host %s: the answer is not understood: %w", host, err)
		}
		return nil
	}
	var p problem
	if err := json.Unmarshal(reply, &p); err != nil || p.Kind == "" {
		e.sent = true
		return fmt.Errorf("host %s: status %d without a reason", host, status)
	}
	err := p.toError()
	var unanswered *Unanswered
	e.sent = e.sent || errors.As(err, &unanswered)
	return err
}
