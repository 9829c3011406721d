package wire_test

import (
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"testing"

	"cassiawood/internal/wire"
	"cassiawood/internal/wire/wirepb"
)

// TestOddFrames guards against a frame that claims a huge length, or is no message at all, and takes the
// receiving process, its session or its memory down. It ends its own stream only.
func TestOddFrames(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ends, received := make(chan error, 16), make(chan *wirepb.Envelope, 16)
	go func() {
		_ = wire.AcceptSessions(ctx, slog.New(slog.DiscardHandler), listener, nil, wire.ShortTimeouts, func(session *wire.Session) {
			for {
				stream, err := session.Accept()
				if err != nil {
					return
				}
				go func() {
					for {
						e, err := stream.Receive()
						if err != nil {
							_ = stream.Close()
							ends <- err
							return
						}
						received <- e
					}
				}()
			}
		})
	}()
	session, err := wire.Dial(ctx, listener.Addr().String(), nil, wire.ShortTimeouts)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = session.Close() }()
	fine := &wirepb.Envelope{Body: &wirepb.Envelope_JoinRequest{JoinRequest: &wirepb.JoinRequest{Id: 7}}}
	for name, frame := range map[string][]byte{
		"length of 2 GiB":           binary.AppendUvarint(nil, 2<<30),
		"length beyond any integer": {0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f},
		"no message":                {3, 0xff, 0xff, 0xff},
		"nothing but a length of 0": {0},
		"field of another type":     {2, 0x08, 0x01},
	} {
		stream, err := session.Open()
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if err := stream.SendEncoded(frame); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if err := <-ends; err == nil {
			t.Fatalf("%s: accepted", name)
		}
		_ = stream.Close()
		next, err := session.Open()
		if err != nil {
			t.Fatalf("after %s: %v", name, err)
		}
		if err := next.Send(fine); err != nil {
			t.Fatalf("after %s: %v", name, err)
		}
		if e := <-received; e.GetJoinRequest().GetId() != 7 {
			t.Fatalf("after %s: got %v", name, e)
		}
	}
}
