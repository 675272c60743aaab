package baobabroute

import "time"

// An Attempt describes a call after one of its attempts has ended.
type Attempt struct {
	number      int // Attempts that may have reached an upstream, this one included if it may.
	offers      int // Attempts, whether or not they reached an upstream.
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

// WithOffers sets the number of attempts so far, those included that a node refused before its upstream saw them.
func WithOffers(n int) AttemptOption { return func(a *Attempt) { a.offers = n } }

// NewAttempt returns an attempt after which number attempts, out of at most maxAttempts, may have reached an upstream.
func NewAttempt(number, maxAttempts int, deadline time.Time, ending Ending, options ...AttemptOption) Attempt {
	a := Attempt{number: number, maxAttempts: maxAttempts, deadline: deadline, ending: ending}
	for _, o := range options {
		o(&a)
	}
	return a
}
