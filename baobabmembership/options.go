package baobabmembership

import "time"

const (
	defaultSuspicionTimeout = 2 * time.Second
	defaultTickInterval     = 500 * time.Millisecond
	// Longer than a partition of regions, which may last an hour, so that it does not bring dead members back.
	defaultTombstoneTime = 2 * time.Hour
	minTombstoneTime     = time.Minute
	probeTargets         = 3
	relays               = 2
)

// Option sets a property of a Table.
type Option func(*Table)

// WithSuspicionTimeout sets the time from suspicion to death; the default is 2 s.
func WithSuspicionTimeout(d time.Duration) Option { return func(t *Table) { t.suspicion = d } }

// WithTombstoneTime sets how long dead and left records are kept; the default is 2 h, the least is 60 s. A node that
// was cut off for longer may bring a dead member back until that member's neighbours have probed it.
func WithTombstoneTime(d time.Duration) Option {
	return func(t *Table) { t.tombstone = max(d, minTombstoneTime) }
}

// WithTickInterval sets the interval at which Expire is called; the default is 500 ms. A tick that is more than three
// intervals late counts as a pause of this process.
func WithTickInterval(d time.Duration) Option { return func(t *Table) { t.guard.interval = d } }
