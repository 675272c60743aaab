package baobabroute

import call "github.com/baobabdale/baobabdale/baobabcall"

// An AttemptOutcome is the outcome of one attempt of a call. It is one of Answered, Refused, NotSent, Lost.
type AttemptOutcome interface{ attemptOutcome() }

// Answered means that the upstream answered, with any status.
type Answered struct{}

// Refused means that a node refused the attempt.
type Refused struct{ refusal *call.Refusal }

// NewRefused returns the outcome of a refused attempt.
func NewRefused(r *call.Refusal) Refused { return Refused{refusal: r} }

// NotSent means that no stream to the endpoint's node could be opened, so the call certainly did not start.
type NotSent struct{}

// Lost means that the attempt was sent and it is unknown whether it ran.
type Lost struct{ crashed bool }

// NewLost returns the outcome of an attempt that may have run. Crashed means that the upstream's connection broke while
// it ran the call, possibly because of the call.
func NewLost(crashed bool) Lost { return Lost{crashed: crashed} }

func (Answered) attemptOutcome() {}
func (Refused) attemptOutcome()  {}
func (NotSent) attemptOutcome()  {}
func (Lost) attemptOutcome()     {}
