package baobabupstream

import (
	"sync"
	"time"
)

const (
	// liveWindow is how long the result of a live call outvotes hints.
	liveWindow = 5 * time.Second
	// probeFailures and liveFailures are how many failures in a row count, so that one lost probe or one failing
	// request does not take the upstream out.
	probeFailures = 3
	liveFailures  = 5
)

// Evidence weighs the results of live calls and of probes. Probes are hints: within liveWindow after a live call
// they count for nothing. It is safe for concurrent use.
type Evidence struct {
	mu           sync.Mutex
	liveAt       time.Time // Time of the last live result.
	liveFailed   int       // Consecutive failures of live calls.
	probesFailed int       // Consecutive failures of probes.
}

// NewEvidence returns evidence of a usable upstream.
func NewEvidence() *Evidence { return &Evidence{} }

// Live records the result of a live call.
func (e *Evidence) Live(now time.Time, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.liveAt = now
	if ok {
		e.liveFailed = 0
		return
	}
	e.liveFailed++
}

// Probe records the result of a health probe.
func (e *Evidence) Probe(ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok {
		e.probesFailed = 0
		return
	}
	e.probesFailed++
}

// Usable reports whether the upstream should get calls.
func (e *Evidence) Usable(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.liveAt.IsZero() && now.Sub(e.liveAt) < liveWindow {
		return e.liveFailed < liveFailures
	}
	return e.probesFailed < probeFailures
}
