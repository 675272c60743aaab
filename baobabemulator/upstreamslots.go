package baobabemulator

import (
	"context"
	"sync"
	"time"
)

// upstreamSlots assigns calls to slots, whose number can change, through a bounded FIFO queue.
type upstreamSlots struct {
	mu          sync.Mutex
	running     int
	queue       []chan struct{}      // A channel is closed when its call gets a slot.
	loadSamples []upstreamLoadSample // Oldest first; covers at least upstreamLoadRetention.
	behaviour   func() UpstreamBehaviour
}

// An upstreamLoadSample is the load from a time until the next sample.
type upstreamLoadSample struct {
	validFrom time.Time
	inFlight  int
	queued    int
}

// upstreamLoadRetention limits the lag of the load endpoint.
const upstreamLoadRetention = 10 * time.Second

// acquire waits for a slot. It returns false, without a slot, if the queue is full or ctx ends first.
func (s *upstreamSlots) acquire(ctx context.Context) bool {
	b := s.behaviour()
	s.mu.Lock()
	if s.running < b.Slots && len(s.queue) == 0 {
		s.running++
		s.recordLoad()
		s.mu.Unlock()
		return true
	}
	if len(s.queue) >= b.QueueLimit {
		s.mu.Unlock()
		return false
	}
	ready := make(chan struct{})
	s.queue = append(s.queue, ready)
	s.recordLoad()
	s.mu.Unlock()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return s.leaveQueue(ready)
	}
}

// leaveQueue removes a call from the queue. It returns true if the call has received a slot in the meantime, which the
// call then holds.
func (s *upstreamSlots) leaveQueue(ready chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.queue {
		if w == ready {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			s.recordLoad()
			return false
		}
	}
	return true
}

func (s *upstreamSlots) release() {
	b := s.behaviour()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	for s.running < b.Slots && len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
		s.running++
	}
	s.recordLoad()
}

// recordLoad appends a load sample. The caller must hold mu.
func (s *upstreamSlots) recordLoad() {
	now := time.Now()
	s.loadSamples = append(s.loadSamples, upstreamLoadSample{validFrom: now, inFlight: s.running, queued: len(s.queue)})
	half := len(s.loadSamples) / 2
	if half > 0 && now.Sub(s.loadSamples[half].validFrom) > upstreamLoadRetention {
		s.loadSamples = append([]upstreamLoadSample(nil), s.loadSamples[half:]...)
	}
}

// loadAt returns the load at a time, which must be at most upstreamLoadRetention ago.
func (s *upstreamSlots) loadAt(at time.Time) upstreamLoadSample {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.loadSamples) - 1; i >= 0; i-- {
		if !s.loadSamples[i].validFrom.After(at) {
			return s.loadSamples[i]
		}
	}
	return upstreamLoadSample{validFrom: at}
}

// idle reports whether no call is running or queued.
func (s *upstreamSlots) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0 && len(s.queue) == 0
}
