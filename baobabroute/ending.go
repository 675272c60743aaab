package baobabroute

import call "github.com/baobabdale/baobabdale/baobabcall"

// An Ending is how one attempt of a call ended. It is one of Answered, Refused, NotSent, Lost.
type Ending interface{ ending() }

// Answered means that the upstream answered, with whatever status.
type Answered struct{}

// Refused means that a node refused the attempt.
type Refused struct{ refusal *call.Refusal }

// NewRefused returns the ending by a refusal.
func NewRefused(r *call.Refusal) Refused { return Refused{refusal: r} }

// NotSent means that no stream to the endpoint's node could be opened, so that the call surely did not start.
type NotSent struct{}

// Lost means that the attempt was sent and its outcome is unknown.
type Lost struct{ crashed bool }

// NewLost returns the ending without an outcome. Crashed means that the upstream's connection died while it ran the
// call, possibly because of the call.
func NewLost(crashed bool) Lost { return Lost{crashed: crashed} }

func (Answered) ending() {}
func (Refused) ending()  {}
func (NotSent) ending()  {}
func (Lost) ending()     {}
