package baobabupstream

import "time"

// A ProbeResult holds the answers of an upstream's health and load endpoints. It is only a hint: the endpoints may be
// outdated or wrong.
type ProbeResult struct {
	at       time.Time
	healthy  bool
	hasLoad  bool // The load endpoint answered, so inFlight and queued are set.
	inFlight int
	queued   int
}

// At returns when the probe ended.
func (r ProbeResult) At() time.Time { return r.at }

// Healthy reports whether the health endpoint answered with status 200.
func (r ProbeResult) Healthy() bool { return r.healthy }

// Load returns the reported numbers of calls in flight and queued; ok is false if the load endpoint did not report them.
func (r ProbeResult) Load() (inFlight, queued int, ok bool) { return r.inFlight, r.queued, r.hasLoad }
