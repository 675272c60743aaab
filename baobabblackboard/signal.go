package baobabblackboard

import "sync"

// A Signal notifies any number of waiting controllers of a change. It is safe for concurrent use.
type Signal struct {
	mu      sync.Mutex
	changed chan struct{} // Guarded by mu; closed and replaced by Notify.
}

// NewSignal returns a signal.
func NewSignal() *Signal {
	return &Signal{changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next Notify. To miss no change, a controller must obtain the channel
// before it reads the state.
func (s *Signal) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Notify wakes all waiting controllers.
func (s *Signal) Notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
