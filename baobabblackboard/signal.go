package baobabblackboard

import "sync"

// A Signal tells any number of waiting controllers that something changed. It is safe for concurrent use.
type Signal struct {
	mu sync.Mutex
	ch chan struct{} // Guarded by mu; closed and replaced by Notify.
}

// NewSignal returns a signal.
func NewSignal() *Signal {
	return &Signal{ch: make(chan struct{})}
}

// Changed returns a channel that is closed at the next Notify. A controller takes the channel before it reads the
// state, so that it misses no change.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ch
}

// Notify wakes all that wait.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.ch)
	s.ch = make(chan struct{})
}
