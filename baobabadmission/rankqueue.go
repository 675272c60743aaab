package baobabadmission

import (
	"container/list"
	"math"
	"time"
)

const (
	// grantRateWindow is the time constant of the measured grant rate of a rank.
	grantRateWindow = time.Second
	// overloadTargets is the number of targets without a short wait after which a rank counts as overloaded.
	// Shorter bursts may use the time up to the deadline.
	overloadTargets = 2
	// calmTargets is the number of targets without a long wait after which it no longer does. When one short wait
	// was enough, the queue alternated between empty and full.
	calmTargets = 10
	// calmShare is the share of the target below which a mean wait is short.
	calmShare = 0.25

	// Bounds of the correction of estimated waits, so that one odd second cannot close or open a rank.
	leastCorrection = 0.5
	mostCorrection  = 4
)

// A rankQueue holds the waiting entries of one rank and serves its callers in turn.
type rankQueue struct {
	callers map[string]*callerQueue // Only callers with entries.
	turns   *list.List              // Of *callerQueue; the front has the next turn.
	length  int
	credit  float64 // Grants that the floor owes to the rank; at least 0.

	estimate   waitMeter // Mean of the uncorrected estimates of granted entries.
	wait       waitMeter // Mean, because with callers in turn single waits are short also under overload.
	calmAt     time.Time // When the rank was last empty or its mean wait was short.
	busyAt     time.Time // When its mean wait was last not short.
	overloaded bool      // Always false without a target.
	granted    float64   // Grants, exponentially decayed with grantRateWindow.
	grantedAt  time.Time
	arrived    float64 // Arrivals, decayed likewise.
	arrivedAt  time.Time
	expected   time.Duration // Recent mean of the latencies that were expected for arrivals.
}

func newRankQueue() *rankQueue {
	return &rankQueue{callers: map[string]*callerQueue{}, turns: list.New()}
}

// inherit takes over what was measured for the rank under an earlier policy.
func (r *rankQueue) inherit(old *rankQueue) {
	measured := *old
	measured.callers, measured.turns, measured.length = r.callers, r.turns, r.length
	*r = measured
}

// push appends the entry to the queue of its caller. A caller without entries gets the last turn.
func (r *rankQueue) push(e *Entry) {
	if r.length == 0 && e.since.After(r.calmAt) {
		r.calmAt = e.since
	}
	c, ok := r.callers[e.request.caller]
	if !ok {
		c = newCallerQueue(e.request.caller)
		r.callers[c.caller] = c
		c.element = r.turns.PushBack(c)
	}
	c.push(e)
	r.length++
}

// remove takes the entry out of the queue.
func (r *rankQueue) remove(e *Entry) {
	c := e.turn
	c.entries.Remove(e.element)
	e.turn, e.element = nil, nil
	r.length--
	if c.len() == 0 {
		r.turns.Remove(c.element)
		delete(r.callers, c.caller)
	}
}

// pop takes out the oldest entry of the caller whose turn it is and gives the turn to the next caller.
func (r *rankQueue) pop() *Entry {
	c := r.turns.Front().Value.(*callerQueue)
	r.turns.MoveToBack(c.element)
	e := c.oldest()
	r.remove(e)
	return e
}

// waiting returns how many entries the caller has.
func (r *rankQueue) waiting(caller string) int {
	c, ok := r.callers[caller]
	if !ok {
		return 0
	}
	return c.len()
}

// largest returns the caller with the most entries, the first in turn among equals, or nil.
func (r *rankQueue) largest() *callerQueue {
	var most *callerQueue
	for e := r.turns.Front(); e != nil; e = e.Next() {
		c := e.Value.(*callerQueue)
		if most == nil || c.len() > most.len() {
			most = c
		}
	}
	return most
}

// ahead returns how many entries are served before a new entry of the caller when callers are served in turn.
func (r *rankQueue) ahead(caller string) int {
	own := r.waiting(caller)
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
	for e := r.turns.Front(); e != nil; e = e.Next() {
		for x := e.Value.(*callerQueue).entries.Front(); x != nil; x = x.Next() {
			all = append(all, x.Value.(*Entry))
		}
	}
	return all
}

// noteArrival takes note of a request of the rank, whether or not it is accepted.
func (r *rankQueue) noteArrival(now time.Time, expected time.Duration) {
	r.arrived = decay(now, r.arrivedAt, r.arrived) + 1
	r.arrivedAt = now
	if r.expected == 0 {
		r.expected = expected
	}
	r.expected += time.Duration(latencyWeight * float64(expected-r.expected))
}

// arrivalRate returns recent arrivals per second.
func (r *rankQueue) arrivalRate(now time.Time) float64 {
	return decay(now, r.arrivedAt, r.arrived) / grantRateWindow.Seconds()
}

// noteGrant takes note of a grant.
func (r *rankQueue) noteGrant(now time.Time, e *Entry, target time.Duration) {
	r.granted = r.decayed(now) + 1
	r.grantedAt = now
	r.wait.note(now, now.Sub(e.since))
	r.estimate.note(now, e.estimate)
	r.judge(now, target)
}

// judge updates whether the rank is overloaded after a grant.
func (r *rankQueue) judge(now time.Time, target time.Duration) {
	if r.wait.recent(now) <= time.Duration(calmShare*float64(target)) {
		r.calmAt = now
	} else {
		r.busyAt = now
	}
	switch {
	case target <= 0:
		r.overloaded = false
	case now.Sub(r.calmAt) > overloadTargets*target:
		r.overloaded = true
	case now.Sub(r.busyAt) > calmTargets*target:
		r.overloaded = false
	}
}

// correction returns the factor by which recent waits differed from their estimates.
func (r *rankQueue) correction() float64 {
	if r.estimate.mean <= 0 {
		return 1
	}
	return min(max(r.wait.mean/r.estimate.mean, leastCorrection), mostCorrection)
}

// grantRate returns recent grants per second.
func (r *rankQueue) grantRate(now time.Time) float64 {
	return r.decayed(now) / grantRateWindow.Seconds()
}

func (r *rankQueue) decayed(now time.Time) float64 { return decay(now, r.grantedAt, r.granted) }

// decay returns what is left of a count that was last updated at a time.
func decay(now, at time.Time, count float64) float64 {
	if at.IsZero() {
		return 0
	}
	passed := max(0, now.Sub(at))
	return count * math.Exp(-passed.Seconds()/grantRateWindow.Seconds())
}
