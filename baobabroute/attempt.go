package baobabroute

import "time"

// An Attempt describes a call after one of its attempts has ended.
type Attempt struct {
	upstreamAttempts int // Attempts that may have reached an upstream, including this one if it may have.
	dispatches       int // Attempts so far, whether or not they reached an upstream.
	maxAttempts      int
	deadline         time.Time // Zero: no deadline.
	idempotent       bool
	retriedEarlier   bool // An earlier hop retries the call itself.
	lessUrgent       bool // The call leaves a part of the retry budget to more urgent ones.
	outcome          AttemptOutcome
}

// AttemptOption sets an optional property of an Attempt.
type AttemptOption func(*Attempt)

// WithIdempotent sets whether the call may run more than once.
func WithIdempotent(v bool) AttemptOption { return func(a *Attempt) { a.idempotent = v } }

// WithRetriedEarlier sets whether an earlier hop retries the call itself.
func WithRetriedEarlier(v bool) AttemptOption { return func(a *Attempt) { a.retriedEarlier = v } }

// WithDispatches sets the number of attempts so far, including those that a node refused before its upstream saw them.
func WithDispatches(n int) AttemptOption { return func(a *Attempt) { a.dispatches = n } }

// WithLessUrgent sets whether the call leaves a part of the retry budget to nested calls and to the most urgent rank.
func WithLessUrgent(v bool) AttemptOption { return func(a *Attempt) { a.lessUrgent = v } }

// NewAttempt returns an attempt with the given outcome. Including it, upstreamAttempts of at most maxAttempts attempts
// may have reached an upstream.
func NewAttempt(
	upstreamAttempts, maxAttempts int, deadline time.Time, outcome AttemptOutcome, options ...AttemptOption,
) Attempt {
	a := Attempt{upstreamAttempts: upstreamAttempts, maxAttempts: maxAttempts, deadline: deadline, outcome: outcome}
	for _, o := range options {
		o(&a)
	}
	return a
}
