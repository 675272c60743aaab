package baobabupstream

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// A testProcess accepts connections until it ends.
type testProcess struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
}

func startTestProcess(t *testing.T, reset bool) *testProcess {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &testProcess{listener: l}
	t.Cleanup(func() { p.end(0) })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
				continue
			}
			p.mu.Lock()
			p.conns = append(p.conns, conn)
			p.mu.Unlock()
		}
	}()
	return p
}

// closeConnections closes the n oldest connections.
func (p *testProcess) closeConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n = min(n, len(p.conns))
	for _, c := range p.conns[:n] {
		_ = c.Close()
	}
	p.conns = p.conns[n:]
}

// end closes all connections and, after a while, the listener.
func (p *testProcess) end(later time.Duration) {
	p.closeConnections(1 << 20)
	time.Sleep(later)
	_ = p.listener.Close()
	p.closeConnections(1 << 20)
}

// TestProcessEnded guards against taking a lost answer for a crash of the upstream, and a crash for a lost answer.
func TestProcessEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		conns  int // Open before.
		reset  bool
		act    func(p *testProcess)
		ended  bool
		unread bool // Nobody reads the connections.
	}{
		{"ends with its connections", 3, false, func(p *testProcess) { p.end(0) }, true, false},
		{"ends without connections", 0, false, func(p *testProcess) { p.end(0) }, true, false},
		{"connections first, then the listener", 3, false, func(p *testProcess) { p.end(20 * time.Millisecond) }, true, false},
		{"only connection first, then the listener", 1, false, func(p *testProcess) { p.end(30 * time.Millisecond) }, true, false},
		{"one connection of three", 3, false, func(p *testProcess) { p.closeConnections(1) }, false, false},
		{"its only connection", 1, false, func(p *testProcess) { p.closeConnections(1) }, false, false},
		{"all connections", 3, false, func(p *testProcess) { p.closeConnections(3) }, false, false},
		{"takes no more connections", 0, true, func(*testProcess) {}, false, false},
		{"ends while answers wait for their callers", 3, false, func(p *testProcess) { p.end(0) }, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := startTestProcess(t, c.reset)
			s := newConnectionSet(p.listener.Addr().String())
			for range c.conns {
				conn, err := s.dial(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				if c.unread {
					defer func() { _ = conn.Close() }()
					continue
				}
				go func() { // As http.Transport does, which reads idle connections, too.
					_, _ = io.Copy(io.Discard, conn)
					_ = conn.Close()
				}()
			}
			for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
				p.mu.Lock()
				accepted := len(p.conns)
				p.mu.Unlock()
				if accepted == c.conns {
					break
				}
				if time.Now().After(deadline) {
					t.Fatal("the connections are not accepted")
				}
			}
			if s.window = 50 * time.Millisecond; c.ended && !c.unread {
				s.window = 20 * time.Second
			}
			acted := make(chan struct{})
			go func() {
				defer close(acted)
				c.act(p)
			}()
			if !c.ended || c.unread {
				<-acted
			}
			ended := s.processEnded(context.Background())
			<-acted
			if ended != c.ended {
				t.Errorf("processEnded = %t, want %t", ended, c.ended)
			}
			if !c.ended {
				p.end(0)
			}
		})
	}
}
