package baobabnode

import (
	"context"
	"sync"
	"time"
)

const (
	// reachTimeout bounds one check of a member.
	reachTimeout = 200 * time.Millisecond
	// reachInterval is the time between two checks of a member while somebody asks.
	reachInterval = 250 * time.Millisecond
	// reachMemory is how long a result counts while the next check is in progress.
	reachMemory = time.Second
)

// A reachability tells whether members answer this node. It checks them only while somebody asks, and not more often than each
// reachInterval. It is safe for concurrent use.
type reachability struct {
	probe func(ctx context.Context, id string) bool

	mu      sync.Mutex
	members map[string]*reachState // Guarded by mu.
}

// A reachState is the last result for a member.
type reachState struct {
	reached   bool
	at        time.Time // When the last check began; zero: never.
	endedAt   time.Time // When the last check ended; zero: never.
	checking  bool
	firstDone chan struct{} // Closed when the first check has ended.
}

func newReachability(probe func(ctx context.Context, id string) bool) *reachability {
	return &reachability{probe: probe, members: map[string]*reachState{}}
}

// reaches reports whether a member has answered. It waits for the first check only, for reachTimeout at most.
func (r *reachability) reaches(now time.Time, id string) bool {
	r.mu.Lock()
	s := r.members[id]
	if s == nil || now.Sub(s.endedAt) > reachMemory && !s.checking {
		s = &reachState{firstDone: make(chan struct{})}
		r.members[id] = s
	}
	if !s.checking && now.Sub(s.at) >= reachInterval {
		s.checking, s.at = true, now
		go r.check(id, s)
	}
	r.mu.Unlock()
	<-s.firstDone
	r.mu.Lock()
	defer r.mu.Unlock()
	return s.reached
}

// check checks a member once.
func (r *reachability) check(id string, s *reachState) {
	ctx, cancel := context.WithTimeout(context.Background(), reachTimeout)
	defer cancel()
	reached := r.probe(ctx, id)
	r.mu.Lock()
	defer r.mu.Unlock()
	first := s.endedAt.IsZero()
	s.reached, s.checking, s.endedAt = reached, false, s.at.Add(reachTimeout)
	if first {
		close(s.firstDone)
	}
}
