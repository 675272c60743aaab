package baobabadmission

import (
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

const (
	// returnShare is the share of a rank's recent grants that callers which were refused are asked to use when they
	// return. The rest is for calls that arrive for the first time.
	returnShare = 0.5
	// maxReturnDelay bounds Retry-After.
	maxReturnDelay = 2 * time.Second
)

// newEntry returns the entry of a request that has arrived.
func (q *Queue) newEntry(now time.Time, r Request, s UpstreamStats, estimate time.Duration) *Entry {
	e := &Entry{
		request: r, enqueuedAt: now, estimatedWait: estimate, rank: q.policy.rankIndex(r.rank), lane: q.laneOf(now, r, s),
	}
	if s.inFlight > 0 {
		e.minService = s.minService
	}
	if q.objectiveOrder {
		e.service = s.expectedLatency
	}
	return e
}

// laneOf returns the lane that a request joins on arrival.
func (q *Queue) laneOf(now time.Time, r Request, s UpstreamStats) laneKind {
	switch {
	case q.nestedPriority && r.nested:
		return laneNested
	case q.objectiveOrder && !r.objective.IsZero() && now.Add(s.expectedLatency).After(r.objective):
		return laneLate
	default:
		return laneOnTime
	}
}

// objectiveRefusal returns a refusal when the request would miss its objective because of the work that is served before
// it, and nil otherwise. Only the time that is left counts, so a call that has waited elsewhere may wait less here.
//
// A call that would be late even without a wait is accepted unless its rank is overloaded: it lets all others pass.
func (q *Queue) objectiveRefusal(now time.Time, e *Entry, s UpstreamStats, wait time.Duration) *call.Refusal {
	if !q.objectiveOrder || e.request.objective.IsZero() {
		return nil
	}
	target := q.policy.ranks[e.rank].latencyTarget
	overloaded := q.ranks[e.rank].overloaded
	maxWait := e.request.objective.Sub(now) - s.expectedLatency*slowServicePercent/100
	switch {
	case maxWait <= 0 && !overloaded && e.lane != laneNested:
		return nil
	case overloaded || e.lane == laneNested:
		// See targetRefusal for the half. The root of a nested call needs time after it, and may make further ones.
		maxWait /= 2
	}
	maxWait = max(maxWait, target/8)
	if wait <= maxWait || q.workAhead(now, e, s) <= maxWait {
		return nil
	}
	const detail = "the estimated wait leaves too little time for the objective"
	return call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, detail).WithRetryAfter(q.returnAfter(now, e, wait, wait-maxWait))
}

// returnAfter returns when the caller of a refused request should return. Without an order by objectives it is the
// estimated wait. Otherwise it is the excess of the wait, or about the time for which the rank has been overloaded: callers
// that return while new calls are refused take their place, and are late. Callers that are refused after each other get
// times after each other, so that they do not return all at once.
func (q *Queue) returnAfter(now time.Time, e *Entry, wait, excess time.Duration) time.Duration {
	if !q.objectiveOrder {
		return wait
	}
	r := q.ranks[e.rank]
	if r.overloaded && !r.lastShortWait.IsZero() {
		excess = max(excess, now.Sub(r.lastShortWait))
	}
	gap := time.Duration(float64(time.Second) / max(returnShare*r.grantRate(now), 1))
	at := now.Add(min(excess, maxReturnDelay/2))
	if r.nextReturn.After(at) && r.nextReturn.Sub(now) <= maxReturnDelay {
		at = r.nextReturn
	}
	r.nextReturn = at.Add(gap)
	return at.Sub(now)
}

// dropLate drops the entries of overloaded ranks that can no longer meet their objective, while others of their rank
// wait. Otherwise they would wait until their deadline and be refused then.
func (q *Queue) dropLate(now time.Time, rank int) []Drop {
	r := q.ranks[rank]
	if !q.objectiveOrder || !r.overloaded || r.length == r.lanes[laneLate].length {
		return nil
	}
	var drops []Drop
	for late := r.lanes[laneLate]; late.length > 0; {
		e := late.roundRobin.Front().Value.(*callerQueue).oldest()
		q.remove(e)
		const detail = "the objective passed in the queue of an overloaded rank"
		refusal := call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, detail)
		drops = append(drops, Drop{entry: e, refusal: refusal.WithRetryAfter(q.returnAfter(now, e, 0, 0))})
	}
	return drops
}
