package baobabquarantine

import "time"

const (
	defaultAfter = 2
	defaultTime  = time.Minute
)

// A Rule says when requests are refused.
type Rule struct {
	after    int           // Crashes, at least 1.
	duration time.Duration // Within which they count, and for which the request is refused.
}

// NewRule returns a rule; values that are not positive get the defaults, 2 crashes and 60 s.
func NewRule(after int, duration time.Duration) Rule {
	if after < 1 {
		after = defaultAfter
	}
	if duration <= 0 {
		duration = defaultTime
	}
	return Rule{after: after, duration: duration}
}

// memory returns the time for which a crash matters: a crash ends a quarantine at most one duration later, and
// counts crashes of one duration before it.
func (r Rule) memory() time.Duration { return 2 * r.duration }

// until returns when the quarantine after the crashes, sorted by time, ends, or zero when there is none.
func (r Rule) until(crashes []Report) time.Time {
	for i := len(crashes) - 1; i >= r.after-1; i-- {
		if crashes[i].at.Sub(crashes[i-r.after+1].at) <= r.duration {
			return crashes[i].at.Add(r.duration)
		}
	}
	return time.Time{}
}
