package baobabsettings

import "time"

// Claim holds the settings of at-most-once records.
type Claim struct {
	retention   time.Duration
	maxInFlight int
	batchDelay  time.Duration
}

func readClaim(r *reader) Claim {
	return Claim{
		retention:   r.duration("claim", "retention", 24*time.Hour, time.Minute, 30*24*time.Hour),
		maxInFlight: r.integer("claim", "max_in_flight", 64, 1, 1<<16),
		batchDelay:  r.duration("claim", "batch_delay", 2*time.Millisecond, 0, time.Second),
	}
}

// Retention returns how long a record is kept.
func (c Claim) Retention() time.Duration { return c.retention }

// MaxInFlight returns the largest number of claims that wait for the platform.
func (c Claim) MaxInFlight() int { return c.maxInFlight }

// BatchDelay returns how long a claim waits for others to share its write.
func (c Claim) BatchDelay() time.Duration { return c.batchDelay }
