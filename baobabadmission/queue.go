package baobabadmission

import (
	"cmp"
	"slices"
	"time"

	call "github.com/baobabdale/baobabdale/baobabcall"
)

// A Queue decides the order of waiting requests. It starts no goroutines, reads no clock, and is not safe for
// concurrent use.
//
// The most urgent rank is served first. Each grant adds floor_percent/100 to the credit of each rank that waits,
// and a rank with a credit of 1 is served before more urgent ranks. While a rank waits it therefore gets its floor
// of any run of grants, less at most one grant per other rank that was due at the same time.
type Queue struct {
	policy   Policy
	ranks    []*rankQueue // Parallel to policy.ranks.
	length   int
	sequence uint64
}

// NewQueue returns an empty queue.
func NewQueue(p Policy) *Queue {
	q := &Queue{}
	q.Configure(p)
	return q
}

// Policy returns the policy in effect.
func (q *Queue) Policy() Policy { return q.policy }

// Len returns the number of waiting entries.
func (q *Queue) Len() int { return q.length }

// Configure replaces the policy. Waiting entries stay, also beyond a lower limit; entries of a rank that no
// longer exists move to the least urgent rank.
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
		j := p.index(oldPolicy.ranks[i].name)
		if p.ranks[j].name == oldPolicy.ranks[i].name {
			q.ranks[j].inherit(r)
		}
	}
	slices.SortFunc(waiting, func(a, b *Entry) int { return cmp.Compare(a.sequence, b.sequence) })
	for _, e := range waiting {
		e.rank = p.index(e.request.rank)
		q.ranks[e.rank].push(e)
	}
}

// Offer adds a request, or refuses it. A full queue may displace another entry, which is then returned as dropped.
func (q *Queue) Offer(now time.Time, r Request, s Service) (*Entry, []Drop, *call.Refusal) {
	rank := q.policy.index(r.rank)
	q.ranks[rank].noteArrival(now, s.expected)
	if !r.deadline.IsZero() && !now.Before(r.deadline) {
		return nil, nil, call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, "deadline passed on arrival")
	}
	estimate := q.estimate(now, r, s)
	wait := q.corrected(rank, estimate)
	if refusal := unmeetable(now, r, s, wait); refusal != nil {
		return nil, nil, refusal
	}
	if refusal := q.beyondTarget(rank, r.caller, s, wait); refusal != nil {
		return nil, nil, refusal
	}
	var drops []Drop
	if q.length >= q.policy.queueLimit {
		victim, reason := q.makeRoom(rank, r.caller)
		if victim == nil {
			return nil, nil, call.NewRefusal(reason, call.OutcomeNotRun, "queue is full").WithRetryAfter(wait)
		}
		q.take(victim)
		refusal := call.NewRefusal(reason, call.OutcomeNotRun, "displaced from a full queue").WithRetryAfter(wait)
		drops = []Drop{{entry: victim, refusal: refusal}}
	}
	q.sequence++
	e := &Entry{request: r, sequence: q.sequence, since: now, estimate: estimate, rank: rank}
	if s.inFlight > 0 {
		e.shortest = s.shortest
	}
	q.ranks[rank].push(e)
	q.length++
	return e, drops, nil
}

// unmeetable returns a refusal when the estimated wait and the shortest service cannot meet the deadline. With
// nothing in flight the request is always accepted, because otherwise an outdated high estimate would never be
// measured again.
func unmeetable(now time.Time, r Request, s Service, wait time.Duration) *call.Refusal {
	if r.deadline.IsZero() || s.inFlight == 0 {
		return nil
	}
	if now.Add(wait + s.shortest).Before(r.deadline) {
		return nil
	}
	const detail = "estimated wait exceeds the deadline"
	return call.NewRefusal(call.ReasonDeadlineUnmeetable, call.OutcomeNotRun, detail).WithRetryAfter(wait)
}

// slowService is the latency of a slow call in percent of the mean.
const slowService = 125

// beyondTarget returns a refusal when the rank is overloaded and the request would miss the rank's target. Bounded
// by deadlines alone, the queue of an overloaded rank grows until every wait is just short of the deadline, so
// that the rank is served at full rate and all its answers miss the target.
//
// A rank whose own work and the more urgent one do not fill the wait is not the cause: its calls wait for slots that less
// urgent calls hold, at any endpoint, and are accepted.
func (q *Queue) beyondTarget(rank int, caller string, s Service, wait time.Duration) *call.Refusal {
	target := q.policy.ranks[rank].target
	if target <= 0 || !q.ranks[rank].overloaded {
		return nil
	}
	// Half of what service usually leaves of the target keeps the slots busy and leaves room for the variation of service:
	// with the whole of it, or with half the target, half of the answers of a saturated upstream were late. An upstream
	// slower than the target must not stop all work.
	slack := target - s.expected*slowService/100
	most := max(slack/2, target/8)
	if wait <= most || q.workAhead(rank, caller, s) <= most {
		return nil
	}
	const detail = "rank is overloaded and the estimated wait exceeds its target"
	return call.NewRefusal(call.ReasonQueueFull, call.OutcomeNotRun, detail).WithRetryAfter(wait)
}

// workAhead returns how long the calls that are served before a new one of the rank and caller, and the new one itself,
// hold all slots.
func (q *Queue) workAhead(rank int, caller string, s Service) time.Duration {
	work := time.Duration(q.ranks[rank].ahead(caller)+1) * s.expected
	for i := range rank {
		work += time.Duration(q.ranks[i].length) * q.ranks[i].expected
	}
	return work / time.Duration(s.limit)
}

// EstimateWait returns how long the request would wait for a grant, from the service rate, the work that is served
// before it, and how far recent estimates were off. It is zero when a permit is free or no latency is known.
func (q *Queue) EstimateWait(now time.Time, r Request, s Service) time.Duration {
	return q.corrected(q.policy.index(r.rank), q.estimate(now, r, s))
}

func (q *Queue) corrected(rank int, estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * q.ranks[rank].correction())
}

// estimate returns the wait of the request, uncorrected.
func (q *Queue) estimate(now time.Time, r Request, s Service) time.Duration {
	rate := s.rate()
	if rate == 0 || (q.length == 0 && s.inFlight < s.limit) {
		return 0
	}
	rank := q.policy.index(r.rank)
	var urgentWaiting int
	var urgentRate float64
	floors := 0
	for i, x := range q.ranks {
		switch {
		case i < rank:
			urgentWaiting += x.length
			urgentRate += x.grantRate(now)
		case i > rank && x.length > 0:
			floors += q.policy.ranks[i].floorPercent
		}
	}
	ahead := float64(q.ranks[rank].ahead(r.caller) + 1)
	floor := float64(q.policy.ranks[rank].floorPercent) / 100 * rate
	left := max(floor, rate*float64(100-floors)/100-urgentRate, rate/100)
	seconds := float64(urgentWaiting)/rate + ahead/left
	if floor > 0 {
		seconds = min(seconds, ahead/floor)
	}
	return time.Duration(seconds * float64(time.Second))
}

// makeRoom returns the entry that a new entry of the rank and caller displaces from a full queue, or nil, and the
// reason of the refusal of whichever of the two is refused.
func (q *Queue) makeRoom(rank int, caller string) (*Entry, call.Reason) {
	belowFloor := q.ranks[rank].length < q.policy.floorPlaces(rank)
	for i := len(q.ranks) - 1; i >= 0; i-- {
		if i == rank || (i < rank && !belowFloor) {
			continue
		}
		if q.ranks[i].length > q.policy.floorPlaces(i) {
			return q.ranks[i].largest().newest(), call.ReasonQueueFull
		}
	}
	own := q.ranks[rank].waiting(caller)
	most := q.ranks[rank].largest()
	// A caller one entry behind the largest would only swap places with it.
	if most != nil && own+1 < most.len() {
		return most.newest(), call.ReasonCallerShare
	}
	callers := len(q.ranks[rank].callers)
	if callers > 1 && own >= q.policy.callerPlaces(callers) {
		return nil, call.ReasonCallerShare
	}
	return nil, call.ReasonQueueFull
}

// Next takes out the entry that gets the next permit, or nil when none waits. Entries whose deadline leaves less
// time than their shortest service are dropped on the way.
func (q *Queue) Next(now time.Time) (*Entry, []Drop) {
	return q.NextWithin(now, unreserved)
}

// unreserved is a room in which no slot is kept free.
var unreserved = Room{}

// NextWithin is Next for an upstream with some room: a rank whose next grant would leave a more urgent one that is active
// to wait too long for a slot gets none.
func (q *Queue) NextWithin(now time.Time, room Room) (*Entry, []Drop) {
	var drops []Drop
	for q.length > 0 {
		rank := q.pick(now, room)
		if rank < 0 {
			return nil, drops
		}
		e := q.ranks[rank].pop()
		q.length--
		if refusal := late(e, now, e.shortest); refusal != nil {
			drops = append(drops, Drop{entry: e, refusal: refusal})
			continue
		}
		q.charge(rank)
		q.ranks[rank].noteGrant(now, e, q.policy.ranks[rank].target)
		return e, drops
	}
	return nil, drops
}

// late returns a refusal when the entry can no longer be served in time.
func late(e *Entry, now time.Time, shortest time.Duration) *call.Refusal {
	if e.passed(now, 0) {
		return call.NewRefusal(call.ReasonDeadlinePassed, call.OutcomeNotRun, "deadline passed in the queue")
	}
	if e.passed(now, shortest) {
		const detail = "remaining time is below the shortest service"
		return call.NewRefusal(call.ReasonDeadlineUnmeetable, call.OutcomeNotRun, detail)
	}
	return nil
}

// pick returns the rank that is served next: of those whose floor is due the one with the highest credit, else
// the most urgent. It returns -1 when the free slots are kept for ranks that do not wait now.
func (q *Queue) pick(now time.Time, room Room) int {
	best := -1
	for i, r := range q.ranks {
		if r.length == 0 || !room.idle() && q.keeps(now, i, room) {
			continue
		}
		if best < 0 {
			best = i
			continue
		}
		credit := q.creditAfter(i)
		if credit >= 1 && credit > q.creditAfter(best) {
			best = i
		}
	}
	return best
}

// keeps reports whether the free slots are kept from a rank for more urgent ones.
func (q *Queue) keeps(now time.Time, rank int, room Room) bool {
	kept := 0
	for i := range rank {
		kept += room.kept(q.ranks[i], q.policy.ranks[i], now, q.ranks[rank].expected)
	}
	return kept >= room.free
}

// creditAfter returns the credit of a waiting rank with its share of the grant that is about to be made.
func (q *Queue) creditAfter(rank int) float64 {
	// The sum of many shares falls short of 1 by rounding.
	const rounding = 1e-9
	return q.ranks[rank].credit + float64(q.policy.ranks[rank].floorPercent)/100 + rounding
}

// charge gives each waiting rank, and the granted one, its share of one grant, and takes the grant from the
// granted rank.
func (q *Queue) charge(granted int) {
	for i, r := range q.ranks {
		if r.length > 0 || i == granted {
			// The bound keeps a rank whose entries all expire from saving up a burst.
			r.credit = min(q.creditAfter(i), float64(len(q.ranks)+1))
		}
	}
	q.ranks[granted].credit = max(0, q.ranks[granted].credit-1)
}

// Cancel takes the entry out and reports whether it was still waiting.
func (q *Queue) Cancel(e *Entry) bool {
	if e.turn == nil {
		return false
	}
	q.take(e)
	return true
}

// Expire drops all entries whose deadline has passed, in order of arrival.
func (q *Queue) Expire(now time.Time) []Drop {
	return q.dropWhere(func(e *Entry) *call.Refusal { return late(e, now, 0) })
}

// Drain drops all entries as draining, in order of arrival.
func (q *Queue) Drain() []Drop {
	refusal := call.NewRefusal(call.ReasonDraining, call.OutcomeNotRun, "node is draining")
	return q.dropWhere(func(*Entry) *call.Refusal { return refusal })
}

func (q *Queue) dropWhere(decide func(*Entry) *call.Refusal) []Drop {
	var drops []Drop
	for _, r := range q.ranks {
		for _, e := range r.entries() {
			if refusal := decide(e); refusal != nil {
				q.take(e)
				drops = append(drops, Drop{entry: e, refusal: refusal})
			}
		}
	}
	slices.SortFunc(drops, func(a, b Drop) int { return cmp.Compare(a.entry.sequence, b.entry.sequence) })
	return drops
}

func (q *Queue) take(e *Entry) {
	q.ranks[e.rank].remove(e)
	q.length--
}
