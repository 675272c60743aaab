package baobabroute

import "time"

const (
	// assumedLatency is used until an endpoint has answered once.
	assumedLatency = 5 * time.Millisecond
	// failurePenalty is the expected cost of a failed call: it must outweigh any queue that is still acceptable.
	failurePenalty = time.Second
	// consecutiveLimit and rateLimit (over at least rateSamples ended calls) make an endpoint suspect.
	consecutiveLimit = 5
	rateLimit        = 0.5
	rateSamples      = 20
	// failingBound is the share of failed and shed calls above which an endpoint of the own failure domain is not
	// preferred: two failures in a row after successes.
	failingBound = 0.18
)

// A State is what this node knows about an endpoint at one time.
type State struct {
	inFlight            int           // Calls from this node.
	reported            float64       // Calls running or queued by the last report, faded by its age, and started since.
	limit               int           // Reported concurrency limit; zero: unknown.
	wait                time.Duration // Reported wait, faded by the age of the report.
	latency             time.Duration // Zero: unknown.
	silence             time.Duration // Time without an answer while calls are in flight.
	failureRate         float64       // From 0 to 1, fades with time.
	refusalRate         float64       // From 0 to 1, fades with time.
	consecutiveFailures int
	ended               int // Calls that ended with success or failure.
	draining            bool
	cooling             bool // The last connection failed a short time ago.
}

// InFlight returns the number of calls in flight from this node.
func (s State) InFlight() int { return s.inFlight }

// Latency returns the weighted latency of answers, or zero when there was none.
func (s State) Latency() time.Duration { return s.latency }

// FailureRate returns the weighted share of failed calls.
func (s State) FailureRate() float64 { return s.failureRate }

// ConsecutiveFailures returns the number of failures since the last success.
func (s State) ConsecutiveFailures() int { return s.consecutiveFailures }

// Draining reports whether the endpoint was seen draining.
func (s State) Draining() bool { return s.draining }

// suspect reports whether the endpoint should be ejected.
func (s State) suspect() bool {
	return s.consecutiveFailures >= consecutiveLimit || (s.ended >= rateSamples && s.failureRate > rateLimit)
}

// failing reports whether the endpoint fails or sheds so many calls that a farther one is better.
func (s State) failing() bool { return s.failureRate+s.refusalRate > failingBound }

// pressure returns the calls at the endpoint as a multiple of its limit.
func (s State) pressure(slots int) float64 {
	limit := s.limit
	if limit == 0 {
		limit = max(slots, 1)
	}
	return max(s.reported, float64(s.inFlight)) / float64(limit)
}

// expectedWait returns the expected time until an answer for one more call.
func (s State) expectedWait(slots int) time.Duration {
	latency := s.latency
	if latency == 0 {
		latency = assumedLatency
	}
	// Without this, an endpoint that hangs keeps its good latency until its first call ends.
	latency = max(latency, s.silence)
	// The pressure separates endpoints below their limit, too; above it each multiple waits one more latency.
	wait := float64(latency)*(1+s.pressure(slots)) + float64(s.wait)
	wait += min(s.failureRate+s.refusalRate, 1) * float64(failurePenalty)
	return time.Duration(wait)
}
