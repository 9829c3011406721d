package main

import (
	"context"
	"net"
	"os"
	"sync"
	"time"
)

// path is the network path of one machine to all others. While it is cut, nothing passes: the bytes that the
// machine sends on open connections are held up, and connections cannot be opened. After the cut the bytes
// arrive when TCP sends them again, even if the process that wrote them has ended.
type path struct {
	site *site

	mu      sync.Mutex
	cut     bool
	healed  time.Time     // end of the last cut
	changed chan struct{} // closed when cut changes
}

func newPath(s *site) *path { return &path{site: s, changed: make(chan struct{})} }

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut && !cut {
		p.healed = time.Now()
	}
	p.cut = cut
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *path) isCut() bool {
	cut, _ := p.state()
	return cut
}

// wasCut reports whether the path was cut in the given time before at.
func (p *path) wasCut(at time.Time, window time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut || at.Sub(p.healed) < window
}

func (p *path) state() (cut bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut, p.changed
}

// dial opens a connection over the path.
func (p *path) dial(ctx context.Context, network, address string) (net.Conn, error) {
	for {
		cut, changed := p.state()
		if !cut {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: conn, path: p}, nil
}

// heldConn is a connection over a path.
type heldConn struct {
	net.Conn
	path *path

	mu     sync.Mutex
	held   []byte
	closed bool
}

// firstRetransmission is the time after which TCP sends a segment again. It doubles each time.
const firstRetransmission = 200 * time.Millisecond

func (c *heldConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if len(c.held) == 0 && !c.path.isCut() {
		return c.Conn.Write(b)
	}
	if len(c.held) == 0 {
		go c.deliver(time.Now())
	}
	c.held = append(c.held, b...)
	return len(b), nil
}

// deliver sends the held bytes at the first retransmission after the cut.
func (c *heldConn) deliver(written time.Time) {
	for at, wait := written, firstRetransmission; ; wait *= 2 {
		at = at.Add(wait)
		time.Sleep(time.Until(at))
		if !c.path.isCut() {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.path.site.record.line("the network delivers %d bytes that the cut held up for %.1f s: %.60q", len(c.held), time.Since(written).Seconds(), c.held)
	_, _ = c.Conn.Write(c.held) // fails only if the other end has closed the connection
	c.held = nil
	if c.closed {
		_ = c.Conn.Close()
	}
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, os.ErrClosed
	}
	return n, err
}

// Close ends the connection for the process. Held bytes are still delivered.
func (c *heldConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil
	}
	c.closed = true
	if len(c.held) > 0 {
		return c.SetReadDeadline(time.Now())
	}
	return c.Conn.Close()
}
