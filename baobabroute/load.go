package baobabroute

import "time"

// Load is what the node of an endpoint reports about its admission queue with an answer.
type Load struct {
	inFlight int
	limit    int // Concurrency limit; zero: unknown.
	queued   int
	wait     time.Duration // Recent wait in the queue.
}

// NewLoad returns a load report. Negative values count as zero.
func NewLoad(inFlight, limit, queued int, wait time.Duration) Load {
	return Load{inFlight: max(inFlight, 0), limit: max(limit, 0), queued: max(queued, 0), wait: max(wait, 0)}
}

// InFlight returns the number of calls that the upstream runs.
func (l Load) InFlight() int { return l.inFlight }

// Limit returns the concurrency limit, or zero when it is unknown.
func (l Load) Limit() int { return l.limit }

// Queued returns the number of calls that wait.
func (l Load) Queued() int { return l.queued }

// Wait returns the recent wait in the queue.
func (l Load) Wait() time.Duration { return l.wait }
