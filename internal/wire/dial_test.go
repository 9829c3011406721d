package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// closeRecorder is a connection that reports when it is closed.
type closeRecorder struct {
	net.Conn
	closed chan struct{}
}

func (c *closeRecorder) Close() error {
	close(c.closed)
	return nil
}

// TestFirstConnectionTriesAgain guards against a host that is reached a second late, because the first SYN was
// lost or came before the host was up.
func TestFirstConnectionTriesAgain(t *testing.T) {
	attempts := make(chan int, 100)
	attempts <- 0
	want := &closeRecorder{closed: make(chan struct{})}
	got, err := firstConnection(t.Context(), time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		n := <-attempts
		attempts <- n + 1
		if n < 2 {
			<-ctx.Done() // the SYN is lost
			return nil, ctx.Err()
		}
		return want, nil
	})
	if err != nil || got != net.Conn(want) {
		t.Fatalf("got %v, %v", got, err)
	}
}

// TestFirstConnectionClosesTheOthers guards against a leak of connections.
func TestFirstConnectionClosesTheOthers(t *testing.T) {
	first, second := &closeRecorder{closed: make(chan struct{})}, &closeRecorder{closed: make(chan struct{})}
	begun := make(chan struct{}, 1)
	got, err := firstConnection(t.Context(), time.Millisecond, func(ctx context.Context) (net.Conn, error) {
		select {
		case begun <- struct{}{}: // the first attempt
			<-ctx.Done()
			return first, nil // succeeds when another one has
		default:
			return second, nil
		}
	})
	if err != nil || got != net.Conn(second) {
		t.Fatalf("got %v, %v", got, err)
	}
	<-first.closed
}

// TestFirstConnectionReturnsRefusal guards against a wait for a host that refuses connections.
func TestFirstConnectionReturnsRefusal(t *testing.T) {
	refused := errors.New("connection refused")
	if _, err := firstConnection(t.Context(), time.Hour, func(context.Context) (net.Conn, error) { return nil, refused }); !errors.Is(err, refused) {
		t.Fatalf("got %v", err)
	}
}
