package baobabroute

import "time"

const (
	// assumedLatency is the latency of an endpoint that has not answered yet.
	assumedLatency = 5 * time.Millisecond
	// failurePenalty is the expected cost of a failed call. It must exceed any acceptable queue wait.
	failurePenalty = time.Second
	// consecutiveFailureLimit, or failureRateLimit after at least minRateSamples completed calls, is the threshold for
	// ejection.
	consecutiveFailureLimit = 5
	failureRateLimit        = 0.5
	minRateSamples          = 20
	// degradedRate is the sum of the failure and refusal rates above which an endpoint of the own failure domain is not
	// preferred. Two failures in a row after successes exceed it.
	degradedRate = 0.18
)

// An EndpointSnapshot holds the statistics of an endpoint at one time.
type EndpointSnapshot struct {
	inFlight            int           // Calls from this node.
	reportedCalls       float64       // Running and queued in the last report, decayed by its age, and started since.
	reportWeight        float64       // Of the last report by its age; 1: new, zero: none.
	limit               int           // Reported concurrency limit; zero: unknown.
	queueWait           time.Duration // Reported wait, decayed by the age of the report.
	latency             time.Duration // Zero: unknown.
	unansweredFor       time.Duration // Time without an answer while calls are in flight.
	failureRate         float64       // Moving average, from 0 to 1; decays with time.
	refusalRate         float64       // Moving average, from 0 to 1; decays with time.
	consecutiveFailures int
	completed           int           // Calls that ended with success or failure.
	timeFactor          float64       // Service time relative to the mean of the service; zero: unknown.
	service             time.Duration // Mean of the service; zero: unknown.
	draining            bool
	coolingDown         bool // The last connection failed a short time ago.
}

// InFlight returns the number of calls in flight from this node.
func (s EndpointSnapshot) InFlight() int { return s.inFlight }

// Latency returns the moving average of the latency of answers, or zero if there was none.
func (s EndpointSnapshot) Latency() time.Duration { return s.latency }

// FailureRate returns the moving average of the share of failed calls.
func (s EndpointSnapshot) FailureRate() float64 { return s.failureRate }

// ConsecutiveFailures returns the number of failures since the last success.
func (s EndpointSnapshot) ConsecutiveFailures() int { return s.consecutiveFailures }

// Draining reports whether the endpoint recently refused a call because it was draining.
func (s EndpointSnapshot) Draining() bool { return s.draining }

// shouldEject reports whether the failures of the endpoint reach a threshold for ejection.
func (s EndpointSnapshot) shouldEject() bool {
	return s.consecutiveFailures >= consecutiveFailureLimit ||
		(s.completed >= minRateSamples && s.failureRate > failureRateLimit)
}

// degraded reports whether the endpoint fails or refuses so many calls that a farther one is better.
func (s EndpointSnapshot) degraded() bool { return s.failureRate+s.refusalRate > degradedRate }

// utilization returns the calls at the endpoint as a multiple of its concurrency limit, or of slots if that is unknown.
func (s EndpointSnapshot) utilization(slots int) float64 {
	limit := s.limit
	if limit == 0 {
		limit = max(slots, 1)
	}
	return max(s.reportedCalls, float64(s.inFlight)) / float64(limit)
}

// maxWait is the expected wait at endpoints that refuse calls.
const maxWait = time.Hour

// expectedService returns how long a call is expected to run.
func (s EndpointSnapshot) expectedService() time.Duration {
	if s.service > 0 {
		return time.Duration(s.timeFactor * float64(s.service))
	}
	if s.latency == 0 {
		return assumedLatency
	}
	// Latency includes the wait, which is reported separately. At least half of it counts as service, because the reported
	// wait is that of other nodes' calls as well.
	return max(s.latency-s.queueWait, s.latency/2)
}

// expectedWait returns how long a call is expected to wait for a slot: the reported wait of recent calls, or the time in
// which the calls beyond the limit and one more get a slot, whichever is longer.
func (s EndpointSnapshot) expectedWait(slots int) time.Duration {
	limit := s.limit
	if limit == 0 {
		limit = max(slots, 1)
	}
	ahead := max(s.reportedCalls, float64(s.inFlight)) + 1 - float64(limit)
	return max(s.queueWait, time.Duration(max(ahead, 0)/float64(limit)*float64(s.expectedService())))
}

// expectedLatency returns the expected latency of one more call, including a penalty for failures and refusals.
func (s EndpointSnapshot) expectedLatency(slots int) time.Duration {
	return s.expectedLatencyFrom(s.latency, slots)
}

// expectedLatencyByRate is like expectedLatency, with the reported service time in place of the own calls' latency if it
// is known. An entry that makes few calls to each endpoint learns little from their latency.
func (s EndpointSnapshot) expectedLatencyByRate(slots int) time.Duration {
	if s.service > 0 {
		return s.expectedLatencyFrom(s.expectedService(), slots)
	}
	return s.expectedLatencyFrom(s.latency, slots)
}

func (s EndpointSnapshot) expectedLatencyFrom(latency time.Duration, slots int) time.Duration {
	if latency == 0 {
		latency = assumedLatency
	}
	// Otherwise an endpoint that hangs keeps its low latency until its first call ends.
	latency = max(latency, s.unansweredFor)
	// The utilization also distinguishes endpoints below their limit; above it, each multiple adds one latency.
	expected := float64(latency)*(1+s.utilization(slots)) + float64(s.queueWait)
	expected += min(s.failureRate+s.refusalRate, 1) * float64(failurePenalty)
	return time.Duration(expected)
}
