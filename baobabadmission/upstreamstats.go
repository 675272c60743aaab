package baobabadmission

import "time"

// UpstreamStats holds the limit, the use and the latency of the upstream at the arrival of a request.
type UpstreamStats struct {
	limit           int           // Calls that may run concurrently, at least 1.
	inFlight        int           // Calls in flight.
	meanLatency     time.Duration // Recent mean of all calls; zero when not measured yet.
	expectedLatency time.Duration // Recent mean of calls of the request's kind; zero when not measured yet.
	minService      time.Duration // Least service time of the request; zero when unknown.
	maxRate         float64       // Requests per second that the upstream takes; zero without a limit.
	pause           time.Duration // Time until the next permit under maxRate.
}

// NewUpstreamStats returns statistics in which the mean latency is also the expected latency of the request.
func NewUpstreamStats(limit, inFlight int, meanLatency, minService time.Duration) UpstreamStats {
	return UpstreamStats{
		limit: max(1, limit), inFlight: inFlight, meanLatency: meanLatency, expectedLatency: meanLatency,
		minService: minService,
	}
}

// WithExpectedLatency returns a copy with the recent mean latency of calls of the request's kind, so that a short call
// among long ones is evaluated by its own latency.
func (s UpstreamStats) WithExpectedLatency(d time.Duration) UpstreamStats {
	s.expectedLatency = d
	return s
}

// WithRequestLimit returns a copy with the requests per second that the upstream takes, or zero without a limit, and the
// time until it takes the next one.
func (s UpstreamStats) WithRequestLimit(perSecond float64, pause time.Duration) UpstreamStats {
	s.maxRate, s.pause = perSecond, pause
	return s
}

// rate returns the service rate in calls per second by Little's law, at most maxRate, or zero when neither the latency
// nor a limit is known.
func (s UpstreamStats) rate() float64 {
	if s.meanLatency <= 0 {
		return s.maxRate
	}
	rate := float64(s.limit) / s.meanLatency.Seconds()
	if s.maxRate > 0 {
		rate = min(rate, s.maxRate)
	}
	return rate
}

// timeOf returns how long the upstream needs for a number of calls that hold its slots for the given time in all.
func (s UpstreamStats) timeOf(calls int, held time.Duration) time.Duration {
	d := held / time.Duration(s.limit)
	if s.maxRate > 0 {
		d = max(d, time.Duration(float64(calls)/s.maxRate*float64(time.Second)))
	}
	return d
}
