package baobabroute

import "time"

// An Attempt describes a call after one of its attempts has ended.
type Attempt struct {
	number      int // From 1.
	maxAttempts int
	deadline    time.Time // Zero: none.
	idempotent  bool
	retried     bool // An earlier hop retries the call.
	ending      Ending
}

// AttemptOption sets an optional property of an Attempt.
type AttemptOption func(*Attempt)

// WithIdempotent marks a call that may run more than once.
func WithIdempotent(v bool) AttemptOption { return func(a *Attempt) { a.idempotent = v } }

// WithRetriedEarlier marks a call that an earlier hop retries itself.
func WithRetriedEarlier(v bool) AttemptOption { return func(a *Attempt) { a.retried = v } }

// NewAttempt returns the attempt with the given number, from 1, out of at most maxAttempts.
func NewAttempt(number, maxAttempts int, deadline time.Time, ending Ending, options ...AttemptOption) Attempt {
	a := Attempt{number: number, maxAttempts: maxAttempts, deadline: deadline, ending: ending}
	for _, o := range options {
		o(&a)
	}
	return a
}
