package baobabquarantine

import (
	"slices"
	"time"
)

const (
	// commonCauseTime is how far apart upstreams crash that fail for one reason other than the request, for example with
	// their rack. They take longer to come back.
	commonCauseTime       = time.Second
	defaultCrashThreshold = 2
	defaultDuration       = time.Minute
)

// A Rule determines when requests are refused.
type Rule struct {
	crashThreshold int           // Crashes within duration that start a quarantine, at least 1.
	duration       time.Duration // Also the time for which requests are refused after the last of these crashes.
}

// NewRule returns a rule by which crashThreshold crashes within the duration cause refusals for the duration. Values
// that are not positive are replaced by the defaults, 2 crashes and 60 s.
func NewRule(crashThreshold int, duration time.Duration) Rule {
	if crashThreshold < 1 {
		crashThreshold = defaultCrashThreshold
	}
	if duration <= 0 {
		duration = defaultDuration
	}
	return Rule{crashThreshold: crashThreshold, duration: duration}
}

// retention returns the age at which a crash expires. It is two durations: a quarantine ends one duration after its last
// crash, and whether that crash causes a quarantine depends on crashes up to one duration before it.
func (r Rule) retention() time.Duration { return 2 * r.duration }

// quarantineEnd returns the end of the latest quarantine caused by the crashes, or zero when there is none. The crashes
// must be sorted by time.
func (r Rule) quarantineEnd(crashes []Report) time.Time {
	times := distinctCrashes(crashes)
	for i := len(times) - 1; i >= r.crashThreshold-1; i-- {
		if times[i].Sub(times[i-r.crashThreshold+1]) <= r.duration {
			return times[i].Add(r.duration)
		}
	}
	return time.Time{}
}

// distinctCrashes returns the times of the crashes that count. Where the request had succeeded shortly before, upstreams that
// crash within commonCauseTime count once: a request that many callers send is in flight at most of them. The crashes must
// be sorted by time.
func distinctCrashes(crashes []Report) []time.Time {
	succeeded := slices.ContainsFunc(crashes, func(r Report) bool { return r.succeeded })
	var times []time.Time
	for _, r := range crashes {
		if n := len(times); succeeded && n > 0 && r.crashedAt.Sub(times[n-1]) < commonCauseTime {
			continue
		}
		times = append(times, r.crashedAt)
	}
	return times
}
