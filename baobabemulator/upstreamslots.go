package baobabemulator

import (
	"context"
	"sync"
	"time"
)

// upstreamSlots admits calls to a number of slots that can change, with a bounded queue in order of arrival.
type upstreamSlots struct {
	mu        sync.Mutex
	running   int
	waiting   []chan struct{} // Closed when the waiter gets a slot.
	loads     []upstreamLoad  // Changes, oldest first; at least those of the last upstreamLoadKept.
	behaviour func() UpstreamBehaviour
}

// upstreamLoad is the load since a time.
type upstreamLoad struct {
	at       time.Time
	inFlight int
	queued   int
}

// upstreamLoadKept is the longest lag of the load endpoint.
const upstreamLoadKept = 10 * time.Second

// acquire returns false when the queue is full or ctx ends first. Then no slot is held.
func (s *upstreamSlots) acquire(ctx context.Context) bool {
	b := s.behaviour()
	s.mu.Lock()
	if s.running < b.Slots && len(s.waiting) == 0 {
		s.running++
		s.note()
		s.mu.Unlock()
		return true
	}
	if len(s.waiting) >= b.QueueLimit {
		s.mu.Unlock()
		return false
	}
	ready := make(chan struct{})
	s.waiting = append(s.waiting, ready)
	s.note()
	s.mu.Unlock()
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		return s.abandon(ready)
	}
}

// abandon leaves the queue. It returns true when the slot was handed over in the meantime, so that it is held.
func (s *upstreamSlots) abandon(ready chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == ready {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			s.note()
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
	for s.running < b.Slots && len(s.waiting) > 0 {
		close(s.waiting[0])
		s.waiting = s.waiting[1:]
		s.running++
	}
	s.note()
}

// note records the load. The caller holds mu.
func (s *upstreamSlots) note() {
	now := time.Now()
	s.loads = append(s.loads, upstreamLoad{at: now, inFlight: s.running, queued: len(s.waiting)})
	half := len(s.loads) / 2
	if half > 0 && now.Sub(s.loads[half].at) > upstreamLoadKept {
		s.loads = append([]upstreamLoad(nil), s.loads[half:]...)
	}
}

// load returns the load at a time, at most upstreamLoadKept ago.
func (s *upstreamSlots) load(at time.Time) upstreamLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.loads) - 1; i >= 0; i-- {
		if !s.loads[i].at.After(at) {
			return s.loads[i]
		}
	}
	return upstreamLoad{at: at}
}

// idle reports whether no call runs or waits.
func (s *upstreamSlots) idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0 && len(s.waiting) == 0
}
