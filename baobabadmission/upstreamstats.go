package baobabadmission

import "time"

// UpstreamStats holds the limit, the use and the latency of the upstream at the arrival of a request.
type UpstreamStats struct {
	limit           int           // Calls that may run concurrently, at least 1.
	inFlight        int           // Calls in flight.
	meanLatency     time.Duration // Recent mean of all calls; zero when not measured yet.
	expectedLatency time.Duration // Recent mean of calls of the request's kind; zero when not measured yet.
	minService      time.Duration // Least service time of the request; zero when unknown.
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

// rate returns the service rate in calls per second by Little's law, or zero when the latency is unknown.
func (s UpstreamStats) rate() float64 {
	if s.meanLatency <= 0 {
		return 0
	}
	return float64(s.limit) / s.meanLatency.Seconds()
}
