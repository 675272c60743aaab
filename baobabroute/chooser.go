package baobabroute

import (
	"math/rand/v2"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const (
	// minWeight is the fraction of choices in which an endpoint takes part right after its start.
	minWeight     = 0.1
	defaultWarmUp = 10 * time.Second
	// defaultMaxQueueWait is several times the delay between failure domains (about 5 ms), so that a call leaves its
	// failure domain only when that certainly saves time.
	defaultMaxQueueWait = 20 * time.Millisecond
	// defaultMaxUtilization allows as many queued calls as running ones.
	defaultMaxUtilization = 2.0
	// outlierFactor is the multiple of the other endpoints' mean failure rate from which an endpoint is an outlier.
	outlierFactor = 2
	// maxRate is the rate relative to the mean of the service above which endpoints are drawn alike. Each rejected draw costs
	// as much as an accepted one; faster endpoints are also preferred when two are compared.
	maxRate = 1
	// maxRandomDraws is the number of random draws before the endpoints are scanned in order.
	maxRandomDraws = 4
)

// A Chooser selects the endpoint of a call: it compares two random endpoints of the nearest tier by expected latency
// (power of two choices). It is safe for concurrent use.
type Chooser struct {
	stats          *EndpointStats
	ejections      *Ejections
	warmUp         time.Duration
	maxQueueWait   time.Duration // Reported queue wait above which an endpoint is overloaded.
	maxUtilization float64       // Calls as a multiple of the limit above which an endpoint is overloaded.
	nearOffers     int           // Endpoints of the nearest tier that are asked for a free slot before a call queues.
	rates          bool          // Draw and compare endpoints by the rates that they report.
	distances      Distances     // Zero: a call leaves its failure domain while that is overloaded.
}

// ChooserOption sets an optional property of a Chooser.
type ChooserOption func(*Chooser)

// WithWarmUp sets the duration of the slow start of an endpoint.
func WithWarmUp(d time.Duration) ChooserOption { return func(c *Chooser) { c.warmUp = d } }

// WithOverloadBounds sets the reported queue wait and the utilization (calls as a multiple of the limit) above which an
// endpoint is overloaded, so that calls may go to a farther failure domain.
func WithOverloadBounds(queueWait time.Duration, utilization float64) ChooserOption {
	return func(c *Chooser) { c.maxQueueWait, c.maxUtilization = queueWait, utilization }
}

// WithDistances limits how calls leave their failure domain and region.
func WithDistances(d Distances) ChooserOption { return func(c *Chooser) { c.distances = d } }

// WithRates makes the chooser draw endpoints in proportion to the rates that they report and compare them by these.
func WithRates() ChooserOption {
	return func(c *Chooser) { c.rates, c.nearOffers = true, maxNearOffersByRate }
}

// NewChooser returns a chooser that reads and updates stats.
func NewChooser(stats *EndpointStats, options ...ChooserOption) *Chooser {
	c := &Chooser{
		stats:          stats,
		ejections:      NewEjections(),
		warmUp:         defaultWarmUp,
		maxQueueWait:   defaultMaxQueueWait,
		maxUtilization: defaultMaxUtilization,
		nearOffers:     maxNearOffers,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Ejections returns the ejections that the chooser respects.
func (c *Chooser) Ejections() *Ejections { return c.ejections }

// RecordResult records the result of a call in the stats and ejects an endpoint that keeps failing. It returns the
// duration of a new ejection, or zero.
func (c *Chooser) RecordResult(now time.Time, set *CandidateSet, id string, r Result) time.Duration {
	snapshot := c.stats.RecordResult(now, id, r)
	if r.verdict != VerdictFailure || !snapshot.shouldEject() || !c.isOutlier(now, set, id, snapshot) {
		return 0
	}
	return c.ejections.Eject(now, set, id)
}

// isOutlier reports whether an endpoint fails clearly more often than the others of its service. If all fail alike, the
// cause is a common dependency, for example a service that they call, and ejecting some only adds load to the rest.
func (c *Chooser) isOutlier(now time.Time, set *CandidateSet, id string, snapshot EndpointSnapshot) bool {
	sum, known := 0.0, 0
	for _, candidate := range set.candidates {
		if candidate.id == id {
			continue
		}
		if other := c.stats.Snapshot(now, candidate.id); other.completed > 0 {
			sum += other.failureRate
			known++
		}
	}
	return known == 0 || snapshot.failureRate >= outlierFactor*sum/float64(known)
}

// scoredCandidate is a candidate with its expected latency and overload state at the time of the choice.
type scoredCandidate struct {
	index           int // In set.candidates.
	candidate       *Candidate
	expectedLatency time.Duration
	timeFactor      float64 // Service time relative to the mean of the service; zero: unknown.
	overloaded      bool
	degraded        bool // It fails or refuses many calls.
}

// A choice holds the arguments and state of one run of Choose.
type choice struct {
	*Chooser
	now      time.Time
	random   *rand.Rand
	set      *CandidateSet
	excluded func(id string) bool // May be nil.
	// weightThreshold is drawn once per choice; endpoints with a lower weight take no part. If it were drawn for each
	// endpoint, cold endpoints would get several chances in one choice.
	weightThreshold  float64
	allowCoolingDown bool // Also use endpoints in the cooldown after a failed connection.
}

// Choose returns an endpoint that is not excluded, draining or ejected, or a refusal with OutcomeNotRun. It prefers the
// nearest tier with an endpoint that is not overloaded; if all are overloaded, it takes the lowest expected latency.
// Endpoints in the cooldown after a failed connection are used only if there is no other, however many they are: unlike
// ejection, which is inferred from answers and therefore bounded, a failed connection is unambiguous. Excluded may be
// nil.
func (c *Chooser) Choose(
	now time.Time, random *rand.Rand, set *CandidateSet, excluded func(id string) bool,
) (Candidate, *call.Refusal) {
	h := choice{Chooser: c, now: now, random: random, set: set, excluded: excluded, weightThreshold: random.Float64()}
	if candidate, ok := h.nearestCandidate(); ok {
		return candidate, nil
	}
	h.allowCoolingDown = true
	if candidate, ok := h.nearestCandidate(); ok {
		return candidate, nil
	}
	return Candidate{}, call.NewRefusal(call.ReasonNoUpstream, call.OutcomeNotRun, "no usable endpoint of service "+set.service)
}

// nearestCandidate returns an endpoint that is not overloaded from the nearest tier that yields one, else the one with
// the lowest expected latency.
func (h choice) nearestCandidate() (Candidate, bool) {
	var best scoredCandidate
	found := false
	for _, tier := range h.set.tiers {
		c, ok := h.betterOfTwo(tier)
		if !ok {
			continue
		}
		if !c.overloaded {
			return *c.candidate, true
		}
		if !found || c.expectedLatency < best.expectedLatency {
			best, found = c, true
		}
	}
	if !found {
		return Candidate{}, false
	}
	return *best.candidate, true
}

// betterOfTwo draws two random endpoints of a tier and returns the better one. Endpoints in slow start below the weight
// threshold are used only if there is no other.
func (h choice) betterOfTwo(tier []int) (scoredCandidate, bool) {
	first, ok := h.randomCandidate(tier, -1)
	if !ok {
		h.weightThreshold = 0
		if first, ok = h.randomCandidate(tier, -1); !ok {
			return scoredCandidate{}, false
		}
	}
	second, ok := h.randomCandidate(tier, first.index)
	if ok && second.betterThan(first) {
		return second, true
	}
	return first, true
}

// betterThan prefers endpoints that are not overloaded, then the lower expected latency.
func (c scoredCandidate) betterThan(o scoredCandidate) bool {
	if c.overloaded != o.overloaded {
		return o.overloaded
	}
	return c.expectedLatency < o.expectedLatency
}

// randomCandidate returns a random usable endpoint of a tier, other than the one at index skip.
func (h choice) randomCandidate(tier []int, skip int) (scoredCandidate, bool) {
	if len(tier) == 0 {
		return scoredCandidate{}, false
	}
	for range maxRandomDraws {
		if c, ok := h.score(tier[h.random.IntN(len(tier))], skip); ok && (!h.rates || h.acceptRate(c)) {
			return c, true
		}
	}
	offset := h.random.IntN(len(tier))
	for n := range tier {
		if c, ok := h.score(tier[(offset+n)%len(tier)], skip); ok {
			return c, true
		}
	}
	return scoredCandidate{}, false
}

// acceptRate accepts a drawn endpoint with a probability in proportion to its rate.
func (h choice) acceptRate(c scoredCandidate) bool {
	return c.timeFactor == 0 || h.random.Float64()*maxRate < 1/c.timeFactor
}

// score evaluates the endpoint at index i. It returns false if the endpoint is unusable or i equals skip.
func (h choice) score(i, skip int) (scoredCandidate, bool) {
	candidate := &h.set.candidates[i]
	if i == skip || candidate.weight(h.now, h.warmUp) < h.weightThreshold {
		return scoredCandidate{}, false
	}
	if h.excluded != nil && h.excluded(candidate.id) {
		return scoredCandidate{}, false
	}
	snapshot := h.stats.Snapshot(h.now, candidate.id)
	if snapshot.draining || (snapshot.coolingDown && !h.allowCoolingDown) || h.ejections.Ejected(h.now, h.set, candidate.id) {
		return scoredCandidate{}, false
	}
	expected := snapshot.expectedLatency(candidate.slots)
	if h.rates {
		expected = snapshot.expectedLatencyByRate(candidate.slots)
	}
	return scoredCandidate{
		index:           i,
		candidate:       candidate,
		timeFactor:      snapshot.timeFactor,
		expectedLatency: expected,
		degraded:        snapshot.degraded(),
		overloaded: snapshot.queueWait > h.maxQueueWait || snapshot.utilization(candidate.slots) > h.maxUtilization ||
			snapshot.degraded(),
	}, true
}
