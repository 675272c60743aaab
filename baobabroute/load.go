package baobabroute

import "time"

// Load is the load report that an endpoint's node sends with each answer or refusal.
type Load struct {
	inFlight int
	limit    int // Concurrency limit; zero: unknown.
	queued   int
	wait     time.Duration // Recent wait in the admission queue.
	rate     *reportedRate // Nil: unknown.
}

// A reportedRate is how long calls take at an endpoint.
type reportedRate struct {
	kind    string        // Group of calls to which service applies.
	service time.Duration // Expected service time; zero: unknown.
	percent int           // How long work takes now by the upstream's own statement; 100 is as usual, zero: unknown.
}

// NewLoad returns a load report. Negative values count as zero.
func NewLoad(inFlight, limit, queued int, wait time.Duration) Load {
	return Load{inFlight: max(inFlight, 0), limit: max(limit, 0), queued: max(queued, 0), wait: max(wait, 0)}
}

// WithRate returns a copy with the expected service time of a kind of calls, or zero if it is not known, and the upstream's
// statement of how long work takes there now: 100 is as usual, 0 not known.
func (l Load) WithRate(kind string, service time.Duration, percent int) Load {
	if service > 0 || percent > 0 {
		l.rate = &reportedRate{kind: kind, service: max(service, 0), percent: max(percent, 0)}
	}
	return l
}

// InFlight returns the number of calls that the upstream is running.
func (l Load) InFlight() int { return l.inFlight }

// Limit returns the concurrency limit, or zero when it is unknown.
func (l Load) Limit() int { return l.limit }

// Queued returns the number of calls in the admission queue.
func (l Load) Queued() int { return l.queued }

// Wait returns the recent wait in the admission queue.
func (l Load) Wait() time.Duration { return l.wait }
