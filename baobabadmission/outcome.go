package baobabadmission

// Outcome says how a permitted call ended, as far as the concurrency limit is concerned.
type Outcome int

const (
	// OutcomeSucceeded means that the upstream served the call; its latency is a measure of load.
	OutcomeSucceeded Outcome = iota
	// OutcomeFailed means that the upstream answered with an error or broke the connection. Errors are often
	// faster than work, so their latency is ignored.
	OutcomeFailed
	// OutcomeShed means that the upstream refused the call because of its load.
	OutcomeShed
	// OutcomeCancelled means that the caller left or the deadline passed before the answer.
	OutcomeCancelled
)
