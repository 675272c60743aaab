package baobabadmission

import "time"

// A Load is a snapshot of the state of a gate.
type Load struct {
	inFlight int
	limit    int
	queued   int
	wait     time.Duration
	draining bool
}

// InFlight returns the number of permits held.
func (l Load) InFlight() int { return l.inFlight }

// Limit returns the number of permits that may be held.
func (l Load) Limit() int { return l.limit }

// Queued returns the number of waiting requests.
func (l Load) Queued() int { return l.queued }

// Wait returns the recent mean wait for a permit.
func (l Load) Wait() time.Duration { return l.wait }

// Draining reports whether the gate refuses new requests.
func (l Load) Draining() bool { return l.draining }
