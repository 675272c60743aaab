package baobabadmission

import "time"

const (
	// usualWorkWeight is the weight of one request in the usual work of the ranks.
	usualWorkWeight = 0.02
	// minUsualRequests is how many requests count regardless of the queue, so that an upstream that is short of room from
	// its start knows its ranks.
	minUsualRequests = 50
)

// recordUsualWork adds a request to the usual work of the ranks. Requests that arrive while others wait do not count:
// otherwise a rank would raise its share by asking for more than there is.
func (q *Queue) recordUsualWork(rank int, expected time.Duration) {
	if expected <= 0 || q.length > 0 && q.usualRequests >= minUsualRequests {
		return
	}
	q.usualRequests++
	for i, r := range q.ranks {
		work := 0.0
		if i == rank {
			work = expected.Seconds()
		}
		r.usualWork += usualWorkWeight * (work - r.usualWork)
	}
}

// usualShare returns the share of a rank in the work that is asked for while no calls wait, 0 to 1.
func (q *Queue) usualShare(rank int) float64 {
	total := 0.0
	for _, r := range q.ranks {
		total += r.usualWork
	}
	if total == 0 {
		return 0
	}
	return q.ranks[rank].usualWork / total
}

// floorShare returns the share of the slots that a rank gets while it has waiting calls, 0 to 1.
func (q *Queue) floorShare(rank int) float64 {
	floor := float64(q.policy.ranks[rank].floorPercent) / 100
	if q.keptPercent == 0 {
		return floor
	}
	return max(floor, float64(q.keptPercent)/100*q.usualShare(rank))
}
