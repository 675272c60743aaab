package baobabnode

import "time"

const (
	// answerDeliveryTime is how long before the end of a shutdown the deadline of a call must be, so that an answer at the
	// deadline reaches the caller.
	answerDeliveryTime = 100 * time.Millisecond
	// repeatableTimePercent is the part of its time that the end of the shutdown must leave to a call that may be repeated.
	repeatableTimePercent = 90
)

// A shutdown is the course of a planned stop.
type shutdown struct {
	end time.Time // When calls in progress are interrupted.
}

// takes reports whether the node takes a call from a caller. Passed on, a call that is interrupted may have run, and its
// caller does not learn whether it did. A call that may be repeated is also taken if the stop leaves it nearly all of its
// time, because callers can hardly know of the stop yet and nearly all such calls are answered.
func (s shutdown) takes(now, deadline time.Time, idempotent bool) bool {
	left, wanted := s.end.Add(-answerDeliveryTime).Sub(now), deadline.Sub(now)
	return left >= wanted || idempotent && left > 0 && left*100 >= wanted*repeatableTimePercent
}
