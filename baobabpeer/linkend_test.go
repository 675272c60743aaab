package baobabpeer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// A slowConn is a connection whose Close blocks until it is released, like that of a connection that still flushes to a
// peer which has stopped reading.
type slowConn struct {
	net.Conn
	release <-chan struct{}
}

func newSlowConn(c net.Conn, release <-chan struct{}) *slowConn {
	return &slowConn{Conn: c, release: release}
}

// Close implements net.Conn.
func (c *slowConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// A slowListener accepts slowConns.
type slowListener struct {
	net.Listener
	release  <-chan struct{}
	accepted chan *slowConn
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := newSlowConn(c, l.release)
	l.accepted <- s
	return s, nil
}

// TestLinkEnd guards against readers and writers that go round without blocking while a link ends: yamux wakes them when
// the session shuts down but closes their streams only after the connection has been closed. The connections here stay
// in Close until all readers and writers have returned, so a reader that depends on Close never returns.
func TestLinkEnd(t *testing.T) {
	const streams, large = 4, 1 << 20
	tests := []struct {
		name string
		end  func(l *link, dialled, accepted *slowConn) error
	}{
		{"reset", func(_ *link, _, accepted *slowConn) error {
			return errors.Join(accepted.Conn.(*net.TCPConn).SetLinger(0), accepted.Conn.Close())
		}},
		{"silence", func(_ *link, dialled, _ *slowConn) error { return dialled.SetReadDeadline(expiredDeadline) }},
		{"protocol fault", func(_ *link, _, accepted *slowConn) error {
			_, err := accepted.Write([]byte("no frame of the protocol"))
			return err
		}},
		{"closed by this side", func(l *link, _, _ *slowConn) error {
			go l.close()
			return nil
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			release := make(chan struct{})
			n, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := &slowListener{Listener: n, release: release, accepted: make(chan *slowConn, 1)}
			server := NewTransport(Unauthenticated{})
			handlers := make(chan error, 2*streams)
			served := make(chan error, 1)
			go func() {
				served <- server.Serve(listener, HandlerFunc(func(ctx context.Context, _ *Stream) {
					<-ctx.Done()
					handlers <- ctx.Err()
				}))
			}()
			dialled := make(chan *slowConn, 1)
			client := NewTransport(Unauthenticated{}, WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				var d net.Dialer
				c, err := d.DialContext(ctx, "tcp", address)
				if err != nil {
					return nil, err
				}
				s := newSlowConn(c, release)
				dialled <- s
				return s, nil
			}))
			released := sync.OnceFunc(func() { close(release) })
			defer func() {
				released()
				_ = client.Close()
				_ = server.Close()
				if err := <-served; err != nil {
					t.Errorf("Serve() = %v after Close, want nil", err)
				}
			}()
			results := make(chan error, 2*streams)
			for range streams {
				reader, err := client.Open(t.Context(), n.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				if err := reader.Send(message("wait")); err != nil {
					t.Fatal(err)
				}
				go func() {
					_, err := reader.Receive()
					results <- err
				}()
				writer, err := client.Open(t.Context(), n.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				if err := writer.Send(message("wait")); err != nil {
					t.Fatal(err)
				}
				go func() { results <- writer.SendChunk(make([]byte, large)) }()
			}
			client.mu.Lock()
			l := client.links[n.Addr().String()]
			client.mu.Unlock()
			eventually(t, "the writers fill their windows", func() bool {
				return server.counters.bytes["same"].linkIn.Get() > streams*streamWindowBytes
			})
			if err := tt.end(l, <-dialled, <-listener.accepted); err != nil {
				t.Fatal(err)
			}
			for range 2 * streams {
				select {
				case err := <-results:
					if !errors.Is(err, io.ErrUnexpectedEOF) {
						t.Errorf("a stream of an ended link returned %v, want unexpected EOF", err)
					}
				case <-time.After(20 * time.Second):
					t.Fatal("a reader or writer is still on a link that has ended while its connection is being closed")
				}
			}
			released()
			for range 2 * streams {
				select {
				case err := <-handlers:
					if err == nil {
						t.Error("a handler's context has no error")
					}
				case <-time.After(20 * time.Second):
					t.Fatal("a handler still runs after its link has ended")
				}
			}
		})
	}
}
