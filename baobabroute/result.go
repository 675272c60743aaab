package baobabroute

import "time"

// Verdict classifies what a call's result says about its endpoint.
type Verdict int

// Verdicts.
const (
	VerdictSuccess     Verdict = iota // Answered; the latency counts.
	VerdictFailure                    // The endpoint failed: the connection broke, a server error, no answer in time.
	VerdictRefused                    // The endpoint refused the call, for example because its queue is full.
	VerdictNeutral                    // Says nothing about the endpoint, for example because the caller cancelled the call.
	VerdictUnreachable                // No stream to the endpoint's node could be opened; starts a cooldown.
)

// A Result is the result of a call at an endpoint.
type Result struct {
	verdict Verdict
	latency time.Duration // Counts only for VerdictSuccess, so that a fast failure never looks like a fast endpoint.
}

// NewResult returns a result. A negative latency counts as zero.
func NewResult(verdict Verdict, latency time.Duration) Result {
	return Result{verdict: verdict, latency: max(latency, 0)}
}

// Verdict returns the verdict.
func (r Result) Verdict() Verdict { return r.verdict }

// Latency returns the time from the start of the call to its end.
func (r Result) Latency() time.Duration { return r.latency }
