package baobabblackboard

import "testing"

// TestSignalWakesAll guards against a waiter that misses a notification between obtaining the channel and waiting.
func TestSignalWakesAll(t *testing.T) {
	s := NewSignal()
	first, second := s.Changed(), s.Changed()
	s.Notify()
	<-first
	<-second
	select {
	case <-s.Changed():
		t.Error("Changed() is closed before the next Notify")
	default:
	}
}
