package baobabadmission

// Outcome is how a call with a permit ended, as far as it matters to the concurrency limit.
type Outcome int

const (
	// OutcomeSucceeded means that the upstream served the call; its latency is a measure of load.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed means that the upstream answered with an error or broke the connection. Errors are often faster
	// than successful calls, so their latency is ignored.
	OutcomeFailed
	// OutcomeShed means that the upstream refused the call because of its load.
	OutcomeShed
	// OutcomeCancelled means that the caller disconnected or the deadline passed before the answer.
	OutcomeCancelled
)
