package baobabadmission

import (
	"cmp"
	"slices"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A Queue orders waiting requests. It starts no goroutines, reads no clock, and is not safe for concurrent use.
//
// The most urgent rank is served first. Each grant adds its floor to the credit of every waiting rank, and a rank with a
// credit of 1 is served before more urgent ranks. A waiting rank therefore gets its floor of any sequence of grants, less at
// most one grant per other rank that was due at the same time. The floor is that of the policy, or a part of the share that
// the rank usually has in the work, if that is more.
type Queue struct {
	policy   Policy
	ranks    []*rankQueue // Parallel to policy.ranks.
	length   int
	sequence uint64

	nestedPriority bool // Nested calls go before other calls of their rank.
	objectiveOrder bool // Calls that can meet their objective go before those that cannot.
	keptPercent    int  // Part of its usual share of the work that each rank keeps, 0 to 100.
	usualRequests  int  // Requests that count in the usual work.
}

// NewQueue returns an empty queue.
func NewQueue(p Policy) *Queue {
	q := &Queue{}
	q.Configure(p)
	return q
}

// SetOrder sets whether nested calls go before other calls of their rank, and whether calls that can meet their objective go
// before those that cannot.
func (q *Queue) SetOrder(nestedPriority, objectiveOrder bool) {
	q.nestedPriority, q.objectiveOrder = nestedPriority, objectiveOrder
}

// KeepUsualShare sets which part of its usual share of the work, in percent, each rank keeps while more urgent ranks ask for
// more than there is, in addition to its floor in the policy.
func (q *Queue) KeepUsualShare(percent int) { q.keptPercent = min(max(percent, 0), 100) }

// Policy returns the policy in effect.
func (q *Queue) Policy() Policy { return q.policy }

// overloadReportTime is how long a rank is reported as overloaded after its last grant, because only grants end the state.
const overloadReportTime = 5 * time.Second

// OverloadedSince returns since when calls of a rank wait so long that the rank counts as overloaded, or the zero time.
func (q *Queue) OverloadedSince(now time.Time, rank string) time.Time {
	r := q.ranks[q.policy.rankIndex(rank)]
	if !r.overloaded || now.Sub(r.lastGrant) > overloadReportTime {
		return time.Time{}
	}
	return r.lastShortWait
}

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return q.length }

// Configure replaces the policy. Waiting entries stay, even beyond a lower limit. Entries of a rank that no longer
// exists move to the least urgent rank.
func (q *Queue) Configure(p Policy) {
	old := q.ranks
	oldPolicy := q.policy
	q.policy = p
	q.ranks = make([]*rankQueue, len(p.ranks))
	for i := range p.ranks {
		q.ranks[i] = newRankQueue()
	}
	var waiting []*Entry
	for i, r := range old {
		waiting = append(waiting, r.entries()...)
		j := p.rankIndex(oldPolicy.ranks[i].name)
		if p.ranks[j].name == oldPolicy.ranks[i].name {
			q.ranks[j].copyStats(r)
		}
	}
	slices.SortFunc(waiting, func(a, b *Entry) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range waiting {
		e.rank = p.rankIndex(e.request.rank)
		q.ranks[e.rank].push(e)
	}
}

// Offer enqueues a request or refuses it. A full queue may displace another entry, which is then returned as dropped.
func (q *Queue) Offer(now time.Time, r Request, s UpstreamStats) (*Entry, []Drop, *call.Refusal) {
	rank := q.policy.rankIndex(r.rank)
	q.ranks[rank].recordArrival(now, s.expectedLatency)
	q.recordUsualWork(rank, s.expectedLatency)
	if !r.deadline.IsZero() && !now.Before(r.deadline) {
		return nil, nil, call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, "deadline passed on arrival")
	}
	estimate := q.uncorrectedWait(now, r, s)
	wait := q.correctWait(rank, estimate)
	if refusal := deadlineRefusal(now, r, s, wait); refusal != nil {
		return nil, nil, refusal
	}
	e := q.newEntry(now, r, s, estimate)
	if refusal := q.objectiveRefusal(now, e, s, wait); refusal != nil {
		return nil, nil, refusal
	}
	if refusal := q.targetRefusal(now, e, s, wait); refusal != nil {
		return nil, nil, refusal
	}
	var drops []Drop
	if q.length >= q.policy.queueLimit {
		victim, reason := q.selectVictim(rank, r.caller)
		if victim == nil {
			return nil, nil, call.NewRefusal(reason, call.OutcomeNotRun, "queue is full").WithRetryAfter(wait)
		}
		q.remove(victim)
		refusal := call.NewRefusal(reason, call.OutcomeNotRun, "displaced from a full queue").WithRetryAfter(wait)
		drops = []Drop{{entry: victim, refusal: refusal}}
	}
	q.sequence++
	e.sequence = q.sequence
	q.ranks[rank].push(e)
	q.length++
	return e, drops, nil
}

// deadlineRefusal returns a refusal when the estimated wait plus the least service time exceeds the deadline, and nil
// otherwise. With nothing in flight and a permit available the request is always accepted, because an outdated high
// estimate would otherwise never be replaced by a new measurement.
func deadlineRefusal(now time.Time, r Request, s UpstreamStats, wait time.Duration) *call.Refusal {
	if r.deadline.IsZero() || s.inFlight == 0 && s.pause == 0 {
		return nil
	}
	if now.Add(wait + s.minService).Before(r.deadline) {
		return nil
	}
	const detail = "estimated wait exceeds the deadline"
	return call.NewRefusal(call.ReasonDeadlineUnmeetable, call.OutcomeNotRun, detail).WithRetryAfter(wait)
}

// slowServicePercent is the latency of a slow call as a percentage of the mean.
const slowServicePercent = 125

// targetRefusal returns a refusal when the rank is overloaded and the request would miss the rank's target, and nil
// otherwise. If only deadlines bounded it, the queue of an overloaded rank would grow until every wait is just short of
// the deadline: the rank would be served at full rate and all its answers would miss the target.
//
// When the work of the rank and of more urgent ranks does not account for the wait, the rank is not the cause of it. Its
// calls then wait for slots held by less urgent calls, as they would at any endpoint, and are accepted.
func (q *Queue) targetRefusal(now time.Time, e *Entry, s UpstreamStats, wait time.Duration) *call.Refusal {
	target := q.policy.ranks[e.rank].latencyTarget
	if target <= 0 || !q.ranks[e.rank].overloaded {
		return nil
	}
	if q.objectiveOrder && !e.request.objective.IsZero() {
		return nil // See objectiveRefusal.
	}
	// Half of the time that a slow call leaves of the target keeps the slots busy and allows for varying service times.
	// With all of that time, or with half the target, half of the answers of a saturated upstream were late. The lower
	// bound of target/8 keeps an upstream that is slower than the target from stopping all work.
	slack := target - s.expectedLatency*slowServicePercent/100
	maxWait := max(slack/2, target/8)
	if wait <= maxWait || q.workAhead(now, e, s) <= maxWait {
		return nil
	}
	const detail = "rank is overloaded and the estimated wait exceeds its target"
	return call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, detail).WithRetryAfter(q.returnAfter(now, e, wait, wait-maxWait))
}

// minWaitShare is the least share of the slots by which the wait of a call is estimated.
const minWaitShare = 0.01

// workAhead returns how long all slots are held by a new call of the rank and caller, by the calls that are served before
// it, and by more urgent calls that arrive meanwhile.
func (q *Queue) workAhead(now time.Time, e *Entry, s UpstreamStats) time.Duration {
	rank := e.rank
	calls := q.ranks[rank].entriesAhead(e.request.caller, e.lane) + 1
	work := time.Duration(calls) * s.expectedLatency
	urgentSlots := 0.0
	for _, r := range q.ranks[:rank] {
		calls += r.length
		work += time.Duration(r.length) * r.expectedLatency
		urgentSlots += r.grantRate(now) * r.expectedLatency.Seconds()
	}
	share := max(q.floorShare(rank), 1-urgentSlots/float64(s.limit), minWaitShare)
	return time.Duration(float64(s.timeOf(calls, work)) / share)
}

// EstimateWait estimates how long the request would wait for a grant, from the service rate, the work that is served
// before it, and the error of recent estimates. It is zero when a permit is free or neither latency nor rate is known.
func (q *Queue) EstimateWait(now time.Time, r Request, s UpstreamStats) time.Duration {
	return q.correctWait(q.policy.rankIndex(r.rank), q.uncorrectedWait(now, r, s))
}

// correctWait corrects an estimate by the error of the rank's recent estimates.
func (q *Queue) correctWait(rank int, estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * q.ranks[rank].waitCorrection())
}

// uncorrectedWait estimates the wait of the request without a correction.
func (q *Queue) uncorrectedWait(now time.Time, r Request, s UpstreamStats) time.Duration {
	rate := s.rate()
	if rate == 0 {
		return 0
	}
	if q.length == 0 && s.inFlight < s.limit {
		return s.pause
	}
	rank := q.policy.rankIndex(r.rank)
	var urgentWaiting int
	var urgentRate float64
	floors := 0.0
	for i, other := range q.ranks {
		switch {
		case i < rank:
			urgentWaiting += other.length
			urgentRate += other.grantRate(now)
		case i > rank && other.length > 0:
			floors += q.floorShare(i)
		}
	}
	ahead := float64(q.ranks[rank].entriesAhead(r.caller, q.laneOf(now, r, s)) + 1)
	floor := q.floorShare(rank) * rate
	availableRate := max(floor, rate*(1-floors)-urgentRate, minWaitShare*rate)
	seconds := float64(urgentWaiting)/rate + ahead/availableRate
	if floor > 0 {
		seconds = min(seconds, ahead/floor)
	}
	return max(s.pause, time.Duration(seconds*float64(time.Second)))
}

// selectVictim returns the entry that a new entry of the rank and caller displaces from a full queue, or nil when the
// new entry is refused, and the reason for refusing whichever of the two is refused.
func (q *Queue) selectVictim(rank int, caller string) (*Entry, call.Reason) {
	belowFloor := q.ranks[rank].length < q.policy.queueFloor(rank)
	for i := len(q.ranks) - 1; i >= 0; i-- {
		if i == rank || (i < rank && !belowFloor) {
			continue
		}
		if q.ranks[i].length > q.policy.queueFloor(i) {
			return q.ranks[i].largestCaller().newest(), call.ReasonQueueFull
		}
	}
	own := q.ranks[rank].callerLen(caller)
	largest := q.ranks[rank].largestCaller()
	// A caller with one entry less than the largest would only swap places with it.
	if largest != nil && own+1 < largest.len() {
		return largest.newest(), call.ReasonCallerShare
	}
	callers := q.ranks[rank].callerCount()
	if callers > 1 && own >= q.policy.callerQueueShare(callers) {
		return nil, call.ReasonCallerShare
	}
	return nil, call.ReasonQueueFull
}

// Next removes and returns the entry that gets the next permit, or nil when none waits. It drops the entries it
// encounters whose deadline leaves less than their least service time.
func (q *Queue) Next(now time.Time) (*Entry, []Drop) {
	return q.NextReserving(now, noReservation)
}

// noReservation is the slot usage for which no slot is reserved.
var noReservation = SlotUsage{}

// NextReserving is like Next, but grants nothing to a rank while the free slots are reserved for more urgent ranks.
// Slots are reserved for an active rank that would otherwise wait too long for one.
func (q *Queue) NextReserving(now time.Time, usage SlotUsage) (*Entry, []Drop) {
	var drops []Drop
	for q.length > 0 {
		rank := q.nextRank(now, usage)
		if rank < 0 {
			return nil, drops
		}
		e := q.ranks[rank].pop(now, q.policy.ranks[rank].latencyTarget)
		q.length--
		drops = append(drops, q.dropLate(now, rank)...)
		if refusal := lateRefusal(e, now, e.minService); refusal != nil {
			drops = append(drops, Drop{entry: e, refusal: refusal})
			continue
		}
		q.updateCredits(rank, e)
		q.ranks[rank].recordGrant(now, e, q.policy.ranks[rank].latencyTarget)
		return e, drops
	}
	return nil, drops
}

// FreeSlot reports whether a request of the rank would be granted a permit at once: a slot is free that is not reserved
// for more urgent ranks, and nobody waits who would go first.
func (q *Queue) FreeSlot(now time.Time, rankName string, usage SlotUsage) bool {
	rank := q.policy.rankIndex(rankName)
	if usage.free <= 0 {
		return false
	}
	for i, r := range q.ranks {
		if r.length > 0 && (i <= rank || q.creditAtGrant(i) >= 1) {
			return false
		}
	}
	return usage.idle() || !q.slotsReserved(now, rank, usage)
}

// lateRefusal returns a refusal when the deadline has passed or leaves less than the least service time, and nil
// otherwise.
func lateRefusal(e *Entry, now time.Time, minService time.Duration) *call.Refusal {
	if e.missesDeadline(now, 0) {
		return call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, "deadline passed in the queue")
	}
	if e.missesDeadline(now, minService) {
		const detail = "remaining time is below the shortest service"
		return call.NewRefusal(call.ReasonDeadlineUnmeetable, call.OutcomeNotRun, detail)
	}
	return nil
}

// nextRank returns the index of the rank that is served next: the one with the highest credit among those whose floor is
// due, or else the most urgent one. It returns -1 when the free slots are reserved for ranks that have no waiting
// entries.
func (q *Queue) nextRank(now time.Time, usage SlotUsage) int {
	best := -1
	for i, r := range q.ranks {
		if r.length == 0 || !usage.idle() && q.slotsReserved(now, i, usage) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		credit := q.creditAtGrant(i)
		if credit >= 1 && credit > q.creditAtGrant(best) {
			best = i
		}
	}
	return best
}

// slotsReserved reports whether all free slots are reserved for ranks more urgent than the given one.
func (q *Queue) slotsReserved(now time.Time, rank int, usage SlotUsage) bool {
	reserved := 0
	for i := range rank {
		reserved += usage.reservedSlots(q.ranks[i], q.policy.ranks[i], now, q.ranks[rank].expectedLatency)
	}
	return reserved >= usage.free
}

// creditAtGrant returns the credit of a waiting rank including its share of the next grant.
func (q *Queue) creditAtGrant(rank int) float64 {
	// Compensates for rounding, because of which the sum of many shares falls short of 1.
	const rounding = 1e-9
	if q.objectiveOrder {
		return q.ranks[rank].credit + rounding
	}
	return q.ranks[rank].credit + q.floorShare(rank) + rounding
}

// floorOf returns the share of a grant that is due to a rank by its floor. With an order by objectives, floors are shares of
// the time for which slots are held: a grant of a short call adds less to a rank of long calls.
func (q *Queue) floorOf(rank int, granted *Entry) float64 {
	floor := q.floorShare(rank)
	if expected := q.ranks[rank].expectedLatency; q.objectiveOrder && granted.service > 0 && expected > 0 {
		floor *= min(1, granted.service.Seconds()/expected.Seconds())
	}
	return floor
}

// updateCredits adds its share of one grant to the credit of each waiting rank and of the granted one, and subtracts the
// grant from the granted rank.
func (q *Queue) updateCredits(granted int, e *Entry) {
	for i, r := range q.ranks {
		if r.length > 0 || i == granted {
			// The bound keeps a rank whose entries all expire from accumulating credit for a burst.
			r.credit = min(r.credit+q.floorOf(i, e), float64(len(q.ranks)+1))
		}
	}
	q.ranks[granted].credit = max(0, q.ranks[granted].credit-1)
}

// Cancel removes the entry and reports whether it was still waiting.
func (q *Queue) Cancel(e *Entry) bool {
	if e.callerQueue == nil {
		return false
	}
	q.remove(e)
	return true
}

// Expire drops all entries whose deadline has passed, in order of arrival.
func (q *Queue) Expire(now time.Time) []Drop {
	return q.dropWhere(func(e *Entry) *call.Refusal { return lateRefusal(e, now, 0) })
}

// Drain drops all entries with the reason draining, in order of arrival.
func (q *Queue) Drain() []Drop {
	refusal := call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, "node is draining")
	return q.dropWhere(func(*Entry) *call.Refusal { return refusal })
}

// dropWhere drops the entries for which decide returns a refusal, in order of arrival.
func (q *Queue) dropWhere(decide func(*Entry) *call.Refusal) []Drop {
	var drops []Drop
	for _, r := range q.ranks {
		for _, e := range r.entries() {
			if refusal := decide(e); refusal != nil {
				q.remove(e)
				drops = append(drops, Drop{entry: e, refusal: refusal})
			}
		}
	}
	slices.SortFunc(drops, func(a, b Drop) int { return cmp.Compare(a.entry.sequence, b.entry.sequence) })
	return drops
}

func (q *Queue) remove(e *Entry) {
	q.ranks[e.rank].remove(e)
	q.length--
}
