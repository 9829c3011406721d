package main

import (
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// linkProxies are the network between the system's machines, as far as the links to control hosts go: a proxy stands
// before each control host.
type linkProxies struct {
	site    *site
	proxies []*linkProxy

	mu       sync.Mutex
	losing   bool // a machine loses power: the ends of its connections that close do so unnoticed
	deadHost int  // the machine without power, or -1
}

// linkProxy passes on the connections to one control host.
type linkProxy struct {
	network        *linkProxies
	host           int
	listen, target netip.AddrPort

	mu       sync.Mutex
	listener net.Listener
	conns    map[*linkConn]struct{}
}

// linkConn is a connection through a proxy. After a loss of power one end of it is gone.
type linkConn struct {
	proxy          *linkProxy
	client, server net.Conn

	mu       sync.Mutex
	survivor net.Conn // the end whose other end has lost power; nil while both run
	dropped  bool     // the survivor has sent since
}

func (s *site) startLinkProxies() (*linkProxies, error) {
	n := &linkProxies{site: s, deadHost: -1}
	for i := range zones {
		p := &linkProxy{
			network: n, host: i, conns: map[*linkConn]struct{}{},
			listen: netip.AddrPortFrom(s.ip(controlKind, i), s.ports.links), target: netip.AddrPortFrom(s.ip(controlLinksKind, i), s.ports.links),
		}
		if err := p.open(); err != nil {
			return nil, err
		}
		n.proxies = append(n.proxies, p)
	}
	return n, nil
}

func (p *linkProxy) open() error {
	listener, err := net.Listen("tcp", p.listen.String())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = listener
	p.mu.Unlock()
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(client)
		}
	}()
	return nil
}

func (p *linkProxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target.String())
	if err != nil {
		_ = client.Close()
		return
	}
	c := &linkConn{proxy: p, client: client, server: server}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	go c.forward(client, server)
	go c.forward(server, client)
}

// forward passes on what one end sends, until an end closes.
func (c *linkConn) forward(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err == nil && c.drops(from) {
			continue
		}
		if err == nil {
			_, err = to.Write(buf[:n])
		}
		if err != nil {
			c.endOf(from, to)
			return
		}
	}
}

// drops reports whether bytes from an end go to a machine that has lost power since the connection was opened.
// TCP sends them again, with growing waits; the machine answers with a reset once it runs again.
func (c *linkConn) drops(from net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.survivor == nil {
		return false
	}
	if c.survivor == from && !c.dropped {
		c.dropped = true
		go c.resetWhenUp(time.Now())
	}
	return true
}

func (c *linkConn) resetWhenUp(sent time.Time) {
	for at, wait := sent, firstRetransmission; ; wait *= 2 {
		at = at.Add(wait)
		time.Sleep(time.Until(at))
		if c.proxy.network.powered() {
			break
		}
	}
	if tcp, ok := c.survivor.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection is closed, which the end notices too
	}
	_ = c.survivor.Close()
}

// endOf handles the end of the connection at one end. The loss of power of that end's machine is not noticed at
// the other one.
func (c *linkConn) endOf(from, to net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.survivor == to {
		return
	}
	if c.survivor == nil && c.proxy.network.losesPower() {
		c.survivor = to
		_ = from.Close()
		return
	}
	_, _ = c.client.Close(), c.server.Close()
	c.proxy.mu.Lock()
	delete(c.proxy.conns, c)
	c.proxy.mu.Unlock()
}

func (n *linkProxies) losesPower() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.losing
}

func (n *linkProxies) powered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.deadHost < 0
}

// powerOff takes the power from a control host: its process ends, and no other machine notices it at once.
func (n *linkProxies) powerOff(host int) {
	p := n.proxies[host]
	n.mu.Lock()
	n.losing, n.deadHost = true, host
	n.mu.Unlock()
	n.site.record.line("%s loses power", n.site.controls[host].name)
	p.mu.Lock()
	_ = p.listener.Close()
	for c := range p.conns {
		c.mu.Lock()
		if c.survivor == nil {
			c.survivor = c.client
		}
		c.mu.Unlock()
	}
	p.mu.Unlock()
	n.site.controls[host].end(syscall.SIGKILL)
	time.Sleep(50 * time.Millisecond)
	n.mu.Lock()
	n.losing = false
	n.mu.Unlock()
}

// powerOn starts the control host again, with its disk.
func (n *linkProxies) powerOn(host int) error {
	if err := n.proxies[host].open(); err != nil {
		return err
	}
	n.mu.Lock()
	n.deadHost = -1
	n.mu.Unlock()
	return n.site.controls[host].start()
}
