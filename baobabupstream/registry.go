package baobabupstream

import (
	"sync"
	"time"
)

const (
	// defaultHeartbeatLimit is two missed heartbeats of the usual second and some delay. A limit of 3 s let an upstream
	// that had fallen silent get new work for up to 3.25 s, and 3 s is the most that is promised.
	defaultHeartbeatLimit = 2200 * time.Millisecond
	// startJitter is how much the start time may move between heartbeats of the same process where it is announced as an
	// age, so that it varies with the delay of the request.
	startJitter = 2 * time.Second
)

// A Registry holds the announcement of the local upstream. It is safe for concurrent use.
type Registry struct {
	heartbeatLimit time.Duration
	changed        chan struct{}

	mu        sync.Mutex
	current   Announcement
	state     State // Empty: nothing is announced.
	heardAt   time.Time
	leftID    string // The upstream that left last; its late heartbeats are refused.
	leftTime  time.Time
	leftStart time.Time // When it had started; zero: not known.
	refusedAt time.Time // First refusal of a process as replaced since the current one was heard.
}

// RegistryOption sets an optional property of a Registry.
type RegistryOption func(*Registry)

// WithHeartbeatLimit sets after what time without a heartbeat the upstream counts as failed.
func WithHeartbeatLimit(d time.Duration) RegistryOption {
	return func(r *Registry) { r.heartbeatLimit = d }
}

// NewRegistry returns a registry without an upstream.
func NewRegistry(options ...RegistryOption) *Registry {
	r := &Registry{heartbeatLimit: defaultHeartbeatLimit, changed: make(chan struct{}, 1)}
	for _, o := range options {
		o(r)
	}
	return r
}

// Changed receives a value after the announcement or the state has changed. Several changes may give one value.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// Announce takes an announcement or heartbeat. Errors have KindConflict, KindGone or KindLate.
func (r *Registry) Announce(now time.Time, a Announcement) error {
	const operation = "announce upstream"
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.upstreamID == r.leftID && !r.startedAfterLeaving(a) {
		return newError(operation, KindGone, "upstream %s has left", a.upstreamID)
	}
	if r.replaced(a) && !r.outlives(now) {
		return newError(operation, KindGone, "upstream %s was replaced by a process that started later", a.upstreamID)
	}
	if r.sameProcess(a) && a.sequence > 0 && a.sequence <= r.current.sequence {
		return newError(operation, KindLate, "announcement %d came after announcement %d", a.sequence, r.current.sequence)
	}
	if r.heldByOther(now, a) {
		return newError(operation, KindConflict, "upstream %s is announced and alive", r.current.upstreamID)
	}
	if r.sameProcess(a) {
		a.startedAt = r.current.startedAt
	}
	same := r.state == a.state && a.sameAs(r.current) && a.startedAt.Equal(r.current.startedAt)
	r.current, r.state, r.heardAt = a, a.state, now
	if !same {
		r.notify()
	}
	return nil
}

// startedAfterLeaving reports whether an announcement under the id that left last comes from a later process. Starts that
// the upstream tells are compared with each other, because the node's clock may differ from that of the upstream.
func (r *Registry) startedAfterLeaving(a Announcement) bool {
	if !a.aged && !r.leftStart.IsZero() {
		return a.startedAt.After(r.leftStart)
	}
	return a.startedAt.After(r.leftTime)
}

// replaced reports whether a later process than that of a is announced under its id or at its address.
func (r *Registry) replaced(a Announcement) bool {
	if r.state == "" || a.startedAt.IsZero() {
		return false
	}
	same := a.upstreamID == r.current.upstreamID || a.address == r.current.address
	return same && r.current.startedAt.Sub(a.startedAt) > jitterOf(a)
}

// jitterOf returns how much two starts of one process may differ.
func jitterOf(a Announcement) time.Duration {
	if a.aged {
		return startJitter
	}
	return 0
}

// outlives reports whether a process that seems replaced is the one that lives. A start that is worked out from an age is
// too late by the delay of the announcement, for example where the node was frozen, and one that the upstream tells goes
// back with its clock. A process that goes on announcing itself, while the other is silent, lives.
func (r *Registry) outlives(now time.Time) bool {
	if !r.refusedAt.After(r.heardAt) {
		r.refusedAt = now
		return false
	}
	return now.Sub(r.heardAt) >= r.heartbeatLimit/2
}

// heldByOther reports whether a live upstream other than a is announced. An upstream at the same address has
// replaced the former one, because two processes cannot listen there.
func (r *Registry) heldByOther(now time.Time, a Announcement) bool {
	if r.state == "" || r.current.upstreamID == a.upstreamID || r.current.address == a.address {
		return false
	}
	return r.state.TakesCalls() && now.Sub(r.heardAt) < r.heartbeatLimit
}

func (r *Registry) sameProcess(a Announcement) bool {
	return r.state != "" && a.upstreamID == r.current.upstreamID &&
		a.startedAt.Sub(r.current.startedAt).Abs() <= jitterOf(a)
}

// Leave removes the upstream. It reports whether the upstream was announced.
func (r *Registry) Leave(now time.Time, upstreamID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" || r.current.upstreamID != upstreamID {
		if r.state == "" {
			// This node has started after the upstream and has not heard of it yet.
			r.leftID, r.leftTime, r.leftStart = upstreamID, now, time.Time{}
		}
		return false
	}
	r.leftID, r.leftTime, r.leftStart = upstreamID, now, r.current.startedAt
	r.current, r.state = Announcement{}, ""
	r.notify()
	return true
}

// Fail marks the upstream as failed until its next heartbeat, for example when its address refuses connections.
func (r *Registry) Fail(upstreamID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.upstreamID == upstreamID {
		r.fail()
	}
}

// Expire marks the upstream as failed when its heartbeats are missing. Call it several times per second.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.heardAt) >= r.heartbeatLimit {
		r.fail()
	}
}

func (r *Registry) fail() {
	if r.state == "" || r.state == StateFailed {
		return
	}
	r.state = StateFailed
	r.notify()
}

// Current returns the announcement and the state of the upstream; false when none is announced.
func (r *Registry) Current() (Announcement, State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current, r.state, r.state != ""
}

func (r *Registry) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
