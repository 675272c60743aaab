package baobabadmission

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the measured grant and arrival rates of a rank.
	rateTimeConstant = time.Second
	// overloadAfterTargets is the time without a short wait, in multiples of the target, after which a rank counts as
	// overloaded. Requests in shorter bursts may wait until the deadline.
	overloadAfterTargets = 2
	// recoverAfterTargets is the time without a long wait, in multiples of the target, after which a rank no longer
	// counts as overloaded. When a single short wait was enough, the queue alternated between empty and full.
	recoverAfterTargets = 10
	// shortWaitShare is the share of the target up to which a mean wait is short.
	shortWaitShare = 0.25

	// minCorrection and maxCorrection bound the correction of estimated waits, so that one unusual second cannot close
	// or open a rank.
	minCorrection = 0.5
	maxCorrection = 4
)

// A rankQueue holds the waiting entries of one rank in lanes.
type rankQueue struct {
	lanes  [laneCount]*lane
	length int
	credit float64 // Grants due to the rank by its floor; at least 0.

	usualWork float64 // Recent mean of the work in seconds that a request brings the rank, 0 for requests of other ranks.

	estimateMeter   waitMeter // Mean of the uncorrected estimates of granted entries.
	waitMeter       waitMeter // A mean, because with round robin single waits are short even under overload.
	lastShortWait   time.Time // When the rank was last empty or its mean wait was short.
	lastLongWait    time.Time // When the mean wait was last not short.
	overloaded      bool      // Always false without a target.
	grantCount      float64   // Grants, exponentially decayed with rateTimeConstant.
	lastGrant       time.Time
	arrivalCount    float64 // Arrivals, exponentially decayed with rateTimeConstant.
	lastArrival     time.Time
	expectedLatency time.Duration // Recent mean of the latencies expected of arrivals.
	nextReturn      time.Time     // When the next refused caller is asked to return.
}

func newRankQueue() *rankQueue {
	r := &rankQueue{}
	for k := range r.lanes {
		r.lanes[k] = newLane()
	}
	return r
}

// copyStats copies the statistics of the rank under an earlier policy, but not its entries.
func (r *rankQueue) copyStats(old *rankQueue) {
	stats := *old
	stats.lanes, stats.length = r.lanes, r.length
	*r = stats
}

// push appends the entry to its lane.
func (r *rankQueue) push(e *Entry) {
	if r.length == 0 && e.enqueuedAt.After(r.lastShortWait) {
		r.lastShortWait = e.enqueuedAt
	}
	r.lanes[e.lane].push(e)
	r.length++
}

// remove removes the entry from the queue.
func (r *rankQueue) remove(e *Entry) {
	r.lanes[e.lane].remove(e)
	r.length--
}

// pop removes and returns the entry that is served next. The queue must not be empty. Entries that can no longer meet
// their objective move to the late lane, unless a nested call is served; their waits count, although they are not granted yet.
func (r *rankQueue) pop(now time.Time, target time.Duration) *Entry {
	for _, l := range r.lanes {
		for l.length > 0 {
			e := l.pop()
			if e.lane != laneOnTime || !e.missesObjective(now) {
				r.length--
				return e
			}
			e.lane = laneLate
			r.lanes[laneLate].push(e)
			r.recordWait(now, e, target)
		}
	}
	return nil
}

// callerLen returns the number of entries of the caller.
func (r *rankQueue) callerLen(caller string) int {
	n := 0
	for _, l := range r.lanes {
		n += l.callerLen(caller)
	}
	return n
}

// callerCount returns the number of callers with entries in the fullest lane.
func (r *rankQueue) callerCount() int {
	n := 0
	for _, l := range r.lanes {
		n = max(n, len(l.callers))
	}
	return n
}

// largestCaller returns the caller with the most entries in the lane that is served last, or nil when the queue is
// empty.
func (r *rankQueue) largestCaller() *callerQueue {
	for k := laneCount - 1; k >= 0; k-- {
		if c := r.lanes[k].largestCaller(); c != nil {
			return c
		}
	}
	return nil
}

// entriesAhead returns how many entries of the rank are served before a new entry of the caller in the lane.
func (r *rankQueue) entriesAhead(caller string, k laneKind) int {
	n := r.lanes[k].entriesAhead(caller)
	for i := range k {
		n += r.lanes[i].length
	}
	return n
}

// entries returns all entries in no particular order.
func (r *rankQueue) entries() []*Entry {
	all := make([]*Entry, 0, r.length)
	for _, l := range r.lanes {
		all = l.appendEntries(all)
	}
	return all
}

// recordArrival records a request of the rank, whether or not it is accepted, and its expected latency.
func (r *rankQueue) recordArrival(now time.Time, expected time.Duration) {
	r.arrivalCount = decayCount(now, r.lastArrival, r.arrivalCount) + 1
	r.lastArrival = now
	if r.expectedLatency == 0 {
		r.expectedLatency = expected
	}
	r.expectedLatency += time.Duration(latencyWeight * float64(expected-r.expectedLatency))
}

// arrivalRate returns the recent arrivals per second.
func (r *rankQueue) arrivalRate(now time.Time) float64 {
	return decayCount(now, r.lastArrival, r.arrivalCount) / rateTimeConstant.Seconds()
}

// recordGrant records a grant.
func (r *rankQueue) recordGrant(now time.Time, e *Entry, target time.Duration) {
	r.grantCount = r.decayedGrants(now) + 1
	r.lastGrant = now
	if e.lane == laneLate {
		// The wait of a call that lets others pass says nothing about theirs.
		return
	}
	r.recordWait(now, e, target)
}

// recordWait records the wait of an entry until now.
func (r *rankQueue) recordWait(now time.Time, e *Entry, target time.Duration) {
	r.waitMeter.observe(now, now.Sub(e.enqueuedAt))
	r.estimateMeter.observe(now, e.estimatedWait)
	r.updateOverloaded(now, target)
}

// updateOverloaded updates the overload state after a grant.
func (r *rankQueue) updateOverloaded(now time.Time, target time.Duration) {
	if r.waitMeter.decayedMean(now) <= time.Duration(shortWaitShare*float64(target)) {
		r.lastShortWait = now
	} else {
		r.lastLongWait = now
	}
	switch {
	case target <= 0:
		r.overloaded = false
	case now.Sub(r.lastShortWait) > overloadAfterTargets*target:
		r.overloaded = true
	case now.Sub(r.lastLongWait) > recoverAfterTargets*target:
		r.overloaded = false
	}
}

// waitCorrection returns the bounded ratio of recent waits to their estimates.
func (r *rankQueue) waitCorrection() float64 {
	if r.estimateMeter.mean <= 0 {
		return 1
	}
	return min(max(r.waitMeter.mean/r.estimateMeter.mean, minCorrection), maxCorrection)
}

// grantRate returns the recent grants per second.
func (r *rankQueue) grantRate(now time.Time) float64 {
	return r.decayedGrants(now) / rateTimeConstant.Seconds()
}

func (r *rankQueue) decayedGrants(now time.Time) float64 {
	return decayCount(now, r.lastGrant, r.grantCount)
}

// decayCount returns a count, last updated at the given time, after exponential decay until now.
func decayCount(now, updated time.Time, count float64) float64 {
	if updated.IsZero() {
		return 0
	}
	elapsed := max(0, now.Sub(updated))
	return count * math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
}
