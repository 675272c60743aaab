package baobabupstream

import (
	"sync"
	"time"
)

const (
	// callPrecedence is how long the result of a live call takes precedence over probes.
	callPrecedence = 5 * time.Second
	// probeFailureLimit and callFailureLimit are the consecutive failures after which the upstream is unusable, so that
	// one lost probe or one failing request does not stop its calls.
	probeFailureLimit = 3
	callFailureLimit  = 5
)

// A HealthTracker decides from the results of live calls and probes whether the upstream is usable. Probes are only
// hints: they are ignored within callPrecedence after a live call. It is safe for concurrent use.
type HealthTracker struct {
	mu           sync.Mutex
	lastCallAt   time.Time // Time of the last result of a live call.
	failedCalls  int       // Consecutive failures of live calls.
	failedProbes int       // Consecutive failures of probes.
}

// NewHealthTracker returns a tracker whose upstream is usable.
func NewHealthTracker() *HealthTracker { return &HealthTracker{} }

// RecordCall records the result of a live call.
func (h *HealthTracker) RecordCall(now time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastCallAt = now
	if ok {
		h.failedCalls = 0
		return
	}
	h.failedCalls++
}

// RecordProbe records the result of a health probe.
func (h *HealthTracker) RecordProbe(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.failedProbes = 0
		return
	}
	h.failedProbes++
}

// Usable reports whether the upstream should get calls.
func (h *HealthTracker) Usable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lastCallAt.IsZero() && now.Sub(h.lastCallAt) < callPrecedence {
		return h.failedCalls < callFailureLimit
	}
	return h.failedProbes < probeFailureLimit
}
