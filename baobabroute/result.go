package baobabroute

import "time"

// Verdict says what the end of a call tells about its endpoint.
type Verdict int

// Verdicts.
const (
	VerdictSuccess     Verdict = iota // Answered; the latency counts.
	VerdictFailure                    // The endpoint failed: connection died, server error, no answer in time.
	VerdictRefused                    // The endpoint's node refused the call, for example because its queue is full.
	VerdictAbandoned                  // The caller went away; says nothing about the endpoint.
	VerdictUnreachable                // No stream to the endpoint's node could be opened; starts a cooldown.
)

// A Result is the end of a call at an endpoint.
type Result struct {
	verdict Verdict
	latency time.Duration // Counts only for VerdictSuccess, so that a fast failure never looks like a fast endpoint.
}

// NewResult returns a result.
func NewResult(verdict Verdict, latency time.Duration) Result {
	return Result{verdict: verdict, latency: max(latency, 0)}
}

// Verdict returns the verdict.
func (r Result) Verdict() Verdict { return r.verdict }

// Latency returns the time from start to answer.
func (r Result) Latency() time.Duration { return r.latency }
