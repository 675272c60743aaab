package baobabsettings

import "time"

// Claim holds the settings of claims, the records by which a call runs at most once.
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

// Retention returns how long a claim is kept.
func (c Claim) Retention() time.Duration { return c.retention }

// MaxInFlight returns the largest number of claims that wait for the platform at the same time.
func (c Claim) MaxInFlight() int { return c.maxInFlight }

// BatchDelay returns how long a claim waits for others that can be written in the same batch.
func (c Claim) BatchDelay() time.Duration { return c.batchDelay }
