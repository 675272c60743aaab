package baobabupstream

import "time"

// A Hint is what the health and load endpoints of an upstream said. They may lag or mislead.
type Hint struct {
	at       time.Time
	healthy  bool
	loaded   bool // The load endpoint answered, so inFlight and queued are set.
	inFlight int
	queued   int
}

// At returns when the probe ended.
func (h Hint) At() time.Time { return h.at }

// Healthy reports whether the health endpoint answered with status 200.
func (h Hint) Healthy() bool { return h.healthy }

// Load returns the reported calls in flight and queued; false when the load endpoint gave none.
func (h Hint) Load() (inFlight, queued int, ok bool) { return h.inFlight, h.queued, h.loaded }
