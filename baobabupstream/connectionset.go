package baobabupstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// endWindow is how long a process is watched that may have ended. One that ends closes its connections within it.
	endWindow = 100 * time.Millisecond
	// redialPause is the pause before another connection is opened to a process that closes them at once.
	redialPause = 5 * time.Millisecond
)

// A connectionSet opens connections to one address and knows which of them are open. It is safe for concurrent use.
type connectionSet struct {
	address string
	dialer  net.Dialer
	window  time.Duration
	watch   sync.Mutex // Held while a connection is opened only to be watched.

	mu      sync.Mutex
	open    int
	changed chan struct{} // Closed and replaced when a connection closes.
}

func newConnectionSet(address string) *connectionSet {
	return &connectionSet{address: address, dialer: net.Dialer{Timeout: dialTimeout}, window: endWindow, changed: make(chan struct{})}
}

func (s *connectionSet) dial(ctx context.Context) (net.Conn, error) {
	conn, err := s.dialer.DialContext(ctx, "tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open++
	return newConnection(conn, s.removeOne), nil
}

func (s *connectionSet) removeOne() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	close(s.changed)
	s.changed = make(chan struct{})
}

// state returns the number of open connections, and a channel that is closed when one of them closes.
func (s *connectionSet) state() (open int, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open, s.changed
}

// processEnded reports whether the process at the address has ended: it refuses a connection, and none is open. At the end
// of the window the refusal suffices, because the end of a connection that nobody reads goes unnoticed. processEnded
// returns false if ctx is done first.
func (s *connectionSet) processEnded(ctx context.Context) bool {
	window, cancel := context.WithTimeout(ctx, s.window)
	defer cancel()
	for {
		open, changed := s.state()
		if open == 0 && s.refuses(window) {
			return true
		}
		if open == 0 {
			changed = nil
		}
		select {
		case <-window.Done():
			return ctx.Err() == nil && s.refusesNow(ctx)
		case <-changed:
		case <-after(open == 0, redialPause):
		}
	}
}

// refusesNow reports whether the address refuses a connection.
func (s *connectionSet) refusesNow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, endWindow)
	defer cancel()
	conn, err := s.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// after returns a channel that receives a value after d if the condition holds, and never otherwise.
func after(condition bool, d time.Duration) <-chan time.Time {
	if !condition {
		return nil
	}
	return time.After(d)
}

// refuses reports whether the address refuses a connection. If it takes one, refuses returns false once that closes or
// ctx is done.
func (s *connectionSet) refuses(ctx context.Context) bool {
	s.watch.Lock()
	defer s.watch.Unlock()
	if open, _ := s.state(); open > 0 || ctx.Err() != nil {
		return false
	}
	conn, err := s.dial(ctx)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	_, _ = conn.Read(make([]byte, 1))
	return false
}
