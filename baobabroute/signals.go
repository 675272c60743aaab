package baobabroute

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCooldown covers a restart of a node's process; maxCooldown bounds how late a returning node is noticed.
	minCooldown      = 200 * time.Millisecond
	maxCooldown      = 5 * time.Second
	maxCooldownShift = 8
	signalShards     = 64 // A power of two.
	// latencyShare and failureShare are the weight of one sample.
	latencyShare = 0.1
	failureShare = 0.1
	// failureFade is the time in which a failure rate falls to 1/e without new calls, so that an endpoint which
	// gets no calls because it failed is tried again.
	failureFade = 10 * time.Second
	// reportFade is the time in which the weight of a load report falls to 1/e.
	reportFade = time.Second
	// drainingMemory bounds how long a drain is remembered; membership spreads it within that time. A restarted node
	// under the same id gets no calls before it ends.
	drainingMemory   = 3 * time.Second
	defaultRetention = 10 * time.Minute
)

// Signals holds what this node learns about endpoints from its own calls. It is safe for concurrent use; each shard
// has its own lock.
type Signals struct {
	retention time.Duration
	shards    [signalShards]signalShard
}

type signalShard struct {
	mu      sync.Mutex
	entries map[string]*signal
}

// signal is the entry of one endpoint.
type signal struct {
	inFlight    int // Never negative.
	started     int // Calls started since the last load report.
	load        Load
	loadAt      time.Time // Zero: no report yet.
	latency     float64   // Nanoseconds; zero: no answer yet.
	failureRate float64
	refusalRate float64
	rateAt      time.Time // Time of both rates.
	consecutive int
	ended       int
	drainingAt  time.Time // Zero: not seen draining.
	unreachable int       // Failed connections in a row.
	coolUntil   time.Time // End of the cooldown after the last failed connection.
	silentSince time.Time // Last answer, or start of the first call since; counts while calls are in flight.
	usedAt      time.Time
}

// SignalsOption sets an optional property of Signals.
type SignalsOption func(*Signals)

// WithRetention sets after what time an unused entry may be forgotten.
func WithRetention(d time.Duration) SignalsOption { return func(s *Signals) { s.retention = d } }

// NewSignals returns empty signals.
func NewSignals(options ...SignalsOption) *Signals {
	s := &Signals{retention: defaultRetention}
	for _, o := range options {
		o(s)
	}
	for i := range s.shards {
		s.shards[i].entries = map[string]*signal{}
	}
	return s
}

// update runs change on the entry of an endpoint under the lock of its shard.
func (s *Signals) update(now time.Time, id string, change func(e *signal)) {
	h := s.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entries[id]
	if e == nil {
		e = &signal{}
		h.entries[id] = e
	}
	e.usedAt = now
	change(e)
}

func (s *Signals) shard(id string) *signalShard {
	return &s.shards[xxhash.Sum64String(id)%signalShards]
}

// Started records that a call was sent to the endpoint. Each Started needs one Finished.
func (s *Signals) Started(now time.Time, id string) {
	s.update(now, id, func(e *signal) {
		if e.inFlight == 0 {
			e.silentSince = now
		}
		e.inFlight++
		e.started++
	})
}

// Finished records the end of a call.
func (s *Signals) Finished(now time.Time, id string, r Result) State {
	var state State
	s.update(now, id, func(e *signal) {
		e.inFlight = max(e.inFlight-1, 0)
		e.silentSince = now
		e.end(now, r)
		state = e.state(now)
	})
	return state
}

// Reported records the load that came with an answer or refusal.
func (s *Signals) Reported(now time.Time, id string, l Load) {
	s.update(now, id, func(e *signal) {
		e.load, e.loadAt, e.started = l, now, 0
	})
}

// Draining records that the endpoint refused a call because it drains.
func (s *Signals) Draining(now time.Time, id string) {
	s.update(now, id, func(e *signal) { e.drainingAt = now })
}

// State returns what is known about the endpoint.
func (s *Signals) State(now time.Time, id string) State {
	h := s.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entries[id]
	if e == nil {
		return State{}
	}
	return e.state(now)
}

// Forget removes entries that are unused for the retention time and returns their number. Entries with calls in
// flight stay.
func (s *Signals) Forget(now time.Time) int {
	n := 0
	for i := range s.shards {
		n += s.shards[i].forget(now, s.retention)
	}
	return n
}

func (h *signalShard) forget(now time.Time, retention time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for id, e := range h.entries {
		if e.inFlight == 0 && now.Sub(e.usedAt) >= retention {
			delete(h.entries, id)
			n++
		}
	}
	return n
}

// Len returns the number of entries.
func (s *Signals) Len() int {
	n := 0
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		n += len(h.entries)
		h.mu.Unlock()
	}
	return n
}

func (e *signal) end(now time.Time, r Result) {
	switch r.verdict {
	case VerdictSuccess:
		e.consecutive = 0
		e.unreachable, e.coolUntil = 0, time.Time{}
		e.ended++
		e.addLatency(float64(r.latency))
		e.addRates(now, 0, 0)
	case VerdictUnreachable:
		e.coolUntil = now.Add(cooldown(e.unreachable))
		e.unreachable++
	case VerdictFailure:
		e.unreachable = 0
		e.consecutive++
		e.ended++
		e.addRates(now, 1, 0)
	case VerdictRefused:
		e.unreachable = 0
		e.addRates(now, 0, 1)
	case VerdictAbandoned:
	}
}

// cooldown returns how long an endpoint is avoided after a failed connection that follows n others. It doubles up to
// maxCooldown, so that a lost failure domain costs few calls and one that returns is found soon.
func cooldown(n int) time.Duration {
	return min(minCooldown<<min(n, maxCooldownShift), maxCooldown)
}

func (e *signal) addLatency(sample float64) {
	if e.latency == 0 {
		e.latency = sample
		return
	}
	e.latency += latencyShare * (sample - e.latency)
}

func (e *signal) addRates(now time.Time, failure, refusal float64) {
	f := fade(now.Sub(e.rateAt), failureFade)
	e.failureRate = e.failureRate*f*(1-failureShare) + failureShare*failure
	e.refusalRate = e.refusalRate*f*(1-failureShare) + failureShare*refusal
	e.rateAt = now
}

func (e *signal) state(now time.Time) State {
	s := State{
		inFlight: e.inFlight, latency: time.Duration(e.latency), consecutiveFailures: e.consecutive, ended: e.ended,
		draining: !e.drainingAt.IsZero() && now.Sub(e.drainingAt) < drainingMemory,
		cooling:  now.Before(e.coolUntil),
	}
	if e.inFlight > 0 {
		s.silence = max(now.Sub(e.silentSince), 0)
	}
	if e.failureRate > 0 || e.refusalRate > 0 {
		f := fade(now.Sub(e.rateAt), failureFade)
		s.failureRate, s.refusalRate = e.failureRate*f, e.refusalRate*f
	}
	if !e.loadAt.IsZero() {
		f := fade(now.Sub(e.loadAt), reportFade)
		s.reported = float64(e.load.inFlight+e.load.queued)*f + float64(e.started)
		s.wait = time.Duration(float64(e.load.wait) * f)
		s.limit = e.load.limit
	}
	return s
}

// fade returns the weight of a value of the given age.
func fade(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}
