package baobabupstream

import (
	"sync"
	"time"
)

const (
	// defaultHeartbeatLimit allows for two missed heartbeats at the usual interval of 1 s and some delay. With 3 s, an
	// upstream without heartbeats got new calls for up to 3.25 s, but 3 s is the guaranteed maximum.
	defaultHeartbeatLimit = 2200 * time.Millisecond
	// startJitter is the tolerance for the start time between heartbeats of one process that announces its age, because
	// the computed start time varies with the delay of the request.
	startJitter = 2 * time.Second
)

// A Registry holds the announcement of the local upstream. It is safe for concurrent use.
type Registry struct {
	heartbeatLimit time.Duration
	changed        chan struct{}

	mu                  sync.Mutex
	current             Announcement
	state               State // Empty: no upstream is announced.
	lastHeartbeatAt     time.Time
	departure           Departure // Last upstream that drained or left; its delayed heartbeats are refused.
	earlierDeparture    Departure // Of another process, before departure.
	restoring           bool      // The departure that an earlier process of this node recorded is not known yet.
	verification        *verification
	excluded            excludedProcess
	supersededRefusedAt time.Time // First refusal of a superseded process since lastHeartbeatAt.
	notice              Notice    // Last notice of the current process; its leaving is final.
	inherited           inheritedNotice
}

// An excludedProcess is a process with the id of the upstream that left last, by its start an earlier one.
type excludedProcess struct {
	first   Announcement
	firstAt time.Time
}

// An inheritedNotice is the last notice of an upstream that an earlier process of this node received.
type inheritedNotice struct {
	upstreamID string    // Empty: none.
	startedAt  time.Time // Of the upstream, within startJitter.
	notice     Notice
}

// concerns reports whether a comes from the process that gave the notice.
func (i inheritedNotice) concerns(a Announcement) bool {
	return i.upstreamID != "" && a.upstreamID == i.upstreamID &&
		(a.startedAt.IsZero() || a.startedAt.Sub(i.startedAt) <= startJitter)
}

// RegistryOption sets an optional property of a Registry.
type RegistryOption func(*Registry)

// WithHeartbeatLimit sets the time without a heartbeat after which the upstream counts as failed.
func WithHeartbeatLimit(d time.Duration) RegistryOption {
	return func(r *Registry) { r.heartbeatLimit = d }
}

// WithRestore makes the registry show no upstream until Restore has been called.
func WithRestore() RegistryOption { return func(r *Registry) { r.restoring = true } }

// WithVerification makes the registry show an upstream that is first announced before a time only once it is verified: by
// Verify, by an announcement WithVerified, or by announcing itself for the heartbeat limit. Until then an announcement may be a late one
// of an upstream that has left, and whose leaving an earlier process of this node has acknowledged.
func WithVerification(until time.Time) RegistryOption {
	return func(r *Registry) { r.verification.until = until }
}

// NewRegistry returns a registry without an upstream.
func NewRegistry(options ...RegistryOption) *Registry {
	r := &Registry{heartbeatLimit: defaultHeartbeatLimit, changed: make(chan struct{}, 1), verification: newVerification()}
	for _, o := range options {
		o(r)
	}
	return r
}

// Changed returns a channel that receives a value after the announcement or the state has changed. Several changes may
// be combined into one value.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// Announce processes an announcement or heartbeat. Errors have KindConflict, KindGone or KindOutOfOrder.
func (r *Registry) Announce(now time.Time, a Announcement) error {
	const operation = "announce upstream"
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range []Departure{r.departure, r.earlierDeparture} {
		if kind := d.excludes(a); kind != "" && !r.isAliveAfterDeparture(now, d, a) {
			return newError(operation, kind, "upstream %s drains or has left", a.upstreamID)
		}
	}
	if r.isSuperseded(a) && !r.shouldReinstate(now) {
		return newError(operation, KindGone, "upstream %s was replaced by a process that started later", a.upstreamID)
	}
	if r.sameProcess(a) && a.sequenced && r.current.sequenced && a.sequence <= r.current.sequence {
		return newError(operation, KindOutOfOrder, "announcement %d came after announcement %d",
			a.sequence, r.current.sequence)
	}
	if r.conflictsWithCurrent(now, a) {
		return newError(operation, KindConflict, "upstream %s is announced and alive", r.current.upstreamID)
	}
	if r.sameProcess(a) {
		a.startedAt = r.current.startedAt
	} else {
		r.notice = Notice{}
		if r.inherited.concerns(a) {
			r.notice = r.inherited.notice
		}
	}
	r.observeState(now, a)
	if r.notice.leaving {
		a.state = StateDraining
	}
	same := r.state == a.state && a.equalExceptStart(r.current) && a.startedAt.Equal(r.current.startedAt)
	r.current, r.state, r.lastHeartbeatAt = a, a.state, now
	if r.verification.observe(now, a, r.heartbeatLimit) || !same {
		r.notify()
	}
	return nil
}

// isAliveAfterDeparture reports whether an announcement that the departure excludes comes from a process that started
// after it: its start differs from that of the departed process, and it keeps announcing itself. Its clock was set back
// between the two.
func (r *Registry) isAliveAfterDeparture(now time.Time, d Departure, a Announcement) bool {
	if a.startFromAge || a.startedAt.IsZero() || d.startedAt.IsZero() || a.startedAt.Equal(d.startedAt) {
		return false
	}
	first := r.excluded.first
	if first.upstreamID != a.upstreamID || !first.startedAt.Equal(a.startedAt) {
		r.excluded = excludedProcess{first: a, firstAt: now}
		return false
	}
	return a.sequence > first.sequence && now.Sub(r.excluded.firstAt) >= r.heartbeatLimit
}

// isSuperseded reports whether the current upstream has the id or the address of a and started later.
func (r *Registry) isSuperseded(a Announcement) bool {
	if r.state == "" || a.startedAt.IsZero() {
		return false
	}
	same := a.upstreamID == r.current.upstreamID || a.address == r.current.address
	return same && r.current.startedAt.Sub(a.startedAt) > startTolerance(a)
}

// startTolerance returns how much the announced start times of one process may differ.
func startTolerance(a Announcement) time.Duration {
	if a.startFromAge {
		return startJitter
	}
	return 0
}

// shouldReinstate reports whether a process that seems superseded is the live one after all. A start time computed from
// an age is too late by the delay of the announcement, for example if the node was frozen, and one that the upstream
// announces itself goes back with its clock. A process that keeps announcing itself, while the current one sends no
// heartbeats, is the live one.
func (r *Registry) shouldReinstate(now time.Time) bool {
	if !r.supersededRefusedAt.After(r.lastHeartbeatAt) {
		r.supersededRefusedAt = now
		return false
	}
	return now.Sub(r.lastHeartbeatAt) >= r.heartbeatLimit/2
}

// conflictsWithCurrent reports whether the current upstream is alive and another one than a. An upstream at the same
// address replaces the current one, because two processes cannot listen there.
func (r *Registry) conflictsWithCurrent(now time.Time, a Announcement) bool {
	if r.state == "" || r.current.upstreamID == a.upstreamID || r.current.address == a.address {
		return false
	}
	return r.state.AcceptsCalls() && now.Sub(r.lastHeartbeatAt) < r.heartbeatLimit
}

func (r *Registry) sameProcess(a Announcement) bool {
	return r.state != "" && a.upstreamID == r.current.upstreamID &&
		a.startedAt.Sub(r.current.startedAt).Abs() <= startTolerance(a)
}

// ObserveNotice records what the upstream said about itself in an answer, and reports whether that is new. An upstream
// that leaves gets no new calls, whatever it announces afterwards.
func (r *Registry) ObserveNotice(upstreamID string, n Notice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" || r.current.upstreamID != upstreamID {
		return false
	}
	return r.applyNotice(n)
}

// InheritNotice records the last notice of an upstream that an earlier process of this node received. It has no effect
// on a process of the upstream that started later.
func (r *Registry) InheritNotice(upstreamID string, startedAt time.Time, n Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inherited = inheritedNotice{upstreamID: upstreamID, startedAt: startedAt, notice: n}
	if r.state != "" && r.notice == (Notice{}) && r.inherited.concerns(r.current) {
		r.applyNotice(n)
	}
}

func (r *Registry) applyNotice(n Notice) bool {
	n.leaving = n.leaving || r.notice.leaving
	if n == r.notice {
		return false
	}
	r.notice = n
	if n.leaving && r.state.AcceptsCalls() {
		r.state, r.current.state = StateDraining, StateDraining
	}
	r.notify()
	return true
}

// Notice returns the last notice of the announced upstream.
func (r *Registry) Notice() Notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.notice
}

// Leave removes the upstream and reports whether it was announced.
func (r *Registry) Leave(now time.Time, upstreamID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == "" || r.current.upstreamID != upstreamID {
		if r.state == "" {
			// This node may have started after the upstream and not have received an announcement yet.
			left := Departure{upstreamID: upstreamID, observedAt: now, gone: true}
			if r.departure.upstreamID == upstreamID {
				left = r.departure.left()
			}
			r.setDeparture(left)
		}
		return false
	}
	left := newDeparture(now, r.current, true)
	if r.state == StateDraining && r.departure.sameProcess(left) {
		left = r.departure.left()
	}
	r.setDeparture(left)
	r.remove()
	return true
}

// remove removes the current upstream, which has left.
func (r *Registry) remove() {
	r.current, r.state, r.notice = Announcement{}, "", Notice{leaving: true}
	r.notify()
}

// observeState records the first announcement of a drain, and forgets a drain that its process has revoked.
func (r *Registry) observeState(now time.Time, a Announcement) {
	d := newDeparture(now, a, false)
	same := r.departure.sameProcess(d)
	switch {
	case a.state == StateDraining && !same:
		r.setDeparture(d)
	case a.state.AcceptsCalls() && same:
		r.departure = Departure{}
	}
}

func (r *Registry) setDeparture(d Departure) {
	if !r.departure.sameProcess(d) {
		r.earlierDeparture = r.departure
	}
	r.departure = d
}

// Departure returns the last departure that this node has observed or restored; it is zero if there is none.
func (r *Registry) Departure() Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departure
}

// Restore sets the departure that an earlier process of this node has recorded; zero: none. A departure that this process
// has observed itself is later and stays. An upstream that the departure excludes is removed. Restore can be called more
// than once.
func (r *Registry) Restore(d Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.departure.IsZero() {
		r.departure = d
	}
	if r.state != "" && r.departure.excludes(r.current) != "" {
		r.remove()
	}
	if r.restoring {
		r.restoring = false
		r.notify()
	}
}

// MarkFailed marks the upstream as failed until its next heartbeat, for example because its address refuses
// connections.
func (r *Registry) MarkFailed(upstreamID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.upstreamID == upstreamID {
		r.markFailed()
	}
}

// Expire marks the upstream as failed if its heartbeats are missing. It must be called several times per second.
func (r *Registry) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastHeartbeatAt) >= r.heartbeatLimit {
		r.markFailed()
	}
}

func (r *Registry) markFailed() {
	if r.state == "" || r.state == StateFailed {
		return
	}
	r.state = StateFailed
	r.notify()
}

// Announced reports whether an upstream is announced, also before Restore.
func (r *Registry) Announced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state != ""
}

// Unverified returns a channel that receives a value after Pending has begun to return an announcement.
func (r *Registry) Unverified() <-chan struct{} { return r.verification.wanted }

// Pending returns the announcement of the upstream that has to be verified before it is shown, and whether there is one.
func (r *Registry) Pending() (Announcement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current, r.isPending()
}

func (r *Registry) isPending() bool {
	return r.state.AcceptsCalls() && !r.verification.covers(r.current)
}

// Verify shows the upstream that Pending has returned, unless another process is announced meanwhile.
func (r *Registry) Verify(a Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isPending() && r.sameProcess(a) {
		r.verification.accept(r.current)
		r.notify()
	}
}

// Current returns the announcement and the state of the upstream; false if none is announced, if it is to be verified, or if
// departures are still to be restored.
func (r *Registry) Current() (Announcement, State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.restoring || r.isPending() {
		return Announcement{}, "", false
	}
	return r.current, r.state, r.state != ""
}

func (r *Registry) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}
