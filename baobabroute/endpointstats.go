package baobabroute

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCooldown covers a restart of a node's process; maxCooldown limits how late the return of a node is noticed.
	minCooldown          = 200 * time.Millisecond
	maxCooldown          = 5 * time.Second
	maxCooldownDoublings = 8
	statsShardCount      = 64 // A power of two.
	// latencyWeight and rateWeight are the weight of one sample in the moving averages.
	latencyWeight = 0.1
	rateWeight    = 0.1
	// rateDecayTime is the time in which failure and refusal rates fall to 1/e without new calls, so that an endpoint
	// which gets no calls because it failed is tried again.
	rateDecayTime = 10 * time.Second
	// loadDecayTime is the time in which the weight of a load report falls to 1/e.
	loadDecayTime = time.Second
	// drainingTTL limits how long a drain is remembered; membership propagates it within that time. A node that restarts
	// under the same id gets no calls before the time is over.
	drainingTTL      = 3 * time.Second
	defaultRetention = 10 * time.Minute
)

// EndpointStats holds what this node learns about endpoints from its own calls. It is safe for concurrent use; each
// shard has its own lock.
type EndpointStats struct {
	retention time.Duration
	shards    [statsShardCount]statsShard
	services  serviceTimes
}

type statsShard struct {
	mu      sync.Mutex
	entries map[string]*statsEntry
}

// statsEntry holds the statistics of one endpoint.
type statsEntry struct {
	inFlight            int // Never negative.
	startedSinceReport  int // Calls started since the last load report.
	load                Load
	loadAt              time.Time // Time of load; zero: no report yet.
	latency             float64   // Nanoseconds; zero: no answer yet.
	failureRate         float64   // Moving average, from 0 to 1.
	refusalRate         float64   // Moving average, from 0 to 1.
	ratesAt             time.Time // Last update of both rates.
	consecutiveFailures int
	completed           int       // Calls that ended with success or failure.
	drainingAt          time.Time // Last refusal because of draining; zero: none.
	connectFailures     int       // Failed connections in a row.
	cooldownUntil       time.Time // End of the cooldown after the last failed connection.
	unansweredSince     time.Time // Last end of a call, or start of the first call since; valid while calls are in flight.
	lastUsedAt          time.Time
	rate                *endpointRate // Nil: no report with a rate yet.
}

// EndpointStatsOption sets an optional property of EndpointStats.
type EndpointStatsOption func(*EndpointStats)

// WithRetention sets the time after which an unused entry may be removed.
func WithRetention(d time.Duration) EndpointStatsOption {
	return func(s *EndpointStats) { s.retention = d }
}

// NewEndpointStats returns stats without entries.
func NewEndpointStats(options ...EndpointStatsOption) *EndpointStats {
	s := &EndpointStats{retention: defaultRetention}
	for _, o := range options {
		o(s)
	}
	for i := range s.shards {
		s.shards[i].entries = map[string]*statsEntry{}
	}
	return s
}

// update runs change on the entry of an endpoint with its shard locked. It creates the entry if necessary.
func (s *EndpointStats) update(now time.Time, id string, change func(e *statsEntry)) {
	h := s.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entries[id]
	if e == nil {
		e = &statsEntry{}
		h.entries[id] = e
	}
	e.lastUsedAt = now
	change(e)
}

func (s *EndpointStats) shard(id string) *statsShard {
	return &s.shards[xxhash.Sum64String(id)%statsShardCount]
}

// RecordStart records that a call was sent to the endpoint. Each RecordStart needs one RecordResult.
func (s *EndpointStats) RecordStart(now time.Time, id string) {
	s.update(now, id, func(e *statsEntry) {
		if e.inFlight == 0 {
			e.unansweredSince = now
		}
		e.inFlight++
		e.startedSinceReport++
	})
}

// RecordResult records the result of a call and returns the resulting snapshot.
func (s *EndpointStats) RecordResult(now time.Time, id string, r Result) EndpointSnapshot {
	var snapshot EndpointSnapshot
	s.update(now, id, func(e *statsEntry) {
		e.inFlight = max(e.inFlight-1, 0)
		e.unansweredSince = now
		e.applyResult(now, r)
		snapshot = e.snapshot(now)
	})
	return snapshot
}

// RecordLoad records the load that came with an answer or refusal.
func (s *EndpointStats) RecordLoad(now time.Time, id string, l Load) {
	mean := time.Duration(0)
	if l.rate != nil {
		mean = s.services.observe(l.rate)
	}
	s.update(now, id, func(e *statsEntry) {
		e.load, e.loadAt, e.startedSinceReport = l, now, 0
		if l.rate == nil {
			return
		}
		if e.rate == nil {
			e.rate = &endpointRate{}
		}
		e.rate.observe(now, l.rate, mean)
	})
}

// RecordDraining records that the endpoint refused a call because it is draining.
func (s *EndpointStats) RecordDraining(now time.Time, id string) {
	s.update(now, id, func(e *statsEntry) { e.drainingAt = now })
}

// Snapshot returns the current statistics of the endpoint; they are zero if there is no entry.
func (s *EndpointStats) Snapshot(now time.Time, id string) EndpointSnapshot {
	h := s.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	e := h.entries[id]
	if e == nil {
		return EndpointSnapshot{}
	}
	return e.snapshot(now)
}

// RemoveUnused removes entries that have been unused for the retention time and returns their number. Entries with
// calls in flight stay.
func (s *EndpointStats) RemoveUnused(now time.Time) int {
	n := 0
	for i := range s.shards {
		n += s.shards[i].removeUnused(now, s.retention)
	}
	return n
}

func (h *statsShard) removeUnused(now time.Time, retention time.Duration) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for id, e := range h.entries {
		if e.inFlight == 0 && now.Sub(e.lastUsedAt) >= retention {
			delete(h.entries, id)
			n++
		}
	}
	return n
}

// Len returns the number of entries.
func (s *EndpointStats) Len() int {
	n := 0
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.Lock()
		n += len(h.entries)
		h.mu.Unlock()
	}
	return n
}

func (e *statsEntry) applyResult(now time.Time, r Result) {
	switch r.verdict {
	case VerdictSuccess:
		e.consecutiveFailures = 0
		e.connectFailures, e.cooldownUntil = 0, time.Time{}
		e.completed++
		e.addLatencySample(float64(r.latency))
		e.addRateSamples(now, 0, 0)
	case VerdictUnreachable:
		e.cooldownUntil = now.Add(cooldown(e.connectFailures))
		e.connectFailures++
	case VerdictFailure:
		e.connectFailures = 0
		e.consecutiveFailures++
		e.completed++
		e.addRateSamples(now, 1, 0)
	case VerdictRefused:
		e.connectFailures = 0
		e.addRateSamples(now, 0, 1)
	case VerdictNeutral:
	}
}

// cooldown returns how long an endpoint is avoided after a connection failure that follows n others in a row. It doubles
// up to maxCooldown, so that the loss of a failure domain delays few calls and its return is noticed soon.
func cooldown(n int) time.Duration {
	return min(minCooldown<<min(n, maxCooldownDoublings), maxCooldown)
}

func (e *statsEntry) addLatencySample(sample float64) {
	if e.latency == 0 {
		e.latency = sample
		return
	}
	e.latency += latencyWeight * (sample - e.latency)
}

func (e *statsEntry) addRateSamples(now time.Time, failure, refusal float64) {
	f := decayFactor(now.Sub(e.ratesAt), rateDecayTime)
	e.failureRate = e.failureRate*f*(1-rateWeight) + rateWeight*failure
	e.refusalRate = e.refusalRate*f*(1-rateWeight) + rateWeight*refusal
	e.ratesAt = now
}

func (e *statsEntry) snapshot(now time.Time) EndpointSnapshot {
	s := EndpointSnapshot{
		inFlight: e.inFlight, latency: time.Duration(e.latency),
		consecutiveFailures: e.consecutiveFailures, completed: e.completed,
		draining:    !e.drainingAt.IsZero() && now.Sub(e.drainingAt) < drainingTTL,
		coolingDown: now.Before(e.cooldownUntil),
	}
	if e.inFlight > 0 {
		s.unansweredFor = max(now.Sub(e.unansweredSince), 0)
	}
	if e.failureRate > 0 || e.refusalRate > 0 {
		f := decayFactor(now.Sub(e.ratesAt), rateDecayTime)
		s.failureRate, s.refusalRate = e.failureRate*f, e.refusalRate*f
	}
	if e.rate != nil {
		s.timeFactor, s.service = e.rate.factor(now), e.rate.service
	}
	if !e.loadAt.IsZero() {
		f := decayFactor(now.Sub(e.loadAt), loadDecayTime)
		s.reportedCalls = float64(e.load.inFlight+e.load.queued)*f + float64(e.startedSinceReport)
		s.queueWait = time.Duration(float64(e.load.wait) * f)
		s.limit, s.reportWeight = e.load.limit, f
	}
	return s
}

// decayFactor returns the factor by which a value of the given age has decayed exponentially.
func decayFactor(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}
