package baobabnode

import "time"

// answerDeliveryTime is how long before the end of a shutdown the deadline of a call must be, so that an answer at the
// deadline reaches the caller.
const answerDeliveryTime = 100 * time.Millisecond

// A shutdown is the course of a planned stop.
type shutdown struct {
	graceEnd time.Time // Until then callers may still connect.
	end      time.Time // When calls in progress are interrupted; not before graceEnd.
}

// takes reports whether the node takes a call from a caller. Passed on, a call that is interrupted may have run, and its
// caller does not learn whether it did. Only a call that may be repeated, and comes while callers can hardly know of the
// stop yet, is taken on the expectation that it is answered within its latency target, without certainty.
func (s shutdown) takes(now, deadline time.Time, idempotent bool, latencyTarget time.Duration) bool {
	latest := s.end.Add(-answerDeliveryTime)
	if !deadline.After(latest) {
		return true
	}
	return idempotent && now.Before(s.graceEnd) && !now.Add(latencyTarget).After(latest)
}
