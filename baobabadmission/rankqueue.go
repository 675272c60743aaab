package baobabadmission

import (
	"container/list"
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

// A rankQueue holds the waiting entries of one rank and serves its callers round robin.
type rankQueue struct {
	callers    map[string]*callerQueue // Only callers with entries.
	roundRobin *list.List              // Of *callerQueue; the front is served next.
	length     int
	credit     float64 // Grants due to the rank by its floor; at least 0.

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
}

func newRankQueue() *rankQueue {
	return &rankQueue{callers: map[string]*callerQueue{}, roundRobin: list.New()}
}

// copyStats copies the statistics of the rank under an earlier policy, but not its entries.
func (r *rankQueue) copyStats(old *rankQueue) {
	stats := *old
	stats.callers, stats.roundRobin, stats.length = r.callers, r.roundRobin, r.length
	*r = stats
}

// push appends the entry to the queue of its caller. A caller without entries joins the end of the round robin.
func (r *rankQueue) push(e *Entry) {
	if r.length == 0 && e.enqueuedAt.After(r.lastShortWait) {
		r.lastShortWait = e.enqueuedAt
	}
	c, ok := r.callers[e.request.caller]
	if !ok {
		c = newCallerQueue(e.request.caller)
		r.callers[c.caller] = c
		c.element = r.roundRobin.PushBack(c)
	}
	c.push(e)
	r.length++
}

// remove removes the entry from the queue.
func (r *rankQueue) remove(e *Entry) {
	c := e.callerQueue
	c.entries.Remove(e.element)
	e.callerQueue, e.element = nil, nil
	r.length--
	if c.len() == 0 {
		r.roundRobin.Remove(c.element)
		delete(r.callers, c.caller)
	}
}

// pop removes and returns the oldest entry of the caller that is served next, and moves the caller to the end of the
// round robin. The queue must not be empty.
func (r *rankQueue) pop() *Entry {
	c := r.roundRobin.Front().Value.(*callerQueue)
	r.roundRobin.MoveToBack(c.element)
	e := c.oldest()
	r.remove(e)
	return e
}

// callerLen returns the number of entries of the caller.
func (r *rankQueue) callerLen(caller string) int {
	c, ok := r.callers[caller]
	if !ok {
		return 0
	}
	return c.len()
}

// largestCaller returns the caller with the most entries, or nil when the queue is empty. Among equals it is the one
// served first.
func (r *rankQueue) largestCaller() *callerQueue {
	var largest *callerQueue
	for e := r.roundRobin.Front(); e != nil; e = e.Next() {
		c := e.Value.(*callerQueue)
		if largest == nil || c.len() > largest.len() {
			largest = c
		}
	}
	return largest
}

// entriesAhead returns how many entries of the rank are served before a new entry of the caller.
func (r *rankQueue) entriesAhead(caller string) int {
	own := r.callerLen(caller)
	n := own
	for name, c := range r.callers {
		if name != caller {
			n += min(c.len(), own+1)
		}
	}
	return n
}

// entries returns all entries in no particular order.
func (r *rankQueue) entries() []*Entry {
	all := make([]*Entry, 0, r.length)
	for e := r.roundRobin.Front(); e != nil; e = e.Next() {
		for x := e.Value.(*callerQueue).entries.Front(); x != nil; x = x.Next() {
			all = append(all, x.Value.(*Entry))
		}
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
