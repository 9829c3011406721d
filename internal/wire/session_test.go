package wire_test

import (
	"bytes"
	"compress/flate"
	"context"
	"crypto/tls"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cassiawood/internal/operator"
	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// writeCertificates writes the certificate of a new authority, and the certificate and
// key of a host, to folder.
func writeCertificates(t *testing.T, folder string) {
	t.Helper()
	authority, err := operator.NewAuthority(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	pair, err := authority.Issue("127.0.0.1", time.Now(), 1)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{
		"host.pem": pair.Cert, "host.key": pair.Key, "ca.pem": authority.KeyPair.Cert,
	} {
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func tlsConfig(t *testing.T, folder string) *tls.Config {
	t.Helper()
	c, err := wire.NewCredentials(filepath.Join(folder, "host.pem"), filepath.Join(folder, "host.key"), filepath.Join(folder, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	return c.MutualTLSConfig()
}

// exchange sends one envelope from a client to a server and returns the index that the
// server received, or 0. The server keeps the session open until the client has the
// result, because Send can fail for a delivered envelope if the session ends right away.
func exchange(t *testing.T, client, server *tls.Config) uint64 {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	received := make(chan uint64, 1)
	go func() {
		_ = wire.AcceptSessions(ctx, slog.New(slog.DiscardHandler), listener, server, wire.DefaultTimeouts, func(s *wire.Session) {
			index := uint64(0)
			if stream, err := s.Accept(); err == nil {
				if e, err := stream.Receive(); err == nil {
					index = e.GetApplied().GetIndex()
				}
			}
			received <- index
			<-ctx.Done()
		})
	}()
	link := wire.NewLink(listener.Addr().String(), client, wire.DefaultTimeouts)
	defer link.Close()
	envelope := &wirepb.Envelope{Body: &wirepb.Envelope_Applied{Applied: &wirepb.Applied{Index: 7}}}
	if link.Send(ctx, envelope) != nil {
		return 0
	}
	return <-received
}

// TestMutualTLS guards against a session with a process that has no certificate of the
// site: it could follow the log or send records.
func TestMutualTLS(t *testing.T) {
	siteFolder, otherFolder := t.TempDir(), t.TempDir()
	writeCertificates(t, siteFolder)
	writeCertificates(t, otherFolder)
	withoutCertificate := &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13} // a client without a certificate
	for _, tc := range []struct {
		name           string
		client, server *tls.Config
		want           uint64
	}{
		{"client and server of the same authority", tlsConfig(t, siteFolder), tlsConfig(t, siteFolder), 7},
		{"client of another authority", tlsConfig(t, otherFolder), tlsConfig(t, siteFolder), 0},
		{"client without a certificate", withoutCertificate, tlsConfig(t, siteFolder), 0},
		{"loopback without TLS", nil, nil, 7},
	} {
		if got := exchange(t, tc.client, tc.server); got != tc.want {
			t.Errorf("%s: the server received index %d, want %d", tc.name, got, tc.want)
		}
	}
}

// TestCredentialsReload guards against a certificate renewal that needs a restart, and
// against an invalid file that makes the last valid certificate unusable.
func TestCredentialsReload(t *testing.T) {
	folder := t.TempDir()
	writeCertificates(t, folder)
	server := tlsConfig(t, folder)
	writeCertificates(t, folder)
	later := time.Now().Add(time.Hour)
	for _, name := range []string{"host.pem", "host.key", "ca.pem"} {
		if err := os.Chtimes(filepath.Join(folder, name), later, later); err != nil {
			t.Fatal(err)
		}
	}
	if got := exchange(t, tlsConfig(t, folder), server); got != 7 {
		t.Error("the server rejected a client of the renewed authority")
	}
	if err := os.WriteFile(filepath.Join(folder, "host.key"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := server.GetCertificate(nil); err != nil {
		t.Errorf("the last valid certificate is no longer in use: %v", err)
	}
}

// exhaustedListener is a listener whose first Accept fails for lack of file descriptors.
type exhaustedListener struct {
	net.Listener
	failed bool
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestAcceptContinuesAfterTemporaryError guards against a process that ends because it was short of file
// descriptors for a moment.
func TestAcceptContinuesAfterTemporaryError(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	served, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		ended <- wire.AcceptSessions(ctx, slog.New(slog.DiscardHandler), &exhaustedListener{Listener: listener}, nil, wire.DefaultTimeouts,
			func(*wire.Session) { close(served) })
	}()
	session, err := wire.Dial(ctx, listener.Addr().String(), nil, wire.DefaultTimeouts)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = session.Close() }()
	select {
	case <-served:
	case err := <-ended:
		t.Fatalf("stopped accepting: %v", err)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// heldConn is a connection whose Read returns only after release is closed, once the connection is closed.
type heldConn struct {
	net.Conn
	closed    chan struct{}
	closeOnce sync.Once
	release   chan struct{}
}

func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		<-c.release
	}
	return n, err
}

func (c *heldConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// streamReaderStates returns the states of the goroutines that read a stream.
func streamReaderStates() []string {
	buf := make([]byte, 1<<20)
	var states []string
	for _, g := range strings.Split(string(buf[:runtime.Stack(buf, true)]), "\n\n") {
		if strings.Contains(g, "yamux.(*Stream).Read") {
			states = append(states, strings.Trim(g[strings.Index(g, "["):strings.Index(g, "]")], "["))
		}
	}
	return states
}

// TestReadersWaitWhileSessionEnds guards against goroutines that read a stream and run in a loop from the end
// of a session until its receive loop has returned. On a host with one core they kept that loop from running.
func TestReadersWaitWhileSessionEnds(t *testing.T) {
	timeouts := wire.Timeouts{KeepAlive: 20 * time.Millisecond, Write: 20 * time.Millisecond, Dial: time.Second}
	for name, end := range map[string]func(*wire.Session, net.Conn){
		"closed here":       func(s *wire.Session, _ net.Conn) { go func() { _ = s.Close() }() },
		"no answer to ping": func(*wire.Session, net.Conn) {},
		"closed by peer":    func(_ *wire.Session, peer net.Conn) { _ = peer.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			local, peer := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, peer) }() // takes probes and does not answer
			conn := &heldConn{Conn: local, closed: make(chan struct{}), release: make(chan struct{})}
			session, err := wire.Accept(conn, nil, timeouts)
			if err != nil {
				t.Fatal(err)
			}
			// The peer opens a stream.
			if _, err := peer.Write([]byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0}); err != nil {
				t.Fatal(err)
			}
			stream, err := session.Accept()
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_, _ = stream.Receive()
			}()
			for len(streamReaderStates()) == 0 {
				runtime.Gosched()
			}
			end(session, peer)
			if name != "closed by peer" {
				<-conn.closed
			}
			for range 20 {
				time.Sleep(time.Millisecond)
				for _, state := range streamReaderStates() {
					if !strings.HasPrefix(state, "select") {
						t.Fatalf("a reader is in state %q", state)
					}
				}
			}
			close(conn.release)
			<-ended
			if err := session.Close(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestDecompress guards against a peer that ends the process or fills its memory with a compressed envelope.
func TestDecompress(t *testing.T) {
	compress := func(data []byte) *wirepb.Envelope {
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := w.Write(data); err != nil {
			t.Fatal(err)
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		return &wirepb.Envelope{Body: &wirepb.Envelope_Compressed{Compressed: b.Bytes()}}
	}
	again, err := proto.Marshal(compress(nil))
	if err != nil {
		t.Fatal(err)
	}
	for name, e := range map[string]*wirepb.Envelope{
		"not compressed":         {Body: &wirepb.Envelope_Compressed{Compressed: []byte("text")}},
		"empty":                  {Body: &wirepb.Envelope_Compressed{}},
		"no envelope":            compress([]byte("\xff\xff")),
		"compressed twice":       compress(again),
		"larger than any update": compress(make([]byte, 65<<20)),
	} {
		if _, err := wire.Decompress(e); err == nil {
			t.Errorf("%s: decompressed", name)
		}
	}
}
