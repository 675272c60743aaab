package baobabpeer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	wire "github.com/baobabdale/baobabdale/baobabwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var testKey = []byte("a key of at least 16 bytes")

func sharedKey(t testing.TB, key []byte) *SharedKey {
	t.Helper()
	k, err := NewSharedKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return k
}

// startServer starts a transport that serves h and returns it with its address.
func startServer(t testing.TB, c Credentials, h HandlerFunc, opts ...Option) (*Transport, string) {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewTransport(c, opts...)
	done := make(chan error, 1)
	go func() { done <- s.Serve(n, h) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-done; err != nil {
			t.Errorf("Serve() = %v after Close, want nil", err)
		}
	})
	return s, n.Addr().String()
}

func newClient(t testing.TB, c Credentials, opts ...Option) *Transport {
	t.Helper()
	p := NewTransport(c, opts...)
	t.Cleanup(func() { _ = p.Close() })
	return p
}

func message(text string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Error{Error: &wire.Error{Text: text}}}
}

func echo(_ context.Context, s *Stream) {
	m, err := s.Receive()
	if err == nil {
		_ = s.Send(m)
	}
}

// eventually waits up to 20 s for a condition.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not reached: %s", what)
}

func refusalCount(t *Transport, reason string) uint64 {
	return t.options.metricSet.GetOrCreateCounter(fmt.Sprintf(`baobab_peer_refused_total{reason=%q}`, reason)).Get()
}

func kindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind()
	}
	return ""
}

// TestConcurrentRequests guards against replies that are delivered to the wrong request.
func TestConcurrentRequests(t *testing.T) {
	_, address := startServer(t, sharedKey(t, testKey), echo)
	c := newClient(t, sharedKey(t, testKey))
	var group sync.WaitGroup
	for i := range 64 {
		group.Go(func() {
			for j := range 50 {
				want := fmt.Sprintf("caller %d request %d %s", i, j, bytes.Repeat([]byte{'x'}, i*j))
				got, err := c.Request(t.Context(), address, message(want))
				if err != nil || got.GetError().GetText() != want {
					t.Errorf("Request(%.30q) = %.30q, %v", want, got.GetError().GetText(), err)
				}
			}
		})
	}
	group.Wait()
	if dialled, _ := c.Links(); dialled != 1 {
		t.Errorf("links = %d after concurrent requests to one address, want 1", dialled)
	}
	if n := c.counters.dialled.Get(); n != 1 {
		t.Errorf("dials = %d, want 1 joined dial", n)
	}
}

// TestConcurrentBodies guards against bodies that are mixed between streams or incomplete.
func TestConcurrentBodies(t *testing.T) {
	_, address := startServer(t, sharedKey(t, testKey), func(_ context.Context, s *Stream) {
		for {
			b, end, err := s.ReceiveChunk()
			if err != nil {
				return
			}
			if end {
				_ = s.SendEnd()
				return
			}
			_ = s.SendChunk(b)
		}
	})
	c := newClient(t, sharedKey(t, testKey))
	var group sync.WaitGroup
	for i := range 16 {
		group.Go(func() {
			s, err := c.Open(t.Context(), address)
			if err != nil {
				t.Errorf("Open() = %v", err)
				return
			}
			defer s.Close()
			body := bytes.Repeat([]byte{byte(i)}, 700_000+i)
			go func() {
				_ = s.SendChunk(body)
				_ = s.SendEnd()
			}()
			var got []byte
			for {
				b, end, err := s.ReceiveChunk()
				if err != nil {
					t.Errorf("ReceiveChunk() = %v", err)
					return
				}
				if end {
					break
				}
				got = append(got, b...)
			}
			if !bytes.Equal(got, body) {
				t.Errorf("body of stream %d differs: %d bytes, want %d", i, len(got), len(body))
			}
		})
	}
	group.Wait()
}

// TestRefusedLinks guards against links whose peer does not hold the same key, and against replayed proofs.
func TestRefusedLinks(t *testing.T) {
	s, address := startServer(t, sharedKey(t, testKey), echo)

	c := newClient(t, sharedKey(t, []byte("another key of 16 bytes")))
	if _, err := c.Request(t.Context(), address, message("x")); kindOf(err) != KindRefused {
		t.Errorf("Request() with a wrong key = %v, want kind refused", err)
	}
	if refusalCount(c, refusedProof) != 1 {
		t.Errorf("refusals of the dialling side = %d, want 1", refusalCount(c, refusedProof))
	}

	// Replay the handshake bytes of a valid dialler.
	recorder := &recordingConn{}
	valid := newClient(t, sharedKey(t, testKey), WithDial(func(_ context.Context, a string) (net.Conn, error) {
		n, err := net.Dial("tcp", a)
		recorder.Conn = n
		return recorder, err
	}))
	if _, err := valid.Request(t.Context(), address, message("x")); err != nil {
		t.Fatal(err)
	}
	_ = valid.Close()
	n, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer n.Close()
	before := refusalCount(s, refusedProof)
	if _, err := n.Write(recorder.sent[:len(helloMagic)+nonceBytes+proofBytes]); err != nil {
		t.Fatal(err)
	}
	eventually(t, "replayed proof counted", func() bool { return refusalCount(s, refusedProof) == before+1 })
	if _, accepted := s.Links(); accepted > 1 {
		t.Errorf("accepted links = %d, want none by replay", accepted)
	}
}

type recordingConn struct {
	net.Conn
	sent []byte
}

func (c *recordingConn) Write(b []byte) (int, error) {
	c.sent = append(c.sent, b...)
	return c.Conn.Write(b)
}

// TestTruncatedBody guards against a body that is reported as complete although its end is missing.
func TestTruncatedBody(t *testing.T) {
	tests := []struct {
		name   string
		finish func(server *Transport, s *Stream)
		want   error
	}{
		{"complete", func(_ *Transport, s *Stream) { _ = s.SendEnd() }, nil},
		{"closed", func(*Transport, *Stream) {}, io.ErrUnexpectedEOF},
		{"reset", func(_ *Transport, s *Stream) { s.Reset() }, errReset},
		{"link lost", func(_ *Transport, s *Stream) { s.link.close() }, io.ErrUnexpectedEOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var server *Transport
			server, address := startServer(t, sharedKey(t, testKey), func(_ context.Context, s *Stream) {
				_, _ = s.Receive()
				_ = s.SendChunk([]byte("part"))
				tt.finish(server, s)
			})
			s, err := newClient(t, sharedKey(t, testKey)).Open(t.Context(), address)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			_ = s.Send(message("x"))
			var end bool
			for err == nil && !end {
				_, end, err = s.ReceiveChunk()
			}
			if !errors.Is(err, tt.want) || end != (tt.want == nil) {
				t.Errorf("ReceiveChunk() = end %v, %v, want error %v", end, err, tt.want)
			}
		})
	}
}

// TestCancellation guards against handlers that continue after the opener has cancelled, closed or lost the stream.
func TestCancellation(t *testing.T) {
	tests := []struct {
		name string
		stop func(cancel func(), s *Stream, c *Transport, address string)
	}{
		{"context", func(cancel func(), _ *Stream, _ *Transport, _ string) { cancel() }},
		{"close", func(_ func(), s *Stream, _ *Transport, _ string) { _ = s.Close() }},
		{"link", func(_ func(), _ *Stream, c *Transport, address string) { c.CloseAddress(address) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan struct{})
			_, address := startServer(t, sharedKey(t, testKey), func(ctx context.Context, s *Stream) {
				_, _ = s.Receive()
				close(started)
				<-ctx.Done()
				close(ended)
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			c := newClient(t, sharedKey(t, testKey), WithIdleTimeout(time.Hour)) // The end of the link would end the context.
			s, err := c.Open(ctx, address)
			if err != nil {
				t.Fatal(err)
			}
			_ = s.Send(message("x"))
			<-started
			tt.stop(cancel, s, c, address)
			select {
			case <-ended:
			case <-time.After(20 * time.Second):
				t.Fatal("the handler's context was not cancelled")
			}
			if _, err := s.Receive(); err == nil {
				t.Error("Receive() succeeded after the stream ended")
			}
		})
	}
}

// TestRequestDeadline guards against requests that continue after the deadline of their context.
func TestRequestDeadline(t *testing.T) {
	_, address := startServer(t, sharedKey(t, testKey), func(ctx context.Context, _ *Stream) { <-ctx.Done() })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := newClient(t, sharedKey(t, testKey)).Request(ctx, address, message("x"))
	if !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Request() = %v, want deadline exceeded", err)
	}
}

// TestMalformedClosesOnlyItsLink guards against malformed frames on one link that affect other links.
func TestMalformedClosesOnlyItsLink(t *testing.T) {
	tests := []struct {
		name   string
		bytes  []byte
		reason string
	}{
		{"type", []byte{9, 0, 0, 0, 0}, refusedMalformed},
		{"message", []byte{1, 0, 0, 0, 2, 0xff, 0xff}, refusedMalformed},
		{"size", []byte{1, 0xff, 0, 0, 0}, refusedOversize},
		{"chunk size", []byte{2, 0, 1, 0, 0}, refusedOversize},
	}
	s, address := startServer(t, sharedKey(t, testKey), func(ctx context.Context, s *Stream) {
		if m, err := s.Receive(); err == nil {
			_ = s.Send(m)
		}
		<-ctx.Done()
	})
	good := newClient(t, sharedKey(t, testKey))
	kept, err := good.Open(t.Context(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			before := refusalCount(s, tt.reason)
			bad := newClient(t, sharedKey(t, testKey))
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			b, err := bad.Open(ctx, address)
			if err != nil {
				t.Fatal(err)
			}
			defer b.Close()
			_ = b.writeFrames(tt.bytes)
			if _, err := b.Receive(); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("Receive() = %v after a malformed frame, want unexpected EOF", err)
			}
			eventually(t, "link closed", func() bool { n, _ := bad.Links(); return n == 0 })
			if n := refusalCount(s, tt.reason) - before; n != 1 {
				t.Errorf("refusals = %d, want 1", n)
			}
		})
	}
	_ = kept.Send(message("still here"))
	if m, err := kept.Receive(); err != nil || m.GetError().GetText() != "still here" {
		t.Errorf("Receive() on the other link = %v, %v", m, err)
	}
}

// TestRedial guards against requests that fail because the pooled link was lost.
func TestRedial(t *testing.T) {
	s, address := startServer(t, sharedKey(t, testKey), echo)
	c := newClient(t, sharedKey(t, testKey))
	for range 3 {
		if _, err := c.Request(t.Context(), address, message("x")); err != nil {
			t.Fatalf("Request() = %v", err)
		}
		s.mu.Lock()
		var links []*link
		for l := range s.accepted {
			links = append(links, l)
		}
		s.mu.Unlock()
		for _, l := range links {
			l.close()
		}
		eventually(t, "dead link dropped", func() bool { n, _ := c.Links(); return n == 0 })
	}
}

// TestDeadPooledLink guards against requests that fail when the pooled link closes between lookup and OpenStream.
func TestDeadPooledLink(t *testing.T) {
	_, address := startServer(t, sharedKey(t, testKey), echo)
	c := newClient(t, sharedKey(t, testKey))
	if _, err := c.Request(t.Context(), address, message("x")); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	dead := c.links[address]
	c.mu.Unlock()
	dead.close()
	c.mu.Lock()
	c.links[address] = dead
	c.mu.Unlock()
	if _, err := c.Request(t.Context(), address, message("x")); err != nil {
		t.Errorf("Request() over a dead pooled link = %v, want a redial", err)
	}
}

// TestLinkAndStreamLimits guards against unbounded numbers of links and streams, and against idle links that stay open.
func TestLinkAndStreamLimits(t *testing.T) {
	release := make(chan struct{})
	s, address := startServer(t, sharedKey(t, testKey), func(ctx context.Context, s *Stream) {
		m, err := s.Receive()
		if err != nil {
			return
		}
		_ = s.Send(m)
		select {
		case <-release:
		case <-ctx.Done():
		}
	}, WithMaxAcceptedLinks(2))
	defer close(release)
	toServer := WithDial(func(ctx context.Context, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	})
	c := newClient(t, sharedKey(t, testKey), toServer, WithMaxLinks(2), WithMaxStreams(1),
		WithIdleTimeout(100*time.Millisecond))
	first, err := c.Open(t.Context(), "a")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Open(t.Context(), "a"); kindOf(err) != KindLimit {
		t.Errorf("second Open() = %v, want kind limit", err)
	}
	second, err := c.Open(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Open(t.Context(), "c"); kindOf(err) != KindLimit {
		t.Errorf("Open() beyond the links in use = %v, want kind limit", err)
	}
	other := newClient(t, sharedKey(t, testKey))
	if _, err := other.Open(t.Context(), address); kindOf(err) != KindUnreachable {
		t.Errorf("Open() beyond the accepted links = %v, want kind unreachable", err)
	}
	if refusalCount(s, refusedAcceptedLinks) == 0 {
		t.Error("refused link not counted")
	}
	_ = second.Close()
	third, err := c.Open(t.Context(), "c")
	for end := time.Now().Add(20 * time.Second); err != nil && time.Now().Before(end); {
		third, err = c.Open(t.Context(), "c") // The server may not have detected yet that the evicted link is closed.
	}
	if err != nil {
		t.Fatalf("Open() that evicts an idle link = %v", err)
	}
	_ = first.Close()
	_ = third.Close()
	eventually(t, "idle links closed", func() bool { n, _ := c.Links(); return n == 0 })
}

// TestConnectWait guards against calls that spend their whole timeout on an unreachable VM, and against a dial that
// is abandoned when the first waiting Open times out.
func TestConnectWait(t *testing.T) {
	_, address := startServer(t, sharedKey(t, testKey), echo)
	answers := make(chan struct{})
	slow := func(ctx context.Context, address string) (net.Conn, error) {
		select {
		case <-answers:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
	c := newClient(t, sharedKey(t, testKey),
		WithDial(slow), WithConnectWait(20*time.Millisecond), WithDialTimeout(time.Minute))
	for range 2 {
		_, err := c.Open(t.Context(), address)
		if kindOf(err) != KindUnreachable {
			t.Fatalf("Open() = %v, want unreachable", err)
		}
	}
	close(answers)
	deadline := time.Now().Add(30 * time.Second)
	for {
		if _, err := c.Request(t.Context(), address, message("x")); err == nil {
			return
		} else if time.Now().After(deadline) {
			t.Fatalf("the link was never established: %v", err)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestSilentLink guards against calls that are sent on a link whose peer has disappeared without closing it.
func TestSilentLink(t *testing.T) {
	_, address := startServer(t, sharedKey(t, testKey), echo)
	c := newClient(t, sharedKey(t, testKey))
	if _, err := c.Request(t.Context(), address, message("x")); err != nil {
		t.Fatal(err)
	}
	c.mu.Lock()
	l := c.links[address]
	c.mu.Unlock()
	if l.silent() {
		t.Fatal("silent() = true directly after a reply")
	}
	l.lastReceived.Store(monotonicNanos() - int64(silentLinkIntervals*c.options.keepAlive) - 1)
	if _, err := c.Open(t.Context(), address); kindOf(err) != KindUnreachable {
		t.Errorf("Open() on a silent link = %v, want unreachable", err)
	}
}
