package baobabfault

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEchoServer starts an echo server. It also sends the received data to a channel.
func startEchoServer(t *testing.T) (address string, received chan []byte) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	received = make(chan []byte, 1000)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 64<<10)
				for {
					n, err := c.Read(b)
					if err != nil {
						return
					}
					received <- bytes.Clone(b[:n])
					_, _ = c.Write(b[:n])
				}
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-ended
	})
	return l.Addr().String(), received
}

func startProxy(t *testing.T) (*Proxy, chan []byte) {
	t.Helper()
	address, received := startEchoServer(t)
	p, err := Listen("127.0.0.1:0", address, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p, received
}

func dial(t *testing.T, p *Proxy) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends data and reads the same number of bytes back.
func roundTrip(c net.Conn, data []byte) ([]byte, error) {
	if _, err := c.Write(data); err != nil {
		return nil, err
	}
	got := make([]byte, len(data))
	_, err := io.ReadFull(c, got)
	return got, err
}

// TestForward guards against bytes that the proxy loses, reorders or does not delay.
func TestForward(t *testing.T) {
	data := make([]byte, 200_000)
	for i := range data {
		data[i] = byte(i * i >> 3)
	}
	tests := []struct {
		name    string
		inject  func(p *Proxy)
		minimum time.Duration
	}{
		{"plain", func(*Proxy) {}, 0},
		{"delay", func(p *Proxy) { p.Delay(30*time.Millisecond, 10*time.Millisecond) }, 60 * time.Millisecond},
		{"throttle", func(p *Proxy) { p.Throttle(2_000_000) }, 90 * time.Millisecond},
		{"stall", func(p *Proxy) { p.Stall(1, 20*time.Millisecond) }, 40 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, _ := startProxy(t)
			tt.inject(p)
			startedAt := time.Now()
			got, err := roundTrip(dial(t, p), data)
			if err != nil || !bytes.Equal(got, data) {
				t.Errorf("round trip differs, error %v", err)
			}
			if elapsed := time.Since(startedAt); elapsed < tt.minimum {
				t.Errorf("round trip took %v, want at least %v", elapsed, tt.minimum)
			}
		})
	}
}

// TestDisconnect guards against connections that survive Disconnect, and against a proxy that does not work after Heal.
func TestDisconnect(t *testing.T) {
	p, _ := startProxy(t)
	open := dial(t, p)
	if _, err := roundTrip(open, []byte("x")); err != nil {
		t.Fatal(err)
	}
	p.Disconnect()
	if _, err := roundTrip(open, []byte("x")); err == nil {
		t.Error("an open connection works after Disconnect()")
	}
	if c, err := net.Dial("tcp", p.Address()); err == nil {
		if _, err := roundTrip(c, []byte("x")); err == nil {
			t.Error("a new connection works after Disconnect()")
		}
		_ = c.Close()
	}
	p.Heal()
	if _, err := roundTrip(dial(t, p), []byte("x")); err != nil {
		t.Errorf("round trip after Heal() = %v", err)
	}
}

// TestDroppedBytes guards against faults that forward or drop bytes in the wrong direction.
func TestDroppedBytes(t *testing.T) {
	tests := []struct {
		name      string
		inject    func(p *Proxy)
		delivered bool
	}{
		{"replies", (*Proxy).DropReplies, true},
		{"half-open", (*Proxy).HalfOpen, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, received := startProxy(t)
			tt.inject(p)
			c := dial(t, p)
			if _, err := c.Write([]byte("lost")); err != nil {
				t.Fatal(err)
			}
			if tt.delivered {
				if got := <-received; string(got) != "lost" {
					t.Errorf("target received %q", got)
				}
			}
			_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if n, err := c.Read(make([]byte, 1)); n != 0 || err == io.EOF {
				t.Errorf("Read() = %d, %v, want nothing on an open connection", n, err)
			}
			if !tt.delivered && len(received) != 0 {
				t.Errorf("target received %q", <-received)
			}
			p.Heal()
			if _, err := roundTrip(dial(t, p), []byte("x")); err != nil {
				t.Errorf("round trip after Heal() = %v", err)
			}
		})
	}
}
