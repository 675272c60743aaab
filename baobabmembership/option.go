package baobabmembership

import "time"

const (
	defaultSuspicionTimeout = 2 * time.Second
	defaultTickInterval     = 500 * time.Millisecond
	// Longer than a partition between regions, which may last an hour, so that the end of a partition does not bring
	// dead members back.
	defaultTombstoneTime = 2 * time.Hour
	minTombstoneTime     = time.Minute
	probeTargetCount     = 3
	relayCount           = 2
)

// Option sets a property of a Table.
type Option func(*Table)

// WithSuspicionTimeout sets the time from suspicion to death; the default is 2 s.
func WithSuspicionTimeout(d time.Duration) Option { return func(t *Table) { t.suspicionTimeout = d } }

// WithTombstoneTime sets how long dead and left records are kept; the default is 2 h, the minimum 60 s. A node that was
// partitioned for longer may bring a dead member back until that member's neighbours on the ring have probed it.
func WithTombstoneTime(d time.Duration) Option {
	return func(t *Table) { t.tombstoneTime = max(d, minTombstoneTime) }
}

// WithTickInterval sets the interval at which Expire is called; the default is 500 ms. A call more than three intervals
// after the previous one counts as a pause of this process.
func WithTickInterval(d time.Duration) Option { return func(t *Table) { t.health.tickInterval = d } }
