package baobabpeer

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobabfault"
	wire "github.com/baobabdale/baobabdale/baobabwire"
)

// TestHalfOpenLink guards against a link that stays open after the peer has disappeared without closing it, and against
// a dial that hangs on the address of such a peer.
func TestHalfOpenLink(t *testing.T) {
	keepAlive := WithKeepAlive(50 * time.Millisecond)
	_, address := startServer(t, sharedKey(t, testKey), func(ctx context.Context, _ *Stream) { <-ctx.Done() }, keepAlive)
	proxy, err := baobabfault.Listen("127.0.0.1:0", address, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	c := newClient(t, sharedKey(t, testKey), keepAlive, WithDialTimeout(500*time.Millisecond))
	s, err := c.Open(t.Context(), proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	proxy.HalfOpen()
	if _, err := s.Receive(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("Receive() on a half-open link = %v, want unexpected EOF", err)
	}
	if _, err := c.Open(t.Context(), proxy.Address()); kindOf(err) != KindUnreachable {
		t.Errorf("Open() to a half-open address = %v, want kind unreachable", err)
	}
}

// TestKeepAlive guards against closing links that work but look silent: idle links, and slow links on which keepalive
// responses would queue behind the data in transit. A busy machine may delay keepalives, so one of several attempts
// must succeed.
func TestKeepAlive(t *testing.T) {
	const interval, attempts = 100 * time.Millisecond, 5
	tests := []struct {
		name    string
		rate    int // Bytes per second.
		streams int
		body    int // Bytes per stream.
		idle    time.Duration
	}{
		{"idle", 0, 1, 0, 5 * interval},
		{"slow", 1_000_000, 8, 128 << 10, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, address := startServer(t, sharedKey(t, testKey), func(_ context.Context, s *Stream) {
				if readAll(s) == nil {
					_ = s.SendEnd()
				}
			}, WithKeepAlive(interval))
			proxy, err := baobabfault.Listen("127.0.0.1:0", address, 1)
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			proxy.Throttle(tt.rate)
			c := newClient(t, sharedKey(t, testKey), WithKeepAlive(interval))
			exchange := func() error {
				s, err := c.Open(t.Context(), proxy.Address())
				if err != nil {
					return err
				}
				defer s.Close()
				time.Sleep(tt.idle)
				if err := errors.Join(s.SendChunk(make([]byte, tt.body)), s.SendEnd()); err != nil {
					return err
				}
				return readAll(s)
			}
			for range attempts {
				results := make(chan error, tt.streams)
				for range tt.streams {
					go func() { results <- exchange() }()
				}
				err = nil
				for range tt.streams {
					err = errors.Join(err, <-results)
				}
				if err == nil {
					return
				}
			}
			t.Errorf("the link was closed in each of %d attempts: %v", attempts, err)
		})
	}
}

// readAll reads a body to its end.
func readAll(s *Stream) error {
	for {
		if _, end, err := s.ReceiveChunk(); end || err != nil {
			return err
		}
	}
}

// TestByteCounters guards against traffic that is counted under the wrong class or failure domain.
func TestByteCounters(t *testing.T) {
	_, address := startServer(t, sharedKey(t, testKey), echo)
	c := newClient(t, sharedKey(t, testKey), WithSameDomain(func(a string) bool { return a != address }))
	call := &wire.Envelope{Body: &wire.Envelope_Call{Call: &wire.Call{Id: "1"}}}
	if _, err := c.Request(t.Context(), address, call); err != nil {
		t.Fatal(err)
	}
	other, same := c.counters.bytes["other"], c.counters.bytes["same"]
	if other.streamOut[classCall].Get() == 0 || other.streamIn[classCall].Get() == 0 || other.linkOut.Get() == 0 {
		t.Error("bytes of a call to another failure domain not counted")
	}
	if n := other.streamOut[classControl].Get() + same.streamOut[classCall].Get() + same.linkOut.Get(); n != 0 {
		t.Errorf("%d bytes counted under the wrong class or failure domain", n)
	}
}
